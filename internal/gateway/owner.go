package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// reportTimeout bounds the wait for a worker's status report.
const reportTimeout = 500 * time.Millisecond

// unknownPlacesTime is how long an owner does not know the requests that were placed before it began: until heartbeats of all
// instances have reported what runs.
const unknownPlacesTime = 3 * time.Second

// leaseCheckInterval is the time between two checks whether the instance may send orders again.
const leaseCheckInterval = 100 * time.Millisecond

// owner sends orders to one worker, one at a time. Its lock may be taken while the gateway's is held.
type owner struct {
	g      *Gateway
	worker *workers.Worker
	fence  int64
	cancel context.CancelFunc
	// wake ends the wait of run for the next action.
	wake chan struct{}

	mu    sync.Mutex
	state *residency.Owner
	load  *workerload.Load
	// created is when the owner was started.
	created time.Duration
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	stopped bool
	// paused means that the worker's data centre is evacuated: it gets no orders, and no request waits for it.
	paused bool
}

// newOwner starts an owner of a worker whose claim has the given fence.
func (g *Gateway) newOwner(w *workers.Worker, e *routing.Engine, fence int64) *owner {
	ctx, cancel := context.WithCancel(g.lifetime)
	o := &owner{
		g: g, worker: w, fence: fence, cancel: cancel, wake: make(chan struct{}, 1),
		state:   residency.NewOwner(e.Models[0].Name, e.AdapterSlots, g.now()),
		load:    workerload.New(e.Slots, e.MemoryTokens),
		changed: make(chan struct{}), created: g.now(),
	}
	o.state.LimitMemory(func(models []string) int { return e.AdapterRoom(e.Models[0].Name, models) })
	// A late report on a place that an earlier owner in this process gave must not end one of this owner.
	o.load.StartPlaces(rand.Uint64() >> 1)
	g.start("owner of a worker", func(context.Context) {
		failed := true
		defer func() {
			if failed {
				// The worker is claimed anew.
				o.stop()
			}
		}()
		o.run(ctx)
		failed = false
	})
	return o
}

// stop ends the orders and wakes all waiting requests.
func (o *owner) stop() {
	o.cancel()
	o.mu.Lock()
	o.stopped = true
	o.broadcast()
	o.mu.Unlock()
}

// setPaused records whether the worker's data centre is evacuated. Waiting requests are woken, so that they go elsewhere. After an
// evacuation the worker's state is read anew.
func (o *owner) setPaused(paused bool) {
	o.mu.Lock()
	changed := paused != o.paused
	if changed {
		o.paused = paused
		if !paused {
			o.state.Resync(o.g.now())
		}
		o.broadcast()
	}
	o.mu.Unlock()
	if changed {
		o.wakeUp()
	}
}

// isPaused reports whether the worker's data centre is evacuated.
func (o *owner) isPaused() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.paused
}

// isStopped reports whether the owner sends no more orders.
func (o *owner) isStopped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped
}

// broadcast wakes all goroutines that wait for a change of the state. The lock is held.
func (o *owner) broadcast() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// wakeUp lets run look for the next action at once.
func (o *owner) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *owner) recordUse(a residency.Adapter, n float64, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordUse(a, n, now)
}

func (o *owner) setRunning(instance string, running map[residency.Adapter]int, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.SetRunning(instance, running, now)
}

