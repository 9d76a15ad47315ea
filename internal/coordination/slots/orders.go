package slots

import (
	"fmt"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
)

// advanceSlot moves one slot on.
func (o *Owner) advanceSlot(now time.Time, r adapter.Ref, s *slot) {
	switch s.phase {
	case retiring:
		o.advanceRetire(now, r, s)
	case evicting, loading:
		o.advanceOrder(now, r, s)
	}
}

// serveWanted starts loads into free slots and evictions for the loads that find none.
func (o *Owner) serveWanted(now time.Time) {
	if o.report.Incarnation == "" || o.set.ChecksFence && !o.noop {
		return
	}
	retires := 0
	for _, s := range o.slots {
		if s.phase == retiring || s.phase == evicting {
			retires++
		}
	}
	for _, w := range slices.Clone(o.wanted) {
		s := o.slots[w]
		switch {
		case s != nil && (s.phase == resident || s.phase == loading):
			o.dropWanted(w)
		case s != nil || o.foreign(w, ownership.Load, ownership.Evict):
		case o.taken() < o.set.Slots:
			if o.set.records(ownership.Load) && !o.view.LogAvailable {
				return
			}
			o.dropWanted(w)
			o.slots[w] = &slot{phase: loading, since: now, order: o.newOrder(ownership.Load, w)}
			o.advanceOrder(now, w, o.slots[w])
		case retires == 0:
			if !o.startRetire(now, w) {
				return
			}
			retires++
		default:
			retires--
		}
	}
}

func (o *Owner) dropWanted(r adapter.Ref) {
	o.wanted = slices.DeleteFunc(o.wanted, func(w adapter.Ref) bool { return w == r })
}

// taken counts the slots that are or may be occupied. A load of an earlier owner that may still take
// effect counts as one.
func (o *Owner) taken() int {
	n := len(o.slots)
	for _, open := range o.view.Engine.Open {
		if open.Author != o.self && o.slots[open.Ref()] == nil {
			n++
		}
	}
	return n
}

// startRetire picks a victim and asks the members to retire it. It returns false if nothing can be
// evicted now.
func (o *Owner) startRetire(now time.Time, wanted adapter.Ref) bool {
	if o.set.records(ownership.Evict) && !o.view.LogAvailable {
		return false
	}
	for _, m := range o.view.Members {
		if !o.reported[m] {
			return false
		}
	}
	candidates := o.refs(func(r adapter.Ref, s *slot) bool {
		return s.phase == resident && !o.foreign(r, ownership.Load, ownership.Evict) && !now.Before(o.cooling[r]) && o.unretire[r] == nil
	})
	if len(candidates) == 0 {
		return false
	}
	victim, ok := o.pick(candidates, wanted)
	if !ok || !slices.Contains(candidates, victim) {
		return false
	}
	o.round++
	s := o.slots[victim]
	s.phase, s.since, s.round, s.answered = retiring, now, o.round, make(map[string]bool)
	o.advanceRetire(now, victim, s)
	return true
}

// advanceRetire asks the members that have not answered yet. When all have, it orders the eviction;
// when they take too long, it gives this victim up.
func (o *Owner) advanceRetire(now time.Time, r adapter.Ref, s *slot) {
	o.askRetire(now, r, s)
	if o.allRetired(now, r, s) {
		s.phase, s.since, s.order = evicting, now, o.newOrder(ownership.Evict, r)
		o.advanceOrder(now, r, s)
		return
	}
	if !now.Before(s.since.Add(o.set.RetireTimeout)) {
		o.giveUp(now, r, s)
	}
}

func (o *Owner) askRetire(now time.Time, r adapter.Ref, s *slot) {
	for _, m := range o.view.Members {
		if !s.answered[m] && o.due(now, fmt.Sprintf("retire %s %d", m, s.round)) {
			o.acts = append(o.acts, SendRetire{Member: m, Retire: o.retireMessage(r, s.round)})
		}
	}
}

