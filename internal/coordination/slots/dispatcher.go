package slots

import (
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
)

// retireState is the newest Retire or Unretire of an adapter version under the current fence.
type retireState struct {
	round   uint64
	retired bool
}

// engineState is what a dispatcher knows of one engine.
type engineState struct {
	fence        uint64
	inFlight     map[adapter.Ref]int
	retireStates map[adapter.Ref]retireState
	// ownerless is true if the owner has left or was withdrawn.
	ownerless bool
	// openEvictions holds the adapter versions that have an open eviction in the log.
	openEvictions map[adapter.Ref]bool
}

// Dispatcher holds the requests that one instance has in flight on the engines and the adapter versions
// that owners have retired. It is not safe for concurrent use: Begin must not run during another method.
//
// A starting instance must apply the control stream up to its own join before it calls Begin.
type Dispatcher struct {
	member  string
	engines map[string]*engineState
}

// NewDispatcher returns the dispatcher of an incarnation.
func NewDispatcher(member string) *Dispatcher {
	return &Dispatcher{member: member, engines: make(map[string]*engineState)}
}

func (d *Dispatcher) engine(id string) *engineState {
	e := d.engines[id]
	if e == nil {
		e = &engineState{inFlight: make(map[adapter.Ref]int), retireStates: make(map[adapter.Ref]retireState)}
		d.engines[id] = e
	}
	return e
}

// Rejoin sets the new incarnation after the process was withdrawn. Requests in flight remain counted. The
// retire states are cleared, since the owner that set them may not know the new incarnation and would then
// never send it an Unretire. As for a starting instance, the control stream must be applied up to the new
// join before the next Begin.
func (d *Dispatcher) Rejoin(member string) {
	d.member = member
	for _, e := range d.engines {
		clear(e.retireStates)
	}
}

// UpdateOwnership sets the state of an engine from the control stream, and whether its owner has left or was
// withdrawn. A new fence or the loss of the owner clears the owner's retire states, so that resident adapters
// are served without an owner. This is safe: an eviction recorded before the withdrawal is an open order,
// which counts as retired; an eviction recorded after it is never sent, since its author reads the
// withdrawal first; and an eviction that needs no record is guarded by the engine.
func (d *Dispatcher) UpdateOwnership(engine string, st ownership.Engine, ownerGone bool) {
	e := d.engine(engine)
	if st.Fence != e.fence || ownerGone {
		clear(e.retireStates)
	}
	e.fence, e.ownerless = st.Fence, ownerGone
	e.openEvictions = nil
	for _, o := range st.OpenOrders {
		if o.Op == ownership.Evict {
			if e.openEvictions == nil {
				e.openEvictions = make(map[adapter.Ref]bool)
			}
			e.openEvictions[o.Ref()] = true
		}
	}
}

// Retired reports whether requests for the adapter version must not be dispatched to the engine.
func (d *Dispatcher) Retired(engine string, ref adapter.Ref) bool {
	e := d.engines[engine]
	return e != nil && (e.retireStates[ref].retired || e.openEvictions[ref])
}

// Begin counts a request before it is sent. It returns false if the adapter version is retired; the
// request must then be dispatched to another engine. The caller checks the lease.
func (d *Dispatcher) Begin(engine string, ref adapter.Ref) bool {
	if d.Retired(engine, ref) {
		return false
	}
	d.engine(engine).inFlight[ref]++
	return true
}

// End removes a request that has ended from the count. A request whose connection broke has ended only when
// the engine is known to have stopped it: by its answer, by a confirmed cancellation, or by a new incarnation.
func (d *Dispatcher) End(engine string, ref adapter.Ref) {
	e := d.engine(engine)
	if e.inFlight[ref]--; e.inFlight[ref] <= 0 {
		delete(e.inFlight, ref)
	}
}

// InFlight returns the number of requests for the adapter version in flight on the engine.
func (d *Dispatcher) InFlight(engine string, ref adapter.Ref) int {
	return d.engine(engine).inFlight[ref]
}

// Retire handles a Retire message. It returns false if the message has another fence, which may be one that
// this instance has not read yet, or an older round, or if the owner is gone. The message then has no effect
// and is not answered.
func (d *Dispatcher) Retire(m Retire) (RetireReply, bool) { return d.applyRetire(m, true) }

// Unretire handles an Unretire message under the same conditions as Retire.
func (d *Dispatcher) Unretire(m Retire) (RetireReply, bool) { return d.applyRetire(m, false) }

func (d *Dispatcher) applyRetire(m Retire, retired bool) (RetireReply, bool) {
	e := d.engine(m.Engine)
	current := e.retireStates[m.Adapter]
	if m.Fence != e.fence || e.ownerless || m.Round < current.round {
		return RetireReply{}, false
	}
	e.retireStates[m.Adapter] = retireState{round: m.Round, retired: retired}
	return RetireReply{Retire: m, Member: d.member, InFlight: e.inFlight[m.Adapter]}, true
}

// HandleInFlightQuery answers an InFlightQuery. It returns false if the query has another fence.
func (d *Dispatcher) HandleInFlightQuery(m InFlightQuery) (InFlightReply, bool) {
	e := d.engine(m.Engine)
	if m.Fence != e.fence {
		return InFlightReply{}, false
	}
	counts := make(map[adapter.Ref]int, len(e.inFlight))
	for ref, n := range e.inFlight {
		counts[ref] = n
	}
	return InFlightReply{InFlightQuery: m, Member: d.member, Counts: counts}, true
}
