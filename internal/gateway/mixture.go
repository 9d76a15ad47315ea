package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// maxPromptParts bounds the parts of a prompt that are reported to a worker's owner.
const maxPromptParts = 16

// mixOf returns what is known of the prompts of a service. The lock is held.
func (g *Gateway) mixOf(service string) *workerload.Mix {
	m := g.mixes[service]
	if m == nil {
		m = workerload.NewMix()
		g.mixes[service] = m
	}
	return m
}

// jobSize returns the size of a job, and what else decides on its place if the routes of its service bring prompts of very
// different sizes.
func (g *Gateway) jobSize(j *forward.Job) workerload.Request {
	r := requestSize(j.PromptTokens, j.OutputTokens)
	if !g.settings.MixedPrompts {
		return r
	}
	waited := time.Since(j.Arrived)
	r.Late, r.Owed = waited >= j.Route.TargetLatency, workerload.Owed(waited, time.Until(j.Deadline), j.Route.TargetLatency)
	for i, part := range j.Prefix {
		if i == maxPromptParts {
			break
		}
		h := fnv.New64a()
		// A hash reports no error.
		_, _ = h.Write([]byte(j.Model + "/" + j.Adapter + "/" + part.ID))
		r.Parts = append(r.Parts, workerload.Part{ID: binary.BigEndian.Uint64(h.Sum(nil)), Tokens: max(0, part.Tokens)})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.mixOf(j.Service)
	r.Mixture, r.Expected = m.Mixture(), m.Expected(j.Route.Name, j.LengthHint, r.Output)
	return r
}

// requestMix returns the message from which an owner reads requestOfMix, nil if there is nothing to send.
func requestMix(r workerload.Request) *peerpb.RequestMix {
	if r.Mixture.Long == 0 && len(r.Parts) == 0 && r.Expected == 0 {
		return nil
	}
	out := &peerpb.RequestMix{
		ShortTargetMs: r.Mixture.ShortTarget.Milliseconds(), ShortTokens: r.Mixture.Short, LongTokens: r.Mixture.Long,
		Late: r.Late, Owed: r.Owed, ExpectedOutputTokens: r.Expected,
	}
	for _, p := range r.Parts {
		out.Parts, out.PartTokens = append(out.Parts, p.ID), append(out.PartTokens, p.Tokens)
	}
	return out
}

// requestOfMix returns a request of a size with what a message says about it. A message of an instance that knows no mixtures is nil.
func requestOfMix(prompt, output int64, m *peerpb.RequestMix) workerload.Request {
	r := requestSize(prompt, output)
	r.Late, r.Owed, r.Expected = m.GetLate(), m.GetOwed(), min(max(0, m.GetExpectedOutputTokens()), r.Output)
	if m.GetShortTargetMs() > 0 && m.GetShortTokens() > 0 && m.GetLongTokens() > m.GetShortTokens() {
		r.Mixture = workerload.Mixture{ShortTarget: time.Duration(m.GetShortTargetMs()) * time.Millisecond, Short: m.GetShortTokens(), Long: m.GetLongTokens()}
	}
	for i, id := range m.GetParts() {
		if i < min(len(m.GetPartTokens()), maxPromptParts) {
			r.Parts = append(r.Parts, workerload.Part{ID: id, Tokens: max(0, m.GetPartTokens()[i])})
		}
	}
	return r
}

// heldJob is the error of a job for which no worker has a place yet: it waits and is placed anew.
type heldJob struct {
	// wait is when a worker is expected to begin it, 0 if that is not known.
	wait time.Duration
	// elsewhere is set if the adapter was to be loaded at a further worker for it.
	elsewhere bool
}

func (heldJob) Error() string { return "no backend server has a place for the request yet" }

// placeInMixture places a job at an engine. Where the routes of its service bring a mixture of long and short prompts, a job
// without a place waits here until it gets one, or until no worker is expected to begin it before its deadline.
func (g *Gateway) placeInMixture(ctx context.Context, j *forward.Job, firstAttempt bool) (forward.Reservation, error) {
	if firstAttempt {
		g.jobArrived(j)
	}
	var held heldJob
	for {
		reservation, err := g.placeEngine(ctx, j, held.elsewhere)
		if !errors.As(err, &held) {
			return g.withLength(reservation, j), err
		}
		if !g.hold(ctx, j, held.wait) {
			return forward.Reservation{}, workersFullError(held.wait)
		}
	}
}

// holdsForLoad reports whether a job whose adapter no owner loads now waits until they are asked again: in a mixture, late
// work is not let in beside work that is on time. Once it is owed a place, it is refused rather than held until its deadline.
func (g *Gateway) holdsForLoad(ctx context.Context, j *forward.Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.MixedPrompts && g.mixOf(j.Service).Mixture().Long > 0 && ctx.Err() == nil &&
		!workerload.Owed(time.Since(j.Arrived), time.Until(j.Deadline), j.Route.TargetLatency)
}

// hold lets a job for which no worker has a place wait until workers are asked again. It reports false if the job's context
// has ended.
func (g *Gateway) hold(ctx context.Context, j *forward.Job, wait time.Duration) bool {
	d := workerload.HoldTime(wait, time.Since(j.Arrived), time.Until(j.Deadline))
	j.Held += d
	g.metrics.holds.Inc()
	return sleep(ctx, d)
}

// withLength lets a reservation record how long the answer to a job with a length hint takes.
func (g *Gateway) withLength(r forward.Reservation, j *forward.Job) forward.Reservation {
	if !g.settings.MixedPrompts || j.LengthHint <= 0 || r.Worker == nil {
		return r
	}
	began := time.Duration(0)
	answering, done := r.Answering, r.Done
	r.Answering = func() {
		began = g.now()
		answering()
	}
	r.Done = func(o forward.Outcome) {
		if o == forward.Succeeded && began > 0 {
			g.locked(func() { g.mixOf(j.Service).Answered(j.Route.Name, j.LengthHint, g.now()-began) })
		}
		done(o)
	}
	return r
}

// jobArrived records the size of a job in the mix of its service, and logs when a mixture begins or ends.
func (g *Gateway) jobArrived(j *forward.Job) {
	if !g.settings.MixedPrompts {
		return
	}
	g.mu.Lock()
	m := g.mixOf(j.Service)
	before := m.Mixture()
	m.Arrived(j.Route.Name, j.PromptTokens, j.Route.TargetLatency)
	after := m.Mixture()
	g.mu.Unlock()
	if before.Long > 0 == (after.Long > 0) {
		return
	}
	g.metrics.mixedServices.WithLabelValues(j.Service).Set(float64(after.Long))
	g.log.Info().Str("service", j.Service).Bool("mixed", after.Long > 0).Int64("short_tokens", after.Short).Int64("long_tokens", after.Long).
		Int64("short_target_ms", after.ShortTarget.Milliseconds()).Msg("mixture of prompts changed")
}
