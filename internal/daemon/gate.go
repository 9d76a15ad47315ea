package daemon

import (
	"sync"

	"github.com/turmericworks/turmericworks/internal/coordination/slots"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// Gate counts a process's requests in flight on engines, over all its incarnations: an engine may still
// run requests of an incarnation that has ended. No other lock is taken while its lock is held.
type Gate struct {
	mu         sync.Mutex
	dispatcher *slots.Dispatcher
	// lost holds the requests, by id, that an engine may still run although nobody reads the answer.
	lost map[string]*lostRequest
}

// lostRequest is a request in flight without a connection.
type lostRequest struct {
	id      string
	engine  *fleet.Engine
	adapter adapter.Ref
	// asking is set while the engine is asked to stop it.
	asking bool
}

// NewGate returns the gate of a new process.
func NewGate() *Gate {
	return &Gate{dispatcher: slots.NewDispatcher(""), lost: map[string]*lostRequest{}}
}

// rejoin gives the process its next incarnation.
func (g *Gate) rejoin(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Rejoin(incarnation)
	for _, l := range g.lost {
		l.asking = false
	}
}

func (g *Gate) observe(engine string, st ownership.Engine, ownerGone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.UpdateOwnership(engine, st, ownerGone)
}

// retired reports whether the adapter version must not be dispatched to the engine.
func (g *Gate) retired(engine string, a adapter.Ref) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Retired(engine, a)
}

func (g *Gate) begin(engine string, a adapter.Ref) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Begin(engine, a)
}

func (g *Gate) end(engine string, a adapter.Ref) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.End(engine, a)
}

func (g *Gate) lose(e *fleet.Engine, a adapter.Ref, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost[id] = &lostRequest{id: id, engine: e, adapter: a}
}

// takeLost returns the lost requests whose engine is not being asked about them, to be asked.
func (g *Gate) takeLost() []*lostRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*lostRequest
	for _, l := range g.lost {
		if !l.asking {
			l.asking = true
			out = append(out, l)
		}
	}
	return out
}

// asked takes over the answer about a lost request.
func (g *Gate) asked(l *lostRequest, stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.asking = false
	if stopped && g.lost[l.id] == l {
		delete(g.lost, l.id)
		g.dispatcher.End(l.engine.ID, l.adapter)
	}
}

func (g *Gate) retire(m slots.Retire, retired bool) (slots.RetireReply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if retired {
		return g.dispatcher.Retire(m)
	}
	return g.dispatcher.Unretire(m)
}

func (g *Gate) askInFlight(m slots.InFlightQuery) (slots.InFlightReply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.HandleInFlightQuery(m)
}

// Begin implements dispatch.Gate.
func (c *control) Begin(engine string, a adapter.Ref) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.lease.Valid(c.now()) && c.members.Active(c.daemon.opts.Incarnation)
	if !member && !c.guestMayUse(engine) {
		return errNoLease
	}
	if !c.daemon.gate.begin(engine, a) {
		return dispatch.ErrRetired
	}
	return nil
}

// End implements dispatch.Gate.
func (c *control) End(engine string, a adapter.Ref) { c.daemon.gate.end(engine, a) }

// EndUnconfirmed implements dispatch.Gate.
func (c *control) EndUnconfirmed(e *fleet.Engine, a adapter.Ref, requestID string) {
	c.daemon.gate.lose(e, a, requestID)
}

// Retired implements dispatch.Gate.
func (c *control) Retired(engine string, a adapter.Ref) bool { return c.daemon.gate.retired(engine, a) }

// retire answers a Retire or an Unretire of an owner. Until this incarnation's own join was read, the
// marks would be dropped again by older records of the stream, so the message has no effect.
func (c *control) retire(m slots.Retire, retired bool) (slots.RetireReply, bool) {
	c.mu.Lock()
	if !c.members.Active(c.daemon.opts.Incarnation) {
		c.mu.Unlock()
		return slots.RetireReply{}, false
	}
	reply, ok := c.daemon.gate.retire(m, retired)
	c.mu.Unlock()
	if ok && retired {
		c.daemon.scheduler.Retire(m.Engine, m.Adapter)
	}
	return reply, ok
}

func (c *control) askInFlight(m slots.InFlightQuery) (slots.InFlightReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.members.Active(c.daemon.opts.Incarnation) {
		return slots.InFlightReply{}, false
	}
	return c.daemon.gate.askInFlight(m)
}
