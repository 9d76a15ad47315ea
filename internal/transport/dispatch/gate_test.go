package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// fakeGate refuses requests with the errors in refuse, by engine, and counts the requests in flight.
type fakeGate struct {
	refuse   map[string]error
	inFlight map[string]int
}

func (g *fakeGate) Begin(engine string, _ adapter.Ref) error {
	if err := g.refuse[engine]; err != nil {
		return err
	}
	g.inFlight[engine]++
	return nil
}
func (g *fakeGate) End(engine string, _ adapter.Ref)                  { g.inFlight[engine]-- }
func (g *fakeGate) EndUnconfirmed(*fleet.Engine, adapter.Ref, string) {}
func (g *fakeGate) Retired(engine string, _ adapter.Ref) bool         { return g.refuse[engine] != nil }

// fakeRouter returns its engines in order and records the errors that they were released with.
type fakeRouter struct {
	engines  []*fleet.Engine
	released []error
}

func (r *fakeRouter) Acquire(context.Context, entry.Call) (Reservation, error) {
	e := r.engines[0]
	r.engines = r.engines[1:]
	return Reservation{Engine: e, Release: func(o Outcome) { r.released = append(r.released, o.Err) }}, nil
}
func (r *fakeRouter) HandleReport(fleet.Report) {}

// fakeEngine responds with the requested adapter version and counts its calls.
type fakeEngine struct {
	backend.Engine
	calls int
}

func (e *fakeEngine) Complete(_ context.Context, q backend.Request) (backend.Response, error) {
	e.calls++
	return backend.Response{Adapter: q.Adapter}, nil
}

// TestBeginRefused guards against sending a request whose adapter version was retired after the request was placed,
// and against sending a request without a valid lease.
func TestBeginRefused(t *testing.T) {
	Convey("Given two engines", t, func() {
		first, second := &fakeEngine{}, &fakeEngine{}
		router := &fakeRouter{engines: []*fleet.Engine{{ID: "first", Client: first}, {ID: "second", Client: second}}}
		gate := &fakeGate{refuse: map[string]error{"first": ErrRetired}, inFlight: map[string]int{}}
		call := entry.Call{Adapter: adapter.Ref{Name: "a", Version: "1"}, Deadline: time.Now().Add(time.Hour)}
		Convey("a request for a retired adapter version does not run there and is placed on another engine", func() {
			_, err := New(router, gate, func(event.Event) {}).Complete(t.Context(), call)
			So(err, ShouldBeNil)
			So([]int{first.calls, second.calls}, ShouldResemble, []int{0, 1})
			So(verdict.FromError(router.released[0]).Verdict, ShouldEqual, verdict.NotRun)
			So(router.released[1], ShouldBeNil)
			So(gate.inFlight, ShouldResemble, map[string]int{"second": 0})
		})
		Convey("a request without a valid lease is refused as not run", func() {
			noLease := verdict.New(verdict.NotRun, 503, "not_fresh", "no lease")
			gate.refuse = map[string]error{"first": noLease, "second": noLease}
			router.engines = append(router.engines, router.engines...)
			_, err := New(router, gate, func(event.Event) {}).Complete(t.Context(), call)
			So(verdict.FromError(err).Verdict, ShouldEqual, verdict.NotRun)
			So(first.calls+second.calls, ShouldEqual, 0)
		})
	})
}
