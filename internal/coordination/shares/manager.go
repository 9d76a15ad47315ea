// Package shares limits each workspace to its rate and burst over all instances. An instance spends
// from a token bucket over the parts that it holds; parts move between instances as demand moves. The
// parts of a workspace never sum to more than the whole, so neither does what is spent.
package shares

import (
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// MaxWait is how long a request that is short of tokens waits for a transfer before it is refused.
const MaxWait = 100 * time.Millisecond

// Lease says whether the instance may spend.
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
	// OverRate means that there are too few tokens: the request is over the rate.
	OverRate
	// TooLarge means that the request exceeds the workspace's burst and can never be granted.
	TooLarge
	// NoLease means that the instance may not spend now.
	NoLease
	// Unknown means that the workspace isn't configured.
	Unknown
)

// Reservation is tokens held for one request. Each granted one must be passed to Settle once.
type Reservation struct {
	account *account
	amount  int64
	slot    int64
}

// Report is what one instance tells others of one workspace.
type Report struct {
	Workspace string
	// Demand is in microtokens per second, refused demand included.
	Demand float64
	// Free is in microtokens.
	Free  int64
	Parts int64
	// VirtualTime is the service in the fair queue since the instance's start, in tokens by weight. The manager
	// neither sets nor reads it.
	VirtualTime float64
}

// ShareRequest is a request for a transfer.
type ShareRequest struct {
	To, Workspace string
	Microtokens   int64
	// Demand of the asking instance, in microtokens per second.
	Demand float64
}

// account is one workspace on this instance.
type account struct {
	bucket
	workspace string
	demand    demand
	removed   bool
	reports   []report // by peer index
	nextAsk   time.Duration
	askGap    time.Duration // before the next round of asks
	pending   []pendingParts
}

// pendingParts are regranted parts that another instance might still spend from.
type pendingParts struct {
	parts int64
	at    time.Duration
}

// report is a peer's last report of one workspace.
type report struct {
	at     time.Duration
	pushed time.Duration // when parts were last pushed to the peer
	asked  time.Duration // when the peer was last asked
	valid  bool
	demand float64
	free   int64
	parts  int64
}

type peerState struct {
	index int
	at    time.Duration
}

// Manager holds one incarnation's shares. It is not safe for concurrent use.
type Manager struct {
	self     string
	members  *members.Set
	fold     *ledger.Fold
	counters *ledger.Counters
	lease    Lease
	accounts map[string]*account
	peers    map[string]*peerState
	byIndex  []string // peer's incarnation, empty if free
	asks     []ShareRequest
	lastEnd  time.Duration // when the last end of a membership was read
	ended    bool
	faulty   bool
	nextPush time.Duration
}

// New returns the shares of an incarnation. Entries of the control stream are applied to the member set
// first and then to the manager.
func New(self string, m *members.Set, l Lease) *Manager {
	return &Manager{
		self: self, members: m, fold: ledger.NewFold(m), counters: ledger.NewCounters(self), lease: l,
		accounts: map[string]*account{}, peers: map[string]*peerState{},
	}
}

// Fold returns the accounts as the log states them, for snapshots.
func (m *Manager) Fold() *ledger.Fold { return m.fold }

// SnapshotImported records that the folds were imported from a snapshot. It is for an instance that has not joined yet: one
// with shares that missed records can't tell what happened to them and must join as a new incarnation.
func (m *Manager) SnapshotImported(now time.Duration) { m.lastEnd = now }

// Counters returns the transfer counters.
func (m *Manager) Counters() *ledger.Counters { return m.counters }

