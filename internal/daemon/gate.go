package daemon

import (
	"sync"

	"github.com/turmericworks/turmericworks/internal/coordination/slots"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// Gate counts the requests that a process has in flight on engines, across all its incarnations: an engine
// may still run requests of an incarnation that has ended. It refuses requests for adapter versions that
// are being evicted. No other lock is taken while its lock is held.
type Gate struct {
	mu         sync.Mutex
	dispatcher *slots.Dispatcher
	// unconfirmed holds, by id, the requests that an engine may still run although their connection broke.
	// They count as in flight until the engine confirms that they have stopped.
	unconfirmed map[string]*unconfirmedRequest
}

// unconfirmedRequest is a request in flight whose connection broke.
type unconfirmedRequest struct {
	id      string
	engine  *fleet.Engine
	adapter adapter.Ref
	// cancelling is set while a cancellation is being sent to the engine.
	cancelling bool
}

// NewGate returns the gate of a new process.
func NewGate() *Gate {
	return &Gate{dispatcher: slots.NewDispatcher(""), unconfirmed: map[string]*unconfirmedRequest{}}
}

// rejoin starts the next incarnation of the process.
func (g *Gate) rejoin(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Rejoin(incarnation)
	for _, r := range g.unconfirmed {
		r.cancelling = false
	}
}

func (g *Gate) updateOwnership(engine string, st ownership.Engine, ownerGone bool) {
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

// endUnconfirmed records that a request's connection broke. The request counts as in flight until
// recordCancellation reports that the engine has stopped it.
func (g *Gate) endUnconfirmed(e *fleet.Engine, a adapter.Ref, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unconfirmed[id] = &unconfirmedRequest{id: id, engine: e, adapter: a}
}

// takeUnconfirmed returns the unconfirmed requests for which no cancellation is being sent, and marks them
// as cancelling.
func (g *Gate) takeUnconfirmed() []*unconfirmedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*unconfirmedRequest
	for _, r := range g.unconfirmed {
		if !r.cancelling {
			r.cancelling = true
			out = append(out, r)
		}
	}
	return out
}

// recordCancellation records the result of cancelling an unconfirmed request: whether the engine has
// stopped it.
func (g *Gate) recordCancellation(r *unconfirmedRequest, stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.cancelling = false
	if stopped && g.unconfirmed[r.id] == r {
		delete(g.unconfirmed, r.id)
		g.dispatcher.End(r.engine.ID, r.adapter)
	}
}

func (g *Gate) handleRetire(m slots.Retire, retire bool) (slots.RetireReply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if retire {
		return g.dispatcher.Retire(m)
	}
	return g.dispatcher.Unretire(m)
}

func (g *Gate) handleInFlightQuery(m slots.InFlightQuery) (slots.InFlightReply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.HandleInFlightQuery(m)
}

// Begin implements dispatch.Gate.
func (c *control) Begin(engine string, a adapter.Ref) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.lease.Valid(c.now()) && c.members.Active(c.daemon.opts.Incarnation)
	if !member && !c.unjoinedMayUse(engine) {
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
	c.daemon.gate.endUnconfirmed(e, a, requestID)
}

// Retired implements dispatch.Gate.
func (c *control) Retired(engine string, a adapter.Ref) bool { return c.daemon.gate.retired(engine, a) }

// handleRetire handles a Retire or an Unretire message of an engine's owner. It has no effect until this
// incarnation's own join record has been read, since older records of the stream would undo the
// retirement.
func (c *control) handleRetire(m slots.Retire, retire bool) (slots.RetireReply, bool) {
	reply, ok := c.retireAtGate(m, retire)
	if ok && retire {
		c.daemon.scheduler.Retire(m.Engine, m.Adapter)
	}
	return reply, ok
}

func (c *control) retireAtGate(m slots.Retire, retire bool) (slots.RetireReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.members.Active(c.daemon.opts.Incarnation) {
		return slots.RetireReply{}, false
	}
	return c.daemon.gate.handleRetire(m, retire)
}

func (c *control) handleInFlightQuery(m slots.InFlightQuery) (slots.InFlightReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.members.Active(c.daemon.opts.Incarnation) {
		return slots.InFlightReply{}, false
	}
	return c.daemon.gate.handleInFlightQuery(m)
}
