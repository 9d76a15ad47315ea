// Package loadbudget shares the weight store's limits among instances and decides which adapter is
// loaded next.
//
// The store's limits are expressed as permits. The fleet has as many permits as loads may be in
// flight. A load holds one permit while it runs, and a permit that started a load starts the next
// one no sooner than a cooldown later, chosen so that all permits together keep the store's rate.
// Permits are only moved between instances, never made, so the sum over all instances keeps both
// limits without coordination.
//
// The types are not safe for concurrent use. They read no clock and start no goroutine.
package loadbudget

import (
	"slices"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Limits are the weight store's limits in the form that permits use.
type Limits struct {
	// Permits is how many loads the fleet may have in flight.
	Permits int
	// Cooldown is the least time between two loads started with one permit.
	Cooldown time.Duration
	// FullSpeed is how many loads run at full speed at once over the fleet.
	FullSpeed int
}

// NewLimits converts the configured limits. A rate of zero means that the rate is not limited.
func NewLimits(c config.WeightStore) Limits {
	l := Limits{Permits: max(1, c.MaxInFlight), FullSpeed: max(1, c.FullSpeed)}
	if c.LoadsPerSecond > 0 {
		l.Cooldown = time.Duration(float64(l.Permits) / c.LoadsPerSecond * float64(time.Second))
	}
	return l
}

// Transfer moves permits from one instance to another. It is sent until it is acknowledged.
type Transfer struct {
	From, To string
	// Number counts the transfers from From to To from 1.
	Number uint64
	// Remaining is the cooldown left of each permit. Time in transit is not subtracted, so a
	// permit is never ready too early.
	Remaining []time.Duration
}

// PermitPool is the permits that one instance holds.
type PermitPool struct {
	self   string
	limits Limits
	ready  []time.Time // per idle permit, when it may start a load; sorted
	used   []time.Time // per permit in use, when its cooldown ends
	out    map[string]*outgoing
	in     map[string]uint64
}

// outgoing is the transfers to one peer. Transfers are applied in order, so one number per peer is
// enough to credit each of them once.
type outgoing struct {
	sent    uint64
	waiting []Transfer
}

// NewPermitPool returns a share with the given number of ready permits. The permits of all instances must
// sum to Limits.Permits at most; only the author of a grant starts with permits.
func NewPermitPool(self string, l Limits, permits int, now time.Time) *PermitPool {
	s := &PermitPool{self: self, limits: l, out: map[string]*outgoing{}, in: map[string]uint64{}}
	for range permits {
		s.ready = append(s.ready, now)
	}
	return s
}

// Held returns the permits that this instance holds, in use or not.
func (s *PermitPool) Held() int { return len(s.ready) + len(s.used) }

// InUse returns the permits with a load in flight.
func (s *PermitPool) InUse() int { return len(s.used) }

// Available returns the permits that can start a load now.
func (s *PermitPool) Available(now time.Time) int {
	n, _ := slices.BinarySearchFunc(s.ready, now, func(t, now time.Time) int {
		if t.After(now) {
			return 1
		}
		return -1
	})
	return n
}

// NextReady returns when the next idle permit can start a load, and false when all are in use.
func (s *PermitPool) NextReady() (time.Time, bool) {
	if len(s.ready) == 0 {
		return time.Time{}, false
	}
	return s.ready[0], true
}

// Acquire takes a permit for a load. It reports false when none is ready.
func (s *PermitPool) Acquire(now time.Time) bool {
	if len(s.ready) == 0 || s.ready[0].After(now) {
		return false
	}
	s.ready = s.ready[1:]
	s.used = append(s.used, now.Add(s.limits.Cooldown))
	return true
}

// Release returns the permit of a load that ended, well or not. The permit's cooldown goes on, since
// a failed load also took the store's time. Permits are alike, so the one with the longest cooldown
// stays in use.
func (s *PermitPool) Release(now time.Time) {
	if len(s.used) == 0 {
		return
	}
	i := slices.IndexFunc(s.used, func(t time.Time) bool { return t.Equal(slices.MinFunc(s.used, time.Time.Compare)) })
	t := s.used[i]
	s.used = slices.Delete(s.used, i, i+1)
	if t.Before(now) {
		t = now
	}
	s.insert(t)
}

func (s *PermitPool) insert(t time.Time) {
	i, _ := slices.BinarySearchFunc(s.ready, t, time.Time.Compare)
	s.ready = slices.Insert(s.ready, i, t)
}

// StartTransfer moves up to n idle permits to a peer, those that are ready first. They are gone from this
// share before the transfer is sent. It reports false when there is nothing to give.
func (s *PermitPool) StartTransfer(to string, n int, now time.Time) (Transfer, bool) {
	n = min(n, len(s.ready))
	if n <= 0 || to == s.self {
		return Transfer{}, false
	}
	o := s.out[to]
	if o == nil {
		o = &outgoing{}
		s.out[to] = o
	}
	o.sent++
	t := Transfer{From: s.self, To: to, Number: o.sent}
	for _, at := range s.ready[:n] {
		t.Remaining = append(t.Remaining, max(0, at.Sub(now)))
	}
	s.ready = slices.Delete(s.ready, 0, n)
	o.waiting = append(o.waiting, t)
	return t, true
}

// Receive credits a transfer once and returns the number to acknowledge. Transfers of one peer are
// credited in order: one that arrives early is not credited and is sent again by its giver.
func (s *PermitPool) Receive(t Transfer, now time.Time) uint64 {
	if t.To == s.self && t.Number == s.in[t.From]+1 {
		s.in[t.From] = t.Number
		for _, r := range t.Remaining {
			s.insert(now.Add(r))
		}
	}
	return s.in[t.From]
}

// Acknowledge drops the transfers to a peer up to a number.
func (s *PermitPool) Acknowledge(peer string, number uint64) {
	if o := s.out[peer]; o != nil {
		o.waiting = slices.DeleteFunc(o.waiting, func(t Transfer) bool { return t.Number <= number })
	}
}

// Unacknowledged returns the transfers that must be sent again to a peer, in order.
func (s *PermitPool) Unacknowledged(peer string) []Transfer {
	if o := s.out[peer]; o != nil {
		return o.waiting
	}
	return nil
}

// Demand is what an instance tells its peers in heartbeats.
type Demand struct {
	Instance string
	// Loads is how many loads wait for a permit or hold one.
	Loads int
	// Held is how many permits the instance holds.
	Held int
}

// PlanTransfer returns how many permits this instance should give to which peer. The permits that are
// known to be held are divided by max-min fairness over the instances' demands, so an instance with
// many loads cannot keep another one from loading. The giver keeps its own part, and the peer that
// is furthest below its part gets what the giver can spare. All instances need the same view to
// agree; with views that differ a permit may move twice, which harms nothing.
func (s *PermitPool) PlanTransfer(own int, peers []Demand) (to string, n int) {
	all := append([]Demand{{Instance: s.self, Loads: own, Held: s.Held()}}, peers...)
	slices.SortFunc(all, func(a, b Demand) int { return strings.Compare(a.Instance, b.Instance) })
	part := divide(all)
	spare, most := 0, 0
	for i, d := range all {
		if d.Instance == s.self {
			spare = min(len(s.ready), d.Held-part[i])
		} else if short := part[i] - d.Held; short > most {
			to, most = d.Instance, short
		}
	}
	if n = min(spare, most); n <= 0 {
		return "", 0
	}
	return to, n
}

// divide hands out the held permits one at a time to the instances that want more.
func divide(all []Demand) []int {
	left, part := 0, make([]int, len(all))
	for _, d := range all {
		left += d.Held
	}
	for given := true; left > 0 && given; {
		given = false
		for i, d := range all {
			if left > 0 && part[i] < d.Loads {
				part[i]++
				left--
				given = true
			}
		}
	}
	return part
}
