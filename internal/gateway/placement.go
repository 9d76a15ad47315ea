package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// remotePenalty is how many more requests a worker of this data centre may have in flight before a worker of
	// another is chosen. Traffic between data centres is billed, and a hop costs milliseconds.
	remotePenalty = 3.0
	// loadAttempts is how many workers are asked to load an adapter for one request while the request can meet its
	// target latency, and how many more once it cannot.
	loadAttempts = 3
)

// placement implements forward.Placement.
type placement Gateway

// Place implements forward.Placement.
func (p *placement) Place(ctx context.Context, j *forward.Job) (forward.Reservation, error) {
	g := (*Gateway)(p)
	firstAttempt := j.Service == ""
	var refusal *verdict.Error
	g.locked(func() {
		if firstAttempt {
			j.Service = chooseService(j.Route)
			g.budget(j.Service).CountRequest(g.now())
		}
		refusal = g.crashRefusal(j)
	})
	if refusal != nil {
		return forward.Reservation{}, refusal
	}
	if resumesStream(j) {
		if err := g.streams.resume(ctx, j); err != nil {
			return forward.Reservation{}, err
		}
	}
	s, ok := j.Config.Service(j.Service)
	if !ok {
		return forward.Reservation{}, refuse(http.StatusServiceUnavailable, "no_service", "the route's service is not configured", notReadyRetryAfter)
	}
	var reservation forward.Reservation
	var err error
	if s.Engine == nil || j.Model == "" {
		reservation, err = g.placeByLoad(ctx, j)
	} else {
		reservation, err = g.placeInMixture(ctx, j, firstAttempt)
	}
	return reservation, g.limitError(j, err)
}

// HasOther implements forward.Placement.
func (p *placement) HasOther(service string, tried []workers.Key) bool {
	g := (*Gateway)(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return slices.ContainsFunc(g.workers.Load().Ready(service), func(w *workers.Worker) bool {
		return !slices.Contains(tried, w.Key()) && !g.leaving(w) && !g.evacuated(w) && g.knownWait(w, now) == 0
	})
}

// chooseService picks one of a route's services at random, by weight.
func chooseService(r *routing.Route) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	x := rand.Float64() * total
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// setEjectors updates the ejectors of all services with their workers that are not draining. The lock is held.
func (g *Gateway) setEjectors(set *workers.Set) {
	t := g.table.Load()
	if t == nil {
		return
	}
	names := map[string][]string{}
	for _, w := range set.All() {
		if !w.Draining {
			names[w.Service] = append(names[w.Service], w.ID)
		}
	}
	for s, list := range names {
		e := g.ejectors[s]
		if e == nil {
			e = retry.NewEjector(retry.EjectorSettings{})
			g.ejectors[s] = e
		}
		e.SetServers(list)
	}
}

// candidates returns the ready workers that the job was not sent to yet, that do not leave, whose data centre is not evacuated, and
// that take it in time as far as their limits and back-offs are known, and on whose software version its stream may go on, without
// ejected ones unless all are ejected.
// For an idempotent request, an ejected worker that is due for a probe is the only candidate. The lock is held.
func (g *Gateway) candidates(j *forward.Job) []*workers.Worker {
	ready := g.workers.Load().Ready(j.Service)
	untried := make([]*workers.Worker, 0, len(ready))
	now, maxWait := g.now(), limitWait(j)
	for _, w := range ready {
		if !g.leaving(w) && !g.evacuated(w) && g.knownWait(w, now) <= maxWait && !slices.Contains(j.Tried, w.Key()) {
			untried = append(untried, w)
		}
	}
	untried = g.streams.keepFitting(j, untried)
	e := g.ejectors[j.Service]
	if e == nil {
		return untried
	}
	usable := make([]*workers.Worker, 0, len(untried))
	for _, w := range untried {
		if e.Usable(w.ID) {
			usable = append(usable, w)
		} else if j.Route.Kind == routing.Idempotent && g.backoff(w, now) == 0 && e.TryProbe(w.ID, time.Now()) {
			return []*workers.Worker{w}
		}
	}
	if len(usable) == 0 {
		return untried
	}
	return usable
}

// rankByLoad returns the candidates in the order in which they are preferred: those that back off last, the sooner they take
// requests the earlier; then those with the fewest requests of this instance in flight, with a preference for this data
// centre. The lock is held.
func (g *Gateway) rankByLoad(list []*workers.Worker) []*workers.Worker {
	type ranked struct {
		worker *workers.Worker
		wait   time.Duration
		score  float64
	}
	now := g.now()
	order := make([]ranked, 0, len(list))
	for _, w := range list {
		score := float64(g.inFlight[w.Key()]) + rand.Float64()
		if w.DataCentre != g.settings.DataCentre {
			score += remotePenalty
		}
		order = append(order, ranked{w, g.backoff(w, now), score})
	}
	slices.SortFunc(order, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.wait, y.wait), cmp.Compare(x.score, y.score))
	})
	out := make([]*workers.Worker, len(order))
	for i, r := range order {
		out[i] = r.worker
	}
	return out
}

