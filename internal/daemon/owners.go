package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/turmericworks/turmericworks/internal/coordination/slots"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

const (
	// wantTTL is how long a load stays wanted after it was last requested. Requesters repeat the request
	// at least every wantAnswerTimeout.
	wantTTL = 5 * time.Second
	// wantAnswerTimeout is how long a request for a load waits for the load to end before it is answered.
	// It is well below peer.CallTimeout.
	wantAnswerTimeout = time.Second
	// newLoadProtection is how long an adapter version that was loaded on demand is not evicted, so that
	// the requests that waited for it are dispatched first.
	newLoadProtection = time.Second
	// maxReportLag bounds the assumed age of an engine's report if the engine's clock is behind.
	maxReportLag = 5 * time.Second
)

// owners runs the state machine of each engine's owner. Lock order: its lock is taken first, then the
// locks of the scheduler, of control and of the gate. No lock is held during I/O: a step returns functions
// that do the I/O, and these report their results as further events.
type owners struct {
	daemon  *Daemon
	peers   slotPeers
	metrics ownerMetrics

	mu      sync.Mutex
	ctx     context.Context
	engines map[string]*ownedEngine
	// stopping is set during a planned stop. No new loads are accepted then.
	stopping bool
}

// ownedEngine is an engine of the configuration, whether or not this instance owns it.
type ownedEngine struct {
	id       string
	settings slots.Settings
	owner    *slots.Owner
	// configured is false once the engine has been removed from the configuration. The owner is kept,
	// since only it knows which orders of this incarnation were sent.
	configured bool
	// idle says that another member owns the engine and that this instance has nothing to do for it until
	// that changes.
	idle  bool
	fence uint64
	wants map[adapter.Ref]*want
}

// want is a load that an instance has requested.
type want struct {
	// victim is the adapter version that the first requester would evict.
	victim adapter.Ref
	// payer is the incarnation that the load is charged to.
	payer       string
	requestedAt time.Time
	expires     time.Time
	// sent says that the load was ordered.
	sent bool
	// ended is closed when the load ends, at the time endedAt.
	ended    chan struct{}
	endedAt  time.Time
	resident bool
}

func (w *want) hasEnded() bool { return !w.endedAt.IsZero() }

// ownerMetrics are the metrics of the engines' owners.
type ownerMetrics struct {
	loads     *prometheus.CounterVec
	evictions prometheus.Counter
	owned     *prometheus.GaugeVec
}

func newOwnerMetrics(r prometheus.Registerer) ownerMetrics {
	m := ownerMetrics{
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmeric_adapter_loads_total", Help: "Adapter loads ordered by this instance, by result.",
		}, []string{"result"}),
		evictions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmeric_adapter_evictions_total", Help: "Adapter evictions ordered by this instance and carried out.",
		}),
		owned: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "turmeric_engine_owned", Help: "1 for each engine that this instance owns.",
		}, []string{"engine"}),
	}
	r.MustRegister(m.loads, m.evictions, m.owned)
	return m
}

func newOwners(d *Daemon) *owners {
	return &owners{
		daemon: d, peers: d.peers, metrics: newOwnerMetrics(d.registry), ctx: context.Background(),
		engines: map[string]*ownedEngine{},
	}
}

// Serve updates the owners periodically until the context ends. It implements suture.Service.
func (o *owners) Serve(ctx context.Context) error {
	o.mu.Lock()
	o.ctx = ctx
	o.mu.Unlock()
	t := time.NewTicker(controlTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			o.expireWants(time.Now())
			o.observe(func(e *ownedEngine) bool { return !e.idle })
			o.cancelUnconfirmed(ctx)
		}
	}
}

// configure applies a configuration's engines. The settings of a known engine do not change until the next
// incarnation, since the state of its owner depends on them.
func (o *owners) configure(v *config.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.engines {
		e.configured = false
	}
	for id, b := range v.BackendServers() {
		if b.Kind != config.KindEngine {
			continue
		}
		set := slots.Settings{Engine: id, Slots: b.Slots, ChecksFence: b.ChecksFence, EvictsOnlyIdle: b.EvictsOnlyIdle}
		e := o.engines[id]
		if e == nil {
			e = &ownedEngine{id: id, settings: set, wants: map[adapter.Ref]*want{}}
			e.owner = slots.NewOwner(o.daemon.opts.Incarnation, set, func(c []adapter.Ref, wanted adapter.Ref) (adapter.Ref, bool) {
				return o.pickVictim(e, c, wanted)
			})
			o.engines[id] = e
		}
		e.configured = true
		if e.settings != set {
			o.daemon.log.Warn().Str("engine", id).Msg("changed slots or fence settings of the engine take effect with this instance's next incarnation")
		}
	}
}

