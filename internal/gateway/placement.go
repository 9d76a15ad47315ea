package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// remotePenalty is how many requests more a worker of this data centre may have in flight before one of
	// another is chosen. Bytes between data centres are priced, and a hop costs milliseconds.
	remotePenalty = 3.0
	// loadTries is how many workers are asked to load an adapter for one request while it can be on time, and as
	// many again when it cannot.
	loadTries = 3
	// answerReserve is the part of a request's target that is left for its answer once its adapter is resident: the
	// time to the first event of most prompts on a worker under load.
	answerReserve = 250 * time.Millisecond
)

// placement implements forward.Placement.
type placement Gateway

// Place implements forward.Placement.
func (p *placement) Place(ctx context.Context, j *forward.Job) (forward.Reservation, error) {
	g := (*Gateway)(p)
	t := g.table.Load()
	first := j.Service == ""
	g.mu.Lock()
	if first {
		j.Service = chooseService(j.Route)
		g.budget(j.Service).CountRequest(g.now())
	}
	crashes := g.refusesCrash(j)
	g.mu.Unlock()
	if crashes {
		return forward.Reservation{}, refuse(http.StatusServiceUnavailable, "crashes_workers", "the request has crashed several backend servers", 0)
	}
	s, ok := t.Service(j.Service)
	if !ok {
		return forward.Reservation{}, refuse(http.StatusServiceUnavailable, "no_service", "the route's service is not configured", notYet)
	}
	if s.Engine == nil || j.Model == "" {
		return g.placePlain(j)
	}
	return g.placeEngine(ctx, j)
}

// chooseService draws one of a route's services by their weights.
func chooseService(r *routing.Route) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	x := rand.Float64() * total
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

func (g *Gateway) setEjectors(set *workers.Set) {
	t := g.table.Load()
	if t == nil {
		return
	}
	names := map[string][]string{}
	for _, w := range set.All() {
		if !w.Draining {
			names[w.Service] = append(names[w.Service], w.ID)
		}
	}
	for s, list := range names {
		e := g.ejectors[s]
		if e == nil {
			e = retry.NewEjector(retry.EjectorSettings{})
			g.ejectors[s] = e
		}
		e.SetServers(list)
	}
}

// candidates returns the ready workers that the job was not sent to and that are not set aside. The lock is
// held.
func (g *Gateway) candidates(j *forward.Job) []*workers.Worker {
	ready := g.workers.Load().Ready(j.Service)
	fresh := make([]*workers.Worker, 0, len(ready))
	for _, w := range ready {
		if !slices.Contains(j.Tried, w.Key()) {
			fresh = append(fresh, w)
		}
	}
	e := g.ejectors[j.Service]
	if e == nil {
		return fresh
	}
	usable := make([]*workers.Worker, 0, len(fresh))
	now := time.Now()
	for _, w := range fresh {
		if e.Usable(w.ID) {
			usable = append(usable, w)
		} else if j.Route.Kind == routing.Idempotent && e.TryProbe(w.ID, now) {
			return []*workers.Worker{w}
		}
	}
	if len(usable) == 0 {
		return fresh
	}
	return usable
}