// leastLoaded returns the first candidate by rankByLoad, nil if there is none. The lock is held.
func (g *Gateway) leastLoaded(list []*workers.Worker) *workers.Worker {
	if len(list) == 0 {
		return nil
	}
	return g.rankByLoad(list)[0]
}

// codeNoWorker is the refusal code of a job for which there is no worker.
const codeNoWorker = "no_worker"

func noWorkerError() *verdict.Error {
	return refuse(http.StatusServiceUnavailable, codeNoWorker, "no backend server can take the request", notReadyRetryAfter)
}

func adapterAbsentError() *verdict.Error {
	return refuse(http.StatusServiceUnavailable, "adapter_absent", "the adapter could not be loaded in time", notReadyRetryAfter)
}

// placeByLoad places a job that needs no model or adapter: by the keepers of the workers, or at the worker that is least loaded by
// this instance's own requests.
func (g *Gateway) placeByLoad(ctx context.Context, j *forward.Job) (forward.Reservation, error) {
	kept := false
	g.locked(func() { kept = g.placedByKeepers(j) })
	if kept {
		return g.placeByKeepers(ctx, j)
	}
	return g.placeByOwnRequests(ctx, j)
}

// placeByOwnRequests places a job at the worker that is least loaded by this instance's own requests.
func (g *Gateway) placeByOwnRequests(ctx context.Context, j *forward.Job) (forward.Reservation, error) {
	warm, coldFull := false, false
	for range maxLimitedWorkers {
		var w *workers.Worker
		var reservation forward.Reservation
		g.locked(func() {
			var list []*workers.Worker
			list, warm = g.preferWarm(g.candidates(j), coldFull)
			if w = g.leastLoaded(list); w != nil {
				reservation = g.reserve(j, w, residency.Adapter{}, 0)
			}
		})
		if w == nil {
			break
		}
		if g.claimCapacity(ctx, j, w, warm) {
			return reservation, nil
		}
		coldFull = coldFull || g.isCold(w)
		reservation.Done(forward.Withheld)
		if ctx.Err() != nil {
			break
		}
	}
	return forward.Reservation{}, noWorkerError()
}

// reserve counts a request at a worker and returns the reservation whose Done ends it. The lock is held.
func (g *Gateway) reserve(j *forward.Job, w *workers.Worker, a residency.Adapter, version int64) forward.Reservation {
	k := w.Key()
	g.inFlight[k]++
	if a.Name != "" {
		g.requestStarted(k, a)
	}
	return forward.Reservation{
		Worker: w, AdapterVersion: version,
		Sending:   func(revoke func()) { g.attemptSent(j, w, a, version, revoke) },
		Confirm:   func() error { return g.confirmSend(j, w, a, version) },
		Answered:  func(r external.WorkerResponse) { g.workerAnswered(w, r) },
		Begin:     func(ctx context.Context) error { return g.streams.begin(ctx, j, w) },
		Answering: func() { g.answerBegan(j) },
		Done:      func(o forward.Outcome) { g.attemptEnded(j, w, a, o) },
	}
}

