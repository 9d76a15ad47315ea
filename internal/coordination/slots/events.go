package slots

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The defaults of Settings.
const (
	// DefaultQuarantine is the longest pause of a process that is tolerated.
	DefaultQuarantine = 15 * time.Minute
	// DefaultResendInterval is the pause before a message or an append is repeated.
	DefaultResendInterval = 500 * time.Millisecond
	// DefaultRetireTimeout is how long an eviction waits for its members and for its record.
	DefaultRetireTimeout = 5 * time.Second
	// DefaultVictimCooldown is how long an adapter version whose eviction failed is no victim.
	DefaultVictimCooldown = 30 * time.Second
)

// Settings describe one engine and the durations of its owner. Zero durations take the defaults.
type Settings struct {
	Engine string
	// Slots is how many adapters the engine holds.
	Slots int
	// ChecksFence says that the engine refuses orders with an old fence.
	ChecksFence bool
	// EvictsOnlyIdle says that the engine itself refuses to evict an adapter that serves a request.
	EvictsOnlyIdle bool
	Quarantine     time.Duration
	ResendInterval    time.Duration
	RetireTimeout      time.Duration
	VictimCooldown       time.Duration
}

// records reports whether an order must be a record before it is sent. An eviction needs none only if
// the engine guards it twice: by the fence, and by refusing if the adapter is in use. The fence alone
// does not protect from a member that joined while the current owner was paused.
func (s Settings) records(op ownership.Op) bool {
	return !s.ChecksFence || op == ownership.Evict && !s.EvictsOnlyIdle
}

// WithdrawnMember is a member that was withdrawn and not seen to stop.
type WithdrawnMember struct {
	// ObservedAt is when this instance read the withdrawal.
	ObservedAt time.Time
	// Dead says that the process was proven dead by a refused connection, so it can't wake up.
	Dead bool
}

// View is what an instance knows when an event occurs.
type View struct {
	Engine ownership.Engine
	// Members are the live incarnations of the engine's region, this one included.
	Members []string
	// Withdrawn are the withdrawn incarnations of the region, kept for at least twice the quarantine, so
	// that a request sent at its end has ended. A member that left in a planned stop is not among
	// them.
	Withdrawn map[string]WithdrawnMember
	// OwnerGone says that Engine.Owner left or was withdrawn. It must be read from the same position
	// of the stream as Engine.
	OwnerGone bool
	// LeaseValid says that this instance may act now.
	LeaseValid bool
	// LogAvailable says that the log answers.
	LogAvailable bool
}

// Event is something that happened to an engine.
type Event interface{ event() }

// ViewChanged reports that the fold, the membership or the lease changed.
type ViewChanged struct{ View }

// Wanted asks for an adapter version to be made resident.
type Wanted struct{ Adapter adapter.Ref }

// Unwanted withdraws a Wanted.
type Unwanted struct{ Adapter adapter.Ref }

// Report is an engine's report of itself.
type Report struct {
	Incarnation string
	// NotBefore is a lower bound, by this instance's clock, of the time the report was sampled.
	NotBefore time.Time
	// Running counts requests per resident adapter version.
	Running map[adapter.Ref]int
}

// OrderStatus is the result of an order.
type OrderStatus int

// The results of an order.
const (
	// OrderDone means that the engine carried the order out.
	OrderDone OrderStatus = iota + 1
	// OrderRefused means that the order had no effect and never will.
	OrderRefused
	// OrderUnknown means that the order may take effect, now or later.
	OrderUnknown
)

// OrderResult reports the result of a SendOrder.
type OrderResult struct {
	Fence, Seq uint64
	Status     OrderStatus
}

// NoopResult reports that the engine accepted a SendNoop, whose fields it carries.
type NoopResult struct{ Fence, Number uint64 }

// Tick reports that time passed.
type Tick struct{}

func (ViewChanged) event()      {}
func (Wanted) event()        {}
func (Unwanted) event()      {}
func (Report) event()        {}
func (OrderResult) event()   {}
func (NoopResult) event()    {}
func (RetireReply) event()   {}
func (InFlightReply) event() {}
func (Tick) event()          {}

// Action is something that the caller of Step must do.
type Action interface{ action() }

// Append asks for a record to be appended. Its result need not be reported: the owner repeats it until
// it reads the record back.
type Append struct{ Record record.Envelope }

// SendRetire asks for a Retire to be sent to a member.
type SendRetire struct {
	Member string
	Retire
}

// SendUnretire asks for an Unretire to be sent to a member.
type SendUnretire struct {
	Member string
	Retire
}

// SendInFlightQuery asks for an AskInFlight to be sent to a member.
type SendInFlightQuery struct {
	Member string
	InFlightQuery
}

// SendNoop asks for a no-op order, which tells the engine the new fence. Number tells no-op orders under
// one fence apart.
type SendNoop struct{ Fence, Number uint64 }

// SendOrder asks for an order to be sent to the engine, once: a transport that replays it could let the
// copy take effect after the adapter version was loaded again. An attempt that was not sent after a
// pause of the process longer than the quarantine must be dropped.
type SendOrder struct {
	Fence, Seq uint64
	Op         ownership.Op
	Adapter    adapter.Ref
	// IfIdle asks the engine to refuse the eviction of an adapter in use.
	IfIdle bool
}

// LoadEnded reports the end of a load to placement.
type LoadEnded struct {
	Adapter adapter.Ref
	OK      bool
}

func (Append) action()       {}
func (SendRetire) action()   {}
func (SendUnretire) action() {}
func (SendInFlightQuery) action() {}
func (SendNoop) action()     {}
func (SendOrder) action()    {}
func (LoadEnded) action()    {}
