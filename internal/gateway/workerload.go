package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// admitTimeout bounds the question to a worker's owner, and the time after which no further owner is asked for a request.
	// An owner that does not answer is not asked for a while, and requests are sent without a place.
	admitTimeout = 50 * time.Millisecond
	// endTimeout bounds the calls that report of a place.
	endTimeout = 500 * time.Millisecond
)

// workerPlace is a request's place at a worker, as its owner has given it.
type workerPlace struct {
	// owner is the instance that gave the place.
	owner  peerInstance
	worker *workers.Worker
	// number is 0 if the request has no place.
	number uint64
	// asked is when the owner was asked for the place.
	asked time.Duration
}

// requestSize returns the size of a request in tokens, as it was named in a request's headers or in a message.
func requestSize(prompt, output int64) workerload.Request {
	return workerload.Request{Prompt: max(0, prompt), Output: max(0, output)}
}

// maxRetireCalls is the number of other instances up to which all of them are asked before an adapter is unloaded.
const maxRetireCalls = 8

// ownersKnowRequests reports whether the fleet is so large that owners do not ask all instances before they unload an adapter, but
// go by the places that they have given. Requests without a place are the worker's to protect: it unloads an adapter only after
// its running requests have ended.
func (g *Gateway) ownersKnowRequests() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleetSize > maxRetireCalls+1
}

// adapterNeed is the adapter that a request needs at a worker and the oldest version that it accepts. The adapter is empty if
// it needs none.
type adapterNeed struct {
	adapter residency.Adapter
	version int64
}

// adapterNeed returns what a question for a place names as the adapter of a request.
func (g *Gateway) adapterNeed(a residency.Adapter) adapterNeed {
	if a.Name == "" {
		return adapterNeed{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, accepted := g.adapterVersions(a)
	return adapterNeed{a, accepted}
}

// String returns the form used in messages between instances.
func (n adapterNeed) String() string {
	if n.adapter.Name == "" {
		return ""
	}
	return adapterVersion(n.adapter, n.version)
}

// admit asks the owner of a worker for a place for the job. Sent means that the job is sent there in any case. Absent means that
// the worker does not hold the adapter.
func (g *Gateway) admit(j *forward.Job, w *workers.Worker, maxWait time.Duration, sent bool) (answer workerload.Answer, p workerPlace, absent bool) {
	left, size := time.Until(j.Deadline), g.jobSize(j)
	size.Share = g.jobShare(j)
	need := g.adapterNeed(residency.Adapter{Model: j.Model, Name: j.Adapter})
	g.mu.Lock()
	own := g.owners[w.Key()]
	claim := g.members.Owner(w.ID)
	member, ok := g.members.Member(claim.Incarnation)
	now := g.now()
	reachable := ok && claim.Incarnation != g.incarnation && now-member.LastHeard <= quota.TakeoverDelay(member.Lease()) &&
		!g.recentlyUnreachable(roleAdmission, claim.Incarnation, now)
	g.mu.Unlock()
	p = workerPlace{worker: w, owner: peerInstance{claim.Instance, claim.Incarnation, member.Heartbeat.Address}, asked: now}
	if own != nil {
		got := own.admit(size, need, maxWait, left, sent)
		p.number, p.owner = got.place, peerInstance{incarnation: g.incarnation}
		return workerload.Answer{Known: true, Admitted: got.place != 0, Wait: got.wait, Defers: got.defers, InTime: got.wait <= maxWait, OverShare: got.overShare}, p, got.absent
	}
	if !reachable {
		return workerload.Answer{}, p, false
	}
	// The answer is awaited even if the caller leaves: a place in an answer that is not read would keep its adapter from being
	// evicted until the deadline.
	ctx, cancel := context.WithTimeout(g.lifetime, admitTimeout)
	defer cancel()
	r, err := g.peers.clients.AdmitRequest(ctx, p.owner.address, &peerpb.AdmitRequestRequest{
		Engine: incarnationName(w), PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens,
		MaxWaitMs: maxWait.Milliseconds(), DeadlineMs: left.Milliseconds(), Sent: sent, Adapter: need.String(), Mix: requestMix(size), Share: shareMessage(size.Share),
	})
	if err != nil {
		if j.Deadline.After(time.Now()) {
			g.markUnreachable(roleAdmission, claim.Incarnation)
			g.log.Info().Err(err).Str("worker", w.ID).Str("owner", claim.Instance).Msg("owner not reached for the load of its worker")
		}
		return workerload.Answer{}, p, false
	}
	p.number = r.Place
	wait := time.Duration(r.WaitMs) * time.Millisecond
	return workerload.Answer{Known: r.Owned, Admitted: r.Place != 0, Wait: wait, Defers: r.Defers, InTime: wait <= maxWait, OverShare: r.OverShare}, p, r.Absent
}

// ownPlace returns this instance's owner of a place, nil if another instance gave it or the owner has ended.
func (g *Gateway) ownPlace(p workerPlace) *owner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owners[p.worker.Key()]
}

// beginPlace reports to the owner of a place that the first event of its request has arrived, which was sent at a time.
func (g *Gateway) beginPlace(p workerPlace, sent time.Duration) {
	switch {
	case p.number == 0:
	case p.owner.incarnation != g.incarnation:
		g.reportPlace(p, &peerpb.EndRequestRequest{Running: true, DelayMs: (sent - p.asked).Milliseconds()})
	default:
		if own := g.ownPlace(p); own != nil {
			own.beginPlace(p.number, sent-p.asked)
		}
	}
}

// endPlace returns a place to its owner. Complete is true if the whole answer has arrived.
func (g *Gateway) endPlace(p workerPlace, complete bool) {
	switch {
	case p.number == 0:
	case p.owner.incarnation != g.incarnation:
		g.reportPlace(p, &peerpb.EndRequestRequest{Complete: complete})
	default:
		if own := g.ownPlace(p); own != nil {
			own.endPlace(p.number, complete)
		}
	}
}

// reportPlace reports on a place to the instance that has given it. If the call fails, the place ends with the request's
// deadline.
func (g *Gateway) reportPlace(p workerPlace, r *peerpb.EndRequestRequest) {
	r.Engine, r.Place = incarnationName(p.worker), p.number
	g.start("report of a place", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		if _, err := g.peers.clients.EndRequest(ctx, p.owner.address, r); err != nil {
			g.log.Debug().Err(err).Str("worker", p.worker.ID).Str("owner", p.owner.instance).Msg("place at a worker not reported to its owner")
		}
	})
}

