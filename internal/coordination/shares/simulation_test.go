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

// world drives the decision types of several instances in virtual time over a fake network, log and
// platform list, and checks the invariants after each event.
type world struct {
	rng        *rand.Rand
	now        time.Duration
	seq        int
	queue      []event // by time
	log        []record.Entry
	logDown    bool
	loseAnswer float64 // probability that an append takes effect but fails
	loss, dup  float64
	slow       time.Duration // largest message delay
	nodes      []*node
	listed     map[string]bool
	configs    map[string][2]int64
	limits     map[string]*limit
	fail       func(format string, args ...any)
}

type event struct {
	at  time.Duration
	run func()
}

// limit is the oracle of one workspace: a central bucket. It is never overdrawn if and only if in every
// window the spends are at most burst + rate*time.
type limit struct {
	level, rate, burst float64
	last               time.Duration
}

func (l *limit) advance(now time.Duration) {
	l.level = min(l.burst, l.level+l.rate*(now-l.last).Seconds())
	l.last = now
}

func (l *limit) admit(now time.Duration, micro int64) bool {
	l.advance(now)
	if l.level < float64(micro) {
		return false
	}
	l.level -= float64(micro)
	return true
}

type node struct {
	w             *world
	slot          int
	inc, previous string
	former        *node // of the same process, if it joined again
	// Faults: stale keeps an old platform list.
	dead, hostGone, cutLog, cutPeers, stale bool
	paused                                  time.Duration
	offset                                  time.Duration // of its clock
	next                                    int           // control position
	lastAsked                               time.Duration // when its newest answered question was asked
	configs                                 map[string][2]int64
	members                                 *members.Set
	mgr                                     *Manager
	set                                     *Settlement
	lease                                   *lease.Lease
	promises                                *lease.Promises
	view                                    *membership.View
	joinTried, lastSettled, lastResend      time.Duration
	beats                                   uint64
	senders                                 map[int]*ReportSender      // by slot
	receivers                               map[string]*ReportReceiver // by incarnation
}

func newWorld(seed uint64, n int, workspaces map[string][2]int64, fail func(string, ...any)) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), slow: 2 * time.Millisecond, listed: map[string]bool{}, configs: workspaces,
		limits: map[string]*limit{}, fail: fail, now: time.Second}
	for ws, c := range workspaces {
		w.limits[ws] = &limit{level: float64(c[1]), rate: float64(c[0]), burst: float64(c[1]), last: w.now}
	}
	for i := range n {
		w.listed[instance(i)] = true
		w.nodes = append(w.nodes, w.start(i, ""))
	}
	return w
}

func instance(slot int) string { return fmt.Sprintf("i%d", slot) }

func (w *world) start(slot int, previous string) *node {
	w.seq++
	n := &node{w: w, slot: slot, inc: fmt.Sprintf("n%d-%04d", slot, w.seq), offset: time.Duration(w.rng.Int64N(int64(time.Hour))),
		members: members.New(), promises: lease.NewPromises(), previous: previous, configs: map[string][2]int64{}, joinTried: -time.Hour,
		senders: map[int]*ReportSender{}, receivers: map[string]*ReportReceiver{}}
	n.lease = lease.New(n.inc)
	n.mgr = New(n.inc, n.members, n.lease)
	n.set = NewSettlement(n.mgr, n.promises)
	n.view = membership.New(instance(slot), n.inc)
	w.at(w.now+time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), n.loop)
	return n
}

func (w *world) at(t time.Duration, run func()) {
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at > t })
	w.queue = slices.Insert(w.queue, i, event{t, run})
}

// run processes events up to the time.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, e.at)
		e.run()
		w.check()
	}
	w.now = max(w.now, until)
}

func (n *node) clock() time.Duration { return n.w.now + n.offset }

// do runs f on the node, after a pause has ended.
func (n *node) do(f func()) {
	switch {
	case n.dead:
	case n.paused > n.w.now:
		n.w.at(n.paused, func() { n.do(f) })
	default:
		f()
	}
}

