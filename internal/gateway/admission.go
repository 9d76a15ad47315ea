package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// keyMaxAgeShare is the share of the bound on key withdrawal within which the configuration must have been
	// read for a key to be accepted.
	keyMaxAgeShare = 0.7
	// notReadyRetryAfter is the Retry-After of refusals that another instance, or this one a moment later, may not repeat.
	notReadyRetryAfter = 300 * time.Millisecond
	// configurationRetryAfter is that of refusals that last until the operators change the configuration.
	configurationRetryAfter = 10 * time.Second
	// retryShare is the share of the fleet's retry budget that the known instances divide among themselves. The
	// rest covers instances that have not yet read each other's heartbeats.
	retryShare = 0.7
)

// admission implements forward.Admission.
type admission Gateway

// refuse returns an error for a request that did not run. If retryAfter is 0, the response has no Retry-After.
func refuse(status int, code, message string, retryAfter time.Duration) *verdict.Error {
	e := verdict.New(verdict.NotRun, status, code, message)
	if retryAfter > 0 {
		e = e.WithRetryAfter(retryAfter)
	}
	return e
}

// unreadyRetryAfter returns the Retry-After of a request that is refused since the instance lacks the state to decide on it.
func (g *Gateway) unreadyRetryAfter() time.Duration {
	return retry.UnreadyWait(g.now()-g.created, rand.Float64())
}

// Admit implements forward.Admission.
func (m *admission) Admit(j *forward.Job, host, path string) error {
	g := (*Gateway)(m)
	// The times are loaded before the table, which then is at least as new. The other way round, a newer table may be put into
	// force in between, and the read that brought it does not confirm the one that the request is decided by.
	known, confirmed, unavailable := time.Duration(g.configConfirmed.Load()), g.lastConfirmed(), g.configUnavailable.Load()
	t := g.table.Load()
	if t == nil {
		return refuse(http.StatusServiceUnavailable, "no_configuration", "the instance knows no configuration yet", g.unreadyRetryAfter())
	}
	j.Config, j.ConfigAge = t, g.now()-known
	if !g.configRule().Decides(j.ConfigAge, unavailable) {
		return refuse(http.StatusServiceUnavailable, "configuration_old", "the configuration may have changed", g.unreadyRetryAfter())
	}
	route, ok := t.Match(host, path)
	if !ok {
		if !g.recent(confirmed, g.configRule().MaxAge()) {
			return refuse(http.StatusServiceUnavailable, "configuration_old", "the configuration may have changed", g.unreadyRetryAfter())
		}
		return refuse(http.StatusNotFound, "no_route", "no route leads there", 0)
	}
	j.Route = route
	if route.Public || !t.HasWorkspaces() {
		return nil
	}
	return g.authenticate(t, confirmed, j)
}

// authenticate looks up the workspace of the job's key in a table, which was last confirmed at a time, and charges the request
// to the workspace's rate.
func (g *Gateway) authenticate(t *routing.Table, confirmed time.Duration, j *forward.Job) error {
	workspace, ok := t.WorkspaceByKey(j.Key)
	maxAge := time.Duration(float64(g.settings.Bounds.keyWithdrawal()) * keyMaxAgeShare)
	switch {
	case !ok && !g.recent(confirmed, g.configRule().MaxAge()):
		return refuse(http.StatusServiceUnavailable, "configuration_old", "the configuration may have changed", g.unreadyRetryAfter())
	case !ok:
		return refuse(http.StatusUnauthorized, "unknown_key", "the key is not known", 0)
	case !g.recent(confirmed, maxAge):
		return refuse(http.StatusServiceUnavailable, "keys_unknown", "the instance cannot tell whether the key was withdrawn", g.unreadyRetryAfter())
	}
	j.Workspace = workspace
	return g.chargeUnits(workspace, j)
}

// TakeRetry implements forward.Admission.
func (m *admission) TakeRetry(j *forward.Job) bool {
	g := (*Gateway)(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(j.Service).Take(g.now())
}

// budget returns the retry budget of a service. The lock is held.
func (g *Gateway) budget(service string) *retry.WindowBudget {
	b := g.budgets[service]
	if b == nil {
		window := time.Duration(g.settings.Bounds.RetryWindowS * float64(time.Second))
		b = retry.NewWindowBudget(g.settings.Bounds.RetryRatio*retryShare, g.retrySlack(), window)
		g.budgets[service] = b
	}
	return b
}

// retrySlack returns this instance's share of the fleet's retry slack. The lock is held.
func (g *Gateway) retrySlack() float64 {
	return g.settings.Bounds.RetrySlack * retryShare / float64(g.fleetSize)
}

// Limits implements forward.Admission.
func (m *admission) Limits() routing.Limits {
	if t := (*Gateway)(m).table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}