// pickVictim selects the adapter version to evict: the one that the requester named, or the least valuable
// by this instance's demand. The caller holds the lock.
func (o *owners) pickVictim(e *ownedEngine, candidates []adapter.Ref, wanted adapter.Ref) (adapter.Ref, bool) {
	now := time.Now()
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(a adapter.Ref) bool {
		w := e.wants[a]
		// A load that ends in the current step has not been marked as ended yet.
		return w != nil && (!w.hasEnded() || now.Before(w.endedAt.Add(newLoadProtection)))
	})
	var preferred adapter.Ref
	if w := e.wants[wanted]; w != nil {
		preferred = w.victim
	}
	return o.daemon.scheduler.PickVictim(e.id, candidates, preferred)
}

// observe updates the selected engines' owners with the current folds, membership and lease.
func (o *owners) observe(selected func(*ownedEngine) bool) {
	o.mu.Lock()
	var list []*ownedEngine
	for _, id := range slices.Sorted(maps.Keys(o.engines)) {
		if e := o.engines[id]; selected(e) {
			list = append(list, e)
		}
	}
	var sends []func()
	for i, v := range o.daemon.control.slotViews(list) {
		e := list[i]
		v.LeaseValid = v.LeaseValid && e.configured
		sends = append(sends, o.step(e, slots.ViewUpdate{View: v})...)
		e.idle = !e.owner.Owns() && v.Engine.Owner != "" && !v.OwnerGone && !o.hasOpenOrder(v)
	}
	o.mu.Unlock()
	runAsync(sends)
}

// hasOpenOrder reports whether an order of this incarnation is open.
func (o *owners) hasOpenOrder(v slots.View) bool {
	for _, open := range v.Engine.OpenOrders {
		if open.Author == o.daemon.opts.Incarnation {
			return true
		}
	}
	return false
}

func runAsync(sends []func()) {
	for _, send := range sends {
		go send()
	}
}

// handleEvent passes an event to the owner of an engine.
func (o *owners) handleEvent(id string, ev slots.Event) {
	o.mu.Lock()
	e := o.engines[id]
	if e == nil {
		o.mu.Unlock()
		return
	}
	sends := o.step(e, ev)
	o.mu.Unlock()
	runAsync(sends)
}

// step passes an event to the engine's owner and returns functions that do the resulting I/O. The caller
// holds the lock.
func (o *owners) step(e *ownedEngine, ev slots.Event) []func() {
	now := time.Now()
	var sends []func()
	for _, a := range e.owner.Step(now, ev) {
		if ended, ok := a.(slots.LoadEnded); ok {
			e.endWant(ended.Adapter, ended.OK, now)
			continue
		}
		if order, ok := a.(slots.SendOrder); ok {
			if w := e.wants[order.Adapter]; w != nil && !w.hasEnded() {
				w.sent = true
			}
		}
		sends = append(sends, o.execute(e.id, a, now))
	}
	o.updateOwnership(e, now)
	return append(sends, o.endResident(e, now)...)
}

// updateOwnership ends the wanted loads, updates the metrics and logs the change if this instance has
// gained or lost the engine. The caller holds the lock.
func (o *owners) updateOwnership(e *ownedEngine, now time.Time) {
	fence := e.owner.Fence()
	if fence == e.fence {
		return
	}
	e.fence = fence
	for a := range e.wants {
		e.endWant(a, false, now)
	}
	if fence == 0 {
		o.metrics.owned.DeleteLabelValues(e.id)
	} else {
		o.metrics.owned.WithLabelValues(e.id).Set(1)
	}
	o.daemon.log.Info().Str("engine", e.id).Uint64("fence", fence).Bool("owned", fence != 0).Msg("engine ownership changed")
}

// endResident ends the wanted loads whose adapter versions are already resident. It also withdraws them
// from the owner, which would otherwise load them again after a later eviction, with no instance to
// charge. The caller holds the lock.
func (o *owners) endResident(e *ownedEngine, now time.Time) (sends []func()) {
	pending := false
	for _, w := range e.wants {
		pending = pending || !w.hasEnded()
	}
	if !pending {
		return nil
	}
	for _, a := range e.owner.Resident() {
		if e.endWant(a, true, now) {
			sends = append(sends, o.step(e, slots.Unwanted{Adapter: a})...)
		}
	}
	return sends
}

// endWant ends a wanted load and reports whether there was one in progress.
func (e *ownedEngine) endWant(a adapter.Ref, resident bool, now time.Time) bool {
	w := e.wants[a]
	if w == nil || w.hasEnded() {
		return false
	}
	w.endedAt, w.resident = now, resident
	close(w.ended)
	return true
}

