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
	// crashLook is how long after a broken run the worker is looked at: a process that crashed is gone by then,
	// and is back only after seconds.
	crashLook = 150 * time.Millisecond
	// crashLookTimeout bounds that look.
	crashLookTimeout = 300 * time.Millisecond
	// fingerprintDigits is how much of a fingerprint is told to other instances.
	fingerprintDigits = 16
	// maxBroken bounds the broken runs told in one heartbeat.
	maxBroken = 50
)

// fingerprint identifies a request that is sent again. One without a body has none: requests that only differ in
// their caller's intent look alike then.
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

// refusesCrash reports whether the job has crashed too many workers to be sent to another. The lock is held.
func (g *Gateway) refusesCrash(j *forward.Job) bool {
	f := fingerprint(j)
	return f != "" && g.crashes.ShouldRefuse(f, g.now())
}

// runBroke records a run that broke off. The lock is held.
func (g *Gateway) runBroke(j *forward.Job, w *workers.Worker) {
	f := fingerprint(j)
	if f == "" {
		return
	}
	b := fleetlog.BrokenAttempt{Request: f, Worker: w.ID + "@" + strconv.FormatInt(w.StartedMilli, 10)}
	g.addBroken(b)
	if !g.crashes.Suspected(f, g.now()) {
		return
	}
	id := j.ID
	g.start(func(ctx context.Context) {
		if !sleep(ctx, crashLook) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, crashLookTimeout)
		defer cancel()
		b.Crashed = g.pool.ConnectionRefused(ctx, w)
		g.log.Info().Str("request", id).Str("fingerprint", f).Str("worker", w.ID).Bool("crashed", b.Crashed).Msg("worker looked at after a broken run")
		if b.Crashed {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.addBroken(b)
		}
	})
}

// addBroken records a broken run and tells it in the next heartbeat. The lock is held.
func (g *Gateway) addBroken(b fleetlog.BrokenAttempt) {
	g.crashes.Add(b, g.now())
	if len(g.broken) < maxBroken {
		g.broken = append(g.broken, b)
	}
}
