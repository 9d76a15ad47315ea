package enginehttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/standin/memnet"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// TestDrippingStream guards against a slow but sound stream that is cut, and against one that sends a byte now and then
// and never ends.
func TestDrippingStream(t *testing.T) {
	const events, deadline = 20, time.Minute
	cases := []struct {
		name    string
		handler func(w io.Writer, flush func() error)
		sound   bool
	}{
		{"an event every 4 s, with comments in between", func(w io.Writer, flush func() error) {
			for i := range events {
				for range 3 {
					time.Sleep(time.Second)
					_, _ = io.WriteString(w, ": ping\n\n")
					_ = flush()
				}
				time.Sleep(time.Second)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"model\":\"a@1\"}\n\n", i)
				_ = flush()
			}
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}, true},
		{"comments only", func(w io.Writer, flush func() error) {
			for range 1000 {
				_, _ = io.WriteString(w, ": ping\n\n")
				if flush() != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}, false},
		{"bytes of an event that does not end", func(w io.Writer, flush func() error) {
			_, _ = io.WriteString(w, "data: ")
			for range 1000 {
				_, _ = io.WriteString(w, "x")
				if flush() != nil {
					return
				}
				time.Sleep(4 * time.Second)
			}
		}, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				n := memnet.New()
				l, err := n.Host("engine").Listen("engine:1")
				So(err, ShouldBeNil)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					c.handler(w, http.NewResponseController(w).Flush)
				})}
				go func(l net.Listener) { _ = server.Serve(l) }(l)
				transport := network.HTTPTransport(n.Host("a"))
				ctx, cancel := context.WithTimeout(t.Context(), 2*deadline)
				if !c.sound {
					ctx, cancel = context.WithTimeout(t.Context(), deadline)
				}
				start := time.Now()
				r, err := New("http://engine:1", transport).Stream(ctx, completionRequest("r"))
				So(err, ShouldBeNil)
				got := 0
				var chunk backend.Chunk
				for chunk, err = r.Next(); err == nil && !chunk.Done; chunk, err = r.Next() {
					got++
				}
				So(err == nil, ShouldEqual, c.sound)
				if c.sound {
					So(got, ShouldEqual, events)
				} else {
					So(time.Since(start), ShouldBeLessThanOrEqualTo, deadline)
				}
				cancel()
				_ = r.Close()
				_ = server.Close()
				transport.CloseIdleConnections()
				time.Sleep(10 * time.Second) // until the handler has seen the end
			})
		})
	}
}

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
			So(verdict.FromError(err).Status, ShouldEqual, http.StatusBadGateway)
			_, err = e.Status(second.Context(t.Context()))
			So(err, ShouldBeNil)
			second.Release()
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
