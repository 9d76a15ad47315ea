package enginehttp

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// TestFullConnections guards against requests that count as ones of an engine's fault although no connection was opened, and against
// status calls that fail because requests hold all connections: the engine would count as lost.
func TestFullConnections(t *testing.T) {
	Convey("With all connections in use, a request is refused as not run and the status is read", t, func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
		defer s.Close()
		count := guard.NewOutbound("workers", callerlimits.WorkerLimits(1), guard.NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
		release, err := count.Acquire("other")
		So(err, ShouldBeNil)
		e := New(s.URL, network.HTTPTransport(count.RequestNetwork(network.TCP{})))
		_, err = e.Complete(t.Context(), backend.Request{ID: "r", Path: "/v1/completions", Body: []byte("{}")})
		So(verdict.FromError(err).Code, ShouldEqual, "worker_connections_full")
		So(verdict.FromError(err).Verdict, ShouldEqual, verdict.NotRun)
		_, err = e.Status(t.Context())
		So(err, ShouldBeNil)
		So(count.Total(), ShouldEqual, 2)
		release()
		e.client.CloseIdleConnections()
		So(count.Total(), ShouldEqual, 0)
	})
}
