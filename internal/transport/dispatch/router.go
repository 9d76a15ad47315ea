package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// LeastLoaded sends each request to the least loaded engine that holds its adapter, and loads the
// adapter on the emptiest engine when none does.
type LeastLoaded struct {
	fleet *fleet.Registry

	mu       sync.Mutex
	reports  map[string]backend.Status
	inFlight map[string]int
	loads    map[adapter.Ref]*load
}

type load struct {
	done chan struct{}
	err  error
}

// NewLeastLoaded returns a router over the fleet.
func NewLeastLoaded(f *fleet.Registry) *LeastLoaded {
	return &LeastLoaded{fleet: f, reports: map[string]backend.Status{}, inFlight: map[string]int{}, loads: map[adapter.Ref]*load{}}
}

// Reported takes over an engine's report.
func (l *LeastLoaded) Reported(r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Err != nil {
		delete(l.reports, r.EngineID)
		return
	}
	l.reports[r.EngineID] = r.Status
}

var errNoEngine = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_engine", "no engine can take the request now").
	WithRetryAfter(retryAfter)

// Acquire implements Router.
func (l *LeastLoaded) Acquire(ctx context.Context, c entry.Call, avoid []string) (Place, error) {
	for {
		if p, ok := l.resident(c, avoid); ok {
			return p, nil
		}
		if err := l.load(ctx, c, avoid); err != nil {
			return Place{}, err
		}
	}
}

// usable reports whether an engine takes new work for the call. The caller holds the lock.
func (l *LeastLoaded) usable(e *fleet.Engine, c entry.Call, avoid []string) bool {
	s, ok := l.reports[e.ID]
	return ok && !s.Leaving && !e.Config.Leaving && e.Config.BaseModel == c.BaseModel && !slices.Contains(avoid, e.ID)
}

func holds(s backend.Status, ref adapter.Ref) bool {
	return slices.ContainsFunc(s.Resident, func(a backend.ResidentAdapter) bool { return a.Adapter == ref })
}

func (l *LeastLoaded) resident(c entry.Call, avoid []string) (Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *fleet.Engine
	for _, e := range l.fleet.Engines() {
		if !l.usable(e, c, avoid) || !holds(l.reports[e.ID], c.Adapter) {
			continue
		}
		if best == nil || l.inFlight[e.ID] < l.inFlight[best.ID] {
			best = e
		}
	}
	if best == nil {
		return Place{}, false
	}
	l.inFlight[best.ID]++
	return Place{Engine: best, Release: func(error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight[best.ID]--
	}}, true
}

// load makes the adapter resident somewhere, once for all requests that wait for it.
func (l *LeastLoaded) load(ctx context.Context, c entry.Call, avoid []string) error {
	l.mu.Lock()
	if ld := l.loads[c.Adapter]; ld != nil {
		l.mu.Unlock()
		select {
		case <-ld.done:
			return ld.err
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusGatewayTimeout, "deadline", "the adapter was not loaded in time")
		}
	}
	var best *fleet.Engine
	for _, e := range l.fleet.Engines() {
		if !l.usable(e, c, avoid) || len(l.reports[e.ID].Resident) >= e.Config.Slots {
			continue
		}
		if best == nil || len(l.reports[e.ID].Resident) < len(l.reports[best.ID].Resident) {
			best = e
		}
	}
	if best == nil {
		l.mu.Unlock()
		return errNoEngine
	}
	ld := &load{done: make(chan struct{})}
	l.loads[c.Adapter] = ld
	l.mu.Unlock()

	ld.err = best.Client.Load(context.WithoutCancel(ctx), backend.Order{Adapter: c.Adapter})
	l.mu.Lock()
	if s := l.reports[best.ID]; ld.err == nil && !holds(s, c.Adapter) {
		s.Resident = append(slices.Clone(s.Resident), backend.ResidentAdapter{Adapter: c.Adapter})
		l.reports[best.ID] = s
	}
	delete(l.loads, c.Adapter)
	close(ld.done)
	l.mu.Unlock()
	return ld.err
}
