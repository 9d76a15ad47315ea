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
	// wantLife is how long a load is wanted after it was last asked for. Askers repeat the question
	// at least every wantWait.
	wantLife = 5 * time.Second
	// wantWait is how long a question for a load waits for its end. It is well below peer.CallTimeout.
	wantWait = time.Second
	// victimPause is how long an adapter version that was just loaded on demand is not evicted, so that
	// the requests that waited for it are dispatched first.
	victimPause = time.Second
	// maxReportLag bounds how old an engine's report is taken to be, when the engine's clock is behind.
	maxReportLag = 5 * time.Second
)

// owners runs the state machine of each engine's owner. Lock order: its lock is taken first, then the
// scheduler's, control's and the gate's. No lock is held during I/O: a step returns functions that do
// the I/O, and these report results as further events.
type owners struct {
	daemon  *Daemon
	peers   slotPeers
	metrics ownerMetrics

	mu      sync.Mutex
	ctx     context.Context
	engines map[string]*ownedEngine
	// stopping is set in a planned stop, when no more loads are accepted.
	stopping bool
}

// ownedEngine is one engine of the configuration, owned by this instance or not.
type ownedEngine struct {
	id    string
	set   slots.Settings
	owner *slots.Owner
	// configured is false once the engine has left the configuration. The owner is kept, since only it
	// knows which of this incarnation's orders were sent.
	configured bool
	// idle says that another member owns the engine and nothing is left to do here until that changes.
	idle  bool
	fence uint64
	wants map[adapter.Ref]*want
}

// want is a load that somebody asked for.
type want struct {
	// victim is what the first asker would evict.
	victim adapter.Ref
	// payer is the incarnation that the load is charged to.
	payer   string
	asked   time.Time
	expires time.Time
	// sent says that the load was ordered.
	sent bool
	// ended is closed at the end, at the time endedAt.
	ended    chan struct{}
	endedAt  time.Time
	resident bool
}

func (w *want) over() bool { return !w.endedAt.IsZero() }

// ownerMetrics are the counters of the engines' owners.
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

// Serve looks at the engines without an event until the context ends. It implements suture.Service.
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
			o.settleLost(ctx)
		}
	}
}

// configure takes over the engines of a configuration. The properties of a known engine stay until the
// next incarnation, since its owner's state rests on them.
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
			e = &ownedEngine{id: id, set: set, wants: map[adapter.Ref]*want{}}
			e.owner = slots.NewOwner(o.daemon.opts.Incarnation, set, func(c []adapter.Ref, wanted adapter.Ref) (adapter.Ref, bool) {
				return o.pick(e, c, wanted)
			})
			o.engines[id] = e
		}
		e.configured = true
		if e.set != set {
			o.daemon.log.Warn().Str("engine", id).Msg("changed slots or fence settings of the engine apply after this instance is replaced")
		}
	}
}

// pick chooses a victim: what the asker named, or the least valuable by this instance's demand. The caller
// holds the lock.
func (o *owners) pick(e *ownedEngine, candidates []adapter.Ref, wanted adapter.Ref) (adapter.Ref, bool) {
	now := time.Now()
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(a adapter.Ref) bool {
		w := e.wants[a]
		// The want of a load that this very step has ended is not over yet.
		return w != nil && (!w.over() || now.Before(w.endedAt.Add(victimPause)))
	})
	var preferred adapter.Ref
	if w := e.wants[wanted]; w != nil {
		preferred = w.victim
	}
	return o.daemon.scheduler.PickVictim(e.id, candidates, preferred)
}

// observe shows the selected engines' owners what the folds, the membership and the lease say.
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
		sends = append(sends, o.step(e, slots.ViewChanged{View: v})...)
		e.idle = !e.owner.Owns() && v.Engine.Owner != "" && !v.OwnerGone && !o.hasOpen(v)
	}
	o.mu.Unlock()
	start(sends)
}

// hasOpen reports whether an order of this incarnation is open.
func (o *owners) hasOpen(v slots.View) bool {
	for _, open := range v.Engine.OpenOrders {
		if open.Author == o.daemon.opts.Incarnation {
			return true
		}
	}
	return false
}

func start(sends []func()) {
	for _, send := range sends {
		go send()
	}
}

// event takes an event of one engine.
func (o *owners) event(id string, ev slots.Event) {
	o.mu.Lock()
	e := o.engines[id]
	if e == nil {
		o.mu.Unlock()
		return
	}
	sends := o.step(e, ev)
	o.mu.Unlock()
	start(sends)
}

