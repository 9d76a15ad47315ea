package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
)

// peerClients sends messages to other instances by address.
type peerClients interface {
	Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	Transfer(ctx context.Context, addr string, r *peerpb.TransferRequest) (*peerpb.TransferResponse, error)
	RequestShare(ctx context.Context, addr string, r *peerpb.ShareRequest) (*peerpb.ShareResponse, error)
	FrozenCounters(ctx context.Context, addr string, r *peerpb.FrozenCountersRequest) (*peerpb.FrozenCountersResponse, error)
	Spend(ctx context.Context, addr string, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error)
	FetchState(ctx context.Context, addr string) ([]byte, error)
}

// step starts everything that is due: records to append and messages to send.
func (c *control) step(ctx context.Context) {
	// LocalService takes the scheduler's lock, which must be taken before this one.
	localService := c.daemon.scheduler.LocalService()
	c.mu.Lock()
	now := c.now()
	var sends []func()
	for _, env := range c.dueRecords(now) {
		sends = append(sends, func() { c.appendRecord(ctx, env) })
	}
	sends = append(sends, c.dueHeartbeats(ctx, now, localService)...)
	sends = append(sends, c.dueTransfers(ctx, now)...)
	sends = append(sends, c.dueCounterRequests(ctx, now)...)
	lost := c.leaseChanged(now)
	if fetch := c.dueConfigFetch(ctx, now); fetch != nil {
		sends = append(sends, fetch)
	}
	c.updateElectorate()
	c.wakeWaiters()
	c.mu.Unlock()
	for _, send := range sends {
		go send()
	}
	if lost {
		c.daemon.entry.LeaseLost()
	}
}

// leaseChanged records a change of the lease's validity and reports whether the lease was lost. The caller
// holds the lock.
func (c *control) leaseChanged(now time.Duration) bool {
	valid := c.lease.Valid(now) || c.unjoinedMayServe(now)
	if valid == c.leaseWasValid {
		return false
	}
	c.leaseWasValid = valid
	c.daemon.recordLeaseChange(valid)
	return !valid
}

// dueRecords returns the records to append now. The caller holds the lock.
func (c *control) dueRecords(now time.Duration) []record.Envelope {
	var out []record.Envelope
	self := c.daemon.opts.Incarnation
	add := func(kind record.Kind, id string, body any) {
		// These bodies are structs of strings and integers, which always encode.
		if env, err := record.New(kind, id, self, body); err == nil {
			out = append(out, env)
		}
	}
	if !c.leaving && !c.members.Active(self) && !c.members.Ended(self) && now-c.joinAppendedAt >= joinRetryInterval {
		c.joinAppendedAt = now
		s := c.daemon.settings
		add(members.KindJoin, self+"/join", members.Join{
			Instance: s.Instance, PeerAddr: s.PeerAddress, DataCentre: s.DataCentre, Previous: c.daemon.opts.Previous,
		})
	}
	for _, ws := range c.settlement.DueGrants(now) {
		add(ledger.KindGrant, uuid.NewString(), ledger.Grant{Workspace: ws})
	}
	if r, ok := c.settlement.Regrant(now); ok {
		add(ledger.KindRegrant, uuid.NewString(), r)
	}
	return out
}

func (c *control) appendRecord(ctx context.Context, env record.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.tail.Append(ctx, []record.Envelope{env}); err != nil {
		c.recordLogFailure()
	}
}

// dueHeartbeats returns functions that send the due heartbeats and append the due withdrawals. The caller
// holds the lock.
func (c *control) dueHeartbeats(ctx context.Context, now time.Duration, localService map[string]float64) []func() {
	var out []func()
	actions := c.view.Tick(now)
	for _, w := range actions.Withdraw {
		env, err := record.New(members.KindWithdraw, uuid.NewString(), c.daemon.opts.Incarnation, w)
		if err == nil {
			out = append(out, func() { c.appendRecord(ctx, env) })
		}
	}
	if len(actions.Heartbeat) == 0 {
		if len(c.members.ActiveMembers()) == 1 {
			c.lease.RecordOwnVote(now)
		}
		return out
	}
	c.lease.RecordOwnVote(now)
	reports := c.shares.Reports(now)
	for i := range reports {
		reports[i].LocalService = localService[reports[i].Workspace]
	}
	addresses := map[string]string{}
	for _, p := range c.view.Peers(now) {
		addresses[p.Instance] = p.PeerAddr
	}
	c.dropReportSenders(addresses)
	silent := c.view.SilentMembers(now)
	for _, instance := range actions.Heartbeat {
		if address := addresses[instance]; address != "" {
			request := c.heartbeat(now, instance, reports, silent)
			out = append(out, func() { c.sendHeartbeat(ctx, instance, address, now, request) })
		}
	}
	return out
}

