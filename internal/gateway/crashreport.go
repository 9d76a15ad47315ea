package gateway

import (
	"context"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

const (
	// crashReportDelay is how long a report is delayed so that it contains all attempts that a crash cut off.
	crashReportDelay = 20 * time.Millisecond
	// crashReportDelayPerMember lengthens the delay with the fleet, so that an instance makes at most a thousand of these
	// calls a second.
	crashReportDelayPerMember = time.Millisecond
	// crashReportTimeout bounds the call to one instance.
	crashReportTimeout = 150 * time.Millisecond
)

// crashReport is what an instance tells the others about crashes.
type crashReport struct {
	attempts []retry.BrokenAttempt
	refusals []retry.Refusal
	answered []retry.Suspect
}

// shareCrashReport adds to the next report to the other instances, and schedules it. The lock is held.
func (g *Gateway) shareCrashReport(r crashReport) {
	scheduled := g.crashReport != nil
	if !scheduled {
		g.crashReport = &crashReport{}
	}
	if len(g.crashReport.attempts) < maxBrokenAttempts {
		g.crashReport.attempts = append(g.crashReport.attempts, r.attempts...)
	}
	g.crashReport.refusals = append(g.crashReport.refusals, r.refusals...)
	g.crashReport.answered = append(g.crashReport.answered, r.answered...)
	if scheduled {
		return
	}
	delay := crashReportDelay + time.Duration(g.fleetSize)*crashReportDelayPerMember
	g.start("report of crashes", func(ctx context.Context) {
		if sleep(ctx, delay) {
			g.sendCrashReport(ctx)
		}
	})
}

// sendCrashReport sends the pending report to all instances. This instance's own attempts count as evidence only after
// the others had the opportunity to say which of the suspects they have seen answered.
func (g *Gateway) sendCrashReport(ctx context.Context) {
	g.mu.Lock()
	report := g.crashReport
	g.crashReport = nil
	members := g.members.Live(g.now(), quota.TakeoverDelay)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	message := crashReportMessage(report)
	responses := make(chan *peerpb.ReportCrashesResponse, len(members))
	calls := 0
	for _, m := range members {
		if m.Incarnation == g.incarnation {
			continue
		}
		calls++
		go func() {
			var r *peerpb.ReportCrashesResponse
			defer func() { responses <- r }()
			g.guard("report of crashes to a peer", func() {
				var err error
				if r, err = g.peers.clients.ReportCrashes(ctx, m.Heartbeat.Address, message); err != nil {
					// The heartbeat contains the same.
					g.log.Debug().Err(err).Str("peer", m.Instance).Msg("peer not reached with a report of crashes")
				}
			})
		}()
	}
	var answered []retry.Suspect
	for range calls {
		r := <-responses
		for _, s := range r.GetAnswered() {
			answered = append(answered, retry.Suspect(s))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clearSuspects(answered, "")
	for _, b := range report.attempts {
		g.crashes.Add(b, g.now())
	}
	g.decideCrashes()
}

func crashReportMessage(r *crashReport) *peerpb.ReportCrashesRequest {
	m := &peerpb.ReportCrashesRequest{Answered: suspectStrings(r.answered)}
	for _, b := range r.attempts {
		m.Attempts = append(m.Attempts, &peerpb.BrokenAttempt{Engine: b.Worker, Crashed: b.Crashed, Suspects: suspectStrings(b.Suspects)})
	}
	for _, f := range r.refusals {
		m.Refusals = append(m.Refusals, &peerpb.CrashRefusal{Suspect: string(f.Suspect), RemainingMs: f.Remaining.Milliseconds(), Number: int32(f.Number)})
	}
	return m
}

// ReportCrashes implements peerpb.PeerServer.
func (p *peers) ReportCrashes(_ context.Context, m *peerpb.ReportCrashesRequest) (*peerpb.ReportCrashesResponse, error) {
	g := p.g
	g.mu.Lock()
	defer g.mu.Unlock()
	response := &peerpb.ReportCrashesResponse{}
	now := g.now()
	noteAnswered := func(s string) {
		if g.crashes.RecentlyAnswered(retry.Suspect(s), now) {
			response.Answered = append(response.Answered, s)
		}
	}
	for _, a := range m.Attempts {
		b := retry.BrokenAttempt{Worker: a.Engine, Crashed: a.Crashed}
		for _, s := range a.Suspects {
			b.Suspects = append(b.Suspects, retry.Suspect(s))
			noteAnswered(s)
		}
		g.crashes.Add(b, now)
	}
	for _, r := range m.Refusals {
		noteAnswered(r.Suspect)
		g.adoptCrashRefusal(retry.Refusal{
			Suspect: retry.Suspect(r.Suspect), Remaining: time.Duration(r.RemainingMs) * time.Millisecond, Number: int(r.Number),
		}, "")
	}
	for _, s := range m.Answered {
		if ended := g.crashes.Answered([]retry.Suspect{retry.Suspect(s)}, now); len(ended) > 0 {
			g.log.Info().Str("suspect", s).Msg("refusal of crashing requests ended by an answer")
		}
	}
	return response, nil
}
