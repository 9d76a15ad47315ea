package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
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
	d.entry.ConfigChanged()
}

func (d *Daemon) engineReported(r fleet.Report) { d.router.Reported(r) }

// isLoopback reports whether an address can be reached from this machine only.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// onceRetrier permits one further attempt after a failure that surely did not run.
type onceRetrier struct{}

func (onceRetrier) Retry(_ entry.Call, attempt int, err *verdict.Error, sent bool) bool {
	return attempt == 1 && !sent && err.Verdict == verdict.NotRun
}

func (onceRetrier) Started(entry.Call) {}

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