// heartbeat returns the heartbeat to send to a peer. Reports and silent members are passed in because they
// are the same for all peers, and the time to list the silent members grows with the number of members.
// The caller holds the lock.
func (c *control) heartbeat(now time.Duration, instance string, reports []shares.Report, silent []string) *peerpb.HeartbeatRequest {
	sender := c.reportSenders[instance]
	if sender == nil {
		sender = shares.NewReportSender()
		c.reportSenders[instance] = sender
	}
	c.heartbeatCount++
	m := sender.Next(now, c.heartbeatCount, reports)
	return &peerpb.HeartbeatRequest{
		Instance: c.daemon.settings.Instance, Incarnation: c.daemon.opts.Incarnation,
		Positions: peer.PositionMessages(c.positions), Hlc: c.daemon.events.hlcNow(),
		Demand: peer.DemandMessages(m.Reports), ReportSequence: m.Sequence, ReportCount: uint32(m.Count),
		WantPromise: c.lease.WantPromise(), Silent: silent,
		Ready: c.sharesHeld(), LeaseValid: c.lease.Valid(now),
	}
}

// dropReportSenders drops the senders for instances that are no longer peers. The caller holds the lock.
func (c *control) dropReportSenders(peers map[string]string) {
	for instance := range c.reportSenders {
		if _, ok := peers[instance]; !ok {
			delete(c.reportSenders, instance)
		}
	}
}

func (c *control) sendHeartbeat(ctx context.Context, instance, address string, asked time.Duration, r *peerpb.HeartbeatRequest) {
	response, err := c.peers.Heartbeat(ctx, address, r)
	if err != nil {
		return
	}
	c.daemon.events.observeHLC(response.GetHlc())
	positions := peer.Positions(response.GetPositions())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordMemberResponse(address, asked, response.GetLeaseValid(), positions[lease.Config])
	if c.members.Ended(response.GetIncarnation()) {
		return
	}
	c.view.RecordHeartbeat(c.now(), instance, response.GetIncarnation(), positions[lease.Control], nil)
	if sender := c.reportSenders[instance]; sender != nil {
		sender.Acknowledged(r.GetReportSequence(), response.GetIncarnation(), response.GetReportsMissing())
	}
	if response.GetPromised() {
		c.lease.RecordPromise(lease.Promise{
			Instance: instance, Incarnation: response.GetIncarnation(), Asked: asked, Positions: positions,
		})
	}
}

// address returns the address of an incarnation, or an empty string if it is unknown. The caller holds the
// lock.
func (c *control) address(incarnation string) string {
	m, ok := c.members.Get(incarnation)
	if !ok {
		return ""
	}
	return m.PeerAddr
}

// dueTransfers returns functions that send the due transfers and share requests. The caller holds the
// lock.
func (c *control) dueTransfers(ctx context.Context, now time.Duration) []func() {
	list := c.shares.Rebalance(now)
	if now-c.transfersResentAt >= resendInterval {
		c.transfersResentAt = now
		for _, m := range c.members.ActiveMembers() {
			list = append(list, c.shares.Counters().Pending(m.Incarnation)...)
		}
	}
	out := c.transferSends(ctx, list)
	return append(out, c.shareRequestSends(ctx)...)
}

// transferSends returns functions that send the transfers. The caller holds the lock.
func (c *control) transferSends(ctx context.Context, list []ledger.Transfer) []func() {
	var out []func()
	for _, t := range list {
		if address := c.address(t.To); address != "" {
			out = append(out, func() { c.sendTransfer(ctx, address, t) })
		}
	}
	return out
}

func (c *control) sendTransfer(ctx context.Context, address string, t ledger.Transfer) {
	c.daemon.events.record(event.Event{
		Kind: event.Transfer, Workspace: t.Workspace, Peer: t.To, Parts: t.Parts, Tokens: t.Microtokens / shares.Microtokens,
		Sequence: t.Number,
	})
	response, err := c.peers.Transfer(ctx, address, peer.TransferMessage(t))
	if err != nil || !response.GetAccepted() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.Acknowledged(t.To, t.Number)
}

// shareRequestSends returns functions that request shares from peers. The caller holds the lock.
func (c *control) shareRequestSends(ctx context.Context) []func() {
	var out []func()
	for _, q := range c.shares.TakeShareRequests() {
		if address := c.address(q.To); address != "" {
			message := peer.ShareRequestMessage(c.daemon.opts.Incarnation, q)
			// The response is not needed: the transfer, which the peer sends separately, contains the same data.
			out = append(out, func() { _, _ = c.peers.RequestShare(ctx, address, message) })
		}
	}
	return out
}

