package gateway

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// keeperRefresh is how long the choice of keepers is used before the live instances are looked up again. To hash all of
	// them for each request would cost as much as the call.
	keeperRefresh = 250 * time.Millisecond
	// remotePath is the time that a request to another data centre and its answer take longer.
	remotePath = 2 * time.Millisecond
)

// How a worker of a plain service was chosen, in metrics and in the log.
const (
	placedFirst   = "first"
	placedOther   = "other"
	placedHeld    = "held"
	placedUnknown = "keeper_unknown"
	placedRefused = "refused"
	// At engines: with a place of the owner, with none since the owner was not reached or knew nothing, where it is late but waits
	// least, and after a load.
	placedAdmitted     = "owner"
	placedOwnerUnknown = "owner_unknown"
	placedLate         = "late"
	placedLoaded       = "loaded"
	// placedOverShare is a refusal at both, and its code.
	placedOverShare = "workspace_share"
)

// keepers are the keepers of plain workers, as this instance knows them. The gateway's lock guards it.
type keepers struct {
	known    map[string]peerInstance
	live     []rendezvous.Member
	byName   map[string]peerInstance
	read     bool
	readAt   time.Duration
	outlooks *workerload.Outlooks
	// services is how the requests of each service are placed.
	services map[string]*servicePlacement
}

// servicePlacement is how the requests of a plain service are placed.
type servicePlacement struct {
	extent workerload.Extent
	kept   bool
}

func newKeepers() *keepers {
	return &keepers{known: map[string]peerInstance{}, outlooks: workerload.NewOutlooks(), services: map[string]*servicePlacement{}}
}

// retain removes what is known of workers and services that are not listed. The lock is held.
func (k *keepers) retain(worker, service func(name string) bool) {
	k.outlooks.Retain(worker)
	maps.DeleteFunc(k.known, func(name string, _ peerInstance) bool { return !worker(name) })
	maps.DeleteFunc(k.services, func(name string, _ *servicePlacement) bool { return !service(name) })
}

// keptWorkers are the loads of the plain workers of which this instance is the keeper. Its lock may be taken while the
// gateway's is held.
type keptWorkers struct {
	mu    sync.Mutex
	loads map[string]*workerload.Plain
}

// admit gives a request a place at a worker if it is expected to be served within the bounds.
func (k *keptWorkers) admit(w *workers.Worker, b workerload.Bounds, lifetime, now time.Duration) (uint64, workerload.Outlook) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := incarnationName(w)
	l := k.loads[name]
	if l == nil {
		l = workerload.NewPlain(w.Slots, rand.Uint64()>>1)
		k.loads[name] = l
	}
	return l.Admit(b, lifetime, now)
}

// end returns a place.
func (k *keptWorkers) end(worker string, place uint64, how workerload.Ending, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.loads[worker]; l != nil {
		l.End(place, how, now)
	}
}

// retain removes the workers that are not listed, and shows the others in the metrics.
func (k *keptWorkers) retain(listed func(worker string) bool, m *metrics, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.keptPlaces.Reset()
	m.keptSeconds.Reset()
	for name, l := range k.loads {
		if !listed(name) {
			delete(k.loads, name)
			continue
		}
		// A label that is not valid UTF-8 panics.
		label := labelValue(name)
		m.keptPlaces.WithLabelValues(label).Set(float64(l.Running(now)))
		m.keptSeconds.WithLabelValues(label).Set(l.Time().Seconds())
	}
}