// allRetired reports whether no member has a request of the adapter version in flight or will dispatch
// one. For a withdrawn member that did not answer, the engine must have reported the adapter idle
// after the withdrawal. A process that may only be paused can still send until the quarantine ends, so
// an engine that does not guard the eviction must be sampled after that.
func (o *Owner) allRetired(now time.Time, r adapter.Ref, s *slot) bool {
	for _, m := range o.view.Members {
		if !s.answered[m] {
			return false
		}
	}
	for m, g := range o.view.Withdrawn {
		if s.answered[m] {
			continue
		}
		from := g.ObservedAt
		if !g.Dead && !o.set.EvictsOnlyIdle {
			from = g.ObservedAt.Add(o.set.Quarantine)
		}
		running, held := o.report.Running[r]
		if now.Before(from) || !o.report.NotBefore.After(from) || running > 0 || !held {
			return false
		}
	}
	return true
}

func (o *Owner) reply(e RetireReply) {
	if e.Fence != o.fence || !o.Owns() {
		return
	}
	if s := o.slots[e.Adapter]; s != nil && s.round == e.Round && s.answered != nil && e.InFlight == 0 {
		s.answered[e.Member] = true
	}
	if rel := o.unretire[e.Adapter]; rel != nil && rel.round == e.Round {
		delete(rel.waiting, e.Member)
		if len(rel.waiting) == 0 {
			delete(o.unretire, e.Adapter)
		}
	}
}

// giveUp returns a slot to service and lets another victim be picked.
func (o *Owner) giveUp(now time.Time, r adapter.Ref, s *slot) {
	s.phase, s.since, s.order, s.answered = resident, now, nil, nil
	o.cooling[r] = now.Add(o.set.VictimCooldown)
	o.release(r)
}

// release permits dispatch again. It must be called only when the eviction can't take effect any more.
func (o *Owner) release(r adapter.Ref) {
	o.round++
	rel := &release{round: o.round, waiting: make(map[string]bool)}
	for _, m := range o.view.Members {
		rel.waiting[m] = true
	}
	o.unretire[r] = rel
}

// sendReleases repeats the Unretire messages that were not acknowledged.
func (o *Owner) sendReleases(now time.Time) {
	for r, rel := range o.unretire {
		for m := range rel.waiting {
			if !slices.Contains(o.view.Members, m) {
				delete(rel.waiting, m)
			}
		}
		if len(rel.waiting) == 0 {
			delete(o.unretire, r)
		}
	}
	for _, m := range o.view.Members {
		for _, r := range sortedKeys(o.unretire) {
			rel := o.unretire[r]
			if rel.waiting[m] && o.due(now, fmt.Sprintf("unretire %s %d", m, rel.round)) {
				o.acts = append(o.acts, SendUnretire{Member: m, Retire: o.retireMessage(r, rel.round)})
			}
		}
	}
}

func sortedKeys(m map[adapter.Ref]*release) []adapter.Ref {
	keys := make([]adapter.Ref, 0, len(m))
	for r := range m {
		keys = append(keys, r)
	}
	slices.SortFunc(keys, compare)
	return keys
}

func (o *Owner) retireMessage(r adapter.Ref, round uint64) Retire {
	return Retire{Engine: o.set.Engine, Adapter: r, Fence: o.fence, Round: round}
}

func (o *Owner) newOrder(op ownership.Op, r adapter.Ref) *order {
	o.seq++
	return &order{SlotOrder: ownership.SlotOrder{Engine: o.set.Engine, Fence: o.fence, Seq: o.seq,
		Op: op, Adapter: r.String()}}
}

