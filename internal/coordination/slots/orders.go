package slots

import (
	"fmt"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
)

// advanceSlot takes the next step of the order or the retirement in one slot.
func (o *Owner) advanceSlot(now time.Time, r adapter.Ref, s *slot) {
	switch s.phase {
	case retiring:
		o.advanceRetire(now, r, s)
	case evicting, loading:
		o.advanceOrder(now, r, s)
	}
}

// startWanted starts loads of wanted adapter versions into free slots, and evictions if no slot is free.
func (o *Owner) startWanted(now time.Time) {
	if o.report.Incarnation == "" || o.settings.ChecksFence && !o.fenceConfirmed {
		return
	}
	evictionsInProgress := 0
	for _, s := range o.slots {
		if s.phase == retiring || s.phase == evicting {
			evictionsInProgress++
		}
	}
	for _, w := range slices.Clone(o.wanted) {
		s := o.slots[w]
		switch {
		case s != nil && (s.phase == resident || s.phase == loading):
			o.dropWanted(w)
		case s != nil || o.earlierOwnerHasOrder(w, ownership.Load, ownership.Evict):
		case o.occupiedSlots() < o.settings.Slots:
			if o.settings.mustRecord(ownership.Load) && !o.view.LogAvailable {
				return
			}
			o.dropWanted(w)
			o.slots[w] = &slot{phase: loading, phaseStarted: now, order: o.newOrder(ownership.Load, w)}
			o.advanceOrder(now, w, o.slots[w])
		case evictionsInProgress == 0:
			if !o.startRetire(now, w) {
				return
			}
			evictionsInProgress++
		default:
			evictionsInProgress--
		}
	}
}

func (o *Owner) dropWanted(r adapter.Ref) {
	o.wanted = slices.DeleteFunc(o.wanted, func(w adapter.Ref) bool { return w == r })
}

// occupiedSlots counts the slots that are or may be occupied. An open order of an earlier owner for an adapter
// version without a slot counts as one, since a load may still take effect.
func (o *Owner) occupiedSlots() int {
	n := len(o.slots)
	for _, open := range o.view.Engine.OpenOrders {
		if open.Author != o.self && o.slots[open.Ref()] == nil {
			n++
		}
	}
	return n
}

// startRetire selects a victim and asks the members to retire it. It returns false if no adapter version can
// be evicted now.
func (o *Owner) startRetire(now time.Time, wanted adapter.Ref) bool {
	if o.settings.mustRecord(ownership.Evict) && !o.view.LogAvailable {
		return false
	}
	for _, m := range o.view.Members {
		if !o.inFlightReported[m] {
			return false
		}
	}
	candidates := o.slotRefs(func(r adapter.Ref, s *slot) bool {
		return s.phase == resident && !o.earlierOwnerHasOrder(r, ownership.Load, ownership.Evict) &&
			!now.Before(o.cooldownUntil[r]) && o.pendingUnretires[r] == nil
	})
	if len(candidates) == 0 {
		return false
	}
	victim, ok := o.pickVictim(candidates, wanted)
	if !ok || !slices.Contains(candidates, victim) {
		return false
	}
	o.round++
	s := o.slots[victim]
	s.phase, s.phaseStarted, s.retireRound, s.confirmedBy = retiring, now, o.round, make(map[string]bool)
	o.advanceRetire(now, victim, s)
	return true
}

// advanceRetire repeats the Retire to members that have not confirmed it. Once all have, it orders the
// eviction; after RetireTimeout, it abandons the eviction of this victim.
func (o *Owner) advanceRetire(now time.Time, r adapter.Ref, s *slot) {
	o.sendRetires(now, r, s)
	if o.allRetired(now, r, s) {
		s.phase, s.phaseStarted, s.order = evicting, now, o.newOrder(ownership.Evict, r)
		o.advanceOrder(now, r, s)
		return
	}
	if !now.Before(s.phaseStarted.Add(o.settings.RetireTimeout)) {
		o.abandonEviction(now, r, s)
	}
}

func (o *Owner) sendRetires(now time.Time, r adapter.Ref, s *slot) {
	for _, m := range o.view.Members {
		if !s.confirmedBy[m] && o.due(now, fmt.Sprintf("retire %s %d", m, s.retireRound)) {
			o.actions = append(o.actions, SendRetire{Member: m, Retire: o.retireMessage(r, s.retireRound)})
		}
	}
}

