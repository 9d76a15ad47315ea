package daemon

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/drain"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/keepalive"
)

const (
	// balancerDelay is how long an instance continues to accept requests after it reports unready, so that
	// the load balancer stops sending requests before they are refused.
	balancerDelay = 2 * time.Second
	// idleInDrain is how long a drain leaves a connection open after its last answer, which asks the caller to close it.
	idleInDrain = 500 * time.Millisecond
	// drainPollInterval is how often a drain checks whether its current step has finished.
	drainPollInterval = 50 * time.Millisecond
	// handOverTimeout bounds the transfer of the shares together with the leave record. Shares that are
	// not transferred by then are granted again after the withdrawal.
	handOverTimeout = 5 * time.Second
	// exitMargin is how long before the end of the grace period the instance ends the requests that it still serves, so
	// that it can answer them and hand over what it holds. In a short grace period it is exitMarginShare of it.
	exitMargin      = 2 * time.Second
	exitMarginShare = 0.25
	// answerTimeout bounds the wait for the answers to these requests.
	answerTimeout = time.Second
)

// stopPeriod is when a planned stop began, when the requests that are still served are ended, and when the instance exits.
type stopPeriod struct{ began, ends, exit time.Time }

func newStopPeriod(grace time.Duration) *stopPeriod {
	now := time.Now()
	margin := min(exitMargin, time.Duration(exitMarginShare*float64(grace)))
	return &stopPeriod{began: now, ends: now.Add(grace - margin), exit: now.Add(grace)}
}

func (d *Daemon) draining() bool { return d.stop.Load() != nil }

// admitRun returns the reason why a request must not be run that ends at the deadline in any case, or nil.
func (d *Daemon) admitRun(deadline time.Time, stream bool) error {
	stop := d.stop.Load()
	if stop == nil {
		return nil
	}
	r := drain.Request{Timeout: time.Until(deadline), Stream: stream}
	if !drain.Accepts(r, time.Since(stop.began), time.Until(stop.ends)) {
		return entry.ErrDraining
	}
	return nil
}

// drain stops the instance without cutting off a request. It reports unready, refuses new requests, waits
// for the requests in flight and for the recording of non-idempotent calls, hands the shares over and ends
// the membership. Requests that last too long get an error; only answers that have begun are cut off.
func (d *Daemon) drain(ctx context.Context) {
	stop := newStopPeriod(time.Duration(d.settings.Limits.DrainSeconds) * time.Second)
	d.stop.Store(stop)
	d.log.Info().Int("in_flight", d.entry.InFlight()).Msg("draining")
	ctx, cancel := context.WithDeadline(ctx, stop.exit)
	defer cancel()
	serving, cancelServing := context.WithDeadline(ctx, stop.ends)
	defer cancelServing()
	pauseFor(serving, balancerDelay)
	d.refusing.Store(true)
	d.drainConnections(ctx, serving)
	waitUntil(ctx, func() bool { return d.actions.inProgress() == 0 })
	d.waitForOrders(ctx)
	d.control.leave(ctx)
	d.log.Info().Msg("drained")
}

// drainConnections closes the listeners, waits until the open connections are idle and closes them. When serving has
// ended, it ends the requests that are still served.
func (d *Daemon) drainConnections(ctx, serving context.Context) {
	for _, l := range d.listeners {
		if err := l.Stop(ctx); err != nil {
			d.log.Warn().Err(err).Str("address", l.Addr().String()).Msg("listener not closed")
		}
	}
	// Shutdown would drop requests that it has not read to the end of their headers.
	if err := d.connections.Drain(serving, keepalive.DrainTimes{Idle: idleInDrain}); err != nil {
		d.log.Warn().Err(err).Int("ended_requests", d.entry.InFlight()).Msg("drain time ended before all requests had finished; ending them")
		d.actions.stop()
		d.entry.Stop()
		answering, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		if err := d.connections.Drain(answering, keepalive.DrainTimes{}); err != nil {
			d.log.Warn().Err(err).Int("cut_requests", d.entry.InFlight()).Msg("connections still open at the exit; cutting them off")
		}
	}
	for _, s := range d.servers {
		// The listeners are closed already, and what is still open is cut off intentionally.
		_ = s.Close()
	}
}

// waitForOrders waits until the orders to owned engines have ended, so that the next owners know the
// engines' contents.
func (d *Daemon) waitForOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	waitUntil(ctx, d.owners.ordersFinished)
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
		pauseFor(ctx, drainPollInterval)
	}
}

// leave hands over all shares and ends the membership. If the log service is down, the other instances
// withdraw this incarnation later and settle its remaining shares.
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
		pauseFor(ctx, drainPollInterval)
		return c.membershipEnded(c.daemon.opts.Incarnation)
	})
}

// handOver sends all of this instance's shares to its peers and reports whether all transfers have been
// acknowledged. Without other members there is nobody to transfer to.
func (c *control) handOver(ctx context.Context) bool {
	c.mu.Lock()
	sends := c.transferSends(ctx, c.shares.HandOver(c.now()))
	var pending []ledger.Transfer
	for _, m := range c.members.ActiveMembers() {
		pending = append(pending, c.shares.Counters().Pending(m.Incarnation)...)
	}
	if len(sends) == 0 {
		sends = c.transferSends(ctx, pending)
	}
	c.mu.Unlock()
	for _, send := range sends {
		send()
	}
	return len(pending) == 0
}
