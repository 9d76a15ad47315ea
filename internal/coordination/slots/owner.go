package slots

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// PickVictim selects which of the sorted candidates to evict for a wanted adapter version. It returns false
// if no candidate is worth less than the wanted one.
type PickVictim func(candidates []adapter.Ref, wanted adapter.Ref) (adapter.Ref, bool)

// phase is the state of a slot.
type phase int

const (
	// resident: the engine holds the adapter version and requests may be dispatched to it.
	resident phase = iota + 1
	// retiring: the members are being asked to stop dispatching.
	retiring
	// evicting: the eviction is being recorded, was sent, or has an unknown result.
	evicting
	// loading: the load is being recorded, was sent, or has an unknown result.
	loading
)

// slot is a slot of the engine that is, or may be, occupied by an adapter version.
type slot struct {
	phase        phase
	phaseStarted time.Time
	// incarnation is that of the engine when it was last known to hold the adapter version.
	incarnation string
	order       *order
	// retireRound is the round of the Retire messages; confirmedBy holds the members that sent a final reply.
	retireRound uint64
	confirmedBy map[string]bool
}

// order is an order of this owner that has not ended.
type order struct {
	ownership.SlotOrder
	// sent is set when Step returns the order as an action, unknownSince when its result is reported as unknown.
	sent         bool
	unknownSince time.Time
	// lastReachable is the newest engine incarnation that the order can reach, or "" until it is known.
	lastReachable string
	// sentIncarnation is the last reported engine incarnation when the order was sent.
	sentIncarnation string
}

// Owner is the state machine of one engine on one instance. It is not safe for concurrent use. It must be
// kept as long as its incarnation exists: only it knows which of the incarnation's orders were sent.
type Owner struct {
	settings   Settings
	self       string
	pickVictim PickVictim
	view       View
	// fence is the fencing token of this ownership, or zero if this instance does not own the engine.
	fence uint64
	seq   uint64
	round uint64
	// takenOverAt is when this ownership began or, if later, when the engine confirmed the fence. Reports
	// sampled earlier are ignored.
	takenOverAt time.Time
	// fenceConfirmed says that the engine incarnation noopIncarnation accepted the no-op order with the number
	// noopNumber. It does not cover later incarnations, since a restarted engine may have forgotten the fence.
	fenceConfirmed   bool
	noopIncarnation  string
	noopNumber       uint64
	inFlightReported map[string]bool
	slots            map[adapter.Ref]*slot
	// removedAt holds when an adapter version was removed from the engine, until a later report arrives.
	removedAt map[adapter.Ref]time.Time
	report    Report
	wanted    []adapter.Ref
	// cooldownUntil holds the time until which an adapter version is not selected for eviction.
	cooldownUntil map[adapter.Ref]time.Time
	// pendingUnretires holds the Unretires that members must still acknowledge.
	pendingUnretires map[adapter.Ref]*pendingUnretire
	// formerOrders holds the fence and sequence number of orders that were sent under a lost ownership, until
	// their results arrive.
	formerOrders map[[2]uint64]bool
	// lastTaken holds when a repeated action was last taken.
	lastTaken map[string]time.Time
	actions   []Action
}

// pendingUnretire is an Unretire that some members have not acknowledged.
type pendingUnretire struct {
	round          uint64
	unacknowledged map[string]bool
}

// NewOwner returns the state machine of an engine on the instance with the incarnation self.
func NewOwner(self string, settings Settings, pick PickVictim) *Owner {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&settings.Quarantine, DefaultQuarantine}, {&settings.ResendInterval, DefaultResendInterval},
		{&settings.RetireTimeout, DefaultRetireTimeout}, {&settings.VictimCooldown, DefaultVictimCooldown},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	o := &Owner{settings: settings, self: self, pickVictim: pick, formerOrders: make(map[[2]uint64]bool)}
	o.reset()
	return o
}

// reset clears the state that belongs to one ownership.
func (o *Owner) reset() {
	o.fence, o.seq, o.round, o.fenceConfirmed, o.noopIncarnation, o.noopNumber = 0, 0, 0, false, "", 0
	o.inFlightReported = make(map[string]bool)
	o.slots = make(map[adapter.Ref]*slot)
	o.removedAt = make(map[adapter.Ref]time.Time)
	o.cooldownUntil = make(map[adapter.Ref]time.Time)
	o.pendingUnretires = make(map[adapter.Ref]*pendingUnretire)
	o.lastTaken = make(map[string]time.Time)
	o.wanted, o.report = nil, Report{}
}