// requestStarted counts a request in flight for an adapter, so that the adapter is not unloaded. The lock is held.
func (g *Gateway) requestStarted(k workers.Key, a residency.Adapter) {
	g.usageOf(k, a).inFlight++
	if o := g.owners[k]; o != nil {
		o.requestStarted(a, g.now())
	}
}

// recordSent counts a use of an adapter by a request that is sent to the worker. The lock is not held.
func (g *Gateway) recordSent(w *workers.Worker, a residency.Adapter) {
	if a.Name == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usageOf(w.Key(), a).count++
	g.recordUse(w.ID, a, 1, g.now())
}

// usageOf returns the usage of an adapter at a worker since the last heartbeat. The lock is held.
func (g *Gateway) usageOf(k workers.Key, a residency.Adapter) *usage {
	u := g.usage[workerAdapter{k.ID, a}]
	if u == nil {
		u = &usage{}
		g.usage[workerAdapter{k.ID, a}] = u
	}
	return u
}

// requestEnded counts the end of a request for an adapter. The lock is held.
func (g *Gateway) requestEnded(k workers.Key, a residency.Adapter) {
	if u := g.usage[workerAdapter{k.ID, a}]; u != nil && u.inFlight > 0 {
		u.inFlight--
	}
	if o := g.owners[k]; o != nil {
		o.requestEnded(a, g.now())
	}
}

