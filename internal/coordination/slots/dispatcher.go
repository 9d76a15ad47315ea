package slots

import (
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
)

// mark is the newest Retire or Unretire of an adapter version under the current fence.
type mark struct {
	round   uint64
	retired bool
}

// dispatched is one engine as a dispatcher sees it.
type dispatched struct {
	fence    uint64
	inFlight map[adapter.Ref]int
	marks    map[adapter.Ref]mark
	// ownerless is set while the owner has left or was withdrawn.
	ownerless bool
	// evicting holds the adapter versions with an open eviction in the log.
	evicting map[adapter.Ref]bool
}

// Dispatcher holds what one instance has in flight on the engines and what owners have retired. It is
// not safe for concurrent use: Begin must not run between the steps of another method.
//
// A starting instance must fold the control stream up to its own join before its first Begin.
type Dispatcher struct {
	member  string
	engines map[string]*dispatched
}

// NewDispatcher returns the dispatcher of an incarnation.
func NewDispatcher(member string) *Dispatcher {
	return &Dispatcher{member: member, engines: make(map[string]*dispatched)}
}

func (d *Dispatcher) engine(id string) *dispatched {
	e := d.engines[id]
	if e == nil {
		e = &dispatched{inFlight: make(map[adapter.Ref]int), marks: make(map[adapter.Ref]mark)}
		d.engines[id] = e
	}
	return e
}

// Rejoin gives the dispatcher of a process that was withdrawn its new incarnation. Its requests in
// flight stay counted. The marks end, since the owner that made them need not know the new incarnation
// and would not lift them; as for a starting instance, the control stream must be folded up to the new
// join before the next Begin.
func (d *Dispatcher) Rejoin(member string) {
	d.member = member
	for _, e := range d.engines {
		clear(e.marks)
	}
}

// UpdateOwnership takes the fold's state of an engine, and whether its owner has left or was withdrawn. A new
// fence or the loss of the owner ends the owner's marks, so that resident adapters serve without an
// owner: an eviction recorded before the withdrawal is an open order, which counts as retired; one
// recorded after it is never sent, since its author reads the withdrawal first; and one that needs no
// record is guarded by the engine.
func (d *Dispatcher) UpdateOwnership(engine string, st ownership.Engine, ownerGone bool) {
	e := d.engine(engine)
	if st.Fence != e.fence || ownerGone {
		clear(e.marks)
	}
	e.fence, e.ownerless = st.Fence, ownerGone
	e.evicting = nil
	for _, o := range st.Open {
		if o.Op == ownership.Evict {
			if e.evicting == nil {
				e.evicting = make(map[adapter.Ref]bool)
			}
			e.evicting[o.Ref()] = true
		}
	}
}

// Retired reports whether requests of the adapter version must not be dispatched to the engine.
func (d *Dispatcher) Retired(engine string, ref adapter.Ref) bool {
	e := d.engines[engine]
	return e != nil && (e.marks[ref].retired || e.evicting[ref])
}

// Begin counts a request before it is sent. It returns false if the adapter version is retired; the
// request must then go elsewhere. The caller checks the lease.
func (d *Dispatcher) Begin(engine string, ref adapter.Ref) bool {
	if d.Retired(engine, ref) {
		return false
	}
	d.engine(engine).inFlight[ref]++
	return true
}

// End counts a request that is over. A request whose connection broke is over only when the engine is
// known to have stopped it: by its answer, by a confirmed cancellation, or by a new incarnation.
func (d *Dispatcher) End(engine string, ref adapter.Ref) {
	e := d.engine(engine)
	if e.inFlight[ref]--; e.inFlight[ref] <= 0 {
		delete(e.inFlight, ref)
	}
}

// InFlight returns how many requests of the adapter version are in flight on the engine.
func (d *Dispatcher) InFlight(engine string, ref adapter.Ref) int {
	return d.engine(engine).inFlight[ref]
}

// Retire handles a Retire. It returns false if the message is of another fence, which includes one that
// this instance has not read yet, of an owner that is gone, or of an older round: the message then has
// no effect and no answer.
func (d *Dispatcher) Retire(m Retire) (RetireReply, bool) { return d.apply(m, true) }

// Unretire handles an Unretire, as Retire does.
func (d *Dispatcher) Unretire(m Retire) (RetireReply, bool) { return d.apply(m, false) }

func (d *Dispatcher) apply(m Retire, retired bool) (RetireReply, bool) {
	e := d.engine(m.Engine)
	have := e.marks[m.Adapter]
	if m.Fence != e.fence || e.ownerless || m.Round < have.round {
		return RetireReply{}, false
	}
	e.marks[m.Adapter] = mark{round: m.Round, retired: retired}
	return RetireReply{Retire: m, Member: d.member, InFlight: e.inFlight[m.Adapter]}, true
}

// HandleInFlightQuery handles an HandleInFlightQuery, as Retire does.
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
