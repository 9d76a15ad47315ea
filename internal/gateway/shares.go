package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// jobShare returns whose job it is, the zero value if capacity is not divided between workspaces.
func (g *Gateway) jobShare(j *forward.Job) workerload.Share {
	w := j.Workspace
	if !g.settings.WorkspaceShares || w == nil {
		return workerload.Share{}
	}
	return workerload.NewShare(w.Name, workerload.RequestRate(w.Rate, w.CountsTokens, w.DefaultTokens))
}

// shareMessage returns the message from which an owner or keeper reads shareOf, nil if there is nothing to send.
func shareMessage(s workerload.Share) *peerpb.WorkspaceShare {
	if s.Workspace == "" {
		return nil
	}
	return &peerpb.WorkspaceShare{Workspace: s.Workspace, Rate: s.Rate}
}

// shareOf returns whose request it is by a message, the zero value if capacity is not divided between workspaces here.
func (g *Gateway) shareOf(m *peerpb.WorkspaceShare) workerload.Share {
	if !g.settings.WorkspaceShares {
		return workerload.Share{}
	}
	return workerload.NewShare(m.GetWorkspace(), m.GetRate())
}

// recordOverShare records that an owner or keeper had no place for a job because its workspace holds more than its share.
func (g *Gateway) recordOverShare(j *forward.Job, a workerload.Answer) {
	if !a.OverShare {
		return
	}
	j.OverShare++
	g.metrics.overShare.WithLabelValues("declined").Inc()
	began := false
	g.locked(func() { began = j.Workspace != nil && g.overShares.Declined(j.Workspace.Name, g.now()) })
	if began {
		g.log.Info().Str("workspace", j.Workspace.Name).Str("service", j.Service).Int64("wait_ms", a.Wait.Milliseconds()).Msg("workspace is over its share")
	}
}

// logSharesEnded logs which workspaces are no longer over their shares. The lock is held.
func (g *Gateway) logSharesEnded() {
	for _, e := range g.overShares.Ended(g.now()) {
		g.log.Info().Str("workspace", e.Workspace).Int("declined", e.Declined).Msg("workspace is within its share")
	}
}

// chosenRefusal returns the refusal of a job for which a choice found no worker.
func (g *Gateway) chosenRefusal(j *forward.Job, c workerload.Choice, questions int) *verdict.Error {
	if !c.Share {
		return workersFullError(c.RetryAfter)
	}
	j.Placed = forward.Placed{How: placedOverShare, Questions: questions, Wait: c.RetryAfter}
	return g.refuseOverShare(workerload.SpreadRetry(c.RetryAfter, time.Until(j.Deadline), rand.Float64()))
}

// refuseOverShare returns the refusal of a job whose workspace holds more than its share.
func (g *Gateway) refuseOverShare(retryAfter time.Duration) *verdict.Error {
	g.metrics.overShare.WithLabelValues("refused").Inc()
	return refuse(http.StatusServiceUnavailable, placedOverShare, "capacity is short and the workspace holds more than its share of it", retryAfter)
}