// expireWants drops the loads that no instance requests any more.
func (o *owners) expireWants(now time.Time) {
	o.mu.Lock()
	var sends []func()
	for _, e := range o.engines {
		for a, w := range e.wants {
			if now.Before(w.expires) {
				continue
			}
			if !w.hasEnded() {
				sends = append(sends, o.step(e, slots.Unwanted{Adapter: a})...)
				e.endWant(a, false, now)
			}
			delete(e.wants, a)
		}
	}
	o.mu.Unlock()
	runAsync(sends)
}

// handleReport passes an engine's report to its owner. How old the report's data is can only be told by the
// engine's own clock, which may be wrong, so the earlier of the time of the request and the time in the
// report is used.
func (o *owners) handleReport(r fleet.Report) {
	if r.Err != nil || r.RequestedAt.IsZero() {
		return
	}
	sampled := r.RequestedAt
	if r.Status.SampledAt.Before(sampled) {
		sampled = sampled.Add(-min(sampled.Sub(r.Status.SampledAt), maxReportLag))
	}
	rep := slots.Report{Incarnation: r.Status.Incarnation, NotBefore: sampled, Running: map[adapter.Ref]int{}}
	for _, s := range r.Status.Resident {
		rep.Running[s.Adapter] = s.Running
	}
	o.handleEvent(r.EngineID, rep)
}

// ordersFinished stops the acceptance of new loads and reports whether no order of this incarnation is
// open or still to come.
func (o *owners) ordersFinished() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	var list []*ownedEngine
	for _, e := range o.engines {
		list = append(list, e)
		for _, w := range e.wants {
			if !w.hasEnded() {
				return false
			}
		}
	}
	for _, v := range o.daemon.control.slotViews(list) {
		if o.hasOpenOrder(v) {
			return false
		}
	}
	return true
}

// recordOrderResult records the result of an order in the timeline and the metrics.
func (o *owners) recordOrderResult(engine string, a slots.SendOrder, status slots.OrderStatus, took time.Duration) {
	code := map[slots.OrderStatus]string{
		slots.OrderDone: "done", slots.OrderRefused: "refused", slots.OrderUnknown: "unknown",
	}[status]
	ev := event.Event{
		Kind: event.Evict, Adapter: a.Adapter.Name, Version: a.Adapter.Version, Engine: engine, Fence: a.Fence, Code: code,
	}
	if a.Op == loadOp {
		ev.Kind, ev.Duration = event.Load, took
		o.metrics.loads.WithLabelValues(code).Inc()
	} else if status == slots.OrderDone {
		o.metrics.evictions.Inc()
	}
	o.daemon.events.record(ev)
}

// slotViews returns the views for the engines' owners, all read at one position of the control stream.
func (c *control) slotViews(list []*ownedEngine) []slots.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := slots.View{
		Withdrawn: c.withdrawnMembers(time.Now()), LogAvailable: !c.logDown,
		LeaseValid: c.lease.Valid(c.now()) && c.members.Active(c.daemon.opts.Incarnation),
	}
	for _, m := range c.members.ActiveMembers() {
		base.Members = append(base.Members, m.Incarnation)
	}
	out := make([]slots.View, len(list))
	for i, e := range list {
		out[i] = base
		out[i].Engine = c.ownership.Engine(e.id)
		out[i].OwnerGone = c.ownerGone(out[i].Engine.Owner)
	}
	return out
}

// ownerGone reports whether the membership of an engine's owner has ended. The caller holds the lock.
func (c *control) ownerGone(owner string) bool { return owner != "" && !c.members.Active(owner) }

// withdrawnMembers returns the withdrawn members whose processes may still act. The caller holds the lock.
func (c *control) withdrawnMembers(now time.Time) map[string]slots.WithdrawnMember {
	out := map[string]slots.WithdrawnMember{}
	for _, m := range c.members.EndedMembers() {
		at, ok := c.endObservedAt[m.Incarnation]
		if !ok {
			at = now
			c.endObservedAt[m.Incarnation] = now
		}
		if m.Reason != members.Left && now.Before(at.Add(2*slots.DefaultQuarantine)) {
			out[m.Incarnation] = slots.WithdrawnMember{ObservedAt: at, Dead: m.Reason == members.Refused}
		}
	}
	return out
}

// updateGate passes the ownership of the changed engines, or of all engines, to the gate. The caller holds
// the lock.
func (c *control) updateGate(changed []string, all bool) {
	if all {
		changed = c.ownership.EngineIDs()
	}
	for _, id := range changed {
		st := c.ownership.Engine(id)
		c.daemon.gate.updateOwnership(id, st, c.ownerGone(st.Owner))
	}
}
