package shares

import (
	"math"
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
)

const (
	// reportLife is how long a peer's report is used: three heartbeats.
	reportLife = 1500 * time.Millisecond
	// pushInterval is how often parts are moved to follow demand, once per heartbeat.
	pushInterval = 500 * time.Millisecond
	// roundTrip is how much later than a push a peer's report must be to include it.
	roundTrip = 100 * time.Millisecond
	// minAskGap and maxAskGap bound the time between two rounds of asking for one workspace. It doubles until a
	// transfer arrives, so that an overloaded workspace does not fill the network with asks.
	minAskGap = 20 * time.Millisecond
	maxAskGap = 640 * time.Millisecond
	// maxAsked is the largest number of peers asked in a round.
	maxAsked = 8
	// askAhead is how much demand an ask covers beyond the shortage, in seconds, so that a shift of load
	// doesn't ask for each request.
	askAhead = 0.25
	// demandFloor is the demand, as a fraction of the rate over all instances, that each is assumed to have at
	// least. It keeps a reserve where a request may arrive.
	demandFloor = 0.01
	// hysteresis is the relative difference from the ideal below which parts stay, with minMove the smallest
	// difference in parts. Without them, noise in the estimates keeps parts moving.
	hysteresis = 0.2
	minMove    = ledger.Whole / 100
	// keepFactor is how much of its own demand a giver keeps the parts for.
	keepFactor = 1.05
	// lendFraction is the fraction of its parts that a giver with a bucket at least half full gives even
	// when it has no more than its own demand needs.
	lendFraction = 0.1
)

// TakeShareRequests returns the asks to send, which are then forgotten.
func (m *Manager) TakeShareRequests() []ShareRequest {
	out := m.asks
	m.asks = nil
	return out
}

// fresh reports whether the peer's report can be used, and the peer reached.
func (m *Manager) fresh(now time.Duration, a *account, i int) bool {
	r := &a.reports[i]
	return m.byIndex[i] != "" && r.valid && now-r.at < reportLife
}

// ask plans requests to the peers with most free tokens until they cover the shortage and the demand
// ahead. What was asked for isn't counted as free until the peer's next report, so the next round goes to others, and in the
// end to peers that reported nothing free: reports are up to a heartbeat old, and a shift of load outdates them all.
func (m *Manager) ask(now time.Duration, a *account, shortage int64) {
	if now < a.nextAsk {
		return
	}
	a.askGap = min(max(2*a.askGap, minAskGap), maxAskGap)
	a.nextAsk = now + a.askGap
	rate := a.demand.rate(now)
	want := shortage + int64(rate*askAhead)
	var richest []int
	for i := range a.reports {
		if m.fresh(now, a, i) {
			richest = append(richest, i)
		}
	}
	sort.Slice(richest, func(i, j int) bool {
		x, y := &a.reports[richest[i]], &a.reports[richest[j]]
		if x.free != y.free {
			return x.free > y.free
		}
		if x.asked != y.asked {
			return x.asked < y.asked
		}
		return m.byIndex[richest[i]] < m.byIndex[richest[j]]
	})
	for n, i := range richest {
		if n == maxAsked || want <= 0 {
			break
		}
		r := &a.reports[i]
		amount := want
		if r.free > 0 {
			amount = min(want, r.free)
			want -= amount
		}
		r.free, r.asked = max(r.free-amount, 0), now
		m.asks = append(m.asks, ShareRequest{To: m.byIndex[i], Workspace: a.workspace, Microtokens: amount, Demand: rate})
	}
}

// HandleShareRequest decides how much to give to a peer that asks, and deducts it. The transfer is sent until
// acknowledged.
func (m *Manager) HandleShareRequest(now time.Duration, q ShareRequest, from string) (ledger.Transfer, bool) {
	a := m.accounts[q.Workspace]
	if a == nil || !m.may(now) || !m.members.Active(from) || q.Microtokens <= 0 || !m.counters.CanSend(from) {
		return ledger.Transfer{}, false
	}
	m.advance(now, a)
	level, capacity := a.audit.Level, a.capacity()
	if a.parts == 0 || level == 0 {
		return ledger.Transfer{}, false
	}
	if p := m.peers[from]; p != nil {
		a.reports[p.index].demand = boundDemand(q.Demand)
	}
	parts := a.parts
	if q.Microtokens < level {
		parts = min(parts, mulDiv(a.parts, q.Microtokens, level)+1)
	}
	own := a.demand.rate(now)
	keep := min(m.ideal(now, a, own), int64(keepFactor*own/float64(max(a.rate, 1))*float64(ledger.Whole)))
	spare := max(a.parts-keep, 0)
	if 2*level >= capacity {
		spare = max(spare, int64(lendFraction*float64(a.parts)))
	}
	if parts = min(parts, spare); parts <= 0 {
		return ledger.Transfer{}, false
	}
	return m.send(a, from, parts), true
}

