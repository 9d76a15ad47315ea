// Package ownership folds the control stream's records about engines: claims, which make an instance
// the owner of an engine, and slot orders, which are recorded before they are sent to an engine that
// cannot tell a stale owner from the current one.
package ownership

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The kinds of record that the fold applies.
const (
	KindClaim     record.Kind = "claim"
	KindSlotOrder record.Kind = "slot_order"
	KindSlotDone  record.Kind = "slot_done"
)

// Claim is the body of a claim. The claimant is the envelope's incarnation.
type Claim struct {
	Engine string `json:"engine"`
	// Previous is the fence that the claimant saw; the claim counts only if it is still current.
	// Zero stands for an engine that never had an owner.
	Previous uint64 `json:"previous_fence"`
}

// Op is what a slot order does.
type Op string

// The operations of slot orders.
const (
	Load  Op = "load"
	Evict Op = "evict"
)

// SlotOrder is the body of a slot order.
type SlotOrder struct {
	Engine string `json:"engine"`
	Fence  uint64 `json:"fence"`
	// Seq grows with each order under a fence. A repeated append is told by it, so that the fold
	// need not remember the ids of closed orders.
	Seq     uint64 `json:"seq"`
	Op      Op     `json:"op"`
	Adapter string `json:"adapter"`
}

// SlotDone is the body of the record that closes an order: it took effect, or it never will.
type SlotDone struct {
	Engine string `json:"engine"`
	Fence  uint64 `json:"fence"`
	Seq    uint64 `json:"seq"`
}

// Order is an open order.
type Order struct {
	SlotOrder
	// Author is the incarnation of the owner that gave the order.
	Author string `json:"author"`
}

// Ref returns the adapter version that the order is about.
func (o Order) Ref() adapter.Ref { return adapter.Parse(o.Adapter) }

// Engine is what the fold knows of one engine. The zero value is an engine without an owner.
type Engine struct {
	// Fence is the offset of the current claim, or zero.
	Fence uint64 `json:"fence"`
	// Owner is the incarnation that made it.
	Owner string `json:"owner"`
	// Seq is the highest order number under Fence.
	Seq uint64 `json:"seq"`
	// Open holds the orders, also those of earlier owners, that were not closed, in log order.
	Open []Order `json:"open,omitempty"`
}

// FindOrder returns the open order with the number, and whether there is one.
func (e Engine) FindOrder(fence, seq uint64) (Order, bool) {
	for _, o := range e.Open {
		if o.Fence == fence && o.Seq == seq {
			return o, true
		}
	}
	return Order{}, false
}

// Fold is the state of all engines. It is not safe for concurrent use.
type Fold struct {
	next    uint64
	engines map[string]*Engine
}

// NewFold returns an empty fold.
func NewFold() *Fold { return &Fold{engines: make(map[string]*Engine)} }

// Next returns the offset after the last applied append.
func (f *Fold) Next() uint64 { return f.next }

// Engine returns the state of one engine. Later entries don't change the returned value.
func (f *Fold) Engine(id string) Engine {
	e := f.engines[id]
	if e == nil {
		return Engine{}
	}
	c := *e
	c.Open = slices.Clone(e.Open)
	return c
}

// EngineIDs returns the ids of the engines that had an owner, sorted.
func (f *Fold) EngineIDs() []string {
	ids := make([]string, 0, len(f.engines))
	for id := range f.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply adds one entry, in log order. It returns the engine whose state changed, or "". Entries below
// the position of an imported snapshot, of other kinds, or that break a rule change nothing.
func (f *Fold) Apply(e record.Entry) string {
	if e.Offset+1 < f.next {
		return ""
	}
	f.next = e.Offset + 1
	switch e.Kind {
	case KindClaim:
		var c Claim
		if e.Unmarshal(&c) == nil && f.claim(e, c) {
			return c.Engine
		}
	case KindSlotOrder:
		var o SlotOrder
		if e.Unmarshal(&o) == nil && f.order(e, o) {
			return o.Engine
		}
	case KindSlotDone:
		var d SlotDone
		if e.Unmarshal(&d) == nil && f.done(e, d) {
			return d.Engine
		}
	}
	return ""
}

// claim accepts the first claim that names the current fence. Offset zero is no valid fence, since zero
// stands for no owner; a join precedes every claim in practice. Two claims in one append cannot both
// win: the second would have to name the offset of its own append.
func (f *Fold) claim(e record.Entry, c Claim) bool {
	have := f.engines[c.Engine]
	if have == nil {
		have = &Engine{}
	}
	if e.Offset == 0 || c.Engine == "" || e.Incarnation == "" || c.Previous != have.Fence || have.Fence == e.Offset {
		return false
	}
	have.Fence, have.Owner, have.Seq = e.Offset, e.Incarnation, 0
	f.engines[c.Engine] = have
	return true
}

// order accepts an order of the current owner. One that arrives after a newer claim is void: its author
// reads back that it is not open and does not send it.
func (f *Fold) order(e record.Entry, o SlotOrder) bool {
	have := f.engines[o.Engine]
	if have == nil || o.Fence != have.Fence || e.Incarnation != have.Owner || o.Seq <= have.Seq {
		return false
	}
	have.Seq = o.Seq
	have.Open = append(have.Open, Order{SlotOrder: o, Author: e.Incarnation})
	return true
}

// done closes an order for its author or for the current owner.
func (f *Fold) done(e record.Entry, d SlotDone) bool {
	have := f.engines[d.Engine]
	if have == nil {
		return false
	}
	before := len(have.Open)
	have.Open = slices.DeleteFunc(have.Open, func(o Order) bool {
		return o.Fence == d.Fence && o.Seq == d.Seq &&
			(e.Incarnation == o.Author || e.Incarnation == have.Owner)
	})
	return len(have.Open) < before
}

// exported is the form of a snapshot.
type exported struct {
	Next    uint64             `json:"next"`
	Engines map[string]*Engine `json:"engines"`
}

// Export returns the state as JSON. It is the same for all folds that applied the same entries.
func (f *Fold) Export() ([]byte, error) {
	b, err := json.Marshal(exported{Next: f.next, Engines: f.engines})
	return b, trace.Wrap(err)
}

// Import replaces the state by an exported one, unless that is older. Apply then ignores the entries
// that the snapshot covers.
func (f *Fold) Import(data []byte) error {
	var x exported
	if err := json.Unmarshal(data, &x); err != nil {
		return trace.BadParameter("the ownership snapshot is invalid: %v", err)
	}
	if x.Next < f.next {
		return nil
	}
	if x.Engines == nil {
		x.Engines = make(map[string]*Engine)
	}
	for id, e := range x.Engines {
		if e == nil || strings.TrimSpace(id) == "" {
			return trace.BadParameter("the ownership snapshot has an empty engine")
		}
	}
	f.next, f.engines = x.Next, x.Engines
	return nil
}