// Owns reports whether this instance owns the engine according to the latest view.
func (o *Owner) Owns() bool { return o.fence != 0 }

// Fence returns the fencing token of this ownership, or zero if this instance does not own the engine.
func (o *Owner) Fence() uint64 { return o.fence }

// Resident returns the resident adapter versions to which requests may be dispatched, sorted.
func (o *Owner) Resident() []adapter.Ref {
	return o.slotRefs(func(r adapter.Ref, s *slot) bool {
		return s.phase == resident && !o.earlierOwnerHasOrder(r, ownership.Evict)
	})
}

// Step handles one event and returns the actions to execute, in order.
func (o *Owner) Step(now time.Time, ev Event) []Action {
	o.actions = nil
	switch e := ev.(type) {
	case ViewUpdate:
		o.applyView(now, e.View)
	case Wanted:
		if o.Owns() && !slices.Contains(o.wanted, e.Adapter) {
			o.wanted = append(o.wanted, e.Adapter)
		}
	case Unwanted:
		o.wanted = slices.DeleteFunc(o.wanted, func(r adapter.Ref) bool { return r == e.Adapter })
	case Report:
		if o.Owns() {
			o.applyReport(now, e)
		}
	case OrderResult:
		o.applyOrderResult(now, e)
	case NoopResult:
		o.confirmFence(now, e)
	case RetireReply:
		o.applyRetireReply(e)
	case InFlightReply:
		if e.Fence == o.fence {
			o.inFlightReported[e.Member] = true
		}
	}
	o.advance(now)
	o.prune(now)
	return o.actions
}