// readKeepers looks up the live instances, if that was not done recently. While this instance itself has no heartbeat read in time, because
// the log service is down or cut off, the last ones known are used: the others can be called nevertheless. The lock is held.
func (g *Gateway) readKeepers(now time.Duration) {
	k := g.keepers
	if k.read && now-k.readAt < keeperRefresh {
		return
	}
	k.read, k.readAt = true, now
	if !g.fleetRead.Load() {
		return
	}
	members := g.members.Live(now, quota.TakeoverDelay)
	// The others may count as silent an interval between heartbeats earlier than this instance. Half the delay is longer than an
	// interval, and over before the first of them does.
	own := slices.IndexFunc(members, func(m fleetlog.Member) bool { return m.Incarnation == g.incarnation })
	if own < 0 || now-members[own].LastHeard > quota.TakeoverDelay(members[own].Lease())/2 {
		return
	}
	k.live, k.byName = nil, map[string]peerInstance{}
	clear(k.known)
	for _, m := range members {
		if !m.Heartbeat.Resigned {
			k.byName[m.Instance] = peerInstance{m.Instance, m.Incarnation, m.Heartbeat.Address}
			k.live = append(k.live, rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB})
		}
	}
}

// keeperOf returns the keeper of a worker, or false if none is known that was reachable recently. The lock is held.
func (g *Gateway) keeperOf(worker string, now time.Duration) (peerInstance, bool) {
	g.readKeepers(now)
	k, ok := g.keepers.known[worker]
	if !ok {
		name, found := quota.LimitHolder(worker, g.keepers.live)
		if !found {
			return peerInstance{}, false
		}
		k = g.keepers.byName[name]
		g.keepers.known[worker] = k
	}
	return k, k.incarnation == g.incarnation || !g.recentlyUnreachable(roleKeeper, k.incarnation, now)
}

// placedByKeepers reports whether keepers place a job. If not, what they recorded for an earlier attempt is removed, so that
// the log line does not state it for this one. The lock is held.
func (g *Gateway) placedByKeepers(j *forward.Job) bool {
	kept := g.serviceKept(j)
	if !kept {
		j.Placed = forward.Placed{}
	}
	return kept
}

// serviceKept reports whether keepers place the requests of a job's service. The lock is held.
func (g *Gateway) serviceKept(j *forward.Job) bool {
	s, ok := j.Config.Service(j.Service)
	return ok && s.Engine == nil && g.updatePlacement(j.Service)
}

// updatePlacements decides for the plain services with workers whether keepers place their requests, also while there are no requests.
// The lock is held.
func (g *Gateway) updatePlacements(t *routing.Table) {
	updated := map[string]bool{}
	for _, w := range g.workers.Load().All() {
		if s, ok := t.Service(w.Service); ok && s.Engine == nil && !updated[w.Service] {
			updated[w.Service] = true
			g.updatePlacement(w.Service)
		}
	}
}

// updatePlacement decides whether keepers place the requests of a plain service. The lock is held.
func (g *Gateway) updatePlacement(service string) bool {
	now := g.now()
	g.readKeepers(now)
	p := g.keepers.services[service]
	if p == nil {
		p = &servicePlacement{}
		g.keepers.services[service] = p
	}
	var slots []int
	for _, w := range g.workers.Load().Ready(service) {
		slots = append(slots, w.Slots)
	}
	kept := p.extent.NeedsKeepers(slots, len(g.keepers.live), now)
	if kept != p.kept && len(slots) > 0 {
		p.kept = kept
		g.log.Info().Str("service", service).Bool("by_keepers", kept).Ints("slots", slots).Int("live", len(g.keepers.live)).Msg("placement of a plain service changed")
	}
	return kept
}

// keeperRound is one round of questions to keepers for a job.
type keeperRound struct {
	workers    []*workers.Worker
	candidates []workerload.Candidate
	answers    []workerload.PlainAnswer
	// places are the latest places given, by candidate.
	places map[int]workerPlace
	// reachable is false if no candidate has a keeper that can be asked.
	reachable bool
	// warm is set if one of the candidates is warm.
	warm bool
	// probe is set if the only candidate is an ejected worker that is due for a probe, although there are others.
	probe bool
}

