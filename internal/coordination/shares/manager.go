// Package shares limits each workspace to its rate and burst over all instances. The rate and burst are divided into
// parts. An instance spends from a token bucket for the parts that it holds, and parts are transferred between instances
// as demand shifts. The parts of a workspace never sum to more than ledger.TotalParts, so the instances together never spend
// more than the rate and burst.
package shares

import (
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// MaxWait is how long a request waits for a transfer, when there are too few tokens, before it is refused.
const MaxWait = 100 * time.Millisecond

// Lease reports whether the instance may spend tokens.
type Lease interface {
	Valid(now time.Duration) bool
}

// Outcome is the result of a reservation.
type Outcome int

// The outcomes of a reservation.
const (
	// Granted means that the tokens are reserved.
	Granted Outcome = iota
	// Wait means that the request should call Retry after a transfer or a short time.
	Wait
	// OverRate means that there are too few tokens: the request exceeds the rate.
	OverRate
	// TooLarge means that the request exceeds the workspace's burst and can never be granted.
	TooLarge
	// NoLease means that the instance may not spend tokens now.
	NoLease
	// Unknown means that the workspace is not configured.
	Unknown
)

// Reservation holds tokens for one request. Each granted reservation must be passed to Settle exactly once.
type Reservation struct {
	account *account
	amount  int64
	slot    int64 // of the headroom history, when the tokens were reserved
}

// Report is the state of one workspace on one instance, as sent to other instances.
type Report struct {
	Workspace string
	// Demand is in microtokens per second and includes refused requests.
	Demand float64
	// Free is in microtokens.
	Free  int64
	Parts int64
	// LocalService is the service that the instance has given to the workspace since it started, in tokens divided by
	// weight; see fairqueue.Queue.LocalService. The manager neither sets nor reads it.
	LocalService float64
}

// ShareRequest asks a peer to transfer parts.
type ShareRequest struct {
	To, Workspace string
	Microtokens   int64
	// Demand is that of the requesting instance, in microtokens per second.
	Demand float64
}

// account is the state of one workspace on this instance.
type account struct {
	bucket
	workspace       string
	demand          demand
	removed         bool
	reports         []report      // by peer index
	nextRequest     time.Duration // earliest time of the next round of share requests
	requestInterval time.Duration // between rounds
	pending         []pendingParts
}

// pendingParts are regranted parts that cannot be spent yet, because an ended member might still spend from them.
type pendingParts struct {
	parts       int64
	spendableAt time.Duration
}

// report is a peer's last report of one workspace.
type report struct {
	receivedAt    time.Duration
	transferredAt time.Duration // when Rebalance last transferred parts to the peer
	requestedAt   time.Duration // when the last share request to the peer was planned
	valid         bool
	demand        float64
	free          int64
	parts         int64
}

// peerState is the state of an active peer that has sent reports.
type peerState struct {
	index     int // in Manager.peerByIndex and account.reports
	lastHeard time.Duration
}

// Manager manages the shares of one incarnation. It is not safe for concurrent use.
type Manager struct {
	self          string
	members       *members.Set
	fold          *ledger.Fold
	counters      *ledger.Counters
	lease         Lease
	accounts      map[string]*account
	peers         map[string]*peerState
	peerByIndex   []string // incarnation of the peer, empty if the index is free
	shareRequests []ShareRequest
	lastEndRead   time.Duration // when the last end of a membership was read
	ended         bool
	faulty        bool
	nextRebalance time.Duration
}

// New returns the manager of an incarnation. Each entry of the control stream must be applied to the member set first
// and then to the manager.
func New(self string, m *members.Set, l Lease) *Manager {
	return &Manager{
		self: self, members: m, fold: ledger.NewFold(m), counters: ledger.NewCounters(self), lease: l,
		accounts: map[string]*account{}, peers: map[string]*peerState{},
	}
}

// Fold returns the ledger as derived from the log, for snapshots.
func (m *Manager) Fold() *ledger.Fold { return m.fold }

// SnapshotImported records that the folds were imported from a snapshot. It must be called only before the instance has
// joined: an instance that holds shares and missed records cannot tell what happened to the shares, and must join as a
// new incarnation.
func (m *Manager) SnapshotImported(now time.Duration) { m.lastEndRead = now }

// Counters returns the transfer counters.
func (m *Manager) Counters() *ledger.Counters { return m.counters }

// account returns the account of a workspace, which it creates if necessary.
func (m *Manager) account(workspace string) *account {
	a := m.accounts[workspace]
	if a == nil {
		a = &account{workspace: workspace, reports: make([]report, len(m.peerByIndex)), removed: true}
		m.accounts[workspace] = a
	}
	return a
}

// Configure sets a workspace's rate (microtokens per second) and burst (microtokens).
func (m *Manager) Configure(now time.Duration, workspace string, rate, burst int64) {
	a := m.account(workspace)
	a.accrue(now)
	a.configure(rate, burst)
	a.removed = false
}

// Remove stops granting tokens of a workspace. The instance keeps its parts, so that the workspace can be configured
// again.
func (m *Manager) Remove(now time.Duration, workspace string) {
	if a := m.accounts[workspace]; a != nil {
		a.accrue(now)
		a.configure(0, 0)
		a.removed = true
	}
}

// Apply applies one entry of the control stream, which must have been applied to the member set already.
func (m *Manager) Apply(now time.Duration, e record.Entry) {
	m.recordEnds(now, e)
	effect := m.fold.Apply(e)
	if effect.Granted != "" && e.Incarnation == m.self {
		a := m.account(effect.Granted)
		a.accrue(now)
		a.parts += ledger.TotalParts
		a.audit.Granted += a.capacity()
		a.addTokens(a.capacity())
		a.recordHeadroom()
	}
	if effect.Settled == nil || m.ended {
		return // an ended member keeps its counters: they are not needed to settle its own shares
	}
	if !m.counters.Settle(effect.Settled, effect.Reports[m.self]) {
		m.faulty = true
	}
	if e.Incarnation == m.self {
		// The last evidence for the lease of an ended member is older than the reading of its end here.
		at := max(now, m.lastEndRead+regrantDelay)
		for ws, parts := range effect.Regranted {
			if parts > 0 {
				a := m.account(ws)
				a.pending = append(a.pending, pendingParts{parts, at})
			}
		}
	}
}

// recordEnds freezes the counters and removes the peers of the memberships that the entry ended.
func (m *Manager) recordEnds(now time.Duration, e record.Entry) {
	if e.Kind != members.KindLeave && e.Kind != members.KindWithdraw && e.Kind != members.KindJoin {
		return
	}
	for _, ended := range m.members.EndedMembers() {
		if ended.EndOffset != e.Offset {
			continue
		}
		m.lastEndRead = now
		m.counters.Freeze(ended.Incarnation)
		m.removePeer(ended.Incarnation)
		if ended.Incarnation == m.self {
			m.endMembership(now)
		}
	}
}

// endMembership discards all shares of this incarnation.
func (m *Manager) endMembership(now time.Duration) {
	m.ended = true
	for _, a := range m.accounts {
		a.accrue(now)
		a.discard()
		a.pending = nil
	}
}

// canSpend reports whether the instance may spend tokens or transfer parts.
func (m *Manager) canSpend(now time.Duration) bool {
	return !m.ended && !m.faulty && m.lease.Valid(now)
}

// Faulty reports whether a regrant contradicted the transfer counters. The instance then spends nothing and must join
// again.
func (m *Manager) Faulty() bool { return m.faulty }

// advance accrues tokens until now and adds the regranted parts that have become spendable.
func (m *Manager) advance(now time.Duration, a *account) {
	a.accrue(now)
	for len(a.pending) > 0 && now >= a.pending[0].spendableAt {
		a.addParts(a.pending[0].parts, 0)
		a.pending = a.pending[1:]
	}
}

// Reserve reserves microtokens for a new request, or returns Wait and the deadline until which to retry. After Wait,
// TakeShareRequests returns the requests to send to peers.
func (m *Manager) Reserve(now time.Duration, workspace string, microtokens int64) (Reservation, time.Duration, Outcome) {
	a := m.accounts[workspace]
	if a == nil || a.removed || microtokens < 0 {
		return Reservation{}, 0, Unknown
	}
	if microtokens > a.burst {
		return Reservation{}, 0, TooLarge
	}
	a.demand.add(now, microtokens)
	deadline := now + MaxWait
	r, outcome := m.tryReserve(now, a, microtokens, deadline)
	return r, deadline, outcome
}

// Retry tries again for a request that got Wait. From the deadline on it refuses the request.
func (m *Manager) Retry(now time.Duration, workspace string, microtokens int64, deadline time.Duration) (Reservation, Outcome) {
	a := m.accounts[workspace]
	if a == nil || a.removed {
		return Reservation{}, Unknown
	}
	return m.tryReserve(now, a, microtokens, deadline)
}

func (m *Manager) tryReserve(now time.Duration, a *account, microtokens int64, deadline time.Duration) (Reservation, Outcome) {
	if !m.canSpend(now) {
		return Reservation{}, NoLease
	}
	m.advance(now, a)
	if a.reserve(microtokens) {
		return Reservation{account: a, amount: microtokens, slot: a.slot}, Granted
	}
	if now >= deadline {
		return Reservation{}, OverRate
	}
	m.requestShares(now, a, microtokens-a.audit.Level)
	return Reservation{}, Wait
}

// Settle ends a reservation and charges the tokens that the request used. Use beyond the reservation is not charged,
// since the reservation covers the largest possible output.
func (m *Manager) Settle(now time.Duration, r Reservation, spent int64) {
	a := r.account
	if a == nil {
		return
	}
	spent = min(max(spent, 0), r.amount)
	m.advance(now, a)
	a.settle(r.slot, r.amount, spent)
	if m.ended {
		a.discard()
	}
}

// Audit returns the token accounting of a workspace.
func (m *Manager) Audit(workspace string) Audit {
	if a := m.accounts[workspace]; a != nil {
		return a.audit
	}
	return Audit{}
}

// Parts returns the spendable parts of a workspace.
func (m *Manager) Parts(workspace string) int64 {
	if a := m.accounts[workspace]; a != nil {
		return a.parts
	}
	return 0
}

// LedgerParts returns the parts that the ledger assigns to this incarnation, including regranted parts that are not
// spendable yet.
func (m *Manager) LedgerParts(workspace string) int64 {
	if m.ended {
		return 0
	}
	return m.fold.Base(workspace, m.self) + m.counters.Flow(workspace)
}

// Reports returns the reports for heartbeats, sorted by workspace.
func (m *Manager) Reports(now time.Duration) []Report {
	out := make([]Report, 0, len(m.accounts))
	for ws, a := range m.accounts {
		m.advance(now, a)
		out = append(out, Report{Workspace: ws, Demand: a.demand.rate(now), Free: a.audit.Level, Parts: a.parts})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Workspace < out[j].Workspace })
	return out
}