func (o *owner) retainInstances(keep func(incarnation string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RetainInstances(keep)
}

func (o *owner) requestStarted(a residency.Adapter, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RequestStarted(a, o.g.incarnation, now)
}

func (o *owner) requestEnded(a residency.Adapter, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RequestEnded(a, o.g.incarnation, now)
}

// loadNewVersion schedules the load of a new version of an adapter that the worker holds. The load is due when
// requests may no longer use the old version.
func (o *owner) loadNewVersion(a residency.Adapter, version int64) {
	o.mu.Lock()
	_, holds := o.state.Holds(a, 0)
	if holds {
		now := o.g.now()
		o.state.AddWaiter(a, version, now+o.g.settings.Bounds.versionOverlap(), now)
	}
	o.mu.Unlock()
	if holds {
		o.wakeUp()
	}
}

// wantedAdapter is a request for an adapter at a worker.
type wantedAdapter struct {
	adapter residency.Adapter
	version int64
	// slack, if positive, is the time within which the adapter must be resident for the request to meet its target; the
	// request is not admitted if the load would take longer. A slack of 0 means that the request is already late.
	slack time.Duration
	// reserve is the time between then and the target latency.
	reserve time.Duration
	// size is the size of the request, and left the time until its deadline. If left is 0, no place is needed.
	size workerload.Request
	left time.Duration
	// recorded is true if the owner records for which adapters it gives places.
	recorded bool
}

// loadedAdapter is the outcome of a request for an adapter.
type loadedAdapter struct {
	// resident says whether the adapter is resident in at least the wanted version, and admitted whether the request was
	// admitted to wait for it.
	resident, admitted bool
	// place is the request's place at the worker.
	place uint64
}

// ensureResident waits until the adapter is resident.
func (o *owner) ensureResident(ctx context.Context, want wantedAdapter) (out loadedAdapter) {
	due := time.Duration(0)
	if want.slack > 0 {
		due = o.g.now() + want.slack
	}
	want.recorded = o.g.ownersKnowRequests()
	if out = o.beginWait(want, due); !out.admitted {
		return out
	}
	defer func() { o.endWait(want.adapter, due, out) }()
	for {
		resident, changed := o.checkWait(want.adapter, want.version)
		if resident || changed == nil {
			out.resident = resident
			return out
		}
		o.wakeUp()
		select {
		case <-ctx.Done():
			return out
		case <-changed:
		}
	}
}

// beginWait adds a request that waits for an adapter until the time due, and gives it its place, if it is admitted.
func (o *owner) beginWait(want wantedAdapter, due time.Duration) (out loadedAdapter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.g.now()
	o.state.SetPlacesKnown(want.recorded && now-o.created >= unknownPlacesTime)
	if o.stopped || o.paused || !o.g.maySendOrders() || !o.state.Admits(want.adapter, want.version, due, now) || !o.placeWaiter(want, now, &out) {
		return out
	}
	out.admitted = true
	o.state.AddWaiter(want.adapter, want.version, due, now)
	return out
}

// checkWait reports whether an adapter is resident. If it is not, it requests the adapter and returns a channel that is closed at
// the next change of the state, nil if the owner has stopped.
func (o *owner) checkWait(a residency.Adapter, version int64) (resident bool, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.state.Holds(a, version); ok || o.stopped || o.paused {
		return ok, nil
	}
	o.state.Want(a, version, o.g.now())
	return false, o.changed
}

// endWait removes a request that has waited, and ends its place if the adapter is not resident.
func (o *owner) endWait(a residency.Adapter, due time.Duration, out loadedAdapter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RemoveWaiter(a, due)
	if !out.resident {
		o.endPlaceLocked(out.place, false)
	}
}

// placeWaiter gives a request that waits for an adapter its place at the worker. It reports false if the worker is not
// expected to answer in time. The lock is held.
func (o *owner) placeWaiter(want wantedAdapter, now time.Duration, out *loadedAdapter) bool {
	if want.left <= 0 {
		return true
	}
	ready := o.state.ReadyAt(want.adapter, want.version, now)
	defers := o.load.Defers(want.size, now)
	if want.slack <= 0 && !defers {
		out.place = o.load.Add(want.size, ready, want.left, now)
	} else {
		maxWait := max(0, want.slack) + cmp.Or(want.reserve, residency.MaxResponseReserve)
		out.place, _ = o.load.Admit(want.size, ready, maxWait, want.left, now)
	}
	if want.recorded {
		o.recordPlace(out.place, want.adapter, now+want.left, now)
	}
	return out.place != 0
}

// placeAnswer is an owner's answer to a question for a place.
type placeAnswer struct {
	place uint64
	// wait is the expected time until the first event.
	wait time.Duration
	// defers says that a request without a place waits, and absent that the worker does not hold the adapter that it needs.
	defers, absent bool
	// overShare says that the request has no place since its workspace holds more than its share; wait is the time until it holds less.
	overShare bool
}

// admit gives a request a place at the worker if its first event is expected within maxWait, or if it is sent in any case.
// The place is 0 otherwise. Lifetime is how long the request lasts at most.
func (o *owner) admit(r workerload.Request, need adapterNeed, maxWait, lifetime time.Duration, sent bool) (out placeAnswer) {
	if !o.g.ownersKnowRequests() {
		need = adapterNeed{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.g.now()
	if o.state.Absent(need.adapter, need.version) {
		return placeAnswer{absent: true}
	}
	if sent {
		out.wait = o.load.Wait(r, now, now)
		out.place = o.load.Add(r, now, lifetime, now)
	} else {
		out.defers = o.load.Defers(r, now)
		out.place, out.wait = o.load.Admit(r, now, maxWait, lifetime, now)
		if out.place == 0 {
			if until, over := o.load.OverShare(r, maxWait, now); over {
				out.wait, out.overShare = until, true
			}
		}
	}
	o.recordPlace(out.place, need.adapter, now+lifetime, now)
	return out
}

// recordPlace records that a request for an adapter has a place, if it is not 0. The lock is held.
func (o *owner) recordPlace(place uint64, a residency.Adapter, expires, now time.Duration) {
	if place != 0 && a.Name != "" {
		o.state.PlaceGiven(place, a, expires, now)
	}
}

// beginPlace records that the first event of a request with a place has arrived, which was sent some time after it had asked
// for the place.
func (o *owner) beginPlace(place uint64, delay time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.Begin(place, delay, o.g.now())
}

// endPlace ends a place.
func (o *owner) endPlace(place uint64, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endPlaceLocked(place, complete)
}

// endPlaceLocked ends a place. The lock is held.
func (o *owner) endPlaceLocked(place uint64, complete bool) {
	now := o.g.now()
	o.load.End(place, complete, now)
	o.state.PlaceEnded(place, now)
}

// placed returns the number of requests for an adapter that have a place.
func (o *owner) placed(a residency.Adapter) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Placed(a, o.g.now())
}

// run sends orders until the owner is stopped. Orders are sent only while the lease of the instance's last heartbeat
// is valid, so that the orders of an old owner do not overlap with those of a new one.
func (o *owner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !o.g.maySendOrders() {
			sleep(ctx, leaseCheckInterval)
			continue
		}
		if o.g.resigned.Load() {
			return
		}
		if o.isPaused() {
			o.wait(ctx, 0)
			continue
		}
		action := o.next()
		switch action.Step {
		case residency.StepNone:
			o.wait(ctx, action.At)
		case residency.StepReport:
			o.readReport(ctx)
		case residency.StepRetire:
			o.applyRetired(action.Adapter, o.retire(ctx, action.Adapter))
		default:
			o.sendOrder(ctx, action)
		}
	}
}

// next returns the next action.
func (o *owner) next() residency.Action {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Next(o.g.now())
}

// retire stops requests for an adapter before it is unloaded, and returns how many are known to be in flight.
func (o *owner) retire(ctx context.Context, a residency.Adapter) int {
	if !o.g.ownersKnowRequests() {
		return o.g.retire(ctx, o.worker, a)
	}
	return o.g.markAbsent(o.worker, a) + o.placed(a)
}

// applyRetired applies how many requests for an adapter that is to be unloaded are in flight.
func (o *owner) applyRetired(a residency.Adapter, running int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.ApplyRetired(a, running, o.g.now())
}

// applyReport applies a report that was requested at the time sent.
func (o *owner) applyReport(r residency.Report, sent time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.ApplyReport(r, sent)
	o.broadcast()
}

// wait waits until the time at, or for an idle interval if at is 0; wakeUp ends it early.
func (o *owner) wait(ctx context.Context, at time.Duration) {
	const idle = time.Second
	d := idle
	if at > 0 {
		d = max(time.Millisecond, at-o.g.now())
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-o.wake:
	case <-t.C:
	}
}

// readReport reads the worker's status report and applies it to the state.
func (o *owner) readReport(ctx context.Context) {
	sent := o.g.now()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	r, err := o.g.platform.Control.Report(callCtx, o.worker)
	cancel()
	o.g.metrics.countOrder("report", err == nil)
	if err != nil {
		o.g.log.Info().Err(err).Str("worker", o.worker.ID).Msg("worker report not read")
		sleep(ctx, reportTimeout/2)
		return
	}
	report := residency.Report{Seq: r.Seq, Busy: r.Busy, Resident: map[residency.Adapter]int64{}, Pending: map[residency.Adapter]int64{}}
	for _, m := range r.Models {
		report.Models = append(report.Models, m.Name)
		for _, a := range m.Adapters {
			report.Resident[residency.Adapter{Model: m.Name, Name: a.Name}] = a.Version
		}
	}
	for _, p := range r.Pending {
		report.Pending[residency.Adapter{Model: p.Model, Name: p.Name}] = p.Version
	}
	o.applyReport(report, sent)
	o.g.log.Info().Str("worker", o.worker.ID).Int64("seq", r.Seq).Int("adapters", len(report.Resident)).
		Int("pending", len(report.Pending)).Bool("busy", r.Busy).Strs("models", report.Models).Msg("worker state read")
}

var orderNames = map[residency.Step]string{
	residency.StepLoadModel: "load_model", residency.StepLoad: "load", residency.StepPoll: "poll", residency.StepUnload: "unload",
}

var orderResults = map[external.OrderResult]residency.Result{
	external.OrderUnknown: residency.Unanswered, external.OrderAccepted: residency.Accepted,
	external.OrderSatisfied: residency.Holds, external.OrderConflict: residency.Conflict, external.OrderRejected: residency.Conflict,
}

var errLeaseEnded = trace.CompareFailed("the lease for orders to the worker has ended")

var errEvacuated = trace.CompareFailed("the worker's data centre is evacuated")

// confirmOrder returns an error if the lease has ended since the order was chosen, since the process may have been paused, or if the
// worker's data centre has been evacuated.
func (o *owner) confirmOrder() error {
	if !o.g.maySendOrders() {
		return errLeaseEnded
	}
	if o.isPaused() {
		return errEvacuated
	}
	return nil
}

// answerTimeout returns how long the answer to an action is awaited.
func (o *owner) answerTimeout(a residency.Action) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.AnswerTimeout(a)
}

