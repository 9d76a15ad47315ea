// Package dispatch runs admitted requests on backend servers: it obtains a place, sends, checks that the
// answer is the request's own, and retries or resumes by verdict. Decisions come from the coordination
// layer; this package does their I/O.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// Outcome is how an attempt ended.
type Outcome struct {
	Err error
	// Tokens is the service that the attempt used.
	Tokens int
}

// refused reports whether the engine refused on purpose or the attempt was not made, neither of which
// says that the engine is faulty.
func (o Outcome) refused() bool {
	return o.Err != nil && verdict.FromError(o.Err).Code != codeUnreachable && verdict.FromError(o.Err).Verdict == verdict.NotRun
}

// Place is a place on an engine for one attempt.
type Place struct {
	Engine *fleet.Engine
	// Release gives the place back. Only its first call has an effect.
	Release func(Outcome)
}

// Router finds places for attempts.
type Router interface {
	// Acquire waits for a place on an engine that holds the call's adapter version.
	Acquire(ctx context.Context, c entry.Call) (Place, error)
	// Reported takes over an engine's report.
	Reported(r fleet.Report)
}

// Runner runs admitted requests. It is safe for concurrent use.
type Runner struct {
	router Router
	record func(event.Event)
	gate   Gate

	mu     sync.Mutex
	budget retry.Budget
}

// New returns a runner. record adds an event to the timeline.
func New(r Router, g Gate, record func(event.Event)) *Runner {
	return &Runner{router: r, gate: g, record: record}
}

// errWrongAdapter means that the engine ran another adapter version than asked for.
var errWrongAdapter = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "wrong_adapter",
	"the engine answered with another adapter version; its answer was dropped")

// retryAfter is what a caller is asked to wait when no backend server takes work.
const retryAfter = time.Second

// probeTimeout bounds the question to an engine whose connection failed.
const probeTimeout = 2 * time.Second

// request builds one attempt's request. Each attempt has an id of its own, so that the late answer of
// one attempt cannot be taken for another's.
func request(c entry.Call) backend.Request {
	return backend.Request{
		ID: uuid.NewString(), Path: c.Path, Adapter: c.Adapter, Body: c.Body, TraceParent: c.TraceParent,
	}
}

// newCall starts the retry state of a request. A completion has no side effect, so it is idempotent.
func (r *Runner) newCall(c entry.Call) *retry.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.NewCall(c.RequestID, true, c.Deadline, &r.budget)
}

// failed decides what follows a failed attempt, and waits if it is to be repeated.
func (r *Runner) failed(ctx context.Context, call *retry.Call, err error, resumable bool) retry.Decision {
	if ctx.Err() != nil {
		return retry.Decision{}
	}
	r.mu.Lock()
	d := call.Failed(retry.Failure{Verdict: verdict.FromError(err).Verdict, Resumable: resumable}, time.Now())
	r.mu.Unlock()
	if d.Action != retry.Retry {
		return d
	}
	t := time.NewTimer(d.Wait)
	defer t.Stop()
	select {
	case <-t.C:
		return d
	case <-ctx.Done():
		return retry.Decision{}
	}
}

// giveUp returns the error of the last attempt with the verdict of all attempts. The verdict of a first
// attempt is its own also when the request ended before a decision.
func giveUp(call *retry.Call, err error) error {
	e := *verdict.FromError(err)
	if call.Attempts() > 1 {
		e.Verdict = call.Verdict()
	}
	return &e
}

// probe asks an engine whose connection failed for its state, so that a crash is attributed to the
// requests that ran on it before any of them runs again.
func (r *Runner) probe(ctx context.Context, e *fleet.Engine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	status, err := e.Client.Status(ctx)
	r.router.Reported(fleet.Report{EngineID: e.ID, Status: status, Err: err})
}

// Complete runs a request that is not streamed.
func (r *Runner) Complete(ctx context.Context, c entry.Call) (backend.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	call := r.newCall(c)
	for {
		answer, err := r.completeOnce(ctx, c)
		if err == nil {
			return answer, nil
		}
		if r.failed(ctx, call, err, false).Action != retry.Retry {
			return backend.Answer{}, giveUp(call, err)
		}
	}
}

func (r *Runner) completeOnce(ctx context.Context, c entry.Call) (backend.Answer, error) {
	place, err := r.acquire(ctx, c)
	if err != nil {
		return backend.Answer{}, err
	}
	req := request(c)
	answer, err := place.Engine.Client.Complete(ctx, req)
	if err == nil && answer.Adapter != c.Adapter {
		err = errWrongAdapter
	}
	r.over(place, c.Adapter, req.ID, err)
	if err != nil && ctx.Err() == nil && verdict.FromError(err).Verdict == verdict.MayHaveRun {
		r.probe(ctx, place.Engine)
	}
	place.Release(Outcome{Err: err, Tokens: answer.Usage.TotalTokens})
	return answer, err
}

// Stream runs a streamed request. The reader that it returns resumes or reruns a broken stream.
func (r *Runner) Stream(ctx context.Context, c entry.Call) (backend.ChunkReader, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	s := &stream{ctx: ctx, cancel: cancel, runner: r, call: c, retry: r.newCall(c)}
	if err := s.open(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// cancelTimeout bounds the call that tells an engine to stop a request.
const cancelTimeout = 2 * time.Second