// withPlace lets a reservation report to the owner of its place when the answer begins and when the attempt ends.
func (g *Gateway) withPlace(r forward.Reservation, p workerPlace) forward.Reservation {
	sent := p.asked
	sending, answering, done := r.Sending, r.Answering, r.Done
	r.Sending = func(revoke func()) {
		sent = g.now()
		sending(revoke)
	}
	r.Answering = func() {
		g.beginPlace(p, sent)
		answering()
	}
	r.Done = func(o forward.Outcome) {
		g.endPlace(p, o == forward.Succeeded)
		done(o)
	}
	return r
}

// residentChoice is the outcome of chooseResident: a worker with a reservation, a further load, a wait or a refusal.
type residentChoice struct {
	reservation forward.Reservation
	elsewhere   bool
	// loaded is set if the reservation is that of a worker that has just loaded the adapter.
	loaded bool
	// ranked are the workers that were asked, and answers their owners' answers, if the adapter is to be loaded elsewhere.
	ranked  []*workers.Worker
	answers []workerload.Answer
	// absent is set if none of the workers holds the adapter any more.
	absent bool
	// held is set if the job waits, and wait when a worker is expected to begin it.
	held    bool
	wait    time.Duration
	refusal *verdict.Error
}

// chooseResident asks the owners of the workers at which the job's adapter is resident for a place, and reserves the worker that
// gives one. If none does, the adapter is to be loaded at another worker, or the job goes where it waits least.
func (g *Gateway) chooseResident(ctx context.Context, j *forward.Job, o engineOptions, a residency.Adapter) residentChoice {
	var ranked []*workers.Worker
	g.locked(func() { ranked = g.rankByLoad(o.resident) })
	maxWait := workerload.MaxWait(j.Route.TargetLatency - time.Since(j.Arrived))
	var answers []workerload.Answer
	var places []workerPlace
	start := g.now()
	for {
		servers := len(ranked)
		if len(answers) > 0 && g.now()-start >= admitTimeout {
			servers = len(answers)
		}
		c := workerload.Choose(answers, servers, o.further != nil, time.Until(j.Deadline))
		switch c.Step {
		case workerload.Ask:
			answer, p, absent := g.admit(j, ranked[c.Index], maxWait, false)
			if absent {
				g.markAbsent(ranked[c.Index], a)
				if ranked = slices.Delete(ranked, c.Index, c.Index+1); len(ranked) == 0 {
					return residentChoice{absent: true}
				}
				continue
			}
			answers, places = append(answers, answer), append(places, p)
			g.recordOverShare(j, answer)
		case workerload.Send:
			j.Placed = forward.Placed{How: howPlacedAtEngine(answers[c.Index]), Questions: len(answers), Wait: answers[c.Index].Wait}
			return residentChoice{reservation: g.reserveAtPlace(j, o.list, o.holding, a, places[c.Index])}
		case workerload.SendLate:
			j.Placed = forward.Placed{How: placedLate, Questions: len(answers), Wait: answers[c.Index].Wait}
			return g.sendLate(j, o.list, o.holding, a, ranked[c.Index])
		case workerload.LoadElsewhere:
			return residentChoice{elsewhere: true, ranked: ranked, answers: answers}
		case workerload.Hold:
			return residentChoice{held: true, wait: c.RetryAfter}
		default:
			return residentChoice{refusal: g.chosenRefusal(j, c, len(answers))}
		}
	}
}

// howPlacedAtEngine returns how the worker with an answer was found, to which a job is sent.
func howPlacedAtEngine(a workerload.Answer) string {
	if a.Admitted {
		return placedAdmitted
	}
	return placedOwnerUnknown
}

