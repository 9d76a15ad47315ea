package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// crashCheckDelay is how long after a broken attempt the worker is checked: a crashed process no longer accepts
	// connections by then, and restarts only after seconds.
	crashCheckDelay = 150 * time.Millisecond
	// crashCheckTimeout bounds that check.
	crashCheckTimeout = 300 * time.Millisecond
	// fingerprintDigits is the number of hexadecimal digits of a fingerprint that are sent to other instances.
	fingerprintDigits = 16
	// maxBrokenAttempts bounds the broken attempts reported in one heartbeat.
	maxBrokenAttempts = 50
)

// fingerprint identifies a request that a caller sends again. A request without a body has none, since unrelated
// requests without a body cannot be told apart.
func fingerprint(j *forward.Job) string {
	if len(j.Body) == 0 {
		return ""
	}
	workspace := ""
	if j.Workspace != nil {
		workspace = j.Workspace.Name
	}
	f := retry.NewFingerprint(workspace, adapter.Ref{Name: j.Model + "/" + j.Adapter}, j.Path, j.Body)
	return f.String()[:fingerprintDigits]
}

// crashesWorkers reports whether the job has crashed too many workers to be sent to another. The lock is held.
func (g *Gateway) crashesWorkers(j *forward.Job) bool {
	f := fingerprint(j)
	return f != "" && g.crashes.ShouldRefuse(f, g.now())
}

// recordBrokenAttempt records an attempt whose response was missing or truncated, and checks in the background whether
// its worker crashed if the request is already suspected. The lock is held.
func (g *Gateway) recordBrokenAttempt(j *forward.Job, w *workers.Worker, o forward.Outcome) {
	f := fingerprint(j)
	parts := make([]string, 0, len(j.Prefix))
	for _, part := range j.Prefix {
		parts = append(parts, part.ID)
	}
	g.log.Info().Str("request", j.ID).Str("fingerprint", f).Str("worker", w.ID).Stringer("outcome", o).Strs("prompt_parts", parts).Msg("attempt broke off")
	if f == "" {
		return
	}
	b := fleetlog.BrokenAttempt{Request: f, Worker: w.ID + "@" + strconv.FormatInt(w.StartedMilli, 10)}
	g.addBrokenAttempt(b)
	if !g.crashes.Suspected(f, g.now()) {
		return
	}
	id := j.ID
	g.start(func(ctx context.Context) {
		if !sleep(ctx, crashCheckDelay) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		b.Crashed = g.pool.ConnectionRefused(ctx, w)
		g.log.Info().Str("request", id).Str("fingerprint", f).Str("worker", w.ID).Bool("crashed", b.Crashed).Msg("worker checked after a broken attempt")
		if b.Crashed {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.addBrokenAttempt(b)
		}
	})
}

// addBrokenAttempt records a broken attempt and reports it in the next heartbeat. The lock is held.
func (g *Gateway) addBrokenAttempt(b fleetlog.BrokenAttempt) {
	g.crashes.Add(b, g.now())
	if len(g.brokenAttempts) < maxBrokenAttempts {
		g.brokenAttempts = append(g.brokenAttempts, b)
	}
}
