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

// Gate counts requests in flight for the owners of engines, which evict no adapter version in use. Its
// methods do no I/O.
type Gate interface {
	// Begin counts a request immediately before it is sent. It returns ErrRetired if the adapter
	// version is about to be evicted, and another error if the instance must not dispatch at all.
	Begin(engine string, a adapter.Ref) error
	// End counts a request that has surely stopped.
	End(engine string, a adapter.Ref)
	// Lost takes over a request that the engine may still run. It is in flight until the engine
	// confirms that it has stopped.
	Lost(engine *fleet.Engine, a adapter.Ref, requestID string)
	// Retired reports whether Begin would return ErrRetired.
	Retired(engine string, a adapter.Ref) bool
}

// ErrRetired refuses a request whose adapter version is about to be evicted from its engine.
var ErrRetired = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "adapter_retired",
	"the adapter version is about to be evicted from the engine").WithRetryAfter(retryAfter)

// Stopped reports whether the result of a cancellation shows that the engine does not run the request.
func Stopped(err error) bool {
	if err == nil {
		return true
	}
	v := verdict.FromError(err)
	return v.Verdict == verdict.NotRun && v.Code != codeUnreachable
}

// codeUnreachable is the code of an error of an engine's connection.
const codeUnreachable = "engine_unreachable"

// acquire waits for a place whose adapter version is not retired. A refusal by the gate costs no attempt,
// since nothing was sent.
func (r *Runner) acquire(ctx context.Context, c entry.Call) (Place, error) {
	start := time.Now()
	for {
		place, err := r.router.Acquire(ctx, c)
		if err != nil {
			return Place{}, err
		}
		if err = r.gate.Begin(place.Engine.ID, c.Adapter); err == nil {
			r.record(event.Event{
				Kind: event.Dispatch, RequestID: c.RequestID, Workspace: c.Workspace, Adapter: c.Adapter.Name,
				Version: c.Adapter.Version, Engine: place.Engine.ID, Duration: time.Since(start),
			})
			return place, nil
		}
		place.Release(Outcome{Err: err})
		if verdict.FromError(err).Code != ErrRetired.Code {
			return Place{}, err
		}
	}
}

// over tells the gate the end of an attempt. Without a clean end, only a refusal shows that the engine
// does not run the request.
func (r *Runner) over(p Place, a adapter.Ref, requestID string, err error) {
	if err == nil || verdict.FromError(err).Verdict == verdict.NotRun {
		r.gate.End(p.Engine.ID, a)
		return
	}
	r.gate.Lost(p.Engine, a, requestID)
}