// newKeeperRound ranks the candidates for a job, without cold ones while there is a warm one if coldFull is set.
func (g *Gateway) newKeeperRound(j *forward.Job, coldFull bool) *keeperRound {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	list := g.candidates(j)
	r := &keeperRound{places: map[int]workerPlace{}, probe: g.isProbe(j, list)}
	list, r.warm = g.preferWarm(list, coldFull)
	unordered := make([]workerload.Candidate, len(list))
	for i, w := range list {
		name := incarnationName(w)
		c := workerload.Candidate{Outlook: g.keepers.outlooks.Of(name, now), Backoff: g.backoff(w, now)}
		if _, ok := g.keeperOf(name, now); ok {
			r.reachable = true
		} else {
			c.Outlook = workerload.OwnView(w.Slots, g.inFlight[w.Key()], c.Time)
		}
		if w.DataCentre != g.settings.DataCentre {
			c.Path = remotePath
		}
		unordered[i] = c
	}
	for _, i := range workerload.Order(unordered, g.plainTimes(j), rand.Float64) {
		r.workers, r.candidates = append(r.workers, list[i]), append(r.candidates, unordered[i])
	}
	return r
}

// isProbe reports whether the candidates for a job are a single ejected worker although there are others that it was not sent to.
// The lock is held.
func (g *Gateway) isProbe(j *forward.Job, list []*workers.Worker) bool {
	e := g.ejectors[j.Service]
	if len(list) != 1 || e == nil || e.Usable(list[0].ID) {
		return false
	}
	return slices.ContainsFunc(g.workers.Load().Ready(j.Service), func(w *workers.Worker) bool {
		return w.Key() != list[0].Key() && !slices.Contains(j.Tried, w.Key())
	})
}

// plainTimes returns the time limits of a job. Without a target latency, it is on time until its deadline.
func (g *Gateway) plainTimes(j *forward.Job) workerload.Times {
	passed, left := time.Since(j.Arrived), time.Until(j.Deadline)
	target := j.Route.TargetLatency
	if target <= 0 {
		target = passed + left
	}
	return workerload.Times{Target: target, Slack: target - passed, Left: left}
}

// placeByKeepers places a job for a plain service where the keepers of its workers know of room.
func (g *Gateway) placeByKeepers(ctx context.Context, j *forward.Job) (forward.Reservation, error) {
	began, withheld, questions, probed, coldFull := g.now(), 0, 0, false, false
	var held time.Duration
	for ctx.Err() == nil && withheld < maxLimitedWorkers {
		r := g.newKeeperRound(j, coldFull)
		if len(r.workers) == 0 {
			break
		}
		if !r.reachable {
			g.recordPlaced(j, forward.Placed{How: placedUnknown, Questions: questions})
			return g.placeByOwnRequests(ctx, j)
		}
		c := g.askKeepers(j, r)
		questions += len(r.answers)
		if r.probe && c.Step != workerload.Send && !probed {
			// The probe is reserved now, so that the next round has the other workers.
			probed = true
			continue
		}
		placed := forward.Placed{Questions: questions, Wait: c.Wait}
		switch c.Step {
		case workerload.Send:
			placed.How = howPlaced(r, c, held)
			g.recordPlaced(j, placed)
			if reservation, ok := g.reserveKept(ctx, j, r.workers[c.Index], r.places[c.Index], r.warm); ok {
				return reservation, nil
			}
			withheld, coldFull = withheld+1, coldFull || g.isCold(r.workers[c.Index])
		case workerload.Hold:
			if !sleep(ctx, c.After) {
				return forward.Reservation{}, noWorkerError()
			}
			held = g.now() - began
			j.Held += c.After
		default:
			if c.Share {
				placed.How = placedOverShare
				g.recordPlaced(j, placed)
				return forward.Reservation{}, g.refuseOverShare(c.After)
			}
			placed.How = placedRefused
			g.recordPlaced(j, placed)
			return forward.Reservation{}, refuse(http.StatusServiceUnavailable, "workers_full", "no backend server can answer before the deadline", c.After)
		}
	}
	return forward.Reservation{}, noWorkerError()
}

// howPlaced returns how the worker of a choice was found.
func howPlaced(r *keeperRound, c workerload.PlainChoice, held time.Duration) string {
	switch {
	case r.places[c.Index].number == 0:
		return placedUnknown
	case held > 0:
		return placedHeld
	case len(r.answers) > 1:
		return placedOther
	default:
		return placedFirst
	}
}