func (m *Manager) send(a *account, to string, parts int64) ledger.Transfer {
	return m.counters.Send(to, a.workspace, parts, a.take(parts))
}

// ideal returns the parts that an instance with the demand should hold.
func (m *Manager) ideal(now time.Duration, a *account, own float64) int64 {
	floor, total := m.weights(now, a, own)
	return int64(float64(ledger.Whole) * (own + floor) / total)
}

// weights returns the demand floor of one instance and the sum of demands with floors.
func (m *Manager) weights(now time.Duration, a *account, own float64) (floor, total float64) {
	n, sum := 1, own
	for i := range a.reports {
		if m.fresh(now, a, i) {
			n++
			sum += a.reports[i].demand
		}
	}
	floor = math.Max(demandFloor*float64(a.rate), 1) / float64(n)
	return floor, sum + floor*float64(n)
}

// Rebalance moves parts towards the peers whose demand needs them. Each giver offers every needy peer its
// proportion, so that all givers together meet the need and don't exceed it.
func (m *Manager) Rebalance(now time.Duration) []ledger.Transfer {
	if now < m.nextPush || !m.may(now) {
		return nil
	}
	m.nextPush = now + pushInterval
	var out []ledger.Transfer
	for _, ws := range m.workspaces() {
		out = m.push(now, m.accounts[ws], out)
	}
	return out
}

func (m *Manager) workspaces() []string {
	out := make([]string, 0, len(m.accounts))
	for ws := range m.accounts {
		out = append(out, ws)
	}
	sort.Strings(out)
	return out
}

func beyond(difference, ideal int64) bool {
	return difference > minMove && float64(difference) > hysteresis*float64(ideal)
}

func (m *Manager) push(now time.Duration, a *account, out []ledger.Transfer) []ledger.Transfer {
	m.advance(now, a)
	own := a.demand.rate(now)
	floor, total := m.weights(now, a, own)
	ideal := func(d float64) int64 { return int64(float64(ledger.Whole) * (d + floor) / total) }
	surplus := a.parts - ideal(own)
	if surplus <= 0 {
		return out
	}
	type need struct {
		index int
		parts int64
	}
	var needs []need
	var needed int64
	for i := range a.reports {
		if !m.fresh(now, a, i) {
			continue
		}
		r := &a.reports[i]
		want := ideal(r.demand)
		if missing := want - r.parts; beyond(missing, want) {
			needs = append(needs, need{i, missing})
			needed += missing
		}
	}
	sort.Slice(needs, func(i, j int) bool { return m.byIndex[needs[i].index] < m.byIndex[needs[j].index] })
	for _, n := range needs {
		r := &a.reports[n.index]
		parts := min(mulDiv(surplus, n.parts, needed), n.parts)
		if parts == 0 || (r.pushed > 0 && r.at < r.pushed+roundTrip) || !m.counters.CanSend(m.byIndex[n.index]) {
			continue
		}
		r.pushed = now
		out = append(out, m.send(a, m.byIndex[n.index], parts))
	}
	return out
}

// HandOver gives all parts to live peers before a planned stop: each workspace's to the peer with the
// largest demand. It may be called again for parts that arrived meanwhile.
func (m *Manager) HandOver(now time.Duration) []ledger.Transfer {
	var out []ledger.Transfer
	if !m.may(now) {
		return nil
	}
	for _, ws := range m.workspaces() {
		a := m.accounts[ws]
		m.advance(now, a)
		best := -1
		for i := range a.reports {
			if m.fresh(now, a, i) && m.counters.CanSend(m.byIndex[i]) && (best < 0 || a.reports[i].demand > a.reports[best].demand) {
				best = i
			}
		}
		if best >= 0 && a.parts > 0 {
			out = append(out, m.send(a, m.byIndex[best], a.parts))
		}
	}
	return out
}
