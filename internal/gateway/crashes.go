package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// crashCheckDelay is how long after a broken attempt the worker is checked: a crashed process no longer accepts
	// connections by then, and restarts only after seconds.
	crashCheckDelay = 150 * time.Millisecond
	// crashCheckTimeout bounds that check.
	crashCheckTimeout = 300 * time.Millisecond
	// maxBrokenAttempts bounds the broken attempts reported in one heartbeat or call, and maxCrashRefusals the refusals in
	// one heartbeat.
	maxBrokenAttempts = 50
	maxCrashRefusals  = 50
)

// repeatedRequest returns what identifies the job if its caller sends it again.
func repeatedRequest(j *forward.Job) retry.RepeatedRequest {
	r := retry.RepeatedRequest{
		Host: j.CallerHost, Adapter: adapter.Ref{Name: j.Model + "/" + j.Adapter}, Method: j.Method, URI: j.URI, Body: j.Body,
	}
	if j.Workspace != nil {
		r.Workspace, r.Key = j.Workspace.Name, j.Key
	}
	return r
}

// promptPartSuspects returns the parts of the job's prompt without the last, which no other request shares.
func promptPartSuspects(j *forward.Job) []retry.Suspect {
	var list []retry.Suspect
	for i := range len(j.Prefix) - 1 {
		list = append(list, retry.PromptPartSuspect(j.Prefix[i].ID))
	}
	return list
}

// crashSuspects returns what may be the cause if the job crashes a worker, the most common suspect first.
func crashSuspects(j *forward.Job) []retry.Suspect {
	return append(promptPartSuspects(j), repeatedRequest(j).Suspect())
}

// commonSuspects returns the crash suspects of the job that other jobs are likely to have at the same time.
func commonSuspects(j *forward.Job) []retry.Suspect {
	if repeatedRequest(j).Common() {
		return crashSuspects(j)
	}
	return promptPartSuspects(j)
}

// crashRefusal returns an error if the job must not be sent to a worker because requests like it crash workers. The lock
// is held.
func (g *Gateway) crashRefusal(j *forward.Job) *verdict.Error {
	if !g.crashes.Refuses() {
		return nil
	}
	r, refused := g.crashes.Refused(crashSuspects(j), g.now())
	if !refused {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "crashes_workers", "requests with "+string(r.Suspect)+" have crashed several backend servers", r.Remaining)
}

// answerBegan records that a worker began to answer the job, so that no part of its prompt crashes workers that read it. The
// request itself may still do that.
func (g *Gateway) answerBegan(j *forward.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sent, ok := g.sent[j]; ok {
		sent.begun = true
		g.sent[j] = sent
	}
	g.clearSuspects(promptPartSuspects(j), j.ID)
}

// answerEnded records that a worker answered the job completely, so that nothing in it crashes workers.
func (g *Gateway) answerEnded(j *forward.Job) {
	list := crashSuspects(j)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clearSuspects(list, j.ID)
}

// sentAttempt is an attempt that was sent to a worker and has not ended.
type sentAttempt struct {
	// revoke ends the attempt, which is done only before its answer has begun.
	revoke func()
	begun  bool
	// process names the worker process to which the attempt was sent.
	process string
	// adapter and version are what the worker was asked to use. The version is 0 if any was accepted.
	adapter residency.Adapter
	version int64
}

// attemptSent records an attempt that can be revoked until its answer begins.
func (g *Gateway) attemptSent(j *forward.Job, w *workers.Worker, a residency.Adapter, version int64, revoke func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent[j] = sentAttempt{revoke: revoke, process: g.processName(w), adapter: a, version: version}
}

// revokeOldVersions ends the attempts with an older version of an adapter whose answers have not begun: they wait in the
// queue of a worker, and would begin on the older version after the bound for new ones.
func (g *Gateway) revokeOldVersions(a residency.Adapter, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for j, sent := range g.sent {
		if !sent.begun && sent.adapter == a && sent.version < version {
			g.log.Info().Str("request", j.ID).Str("adapter", a.String()).Int64("version", sent.version).Int64("newest", version).Msg("attempt with an old version revoked")
			sent.revoke()
		}
	}
}

// processName names the process that a request sent to the worker now reaches. The registry shows a restart only seconds
// after it, so that each crash since the start that the registry shows stands for one more process. The lock is held.
func (g *Gateway) processName(w *workers.Worker) string {
	incarnation := incarnationName(w)
	name := incarnation
	for restarts := 1; g.crashes.Confirmed(name); restarts++ {
		name = incarnation + "+" + strconv.Itoa(restarts)
	}
	return name
}