// allRetired reports whether no member has a request for the adapter version in flight or will dispatch one.
// For a withdrawn member that did not confirm, the engine must have reported the adapter as idle after the
// withdrawal. A process that may only be paused can still send until the quarantine ends, so a report of an
// engine that does not guard the eviction must have been sampled after the quarantine.
func (o *Owner) allRetired(now time.Time, r adapter.Ref, s *slot) bool {
	for _, m := range o.view.Members {
		if !s.confirmedBy[m] {
			return false
		}
	}
	for m, w := range o.view.Withdrawn {
		if s.confirmedBy[m] {
			continue
		}
		from := w.ObservedAt
		if !w.Dead && !o.settings.EvictsOnlyIdle {
			from = w.ObservedAt.Add(o.settings.Quarantine)
		}
		running, held := o.report.Running[r]
		if now.Before(from) || !o.report.NotBefore.After(from) || running > 0 || !held {
			return false
		}
	}
	return true
}

func (o *Owner) applyRetireReply(e RetireReply) {
	if e.Fence != o.fence || !o.Owns() {
		return
	}
	if s := o.slots[e.Adapter]; s != nil && s.retireRound == e.Round && s.confirmedBy != nil && e.InFlight == 0 {
		s.confirmedBy[e.Member] = true
	}
	if pending := o.pendingUnretires[e.Adapter]; pending != nil && pending.round == e.Round {
		delete(pending.unacknowledged, e.Member)
		if len(pending.unacknowledged) == 0 {
			delete(o.pendingUnretires, e.Adapter)
		}
	}
}

// abandonEviction makes the adapter version resident again. Another victim can then be selected.
func (o *Owner) abandonEviction(now time.Time, r adapter.Ref, s *slot) {
	s.phase, s.phaseStarted, s.order, s.confirmedBy = resident, now, nil, nil
	o.cooldownUntil[r] = now.Add(o.settings.VictimCooldown)
	o.startUnretire(r)
}

// startUnretire permits members to dispatch again. It must be called only when the eviction can no longer take
// effect.
func (o *Owner) startUnretire(r adapter.Ref) {
	o.round++
	pending := &pendingUnretire{round: o.round, unacknowledged: make(map[string]bool)}
	for _, m := range o.view.Members {
		pending.unacknowledged[m] = true
	}
	o.pendingUnretires[r] = pending
}

// sendUnretires sends the Unretire messages that members have not acknowledged.
func (o *Owner) sendUnretires(now time.Time) {
	for r, pending := range o.pendingUnretires {
		for m := range pending.unacknowledged {
			if !slices.Contains(o.view.Members, m) {
				delete(pending.unacknowledged, m)
			}
		}
		if len(pending.unacknowledged) == 0 {
			delete(o.pendingUnretires, r)
		}
	}
	for _, m := range o.view.Members {
		for _, r := range sortedKeys(o.pendingUnretires) {
			pending := o.pendingUnretires[r]
			if pending.unacknowledged[m] && o.due(now, fmt.Sprintf("unretire %s %d", m, pending.round)) {
				o.actions = append(o.actions, SendUnretire{Member: m, Retire: o.retireMessage(r, pending.round)})
			}
		}
	}
}

func sortedKeys(m map[adapter.Ref]*pendingUnretire) []adapter.Ref {
	keys := make([]adapter.Ref, 0, len(m))
	for r := range m {
		keys = append(keys, r)
	}
	slices.SortFunc(keys, compareRefs)
	return keys
}

func (o *Owner) retireMessage(r adapter.Ref, round uint64) Retire {
	return Retire{Engine: o.settings.Engine, Adapter: r, Fence: o.fence, Round: round}
}

func (o *Owner) newOrder(op ownership.Op, r adapter.Ref) *order {
	o.seq++
	return &order{SlotOrder: ownership.SlotOrder{Engine: o.settings.Engine, Fence: o.fence, Seq: o.seq,
		Op: op, Adapter: r.String()}}
}

