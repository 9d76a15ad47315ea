package shares

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/membership"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// simulation runs the shares, settlement, lease and membership of several instances in virtual time over a fake network,
// log and platform list, and checks the invariants after each event.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	seq            int
	queue          []event // by time
	log            []record.Entry
	logDown        bool
	lostAnswerRate float64 // probability that an append takes effect but returns an error
	// probabilities that a message is lost and that it is delivered twice
	lossRate, duplicateRate float64
	maxDelay                time.Duration // of a message
	nodes                   []*node
	listed                  map[string]bool
	configs                 map[string][2]int64 // rate and burst, by workspace
	oracles                 map[string]*centralBucket
	fail                    func(format string, args ...any)
}

type event struct {
	at  time.Duration
	run func()
}

// centralBucket is a token bucket for the whole of one workspace. As an oracle, it is never overdrawn if and only if the
// tokens spent in every window are at most burst + rate*time.
type centralBucket struct {
	level, rate, burst float64
	last               time.Duration
}

func (b *centralBucket) advance(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
}

func (b *centralBucket) admit(now time.Duration, microtokens int64) bool {
	b.advance(now)
	if b.level < float64(microtokens) {
		return false
	}
	b.level -= float64(microtokens)
	return true
}

// node is one incarnation of an instance.
type node struct {
	sim           *simulation
	index         int    // of the instance in simulation.nodes
	inc, previous string // incarnations of the node and of the one that it replaces
	former        *node  // earlier incarnation of the same process, if the process joined again
	// Faults. staleList means that the node keeps an old platform list.
	dead, hostDown, logUnreachable, peersUnreachable, staleList bool

	paused                                                  time.Duration
	offset                                                  time.Duration // of its clock from simulation.now
	next                                                    int           // control position
	evidenceRequestedAt                                     time.Duration // newest time of an answered request to the log or a peer
	configs                                                 map[string][2]int64
	members                                                 *members.Set
	manager                                                 *Manager
	settlement                                              *Settlement
	lease                                                   *lease.Lease
	promises                                                *lease.Promiser
	view                                                    *membership.View
	joinAttemptedAt, countersRequestedAt, transfersResentAt time.Duration
	heartbeats                                              uint64
	senders                                                 map[int]*ReportSender      // by index
	receivers                                               map[string]*ReportReceiver // by incarnation
}

func newSimulation(seed uint64, n int, workspaces map[string][2]int64, fail func(string, ...any)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), maxDelay: 2 * time.Millisecond, listed: map[string]bool{}, configs: workspaces,
		oracles: map[string]*centralBucket{}, fail: fail, now: time.Second,
	}
	for ws, c := range workspaces {
		sim.oracles[ws] = &centralBucket{level: float64(c[1]), rate: float64(c[0]), burst: float64(c[1]), last: sim.now}
	}
	for i := range n {
		sim.listed[instance(i)] = true
		sim.nodes = append(sim.nodes, sim.start(i, ""))
	}
	return sim
}

func instance(index int) string { return fmt.Sprintf("i%d", index) }

func (sim *simulation) start(index int, previous string) *node {
	sim.seq++
	n := &node{
		sim: sim, index: index, inc: fmt.Sprintf("n%d-%04d", index, sim.seq), offset: time.Duration(sim.rng.Int64N(int64(time.Hour))),
		members: members.New(), promises: lease.NewPromiser(), previous: previous, configs: map[string][2]int64{},
		joinAttemptedAt: -time.Hour, senders: map[int]*ReportSender{}, receivers: map[string]*ReportReceiver{},
	}
	n.lease = lease.New(n.inc)
	n.manager = New(n.inc, n.members, n.lease)
	n.settlement = NewSettlement(n.manager, n.promises)
	n.view = membership.New(instance(index), n.inc)
	sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(100*time.Millisecond))), n.loop)
	return n
}

func (sim *simulation) at(t time.Duration, run func()) {
	i := sort.Search(len(sim.queue), func(i int) bool { return sim.queue[i].at > t })
	sim.queue = slices.Insert(sim.queue, i, event{t, run})
}

// run processes events up to the time.
func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = max(sim.now, e.at)
		e.run()
		sim.check()
	}
	sim.now = max(sim.now, until)
}

func (n *node) clock() time.Duration { return n.sim.now + n.offset }

// whenRunning runs f on the node, after the end of a pause if there is one. A dead node does not run it.
func (n *node) whenRunning(f func()) {
	switch {
	case n.dead:
	case n.paused > n.sim.now:
		n.sim.at(n.paused, func() { n.whenRunning(f) })
	default:
		f()
	}
}

