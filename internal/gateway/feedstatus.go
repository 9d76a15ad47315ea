package gateway

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/freshness"
)

// behindLogDelay is for how long a feed is behind the log service before that is logged. A backlog of a few reads is ordinary.
const behindLogDelay = time.Second

// feedStatus reports how far a feed is behind the log service.
type feedStatus struct {
	name string
	// logged is true if the log says that the feed is behind.
	logged bool
}

// reportFeed sets the metrics of a feed after a read, and logs when it has been behind for behindLogDelay and when it no longer is.
func (g *Gateway) reportFeed(s *feedStatus, known *freshness.Tracker) {
	now := g.now()
	lag, since := known.Behind()
	g.metrics.feedBehind.WithLabelValues(s.name).Set(float64(lag))
	undecodable := 0.0
	if known.Undecodable() {
		undecodable = 1
	}
	g.metrics.feedUndecodable.WithLabelValues(s.name).Set(undecodable)
	if confirmed := known.Confirmed(); confirmed != 0 {
		g.metrics.feedConfirmed.WithLabelValues(s.name).Set(float64(time.Now().Add(confirmed-now).UnixMilli()) / 1000)
	}
	switch {
	case lag > 0 && !s.logged && now-since >= behindLogDelay:
		s.logged = true
		g.log.Warn().Str("feed", s.name).Int64("records", lag).Time("since", time.Now().Add(since-now)).Msg("feed is behind the log service")
	case lag == 0 && s.logged:
		s.logged = false
		g.log.Info().Str("feed", s.name).Int64("ms", (now - since).Milliseconds()).Msg("feed has caught up with the log service")
	}
}
