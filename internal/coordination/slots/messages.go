// Package slots decides what is loaded on and evicted from engines. Owner is the state machine of one
// engine on one instance, as its owner, a former owner or a candidate. Dispatcher counts the requests
// that an instance has in flight and answers owners.
//
// Safety rests on three facts. An eviction is sent only after every member that may dispatch to the
// engine has answered that it has no request of the adapter version in flight and will dispatch none.
// An eviction that the engine does not guard itself is a record before it is sent, and instances
// dispatch nothing to an adapter version with an open eviction, so a member that joins meanwhile and
// a new owner both know of it. An adapter version is dispatched again only when its eviction can no
// longer take effect.
package slots

import "github.com/turmericworks/turmericworks/internal/state/adapter"

// Retire asks a member to dispatch no more requests of an adapter version to an engine. Unretire, which
// permits it again, has the same fields.
type Retire struct {
	Engine  string
	Adapter adapter.Ref
	// Fence is the owner's. A message with another fence than the receiver's fold has no effect.
	Fence uint64
	// Round grows with each Retire and each Unretire under a fence, so that a delayed message of
	// an earlier eviction has no effect on a later one.
	Round uint64
}

// RetireReply answers Retire and Unretire. It carries the fields of its question.
type RetireReply struct {
	Retire
	// Member is the answering incarnation.
	Member string
	// InFlight counts the member's requests; the answer to Retire is final when it is zero.
	InFlight int
}

// InFlightQuery asks a member for its requests in flight on an engine.
type InFlightQuery struct {
	Engine string
	Fence  uint64
}

// InFlightReply answers AskInFlight.
type InFlightReply struct {
	InFlightQuery
	Member string
	Counts map[adapter.Ref]int
}