func workersFullError(retryAfter time.Duration) *verdict.Error {
	return refuse(http.StatusServiceUnavailable, "workers_full", "no backend server can answer before the deadline", max(retryAfter, notReadyRetryAfter))
}

// sendLate reserves a worker for a job that is expected to miss its target latency there.
func (g *Gateway) sendLate(j *forward.Job, list, resident []*workers.Worker, a residency.Adapter, w *workers.Worker) residentChoice {
	_, p, absent := g.admit(j, w, 0, true)
	if absent {
		g.markAbsent(w, a)
		return residentChoice{absent: true}
	}
	return residentChoice{reservation: g.reserveAtPlace(j, list, resident, a, p)}
}

// loadFurther lets further workers load the adapter of a job that no worker with the adapter admits: several, one after the other,
// if the job begins there sooner than at the best of those that have it. Otherwise the job goes to that one, or is refused.
func (g *Gateway) loadFurther(ctx context.Context, j *forward.Job, a residency.Adapter, o engineOptions, c residentChoice, slack time.Duration, failed []*workers.Worker) residentChoice {
	slack = workerload.FurtherSlack(c.answers, slack, residency.ResponseReserve(j.Route.TargetLatency), time.Until(j.Deadline))
	tried := slices.Clone(failed)
	for target := o.further; target != nil && len(tried) < len(failed)+loadAttempts && ctx.Err() == nil; {
		if reserved, ok := g.reserveBeforeLoad(j, target); ok {
			if r, ok := g.reserveAfterLoad(ctx, j, target, g.want(j, a, o.version, slack), reserved, o.warm); ok {
				return residentChoice{reservation: r, loaded: true}
			}
		}
		tried = append(tried, target)
		g.locked(func() { target = g.furtherWorker(o.list, o.holding, tried, a, false) })
	}
	switch late := workerload.Choose(c.answers, len(c.answers), false, time.Until(j.Deadline)); late.Step {
	case workerload.SendLate:
		j.Placed = forward.Placed{How: placedLate, Questions: len(c.answers), Wait: c.answers[late.Index].Wait}
		return g.sendLate(j, o.list, o.holding, a, c.ranked[late.Index])
	case workerload.Hold:
		return residentChoice{held: true, wait: late.RetryAfter}
	default:
		return residentChoice{refusal: g.chosenRefusal(j, late, len(c.answers))}
	}
}

// reserveAtPlace reserves the worker of a place for a job whose adapter is resident there.
func (g *Gateway) reserveAtPlace(j *forward.Job, list, resident []*workers.Worker, a residency.Adapter, p workerPlace) forward.Reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	version, accepted := g.adapterVersions(a)
	g.addReplica(list, resident, a, version)
	held := int64(0)
	if version > 0 {
		held = max(accepted, g.residency.Version(p.worker.Key(), a))
	}
	return g.withPlace(g.reserve(j, p.worker, a, held), p)
}

// findOwner returns this instance's owner of the worker incarnation with a name, nil if it does not own it.
func (g *Gateway) findOwner(incarnation string) *owner {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.owners {
		if incarnationName(o.worker) == incarnation {
			return o
		}
	}
	return nil
}

// AdmitRequest implements peerpb.PeerServer.
func (p *peers) AdmitRequest(ctx context.Context, r *peerpb.AdmitRequestRequest) (*peerpb.AdmitRequestResponse, error) {
	if w := p.g.plainWorker(r.Engine); w != nil && r.DeadlineMs > 0 {
		return p.g.admitKept(w, r), nil
	}
	o := p.g.findOwner(r.Engine)
	if o == nil || r.DeadlineMs <= 0 || ctx.Err() != nil {
		return &peerpb.AdmitRequestResponse{}, nil
	}
	var need adapterNeed
	if r.Adapter != "" {
		var err error
		if need.adapter, need.version, err = parseAdapterVersion(r.Adapter); err != nil {
			return nil, err
		}
	}
	size := requestOfMix(r.PromptTokens, r.OutputTokens, r.Mix)
	size.Share = p.g.shareOf(r.Share)
	got := o.admit(size, need, time.Duration(r.MaxWaitMs)*time.Millisecond, time.Duration(r.DeadlineMs)*time.Millisecond, r.Sent)
	return &peerpb.AdmitRequestResponse{Owned: true, Place: got.place, WaitMs: got.wait.Milliseconds(), Absent: got.absent, Defers: got.defers, OverShare: got.overShare}, nil
}

// EndRequest implements peerpb.PeerServer.
func (p *peers) EndRequest(_ context.Context, r *peerpb.EndRequestRequest) (*peerpb.EndRequestResponse, error) {
	if p.g.plainWorker(r.Engine) != nil {
		p.g.endKept(r)
		return &peerpb.EndRequestResponse{}, nil
	}
	switch o := p.g.findOwner(r.Engine); {
	case o == nil:
	case r.Running:
		o.beginPlace(r.Place, time.Duration(r.DelayMs)*time.Millisecond)
	default:
		o.endPlace(r.Place, r.Complete)
	}
	return &peerpb.EndRequestResponse{}, nil
}
