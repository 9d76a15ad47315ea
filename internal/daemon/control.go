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
	// controlTick is how often membership, shares and lease are looked at.
	controlTick = 100 * time.Millisecond
	// joinRetry is the pause before the join record is appended again. Its fold drops doubles.
	joinRetry = 3 * time.Second
	// listInterval is how often the platform's list is read.
	listInterval = time.Second
	// resendInterval is the pause before unacknowledged transfers and unanswered questions are sent again.
	resendInterval = 300 * time.Millisecond
	// loadsAccount holds the weight store's budget in the share ledger: one token is one load. The
	// name cannot be a workspace's, whose ids begin with a letter or a digit.
	loadsAccount = "~loads"
)

// peerState is what a peer's last heartbeat said of it.
type peerState struct {
	incarnation string
	// config is the position in the configuration stream up to which its state is in force.
	config     uint64
	ready      bool
	leaseValid bool
	// reports is what this incarnation reported of its workspaces.
	reports *shares.ReportReceiver
}

// control is the instance's part in the fleet: membership, freshness lease and token shares. One lock
// guards all decision types; it is never held during I/O. Of the locks of this package, only the gate's is
// taken while it is held; those of owners and of the scheduler are taken before it.
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
	// ownership is the fold of claims and slot orders.
	ownership *ownership.Fold
	// goneAt is when the end of a member was first read.
	goneAt map[string]time.Time
	// logDown is set from a failed read or append until the next answer.
	logDown bool
	// heard is what peers said of themselves in their last heartbeat, by instance.
	heard map[string]peerState
	// reporting is what each peer was told of this instance's workspaces, by instance.
	reporting map[string]*shares.ReportSender
	// beats counts the heartbeats made, which numbers their reports.
	beats      uint64
	workspaces map[string]struct{}
	joinTried  time.Duration
	resent     time.Duration
	asked      time.Duration
	wasValid   bool
	// joinedAt is when this incarnation was first seen as a member.
	joinedAt time.Duration
	leaving  bool
	// buffering is set while records before bufferedFrom are missing and no snapshot was read that
	// covers them; buffered holds the records read since.
	buffering    bool
	bufferedFrom uint64
	buffered     []record.Entry
	snapshotAt   time.Time
	guest        guest
	// changed is closed and replaced when tokens may have arrived.
	changed chan struct{}
	// withdrawn is closed when this incarnation's membership has ended.
	withdrawn chan struct{}
}

func newControl(d *Daemon) *control {
	c := &control{
		daemon: d, start: time.Now(), members: members.New(), ownership: ownership.NewFold(), goneAt: map[string]time.Time{}, promises: lease.NewPromiser(),
		workspaces: map[string]struct{}{}, heard: map[string]peerState{}, reporting: map[string]*shares.ReportSender{},
		changed: make(chan struct{}), withdrawn: make(chan struct{}),
		joinTried: -joinRetry, resent: -resendInterval, asked: -resendInterval,
	}
	self := d.opts.Incarnation
	c.view = membership.New(d.settings.Instance, self)
	c.lease = lease.New(self)
	c.shares = shares.New(self, c.members, c.lease)
	c.settlement = shares.NewSettlement(c.shares, c.promises)
	c.tail = tail.New(d.platformLog, platform.StreamControl, 0, tail.Handlers{
		Records: c.records, Gap: c.gap, AtTail: c.atTail, Unavailable: func(error) { c.logFailed() },
	})
	return c
}

// addTo starts the stream's reader and the control loop.
func (c *control) addTo(s *suture.Supervisor) {
	s.Add(c.tail)
	s.Add(c)
}

// now is the local monotonic time.
func (c *control) now() time.Duration { return time.Since(c.start) }

// valid reports whether the instance may act.
func (c *control) valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Valid(c.now())
}

// shareWait is how long a new member waits for shares of every workspace before it counts as ready. Its
// peers push them with their next heartbeats, unless they are cut off from it.
const shareWait = 5 * time.Second

// hasShares reports whether the instance holds a share of every workspace, or has waited long enough for
// them. A new instance without shares would refuse requests within rate.
func (c *control) hasShares() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sharesHeld()
}

