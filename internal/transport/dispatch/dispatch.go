// Package dispatch runs admitted requests on backend servers: it reserves capacity on an engine, sends the request,
// checks that the response belongs to it, and retries or resumes it according to the verdict. The packages under
// coordination take the decisions; this package does the I/O.
package dispatch

import (
	"context"
	"errors"
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
	"github.com/turmericworks/turmericworks/internal/transport/guard"
)

// Outcome is the result of an attempt.
type Outcome struct {
	Err error
	// Tokens is the number of tokens that the attempt used.
	Tokens int
}

// refused reports whether the engine deliberately refused the attempt or it was never sent. Neither indicates a fault
// of the engine.
func (o Outcome) refused() bool {
	return o.Err != nil && verdict.FromError(o.Err).Code != codeUnreachable && verdict.FromError(o.Err).Verdict == verdict.NotRun
}

// Reservation is capacity reserved on an engine for one attempt.
type Reservation struct {
	Engine *fleet.Engine
	// Answering reports that the first chunk of a stream has arrived.
	Answering func()
	// Release returns the capacity. Calls after the first have no effect.
	Release func(Outcome)
}

// Router reserves capacity for attempts.
type Router interface {
	// Acquire waits for capacity on an engine that holds the call's adapter version.
	Acquire(ctx context.Context, c entry.Call) (Reservation, error)
	// HandleReport processes an engine's report.
	HandleReport(r fleet.Report)
}

// Runner runs admitted requests. It is safe for concurrent use.
type Runner struct {
	router      Router
	recordEvent func(event.Event)
	gate        Gate

	mu     sync.Mutex
	budget retry.Budget
}

// New returns a runner. recordEvent adds an event to the timeline.
func New(r Router, g Gate, recordEvent func(event.Event)) *Runner {
	return &Runner{router: r, gate: g, recordEvent: recordEvent}
}

// errWrongAdapter means that the engine ran another adapter version than the requested one.
var errWrongAdapter = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "wrong_adapter",
	"the engine answered with another adapter version; its answer was dropped")

// retryAfter is the Retry-After of refusals because no backend server accepts work.
const retryAfter = time.Second

// probeTimeout bounds the status request to an engine whose connection failed.
const probeTimeout = 2 * time.Second

// newRequest returns the request of one attempt. Each attempt has its own ID, so that the late response to one attempt
// cannot be taken for the response to another.
func newRequest(c entry.Call) backend.Request {
	return backend.Request{
		ID: uuid.NewString(), Path: c.Path, Adapter: c.Adapter, Body: c.Body, TraceParent: c.TraceParent,
	}
}

// newRetryState returns the retry state of a new request. A completion has no side effects, so it is idempotent.
func (r *Runner) newRetryState(c entry.Call) *retry.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.NewCall(c.RequestID, true, c.Deadline, &r.budget)
}

// afterFailure decides what follows a failed attempt. If the decision is to retry, it first waits for the delay of the
// retry.
func (r *Runner) afterFailure(ctx context.Context, call *retry.Call, err error, resumable bool) retry.Decision {
	if ctx.Err() != nil || errors.Is(err, guard.ErrNoDescriptor) {
		// Without a descriptor, the request is refused at once.
		r.requestEnded(call, verdict.FromError(err).Verdict)
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
		r.requestEnded(call, verdict.NotRun)
		return retry.Decision{}
	}
}

// requestEnded records that a request has ended, with the verdict of the attempt that was made or would have followed.
func (r *Runner) requestEnded(call *retry.Call, v verdict.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call.Ended(v)
}

// finalError returns the error of the last attempt with the verdict of all attempts. An only attempt keeps its own
// verdict, also if the request ended before a retry was decided on.
func finalError(call *retry.Call, err error) error {
	e := *verdict.FromError(err)
	if call.Attempts() > 1 {
		e.Verdict = call.Verdict()
	}
	if e.Verdict != verdict.NotRun && verdict.IsPromise(e.Status) {
		// An earlier attempt may have run, which the refusal of the last one does not tell.
		e.Status, e.RetryAfter = http.StatusBadGateway, 0
	}
	return &e
}

// probe requests the status of an engine whose connection failed, so that a crash is attributed to the requests that
// ran on the engine before any of them is retried.
func (r *Runner) probe(ctx context.Context, e *fleet.Engine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	status, err := e.Client.Status(ctx)
	r.router.HandleReport(fleet.Report{EngineID: e.ID, Status: status, Err: err})
}

// Complete runs a request without streaming.
func (r *Runner) Complete(ctx context.Context, c entry.Call) (backend.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	call := r.newRetryState(c)
	for {
		response, err := r.completeOnce(ctx, c)
		if err == nil {
			return response, nil
		}
		if r.afterFailure(ctx, call, err, false).Action != retry.Retry {
			return backend.Response{}, finalError(call, err)
		}
	}
}

func (r *Runner) completeOnce(ctx context.Context, c entry.Call) (backend.Response, error) {
	reservation, err := r.acquire(ctx, c)
	if err != nil {
		return backend.Response{}, err
	}
	req := newRequest(c)
	response, err := reservation.Engine.Client.Complete(ctx, req)
	if err == nil && response.Adapter != c.Adapter {
		err = errWrongAdapter
	}
	r.attemptEnded(reservation, c.Adapter, req.ID, err)
	if err != nil && ctx.Err() == nil && verdict.FromError(err).Verdict == verdict.MayHaveRun {
		r.probe(ctx, reservation.Engine)
	}
	reservation.Release(Outcome{Err: err, Tokens: response.Usage.TotalTokens})
	return response, err
}

// Stream runs a streamed request. The returned reader resumes or restarts a broken stream.
func (r *Runner) Stream(ctx context.Context, c entry.Call) (backend.ChunkReader, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	s := &stream{ctx: ctx, cancel: cancel, runner: r, call: c, retry: r.newRetryState(c)}
	if err := s.open(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// cancelTimeout bounds the call that cancels a request on an engine.
const cancelTimeout = 2 * time.Second
