package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/membership"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/tail"
)

const (
	// controlTick is how often membership, shares and lease are checked.
	controlTick = 100 * time.Millisecond
	// joinRetryInterval is the pause before the join record is appended again. The fold drops duplicates.
	joinRetryInterval = 3 * time.Second
	// listInterval is how often the platform's instance list is read.
	listInterval = time.Second
	// resendInterval is the pause before unacknowledged transfers and unanswered requests for counters are
	// sent again.
	resendInterval = 300 * time.Millisecond
	// loadsAccount is the account of the weight store's budget in the share ledger: one token is one load.
	// A workspace cannot have this name, since workspace ids begin with a letter or a digit.
	loadsAccount = "~loads"
)

// peerState is the state that a peer reported in its last heartbeat.
type peerState struct {
	incarnation string
	// config is the position in the configuration stream up to which the peer has applied it.
	config     uint64
	ready      bool
	leaseValid bool
	// reports assembles the reports that this incarnation sent about its workspaces.
	reports *shares.ReportReceiver
}

// control manages the instance's membership, its freshness lease and its token shares. One lock guards all
// state machines; it is never held during I/O. Of the other locks of this package, only the gate's is
// taken while it is held; the locks of owners and of the scheduler are taken before it.
type control struct {
	daemon *Daemon
	start  time.Time
	tail   *tail.Tail
	peers  peerClients

	mu         sync.Mutex
	members    *members.Set
	view       *membership.View
	lease      *lease.Lease
	promises   *lease.Promiser
	shares     *shares.Manager
	settlement *shares.Settlement
	positions  lease.Positions
	// ownership is the fold of the claims of engines and of the orders to load or evict adapters.
	ownership *ownership.Fold
	// endObservedAt is when this instance first observed the end of a membership, by incarnation.
	endObservedAt map[string]time.Time
	// logDown is set from a failed read or append until the log service next answers.
	logDown bool
	// peerStates holds the state from each peer's last heartbeat, by instance.
	peerStates map[string]peerState
	// reportSenders track the reports sent to each peer about this instance's workspaces, by instance.
	reportSenders map[string]*shares.ReportSender
	// heartbeatCount counts the heartbeats made. It is the sequence number of their reports.
	heartbeatCount      uint64
	workspaces          map[string]struct{}
	joinAppendedAt      time.Duration
	transfersResentAt   time.Duration
	countersRequestedAt time.Duration
	leaseWasValid       bool
	// joinedAt is when this incarnation was first observed as a member, or zero.
	joinedAt time.Duration
	leaving  bool
	// buffering is set while the records before bufferedFrom are missing and no snapshot that covers them
	// has been read. buffered holds the records read in the meantime.
	buffering    bool
	bufferedFrom uint64
	buffered     []record.Entry
	snapshotAt   time.Time
	unjoined     unjoinedState
	// changed is closed and replaced when tokens may have become available.
	changed chan struct{}
	// withdrawn is closed when this incarnation's membership has ended.
	withdrawn chan struct{}
}

func newControl(d *Daemon) *control {
	c := &control{
		daemon: d, start: time.Now(), members: members.New(), ownership: ownership.NewFold(),
		endObservedAt: map[string]time.Time{}, promises: lease.NewPromiser(),
		workspaces: map[string]struct{}{}, peerStates: map[string]peerState{}, reportSenders: map[string]*shares.ReportSender{},
		changed: make(chan struct{}), withdrawn: make(chan struct{}),
		joinAppendedAt: -joinRetryInterval, transfersResentAt: -resendInterval, countersRequestedAt: -resendInterval,
	}
	self := d.opts.Incarnation
	c.view = membership.New(d.settings.Instance, self)
	c.lease = lease.New(self)
	c.shares = shares.New(self, c.members, c.lease)
	c.settlement = shares.NewSettlement(c.shares, c.promises)
	c.tail = tail.New(d.platformLog, platform.StreamControl, 0, tail.Handlers{
		Records: c.records, Gap: c.gap, AtTail: c.atTail, Unavailable: func(error) { c.recordLogFailure() },
	})
	return c
}

