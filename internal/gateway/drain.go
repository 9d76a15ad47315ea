package gateway

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/transport/keepalive"
)

const (
	// loadBalancerDelay is how long connections are still accepted after the instance reports that it is not
	// ready: the load balancer checks each second and removes an instance after two failed checks.
	loadBalancerDelay = 2200 * time.Millisecond
	// holdShare is the share of the grace period in which connections stay open although they are idle, and idleInDrain how long
	// each one stays open after its last answer.
	holdShare   = 0.5
	idleInDrain = 500 * time.Millisecond
	// lastAnswersMargin is how long before the end of the grace period the requests end that are not answered yet, so that their
	// callers get an error, and exitMargin how long before it the process stops waiting for answers that have begun.
	lastAnswersMargin = 800 * time.Millisecond
	exitMargin        = 500 * time.Millisecond
	// leaveTimeout bounds the append of the last heartbeat.
	leaveTimeout = 400 * time.Millisecond
	// refusalInterval is the time between two checks for requests that wait and would be cut off.
	refusalInterval = 100 * time.Millisecond
)

// drain shuts the instance down without cutting off requests: it reports that it is not ready, gives up its workers,
// serves new requests until the load balancer has removed it, and waits for the requests in flight. Those that are not answered
// at the end of the grace period get an error.
func (g *Gateway) drain(ctx context.Context, s *servers) {
	start := time.Now()
	g.stopping.Store(true)
	g.resigned.Store(true)
	grace := g.settings.Bounds.grace()
	lastAnswers, exit := start.Add(grace-lastAnswersMargin), start.Add(grace-exitMargin)
	g.server.Drain(lastAnswers)
	g.log.Info().Int("in_flight", g.server.InFlight()).Msg("stopping")
	g.requestHeartbeat()
	refusing, stopRefusing := context.WithCancel(ctx)
	defer stopRefusing()
	g.start("refuse waiting requests", func(context.Context) { g.refuseWaiting(refusing) })
	if !sleep(ctx, loadBalancerDelay) {
		return
	}
	// The connections that are open are served until they are idle; Shutdown would drop requests that it has not read to
	// the end of their headers.
	if err := s.callersListener.Stop(ctx); err != nil {
		g.log.Warn().Err(err).Msg("listener for callers not closed")
	}
	hold := start.Add(time.Duration(holdShare * float64(grace)))
	served := g.awaitCallers(ctx, lastAnswers, keepalive.DrainTimes{Hold: time.Until(hold), Idle: idleInDrain})
	if !served {
		n := g.server.EndUnanswered()
		g.log.Warn().Int("unanswered", n).Int("in_flight", g.server.InFlight()).Msg("requests still in flight at the end of the grace period")
	}
	// No request is taken any more.
	left := make(chan struct{})
	go func() {
		defer close(left)
		g.leave(ctx)
	}()
	if !served && !g.awaitCallers(ctx, exit, keepalive.DrainTimes{}) {
		g.server.ReportCutOff()
	}
	<-left
}

// refuseWaiting refuses the requests that wait to be sent and would be cut off, until ctx ends.
func (g *Gateway) refuseWaiting(ctx context.Context) {
	for sleep(ctx, refusalInterval) {
		g.server.RefuseWaiting()
	}
}

// awaitCallers waits until all connections of callers are closed, and reports whether they are at a time.
func (g *Gateway) awaitCallers(ctx context.Context, until time.Time, times keepalive.DrainTimes) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return g.connections.Drain(ctx, times) == nil
}

// leave appends a last heartbeat that ends the membership, so that the other instances take over this instance's
// shares of the rates at once.
func (g *Gateway) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	record := fleetlog.Record{Instance: g.settings.Instance, Incarnation: g.incarnation, Heartbeat: &fleetlog.Heartbeat{Number: g.nextHeartbeatNumber(), Leaving: true}}
	data, err := fleetlog.Encode(record)
	if err == nil {
		_, err = g.platform.Fleet.Append(ctx, data)
	}
	if err != nil {
		g.log.Warn().Err(err).Msg("last heartbeat not appended; the other instances detect the stop by the missing heartbeats")
	}
}
