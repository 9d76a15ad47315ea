package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// Gate counts the requests in flight on engines, so that the owner of an engine does not evict an adapter version in
// use. Its methods do no I/O.
type Gate interface {
	// Begin counts a request immediately before it is sent. It returns ErrRetired if the adapter version is about to
	// be evicted, and another error if the instance must not dispatch at all.
	Begin(engine string, a adapter.Ref) error
	// End stops counting a request that has certainly ended.
	End(engine string, a adapter.Ref)
	// EndUnconfirmed takes a request that the engine may still run. It counts as in flight until the engine confirms
	// that it has stopped.
	EndUnconfirmed(engine *fleet.Engine, a adapter.Ref, requestID string)
	// Retired reports whether Begin would return ErrRetired.
	Retired(engine string, a adapter.Ref) bool
}

// ErrRetired refuses a request whose adapter version is about to be evicted from its engine.
var ErrRetired = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "adapter_retired",
	"the adapter version is about to be evicted from the engine").WithRetryAfter(retryAfter)

// CancelConfirmed reports whether the result of a cancellation shows that the engine no longer runs the request.
func CancelConfirmed(err error) bool {
	if err == nil {
		return true
	}
	v := verdict.FromError(err)
	return v.Verdict == verdict.NotRun && v.Code != codeUnreachable
}

// codeUnreachable is the error code for a failed connection to an engine.
const codeUnreachable = "engine_unreachable"

// acquire reserves capacity on an engine where the adapter version is not retired. A refusal by the gate does not count
// as an attempt, since nothing was sent.
func (r *Runner) acquire(ctx context.Context, c entry.Call) (Reservation, error) {
	start := time.Now()
	for {
		reservation, err := r.router.Acquire(ctx, c)
		if err != nil {
			return Reservation{}, err
		}
		if err = r.gate.Begin(reservation.Engine.ID, c.Adapter); err == nil {
			r.recordEvent(event.Event{
				Kind: event.Dispatch, RequestID: c.RequestID, Workspace: c.Workspace, Adapter: c.Adapter.Name,
				Version: c.Adapter.Version, Engine: reservation.Engine.ID, Duration: time.Since(start),
			})
			return reservation, nil
		}
		reservation.Release(Outcome{Err: err})
		if verdict.FromError(err).Code != ErrRetired.Code {
			return Reservation{}, err
		}
	}
}

// attemptEnded tells the gate that an attempt has ended. After an error, only a refusal shows that the engine does not
// run the request.
func (r *Runner) attemptEnded(reservation Reservation, a adapter.Ref, requestID string, err error) {
	if err == nil || verdict.FromError(err).Verdict == verdict.NotRun {
		r.gate.End(reservation.Engine.ID, a)
		return
	}
	r.gate.EndUnconfirmed(reservation.Engine, a, requestID)
}
