package shares

import (
	"math"
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
)

const (
	// reportTTL is how long a peer's report is used after it arrives: three heartbeats.
	reportTTL = 1500 * time.Millisecond
	// rebalanceInterval is how often parts are moved to follow demand: once per heartbeat.
	rebalanceInterval = 500 * time.Millisecond
	// transferRoundTrip is how long after a transfer to a peer its reports are taken not to include the
	// transfer yet.
	transferRoundTrip = 100 * time.Millisecond
	// minRequestInterval and maxRequestInterval bound the time between two rounds of share requests for one
	// workspace. The interval doubles until a transfer arrives, so that an overloaded workspace does not flood the
	// network with requests.
	minRequestInterval = 20 * time.Millisecond
	maxRequestInterval = 640 * time.Millisecond
	// maxRequestedPeers is the largest number of peers that receive a share request in one round.
	maxRequestedPeers = 8
	// requestLookahead is how many seconds of demand a share request covers beyond the shortage. Without it, a
	// shift of load would cause a share request for every client request.
	requestLookahead = 0.25
	// baseDemandFraction is the part of a workspace's rate, divided among the instances, that is added to the demand
	// of each. It leaves some tokens on idle instances, where a request may arrive.
	baseDemandFraction = 0.01
	// hysteresis is the relative difference from the ideal up to which no parts are moved; minImbalance is the same
	// limit in parts. Without them, noise in the demand estimates would keep parts moving.
	hysteresis   = 0.2
	minImbalance = ledger.TotalParts / 100
	// ownDemandFactor is the multiple of its own demand for which an instance keeps parts when a peer requests some.
	ownDemandFactor = 1.05
	// minTransferFraction is the fraction of its parts that an instance whose bucket is at least half full can
	// transfer even if its own demand needs them all.
	minTransferFraction = 0.1
)

// TakeShareRequests returns the share requests to send and clears the list.
func (m *Manager) TakeShareRequests() []ShareRequest {
	out := m.shareRequests
	m.shareRequests = nil
	return out
}

// freshReport reports whether peer index i is in use and its report of the workspace is recent enough to use.
func (m *Manager) freshReport(now time.Duration, a *account, i int) bool {
	r := &a.reports[i]
	return m.peerByIndex[i] != "" && r.valid && now-r.receivedAt < reportTTL
}

// requestShares plans share requests to the peers with the most free tokens until they cover the shortage and
// requestLookahead of demand. Requested tokens do not count as free until the peer's next report, so the next round
// goes to other peers and finally to peers that reported nothing free: reports are up to a heartbeat old, and a shift of
// load makes all of them obsolete.
func (m *Manager) requestShares(now time.Duration, a *account, shortage int64) {
	if now < a.nextRequest {
		return
	}
	a.requestInterval = min(max(2*a.requestInterval, minRequestInterval), maxRequestInterval)
	a.nextRequest = now + a.requestInterval
	rate := a.demand.rate(now)
	want := shortage + int64(rate*requestLookahead)
	var candidates []int
	for i := range a.reports {
		if m.freshReport(now, a, i) {
			candidates = append(candidates, i)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		x, y := &a.reports[candidates[i]], &a.reports[candidates[j]]
		if x.free != y.free {
			return x.free > y.free
		}
		if x.requestedAt != y.requestedAt {
			return x.requestedAt < y.requestedAt
		}
		return m.peerByIndex[candidates[i]] < m.peerByIndex[candidates[j]]
	})
	for n, i := range candidates {
		if n == maxRequestedPeers || want <= 0 {
			break
		}
		r := &a.reports[i]
		amount := want
		if r.free > 0 {
			amount = min(want, r.free)
			want -= amount
		}
		r.free, r.requestedAt = max(r.free-amount, 0), now
		m.shareRequests = append(m.shareRequests,
			ShareRequest{To: m.peerByIndex[i], Workspace: a.workspace, Microtokens: amount, Demand: rate})
	}
}

// HandleShareRequest decides how many parts to transfer to the peer that sent the request, and deducts them. The
// transfer is resent until the peer acknowledges it.
func (m *Manager) HandleShareRequest(now time.Duration, r ShareRequest, from string) (ledger.Transfer, bool) {
	a := m.accounts[r.Workspace]
	if a == nil || !m.canSpend(now) || !m.members.Active(from) || r.Microtokens <= 0 || !m.counters.CanSend(from) {
		return ledger.Transfer{}, false
	}
	m.advance(now, a)
	level, capacity := a.audit.Level, a.capacity()
	if a.parts == 0 || level == 0 {
		return ledger.Transfer{}, false
	}
	if p := m.peers[from]; p != nil {
		a.reports[p.index].demand = boundDemand(r.Demand)
	}
	parts := a.parts
	if r.Microtokens < level {
		parts = min(parts, mulDiv(a.parts, r.Microtokens, level)+1)
	}
	own := a.demand.rate(now)
	keep := min(m.idealParts(now, a, own), int64(ownDemandFactor*own/float64(max(a.rate, 1))*float64(ledger.TotalParts)))
	spare := max(a.parts-keep, 0)
	if 2*level >= capacity {
		spare = max(spare, int64(minTransferFraction*float64(a.parts)))
	}
	if parts = min(parts, spare); parts <= 0 {
		return ledger.Transfer{}, false
	}
	return m.send(a, from, parts), true
}