// send runs f on the other node after a random delay. A connection to a dead process on a live host is refused.
func (n *node) send(to *node, f func()) {
	sim := n.sim
	if n.peersUnreachable || to.peersUnreachable || sim.rng.Float64() < sim.lossRate {
		return
	}
	for copies := 1 + int(sim.rng.Float64()+sim.duplicateRate); copies > 0; copies-- {
		sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(sim.maxDelay))), func() {
			if to.dead && !to.hostDown {
				n.whenRunning(func() { n.view.RecordRefusal(instance(to.index), to.inc) })
			}
			to.whenRunning(f)
		})
	}
}

func (sim *simulation) node(inc string) *node {
	for _, n := range sim.nodes {
		if n.inc == inc {
			return n
		}
	}
	return nil
}

func (n *node) loop() {
	if n.dead || n.sim.nodes[n.index] != n {
		return
	}
	n.whenRunning(n.step)
	n.sim.at(max(n.sim.now+100*time.Millisecond, n.paused), n.loop)
}

func (n *node) step() {
	now := n.clock()
	n.configure(now)
	n.poll()
	if !n.members.Active(n.inc) && !n.members.Ended(n.inc) && now-n.joinAttemptedAt > 3*time.Second {
		n.joinAttemptedAt = now
		n.append(members.KindJoin, members.Join{Instance: instance(n.index), Previous: n.previous})
	}
	if !n.staleList {
		var list []membership.ListEntry
		for i := range n.sim.nodes {
			if n.sim.listed[instance(i)] {
				list = append(list, membership.ListEntry{Instance: instance(i)})
			}
		}
		n.view.SetList(now, list)
	}
	n.refreshElectorate()
	actions := n.view.Tick(now)
	if len(actions.Heartbeat) > 0 {
		n.lease.RecordOwnVote(now)
		if len(n.members.ActiveMembers()) == 1 {
			n.evidenceRequestedAt = n.sim.now // its own vote is the majority
		}
	}
	for _, id := range actions.Heartbeat {
		for _, to := range n.sim.nodes {
			if instance(to.index) == id {
				n.heartbeat(now, to)
			}
		}
	}
	for _, wd := range actions.Withdraw {
		n.append(members.KindWithdraw, wd)
	}
	for _, ws := range n.settlement.DueGrants(now) {
		n.append(ledger.KindGrant, ledger.Grant{Workspace: ws})
	}
	n.sendTransfers(n.manager.Rebalance(now))
	if now-n.transfersResentAt > 300*time.Millisecond {
		n.transfersResentAt = now
		for _, m := range n.members.ActiveMembers() {
			n.sendTransfers(n.manager.Counters().Pending(m.Incarnation))
		}
	}
	n.settle(now)
}

// configure applies a changed configuration with a probability of 1/4 per step, so that instances change at different
// times.
func (n *node) configure(now time.Duration) {
	for _, ws := range slices.Sorted(maps.Keys(n.sim.configs)) {
		c := n.sim.configs[ws]
		if n.configs[ws] != c && (n.configs[ws] == [2]int64{} || n.sim.rng.IntN(4) == 0) {
			n.sim.oracle(ws)
			n.configs[ws] = c
			n.manager.Configure(now, ws, c[0], c[1])
		}
	}
}

func (n *node) refreshElectorate() {
	var e lease.Electorate
	for _, m := range n.members.ActiveMembers() {
		e.Members = append(e.Members, m.Incarnation)
	}
	listed, known := n.view.RequiredPeers()
	if !known {
		e.Members = nil
	}
	e.Listed = listed
	n.lease.SetElectorate(e)
}

func (n *node) positions() lease.Positions { return lease.Positions{0, uint64(n.next)} }

func (n *node) heartbeat(now time.Duration, to *node) {
	if n.senders[to.index] == nil {
		n.senders[to.index] = NewReportSender()
	}
	n.heartbeats++
	reports := n.senders[to.index].Next(now, n.heartbeats, n.manager.Reports(now))
	silent, pos, wantPromise, sentAt, simNow := n.view.SilentMembers(now), n.positions(), n.lease.WantPromise(), now, n.sim.now
	n.send(to, func() {
		if to.members.Ended(n.inc) {
			return
		}
		to.view.RecordHeartbeat(to.clock(), instance(n.index), n.inc, pos[lease.Control], silent)
		to.settlement.RecordPosition(n.inc, pos[lease.Control])
		if to.receivers[n.inc] == nil {
			to.receivers[n.inc] = NewReportReceiver()
		}
		held, missing := to.receivers[n.inc].Receive(reports)
		to.manager.RecordPeerReports(to.clock(), n.inc, held)
		ok := wantPromise && to.members.Active(to.inc) && to.promises.Answer(to.clock(), n.inc, to.members.Active(n.inc))
		promise := lease.Promise{Instance: instance(to.index), Incarnation: to.inc, Asked: sentAt, Positions: to.positions()}
		peerNext := to.next
		to.send(n, func() {
			if n.members.Ended(to.inc) {
				return
			}
			n.view.RecordHeartbeat(n.clock(), instance(to.index), to.inc, uint64(peerNext), nil)
			n.senders[to.index].Acknowledged(reports.Sequence, to.inc, missing)
			if ok {
				n.evidenceRequestedAt = max(n.evidenceRequestedAt, simNow)
				n.lease.RecordPromise(promise)
				n.apply(peerNext) // catches up from the peer
			}
		})
	})
}

