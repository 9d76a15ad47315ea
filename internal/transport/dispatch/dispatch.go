// Package dispatch runs admitted requests on backend servers: it obtains a place, sends, checks that the
// answer is the request's own, and retries or resumes by verdict. Decisions come from the coordination
// layer; this package does their I/O.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// Place is a place on an engine for one attempt.
type Place struct {
	Engine *fleet.Engine
	// Release gives the place back with the attempt's error, or nil.
	Release func(err error)
}

// Router finds places for attempts.
type Router interface {
	// Acquire waits for a place on an engine that holds the call's adapter version. avoid names the
	// engines of failed attempts.
	Acquire(ctx context.Context, c entry.Call, avoid []string) (Place, error)
}

// Retrier decides whether a failed attempt is followed by another.
type Retrier interface {
	// Retry reports whether to try again after a failure. sent says that a byte reached the caller.
	Retry(c entry.Call, attempt int, err *verdict.Error, sent bool) bool
	// Started counts a request, which feeds the retry budget.
	Started(c entry.Call)
}

// Runner runs admitted requests. It is safe for concurrent use.
type Runner struct {
	router  Router
	retrier Retrier
}

// New returns a runner.
func New(r Router, t Retrier) *Runner { return &Runner{router: r, retrier: t} }

// errWrongAdapter means that the engine ran another adapter version than asked for.
var errWrongAdapter = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "wrong_adapter",
	"the engine answered with another adapter version; its answer was dropped")

// request builds one attempt's request. Each attempt has an id of its own, so that the late answer of
// one attempt cannot be taken for another's.
func request(c entry.Call) backend.Request {
	return backend.Request{
		ID: uuid.NewString(), Path: c.Path, Adapter: c.Adapter, Body: c.Body, TraceParent: c.TraceParent,
	}
}

// Complete runs a request that is not streamed.
func (r *Runner) Complete(ctx context.Context, c entry.Call) (backend.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r.retrier.Started(c)
	var avoid []string
	for attempt := 1; ; attempt++ {
		answer, engine, err := r.completeOnce(ctx, c, avoid)
		if err == nil {
			return answer, nil
		}
		e := verdict.Of(err)
		if engine != "" {
			avoid = append(avoid, engine)
		}
		if ctx.Err() != nil || !r.retrier.Retry(c, attempt, e, false) {
			return backend.Answer{}, e
		}
	}
}

func (r *Runner) completeOnce(ctx context.Context, c entry.Call, avoid []string) (backend.Answer, string, error) {
	place, err := r.router.Acquire(ctx, c, avoid)
	if err != nil {
		return backend.Answer{}, "", err
	}
	answer, err := place.Engine.Client.Complete(ctx, request(c))
	if err == nil && answer.Adapter != c.Adapter {
		err = errWrongAdapter
	}
	place.Release(err)
	return answer, place.Engine.ID, err
}

// Stream runs a streamed request. The reader that it returns resumes or reruns a broken stream.
func (r *Runner) Stream(ctx context.Context, c entry.Call) (backend.ChunkReader, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	r.retrier.Started(c)
	s := &stream{ctx: ctx, cancel: cancel, runner: r, call: c}
	if err := s.open(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// cancelTimeout bounds the call that tells an engine to stop a request.
const cancelTimeout = 2 * time.Second

// retryAfter is what a caller is asked to wait when no backend server takes work.
const retryAfter = time.Second