// dueCounterRequests returns functions that request the missing frozen counters from peers. The caller
// holds the lock.
func (c *control) dueCounterRequests(ctx context.Context, now time.Duration) []func() {
	ended, from := c.settlement.MissingCounters(now)
	if len(from) == 0 || now-c.countersRequestedAt < resendInterval {
		return nil
	}
	c.countersRequestedAt = now
	var out []func()
	for _, incarnation := range from {
		if address := c.address(incarnation); address != "" {
			out = append(out, func() { c.requestCounters(ctx, incarnation, address, ended) })
		}
	}
	return out
}

func (c *control) requestCounters(ctx context.Context, incarnation, address string, ended []string) {
	response, err := c.peers.FrozenCounters(ctx, address, &peerpb.FrozenCountersRequest{WithdrawnIncarnations: ended})
	if err != nil || !response.GetFrozen() || response.GetIncarnation() != incarnation {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settlement.RecordCounters(incarnation, ended, peer.Counters(response.GetCounters()))
}

// reserveTokens reserves tokens for a request. It waits up to shares.MaxWait for transfers, and returns
// shares.Wait if the request ends earlier. An unjoined instance has a peer spend the tokens instead.
func (c *control) reserveTokens(ctx context.Context, workspace string, tokens int) (shares.Reservation, shares.Outcome) {
	amount := microtokens(float64(tokens))
	c.mu.Lock()
	if c.unjoinedMayServe(c.now()) {
		c.mu.Unlock()
		return shares.Reservation{}, c.spendAtPeer(ctx, workspace, amount)
	}
	c.mu.Unlock()
	return c.reserveMicrotokens(ctx, workspace, amount)
}

// reserveMicrotokens reserves tokens of this instance's own share.
func (c *control) reserveMicrotokens(ctx context.Context, workspace string, amount int64) (shares.Reservation, shares.Outcome) {
	a := reserveAttempt{workspace: workspace, amount: amount}
	for c.tryReserve(ctx, &a); a.outcome == shares.Wait && ctx.Err() == nil; c.tryReserve(ctx, &a) {
		for _, send := range a.sends {
			go send()
		}
		c.waitForChange(ctx, a.changed, a.left)
	}
	return a.reservation, a.outcome
}

// reserveAttempt is an attempt to reserve tokens.
type reserveAttempt struct {
	workspace string
	amount    int64
	// tried is set after the first try, which determines the deadline.
	tried       bool
	deadline    time.Duration
	reservation shares.Reservation
	outcome     shares.Outcome
	// If the outcome is shares.Wait, sends request shares from peers, and changed and left say until when to wait for them.
	sends   []func()
	changed <-chan struct{}
	left    time.Duration
}

// tryReserve tries to reserve tokens once.
func (c *control) tryReserve(ctx context.Context, a *reserveAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.tried {
		a.reservation, a.outcome = c.shares.Retry(c.now(), a.workspace, a.amount, a.deadline)
	} else {
		a.reservation, a.deadline, a.outcome = c.shares.Reserve(c.now(), a.workspace, a.amount)
		a.tried = true
	}
	if a.outcome == shares.Wait && ctx.Err() == nil {
		a.sends, a.changed, a.left = c.shareRequestSends(ctx), c.changed, a.deadline-c.now()
	}
}

func (c *control) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// settleTokens ends a reservation and charges the tokens that the request used.
func (c *control) settleTokens(r shares.Reservation, used int) {
	if r == (shares.Reservation{}) {
		// A peer spent the tokens, so there is no reservation.
		return
	}
	c.settleMicrotokens(r, microtokens(float64(used)))
}

func (c *control) settleMicrotokens(r shares.Reservation, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.Settle(c.now(), r, used)
}

// TakeLoad implements dispatch.LoadBudget: one load is one token of the weight store's account. The
// instance that requests a load pays for it, so that its queue preserves the order among workspaces. The
// engine's owner charges each load to exactly one instance.
func (c *control) TakeLoad(time.Time) (func(charged bool), bool) {
	c.mu.Lock()
	if _, limited := c.workspaces[loadsAccount]; !limited {
		valid := c.lease.Valid(c.now())
		c.mu.Unlock()
		return func(bool) {}, valid
	}
	r, _, outcome := c.shares.Reserve(c.now(), loadsAccount, shares.Microtokens)
	sends := c.shareRequestSends(context.Background())
	c.mu.Unlock()
	for _, send := range sends {
		go send()
	}
	if outcome != shares.Granted {
		return nil, false
	}
	return func(charged bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		spent := int64(0)
		if charged {
			spent = shares.Microtokens
		}
		c.shares.Settle(c.now(), r, spent)
	}, true
}