// sharesHeld is hasShares for callers that hold the lock.
func (c *control) sharesHeld() bool {
	if c.guestFresh(c.now()) {
		return true
	}
	if c.joinedAt == 0 {
		return false
	}
	if c.now()-c.joinedAt >= shareWait {
		return true
	}
	for id := range c.workspaces {
		if c.shares.Parts(id) == 0 {
			return false
		}
	}
	return true
}

// gone reports whether an incarnation's membership has ended.
func (c *control) gone(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members.Ended(incarnation)
}

// Serve runs the control loop. It implements suture.Service.
func (c *control) Serve(ctx context.Context) error {
	go c.readList(ctx)
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

// readList follows the platform's list. A failed look-up leaves the last list in force.
func (c *control) readList(ctx context.Context) {
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

// updateElectorate tells the lease whose promises it needs. The caller holds the lock.
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

// records folds entries of the control stream.
func (c *control) records(entries []record.Entry, next uint64) {
	c.mu.Lock()
	now := c.now()
	var ended []string
	restored := c.buffering
	entries = c.receive(entries)
	// A snapshot that was taken over may concern any member and engine.
	membersChanged := restored && !c.buffering
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
	c.observeSlots(engines, membersChanged)
	c.positions[lease.Control] = max(c.positions[lease.Control], next)
	c.lease.Advance(c.positions)
	c.updateElectorate()
	c.noteWithdrawn()
	c.wake()
	c.mu.Unlock()
	for _, e := range entries {
		c.daemon.controlRecord(e)
	}
	for _, incarnation := range ended {
		c.daemon.scheduler.ForgetPeer(incarnation)
	}
	c.daemon.actions.observeAll()
	if membersChanged || len(engines) > 0 {
		c.daemon.owners.observe(func(e *ownedEngine) bool { return membersChanged || slices.Contains(engines, e.id) })
	}
}

// noteWithdrawn ends the lease when this incarnation's membership is over. The caller holds the lock.
func (c *control) noteWithdrawn() {
	if !c.members.Ended(c.daemon.opts.Incarnation) && !c.shares.Faulty() {
		return
	}
	c.endMembership()
}

// endMembership ends this incarnation: it acts no more, and Run returns ErrWithdrawn. The caller holds the
// lock.
func (c *control) endMembership() {
	c.lease.Withdraw()
	select {
	case <-c.withdrawn:
	default:
		close(c.withdrawn)
	}
}

// wake lets requests that wait for tokens try again. The caller holds the lock.
func (c *control) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) atTail(asked time.Time, _ uint64) {
	c.mu.Lock()
	buffering := c.buffering
	c.mu.Unlock()
	if !buffering {
		c.readTail(lease.Control, asked)
	}
}

// readTail renews the lease after a read reached a stream's tail.
func (c *control) readTail(s lease.Stream, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = false
	c.lease.LogAnswered()
	c.lease.ReadTail(s, asked.Sub(c.start))
}

// configRead records the position of the configuration's fold.
func (c *control) configRead(next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.positions[lease.Config] = max(c.positions[lease.Config], next)
	c.lease.Advance(c.positions)
}

func (c *control) logFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = true
	c.lease.LogFailed()
}

// gap is called when retention dropped records that were not read. An instance that missed the end of
// its own or another membership cannot tell what its shares are worth, so it joins anew.
func (c *control) gap(first uint64) {
	c.daemon.log.Warn().Uint64("first", first).Msg("records of the control stream expired before they were read")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members.Next() == 0 {
		// A new process reads on and takes the state from the next snapshot.
		c.buffering, c.bufferedFrom, c.buffered = true, first, nil
		return
	}
	c.endMembership()
}

// configure takes over the workspaces' rates and the weight store's limits.
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

// refused records that a host refused a connection: the process that listened there is gone.
func (c *control) refused(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.view.Peers(c.now()) {
		if p.PeerAddr == address {
			c.view.RecordRefusal(p.Instance, p.Incarnation)
		}
	}
	c.updateElectorate()
}