// addTo adds the stream's reader and the control loop to a supervisor.
func (c *control) addTo(s *suture.Supervisor) {
	s.Add(c.tail)
	s.Add(c)
}

// now returns the monotonic time since the start of this incarnation.
func (c *control) now() time.Duration { return time.Since(c.start) }

// valid reports whether the instance's own lease is valid.
func (c *control) valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Valid(c.now())
}

// initialShareTimeout is how long a new member waits for shares of every workspace before it reports
// ready. Its peers send them with their next heartbeats, unless they cannot reach it.
const initialShareTimeout = 5 * time.Second

// hasShares reports whether the instance holds a share of every workspace, or has waited
// initialShareTimeout for them. A new instance without shares would refuse requests although their
// workspaces are within their rates.
func (c *control) hasShares() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sharesHeld()
}

// sharesHeld is hasShares for callers that hold the lock.
func (c *control) sharesHeld() bool {
	if c.unjoinedMayServe(c.now()) {
		return true
	}
	if c.joinedAt == 0 {
		return false
	}
	if c.now()-c.joinedAt >= initialShareTimeout {
		return true
	}
	for id := range c.workspaces {
		if c.shares.Parts(id) == 0 {
			return false
		}
	}
	return true
}

// membershipEnded reports whether an incarnation's membership has ended.
func (c *control) membershipEnded(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members.Ended(incarnation)
}

// Serve runs the control loop. It implements suture.Service.
func (c *control) Serve(ctx context.Context) error {
	go c.pollInstanceList(ctx)
	t := time.NewTicker(controlTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			c.step(ctx)
		}
	}
}

// pollInstanceList reads the platform's instance list periodically. If a read fails, the last list stays
// in force.
func (c *control) pollInstanceList(ctx context.Context) {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		if list, err := c.daemon.instanceList.List(ctx); err == nil {
			c.setList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *control) setList(list []platform.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]membership.ListEntry, len(list))
	for i, p := range list {
		out[i] = membership.ListEntry{
			Instance: p.ID, PeerAddr: p.PeerAddr, DataCentre: p.DataCentre, Leaving: p.State == platform.Leaving,
		}
	}
	c.view.SetList(c.now(), out)
	c.updateElectorate()
}

// updateElectorate passes the lease the instances whose promises it needs. The caller holds the lock.
func (c *control) updateElectorate() {
	var e lease.Electorate
	listed, known := c.view.RequiredPeers()
	if known {
		for _, m := range c.members.ActiveMembers() {
			e.Members = append(e.Members, m.Incarnation)
		}
	}
	e.Listed = listed
	c.lease.SetElectorate(e)
}

// records applies entries of the control stream to the folds.
func (c *control) records(entries []record.Entry, next uint64) {
	c.mu.Lock()
	now := c.now()
	var ended []string
	wasBuffering := c.buffering
	entries = c.entriesToFold(entries)
	// An imported snapshot may change any member and engine.
	membersChanged := wasBuffering && !c.buffering
	var engines []string
	for _, e := range entries {
		if id := c.ownership.Apply(e); id != "" {
			engines = append(engines, id)
		}
		if c.members.Apply(e) {
			c.daemon.events.record(event.Event{Kind: event.Membership, Peer: e.Incarnation, Code: string(e.Kind), Sequence: e.Offset})
			membersChanged = true
			c.view.SetMembers(now, c.members.ActiveMembers())
			for _, m := range c.members.EndedMembers() {
				c.promises.Refuse(m.Incarnation)
				ended = append(ended, m.Incarnation)
			}
		}
		c.shares.Apply(now, e)
	}
	if c.joinedAt == 0 && c.members.Active(c.daemon.opts.Incarnation) {
		c.joinedAt = now
	}
	c.settlement.ControlApplied(now)
	c.updateGate(engines, membersChanged)
	c.positions[lease.Control] = max(c.positions[lease.Control], next)
	c.lease.Advance(c.positions)
	c.updateElectorate()
	c.checkWithdrawn()
	c.wakeWaiters()
	c.mu.Unlock()
	for _, e := range entries {
		c.daemon.applyControlRecord(e)
	}
	for _, incarnation := range ended {
		c.daemon.scheduler.ForgetPeer(incarnation)
	}
	c.daemon.actions.notifyAll()
	if membersChanged || len(engines) > 0 {
		c.daemon.owners.observe(func(e *ownedEngine) bool { return membersChanged || slices.Contains(engines, e.id) })
	}
}