// attemptEnded records the outcome of an attempt at a worker.
func (g *Gateway) attemptEnded(j *forward.Job, w *workers.Worker, a residency.Adapter, o forward.Outcome) {
	if o == forward.Succeeded || o == forward.Failed && j.Route.Kind != routing.Stream {
		g.answerEnded(j)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := w.Key()
	sent := g.sent[j]
	delete(g.sent, j)
	delete(g.coldPermits, j)
	if o == forward.Broken || o == forward.Interrupted {
		g.recordBrokenAttempt(j, w, sent.process, o)
	}
	g.inFlight[k]--
	if a.Name != "" {
		g.requestEnded(k, a)
	}
	if o == forward.Misdirected && a.Model != "" {
		g.residency.Record(k, a, 0, false, g.now())
	}
	e := g.ejectors[j.Service]
	if e == nil || o == forward.Abandoned || o == forward.Rejected || o == forward.Misdirected || o == forward.Withheld {
		return
	}
	e.RecordResult(k.ID, o == forward.Succeeded || o == forward.Failed, time.Now())
}

// adapterVersions returns the version that a request for the adapter should use, and the oldest version that is
// accepted while the new one is being loaded. The lock is held.
func (g *Gateway) adapterVersions(a residency.Adapter) (version, accepted int64) {
	required, ok := g.versions[a]
	if !ok {
		return 0, 0
	}
	if g.now()-required.learned < g.settings.Bounds.versionOverlap() {
		return required.version, required.version - 1
	}
	return required.version, required.version
}

// placeEngine places a job at a worker that holds its adapter, or else asks owners to load the adapter. A job that can
// no longer meet its target latency is late: its loads are requested without a slack. The error is a heldJob if the job is to
// wait until workers are asked again. If elsewhere is set, no load is started beside workers that hold the adapter.
func (g *Gateway) placeEngine(ctx context.Context, j *forward.Job, elsewhere bool) (forward.Reservation, error) {
	a := residency.Adapter{Model: j.Model, Name: j.Adapter}
	var failed []*workers.Worker
	late, coldFull := false, false
	for range 2*loadAttempts + maxLimitedWorkers {
		slack := j.Route.TargetLatency - time.Since(j.Arrived) - residency.ResponseReserve(j.Route.TargetLatency)
		if !late && (slack < time.Millisecond || len(failed) == loadAttempts) {
			late, failed = true, nil
		}
		if late {
			if len(failed) == loadAttempts {
				break
			}
			slack = 0
		}
		o := g.engineOptions(j, a, failed, late || elsewhere, coldFull)
		if o.refusal != nil {
			return forward.Reservation{}, o.refusal
		}
		target := o.target
		if target == nil && len(o.resident) > 0 {
			c := g.chooseResident(ctx, j, o, a)
			if c.elsewhere && g.ownersKnowRequests() {
				c, elsewhere = g.loadFurther(ctx, j, a, o, c, slack, failed), true
			}
			switch {
			case c.loaded:
				return c.reservation, nil
			case c.refusal != nil:
				return forward.Reservation{}, c.refusal
			case c.absent:
				continue
			case c.held:
				return forward.Reservation{}, heldJob{c.wait, elsewhere}
			case c.elsewhere:
				target, elsewhere = o.further, true
			case g.claimCapacity(ctx, j, c.reservation.Worker, o.warm) && !g.reservedExpired(c.reservation, a):
				g.recordSent(c.reservation.Worker, a)
				return c.reservation, nil
			default:
				c.reservation.Done(forward.Withheld)
				coldFull = coldFull || g.isCold(c.reservation.Worker)
				if ctx.Err() != nil {
					return forward.Reservation{}, adapterAbsentError()
				}
				continue
			}
		}
		if target == nil && !late && len(failed) > 0 {
			late, failed = true, nil
			continue
		}
		if target == nil {
			return forward.Reservation{}, noWorkerError()
		}
		reserved, ok := g.reserveBeforeLoad(j, target)
		if !ok {
			continue
		}
		if reservation, ok := g.reserveAfterLoad(ctx, j, target, g.want(j, a, o.version, slack), reserved, o.warm); ok {
			return reservation, nil
		}
		if ctx.Err() != nil {
			break
		}
		failed = append(failed, target)
	}
	if late && g.holdsForLoad(ctx, j) {
		return forward.Reservation{}, heldJob{0, elsewhere}
	}
	return forward.Reservation{}, adapterAbsentError()
}

// want returns what a worker's owner is asked for on behalf of a job.
func (g *Gateway) want(j *forward.Job, a residency.Adapter, version int64, slack time.Duration) wantedAdapter {
	size := g.jobSize(j)
	size.Share = g.jobShare(j)
	return wantedAdapter{
		adapter: a, version: version, slack: slack, reserve: residency.ResponseReserve(j.Route.TargetLatency),
		size: size, left: time.Until(j.Deadline),
	}
}

// reservedExpired reports whether a request may no longer begin on the version of an adapter with which it was reserved. The
// lock is not held.
func (g *Gateway) reservedExpired(r forward.Reservation, a residency.Adapter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.versionExpired(a, r.AdapterVersion)
}

// engineOptions are the workers at which a job for an adapter may be placed.
type engineOptions struct {
	// list holds the candidates, holding those that hold the adapter, and resident those of them to which the job may go: of the cold
	// ones, only those with capacity if there is a warm one.
	list, holding, resident []*workers.Worker
	// warm is set if one of those that hold the adapter is warm.
	warm bool
	// target is the worker that should load the adapter, nil if the job should go to a resident one, and further the one that
	// loads it if no resident worker admits the job.
	target, further *workers.Worker
	// version is the adapter version that the job should use.
	version int64
	// refusal is set if the job must not be placed.
	refusal *verdict.Error
}

// engineOptions returns the workers at which a job may be placed. If noFurther is set, no further load may be started for it, and
// if noCold is set, it goes to no cold worker that holds the adapter while there is a warm one.
func (g *Gateway) engineOptions(j *forward.Job, a residency.Adapter, failed []*workers.Worker, noFurther, noCold bool) (o engineOptions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var accepted int64
	o.list = g.candidates(j)
	o.version, accepted = g.adapterVersions(a)
	o.holding = g.residentWorkers(o.list, a, accepted)
	o.resident, o.warm = g.preferWarm(o.holding, noCold)
	if o.refusal = g.crashRefusal(j); o.refusal != nil {
		return o
	}
	if len(o.holding) == 0 && !g.fitsWorkers(j) {
		o.refusal = refuse(http.StatusServiceUnavailable, "fits_no_worker", "no backend server has memory for the model and the adapter", configurationRetryAfter)
		return o
	}
	o.target = g.loadingWorker(o.list, o.resident, failed, a)
	o.further = g.furtherWorker(o.list, o.holding, failed, a, noFurther)
	return o
}

// fitsWorkers reports whether an empty worker of the job's service has memory for its model and adapter. The lock is held.
func (g *Gateway) fitsWorkers(j *forward.Job) bool {
	if j.Config == nil {
		return true
	}
	s, ok := j.Config.Service(j.Service)
	if !ok || s.Engine == nil || s.Engine.AdapterSlots <= 0 {
		return true
	}
	room := s.Engine.AdapterRoom(j.Model, nil)
	return room > 0 || room == 0 && j.Adapter == ""
}

// reserveAfterLoad lets a worker load the job's adapter and reserves it, if both are done in time and the worker takes the
// request, also by what was reserved before the load. It does not wait for a cold worker if warm is set.
func (g *Gateway) reserveAfterLoad(ctx context.Context, j *forward.Job, w *workers.Worker, want wantedAdapter, reserved loadReservation, warm bool) (forward.Reservation, bool) {
	place, loaded := g.ensureResident(ctx, w, want)
	if loaded && g.claimAfterLoad(ctx, j, w, reserved, warm) {
		if reservation, ok := g.reserveLoaded(j, w, want.adapter, want.version); ok {
			j.Placed = forward.Placed{How: placedLoaded}
			g.recordSent(w, want.adapter)
			return g.withPlace(reservation, place), true
		}
	}
	g.endPlace(place, false)
	g.dropColdPermit(j)
	if !loaded {
		g.locked(func() { g.movedByEvacuation(w) })
	}
	return forward.Reservation{}, false
}

// reserveLoaded reserves a worker that has just loaded the adapter, if it may still be used.
func (g *Gateway) reserveLoaded(j *forward.Job, w *workers.Worker, a residency.Adapter, version int64) (forward.Reservation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.stillUsable(j, w)
	if current == nil {
		return forward.Reservation{}, false
	}
	return g.reserve(j, current, a, version), true
}

// stillUsable returns the current entry of a worker that was chosen before a wait, or nil if it was removed or replaced or
// began to drain, to leave or to back off, if its data centre is evacuated, or if requests like the job were found to crash workers. The lock is held.
func (g *Gateway) stillUsable(j *forward.Job, w *workers.Worker) *workers.Worker {
	current, ok := g.workers.Load().Get(w.ID)
	if !ok || current.Key() != w.Key() || current.Software != w.Software || g.movedByEvacuation(current) || current.Draining || g.leaving(w) || g.backoff(w, g.now()) > 0 || g.crashRefusal(j) != nil {
		return nil
	}
	return current
}

// confirmSend returns an error if a worker may not be used any more for a request that is about to be sent to it.
func (g *Gateway) confirmSend(j *forward.Job, w *workers.Worker, a residency.Adapter, version int64) error {
	if err := g.streams.prepare(j, w); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stillUsable(j, w) == nil {
		return refuse(http.StatusServiceUnavailable, "worker_withdrawn", "the backend server takes no requests any more", notReadyRetryAfter)
	}
	if g.versionExpired(a, version) {
		return refuse(http.StatusServiceUnavailable, "version_withdrawn", "a newer version of the adapter must be used", notReadyRetryAfter)
	}
	return g.confirmCold(j, w)
}

// versionExpired reports whether a request may no longer begin on a version of an adapter, which is 0 for any. Attempts that
// are on their way are revoked at that time, and one that is sent later is not. The lock is held.
func (g *Gateway) versionExpired(a residency.Adapter, version int64) bool {
	required, ok := g.versions[a]
	return ok && version < required.version && g.now()-required.learned >= g.settings.Bounds.oldVersionBegin()
}

// residentWorkers returns the workers at which the adapter is resident in at least the version, as far as this instance
// knows. The lock is held.
func (g *Gateway) residentWorkers(list []*workers.Worker, a residency.Adapter, version int64) []*workers.Worker {
	var out []*workers.Worker
	for _, w := range list {
		if g.residency.Holds(w.Key(), a, version) {
			out = append(out, w)
		}
	}
	return out
}

// loadingWorker returns the worker at which the adapter should be loaded for a job, or nil if there is none, or if the job
// should go to a worker at which the adapter is resident. A load elsewhere is faster than a long wait for one that backs off.
// The lock is held.
func (g *Gateway) loadingWorker(list, resident, failed []*workers.Worker, a residency.Adapter) *workers.Worker {
	if a.Name == "" || len(g.soonAvailable(resident)) > 0 {
		return nil
	}
	if w := g.loadTarget(g.soonAvailable(list), failed, a); w != nil || len(resident) > 0 {
		return w
	}
	return g.loadTarget(list, failed, a)
}

// furtherWorker returns the worker at which the adapter may be loaded for a job that no worker with the adapter admits in
// time, nil if there is none or the job may not wait for another load. The lock is held.
func (g *Gateway) furtherWorker(list, resident, failed []*workers.Worker, a residency.Adapter, mayNot bool) *workers.Worker {
	if mayNot || a.Name == "" {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(g.soonAvailable(list)), func(w *workers.Worker) bool { return slices.Contains(resident, w) })
	return g.loadTarget(others, failed, a)
}

// loadTarget returns the worker that should load the adapter: the first in the adapter's ranking of workers that holds
// the base model, has a reachable owner and did not fail to load the adapter. A cold worker loads it only if no warm one can. The
// lock is held.
func (g *Gateway) loadTarget(list, failed []*workers.Worker, a residency.Adapter) *workers.Worker {
	var cold *workers.Worker
	now := g.now()
	for _, w := range residency.RankWorkers(a, g.residentWorkers(list, residency.Adapter{Model: a.Model}, 0)) {
		switch {
		case slices.Contains(failed, w) || !g.hasReachableOwner(w):
		case !g.cold(w, now):
			return w
		case cold == nil:
			cold = w
		}
	}
	return cold
}

// addReplica starts the load of an adapter at one more worker if the adapter has fewer replicas than its use requires.
// The lock is held.
func (g *Gateway) addReplica(list, resident []*workers.Worker, a residency.Adapter, version int64) {
	replicas := g.popularity.Replicas(a, len(list), g.now())
	if a.Name == "" || len(resident) >= replicas {
		return
	}
	for _, w := range residency.RankWorkers(a, list)[:replicas] {
		if slices.Contains(resident, w) || g.replicaLoads[workerAdapter{w.ID, a}] {
			continue
		}
		g.replicaLoads[workerAdapter{w.ID, a}] = true
		g.start("load of a replica", func(ctx context.Context) {
			defer func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				delete(g.replicaLoads, workerAdapter{w.ID, a})
			}()
			ctx, cancel := context.WithTimeout(ctx, ownerResponseTimeout)
			defer cancel()
			g.ensureResident(ctx, w, wantedAdapter{adapter: a, version: version})
		})
		return
	}
}
