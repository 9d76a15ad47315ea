package gateway

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// workerAnswered records what a worker's response says about further requests to the worker.
func (g *Gateway) workerAnswered(w *workers.Worker, r external.WorkerResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLimit(w, r.Limit, r.Limited)
	if g.availability.BackOff(incarnationName(w), r.Backoff, g.now()) {
		g.log.Info().Str("worker", w.ID).Int64("born", w.StartedMilli).Int64("for_ms", r.Backoff.Milliseconds()).
			Time("until", time.Now().Add(r.Backoff)).Int("in_flight", g.inFlight[w.Key()]).Msg("worker backs off")
	}
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

// backoff returns how long a worker still wants no requests from this instance. The lock is held.
func (g *Gateway) backoff(w *workers.Worker, now time.Duration) time.Duration {
	if g.availability.Empty() {
		return 0
	}
	return g.availability.Wait(incarnationName(w), now)
}

// soonAvailable returns the workers of a list that take requests now, or within the time in which another one loads an
// adapter. The lock is held.
func (g *Gateway) soonAvailable(list []*workers.Worker) []*workers.Worker {
	if g.availability.Empty() {
		return list
	}
	now := g.now()
	var out []*workers.Worker
	for _, w := range list {
		if g.backoff(w, now) <= maxLimitWait {
			out = append(out, w)
		}
	}
	return out
}

// awaitBackoff waits while a worker wants no requests. It reports false if that is longer than the job may wait, or ctx ends.
func (g *Gateway) awaitBackoff(ctx context.Context, j *forward.Job, w *workers.Worker) bool {
	for {
		g.mu.Lock()
		wait := g.backoff(w, g.now())
		g.mu.Unlock()
		if wait <= 0 {
			return true
		}
		if wait > limitWait(j) || !sleep(ctx, wait) {
			return false
		}
	}
}
