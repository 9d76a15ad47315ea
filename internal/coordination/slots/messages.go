// Package slots decides which adapter versions are loaded on and evicted from the adapter slots of engines.
// Owner is the state machine of one engine on one instance, which may be its owner, a former owner or a
// candidate. Dispatcher counts the requests that an instance has in flight and answers the owners' queries.
//
// Safety depends on three rules. First, an eviction is sent only after every member that may dispatch to
// the engine has confirmed that it has no request for the adapter version in flight and will dispatch none.
// Second, an eviction that the engine does not guard itself is recorded in the log before it is sent, and
// instances dispatch no requests to an adapter version with an open eviction; a member that joins in the
// meantime and a new owner thus both know of it. Third, requests for an adapter version are dispatched again
// only when its eviction can no longer take effect.
package slots

import "github.com/turmericworks/turmericworks/internal/state/adapter"

// Retire asks a member to stop dispatching requests for an adapter version to an engine. Unretire permits
// them again and has the same fields.
type Retire struct {
	Engine  string
	Adapter adapter.Ref
	// Fence is the fencing token of the sending owner. The message has no effect if it differs from the
	// current fence in the state that the receiver has applied.
	Fence uint64
	// Round increases with each Retire and each Unretire under a fence, so that a delayed message about
	// an earlier eviction does not affect a later one.
	Round uint64
}

// RetireReply answers Retire and Unretire. It contains the fields of the message that it answers.
type RetireReply struct {
	Retire
	// Member is the incarnation that replies.
	Member string
	// InFlight is the number of requests that the member still has in flight. A reply to Retire is final
	// if it is zero.
	InFlight int
}

// InFlightQuery asks a member how many requests it has in flight on an engine.
type InFlightQuery struct {
	Engine string
	Fence  uint64
}

// InFlightReply answers an InFlightQuery.
type InFlightReply struct {
	InFlightQuery
	Member string
	Counts map[adapter.Ref]int
}
