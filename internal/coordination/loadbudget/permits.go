// Package loadbudget divides the weight store's load limits among instances and decides which adapter is
// loaded next.
//
// The limits are expressed as permits. The fleet has as many permits as loads may be in flight at once. A load
// holds one permit while it runs. After a permit has started a load, it can start the next one only after a
// cooldown, whose length keeps all permits together within the store's rate limit. Permits are moved between
// instances but never created, so the fleet stays within both limits without further coordination.
//
// The types are not safe for concurrent use. They neither read the clock nor start goroutines.
package loadbudget

import (
	"slices"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Limits are the weight store's limits, expressed for permits.
type Limits struct {
	// Permits is the number of loads that the fleet may have in flight.
	Permits int
	// Cooldown is the minimum time between the starts of two loads with the same permit.
	Cooldown time.Duration
	// FullSpeed is the number of concurrent loads in the fleet up to which each runs at full speed.
	FullSpeed int
}

// NewLimits converts the configured limits. A rate of zero means no rate limit.
func NewLimits(c config.WeightStore) Limits {
	l := Limits{Permits: max(1, c.MaxInFlight), FullSpeed: max(1, c.FullSpeed)}
	if c.LoadsPerSecond > 0 {
		l.Cooldown = time.Duration(float64(l.Permits) / c.LoadsPerSecond * float64(time.Second))
	}
	return l
}

// Transfer moves permits from one instance to another. It is sent repeatedly until it is acknowledged.
type Transfer struct {
	From, To string
	// Number numbers the transfers from From to To consecutively, starting at 1.
	Number uint64
	// Remaining is the remaining cooldown of each permit. Time in transit is not subtracted, so a
	// permit never becomes available too early.
	Remaining []time.Duration
}

// PermitPool holds the permits of one instance.
type PermitPool struct {
	self         string
	limits       Limits
	idle         []time.Time                   // per idle permit, when its cooldown ends; sorted
	inUse        []time.Time                   // per permit in use, when its cooldown ends
	outgoing     map[string]*outgoingTransfers // by receiving instance
	lastReceived map[string]uint64             // number of the last credited transfer, by sending instance
}

// outgoingTransfers holds the transfers to one peer. The peer credits transfers in order, so it needs only the
// number of the last one to credit each of them once.
type outgoingTransfers struct {
	lastNumber     uint64
	unacknowledged []Transfer
}

// NewPermitPool returns a pool with the given number of permits, all of them available. Over all instances, the
// initial permits must sum to at most Limits.Permits; only the author of the grant record starts with permits.
func NewPermitPool(self string, l Limits, permits int, now time.Time) *PermitPool {
	p := &PermitPool{self: self, limits: l, outgoing: map[string]*outgoingTransfers{}, lastReceived: map[string]uint64{}}
	for range permits {
		p.idle = append(p.idle, now)
	}
	return p
}

// Held returns the number of permits that this instance holds, whether in use or idle.
func (p *PermitPool) Held() int { return len(p.idle) + len(p.inUse) }

// InUse returns the number of permits held by loads in flight.
func (p *PermitPool) InUse() int { return len(p.inUse) }

// Available returns the number of permits that can start a load now: idle ones whose cooldown has ended.
func (p *PermitPool) Available(now time.Time) int {
	n, _ := slices.BinarySearchFunc(p.idle, now, func(t, now time.Time) int {
		if t.After(now) {
			return 1
		}
		return -1
	})
	return n
}

// NextReady returns when the next idle permit can start a load. It reports false when no permit is idle.
func (p *PermitPool) NextReady() (time.Time, bool) {
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0], true
}

// Acquire takes a permit for a load. It reports false when none is available.
func (p *PermitPool) Acquire(now time.Time) bool {
	if len(p.idle) == 0 || p.idle[0].After(now) {
		return false
	}
	p.idle = p.idle[1:]
	p.inUse = append(p.inUse, now.Add(p.limits.Cooldown))
	return true
}

// Release returns the permit of a load that succeeded or failed. Its cooldown continues in both cases, since a
// failed load uses the store too. Permits are interchangeable, so Release returns the one whose cooldown ends
// first.
func (p *PermitPool) Release(now time.Time) {
	if len(p.inUse) == 0 {
		return
	}
	i := slices.IndexFunc(p.inUse, func(t time.Time) bool { return t.Equal(slices.MinFunc(p.inUse, time.Time.Compare)) })
	readyAt := p.inUse[i]
	p.inUse = slices.Delete(p.inUse, i, i+1)
	if readyAt.Before(now) {
		readyAt = now
	}
	p.insertIdle(readyAt)
}