// RecordPeerReports records the reports in a peer's heartbeat.
func (m *Manager) RecordPeerReports(now time.Duration, incarnation string, reports []Report) {
	if !m.members.Active(incarnation) || incarnation == m.self {
		return
	}
	p := m.peers[incarnation]
	if p == nil {
		p = &peerState{index: m.allocateIndex(incarnation)}
		m.peers[incarnation] = p
	}
	p.lastHeard = now
	for i := range reports {
		r := &reports[i]
		if a := m.accounts[r.Workspace]; a != nil {
			last := &a.reports[p.index]
			last.receivedAt, last.valid, last.demand = now, true, boundDemand(r.Demand)
			last.free = min(max(r.Free, 0), MaxMicrotokens)
			last.parts = min(max(r.Parts, 0), ledger.TotalParts)
		}
	}
}

// boundDemand limits the demand that a peer reports to a usable range: a NaN or an infinity would affect every decision
// about the workspace.
func boundDemand(d float64) float64 {
	const largest = 1000 * float64(MaxMicrotokens)
	if d > 0 && d <= largest {
		return d
	}
	if d > largest {
		return largest
	}
	return 0
}

// allocateIndex assigns a free index to the incarnation, or a new one if none is free.
func (m *Manager) allocateIndex(incarnation string) int {
	for i, inc := range m.peerByIndex {
		if inc == "" {
			m.peerByIndex[i] = incarnation
			return i
		}
	}
	m.peerByIndex = append(m.peerByIndex, incarnation)
	for _, a := range m.accounts {
		a.reports = append(a.reports, report{})
	}
	return len(m.peerByIndex) - 1
}

func (m *Manager) removePeer(incarnation string) {
	p := m.peers[incarnation]
	if p == nil {
		return
	}
	delete(m.peers, incarnation)
	m.peerByIndex[p.index] = ""
	for _, a := range m.accounts {
		a.reports[p.index] = report{}
	}
}

// Receive credits a transfer and reports whether the sender may stop resending it.
func (m *Manager) Receive(now time.Duration, t ledger.Transfer) bool {
	if m.ended || !m.members.Active(m.self) || !m.members.Active(t.From) {
		return false
	}
	credit, accepted := m.counters.Receive(t)
	if credit {
		a := m.account(t.Workspace)
		m.advance(now, a)
		a.addParts(t.Parts, t.Microtokens)
		a.requestInterval, a.nextRequest = 0, min(a.nextRequest, now+minRequestInterval)
	}
	return accepted
}

// Acknowledged records that a peer accepted a transfer.
func (m *Manager) Acknowledged(to string, number uint64) { m.counters.Acknowledge(to, number) }