// advanceOrder records an order if it must be, and sends it once. A recorded order is sent only after
// it was read back as open, which shows that no newer claim precedes it. An eviction is sent only if
// all members, also those that joined before the record, are still known to have retired it.
func (o *Owner) advanceOrder(now time.Time, r adapter.Ref, s *slot) {
	ord := s.order
	if ord.sent {
		if !ord.unknown.IsZero() && !now.Before(ord.unknown.Add(o.set.Quarantine)) {
			o.ended(now, r, s, false)
		}
		return
	}
	if o.set.records(ord.Op) {
		_, open := o.view.Engine.Find(ord.Fence, ord.Seq)
		switch {
		case open:
		case o.view.Engine.Seq >= ord.Seq || !now.Before(s.since.Add(o.set.RetireTimeout)):
			// The record is void, or the log is too slow. It is never sent; if it lands, it is closed.
			o.ended(now, r, s, false)
			return
		default:
			id := fmt.Sprintf("%s/order/%s/%d/%d", o.self, o.set.Engine, ord.Fence, ord.Seq)
			if o.due(now, id) {
				o.append(ownership.KindSlotOrder, id, ord.SlotOrder)
			}
			return
		}
	}
	if ord.Op == ownership.Evict && !o.allRetired(now, r, s) {
		o.askRetire(now, r, s)
		if !now.Before(s.since.Add(o.set.RetireTimeout)) {
			o.ended(now, r, s, false)
		}
		return
	}
	ord.sent, ord.engine = true, o.report.Incarnation
	o.acts = append(o.acts, SendOrder{Fence: ord.Fence, Seq: ord.Seq, Op: ord.Op, Adapter: r,
		IfIdle: ord.Op == ownership.Evict && o.set.EvictsOnlyIdle})
}

// result takes the result of an order, also of one that an earlier ownership sent.
func (o *Owner) result(now time.Time, e OrderResult) {
	if key := [2]uint64{e.Fence, e.Seq}; o.former[key] && e.Status != OrderUnknown {
		delete(o.former, key)
		return
	}
	for r, s := range o.slots {
		if s.order == nil || !s.order.sent || s.order.Fence != e.Fence || s.order.Seq != e.Seq {
			continue
		}
		if e.Status == OrderUnknown {
			s.order.unknown = now
			return
		}
		o.ended(now, r, s, e.Status == OrderDone)
		return
	}
}

// ended settles an order that can no longer take effect later.
func (o *Owner) ended(now time.Time, r adapter.Ref, s *slot, done bool) {
	load := s.order.Op == ownership.Load
	s.order = nil
	switch {
	case load && done:
		// The engine may have restarted since the load, so only a report sets the incarnation.
		s.phase, s.since, s.incarnation = resident, now, ""
	case load, done:
		delete(o.slots, r)
		o.removed[r] = now
	default:
		o.giveUp(now, r, s)
		return
	}
	if load {
		o.acts = append(o.acts, LoadEnded{Adapter: r, OK: done})
		return
	}
	o.release(r)
}

// take applies an engine's report: it confirms residency, settles orders whose result was lost, and
// notices a restart, which empties all slots.
func (o *Owner) take(now time.Time, rep Report) {
	if rep.NotBefore.Before(o.report.NotBefore) || !rep.NotBefore.After(o.took) {
		return
	}
	o.report = rep
	for r, s := range o.slots {
		_, held := rep.Running[r]
		switch {
		case s.order != nil && s.order.sent && !s.order.unknown.IsZero():
			o.settleUnknown(now, r, s, held)
		case s.order != nil:
		case held:
			s.incarnation = rep.Incarnation
		case rep.NotBefore.After(s.since):
			if s.phase == retiring {
				o.release(r)
			}
			delete(o.slots, r)
		}
	}
	for r := range rep.Running {
		if gone, ok := o.removed[r]; ok && !rep.NotBefore.After(gone) {
			continue
		}
		if o.slots[r] == nil {
			o.slots[r] = &slot{phase: resident, since: rep.NotBefore, incarnation: rep.Incarnation}
		}
	}
}

// settleUnknown settles an order whose result was lost, if a report sampled after the loss shows its
// effect, or a restart of the engine that ended the connection it was sent on.
func (o *Owner) settleUnknown(now time.Time, r adapter.Ref, s *slot, held bool) {
	ord := s.order
	if !o.report.NotBefore.After(ord.unknown) {
		return
	}
	if ord.bound == "" {
		ord.bound = o.report.Incarnation
	}
	switch {
	case ord.Op == ownership.Load && held:
		o.ended(now, r, s, true)
	case ord.bound != o.report.Incarnation && ord.Op == ownership.Load:
		o.ended(now, r, s, false)
	case ord.bound != o.report.Incarnation, ord.Op == ownership.Evict && !held &&
		s.incarnation == o.report.Incarnation && ord.engine == o.report.Incarnation:
		o.ended(now, r, s, !held)
	}
}
