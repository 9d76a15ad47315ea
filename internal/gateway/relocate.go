package gateway

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// relocationTimeout bounds the wait for the load of one relocated adapter before the next one is loaded.
const relocationTimeout = 2 * time.Second

// startRelocation loads the adapters that are resident only in evacuated data centres at the workers that this instance owns, in
// the background. If it still does so for an earlier evacuation, it goes on with the new relocations. The lock is held.
func (g *Gateway) startRelocation() {
	var own []residency.Relocation
	planned := 0
	for _, s := range g.engineServices() {
		list := g.residency.Relocations(g.relocationInput(s), g.popularity, g.now())
		planned += len(list)
		for _, r := range list {
			if g.owners[r.Worker.Key()] != nil {
				own = append(own, r)
			}
		}
	}
	start := g.relocations.Replace(own, g.now())
	select {
	case g.relocationsChanged <- struct{}{}:
	default:
	}
	if len(own) == 0 {
		return
	}
	g.log.Info().Int("adapters", len(own)).Int("of_all", planned).Msg("adapters of evacuated data centres are loaded elsewhere")
	if start {
		g.start("relocation of adapters", g.relocateAdapters)
	}
}

// relocateAdapters carries out relocations until none is left.
func (g *Gateway) relocateAdapters(ctx context.Context) {
	done := false
	defer func() {
		if !done {
			g.locked(g.relocations.Stop)
		}
	}()
	for ctx.Err() == nil {
		var r residency.Relocation
		var wait time.Duration
		ok := false
		g.locked(func() { r, wait, ok = g.relocations.Next(g.now()) })
		if !ok {
			done = true
			return
		}
		if wait > 0 {
			g.awaitRelocation(ctx, wait)
			continue
		}
		if o, version := g.relocationOwner(r); o != nil {
			o.relocate(ctx, r.Adapter, version)
		}
	}
}

// awaitRelocation waits for a time, or until the relocations change.
func (g *Gateway) awaitRelocation(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-g.relocationsChanged:
	case <-t.C:
	}
}

// engineServices returns the services with an engine. The lock is held.
func (g *Gateway) engineServices() []*routing.Service {
	if g.config == nil {
		return nil
	}
	var list []*routing.Service
	for i := range g.config.Services {
		if s := &g.config.Services[i]; s.Engine != nil {
			list = append(list, s)
		}
	}
	return list
}

// relocationInput returns what the relocations of a service are decided by. The lock is held.
func (g *Gateway) relocationInput(s *routing.Service) residency.RelocationInput {
	in := residency.RelocationInput{LoadsPerSecond: s.Engine.LoadsPerSecond}
	if len(s.Engine.Models) > 0 {
		in.Slots = max(0, s.Engine.AdapterRoom(s.Engine.Models[0].Name, nil))
	}
	for _, w := range g.workers.Load().Ready(s.Name) {
		switch {
		case g.evacuated(w):
			in.Evacuated = append(in.Evacuated, w)
		case !g.leaving(w):
			in.Remaining = append(in.Remaining, w)
		}
	}
	return in
}

// relocationOwner returns this instance's owner of the worker of a relocation, and the version to load. It returns nil if the load is
// no longer needed: the adapter is resident at a worker that is in use, or the evacuation was withdrawn; or if the worker leaves.
func (g *Gateway) relocationOwner(r residency.Relocation) (*owner, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version, accepted := g.adapterVersions(r.Adapter)
	if g.evacuations.Empty() || g.evacuated(r.Worker) || g.leaving(r.Worker) {
		return nil, 0
	}
	for _, w := range g.workers.Load().Ready(r.Worker.Service) {
		if !g.evacuated(w) && !g.leaving(w) && g.residency.Holds(w.Key(), r.Adapter, accepted) {
			return nil, 0
		}
	}
	return g.owners[r.Worker.Key()], version
}

// relocate loads an adapter for which no request waits, after those for which some do.
func (o *owner) relocate(ctx context.Context, a residency.Adapter, version int64) {
	ctx, cancel := context.WithTimeout(ctx, relocationTimeout)
	defer cancel()
	for {
		resident, changed := o.checkWait(a, version)
		if resident {
			o.g.recordRelocated(o.worker, a, version)
		}
		if resident || changed == nil {
			return
		}
		o.wakeUp()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// recordRelocated records that a worker has loaded an adapter, which its registry entry shows only later.
func (g *Gateway) recordRelocated(w *workers.Worker, a residency.Adapter, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.residency.Record(w.Key(), a, max(version, 1), true, g.now())
}