// advanceOrder records an order in the log if required, and sends it once. A recorded order is sent only after
// it was read back as open, which shows that no newer claim precedes it. An eviction is sent only if all
// members, including those that joined before the record, are still known to have retired the adapter version.
func (o *Owner) advanceOrder(now time.Time, r adapter.Ref, s *slot) {
	ord := s.order
	if ord.sent {
		if !ord.unknownSince.IsZero() && !now.Before(ord.unknownSince.Add(o.settings.Quarantine)) {
			o.settleOrder(now, r, s, false)
		}
		return
	}
	if o.settings.mustRecord(ord.Op) {
		_, open := o.view.Engine.FindOrder(ord.Fence, ord.Seq)
		switch {
		case open:
		case o.view.Engine.Seq >= ord.Seq || !now.Before(s.phaseStarted.Add(o.settings.RetireTimeout)):
			// The record is void, or the log is too slow. The order is never sent; if its record is
			// appended later, the order is closed.
			o.settleOrder(now, r, s, false)
			return
		default:
			id := fmt.Sprintf("%s/order/%s/%d/%d", o.self, o.settings.Engine, ord.Fence, ord.Seq)
			if o.due(now, id) {
				o.appendRecord(ownership.KindSlotOrder, id, ord.SlotOrder)
			}
			return
		}
	}
	if ord.Op == ownership.Evict && !o.allRetired(now, r, s) {
		o.sendRetires(now, r, s)
		if !now.Before(s.phaseStarted.Add(o.settings.RetireTimeout)) {
			o.settleOrder(now, r, s, false)
		}
		return
	}
	ord.sent, ord.sentIncarnation = true, o.report.Incarnation
	o.actions = append(o.actions, SendOrder{Fence: ord.Fence, Seq: ord.Seq, Op: ord.Op, Adapter: r,
		IfIdle: ord.Op == ownership.Evict && o.settings.EvictsOnlyIdle})
}

// applyOrderResult handles the result of an order, including one that was sent under an earlier ownership.
func (o *Owner) applyOrderResult(now time.Time, e OrderResult) {
	if key := [2]uint64{e.Fence, e.Seq}; o.formerOrders[key] && e.Status != OrderUnknown {
		delete(o.formerOrders, key)
		return
	}
	for r, s := range o.slots {
		if s.order == nil || !s.order.sent || s.order.Fence != e.Fence || s.order.Seq != e.Seq {
			continue
		}
		if e.Status == OrderUnknown {
			s.order.unknownSince = now
			return
		}
		o.settleOrder(now, r, s, e.Status == OrderDone)
		return
	}
}

// settleOrder ends an order that can no longer take effect. done says that it took effect.
func (o *Owner) settleOrder(now time.Time, r adapter.Ref, s *slot, done bool) {
	load := s.order.Op == ownership.Load
	s.order = nil
	switch {
	case load && done:
		// The engine may have restarted since the load, so only a report sets the incarnation.
		s.phase, s.phaseStarted, s.incarnation = resident, now, ""
	case load, done:
		delete(o.slots, r)
		o.removedAt[r] = now
	default:
		o.abandonEviction(now, r, s)
		return
	}
	if load {
		o.actions = append(o.actions, LoadEnded{Adapter: r, OK: done})
		return
	}
	o.startUnretire(r)
}

// applyReport applies an engine's report. It updates which adapter versions are resident, settles orders whose
// result is unknown, and detects a restart, which empties all slots.
func (o *Owner) applyReport(now time.Time, rep Report) {
	if rep.NotBefore.Before(o.report.NotBefore) || !rep.NotBefore.After(o.takenOverAt) {
		return
	}
	o.report = rep
	for r, s := range o.slots {
		_, held := rep.Running[r]
		switch {
		case s.order != nil && s.order.sent && !s.order.unknownSince.IsZero():
			o.settleUnknown(now, r, s, held)
		case s.order != nil:
		case held:
			s.incarnation = rep.Incarnation
		case rep.NotBefore.After(s.phaseStarted):
			if s.phase == retiring {
				o.startUnretire(r)
			}
			delete(o.slots, r)
		}
	}
	for r := range rep.Running {
		if removed, ok := o.removedAt[r]; ok && !rep.NotBefore.After(removed) {
			continue
		}
		if o.slots[r] == nil {
			o.slots[r] = &slot{phase: resident, phaseStarted: rep.NotBefore, incarnation: rep.Incarnation}
		}
	}
}

// settleUnknown settles an order whose result is unknown if a report that was sampled after the loss of the
// result shows its effect, or shows a restart of the engine, which closed the connection of the order.
func (o *Owner) settleUnknown(now time.Time, r adapter.Ref, s *slot, held bool) {
	ord := s.order
	if !o.report.NotBefore.After(ord.unknownSince) {
		return
	}
	if ord.lastReachable == "" {
		ord.lastReachable = o.report.Incarnation
	}
	switch {
	case ord.Op == ownership.Load && held:
		o.settleOrder(now, r, s, true)
	case ord.lastReachable != o.report.Incarnation && ord.Op == ownership.Load:
		o.settleOrder(now, r, s, false)
	case ord.lastReachable != o.report.Incarnation, ord.Op == ownership.Evict && !held &&
		s.incarnation == o.report.Incarnation && ord.sentIncarnation == o.report.Incarnation:
		o.settleOrder(now, r, s, !held)
	}
}
