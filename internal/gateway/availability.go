package gateway

import (
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// workerAnswered records what a worker's response says about further requests to the worker.
func (g *Gateway) workerAnswered(w *workers.Worker, r external.WorkerResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLimit(w, r.Limit, r.Limited)
	if r.Leaving && g.availability.Leave(incarnationName(w), g.now()) {
		g.log.Info().Str("worker", w.ID).Int64("born", w.StartedMilli).Int("in_flight", g.inFlight[w.Key()]).Msg("worker leaves")
	}
}

// leavingWorkers returns the workers of a set that have said that they leave.
func (g *Gateway) leavingWorkers(set *workers.Set) map[workers.Key]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[workers.Key]bool{}
	for _, w := range set.All() {
		if g.leaving(w) {
			out[w.Key()] = true
		}
	}
	return out
}

// leaving reports whether a worker has said that it leaves. The lock is held.
func (g *Gateway) leaving(w *workers.Worker) bool {
	return !g.availability.Empty() && g.availability.Leaving(incarnationName(w))
}
