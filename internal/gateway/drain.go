package gateway

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
)

const (
	// balancerNotice is how long connections are still accepted after the instance says that it is not
	// ready: the balancer asks each second and takes an instance out after two misses.
	balancerNotice = 2200 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which the process gives up waiting.
	exitMargin = 700 * time.Millisecond
	// lastBeat bounds the farewell to the fleet.
	lastBeat = 400 * time.Millisecond
)

// drain ends the instance without cutting off a request: it says that it is not ready, gives up its workers,
// serves what still arrives until the balancer has noticed, and waits for what is under way.
func (g *Gateway) drain(ctx context.Context, s *servers) {
	began := time.Now()
	g.stopping.Store(true)
	g.resigned.Store(true)
	g.server.Draining.Store(true)
	g.log.Info().Int64("in_flight", g.server.InFlight()).Msg("stopping")
	g.wakeFleet()
	if !sleep(ctx, balancerNotice) {
		return
	}
	left := g.settings.Bounds.grace() - exitMargin - lastBeat - time.Since(began)
	waitCtx, cancel := context.WithTimeout(ctx, max(0, left))
	defer cancel()
	if err := s.callers.Shutdown(waitCtx); err != nil {
		g.log.Warn().Err(err).Int64("in_flight", g.server.InFlight()).Msg("requests were cut at the end of the grace period")
	}
	g.leave(ctx)
}

// leave ends the membership, so that others take over this instance's part of the rates at once.
func (g *Gateway) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastBeat)
	defer cancel()
	record := fleetlog.Record{Instance: g.settings.Instance, Incarnation: g.incarnation, Heartbeat: &fleetlog.Heartbeat{Number: g.nextBeat(), Leaving: true}}
	data, err := fleetlog.Encode(record)
	if err == nil {
		_, err = g.around.Fleet.Append(ctx, data, external.AnyOffset)
	}
	if err != nil {
		g.log.Warn().Err(err).Msg("the fleet was not told of the stop; it notices by the silence")
	}
}