// call sends f to the node with the incarnation, if that is the newest of its instance.
func (n *node) call(inc string, f func(to *node)) {
	if to := n.sim.node(inc); to != nil {
		n.send(to, func() { f(to) })
	}
}

func (n *node) sendTransfers(list []ledger.Transfer) {
	for _, t := range list {
		n.call(t.To, func(to *node) {
			if to.manager.Receive(to.clock(), t) {
				to.send(n, func() { n.manager.Acknowledged(t.To, t.Number) })
			}
		})
	}
}

func (n *node) sendShareRequests() {
	for _, r := range n.manager.TakeShareRequests() {
		n.call(r.To, func(to *node) {
			if t, ok := to.manager.HandleShareRequest(to.clock(), r, n.inc); ok {
				to.sendTransfers([]ledger.Transfer{t})
			}
		})
	}
}

func (n *node) settle(now time.Duration) {
	if ended, from := n.settlement.MissingCounters(now); len(from) > 0 && now-n.countersRequestedAt > 300*time.Millisecond {
		n.countersRequestedAt = now
		for _, inc := range from {
			n.call(inc, func(to *node) {
				if net, ok := to.settlement.FrozenCounters(to.clock(), ended); ok {
					to.send(n, func() { n.settlement.RecordCounters(inc, ended, net) })
				}
			})
		}
	}
	if r, ok := n.settlement.Regrant(now); ok {
		n.append(ledger.KindRegrant, r)
	}
}

func (n *node) append(kind record.Kind, body any) {
	sim := n.sim
	if sim.logDown || n.logUnreachable {
		n.lease.LogFailed()
		return
	}
	env, err := record.New(kind, fmt.Sprint(sim.now, n.inc), n.inc, body)
	if err != nil {
		sim.fail("encode: %v", err)
	}
	sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(sim.maxDelay))), func() {
		if wd, ok := body.(members.Withdraw); ok && sim.node(wd.Incarnation) != nil && sim.rng.IntN(2) == 0 {
			sim.node(wd.Incarnation).logUnreachable = true // does not learn that it was withdrawn
		}
		sim.log = append(sim.log, record.Entry{Offset: uint64(len(sim.log)), Envelope: env})
		if sim.rng.Float64() < sim.lostAnswerRate {
			n.whenRunning(n.lease.LogFailed)
		}
	})
}

func (n *node) poll() {
	sim, sentAt, simNow := n.sim, n.clock(), n.sim.now
	if sim.logDown || n.logUnreachable {
		n.lease.LogFailed()
		return
	}
	sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(sim.maxDelay))), func() {
		tail := len(sim.log)
		sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(sim.maxDelay))), func() {
			n.whenRunning(func() {
				n.apply(tail)
				n.lease.LogAnswered()
				n.evidenceRequestedAt = max(n.evidenceRequestedAt, simNow)
				n.lease.ReadTail(lease.Config, sentAt)
				n.lease.ReadTail(lease.Control, sentAt)
			})
		})
	})
}

// apply applies the log up to the position. After a withdrawal of the node it starts a new incarnation.
func (n *node) apply(upTo int) {
	now := n.clock()
	for n.next < upTo {
		e := n.sim.log[n.next]
		n.next++
		if n.members.Apply(e) {
			n.view.SetMembers(now, n.members.ActiveMembers())
		}
		n.manager.Apply(now, e)
	}
	n.checkBases()
	n.settlement.ControlApplied(now)
	n.lease.Advance(n.positions())
	n.refreshElectorate()
	if n.members.Ended(n.inc) && n.sim.nodes[n.index] == n {
		n.lease.Withdraw()
		n.sim.nodes[n.index] = n.sim.start(n.index, n.inc)
		n.sim.nodes[n.index].former = n
	}
}

// request reserves tokens at the node and settles them later. It calls done with the outcome.
func (n *node) request(ws string, reserve, spend int64, done func(Outcome)) {
	n.whenRunning(func() {
		r, deadline, out := n.manager.Reserve(n.clock(), ws, reserve)
		n.handleOutcome(ws, reserve, spend, deadline, r, out, done)
	})
}

