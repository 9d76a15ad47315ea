package enginehttp

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/standin/memnet"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// TestResponseMemory guards against answers that are held without a limit, against one that fails instead of waiting for memory, also
// for longer than the engine may be silent, and against calls to the engine's control API that wait for memory.
func TestResponseMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An answer waits for memory until its request ends, control calls do not", t, func() {
			n := memnet.New()
			l, err := n.Host("engine").Listen("engine:1")
			So(err, ShouldBeNil)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, `{"model":"a@1","incarnation":"`+strings.Repeat("x", 1<<20)+`"}`)
			})}
			go func() { _ = server.Serve(l) }()
			transport := network.HTTPTransport(n.Host("a"))
			e := New("http://engine:1", transport)
			memory := guard.NewResponses(0, guard.NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
			complete := func(timeout time.Duration) (*guard.Held, error) {
				ctx, held := memory.Begin(t.Context())
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				_, err := e.Complete(ctx, completionRequest("r"))
				return held, err
			}
			first, err := complete(time.Minute)
			So(err, ShouldBeNil)

			second, err := complete(20 * time.Second)
			So(verdict.FromError(err).Code, ShouldEqual, "response_memory_full")
			So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
			So(verdict.IsPromise(verdict.FromError(err).Status), ShouldBeFalse)
			second.Release()

			ctx, held := memory.Begin(t.Context())
			_, err = e.Status(ctx)
			So(err, ShouldBeNil)
			held.Release()

			time.AfterFunc(20*time.Second, first.Release)
			third, err := complete(time.Minute)
			So(err, ShouldBeNil)
			third.Release()
			_ = server.Close()
			transport.CloseIdleConnections()
			time.Sleep(10 * time.Second) // until the handlers have seen the end
		})
	})
}