// send deducts the parts and their tokens and returns the transfer.
func (m *Manager) send(a *account, to string, parts int64) ledger.Transfer {
	return m.counters.Send(to, a.workspace, parts, a.removeParts(parts))
}

// idealParts returns how many parts this instance should hold, given its own demand.
func (m *Manager) idealParts(now time.Duration, a *account, own float64) int64 {
	base, total := m.demandWeights(now, a, own)
	return int64(float64(ledger.TotalParts) * (own + base) / total)
}

// demandWeights returns the base demand that is added to that of each instance (see baseDemandFraction) and the sum of
// the resulting demands of all instances.
func (m *Manager) demandWeights(now time.Duration, a *account, own float64) (base, total float64) {
	n, sum := 1, own
	for i := range a.reports {
		if m.freshReport(now, a, i) {
			n++
			sum += a.reports[i].demand
		}
	}
	base = math.Max(baseDemandFraction*float64(a.rate), 1) / float64(n)
	return base, sum + base*float64(n)
}

// Rebalance moves surplus parts to peers that hold too few for their demand. Each instance with a surplus divides it in
// proportion to what the peers lack and gives none of them more than that, so that the transfers of all instances
// together meet the need without exceeding it.
func (m *Manager) Rebalance(now time.Duration) []ledger.Transfer {
	if now < m.nextRebalance || !m.canSpend(now) {
		return nil
	}
	m.nextRebalance = now + rebalanceInterval
	var out []ledger.Transfer
	for _, ws := range m.sortedWorkspaces() {
		out = m.rebalance(now, m.accounts[ws], out)
	}
	return out
}

func (m *Manager) sortedWorkspaces() []string {
	out := make([]string, 0, len(m.accounts))
	for ws := range m.accounts {
		out = append(out, ws)
	}
	sort.Strings(out)
	return out
}

// exceedsHysteresis reports whether a difference from the ideal number of parts is large enough to move parts.
func exceedsHysteresis(difference, ideal int64) bool {
	return difference > minImbalance && float64(difference) > hysteresis*float64(ideal)
}

func (m *Manager) rebalance(now time.Duration, a *account, out []ledger.Transfer) []ledger.Transfer {
	m.advance(now, a)
	own := a.demand.rate(now)
	base, total := m.demandWeights(now, a, own)
	ideal := func(d float64) int64 { return int64(float64(ledger.TotalParts) * (d + base) / total) }
	surplus := a.parts - ideal(own)
	if surplus <= 0 {
		return out
	}
	type deficit struct {
		index int // of the peer
		parts int64
	}
	var deficits []deficit
	var totalDeficit int64
	for i := range a.reports {
		if !m.freshReport(now, a, i) {
			continue
		}
		r := &a.reports[i]
		want := ideal(r.demand)
		if missing := want - r.parts; exceedsHysteresis(missing, want) {
			deficits = append(deficits, deficit{i, missing})
			totalDeficit += missing
		}
	}
	sort.Slice(deficits, func(i, j int) bool { return m.peerByIndex[deficits[i].index] < m.peerByIndex[deficits[j].index] })
	for _, d := range deficits {
		r := &a.reports[d.index]
		parts := min(mulDiv(surplus, d.parts, totalDeficit), d.parts)
		if parts == 0 || (r.transferredAt > 0 && r.receivedAt < r.transferredAt+transferRoundTrip) ||
			!m.counters.CanSend(m.peerByIndex[d.index]) {
			continue
		}
		r.transferredAt = now
		out = append(out, m.send(a, m.peerByIndex[d.index], parts))
	}
	return out
}

// HandOver transfers all parts to live peers before a planned stop: those of each workspace to the peer with the
// largest demand for it. It may be called again for parts that have arrived since the last call.
func (m *Manager) HandOver(now time.Duration) []ledger.Transfer {
	var out []ledger.Transfer
	if !m.canSpend(now) {
		return nil
	}
	for _, ws := range m.sortedWorkspaces() {
		a := m.accounts[ws]
		m.advance(now, a)
		best := -1
		for i := range a.reports {
			if m.freshReport(now, a, i) && m.counters.CanSend(m.peerByIndex[i]) &&
				(best < 0 || a.reports[i].demand > a.reports[best].demand) {
				best = i
			}
		}
		if best >= 0 && a.parts > 0 {
			out = append(out, m.send(a, m.peerByIndex[best], a.parts))
		}
	}
	return out
}
