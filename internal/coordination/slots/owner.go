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

// PickVictim chooses which of the candidates to evict for a wanted adapter version. The candidates are
// sorted. It returns false if none is worth less than the wanted one.
type PickVictim func(candidates []adapter.Ref, wanted adapter.Ref) (adapter.Ref, bool)

// phase is the state of a slot.
type phase int

const (
	// resident: the engine holds the adapter version and requests may be dispatched to it.
	resident phase = iota + 1
	// retiring: members are asked to stop dispatching.
	retiring
	// evicting: the eviction is being recorded, was sent, or has an unknown result.
	evicting
	// loading is the same for a load.
	loading
)

// slot is an occupied slot, or one that may be.
type slot struct {
	phase phase
	// since is when the phase began.
	since time.Time
	// incarnation is the engine's when it was last known to hold the adapter version.
	incarnation string
	order       *order
	// round is that of the Retire; answered holds the members whose final answer came.
	round    uint64
	answered map[string]bool
}

// order is an order of this owner that is not over.
type order struct {
	ownership.SlotOrder
	// sent is set when the order was handed out to be sent, unknown when its result got lost.
	sent    bool
	unknown time.Time
	// bound is the newest engine incarnation that the order can reach, once it is known.
	bound string
	// engine is the incarnation known when the order was sent.
	engine string
}

// Owner is the state machine of one engine on one instance. It is not safe for concurrent use. It must
// live as long as its incarnation: only it knows which of the incarnation's orders were sent.
type Owner struct {
	set  Settings
	self string
	pick PickVictim
	view View
	// fence is this instance's while it owns the engine, else zero.
	fence uint64
	seq   uint64
	round uint64
	took  time.Time
	// noop says that the engine incarnation noopFor accepted the no-op order with the number noops.
	// A restarted engine may have forgotten the fence.
	noop     bool
	noopFor  string
	noops    uint64
	reported map[string]bool
	slots    map[adapter.Ref]*slot
	// removed is when an adapter version left the engine, until a newer report came.
	removed map[adapter.Ref]time.Time
	report  Report
	wanted  []adapter.Ref
	// cooling is until when an adapter version is no victim.
	cooling map[adapter.Ref]time.Time
	// unretire holds the rounds that members must still acknowledge.
	unretire map[adapter.Ref]*release
	// former holds the sent orders of an ownership that was lost, until their results come.
	former map[[2]uint64]bool
	// pacer is when a repeated action was last taken.
	pacer map[string]time.Time
	acts  []Action
}

// release is an Unretire that members must acknowledge.
type release struct {
	round   uint64
	waiting map[string]bool
}

// NewOwner returns the state machine of an engine on the instance with the incarnation self.
func NewOwner(self string, set Settings, pick PickVictim) *Owner {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&set.Quarantine, DefaultQuarantine}, {&set.ResendInterval, DefaultResendInterval},
		{&set.RetireTimeout, DefaultRetireTimeout}, {&set.VictimCooldown, DefaultVictimCooldown},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	o := &Owner{set: set, self: self, pick: pick, former: make(map[[2]uint64]bool)}
	o.reset()
	return o
}

// reset forgets all that belongs to one ownership.
func (o *Owner) reset() {
	o.fence, o.seq, o.round, o.noop, o.noopFor, o.noops = 0, 0, 0, false, "", 0
	o.reported = make(map[string]bool)
	o.slots = make(map[adapter.Ref]*slot)
	o.removed = make(map[adapter.Ref]time.Time)
	o.cooling = make(map[adapter.Ref]time.Time)
	o.unretire = make(map[adapter.Ref]*release)
	o.pacer = make(map[string]time.Time)
	o.wanted, o.report = nil, Report{}
}

// Owns reports whether this instance owns the engine, by the newest view.
func (o *Owner) Owns() bool { return o.fence != 0 }

// Fence returns the fence of this ownership, or zero.
func (o *Owner) Fence() uint64 { return o.fence }

// Resident returns the adapter versions that requests may be dispatched to, sorted.
func (o *Owner) Resident() []adapter.Ref {
	return o.refs(func(r adapter.Ref, s *slot) bool {
		return s.phase == resident && !o.foreign(r, ownership.Evict)
	})
}

// Step takes one event and returns what must be done, in order.
func (o *Owner) Step(now time.Time, ev Event) []Action {
	o.acts = nil
	switch e := ev.(type) {
	case ViewChanged:
		o.observe(now, e.View)
	case Wanted:
		if o.Owns() && !slices.Contains(o.wanted, e.Adapter) {
			o.wanted = append(o.wanted, e.Adapter)
		}
	case Unwanted:
		o.wanted = slices.DeleteFunc(o.wanted, func(r adapter.Ref) bool { return r == e.Adapter })
	case Report:
		if o.Owns() {
			o.take(now, e)
		}
	case OrderResult:
		o.result(now, e)
	case NoopResult:
		o.confirm(now, e)
	case RetireReply:
		o.reply(e)
	case InFlightReply:
		if e.Fence == o.fence {
			o.reported[e.Member] = true
		}
	}
	o.advance(now)
	o.prune(now)
	return o.acts
}