// recordPlaced records how a worker was chosen for a job.
func (g *Gateway) recordPlaced(j *forward.Job, p forward.Placed) {
	j.Placed = p
	g.metrics.plainPlacements.WithLabelValues(p.How).Inc()
}

// askKeepers asks the keepers of a round's workers until it is known what to do with a job.
func (g *Gateway) askKeepers(j *forward.Job, r *keeperRound) workerload.PlainChoice {
	start := g.now()
	var questions workerload.Questions
	for {
		limit := questions.Limit(len(r.candidates), len(r.answers), g.now()-start >= admitTimeout)
		c := workerload.ChoosePlain(r.candidates[:limit], r.answers, g.plainTimes(j), rand.Float64())
		if c.Step != workerload.Ask {
			return c
		}
		answer, place := g.askKeeper(j, r.workers[c.Index], c.Bounds)
		answer.Index = c.Index
		r.answers = append(r.answers, answer)
		r.places[c.Index] = place
	}
}

// askKeeper asks the keeper of a worker for a place for a job.
func (g *Gateway) askKeeper(j *forward.Job, w *workers.Worker, b workerload.Bounds) (workerload.PlainAnswer, workerPlace) {
	name, left := incarnationName(w), time.Until(j.Deadline)
	b.Share = g.jobShare(j)
	g.mu.Lock()
	now := g.now()
	keeper, ok := g.keeperOf(name, now)
	g.mu.Unlock()
	p := workerPlace{worker: w, owner: keeper, asked: now}
	if !ok || left <= 0 {
		return workerload.PlainAnswer{}, p
	}
	var o workerload.Outlook
	if keeper.incarnation == g.incarnation {
		p.number, o = g.kept.admit(w, b, left, now)
		g.metrics.countKept(p.number != 0)
	} else {
		// The answer is awaited even if the caller leaves: a place in an answer that is not read would be kept until the deadline.
		timeout := min(admitTimeout, left)
		ctx, cancel := context.WithTimeout(g.lifetime, timeout)
		defer cancel()
		r, err := g.peers.clients.AdmitRequest(ctx, keeper.address, &peerpb.AdmitRequestRequest{
			Engine: name, MaxWaitMs: b.MaxWait.Milliseconds(), WithinMs: b.Within.Milliseconds(), DeadlineMs: left.Milliseconds(), Share: shareMessage(b.Share),
		})
		if err != nil {
			if left > admitTimeout {
				g.markUnreachable(roleKeeper, keeper.incarnation)
			}
			g.log.Info().Err(err).Str("worker", w.ID).Str("keeper", keeper.instance).Int64("timeout_ms", timeout.Milliseconds()).Msg("keeper of a worker not reached")
			return workerload.PlainAnswer{}, p
		}
		if !r.Owned {
			return workerload.PlainAnswer{}, p
		}
		p.number = r.Place
		o = workerload.Outlook{Wait: time.Duration(r.WaitMs) * time.Millisecond, Room: r.Room, Time: time.Duration(r.RequestMs) * time.Millisecond}
		if r.OverShare {
			o.OverShare = o.Wait
		}
	}
	if o.OverShare > 0 {
		// The wait is that of this workspace alone and says nothing of the worker.
		answer := workerload.PlainAnswer{Answer: workerload.Answer{Known: true, Wait: o.OverShare, OverShare: true}, Time: o.Time}
		g.recordOverShare(j, answer.Answer)
		return answer, p
	}
	g.locked(func() { g.keepers.outlooks.Answered(name, o, g.now()) })
	return workerload.PlainAnswer{Answer: workerload.Answer{Known: true, Admitted: p.number != 0, Wait: o.Wait}, Time: o.Time}, p
}

