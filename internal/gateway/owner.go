package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// reportTimeout bounds the wait for a worker's status report.
const reportTimeout = 500 * time.Millisecond

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
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	stopped bool
}

// newOwner starts an owner of a worker whose claim has the given fence.
func (g *Gateway) newOwner(w *workers.Worker, e *routing.Engine, fence int64) *owner {
	ctx, cancel := context.WithCancel(g.lifetime)
	o := &owner{
		g: g, worker: w, fence: fence, cancel: cancel, wake: make(chan struct{}, 1),
		state:   residency.NewOwner(e.Models[0].Name, e.AdapterSlots, g.now()),
		changed: make(chan struct{}),
	}
	g.start(func(context.Context) { o.run(ctx) })
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

// ensureResident waits until the adapter is resident in at least the given version. It reports whether it is, and
// whether the request was admitted to wait. A positive slack is the time within which the adapter must be resident
// for the request to meet its target; the request is not admitted if the load would take longer. A slack of 0 means
// that the request is already late.
func (o *owner) ensureResident(ctx context.Context, a residency.Adapter, version int64, slack time.Duration) (resident, admitted bool) {
	due := time.Duration(0)
	o.mu.Lock()
	now := o.g.now()
	if slack > 0 {
		due = now + slack
	}
	if o.stopped || !o.state.Admits(a, version, due, now) {
		o.mu.Unlock()
		return false, false
	}
	o.state.AddWaiter(a, version, due, now)
	defer func() {
		o.mu.Lock()
		o.state.RemoveWaiter(a, due)
		o.mu.Unlock()
	}()
	for {
		_, ok := o.state.Holds(a, version)
		if ok || o.stopped {
			o.mu.Unlock()
			return ok, true
		}
		o.state.Want(a, version, o.g.now())
		changed := o.changed
		o.mu.Unlock()
		o.wakeUp()
		select {
		case <-ctx.Done():
			return false, true
		case <-changed:
		}
		o.mu.Lock()
	}
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
		o.mu.Lock()
		action := o.state.Next(o.g.now())
		o.mu.Unlock()
		switch action.Step {
		case residency.StepNone:
			o.wait(ctx, action.At)
		case residency.StepReport:
			o.readReport(ctx)
		case residency.StepRetire:
			running := o.g.retire(ctx, o.worker, action.Adapter)
			o.mu.Lock()
			o.state.ApplyRetired(action.Adapter, running, o.g.now())
			o.mu.Unlock()
		default:
			o.sendOrder(ctx, action)
		}
	}
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
	o.mu.Lock()
	o.state.ApplyReport(report, sent)
	o.broadcast()
	o.mu.Unlock()
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

// sendOrder sends an order to the worker and applies the result to the state.
func (o *owner) sendOrder(ctx context.Context, a residency.Action) {
	kind := external.OrderLoad
	if a.Step == residency.StepUnload {
		kind = external.OrderUnload
	}
	start := o.g.now()
	result, err := o.g.platform.Control.Order(ctx, o.worker, external.Order{
		Kind: kind, Model: a.Adapter.Model, Adapter: a.Adapter.Name, Version: a.Version, Seq: a.Seq,
		Holder: o.g.settings.Instance, Fence: o.fence,
	})
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