// step lets the owner take an event and returns the I/O to be done. The caller holds the lock.
func (o *owners) step(e *ownedEngine, ev slots.Event) []func() {
	now := time.Now()
	var sends []func()
	for _, a := range e.owner.Step(now, ev) {
		if ended, ok := a.(slots.LoadEnded); ok {
			e.endWant(ended.Adapter, ended.OK, now)
			continue
		}
		if order, ok := a.(slots.SendOrder); ok {
			if w := e.wants[order.Adapter]; w != nil && !w.over() {
				w.sent = true
			}
		}
		sends = append(sends, o.do(e.id, a, now))
	}
	o.noteOwnership(e, now)
	return append(sends, o.endResident(e, now)...)
}

// noteOwnership follows the gain and the loss of the engine. The caller holds the lock.
func (o *owners) noteOwnership(e *ownedEngine, now time.Time) {
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
	o.daemon.log.Info().Str("engine", e.id).Uint64("fence", fence).Bool("owned", fence != 0).Msg("ownership of an engine changed")
}

// endResident ends the wanted loads of what is resident already, and withdraws them, so that the owner does
// not load it again, with nobody to pay, after a later eviction. The caller holds the lock.
func (o *owners) endResident(e *ownedEngine, now time.Time) (sends []func()) {
	pending := false
	for _, w := range e.wants {
		pending = pending || !w.over()
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

// endWant ends a wanted load and reports whether there was one.
func (e *ownedEngine) endWant(a adapter.Ref, resident bool, now time.Time) bool {
	w := e.wants[a]
	if w == nil || w.over() {
		return false
	}
	w.endedAt, w.resident = now, resident
	close(w.ended)
	return true
}

// expireWants drops the loads that nobody asks for any more.
func (o *owners) expireWants(now time.Time) {
	o.mu.Lock()
	var sends []func()
	for _, e := range o.engines {
		for a, w := range e.wants {
			if now.Before(w.expires) {
				continue
			}
			if !w.over() {
				sends = append(sends, o.step(e, slots.Unwanted{Adapter: a})...)
				e.endWant(a, false, now)
			}
			delete(e.wants, a)
		}
	}
	o.mu.Unlock()
	start(sends)
}

// reported hands a report to the engine's owner. Only the engine's own clock says how much the report
// lags, so the earlier of the two times is taken.
func (o *owners) reported(r fleet.Report) {
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
	o.event(r.EngineID, rep)
}

// quiet reports whether no order of this incarnation is open and none is to come.
func (o *owners) quiet() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	var list []*ownedEngine
	for _, e := range o.engines {
		list = append(list, e)
		for _, w := range e.wants {
			if !w.over() {
				return false
			}
		}
	}
	for _, v := range o.daemon.control.slotViews(list) {
		if o.hasOpen(v) {
			return false
		}
	}
	return true
}

// orderEvent records the result of an order in the timeline and the metrics.
func (o *owners) orderEvent(engine string, a slots.SendOrder, status slots.OrderStatus, took time.Duration) {
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

// slotViews returns what the owners of the engines must know, all read at one position of the stream.
func (c *control) slotViews(list []*ownedEngine) []slots.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := slots.View{
		Withdrawn: c.goneMembers(time.Now()), LogAvailable: !c.logDown,
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

// ownerGone reports whether an engine's owner has left or was withdrawn. The caller holds the lock.
func (c *control) ownerGone(owner string) bool { return owner != "" && !c.members.Active(owner) }

// goneMembers returns the withdrawn members that may still act. The caller holds the lock.
func (c *control) goneMembers(now time.Time) map[string]slots.WithdrawnMember {
	out := map[string]slots.WithdrawnMember{}
	for _, m := range c.members.EndedMembers() {
		at, ok := c.goneAt[m.Incarnation]
		if !ok {
			at = now
			c.goneAt[m.Incarnation] = now
		}
		if m.Reason != members.Left && now.Before(at.Add(2*slots.DefaultQuarantine)) {
			out[m.Incarnation] = slots.WithdrawnMember{ObservedAt: at, Dead: m.Reason == members.Refused}
		}
	}
	return out
}

// observeSlots shows the gate the selected engines, or all of them. The caller holds the lock.
func (c *control) observeSlots(changed []string, all bool) {
	if all {
		changed = c.ownership.EngineIDs()
	}
	for _, id := range changed {
		st := c.ownership.Engine(id)
		c.daemon.gate.observe(id, st, c.ownerGone(st.Owner))
	}
}