// revokeAttempts ends the attempts with a refused suspect whose answers have not begun. The lock is held.
func (g *Gateway) revokeAttempts(r retry.Refusal) {
	for j, sent := range g.sent {
		if !sent.begun && slices.Contains(crashSuspects(j), r.Suspect) {
			g.log.Info().Str("request", j.ID).Str("suspect", string(r.Suspect)).Msg("attempt revoked")
			sent.revoke()
		}
	}
}

// clearSuspects records that suspects were answered, and tells the other instances of refusals that this ends. The lock
// is held.
func (g *Gateway) clearSuspects(list []retry.Suspect, request string) {
	for _, s := range g.crashes.Answered(list, g.now()) {
		g.log.Info().Str("suspect", string(s)).Str("request", request).Msg("refusal of crashing requests ended by an answer")
		g.shareCrashReport(crashReport{answered: []retry.Suspect{s}})
	}
}

// recordBrokenAttempt records an attempt that broke off at a worker process. If its answer had not begun, it is evidence
// against what it has in common with other requests. If there is other evidence against that, or none against anything at
// that process, a check in the background finds out whether the process has ended. If its answer had begun, it is evidence
// against the request alone, and only if the process has ended: a worker's crash cuts the streams of many other requests, which
// have parts of prompts in common, and a network cuts streams as well. The lock is held.
func (g *Gateway) recordBrokenAttempt(j *forward.Job, w *workers.Worker, process string, o forward.Outcome) {
	suspects := crashSuspects(j)
	g.log.Info().Str("request", j.ID).Str("worker", w.ID).Stringer("outcome", o).Strs("suspects", suspectStrings(suspects)).Msg("attempt broke off")
	begun := o == forward.Interrupted
	if begun {
		suspects = suspects[len(suspects)-1:]
	}
	now := g.now()
	b := retry.BrokenAttempt{
		Worker:   process,
		Suspects: g.crashes.Unanswered(suspects, now), Own: true,
	}
	if len(b.Suspects) == 0 {
		return
	}
	g.crashes.Hold(b.Suspects, now)
	e := crashEvidence{attempt: b, common: len(g.crashes.Unanswered(commonSuspects(j), now)) > 0, begun: begun}
	check := g.crashChecks[process]
	switch first := !g.crashes.Known(process); {
	case begun && g.crashes.Confirmed(process):
		e.report(g, true)
	case begun && check != nil:
		check.add(e)
	case begun:
		g.startCrashCheck(w, e)
	default:
		e.report(g, false)
		if (first || g.crashes.Suspected(b.Suspects, process, now)) && !g.crashes.Confirmed(process) && check == nil {
			g.startCrashCheck(w, e)
		}
	}
}

// crashEvidence is a broken attempt.
type crashEvidence struct {
	attempt retry.BrokenAttempt
	// common means that other requests have its suspects, and begun that its answer had begun.
	common, begun bool
}

// report reports the attempt, with what is known of its worker process. The other instances are asked at once for answers to what it has
// in common with other requests. Since a crash cuts many streams, those that had begun wait for evidence of another crash. The
// lock is held.
func (e crashEvidence) report(g *Gateway, crashed bool) {
	e.attempt.Crashed = crashed
	g.reportBrokenAttempt(e.attempt, e.common && (!e.begun || g.crashes.Suspected(e.attempt.Suspects, e.attempt.Worker, g.now())))
}

// crashCheck is a check whether a worker process has ended. The attempts are evidence if it has.
type crashCheck struct{ attempts []crashEvidence }

func (c *crashCheck) add(e crashEvidence) {
	if len(c.attempts) < maxBrokenAttempts {
		c.attempts = append(c.attempts, e)
	}
}

// startCrashCheck starts the check of the worker process at which an attempt broke off. The lock is held.
func (g *Gateway) startCrashCheck(w *workers.Worker, e crashEvidence) {
	check := &crashCheck{attempts: []crashEvidence{e}}
	g.crashChecks[e.attempt.Worker] = check
	g.start("check after a broken attempt", func(ctx context.Context) { g.checkCrash(ctx, w, e.attempt.Worker, check) })
}

// checkCrash finds out whether the worker's process has ended since an attempt broke off there, and reports it.
func (g *Gateway) checkCrash(ctx context.Context, w *workers.Worker, process string, check *crashCheck) {
	sleep(ctx, crashCheckDelay)
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	crashed := g.pool.ConnectionRefused(ctx, w)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.crashChecks, process)
	g.log.Info().Str("worker", w.ID).Bool("crashed", crashed).Msg("worker checked after a broken attempt")
	if !crashed {
		return
	}
	for _, e := range check.attempts {
		e.report(g, true)
	}
}

