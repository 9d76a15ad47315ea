package gateway

import "github.com/turmericworks/turmericworks/internal/state/workers"

// recordLimit records the limit that a worker's response named, if any.
func (g *Gateway) recordLimit(w *workers.Worker, limit float64, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous, wasLimited := g.limits[w.Key()]
	if limited == wasLimited && limit == previous {
		return
	}
	if limited {
		g.limits[w.Key()] = limit
	} else {
		delete(g.limits, w.Key())
	}
	g.log.Info().Str("worker", w.ID).Float64("requests_per_s", limit).Bool("limited", limited).Int("in_flight", g.inFlight[w.Key()]).Msg("worker's limit changed")
}
