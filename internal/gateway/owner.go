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

// reportTimeout bounds the wait for a worker's report.
const reportTimeout = 500 * time.Millisecond

// leasePause is the time between looks whether the instance may give orders again.
const leasePause = 100 * time.Millisecond

// owner gives the orders to one worker, one after the other.
type owner struct {
	g      *Gateway
	worker *workers.Worker
	fence  int64
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	state   *residency.Owner
	changed chan struct{}
	ended   bool
}

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

func (o *owner) stop() {
	o.cancel()
	o.mu.Lock()
	o.ended = true
	o.broadcast()
	o.mu.Unlock()
}

func (o *owner) dead() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended
}

// broadcast wakes all who wait for a change. The lock is held.
func (o *owner) broadcast() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *owner) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *owner) used(a residency.Adapter, n float64, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordUse(a, n, now)
}

func (o *owner) running(instance string, running map[residency.Adapter]int, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.SetRunning(instance, running, now)
}

func (o *owner) retainInstances(keep func(incarnation string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RetainInstances(keep)
}

func (o *owner) began(a residency.Adapter, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RequestStarted(a, o.g.incarnation, now)
}

func (o *owner) finished(a residency.Adapter, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RequestEnded(a, o.g.incarnation, now)
}

// refresh loads a new version of an adapter that the worker holds. It is due when the old one may be used no more.
func (o *owner) refresh(a residency.Adapter, version int64) {
	o.mu.Lock()
	_, holds := o.state.Holds(a, 0)
	if holds {
		now := o.g.now()
		o.state.AddWaiter(a, version, now+o.g.settings.Bounds.versionOverlap(), now)
	}
	o.mu.Unlock()
	if holds {
		o.poke()
	}
}

// ensure waits until the adapter is resident in at least the version, and reports whether it is, and whether the
// request was let wait at all. A positive slack is the time within which the adapter must be resident for the request
// to be on time; it is not let wait if that cannot be kept. With a slack of 0 the request is late already.
func (o *owner) ensure(ctx context.Context, a residency.Adapter, version int64, slack time.Duration) (resident, admitted bool) {
	due := time.Duration(0)
	o.mu.Lock()
	now := o.g.now()
	if slack > 0 {
		due = now + slack
	}
	if o.ended || !o.state.Admits(a, version, due, now) {
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
		if ok || o.ended {
			o.mu.Unlock()
			return ok, true
		}
		o.state.Want(a, version, o.g.now())
		changed := o.changed
		o.mu.Unlock()
		o.poke()
		select {
		case <-ctx.Done():
			return false, true
		case <-changed:
		}
		o.mu.Lock()
	}
}

// run gives orders until the worker is given up. Orders are given only while the instance's last heartbeat is
// young, so that a new owner never meets those of an old one.
func (o *owner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !o.g.mayOrder() {
			sleep(ctx, leasePause)
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
			o.report(ctx)
		case residency.StepRetire:
			running := o.g.retire(ctx, o.worker, action.Adapter)
			o.mu.Lock()
			o.state.ApplyRetired(action.Adapter, running, o.g.now())
			o.mu.Unlock()
		default:
			o.order(ctx, action)
		}
	}
}

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

func (o *owner) report(ctx context.Context) {
	asked := o.g.now()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	r, err := o.g.around.Control.Report(callCtx, o.worker)
	cancel()
	o.g.metrics.order("report", err == nil)
	if err != nil {
		o.g.log.Info().Err(err).Str("worker", o.worker.ID).Msg("report not read")
		sleep(ctx, reportTimeout/2)
		return
	}
	snapshot := residency.Snapshot{Seq: r.Seq, Busy: r.Busy, Resident: map[residency.Adapter]int64{}, Pending: map[residency.Adapter]int64{}}
	for _, m := range r.Models {
		snapshot.Models = append(snapshot.Models, m.Name)
		for _, a := range m.Adapters {
			snapshot.Resident[residency.Adapter{Model: m.Name, Name: a.Name}] = a.Version
		}
	}
	for _, p := range r.Pending {
		snapshot.Pending[residency.Adapter{Model: p.Model, Name: p.Name}] = p.Version
	}
	o.mu.Lock()
	o.state.ApplyReport(snapshot, asked)
	o.broadcast()
	o.mu.Unlock()
	o.g.log.Info().Str("worker", o.worker.ID).Int64("seq", r.Seq).Int("adapters", len(snapshot.Resident)).
		Int("pending", len(snapshot.Pending)).Bool("busy", r.Busy).Strs("models", snapshot.Models).Msg("worker state read")
}

var orderNames = map[residency.Step]string{
	residency.StepLoadModel: "load_model", residency.StepLoad: "load", residency.StepPoll: "poll", residency.StepUnload: "unload",
}

var orderResults = map[external.OrderResult]residency.Result{
	external.OrderUnknown: residency.Unanswered, external.OrderAccepted: residency.Accepted,
	external.OrderSatisfied: residency.Holds, external.OrderConflict: residency.Conflict, external.OrderRejected: residency.Conflict,
}

func (o *owner) order(ctx context.Context, a residency.Action) {
	kind := external.OrderLoad
	if a.Step == residency.StepUnload {
		kind = external.OrderUnload
	}
	began := o.g.now()
	result, err := o.g.around.Control.Order(ctx, o.worker, external.Order{
		Kind: kind, Model: a.Adapter.Model, Adapter: a.Adapter.Name, Version: a.Version, Seq: a.Seq,
		Holder: o.g.settings.Instance, Fence: o.fence,
	})
	now := o.g.now()
	o.g.metrics.order(orderNames[a.Step], err == nil)
	l := o.g.log.Info()
	if a.Step == residency.StepPoll && err == nil {
		l = o.g.log.Info()
	}
	l.Err(err).Str("worker", o.worker.ID).Str("order", orderNames[a.Step]).Str("adapter", a.Adapter.String()).
		Int64("version", a.Version).Int64("seq", a.Seq).Int64("fence", o.fence).Int("result", int(result)).
		Int64("ms", (now - began).Milliseconds()).Msg("order")
	o.mu.Lock()
	defer o.mu.Unlock()
	switch result {
	case external.OrderFenced, external.OrderWrongWorker:
		o.ended = true
		o.cancel()
	default:
		o.state.ApplyResult(a, orderResults[result], now)
	}
	o.broadcast()
}