// send delivers f to the node; a connection to a dead process is refused.
func (n *node) send(to *node, f func()) {
	w := n.w
	if n.cutPeers || to.cutPeers || w.rng.Float64() < w.loss {
		return
	}
	for copies := 1 + int(w.rng.Float64()+w.dup); copies > 0; copies-- {
		w.at(w.now+time.Duration(w.rng.Int64N(int64(w.slow))), func() {
			if to.dead && !to.hostGone {
				n.do(func() { n.view.RecordRefusal(instance(to.slot), to.inc) })
			}
			to.do(f)
		})
	}
}

func (w *world) node(inc string) *node {
	for _, n := range w.nodes {
		if n.inc == inc {
			return n
		}
	}
	return nil
}

func (n *node) loop() {
	if n.dead || n.w.nodes[n.slot] != n {
		return
	}
	n.do(n.step)
	n.w.at(max(n.w.now+100*time.Millisecond, n.paused), n.loop)
}

func (n *node) step() {
	now := n.clock()
	n.configure(now)
	n.poll()
	if !n.members.Active(n.inc) && !n.members.Ended(n.inc) && now-n.joinTried > 3*time.Second {
		n.joinTried = now
		n.append(members.KindJoin, members.Join{Instance: instance(n.slot), Previous: n.previous})
	}
	if !n.stale {
		var list []membership.ListEntry
		for i := range n.w.nodes {
			if n.w.listed[instance(i)] {
				list = append(list, membership.ListEntry{Instance: instance(i)})
			}
		}
		n.view.SetList(now, list)
	}
	n.refreshElectorate()
	actions := n.view.Tick(now)
	if len(actions.Heartbeat) > 0 {
		n.lease.Round(now)
		if len(n.members.List()) == 1 {
			n.lastAsked = n.w.now // its own vote is the majority
		}
	}
	for _, id := range actions.Heartbeat {
		for _, to := range n.w.nodes {
			if instance(to.slot) == id {
				n.heartbeat(now, to)
			}
		}
	}
	for _, wd := range actions.Withdraw {
		n.append(members.KindWithdraw, wd)
	}
	for _, ws := range n.set.DueGrants(now) {
		n.append(ledger.KindGrant, ledger.Grant{Workspace: ws})
	}
	n.transfers(n.mgr.Rebalance(now))
	if now-n.lastResend > 300*time.Millisecond {
		n.lastResend = now
		for _, m := range n.members.List() {
			n.transfers(n.mgr.Counters().Pending(m.Incarnation))
		}
	}
	n.settle(now)
}

// configure takes a changed configuration with a chance, so that instances change at different times.
func (n *node) configure(now time.Duration) {
	for _, ws := range slices.Sorted(maps.Keys(n.w.configs)) {
		c := n.w.configs[ws]
		if n.configs[ws] != c && (n.configs[ws] == [2]int64{} || n.w.rng.IntN(4) == 0) {
			n.w.limit(ws)
			n.configs[ws] = c
			n.mgr.Configure(now, ws, c[0], c[1])
		}
	}
}

