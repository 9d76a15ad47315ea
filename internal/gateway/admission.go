package gateway

import (
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// denialFreshness is how old the configuration may be for an answer that a route or key does not
	// exist: what came since may hold it.
	denialFreshness = configAge
	// keyFreshness is the part of the time for withdrawals within which the configuration must have been
	// read for a key to be accepted.
	keyFreshness = 0.7
	// notYet is what a caller is told to wait while the instance does not know enough.
	notYet = 300 * time.Millisecond
	// retryShare is the part of the fleet's retry budget that instances use together. The rest covers
	// instances that do not know of each other yet.
	retryShare = 0.7
)

// admission implements forward.Admission.
type admission Gateway

func refuse(status int, code, message string, after time.Duration) *verdict.Error {
	e := verdict.New(verdict.NotRun, status, code, message)
	if after > 0 {
		e = e.WithRetryAfter(after)
	}
	return e
}

// Admit implements forward.Admission.
func (m *admission) Admit(j *forward.Job, host, path string) error {
	g := (*Gateway)(m)
	t := g.table.Load()
	if t == nil {
		return refuse(http.StatusServiceUnavailable, "no_configuration", "the instance knows no configuration yet", notYet)
	}
	j.ConfigVersion, j.ConfigAge = t.Version, g.now()-time.Duration(g.configRead.Load())
	route, ok := t.Match(host, path)
	if !ok {
		if !g.fresh(denialFreshness) {
			return refuse(http.StatusServiceUnavailable, "configuration_old", "the configuration may have changed", notYet)
		}
		return refuse(http.StatusNotFound, "no_route", "no route leads there", 0)
	}
	j.Route = route
	if route.Public || !t.HasWorkspaces() {
		return nil
	}
	return g.authenticate(t, j)
}

func (g *Gateway) authenticate(t *routing.Table, j *forward.Job) error {
	workspace, ok := t.WorkspaceByKey(j.Key)
	within := time.Duration(float64(g.settings.Bounds.keyWithdrawal()) * keyFreshness)
	switch {
	case !ok && !g.fresh(denialFreshness):
		return refuse(http.StatusServiceUnavailable, "configuration_old", "the configuration may have changed", notYet)
	case !ok:
		return refuse(http.StatusUnauthorized, "unknown_key", "the key is not known", 0)
	case !g.fresh(within):
		return refuse(http.StatusServiceUnavailable, "keys_unknown", "the instance cannot tell whether the key was withdrawn", notYet)
	}
	j.Workspace = workspace
	return g.takeUnits(workspace, j)
}

// TakeRetry implements forward.Admission.
func (m *admission) TakeRetry(j *forward.Job) bool {
	g := (*Gateway)(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(j.Service).Take(g.now())
}

// RetryAvailable implements forward.Admission.
func (m *admission) RetryAvailable(j *forward.Job) bool {
	g := (*Gateway)(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(j.Service).CanTake(g.now())
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

func (g *Gateway) retrySlack() float64 {
	return g.settings.Bounds.RetrySlack * retryShare / float64(g.live)
}

// Limits implements forward.Admission.
func (m *admission) Limits() routing.Limits {
	if t := (*Gateway)(m).table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}
