package daemon

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// guest is an instance that started while the log is down. It cannot join, so it holds no shares and has
// no lease of its own. It takes the configuration from a member and serves while members with a valid
// lease confirm that the configuration is current; every request's tokens are spent by such a member.
//
// It uses only engines that protect adapters in use by themselves, and orders no loads, since the weight store's budget is spent from shares too: only resident adapters
// serve through it.
//
// Safety: a member with a valid lease knows every withdrawal that was accepted more than the lease's
// duration ago, and the tokens come out of its own share, so nothing is spent twice.
type guest struct {
	// peer is the address of the member that confirmed last.
	peer string
	// confirmed is when that member was asked; it counts for lease.Duration.
	confirmed time.Duration
	has       bool
	// newest is the newest configuration position that a member stated.
	newest  uint64
	source  string
	fetched time.Duration
}

// fetchInterval is the pause between two attempts to fetch a state.
const fetchInterval = 500 * time.Millisecond

// isGuest reports whether this instance has to live on other members' shares. The caller holds the lock.
func (c *control) isGuest() bool {
	return c.joinedAt == 0 && c.lease.WantPromise() && !c.leaving
}

// guestHeard takes over what a member said in answer to a heartbeat. The caller holds the lock.
func (c *control) guestHeard(address string, asked time.Duration, valid bool, config uint64) {
	if !c.isGuest() || !valid {
		return
	}
	g := &c.guest
	if config > g.newest || g.source == "" {
		g.newest, g.source = max(g.newest, config), address
	}
	if c.daemon.replica.ready() && c.positions[lease.Config] >= g.newest {
		g.peer, g.confirmed, g.has = address, max(g.confirmed, asked), true
	}
}

// guestFresh reports whether the instance may serve as a guest. The caller holds the lock.
func (c *control) guestFresh(now time.Duration) bool {
	return c.isGuest() && c.guest.has && now < c.guest.confirmed+lease.Duration
}

// guestMayUse reports whether a guest may dispatch to an engine. Owners do not ask a guest before they
// evict, so it uses only engines that refuse stale owners and evict idle adapters only. The caller holds
// the lock.
func (c *control) guestMayUse(engine string) bool {
	e := c.daemon.fleet.Engine(engine)
	return e != nil && e.Config.ChecksFence && e.Config.EvictsOnlyIdle && c.guestFresh(c.now())
}

// guestValid is guestFresh for callers without the lock.
func (c *control) guestValid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guestFresh(c.now())
}

// dueFetch returns the function that fetches a member's configuration, if a newer one is known of. The
// caller holds the lock.
func (c *control) dueFetch(ctx context.Context, now time.Duration) func() {
	g := &c.guest
	current := c.daemon.replica.ready() && c.positions[lease.Config] >= g.newest
	if !c.isGuest() || g.source == "" || current || now-g.fetched < fetchInterval {
		return nil
	}
	g.fetched = now
	address := g.source
	return func() {
		data, err := c.peers.FetchState(ctx, address)
		if err == nil {
			err = c.daemon.replica.restore(data)
		}
		if err != nil {
			c.daemon.log.Warn().Err(err).Str("peer", address).Msg("the configuration could not be fetched from a peer")
		}
	}
}

// spendAtPeer has a member spend a request's tokens.
func (c *control) spendAtPeer(ctx context.Context, workspace string, amount int64) shares.Outcome {
	c.mu.Lock()
	address, position := c.guest.peer, c.positions[lease.Config]
	c.mu.Unlock()
	answer, err := c.peers.Spend(ctx, address, &peerpb.SpendRequest{
		Workspace: workspace, Microtokens: amount, ConfigNext: position,
	})
	if err != nil {
		return shares.NoLease
	}
	switch answer.GetRefusal() {
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

// The refusals of Spend.
const (
	refusalShort    = "short"
	refusalTooLarge = "too_large"
	refusalStale    = "stale"
	refusalNoLease  = "no_lease"
)

// Spend implements peer.State. The tokens are spent in full, since the guest cannot return a rest without
// a reservation that would outlive it here.
func (c *control) Spend(ctx context.Context, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	c.mu.Lock()
	stale := r.GetConfigNext() < c.positions[lease.Config]
	member := c.lease.Valid(c.now()) && c.joinedAt > 0
	c.mu.Unlock()
	switch {
	case stale:
		return &peerpb.SpendResponse{Refusal: refusalStale}, nil
	case !member || r.GetMicrotokens() <= 0:
		return &peerpb.SpendResponse{Refusal: refusalNoLease}, nil
	}
	reservation, outcome := c.takeMicrotokens(ctx, r.GetWorkspace(), r.GetMicrotokens())
	switch outcome {
	case shares.Granted:
		c.mu.Lock()
		c.shares.Settle(c.now(), reservation, r.GetMicrotokens())
		c.mu.Unlock()
		return &peerpb.SpendResponse{}, nil
	case shares.TooLarge:
		return &peerpb.SpendResponse{Refusal: refusalTooLarge}, nil
	case shares.OverRate:
		return &peerpb.SpendResponse{Refusal: refusalShort}, nil
	default:
		return &peerpb.SpendResponse{Refusal: refusalNoLease}, nil
	}
}