func (n *node) refreshElectorate() {
	var e lease.Electorate
	for _, m := range n.members.List() {
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
	if n.senders[to.slot] == nil {
		n.senders[to.slot] = NewReportSender()
	}
	n.beats++
	reports := n.senders[to.slot].Next(now, n.beats, n.mgr.Reports(now))
	silent, pos, want, asked, real := n.view.SilentMembers(now), n.positions(), n.lease.WantPromise(), now, n.w.now
	n.send(to, func() {
		if to.members.Ended(n.inc) {
			return
		}
		to.view.RecordHeartbeat(to.clock(), instance(n.slot), n.inc, pos[lease.Control], silent)
		to.set.RecordPosition(n.inc, pos[lease.Control])
		if to.receivers[n.inc] == nil {
			to.receivers[n.inc] = NewReportReceiver()
		}
		held, missing := to.receivers[n.inc].Receive(reports)
		to.mgr.RecordPeerReports(to.clock(), n.inc, held)
		ok := want && to.members.Active(to.inc) && to.promises.Answer(to.clock(), n.inc, to.members.Active(n.inc))
		ack := lease.Ack{Instance: instance(to.slot), Incarnation: to.inc, Asked: asked, Positions: to.positions()}
		copied := to.next
		to.send(n, func() {
			if n.members.Ended(to.inc) {
				return
			}
			n.view.RecordHeartbeat(n.clock(), instance(to.slot), to.inc, uint64(copied), nil)
			n.senders[to.slot].Acknowledged(reports.Sequence, to.inc, missing)
			if ok {
				n.lastAsked = max(n.lastAsked, real)
				n.lease.Acknowledged(ack)
				n.apply(copied) // catches up from the peer
			}
		})
	})
}

// call delivers f to the node with the incarnation, if it still runs.
func (n *node) call(inc string, f func(to *node)) {
	if to := n.w.node(inc); to != nil {
		n.send(to, func() { f(to) })
	}
}

func (n *node) transfers(list []ledger.Transfer) {
	for _, t := range list {
		n.call(t.To, func(to *node) {
			if to.mgr.Receive(to.clock(), t) {
				to.send(n, func() { n.mgr.Acknowledged(t.To, t.Number) })
			}
		})
	}
}

func (n *node) asks() {
	for _, q := range n.mgr.TakeShareRequests() {
		n.call(q.To, func(to *node) {
			if t, ok := to.mgr.HandleShareRequest(to.clock(), q, n.inc); ok {
				to.transfers([]ledger.Transfer{t})
			}
		})
	}
}

func (n *node) settle(now time.Duration) {
	if ended, from := n.set.MissingCounters(now); len(from) > 0 && now-n.lastSettled > 300*time.Millisecond {
		n.lastSettled = now
		for _, inc := range from {
			n.call(inc, func(to *node) {
				if net, ok := to.set.FrozenCounters(to.clock(), ended); ok {
					to.send(n, func() { n.set.RecordCounters(inc, ended, net) })
				}
			})
		}
	}
	if r, ok := n.set.Regrant(now); ok {
		n.append(ledger.KindRegrant, r)
	}
}

func (n *node) append(kind record.Kind, body any) {
	w := n.w
	if w.logDown || n.cutLog {
		n.lease.LogFailed()
		return
	}
	env, err := record.New(kind, fmt.Sprint(w.now, n.inc), n.inc, body)
	if err != nil {
		w.fail("encode: %v", err)
	}
	w.at(w.now+time.Duration(w.rng.Int64N(int64(w.slow))), func() {
		if wd, ok := body.(members.Withdraw); ok && w.node(wd.Incarnation) != nil && w.rng.IntN(2) == 0 {
			w.node(wd.Incarnation).cutLog = true // does not learn that it was withdrawn
		}
		w.log = append(w.log, record.Entry{Offset: uint64(len(w.log)), Envelope: env})
		if w.rng.Float64() < w.loseAnswer {
			n.do(n.lease.LogFailed)
		}
	})
}

func (n *node) poll() {
	w, asked, real := n.w, n.clock(), n.w.now
	if w.logDown || n.cutLog {
		n.lease.LogFailed()
		return
	}
	w.at(w.now+time.Duration(w.rng.Int64N(int64(w.slow))), func() {
		tail := len(w.log)
		w.at(w.now+time.Duration(w.rng.Int64N(int64(w.slow))), func() {
			n.do(func() {
				n.apply(tail)
				n.lease.LogAnswered()
				n.lastAsked = max(n.lastAsked, real)
				n.lease.ReadTail(lease.Config, asked)
				n.lease.ReadTail(lease.Control, asked)
			})
		})
	})
}

// apply folds the log up to the position, and starts over as a new incarnation after a withdrawal.
func (n *node) apply(upTo int) {
	now := n.clock()
	for n.next < upTo {
		e := n.w.log[n.next]
		n.next++
		if n.members.Apply(e) {
			n.view.SetMembers(now, n.members.List())
		}
		n.mgr.Apply(now, e)
	}
	n.checkBases()
	n.set.ControlApplied(now)
	n.lease.Advance(n.positions())
	n.refreshElectorate()
	if n.members.Ended(n.inc) && n.w.nodes[n.slot] == n {
		n.lease.Withdrawn()
		n.w.nodes[n.slot] = n.w.start(n.slot, n.inc)
		n.w.nodes[n.slot].former = n
	}
}

// request asks the node for tokens and settles later. Done gets the outcome.
func (n *node) request(ws string, reserve, spend int64, done func(Outcome)) {
	n.do(func() {
		r, deadline, out := n.mgr.Reserve(n.clock(), ws, reserve)
		n.outcome(ws, reserve, spend, deadline, r, out, done)
	})
}

func (n *node) outcome(ws string, reserve, spend int64, deadline time.Duration, r Reservation, out Outcome, done func(Outcome)) {
	w := n.w
	switch out {
	case Wait:
		n.asks()
		w.at(w.now+5*time.Millisecond, func() {
			n.do(func() {
				r, out := n.mgr.Retry(n.clock(), ws, reserve, deadline)
				n.outcome(ws, reserve, spend, deadline, r, out, done)
			})
		})
		return
	case Granted:
		w.spent(n, ws, spend)
		w.at(w.now+time.Duration(w.rng.Int64N(int64(3*time.Second))), func() {
			n.do(func() { n.mgr.Settle(n.clock(), r, spend) })
		})
	}
	done(out)
}

// limit returns the oracle of a workspace, with the largest rate and burst that any instance applies. It is
// called before and after each change of them.
func (w *world) limit(ws string) *limit {
	l := w.limits[ws]
	l.advance(w.now)
	l.rate, l.burst = float64(w.configs[ws][0]), float64(w.configs[ws][1])
	for _, n := range w.nodes {
		if !n.dead {
			l.rate, l.burst = max(l.rate, float64(n.configs[ws][0])), max(l.burst, float64(n.configs[ws][1]))
		}
	}
	l.level = min(l.level, l.burst)
	return l
}

// spent checks one spend against the oracle.
func (w *world) spent(n *node, ws string, micro int64) {
	l := w.limit(ws)
	if l.level -= float64(micro); l.level < -1 {
		w.fail("I6: %s overspent by %.0f microtokens at %v at %s", ws, -l.level, w.now, n.inc)
	}
	if w.now-n.lastAsked > lease.Duration {
		w.fail("%s spent %v after its last evidence was asked for", n.inc, w.now-n.lastAsked)
	}
	for _, a := range w.nodes {
		e, ok := a.members.Get(n.inc)
		if !ok || !e.Ended || unsettled(a, n.inc) || author(w, n.inc) != a.inc {
			continue
		}
		due := false
		for _, p := range a.mgr.accounts {
			due = due || len(p.pending) > 0
		}
		if !due {
			w.fail("withdrawn %s spent although the regrant is spendable", n.inc)
		}
	}
}

func unsettled(n *node, inc string) bool {
	return slices.ContainsFunc(n.mgr.fold.Unsettled(), func(m members.Member) bool { return m.Incarnation == inc })
}

// author returns who wrote the first regrant record in the log that names the incarnation.
func author(w *world, inc string) string {
	for _, e := range w.log {
		var r ledger.Regrant
		if e.Kind == ledger.KindRegrant && e.Unmarshal(&r) == nil && slices.Contains(r.Ended, inc) {
			return e.Incarnation
		}
	}
	return ""
}

// check verifies the invariants that hold at all times.
func (w *world) check() {
	for ws := range w.configs {
		var sum int64
		for _, n := range w.nodes { // the former incarnations know that they ended, or are dead
			a := n.mgr.accounts[ws]
			if a == nil {
				continue
			}
			if !n.dead && n.lease.Valid(n.clock()) {
				sum += a.parts
			}
			if b := a.audit.Discrepancy(); b != 0 || a.audit.Level < 0 || a.audit.Level > a.capacity() || a.audit.Reserved < 0 {
				w.fail("audit of %s at %s is off by %d: %+v", ws, n.inc, b, a.audit)
			}
			if n.mgr.Faulty() {
				w.fail("%s holds a regrant that contradicts its counters", n.inc)
			}
			held := a.parts
			for _, p := range a.pending {
				held += p.parts
			}
			if !n.mgr.ended && held != n.mgr.LedgerParts(ws) {
				w.fail("%s has %d parts of %s but its ledger says %d", n.inc, held, ws, n.mgr.LedgerParts(ws))
			}
		}
		if sum > ledger.Whole {
			w.fail("instances that may spend hold %d parts of %s", sum, ws)
		}
	}
}

// checkBases verifies that the log's accounts neither create nor lose parts.
func (n *node) checkBases() {
	for ws, accounts := range n.mgr.fold.Export().Base {
		var base int64
		for _, parts := range accounts {
			base += parts
		}
		if base != ledger.Whole {
			n.w.fail("the bases of %s sum to %d at %s", ws, base, n.inc)
		}
	}
}
