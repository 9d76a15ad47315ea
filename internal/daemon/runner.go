package daemon

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// configChanged carries a new configuration to every part of the instance.
func (d *Daemon) configChanged(v *config.View) {
	servers := map[string]config.BackendServer{}
	for id, s := range v.BackendServers() {
		servers[id] = *s
	}
	d.fleet.Update(servers)
	d.scheduler.Configure(v)
	d.entry.ConfigChanged()
}

func (d *Daemon) engineReported(r fleet.Report) { d.scheduler.Reported(r) }

// isLoopback reports whether an address can be reached from this machine only.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// directLoader sends orders without an owner.
type directLoader struct{}

// Load implements dispatch.Loader.
func (directLoader) Load(ctx context.Context, e *fleet.Engine, a, victim adapter.Ref) error {
	if victim != (adapter.Ref{}) {
		if err := e.Client.Evict(ctx, backend.Order{Adapter: victim, IfIdle: true}); err != nil {
			return err
		}
	}
	return e.Client.Load(ctx, backend.Order{Adapter: a})
}

type unlimitedLoads struct{}

func (unlimitedLoads) TakeLoad(time.Time) bool { return true }

// seedOf derives a seed from an incarnation.
func seedOf(incarnation string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(incarnation))
	return h.Sum64()
}

// runner runs completions and calls of plain services.
type runner struct {
	*dispatch.Runner
	daemon *Daemon
}

// CallService implements entry.Runner for plain services.
func (r *runner) CallService(ctx context.Context, c entry.ServiceCall) (a backend.ServiceAnswer, err error) {
	if c.Route.NonIdempotent {
		return a, errNoActions
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return dispatch.CallOne(ctx, r.daemon.fleet.Services(c.Route.Service), c.Request)
}

// errNoActions refuses calls that may not be repeated.
var errNoActions = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "actions_unavailable",
	"calls that may not be repeated are not accepted now")
