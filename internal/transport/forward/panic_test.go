package forward

import (
	"context"
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
)

// plainHeaders is an external.Headers without any header of its own.
type plainHeaders struct{ external.Headers }

func (plainHeaders) ParseRequest(http.Header) external.Request { return external.Request{ID: "r1"} }

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