// checkWithdrawn ends the membership if the log says that it is over or the share ledger is faulty. The
// caller holds the lock.
func (c *control) checkWithdrawn() {
	if !c.members.Ended(c.daemon.opts.Incarnation) && !c.shares.Faulty() {
		return
	}
	c.endMembership()
}

// endMembership invalidates the lease permanently and makes Run return ErrWithdrawn. The caller holds the
// lock.
func (c *control) endMembership() {
	c.lease.Withdraw()
	select {
	case <-c.withdrawn:
	default:
		close(c.withdrawn)
	}
}

// wakeWaiters makes requests that wait for tokens try again. The caller holds the lock.
func (c *control) wakeWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) atTail(asked time.Time, _ uint64) {
	c.mu.Lock()
	buffering := c.buffering
	c.mu.Unlock()
	if !buffering {
		c.recordTailRead(lease.Control, asked)
	}
}

// recordTailRead renews the lease after a read that was sent at the given time has reached a stream's
// tail.
func (c *control) recordTailRead(s lease.Stream, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = false
	c.lease.LogAnswered()
	c.lease.ReadTail(s, asked.Sub(c.start))
}

// recordConfigPosition records the position up to which the configuration stream has been folded.
func (c *control) recordConfigPosition(next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.positions[lease.Config] = max(c.positions[lease.Config], next)
	c.lease.Advance(c.positions)
}

func (c *control) recordLogFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = true
	c.lease.LogFailed()
}

// gap is called when the log's retention has dropped records that were not read. An instance that may have
// missed the end of its own or another membership does not know the value of its shares, so it joins again
// as a new incarnation.
func (c *control) gap(first uint64) {
	c.daemon.log.Warn().Uint64("first", first).Msg("records of the control stream expired before they were read")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members.Next() == 0 {
		// A new process continues to read and takes the state from the next snapshot.
		c.buffering, c.bufferedFrom, c.buffered = true, first, nil
		return
	}
	c.endMembership()
}

// configure applies the workspaces' rates and the weight store's limits of a configuration.
func (c *control) configure(v *config.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	current := map[string]struct{}{}
	for id, w := range v.Workspaces() {
		current[id] = struct{}{}
		c.shares.Configure(now, id, microtokens(w.TokensPerSecond), microtokens(w.BurstTokens))
	}
	if store := v.Fleet().WeightStore; store.LoadsPerSecond > 0 {
		current[loadsAccount] = struct{}{}
		c.shares.Configure(now, loadsAccount, microtokens(store.LoadsPerSecond), microtokens(float64(max(store.MaxInFlight, 1))))
	}
	for id := range c.workspaces {
		if _, ok := current[id]; !ok {
			c.shares.Remove(now, id)
		}
	}
	c.workspaces = current
}

func microtokens(tokens float64) int64 {
	return int64(min(tokens*float64(shares.Microtokens), float64(shares.MaxMicrotokens)))
}

// recordRefusedConnection records that a host refused a connection, which shows that the process that
// listened there has exited.
func (c *control) recordRefusedConnection(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.view.Peers(c.now()) {
		if p.PeerAddr == address {
			c.view.RecordRefusal(p.Instance, p.Incarnation)
		}
	}
	c.updateElectorate()
}