func (m *Manager) account(workspace string) *account {
	a := m.accounts[workspace]
	if a == nil {
		a = &account{workspace: workspace, reports: make([]report, len(m.byIndex)), removed: true}
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

// Remove ends a workspace's service. Its parts stay, so that it can be configured again.
func (m *Manager) Remove(now time.Duration, workspace string) {
	if a := m.accounts[workspace]; a != nil {
		a.accrue(now)
		a.configure(0, 0)
		a.removed = true
	}
}

// Apply folds one entry of the control stream, which the member set has applied already.
func (m *Manager) Apply(now time.Duration, e record.Entry) {
	m.noteEnds(now, e)
	effect := m.fold.Apply(e)
	if effect.Granted != "" && e.Incarnation == m.self {
		a := m.account(effect.Granted)
		a.accrue(now)
		a.parts += ledger.Whole
		a.audit.Granted += a.capacity()
		a.add(a.capacity())
		a.noteHeadroom()
	}
	if effect.Settled == nil || m.ended {
		return // an ended member keeps its counters: its own settlement needs no answer from it
	}
	if !m.counters.Settle(effect.Settled, effect.Reports[m.self]) {
		m.faulty = true
	}
	if e.Incarnation == m.self {
		// Every lease of a member that ended had its last evidence before the end was read here.
		at := max(now, m.lastEnd+settleDelay)
		for ws, parts := range effect.Regranted {
			if parts > 0 {
				a := m.account(ws)
				a.pending = append(a.pending, pendingParts{parts, at})
			}
		}
	}
}

func (m *Manager) noteEnds(now time.Duration, e record.Entry) {
	if e.Kind != members.KindLeave && e.Kind != members.KindWithdraw && e.Kind != members.KindJoin {
		return
	}
	for _, ended := range m.members.EndedList() {
		if ended.End != e.Offset {
			continue
		}
		m.lastEnd = now
		m.counters.Freeze(ended.Incarnation)
		m.dropPeer(ended.Incarnation)
		if ended.Incarnation == m.self {
			m.end(now)
		}
	}
}

// end gives up all shares: the membership is over.
func (m *Manager) end(now time.Duration) {
	m.ended = true
	for _, a := range m.accounts {
		a.accrue(now)
		a.drop()
		a.pending = nil
	}
}

// may reports whether the instance may spend or give.
func (m *Manager) may(now time.Duration) bool {
	return !m.ended && !m.faulty && m.lease.Valid(now)
}

// Faulty reports whether a regrant contradicted the counters. The instance then spends nothing and
// must join again.
func (m *Manager) Faulty() bool { return m.faulty }

// advance brings an account to the time and adds the regranted parts that are due.
func (m *Manager) advance(now time.Duration, a *account) {
	a.accrue(now)
	for len(a.pending) > 0 && now >= a.pending[0].at {
		a.put(a.pending[0].parts, 0)
		a.pending = a.pending[1:]
	}
}

// Reserve takes microtokens for a new request, or tells it to wait until the deadline. What Wait asks of peers
// is returned by TakeAsks.
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
	r, out := m.try(now, a, microtokens, deadline)
	return r, deadline, out
}

// Retry tries again for a request that was told to wait. It refuses at the deadline.
func (m *Manager) Retry(now time.Duration, workspace string, microtokens int64, deadline time.Duration) (Reservation, Outcome) {
	a := m.accounts[workspace]
	if a == nil || a.removed {
		return Reservation{}, Unknown
	}
	return m.try(now, a, microtokens, deadline)
}

func (m *Manager) try(now time.Duration, a *account, microtokens int64, deadline time.Duration) (Reservation, Outcome) {
	if !m.may(now) {
		return Reservation{}, NoLease
	}
	m.advance(now, a)
	if a.reserve(microtokens) {
		return Reservation{account: a, amount: microtokens, slot: a.slot}, Granted
	}
	if now >= deadline {
		return Reservation{}, OverRate
	}
	m.ask(now, a, microtokens-a.audit.Level)
	return Reservation{}, Wait
}

// Settle ends a reservation with what the request used. Use beyond the reservation isn't charged, since
// the reservation covers the largest output.
func (m *Manager) Settle(now time.Duration, r Reservation, spent int64) {
	a := r.account
	if a == nil {
		return
	}
	spent = min(max(spent, 0), r.amount)
	m.advance(now, a)
	a.settle(r.slot, r.amount, spent)
	if m.ended {
		a.drop()
	}
}

// Audit returns the account of a workspace's tokens.
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

// Held returns the parts that the ledger assigns to this incarnation, regranted ones that are not spendable yet
// included.
func (m *Manager) Held(workspace string) int64 {
	if m.ended {
		return 0
	}
	return m.fold.Base(workspace, m.self) + m.counters.Flow(workspace)
}

// Reports returns what heartbeats tell other instances, by workspace.
func (m *Manager) Reports(now time.Duration) []Report {
	out := make([]Report, 0, len(m.accounts))
	for ws, a := range m.accounts {
		m.advance(now, a)
		out = append(out, Report{Workspace: ws, Demand: a.demand.rate(now), Free: a.audit.Level, Parts: a.parts})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Workspace < out[j].Workspace })
	return out
}

// RecordPeerReports records what a peer's heartbeat said.
func (m *Manager) RecordPeerReports(now time.Duration, incarnation string, reports []Report) {
	if !m.members.Active(incarnation) || incarnation == m.self {
		return
	}
	p := m.peers[incarnation]
	if p == nil {
		p = &peerState{index: m.freeIndex(incarnation)}
		m.peers[incarnation] = p
	}
	p.at = now
	for i := range reports {
		r := &reports[i]
		if a := m.accounts[r.Workspace]; a != nil {
			q := &a.reports[p.index]
			q.at, q.valid, q.demand = now, true, boundDemand(r.Demand)
			q.free = min(max(r.Free, 0), MaxMicrotokens)
			q.parts = min(max(r.Parts, 0), ledger.Whole)
		}
	}
}

// boundDemand keeps a peer's statement from upsetting the arithmetic: a NaN or an infinity would spread
// to every decision about the workspace.
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

func (m *Manager) freeIndex(incarnation string) int {
	for i, inc := range m.byIndex {
		if inc == "" {
			m.byIndex[i] = incarnation
			return i
		}
	}
	m.byIndex = append(m.byIndex, incarnation)
	for _, a := range m.accounts {
		a.reports = append(a.reports, report{})
	}
	return len(m.byIndex) - 1
}

func (m *Manager) dropPeer(incarnation string) {
	p := m.peers[incarnation]
	if p == nil {
		return
	}
	delete(m.peers, incarnation)
	m.byIndex[p.index] = ""
	for _, a := range m.accounts {
		a.reports[p.index] = report{}
	}
}

// Receive credits a transfer and reports whether the sender may stop repeating it.
func (m *Manager) Receive(now time.Duration, t ledger.Transfer) bool {
	if m.ended || !m.members.Active(m.self) || !m.members.Active(t.From) {
		return false
	}
	credit, accepted := m.counters.Receive(t)
	if credit {
		a := m.account(t.Workspace)
		m.advance(now, a)
		a.put(t.Parts, t.Microtokens)
		a.askGap, a.nextAsk = 0, min(a.nextAsk, now+minAskGap)
	}
	return accepted
}

// Acknowledged records that a peer accepted a transfer.
func (m *Manager) Acknowledged(to string, number uint64) { m.counters.Acknowledged(to, number) }