// least returns the candidate with the fewest requests of this instance in flight, those of this data centre
// first. The lock is held.
func (g *Gateway) least(list []*workers.Worker) *workers.Worker {
	var best *workers.Worker
	bestScore := 0.0
	for _, w := range list {
		score := float64(g.inFlight[w.Key()]) + rand.Float64()
		if w.DataCentre != g.settings.DataCentre {
			score += remotePenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func noWorker() *verdict.Error {
	return refuse(http.StatusServiceUnavailable, "no_worker", "no backend server can take the request", notYet)
}

func (g *Gateway) placePlain(j *forward.Job) (forward.Reservation, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.least(g.candidates(j))
	if w == nil {
		return forward.Reservation{}, noWorker()
	}
	return g.lease(j, w, residency.Adapter{}, 0), nil
}

// lease counts a request at a worker. The lock is held.
func (g *Gateway) lease(j *forward.Job, w *workers.Worker, a residency.Adapter, version int64) forward.Reservation {
	k := w.Key()
	g.inFlight[k]++
	if a.Name != "" {
		g.useBegan(k, a)
	}
	return forward.Reservation{Worker: w, AdapterVersion: version, Done: func(o forward.Outcome) { g.attemptEnded(j, w, a, o) }}
}

// useBegan counts a request for an adapter. The lock is held.
func (g *Gateway) useBegan(k workers.Key, a residency.Adapter) {
	u := g.uses[useKey{k.ID, a}]
	if u == nil {
		u = &use{}
		g.uses[useKey{k.ID, a}] = u
	}
	u.count++
	u.running++
	now := g.now()
	g.countUse(k.ID, a, 1, now)
	if o := g.owners[k]; o != nil {
		o.began(a, now)
	}
}

// useEnded counts the end of a request for an adapter. The lock is held.
func (g *Gateway) useEnded(k workers.Key, a residency.Adapter) {
	if u := g.uses[useKey{k.ID, a}]; u != nil && u.running > 0 {
		u.running--
	}
	if o := g.owners[k]; o != nil {
		o.finished(a, g.now())
	}
}

func (g *Gateway) attemptEnded(j *forward.Job, w *workers.Worker, a residency.Adapter, o forward.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := w.Key()
	if o == forward.Broken {
		g.runBroke(j, w)
	}
	g.inFlight[k]--
	if a.Name != "" {
		g.useEnded(k, a)
	}
	if o == forward.Absent && a.Model != "" {
		g.beliefs.Record(k, a, 0, false, g.now())
	}
	e := g.ejectors[j.Service]
	if e == nil || o == forward.Abandoned || o == forward.Full || o == forward.Absent {
		return
	}
	e.RecordResult(k.ID, o == forward.Succeeded || o == forward.Failed, time.Now())
}

// required returns the version that a request for the adapter must use, and the one that is accepted while the
// new one is being loaded. The lock is held.
func (g *Gateway) required(a residency.Adapter) (version, accepted int64) {
	d, ok := g.versions[a]
	if !ok {
		return 0, 0
	}
	if g.now()-d.learned < g.settings.Bounds.versionOverlap() {
		return d.version, d.version - 1
	}
	return d.version, d.version
}

func (g *Gateway) placeEngine(ctx context.Context, j *forward.Job) (forward.Reservation, error) {
	a := residency.Adapter{Model: j.Model, Name: j.Adapter}
	var failed []*workers.Worker
	late := false
	for range 2 * loadTries {
		slack := j.Route.TargetLatency - time.Since(j.Arrived) - answerReserve
		if !late && (slack < time.Millisecond || len(failed) == loadTries) {
			late, failed = true, nil
		}
		if late {
			slack = 0
		}
		if late && len(failed) == loadTries {
			break
		}
		g.mu.Lock()
		list := g.candidates(j)
		version, accepted := g.required(a)
		holders := g.holders(list, a, accepted)
		if a.Name == "" || len(holders) > 0 {
			w := g.least(holders)
			if w == nil {
				g.mu.Unlock()
				return forward.Reservation{}, noWorker()
			}
			g.spread(list, holders, a, version)
			held := int64(0)
			if version > 0 {
				held = max(accepted, g.beliefs.Version(w.Key(), a))
			}
			l := g.lease(j, w, a, held)
			g.mu.Unlock()
			return l, nil
		}
		home := g.home(list, failed, a)
		g.mu.Unlock()
		if home == nil && !late && len(failed) > 0 {
			late, failed = true, nil
			continue
		}
		if home == nil {
			return forward.Reservation{}, noWorker()
		}
		if g.ensure(ctx, home, a, version, slack) {
			if l, ok := g.leaseLoaded(j, home, a, version); ok {
				return l, nil
			}
		}
		if ctx.Err() != nil {
			break
		}
		failed = append(failed, home)
	}
	return forward.Reservation{}, refuse(http.StatusServiceUnavailable, "adapter_absent", "the adapter could not be loaded in time", notYet)
}

// leaseLoaded counts a request at a worker that has just loaded its adapter, unless the worker began to leave
// meanwhile.
func (g *Gateway) leaseLoaded(j *forward.Job, w *workers.Worker, a residency.Adapter, version int64) (forward.Reservation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, ok := g.workers.Load().Get(w.ID)
	if !ok || current.Key() != w.Key() || current.Draining {
		return forward.Reservation{}, false
	}
	return g.lease(j, current, a, version), true
}

// holders returns the workers that are believed to hold the adapter. The lock is held.
func (g *Gateway) holders(list []*workers.Worker, a residency.Adapter, version int64) []*workers.Worker {
	var out []*workers.Worker
	for _, w := range list {
		if g.beliefs.Holds(w.Key(), a, version) {
			out = append(out, w)
		}
	}
	return out
}

// home returns the worker that should load the adapter: the first of its homes that holds the base model and has
// an owner, without those that failed to load it. The lock is held.
func (g *Gateway) home(list, failed []*workers.Worker, a residency.Adapter) *workers.Worker {
	for _, w := range residency.RankWorkers(a, g.holders(list, residency.Adapter{Model: a.Model}, 0)) {
		if g.orderable(w) && !slices.Contains(failed, w) {
			return w
		}
	}
	return nil
}

// spread has further workers load an adapter that is used more than one copy should bear. The lock is held.
func (g *Gateway) spread(list, holders []*workers.Worker, a residency.Adapter, version int64) {
	copies := g.popularity.Replicas(a, len(list), g.now())
	if a.Name == "" || len(holders) >= copies {
		return
	}
	for _, w := range residency.RankWorkers(a, list)[:copies] {
		if slices.Contains(holders, w) || g.spreading[useKey{w.ID, a}] {
			continue
		}
		g.spreading[useKey{w.ID, a}] = true
		g.start(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, ownerAnswer)
			defer cancel()
			g.ensure(ctx, w, a, version, 0)
			g.mu.Lock()
			delete(g.spreading, useKey{w.ID, a})
			g.mu.Unlock()
		})
		return
	}
}
