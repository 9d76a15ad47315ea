package daemon

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

const (
	// balancerDelay is how long an instance serves on after its readiness went off, so that the
	// balancer has noticed before new work is refused.
	balancerDelay = 2 * time.Second
	// drainPoll is how often the steps of a drain are looked at.
	drainPoll = 50 * time.Millisecond
	// handOverTimeout bounds the hand-over of shares and the leave record. What is not handed over
	// by then is regranted after the withdrawal.
	handOverTimeout = 5 * time.Second
)

// drain stops without cutting a request off: readiness off, new work refused, requests finished, calls
// that may not be repeated recorded, shares handed over, membership ended.
func (d *Daemon) drain(ctx context.Context) {
	d.draining.Store(true)
	d.log.Info().Int("in_flight", d.entry.InFlight()).Msg("draining")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Limits.DrainSeconds)*time.Second)
	defer cancel()
	for _, s := range d.servers {
		// Callers then open a new connection for their next request, elsewhere.
		s.SetKeepAlivesEnabled(false)
	}
	pauseFor(ctx, balancerDelay)
	d.refusing.Store(true)
	for _, s := range d.servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Int("cut_requests", d.entry.InFlight()).Msg("requests were cut off by the end of the drain time")
		}
	}
	waitUntil(ctx, func() bool { return d.actions.inProgress() == 0 })
	d.finishOrders(ctx)
	d.control.leave(ctx)
	d.log.Info().Msg("drained")
}

// finishOrders lets the orders to owned engines end, so that the next owners know what the engines hold.
func (d *Daemon) finishOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	waitUntil(ctx, d.owners.quiet)
}

func pauseFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitUntil waits until the condition holds or the context ends.
func waitUntil(ctx context.Context, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		pauseFor(ctx, drainPoll)
	}
}

// leave hands all shares over and ends the membership. When the log is down, the others withdraw this
// incarnation later and settle what it still holds.
func (c *control) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	waitUntil(ctx, func() bool { return c.handOver(ctx) })
	c.mu.Lock()
	c.promises.RefuseAll()
	env, err := record.New(members.KindLeave, c.daemon.opts.Incarnation+"/leave", c.daemon.opts.Incarnation, members.Leave{})
	c.mu.Unlock()
	if err != nil {
		return
	}
	waitUntil(ctx, func() bool {
		c.appendRecord(ctx, env)
		pauseFor(ctx, drainPoll)
		return c.gone(c.daemon.opts.Incarnation)
	})
}

// handOver sends everything that this instance holds to its peers and reports whether all of it was
// accepted. Alone, there is nobody to hand over to.
func (c *control) handOver(ctx context.Context) bool {
	c.mu.Lock()
	sends := c.sendTransfers(ctx, c.shares.HandOver(c.now()))
	var pending []ledger.Transfer
	for _, m := range c.members.ActiveMembers() {
		pending = append(pending, c.shares.Counters().Pending(m.Incarnation)...)
	}
	if len(sends) == 0 {
		sends = c.sendTransfers(ctx, pending)
	}
	c.mu.Unlock()
	for _, send := range sends {
		send()
	}
	return len(pending) == 0
}