// sendOrder sends an order to the worker and applies the result to the state.
func (o *owner) sendOrder(ctx context.Context, a residency.Action) {
	kind := external.OrderLoad
	if a.Step == residency.StepUnload {
		kind = external.OrderUnload
	}
	start := o.g.now()
	callCtx, cancel := context.WithTimeout(ctx, o.answerTimeout(a))
	result, err := o.g.platform.Control.Order(callCtx, o.worker, external.Order{
		Kind: kind, Model: a.Adapter.Model, Adapter: a.Adapter.Name, Version: a.Version, Seq: a.Seq,
		Holder: o.g.settings.Instance, Fence: o.fence, Confirm: o.confirmOrder,
	})
	cancel()
	now := o.g.now()
	o.g.metrics.countOrder(orderNames[a.Step], err == nil)
	l := o.g.log.Info()
	if a.Step == residency.StepPoll && err == nil {
		l = o.g.log.Info()
	}
	l.Err(err).Str("worker", o.worker.ID).Str("order", orderNames[a.Step]).Str("adapter", a.Adapter.String()).
		Int64("version", a.Version).Int64("seq", a.Seq).Int64("fence", o.fence).Int("result", int(result)).
		Int64("ms", (now - start).Milliseconds()).Msg("order")
	if result == external.OrderFenced {
		o.g.fenceRefused(o.worker.ID, o.fence)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch result {
	case external.OrderFenced, external.OrderWrongWorker:
		o.stopped = true
		o.cancel()
	default:
		o.state.ApplyResult(a, orderResults[result], now)
	}
	o.broadcast()
}
