package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

// plainHeaders is an external.Headers without any header of its own.
type plainHeaders struct{ external.Headers }

func (plainHeaders) ParseRequest(http.Header) external.Request { return external.Request{ID: "r1"} }
func (plainHeaders) WorkerHeaders(http.Header, external.WorkerRequest) http.Header {
	return http.Header{}
}

// openAdmission admits all requests on one route.
type openAdmission struct{ Admission }

func (openAdmission) Admit(j *Job, _, _ string) error {
	j.Route = &routing.Route{Name: "a", Kind: routing.NonIdempotent, Timeout: time.Minute}
	return nil
}
func (openAdmission) Limits() routing.Limits { return routing.Limits{} }

// placementFunc is a Placement that calls itself.
type placementFunc func(ctx context.Context) (Reservation, error)

func (f placementFunc) Place(ctx context.Context, _ *Job) (Reservation, error) { return f(ctx) }

func (placementFunc) HasOther(string, []workers.Key) bool { return false }

type noMetrics struct{}

func (noMetrics) Request(*routing.Route, int, verdict.Verdict, time.Duration) {}
func (noMetrics) Attempt(Outcome)                                             {}
func (noMetrics) Unfinished(bool, string)                                     {}
func (noMetrics) Behind(bool)                                                 {}

// TestPanicIsAnswered guards against requests without an answer whose serving fails with a panic.
func TestPanicIsAnswered(t *testing.T) {
	Convey("the caller gets an error that it may have run", t, func() {
		s := &Server{Headers: plainHeaders{}, Admission: openAdmission{}, Metrics: noMetrics{}, ResponseMemory: bytebudget.New(1 << 20)}
		s.Placement = placementFunc(func(context.Context) (Reservation, error) { panic("index out of range") })
		srv := httptest.NewServer(s)
		defer srv.Close()
		resp, err := http.Post(srv.URL, "text/plain", nil)
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusInternalServerError)
		So(resp.Header.Get(verdict.Header), ShouldEqual, "may-have-run")
		So(s.InFlight(), ShouldEqual, 0)
	})
}

// TestWaitAfterUnreachableWorker guards against a request that gets no refusal in a stop while it waits for a further worker,
// since an attempt was made that reached none.
func TestWaitAfterUnreachableWorker(t *testing.T) {
	Convey("it is refused and has not run", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		unreachable := &workers.Worker{ID: "w", Address: l.Addr().String()}
		So(l.Close(), ShouldBeNil)
		s := &Server{Headers: plainHeaders{}, Admission: openAdmission{}, Metrics: noMetrics{}, ResponseMemory: bytebudget.New(1 << 20), Pool: upstream.NewPool(network.TCP{})}
		waits, placed := make(chan struct{}), 0
		s.Placement = placementFunc(func(ctx context.Context) (Reservation, error) {
			if placed++; placed == 1 {
				return Reservation{Worker: unreachable, Sending: func(func()) {}, Confirm: func() error { return nil }, Done: func(Outcome) {}}, nil
			}
			close(waits)
			<-ctx.Done()
			return Reservation{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_worker", "no worker")
		})
		srv := httptest.NewServer(s)
		defer srv.Close()
		go func() {
			<-waits
			s.Drain(time.Now())
			s.RefuseWaiting()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, nil)
		So(err, ShouldBeNil)
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header.Get(verdict.Header), ShouldEqual, "not-run")
	})
}