// reserveKept reserves a worker at which a job has a place, if its keeper gave one, and waits until the request may be sent.
// It reports false if the worker has no capacity in time; the place is then returned.
func (g *Gateway) reserveKept(ctx context.Context, j *forward.Job, w *workers.Worker, p workerPlace, warm bool) (forward.Reservation, bool) {
	var r forward.Reservation
	g.locked(func() { r = g.withKeptPlace(g.reserve(j, w, residency.Adapter{}, 0), p) })
	if g.claimCapacity(ctx, j, w, warm) {
		return r, true
	}
	r.Done(forward.Withheld)
	return forward.Reservation{}, false
}

// withKeptPlace lets a reservation return its place to the worker's keeper when the attempt ends.
func (g *Gateway) withKeptPlace(r forward.Reservation, p workerPlace) forward.Reservation {
	sent := false
	confirm, done := r.Confirm, r.Done
	r.Confirm = func() error {
		err := confirm()
		sent = err == nil
		return err
	}
	r.Done = func(o forward.Outcome) {
		g.returnPlace(p, endingOf(o, sent))
		done(o)
	}
	return r
}

// endingOf returns how a request ended for its place, given the outcome of the attempt and whether it was sent.
func endingOf(o forward.Outcome, sent bool) workerload.Ending {
	switch o {
	case forward.Succeeded, forward.Failed:
		return workerload.Completed
	case forward.Rejected:
		return workerload.Rejected
	case forward.Withheld, forward.Misdirected:
		return workerload.Unsent
	case forward.Abandoned:
		if !sent {
			return workerload.Unsent
		}
		return workerload.Abandoned
	}
	return workerload.Failed
}

// returnPlace returns a place to the keeper that gave it. Nothing waits for the report.
func (g *Gateway) returnPlace(p workerPlace, how workerload.Ending) {
	switch {
	case p.number == 0:
	case p.owner.incarnation == g.incarnation:
		g.kept.end(incarnationName(p.worker), p.number, how, g.now())
	default:
		g.reportPlace(p, &peerpb.EndRequestRequest{
			Complete: how == workerload.Completed, Unsent: how == workerload.Unsent, Rejected: how == workerload.Rejected, Abandoned: how == workerload.Abandoned,
		})
	}
}

// plainWorker returns the worker incarnation of a plain service with a name, nil if there is none. Any instance that is asked acts
// as the keeper: instances may see different members for a moment.
func (g *Gateway) plainWorker(incarnation string) *workers.Worker {
	i := strings.LastIndexByte(incarnation, '@')
	if i < 0 {
		return nil
	}
	w, ok := g.workers.Load().Get(incarnation[:i])
	t := g.table.Load()
	if !ok || t == nil || incarnationName(w) != incarnation {
		return nil
	}
	if s, ok := t.Service(w.Service); !ok || s.Engine != nil {
		return nil
	}
	return w
}

// admitKept answers another instance's question for a place at a plain worker.
func (g *Gateway) admitKept(w *workers.Worker, r *peerpb.AdmitRequestRequest) *peerpb.AdmitRequestResponse {
	b := workerload.Bounds{MaxWait: time.Duration(r.MaxWaitMs) * time.Millisecond, Within: time.Duration(r.WithinMs) * time.Millisecond, Share: g.shareOf(r.Share)}
	place, o := g.kept.admit(w, b, time.Duration(r.DeadlineMs)*time.Millisecond, g.now())
	g.metrics.countKept(place != 0)
	wait := cmp.Or(o.OverShare, o.Wait)
	return &peerpb.AdmitRequestResponse{Owned: true, Place: place, WaitMs: wait.Milliseconds(), Room: o.Room, RequestMs: o.Time.Milliseconds(), OverShare: o.OverShare > 0}
}

// endKept applies another instance's report of a place at a plain worker.
func (g *Gateway) endKept(r *peerpb.EndRequestRequest) {
	how := workerload.Failed
	switch {
	case r.Complete:
		how = workerload.Completed
	case r.Unsent:
		how = workerload.Unsent
	case r.Rejected:
		how = workerload.Rejected
	case r.Abandoned:
		how = workerload.Abandoned
	}
	g.kept.end(r.Engine, r.Place, how, g.now())
}