// prune removes expired entries from the maps of times.
func (o *Owner) prune(now time.Time) {
	maps.DeleteFunc(o.lastTaken, func(_ string, at time.Time) bool { return !now.Before(at.Add(o.settings.ResendInterval)) })
	maps.DeleteFunc(o.cooldownUntil, func(_ adapter.Ref, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(o.removedAt, func(_ adapter.Ref, at time.Time) bool { return o.report.NotBefore.After(at) })
}

// applyView stores the view and handles the start or the end of this instance's ownership.
func (o *Owner) applyView(now time.Time, v View) {
	o.view = v
	mine := v.Engine.Owner == o.self && !v.OwnerGone
	if o.Owns() && (!mine || v.Engine.Fence != o.fence) {
		for _, s := range o.slots {
			if s.order != nil && s.order.sent {
				o.formerOrders[[2]uint64{s.order.Fence, s.order.Seq}] = true
			}
		}
		o.reset()
	}
	if mine && !o.Owns() {
		o.reset()
		o.fence, o.seq, o.takenOverAt = v.Engine.Fence, v.Engine.Seq, now
	}
}

// confirmFence records that the engine now refuses earlier owners. Earlier reports are discarded, since orders
// of those owners may have changed the engine's state in the meantime.
func (o *Owner) confirmFence(now time.Time, e NoopResult) {
	if o.Owns() && e.Fence == o.fence && e.Number == o.noopNumber && !o.fenceConfirmed {
		o.fenceConfirmed, o.takenOverAt, o.report = true, now, Report{}
		maps.DeleteFunc(o.slots, func(_ adapter.Ref, s *slot) bool { return s.phase == resident })
	}
}

// sendNoop informs the engine of the fence, and does so again after each restart of the engine.
func (o *Owner) sendNoop(now time.Time) {
	inc := o.report.Incarnation
	if !o.settings.ChecksFence || inc == "" || o.fenceConfirmed && inc == o.noopIncarnation {
		return
	}
	if inc != o.noopIncarnation {
		o.fenceConfirmed, o.noopIncarnation = false, inc
		o.noopNumber++
	}
	if o.due(now, fmt.Sprintf("noop %d", o.noopNumber)) {
		o.actions = append(o.actions, SendNoop{Fence: o.fence, Number: o.noopNumber})
	}
}

// advance takes all actions that are due. Without a valid lease it only closes orders.
func (o *Owner) advance(now time.Time) {
	o.closeOrders(now)
	if !o.view.LeaseValid {
		return
	}
	if !o.Owns() {
		o.claim(now)
		return
	}
	o.sendNoop(now)
	for _, m := range o.view.Members {
		if !o.inFlightReported[m] && o.due(now, "in-flight "+m) {
			o.actions = append(o.actions, SendInFlightQuery{Member: m,
				InFlightQuery: InFlightQuery{Engine: o.settings.Engine, Fence: o.fence}})
		}
	}
	o.sendUnretires(now)
	for _, r := range o.slotRefs(func(adapter.Ref, *slot) bool { return true }) {
		o.advanceSlot(now, r, o.slots[r])
	}
	o.startWanted(now)
}

// claim claims the engine if it has no owner and this instance is the preferred one. A claim that is appended
// late has no effect: it counts only if the fence that it names is still current.
func (o *Owner) claim(now time.Time) {
	e := o.view.Engine
	if e.Owner != "" && !o.view.OwnerGone || !o.view.LogAvailable ||
		PreferredOwner(o.settings.Engine, o.view.Members) != o.self {
		return
	}
	id := fmt.Sprintf("%s/claim/%s/%d", o.self, o.settings.Engine, e.Fence)
	if o.due(now, id) {
		o.appendRecord(ownership.KindClaim, id, ownership.Claim{Engine: o.settings.Engine, Previous: e.Fence})
	}
}

// PreferredOwner returns the member with the highest rendezvous hash for an engine, or "" if there are no
// members. When a member joins or leaves, only the engines for which it is preferred are affected.
func PreferredOwner(engine string, members []string) string {
	var best string
	var bestWeight uint64
	for _, m := range members {
		sum := sha256.Sum256([]byte(engine + "\x00" + m))
		if weight := binary.BigEndian.Uint64(sum[:8]); best == "" || weight > bestWeight || weight == bestWeight && m < best {
			best, bestWeight = m, weight
		}
	}
	return best
}

// closeOrders closes the open orders that can no longer take effect: orders of this instance that were never
// sent or have ended, and orders of earlier owners after the quarantine. It waits for the quarantine even if
// the engine refuses old fences, since the engine may forget the current fence in a restart.
func (o *Owner) closeOrders(now time.Time) {
	if !o.view.LogAvailable {
		return
	}
	for _, open := range o.view.Engine.OpenOrders {
		switch {
		case open.Author == o.self:
			if o.formerOrders[[2]uint64{open.Fence, open.Seq}] || open.Fence == o.fence && o.orderPending(open) {
				continue
			}
		case !o.Owns() || now.Before(o.takenOverAt.Add(o.settings.Quarantine)):
			continue
		}
		id := fmt.Sprintf("%s/done/%s/%d/%d", o.self, o.settings.Engine, open.Fence, open.Seq)
		if o.due(now, id) {
			o.appendRecord(ownership.KindSlotDone, id,
				ownership.SlotDone{Engine: o.settings.Engine, Fence: open.Fence, Seq: open.Seq})
		}
	}
}

// earlierOwnerHasOrder reports whether an earlier owner has an open order of one of the operations for the
// adapter version.
func (o *Owner) earlierOwnerHasOrder(r adapter.Ref, ops ...ownership.Op) bool {
	return slices.ContainsFunc(o.view.Engine.OpenOrders, func(open ownership.Order) bool {
		return open.Author != o.self && open.Ref() == r && slices.Contains(ops, open.Op)
	})
}

// orderPending reports whether an open order of this ownership has not ended.
func (o *Owner) orderPending(open ownership.Order) bool {
	s := o.slots[open.Ref()]
	return s != nil && s.order != nil && s.order.Seq == open.Seq
}

// slotRefs returns the adapter versions whose slots match the filter, sorted.
func (o *Owner) slotRefs(keep func(adapter.Ref, *slot) bool) []adapter.Ref {
	var out []adapter.Ref
	for r, s := range o.slots {
		if keep(r, s) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b adapter.Ref) int { return compareRefs(a, b) })
	return out
}

func compareRefs(a, b adapter.Ref) int {
	switch as, bs := a.String(), b.String(); {
	case as < bs:
		return -1
	case as > bs:
		return 1
	}
	return 0
}

// due reports whether a repeated action may be taken again, and if so records that it is taken now.
func (o *Owner) due(now time.Time, key string) bool {
	if last, ok := o.lastTaken[key]; ok && now.Before(last.Add(o.settings.ResendInterval)) {
		return false
	}
	o.lastTaken[key] = now
	return true
}

func (o *Owner) appendRecord(kind record.Kind, id string, body any) {
	// The bodies are structs of strings and integers, whose encoding cannot fail.
	e, _ := record.New(kind, id, o.self, body)
	o.actions = append(o.actions, Append{Record: e})
}
