package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// TestWorkerConnections guards against requests to a slow worker that take the descriptors of all others, and against connections
// that stay counted after they were reset, abandoned or closed as idle.
func TestWorkerConnections(t *testing.T) {
	listen := func(serve func(nc net.Conn)) *workers.Worker {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go serve(nc)
			}
		}()
		return &workers.Worker{ID: l.Addr().String(), Address: l.Addr().String()}
	}
	silent := listen(func(nc net.Conn) { <-t.Context().Done(); _ = nc.Close() })
	reset := listen(func(nc net.Conn) { _ = nc.Close() })
	respond := func(nc net.Conn) {
		b := make([]byte, 4<<10)
		for {
			if _, err := nc.Read(b); err != nil {
				return
			}
			if _, err := nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
				return
			}
		}
	}
	const total = 8
	Convey("A slow worker takes half, the others are served, and all is returned", t, func() {
		p := NewPool(network.TCP{})
		p.Connections = guard.NewOutbound("workers", callerlimits.WorkerLimits(total), guard.NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
		p.Connections.CloseIdle = p.CloseOldestIdle
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, total)
		ask := func(w *workers.Worker) error {
			resp, err := p.Send(ctx, w, Request{Method: http.MethodGet, URI: "/x", Host: "w", Header: http.Header{}}, anyResponse, Options{Deadline: time.Now().Add(time.Minute)})
			if err == nil {
				resp.Close()
			}
			return err
		}
		for range total / 2 {
			go func() { ended <- ask(silent) }()
		}
		for p.Connections.Total() < total/2 {
			time.Sleep(time.Millisecond)
		}
		err := ask(silent)
		So(errors.Is(err, guard.ErrNoDescriptor), ShouldBeTrue)
		So(verdict.FromError(err).Verdict, ShouldEqual, verdict.NotRun)
		So(verdict.FromError(err).Status, ShouldEqual, http.StatusServiceUnavailable)
		for range 3 * total {
			// Each one leaves an idle connection, which is closed for the next if need be.
			So(send(t, p, listen(respond), nil), ShouldEqual, "ok")
			So(ask(reset), ShouldNotBeNil)
			So(p.Connections.Total(), ShouldBeLessThanOrEqualTo, total)
		}
		cancel()
		for range total / 2 {
			<-ended
		}
		p.Retain(func(workers.Key) bool { return false })
		So(p.Connections.Total(), ShouldEqual, 0)
	})
}