// prune drops times that no longer matter.
func (o *Owner) prune(now time.Time) {
	maps.DeleteFunc(o.pacer, func(_ string, at time.Time) bool { return !now.Before(at.Add(o.set.ResendInterval)) })
	maps.DeleteFunc(o.cooling, func(_ adapter.Ref, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(o.removed, func(_ adapter.Ref, at time.Time) bool { return o.report.NotBefore.After(at) })
}

// observe notes a change of owner.
func (o *Owner) observe(now time.Time, v View) {
	o.view = v
	mine := v.Engine.Owner == o.self && !v.OwnerGone
	if o.Owns() && (!mine || v.Engine.Fence != o.fence) {
		for _, s := range o.slots {
			if s.order != nil && s.order.sent {
				o.former[[2]uint64{s.order.Fence, s.order.Seq}] = true
			}
		}
		o.reset()
	}
	if mine && !o.Owns() {
		o.reset()
		o.fence, o.seq, o.took = v.Engine.Fence, v.Engine.Seq, now
	}
}

// confirm notes that the engine refuses earlier owners from now on. What it reported before is dropped,
// since their orders may have changed it.
func (o *Owner) confirm(now time.Time, e NoopResult) {
	if o.Owns() && e.Fence == o.fence && e.Number == o.noops && !o.noop {
		o.noop, o.took, o.report = true, now, Report{}
		maps.DeleteFunc(o.slots, func(_ adapter.Ref, s *slot) bool { return s.phase == resident })
	}
}

// sendNoop tells the engine the fence, and again after each restart of it.
func (o *Owner) sendNoop(now time.Time) {
	inc := o.report.Incarnation
	if !o.set.ChecksFence || inc == "" || o.noop && inc == o.noopFor {
		return
	}
	if inc != o.noopFor {
		o.noop, o.noopFor = false, inc
		o.noops++
	}
	if o.due(now, fmt.Sprintf("noop %d", o.noops)) {
		o.acts = append(o.acts, SendNoop{Fence: o.fence, Number: o.noops})
	}
}

// advance does what is due. Nothing is sent without a valid lease.
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
		if !o.reported[m] && o.due(now, "in-flight "+m) {
			o.acts = append(o.acts, SendInFlightQuery{Member: m,
				InFlightQuery: InFlightQuery{Engine: o.set.Engine, Fence: o.fence}})
		}
	}
	o.sendReleases(now)
	for _, r := range o.refs(func(adapter.Ref, *slot) bool { return true }) {
		o.advanceSlot(now, r, o.slots[r])
	}
	o.serveWanted(now)
}

// claim claims the engine if nobody owns it and this instance comes first for it. A claim that lands
// late does no harm: it counts only if the fence it names is still current.
func (o *Owner) claim(now time.Time) {
	e := o.view.Engine
	if e.Owner != "" && !o.view.OwnerGone || !o.view.LogAvailable || PreferredOwner(o.set.Engine, o.view.Members) != o.self {
		return
	}
	id := fmt.Sprintf("%s/claim/%s/%d", o.self, o.set.Engine, e.Fence)
	if o.due(now, id) {
		o.append(ownership.KindClaim, id, ownership.Claim{Engine: o.set.Engine, Previous: e.Fence})
	}
}

// PreferredOwner returns the member that comes first for an engine by rendezvous hashing, or "". When a member
// joins or goes, only the engines that it comes first for are affected.
func PreferredOwner(engine string, members []string) string {
	var best string
	var top uint64
	for _, m := range members {
		sum := sha256.Sum256([]byte(engine + "\x00" + m))
		if w := binary.BigEndian.Uint64(sum[:8]); best == "" || w > top || w == top && m < best {
			best, top = m, w
		}
	}
	return best
}

// closeOrders closes the open orders that can no longer take effect: own ones that were never sent or
// are over, and those of earlier owners after the quarantine. That an engine refuses their fence does not
// suffice, since it may forget the fence in a restart.
func (o *Owner) closeOrders(now time.Time) {
	if !o.view.LogAvailable {
		return
	}
	for _, open := range o.view.Engine.Open {
		switch {
		case open.Author == o.self:
			if o.former[[2]uint64{open.Fence, open.Seq}] || open.Fence == o.fence && o.active(open) {
				continue
			}
		case !o.Owns() || now.Before(o.took.Add(o.set.Quarantine)):
			continue
		}
		id := fmt.Sprintf("%s/done/%s/%d/%d", o.self, o.set.Engine, open.Fence, open.Seq)
		if o.due(now, id) {
			o.append(ownership.KindSlotDone, id, ownership.SlotDone{Engine: o.set.Engine, Fence: open.Fence, Seq: open.Seq})
		}
	}
}

// foreign reports whether an open order of an earlier owner, with one of the operations, concerns the
// adapter version.
func (o *Owner) foreign(r adapter.Ref, ops ...ownership.Op) bool {
	return slices.ContainsFunc(o.view.Engine.Open, func(open ownership.Order) bool {
		return open.Author != o.self && open.Ref() == r && slices.Contains(ops, open.Op)
	})
}

// active reports whether an open order of this ownership is not over.
func (o *Owner) active(open ownership.Order) bool {
	s := o.slots[open.Ref()]
	return s != nil && s.order != nil && s.order.Seq == open.Seq
}

// refs returns the adapter versions whose slots pass the filter, sorted.
func (o *Owner) refs(keep func(adapter.Ref, *slot) bool) []adapter.Ref {
	var out []adapter.Ref
	for r, s := range o.slots {
		if keep(r, s) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b adapter.Ref) int { return compare(a, b) })
	return out
}

func compare(a, b adapter.Ref) int {
	switch as, bs := a.String(), b.String(); {
	case as < bs:
		return -1
	case as > bs:
		return 1
	}
	return 0
}

// due reports whether a repeated action may be taken again, and notes that it is.
func (o *Owner) due(now time.Time, what string) bool {
	if last, ok := o.pacer[what]; ok && now.Before(last.Add(o.set.ResendInterval)) {
		return false
	}
	o.pacer[what] = now
	return true
}

func (o *Owner) append(kind record.Kind, id string, body any) {
	// Encoding these structs of strings and integers cannot fail.
	e, _ := record.New(kind, id, o.self, body)
	o.acts = append(o.acts, Append{Record: e})
}
