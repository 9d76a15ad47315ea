package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// failingEngine fails all requests with an error.
type failingEngine struct {
	backend.Engine
	err error
}

func (e failingEngine) Complete(context.Context, backend.Request) (backend.Response, error) {
	return backend.Response{}, e.err
}

func (e failingEngine) Stream(context.Context, backend.Request) (backend.ChunkReader, error) {
	return nil, e.err
}

func (e failingEngine) Status(context.Context) (backend.Status, error) {
	return backend.Status{}, e.err
}

// waitingRouter gives one reservation. Later calls wait for the end of the request.
type waitingRouter struct {
	engine *fleet.Engine
}

func (r *waitingRouter) Acquire(ctx context.Context, _ entry.Call) (Reservation, error) {
	if e := r.engine; e != nil {
		r.engine = nil
		return Reservation{Engine: e, Release: func(Outcome) {}}, nil
	}
	<-ctx.Done()
	return Reservation{}, verdict.Wrap(ctx.Err(), verdict.NotRun, 504, "deadline", "the request ended while it waited for an engine")
}

func (*waitingRouter) HandleReport(fleet.Report) {}

// requestsPerRetry is the number of requests that permit one further attempt.
const requestsPerRetry = 10

// TestCancelledBetweenAttempts guards against a request that is said to have run, perhaps, although its attempts were
// refused, because it ended while it waited for the next one; and against the opposite.
func TestCancelledBetweenAttempts(t *testing.T) {
	cases := map[string]verdict.Verdict{"refused": verdict.NotRun, "broken": verdict.MayHaveRun}
	// The first wait ends in the delay before the second attempt, the other one in the wait for an engine.
	for _, wait := range []time.Duration{time.Millisecond, time.Second} {
		for name, v := range cases {
			for _, streamed := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					Convey(name, t, func() {
						engine := failingEngine{err: verdict.New(v, 503, name, name)}
						router := &waitingRouter{engine: &fleet.Engine{ID: "e", Client: engine}}
						r := New(router, &fakeGate{inFlight: map[string]int{}}, func(event.Event) {})
						for range requestsPerRetry {
							r.budget.CountRequest()
						}
						call := entry.Call{RequestID: "r", Adapter: adapter.Ref{Name: "a", Version: "1"}, Deadline: time.Now().Add(time.Hour)}
						ctx, cancel := context.WithCancel(t.Context())
						time.AfterFunc(wait, cancel)
						var err error
						if streamed {
							_, err = r.Stream(ctx, call)
						} else {
							_, err = r.Complete(ctx, call)
						}
						So(ctx.Err(), ShouldNotBeNil)
						So(verdict.FromError(err).Verdict, ShouldEqual, v)
					})
				})
			}
		}
	}
}

// errorsEngine fails its requests with errors in turn.
type errorsEngine struct {
	backend.Engine
	errs *[]error
}

func (e errorsEngine) Complete(context.Context, backend.Request) (backend.Response, error) {
	err := (*e.errs)[0]
	*e.errs = (*e.errs)[1:]
	return backend.Response{}, err
}

func (e errorsEngine) Status(context.Context) (backend.Status, error) { return backend.Status{}, nil }

// sameRouter gives a reservation on one engine each time.
type sameRouter struct{ engine *fleet.Engine }

func (r sameRouter) Acquire(context.Context, entry.Call) (Reservation, error) {
	return Reservation{Engine: r.engine, Release: func(Outcome) {}}, nil
}

func (sameRouter) HandleReport(fleet.Report) {}

// TestRefusedAfterRun guards against 503, which guarantees that a request has not run, for a request whose first attempt may have
// run and whose second one is refused.
func TestRefusedAfterRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a refusal after an attempt that may have run is no promise", t, func() {
			errs := []error{
				verdict.New(verdict.MayHaveRun, 502, "answer_cut", "cut"),
				verdict.New(verdict.NotRun, 503, "engine_busy", "busy").WithRetryAfter(time.Second),
				verdict.New(verdict.NotRun, 503, "engine_busy", "busy").WithRetryAfter(time.Second),
			}
			r := New(sameRouter{&fleet.Engine{ID: "e", Client: errorsEngine{errs: &errs}}}, &fakeGate{inFlight: map[string]int{}}, func(event.Event) {})
			for range 2 * requestsPerRetry {
				r.budget.CountRequest()
			}
			call := entry.Call{RequestID: "r", Adapter: adapter.Ref{Name: "a", Version: "1"}, Deadline: time.Now().Add(time.Hour)}
			_, err := r.Complete(t.Context(), call)
			v := verdict.FromError(err)
			So(v.Code, ShouldEqual, "engine_busy")
			So(v.Verdict, ShouldEqual, verdict.MayHaveRun)
			So(v.Status, ShouldEqual, 502)
			So(v.RetryAfter, ShouldEqual, 0)
		})
	})
}
