package slots

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The defaults of Settings.
const (
	// DefaultQuarantine is the longest pause of a process that the protocol tolerates.
	DefaultQuarantine = 15 * time.Minute
	// DefaultResendInterval is the time after which an unanswered message or append is repeated.
	DefaultResendInterval = 500 * time.Millisecond
	// DefaultRetireTimeout is how long an order waits for the members' replies and for its record.
	DefaultRetireTimeout = 5 * time.Second
	// DefaultVictimCooldown is how long an adapter version is not selected again after its eviction failed.
	DefaultVictimCooldown = 30 * time.Second
)

// Settings describe one engine and the durations that its owner applies. Zero durations take the defaults.
type Settings struct {
	Engine string
	// Slots is the number of adapters that the engine can hold.
	Slots int
	// ChecksFence says that the engine refuses orders with an old fence.
	ChecksFence bool
	// EvictsOnlyIdle says that the engine itself refuses to evict an adapter that is serving a request.
	EvictsOnlyIdle bool
	Quarantine     time.Duration
	ResendInterval time.Duration
	RetireTimeout  time.Duration
	VictimCooldown time.Duration
}

// mustRecord reports whether an order must be recorded in the log before it is sent. An eviction needs no
// record only if the engine guards it twice: it checks the fence, and it refuses if the adapter is in use.
// The fence alone does not protect against a member that joined while the current owner was paused.
func (s Settings) mustRecord(op ownership.Op) bool {
	return !s.ChecksFence || op == ownership.Evict && !s.EvictsOnlyIdle
}

// WithdrawnMember is a member that was withdrawn without a planned stop. Its process may only be paused.
type WithdrawnMember struct {
	// ObservedAt is when this instance read the withdrawal.
	ObservedAt time.Time
	// Dead says that a refused connection proved that the process has exited, so it cannot resume.
	Dead bool
}

// View is what an instance knows at the time of an event.
type View struct {
	Engine ownership.Engine
	// Members are the live incarnations of the fleet, including this one.
	Members []string
	// Withdrawn are the withdrawn incarnations of the fleet. They are kept for at least twice the
	// quarantine, so that a request sent at the end of the quarantine has ended. Members that left in a planned
	// stop are not among them.
	Withdrawn map[string]WithdrawnMember
	// OwnerGone says that Engine.Owner has left or was withdrawn. It must reflect the same position of
	// the control stream as Engine.
	OwnerGone bool
	// LeaseValid says that this instance holds a valid lease and may act now.
	LeaseValid bool
	// LogAvailable says that the log service responds.
	LogAvailable bool
}

// Event is an input of Owner.Step.
type Event interface{ event() }

// ViewUpdate reports that the ownership state, the membership or the lease changed.
type ViewUpdate struct{ View }

// Wanted requests that an adapter version be made resident.
type Wanted struct{ Adapter adapter.Ref }

// Unwanted cancels a Wanted.
type Unwanted struct{ Adapter adapter.Ref }

// Report is the state that an engine reported.
type Report struct {
	Incarnation string
	// NotBefore is a lower bound of the time at which the engine sampled the report, by this instance's
	// clock.
	NotBefore time.Time
	// Running is the number of running requests of each resident adapter version.
	Running map[adapter.Ref]int
}

// OrderStatus is the result of an order.
type OrderStatus int

// The results of an order.
const (
	// OrderDone means that the engine executed the order.
	OrderDone OrderStatus = iota + 1
	// OrderRefused means that the order had no effect and will never have one.
	OrderRefused
	// OrderUnknown means that the order may have taken effect or may still do so.
	OrderUnknown
)

// OrderResult reports the result of a SendOrder.
type OrderResult struct {
	Fence, Seq uint64
	Status     OrderStatus
}

// NoopResult reports that the engine accepted the SendNoop with the same fields.
type NoopResult struct{ Fence, Number uint64 }

// Tick reports that time has passed.
type Tick struct{}

func (ViewUpdate) event()    {}
func (Wanted) event()        {}
func (Unwanted) event()      {}
func (Report) event()        {}
func (OrderResult) event()   {}
func (NoopResult) event()    {}
func (RetireReply) event()   {}
func (InFlightReply) event() {}
func (Tick) event()          {}

// Action is an output of Owner.Step, which the caller must execute.
type Action interface{ action() }

// Append requests that a record be appended to the log. The caller need not report the result: the owner
// repeats the append until it reads the record back.
type Append struct{ Record record.Envelope }

// SendRetire requests that a Retire be sent to a member.
type SendRetire struct {
	Member string
	Retire
}

// SendUnretire requests that an Unretire be sent to a member.
type SendUnretire struct {
	Member string
	Retire
}

// SendInFlightQuery requests that an InFlightQuery be sent to a member.
type SendInFlightQuery struct {
	Member string
	InFlightQuery
}

// SendNoop requests a no-op order, which informs the engine of the new fence. Number distinguishes the no-op
// orders under one fence.
type SendNoop struct{ Fence, Number uint64 }

// SendOrder requests that an order be sent to the engine, at most once. A transport must not replay it, since
// the copy could take effect after the adapter version was loaded again. If the process pauses for longer
// than the quarantine before it sends the order, the order must be dropped.
type SendOrder struct {
	Fence, Seq uint64
	Op         ownership.Op
	Adapter    adapter.Ref
	// IfIdle tells the engine to refuse the eviction of an adapter that is in use.
	IfIdle bool
}

// LoadEnded informs placement that a load has ended.
type LoadEnded struct {
	Adapter adapter.Ref
	OK      bool
}

func (Append) action()            {}
func (SendRetire) action()        {}
func (SendUnretire) action()      {}
func (SendInFlightQuery) action() {}
func (SendNoop) action()          {}
func (SendOrder) action()         {}
func (LoadEnded) action()         {}