// insertIdle adds an idle permit whose cooldown ends at t.
func (p *PermitPool) insertIdle(t time.Time) {
	i, _ := slices.BinarySearchFunc(p.idle, t, time.Time.Compare)
	p.idle = slices.Insert(p.idle, i, t)
}

// StartTransfer removes up to n idle permits from the pool and returns a transfer of them to a peer. It takes the
// permits whose cooldown ends first. Since they leave the pool before the transfer is sent, no permit is ever
// held twice. It reports false when there is nothing to transfer.
func (p *PermitPool) StartTransfer(to string, n int, now time.Time) (Transfer, bool) {
	n = min(n, len(p.idle))
	if n <= 0 || to == p.self {
		return Transfer{}, false
	}
	o := p.outgoing[to]
	if o == nil {
		o = &outgoingTransfers{}
		p.outgoing[to] = o
	}
	o.lastNumber++
	t := Transfer{From: p.self, To: to, Number: o.lastNumber}
	for _, at := range p.idle[:n] {
		t.Remaining = append(t.Remaining, max(0, at.Sub(now)))
	}
	p.idle = slices.Delete(p.idle, 0, n)
	o.unacknowledged = append(o.unacknowledged, t)
	return t, true
}

// Receive credits a transfer once and returns the number to acknowledge. Transfers from a peer are credited in
// order: one that arrives too early is not credited, and the sender sends it again.
func (p *PermitPool) Receive(t Transfer, now time.Time) uint64 {
	if t.To == p.self && t.Number == p.lastReceived[t.From]+1 {
		p.lastReceived[t.From] = t.Number
		for _, r := range t.Remaining {
			p.insertIdle(now.Add(r))
		}
	}
	return p.lastReceived[t.From]
}

// Acknowledge removes the transfers to a peer up to and including number, so that they are not sent again.
func (p *PermitPool) Acknowledge(peer string, number uint64) {
	if o := p.outgoing[peer]; o != nil {
		o.unacknowledged = slices.DeleteFunc(o.unacknowledged, func(t Transfer) bool { return t.Number <= number })
	}
}

// Unacknowledged returns the transfers to a peer that must be sent again, in order.
func (p *PermitPool) Unacknowledged(peer string) []Transfer {
	if o := p.outgoing[peer]; o != nil {
		return o.unacknowledged
	}
	return nil
}

// Demand is the need for permits that an instance reports to its peers in heartbeats.
type Demand struct {
	Instance string
	// Loads is the number of loads that wait for a permit or hold one.
	Loads int
	// Held is the number of permits that the instance holds.
	Held int
}

// PlanTransfer returns the peer to which this instance should transfer permits and their number. The held permits
// of all instances are divided by max-min fairness over the instances' demands, so that an instance with many
// loads cannot prevent another from loading. This instance keeps its own allocation, and the peer that is
// furthest below its allocation gets the idle permits beyond it. Instances agree only if they have the same view
// of the demands; if not, a permit may move twice, which is harmless.
func (p *PermitPool) PlanTransfer(own int, peers []Demand) (to string, n int) {
	all := append([]Demand{{Instance: p.self, Loads: own, Held: p.Held()}}, peers...)
	slices.SortFunc(all, func(a, b Demand) int { return strings.Compare(a.Instance, b.Instance) })
	allocation := fairAllocation(all)
	spare, most := 0, 0
	for i, d := range all {
		if d.Instance == p.self {
			spare = min(len(p.idle), d.Held-allocation[i])
		} else if missing := allocation[i] - d.Held; missing > most {
			to, most = d.Instance, missing
		}
	}
	if n = min(spare, most); n <= 0 {
		return "", 0
	}
	return to, n
}

// fairAllocation allocates the held permits among the demands by max-min fairness: one at a time, in turn, to each
// instance with fewer permits than loads.
func fairAllocation(all []Demand) []int {
	remaining, allocation := 0, make([]int, len(all))
	for _, d := range all {
		remaining += d.Held
	}
	for progress := true; remaining > 0 && progress; {
		progress = false
		for i, d := range all {
			if remaining > 0 && allocation[i] < d.Loads {
				allocation[i]++
				remaining--
				progress = true
			}
		}
	}
	return allocation
}
