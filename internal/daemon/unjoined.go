package daemon

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// unjoinedState is the state of an instance that started while the log service is down. It cannot join, so
// it has no shares and no lease of its own. It fetches the configuration from a member and serves as long
// as members with a valid lease confirm that this configuration is current. Such a member spends the
// tokens of every request.
//
// An unjoined instance uses only engines that protect adapters in use by themselves. It requests no loads,
// since the weight store's budget is also spent from shares, so it serves only resident adapters.
//
// Safety: a member with a valid lease knows every withdrawal that was accepted longer ago than the lease's
// duration. The member spends the tokens from its own share, so no token is spent twice.
type unjoinedState struct {
	// peer is the address of the member that confirmed the configuration last.
	peer string
	// confirmedAt is when the confirming heartbeat was sent. The confirmation is valid for lease.Duration.
	confirmedAt     time.Duration
	hasConfirmation bool
	// newestConfig is the highest configuration position that a member has reported, and source the
	// address of a member to fetch the configuration from.
	newestConfig uint64
	source       string
	lastFetch    time.Duration
}

// fetchInterval is the pause between two attempts to fetch the configuration.
const fetchInterval = 500 * time.Millisecond

// isUnjoined reports whether this instance has not joined while the log service is down and no planned
// stop has begun. The caller holds the lock.
func (c *control) isUnjoined() bool {
	return c.joinedAt == 0 && c.lease.WantPromise() && !c.leaving
}

// recordMemberResponse records a member's response to a heartbeat. The caller holds the lock.
func (c *control) recordMemberResponse(address string, asked time.Duration, valid bool, config uint64) {
	if !c.isUnjoined() || !valid {
		return
	}
	u := &c.unjoined
	if config > u.newestConfig || u.source == "" {
		u.newestConfig, u.source = max(u.newestConfig, config), address
	}
	if c.daemon.replica.ready() && c.positions[lease.Config] >= u.newestConfig {
		u.peer, u.confirmedAt, u.hasConfirmation = address, max(u.confirmedAt, asked), true
	}
}

// unjoinedMayServe reports whether the instance may serve without having joined. The caller holds the
// lock.
func (c *control) unjoinedMayServe(now time.Duration) bool {
	return c.isUnjoined() && c.unjoined.hasConfirmation && now < c.unjoined.confirmedAt+lease.Duration
}

// unjoinedMayUse reports whether an unjoined instance may dispatch to an engine. Owners do not ask it
// before they evict, so it uses only engines that check fences and evict only idle adapters. The caller
// holds the lock.
func (c *control) unjoinedMayUse(engine string) bool {
	e := c.daemon.fleet.Engine(engine)
	return e != nil && e.Config.ChecksFence && e.Config.EvictsOnlyIdle && c.unjoinedMayServe(c.now())
}

// mayServeUnjoined is unjoinedMayServe for callers that do not hold the lock.
func (c *control) mayServeUnjoined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unjoinedMayServe(c.now())
}

// dueConfigFetch returns a function that fetches a member's configuration if that is newer than this
// instance's, or nil. The caller holds the lock.
func (c *control) dueConfigFetch(ctx context.Context, now time.Duration) func() {
	u := &c.unjoined
	current := c.daemon.replica.ready() && c.positions[lease.Config] >= u.newestConfig
	if !c.isUnjoined() || u.source == "" || current || now-u.lastFetch < fetchInterval {
		return nil
	}
	u.lastFetch = now
	address := u.source
	return func() {
		data, err := c.peers.FetchState(ctx, address)
		if err == nil {
			err = c.daemon.replica.importState(data)
		}
		if err != nil {
			c.daemon.log.Warn().Err(err).Str("peer", address).Msg("fetching the configuration from a peer failed")
		}
	}
}

// spendAtPeer asks a member to spend a request's tokens.
func (c *control) spendAtPeer(ctx context.Context, workspace string, amount int64) shares.Outcome {
	c.mu.Lock()
	address, position := c.unjoined.peer, c.positions[lease.Config]
	c.mu.Unlock()
	response, err := c.peers.Spend(ctx, address, &peerpb.SpendRequest{
		Workspace: workspace, Microtokens: amount, ConfigNext: position,
	})
	if err != nil {
		return shares.NoLease
	}
	switch response.GetRefusal() {
	case "":
		return shares.Granted
	case refusalTooLarge:
		return shares.TooLarge
	case refusalShort:
		return shares.OverRate
	default:
		return shares.NoLease
	}
}

// The values of SpendResponse.refusal.
const (
	refusalShort    = "short"
	refusalTooLarge = "too_large"
	refusalStale    = "stale"
	refusalNoLease  = "no_lease"
)

// Spend implements peer.State. All tokens are spent at once: to refund unused tokens, this instance would
// have to keep a reservation for longer than the call.
func (c *control) Spend(ctx context.Context, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	stale, member := c.checkSpend(r)
	switch {
	case stale:
		return &peerpb.SpendResponse{Refusal: refusalStale}, nil
	case !member || r.GetMicrotokens() <= 0:
		return &peerpb.SpendResponse{Refusal: refusalNoLease}, nil
	}
	reservation, outcome := c.reserveMicrotokens(ctx, r.GetWorkspace(), r.GetMicrotokens())
	switch outcome {
	case shares.Granted:
		c.settleMicrotokens(reservation, r.GetMicrotokens())
		return &peerpb.SpendResponse{}, nil
	case shares.TooLarge:
		return &peerpb.SpendResponse{Refusal: refusalTooLarge}, nil
	case shares.OverRate:
		return &peerpb.SpendResponse{Refusal: refusalShort}, nil
	default:
		return &peerpb.SpendResponse{Refusal: refusalNoLease}, nil
	}
}

// checkSpend reports whether this instance has a newer configuration than the peer that asks it to spend tokens, and whether
// it is a member that may spend them.
func (c *control) checkSpend(r *peerpb.SpendRequest) (stale, member bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.GetConfigNext() < c.positions[lease.Config], c.lease.Valid(c.now()) && c.joinedAt > 0
}