// reportBrokenAttempt reports a broken attempt of this instance in the next heartbeat, and at once if its suspects are common
// ones: they come to all instances, faster than heartbeats are read. The lock is held.
func (g *Gateway) reportBrokenAttempt(b retry.BrokenAttempt, common bool) {
	if len(g.brokenAttempts) < maxBrokenAttempts {
		g.brokenAttempts = append(g.brokenAttempts, brokenAttemptRecord(b))
	}
	if common {
		g.shareCrashReport(crashReport{attempts: []retry.BrokenAttempt{b}})
		return
	}
	g.crashes.Add(b, g.now())
	g.decideCrashes()
}

// decideCrashes refuses what the evidence suffices for, and tells the other instances. The lock is held.
func (g *Gateway) decideCrashes() {
	for _, r := range g.crashes.Decide(g.now()) {
		g.log.Warn().Str("suspect", string(r.Suspect)).Dur("for_ms", r.Remaining).Int("number", r.Number).Msg("requests that crash workers are refused")
		g.shareCrashReport(crashReport{refusals: []retry.Refusal{r}})
		g.revokeAttempts(r)
	}
}

// adoptCrashRefusal applies the refusal of another instance. If this instance knows better, it says so. The lock is held.
func (g *Gateway) adoptCrashRefusal(r retry.Refusal, from string) {
	now := g.now()
	switch {
	case g.crashes.Adopt(r, now):
		g.log.Warn().Str("suspect", string(r.Suspect)).Dur("for_ms", r.Remaining).Int("number", r.Number).Str("from", from).Msg("requests that crash workers are refused")
		g.revokeAttempts(r)
	case g.crashes.RecentlyAnswered(r.Suspect, now):
		g.shareCrashReport(crashReport{answered: []retry.Suspect{r.Suspect}})
	}
}

// applyCrashRecords applies what another instance's heartbeat says of crashes. The lock is held.
func (g *Gateway) applyCrashRecords(instance string, h *fleetlog.Heartbeat) {
	for _, b := range h.BrokenAttempts {
		g.crashes.Add(brokenAttempt(b), g.now())
	}
	g.adoptCrashRefusals(instance, h)
}

// adoptCrashRefusals applies the refusals in another instance's heartbeat. The lock is held.
func (g *Gateway) adoptCrashRefusals(instance string, h *fleetlog.Heartbeat) {
	for _, r := range h.CrashRefusals {
		g.adoptCrashRefusal(crashRefusal(r), instance)
	}
}

// takeBrokenAttempts returns and resets the broken attempts to report. The lock is held.
func (g *Gateway) takeBrokenAttempts() []fleetlog.BrokenAttempt {
	list := g.brokenAttempts
	g.brokenAttempts = nil
	return list
}

// crashRefusalRecords returns the refusals in force for a heartbeat. The lock is held.
func (g *Gateway) crashRefusalRecords() []fleetlog.CrashRefusal {
	var list []fleetlog.CrashRefusal
	for _, r := range g.crashes.Refusals(g.now()) {
		if len(list) == maxCrashRefusals {
			break
		}
		record := fleetlog.CrashRefusal{RemainingMS: r.Remaining.Milliseconds(), Number: r.Number}
		if id, isPart := r.Suspect.PromptPart(); isPart {
			record.PromptPart = id
		} else {
			record.Request = string(r.Suspect)
		}
		list = append(list, record)
	}
	return list
}

func brokenAttemptRecord(b retry.BrokenAttempt) fleetlog.BrokenAttempt {
	record := fleetlog.BrokenAttempt{Worker: b.Worker, Crashed: b.Crashed}
	for _, s := range b.Suspects {
		if id, isPart := s.PromptPart(); isPart {
			record.PromptParts = append(record.PromptParts, id)
		} else {
			record.Request = string(s)
		}
	}
	return record
}

func brokenAttempt(record fleetlog.BrokenAttempt) retry.BrokenAttempt {
	b := retry.BrokenAttempt{Worker: record.Worker, Crashed: record.Crashed}
	for _, id := range record.PromptParts {
		b.Suspects = append(b.Suspects, retry.PromptPartSuspect(id))
	}
	if record.Request != "" {
		b.Suspects = append(b.Suspects, retry.RequestSuspect(record.Request))
	}
	return b
}

func crashRefusal(record fleetlog.CrashRefusal) retry.Refusal {
	r := retry.Refusal{
		Suspect:   retry.RequestSuspect(record.Request),
		Remaining: time.Duration(record.RemainingMS) * time.Millisecond, Number: record.Number,
	}
	if record.PromptPart != "" {
		r.Suspect = retry.PromptPartSuspect(record.PromptPart)
	}
	return r
}

func suspectStrings(list []retry.Suspect) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, string(s))
	}
	return out
}