// handleOutcome retries a request that has to wait, settles a granted one later, and passes every other outcome and that
// of a granted request to done.
func (n *node) handleOutcome(
	ws string, reserve, spend int64, deadline time.Duration, r Reservation, out Outcome, done func(Outcome),
) {
	sim := n.sim
	switch out {
	case Wait:
		n.sendShareRequests()
		sim.at(sim.now+5*time.Millisecond, func() {
			n.whenRunning(func() {
				r, out := n.manager.Retry(n.clock(), ws, reserve, deadline)
				n.handleOutcome(ws, reserve, spend, deadline, r, out, done)
			})
		})
		return
	case Granted:
		sim.checkSpend(n, ws, spend)
		sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(3*time.Second))), func() {
			n.whenRunning(func() { n.manager.Settle(n.clock(), r, spend) })
		})
	}
	done(out)
}

// oracle returns the oracle of a workspace, with the largest rate and burst that any instance applies. It must be called
// before and after each change of the rate or burst.
func (sim *simulation) oracle(ws string) *centralBucket {
	b := sim.oracles[ws]
	b.advance(sim.now)
	b.rate, b.burst = float64(sim.configs[ws][0]), float64(sim.configs[ws][1])
	for _, n := range sim.nodes {
		if !n.dead {
			b.rate, b.burst = max(b.rate, float64(n.configs[ws][0])), max(b.burst, float64(n.configs[ws][1]))
		}
	}
	b.level = min(b.level, b.burst)
	return b
}

// checkSpend checks one spend against the oracle.
func (sim *simulation) checkSpend(n *node, ws string, microtokens int64) {
	b := sim.oracle(ws)
	if b.level -= float64(microtokens); b.level < -1 {
		sim.fail("%s is overspent by %.0f microtokens at %v, by %s", ws, -b.level, sim.now, n.inc)
	}
	if sim.now-n.evidenceRequestedAt > lease.Duration {
		sim.fail("%s spent tokens %v after it requested its last lease evidence", n.inc, sim.now-n.evidenceRequestedAt)
	}
	for _, a := range sim.nodes {
		e, ok := a.members.Get(n.inc)
		if !ok || !e.Ended || isUnsettled(a, n.inc) || regrantAuthor(sim, n.inc) != a.inc {
			continue
		}
		pending := false
		for _, p := range a.manager.accounts {
			pending = pending || len(p.pending) > 0
		}
		if !pending {
			sim.fail("withdrawn member %s spent tokens although its regranted parts are spendable", n.inc)
		}
	}
}

func isUnsettled(n *node, inc string) bool {
	return slices.ContainsFunc(n.manager.fold.Unsettled(), func(m members.Member) bool { return m.Incarnation == inc })
}

// regrantAuthor returns the incarnation that appended the first regrant record in the log that names inc.
func regrantAuthor(sim *simulation, inc string) string {
	for _, e := range sim.log {
		var r ledger.Regrant
		if e.Kind == ledger.KindRegrant && e.Unmarshal(&r) == nil && slices.Contains(r.Ended, inc) {
			return e.Incarnation
		}
	}
	return ""
}

// check checks the invariants that must hold at all times.
func (sim *simulation) check() {
	for ws := range sim.configs {
		var sum int64
		for _, n := range sim.nodes { // earlier incarnations know that they ended, or are dead
			a := n.manager.accounts[ws]
			if a == nil {
				continue
			}
			if !n.dead && n.lease.Valid(n.clock()) {
				sum += a.parts
			}
			if d := a.audit.Discrepancy(); d != 0 || a.audit.Level < 0 || a.audit.Level > a.capacity() || a.audit.Reserved < 0 {
				sim.fail("audit of %s at %s has a discrepancy of %d or a value out of range: %+v", ws, n.inc, d, a.audit)
			}
			if n.manager.Faulty() {
				sim.fail("%s read a regrant that contradicts its counters", n.inc)
			}
			held := a.parts
			for _, p := range a.pending {
				held += p.parts
			}
			if !n.manager.ended && held != n.manager.LedgerParts(ws) {
				sim.fail("%s has %d parts of %s but its ledger says %d", n.inc, held, ws, n.manager.LedgerParts(ws))
			}
		}
		if sum > ledger.TotalParts {
			sim.fail("instances with a valid lease hold %d parts of %s, more than the whole", sum, ws)
		}
	}
}

// checkBases checks that the ledger neither creates nor loses parts.
func (n *node) checkBases() {
	for ws, accounts := range n.manager.fold.Export().Base {
		var base int64
		for _, parts := range accounts {
			base += parts
		}
		if base != ledger.TotalParts {
			n.sim.fail("the base parts of %s sum to %d at %s", ws, base, n.inc)
		}
	}
}
