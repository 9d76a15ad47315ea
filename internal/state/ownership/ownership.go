// Package ownership derives the owners of engines from the records of the control stream: claims, which make an
// instance the owner of an engine, and slot orders, which are recorded before they are sent to an engine that does not
// check fences and so cannot distinguish a former owner from the current one.
package ownership

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The kinds of records that the fold applies.
const (
	KindClaim     record.Kind = "claim"
	KindSlotOrder record.Kind = "slot_order"
	KindSlotDone  record.Kind = "slot_done"
)

// Claim is the body of a claim record. The claimant is the incarnation in the envelope.
type Claim struct {
	Engine string `json:"engine"`
	// Previous is the fence that the claim replaces. The claim is only valid if that fence is still current. Zero
	// stands for an engine that never had an owner.
	Previous uint64 `json:"previous_fence"`
}

// Op is the operation of a slot order.
type Op string

// The operations of slot orders.
const (
	Load  Op = "load"
	Evict Op = "evict"
)

// SlotOrder is the body of a slot order record.
type SlotOrder struct {
	Engine string `json:"engine"`
	Fence  uint64 `json:"fence"`
	// Seq increases with each order under a fence. It identifies repeated appends, so that the fold need not keep
	// the IDs of closed orders.
	Seq     uint64 `json:"seq"`
	Op      Op     `json:"op"`
	Adapter string `json:"adapter"`
}

// SlotDone is the body of the record that closes an order, which has taken effect or never will.
type SlotDone struct {
	Engine string `json:"engine"`
	Fence  uint64 `json:"fence"`
	Seq    uint64 `json:"seq"`
}

// Order is a slot order that is not closed.
type Order struct {
	SlotOrder
	// Author is the incarnation of the owner that issued the order.
	Author string `json:"author"`
}

// Ref returns the adapter version that the order loads or evicts.
func (o Order) Ref() adapter.Ref { return adapter.Parse(o.Adapter) }

// Engine is the state of one engine. The zero value is an engine without an owner.
type Engine struct {
	// Fence is the offset of the current claim, or zero if there is none.
	Fence uint64 `json:"fence"`
	// Owner is the incarnation that made the current claim.
	Owner string `json:"owner"`
	// Seq is the highest sequence number of an order under Fence.
	Seq uint64 `json:"seq"`
	// OpenOrders holds the orders that are not closed, those of earlier owners included, in log order.
	OpenOrders []Order `json:"open,omitempty"`
}

// FindOrder returns the open order with the fence and sequence number, and whether there is one.
func (e Engine) FindOrder(fence, seq uint64) (Order, bool) {
	for _, o := range e.OpenOrders {
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

// Engine returns a copy of the state of one engine, which later entries do not change.
func (f *Fold) Engine(id string) Engine {
	e := f.engines[id]
	if e == nil {
		return Engine{}
	}
	c := *e
	c.OpenOrders = slices.Clone(e.OpenOrders)
	return c
}

// EngineIDs returns the IDs of the engines that ever had an owner, sorted.
func (f *Fold) EngineIDs() []string {
	ids := make([]string, 0, len(f.engines))
	for id := range f.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply applies one entry and returns the ID of the engine whose state changed, or "". Entries must be applied in log
// order. Entries before the position of an imported snapshot, of other kinds, or that are not valid change nothing.
func (f *Fold) Apply(e record.Entry) string {
	if e.Offset+1 < f.next {
		return ""
	}
	f.next = e.Offset + 1
	switch e.Kind {
	case KindClaim:
		var c Claim
		if e.Unmarshal(&c) == nil && f.applyClaim(e, c) {
			return c.Engine
		}
	case KindSlotOrder:
		var o SlotOrder
		if e.Unmarshal(&o) == nil && f.applyOrder(e, o) {
			return o.Engine
		}
	case KindSlotDone:
		var d SlotDone
		if e.Unmarshal(&d) == nil && f.applyDone(e, d) {
			return d.Engine
		}
	}
	return ""
}

// applyClaim accepts the first claim that replaces the current fence. A claim at offset zero is refused, since a
// fence of zero stands for no owner; this does not matter in practice, where a join precedes every claim. Two claims
// in one append cannot both be accepted: the second would have to replace the offset of its own append.
func (f *Fold) applyClaim(e record.Entry, c Claim) bool {
	engine := f.engines[c.Engine]
	if engine == nil {
		engine = &Engine{}
	}
	if e.Offset == 0 || c.Engine == "" || e.Incarnation == "" || c.Previous != engine.Fence || engine.Fence == e.Offset {
		return false
	}
	engine.Fence, engine.Owner, engine.Seq = e.Offset, e.Incarnation, 0
	f.engines[c.Engine] = engine
	return true
}

// applyOrder accepts an order of the current owner. An order that follows a newer claim is ignored: its author finds
// that it is not open when it reads the log, and does not send it.
func (f *Fold) applyOrder(e record.Entry, o SlotOrder) bool {
	engine := f.engines[o.Engine]
	if engine == nil || o.Fence != engine.Fence || e.Incarnation != engine.Owner || o.Seq <= engine.Seq {
		return false
	}
	engine.Seq = o.Seq
	engine.OpenOrders = append(engine.OpenOrders, Order{SlotOrder: o, Author: e.Incarnation})
	return true
}

// applyDone closes an order if the record is by the author of the order or by the current owner.
func (f *Fold) applyDone(e record.Entry, d SlotDone) bool {
	engine := f.engines[d.Engine]
	if engine == nil {
		return false
	}
	before := len(engine.OpenOrders)
	engine.OpenOrders = slices.DeleteFunc(engine.OpenOrders, func(o Order) bool {
		return o.Fence == d.Fence && o.Seq == d.Seq &&
			(e.Incarnation == o.Author || e.Incarnation == engine.Owner)
	})
	return len(engine.OpenOrders) < before
}

// snapshot is the exported state.
type snapshot struct {
	Next    uint64             `json:"next"`
	Engines map[string]*Engine `json:"engines"`
}

// Export returns a snapshot of the state as JSON. It is equal for all folds that applied the same entries.
func (f *Fold) Export() ([]byte, error) {
	b, err := json.Marshal(snapshot{Next: f.next, Engines: f.engines})
	return b, trace.Wrap(err)
}

// Import replaces the state by a snapshot unless the snapshot is older. Apply then ignores the entries that the
// snapshot covers.
func (f *Fold) Import(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return trace.BadParameter("invalid ownership snapshot: %v", err)
	}
	if snap.Next < f.next {
		return nil
	}
	if snap.Engines == nil {
		snap.Engines = make(map[string]*Engine)
	}
	for id, e := range snap.Engines {
		if e == nil || strings.TrimSpace(id) == "" {
			return trace.BadParameter("invalid ownership snapshot: an engine has no ID or no state")
		}
	}
	f.next, f.engines = snap.Next, snap.Engines
	return nil
}
