// Package fleet holds a client for each configured backend server and polls the status of the engines.
package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/transport/enginehttp"
	"github.com/turmericworks/turmericworks/internal/transport/servicehttp"
)

// pollInterval is the time between two status requests to an engine. A leaving engine must get no new work more
// than 3 s after it began to leave, so several reports have to fit into that time.
const pollInterval = 500 * time.Millisecond

// Engine is one engine with its client.
type Engine struct {
	ID     string
	Config config.BackendServer
	Client backend.Engine
	cancel context.CancelFunc
}

// Service is one plain service with its client.
type Service struct {
	ID     string
	Config config.BackendServer
	Client backend.Service
}

// Report is an engine's status, or the error of the status request.
type Report struct {
	EngineID string
	Status   backend.Status
	Err      error
	// RequestedAt is when the status request was sent, by this instance's clock.
	RequestedAt time.Time
}

// Registry holds the backend servers of the configuration in force. It is safe for concurrent use.
type Registry struct {
	transport http.RoundTripper
	onReport  func(Report)

	mu       sync.RWMutex
	ctx      context.Context
	engines  map[string]*Engine
	services map[string]*Service
}

// New returns an empty registry. onReport is called with every report and must not block.
func New(rt http.RoundTripper, onReport func(Report)) *Registry {
	return &Registry{
		transport: rt, onReport: onReport, engines: map[string]*Engine{}, services: map[string]*Service{},
	}
}

// Serve polls the engines until the context ends. It implements suture.Service.
func (r *Registry) Serve(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	for _, e := range r.engines {
		r.startPolling(e)
	}
	r.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// startPolling starts to poll an engine if Serve is running. The caller holds the lock.
func (r *Registry) startPolling(e *Engine) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	e.cancel = cancel
	go r.poll(ctx, e)
}

func (r *Registry) poll(ctx context.Context, e *Engine) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		requestedAt := time.Now()
		status, err := e.Client.Status(ctx)
		if ctx.Err() != nil {
			return
		}
		r.onReport(Report{EngineID: e.ID, Status: status, Err: err, RequestedAt: requestedAt})
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Update replaces the backend servers by those of a new configuration. Engines whose URL is unchanged keep their
// clients.
func (r *Registry) Update(servers map[string]config.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.engines {
		if s, ok := servers[id]; !ok || s.URL != e.Config.URL {
			if e.cancel != nil {
				e.cancel()
			}
			delete(r.engines, id)
		}
	}
	r.services = map[string]*Service{}
	for id, s := range servers {
		switch s.Kind {
		case config.KindEngine:
			r.putEngine(id, s)
		case config.KindService:
			r.services[id] = &Service{ID: id, Config: s, Client: servicehttp.New(s.URL, r.transport)}
		}
	}
}

// putEngine adds an engine or updates its settings. The caller holds the lock.
func (r *Registry) putEngine(id string, s config.BackendServer) {
	if old := r.engines[id]; old != nil {
		r.engines[id] = &Engine{ID: id, Config: s, Client: old.Client, cancel: old.cancel}
		return
	}
	e := &Engine{ID: id, Config: s, Client: enginehttp.New(s.URL, r.transport)}
	r.engines[id] = e
	r.startPolling(e)
}

// Engine returns an engine by ID, or nil.
func (r *Registry) Engine(id string) *Engine {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.engines[id]
}

// Engines returns all engines.
func (r *Registry) Engines() []*Engine {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*Engine, 0, len(r.engines))
	for _, e := range r.engines {
		out = append(out, e)
	}
	return out
}

// Services returns the servers of a plain service, except those that are leaving.
func (r *Registry) Services(name string) []*Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*Service
	for _, s := range r.services {
		if s.Config.Service == name && !s.Config.Leaving {
			out = append(out, s)
		}
	}
	return out
}
