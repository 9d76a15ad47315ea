package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// tcpWorker serves each connection to a listener on the loopback interface with a function.
func tcpWorker(t *testing.T, serve func(c *net.TCPConn)) *workers.Worker {
	t.Helper()
	l, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return &workers.Worker{ID: "w", Address: l.Addr().String()}
}

// reset closes a connection so that the other end's reads fail.
func reset(c *net.TCPConn) {
	// The linger time only fails on a closed connection, and the close then, too.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// readBytes reads n bytes of a request.
func readBytes(c *net.TCPConn, n int) { _, _ = io.ReadFull(c, make([]byte, n)) }

// TestResetBody guards against a body that ends with its connection and is taken for whole although the connection was reset.
func TestResetBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, answer string
		reset, whole bool
	}{
		{"until the end of the connection", head + "\r\nhello", false, true},
		{"until the end of the connection, reset", head + "\r\nhello", true, false},
		{"length", head + "Content-Length: 9\r\n\r\nhello", false, false},
		{"length, reset", head + "Content-Length: 9\r\n\r\nhello", true, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false, false},
		{"chunks, reset", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, false},
		{"chunks without their last line end", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			arrived := make(chan struct{})
			w := tcpWorker(t, func(conn *net.TCPConn) {
				readBytes(conn, 1)
				_, _ = io.WriteString(conn, c.answer)
				if c.reset {
					// A reset drops the bytes that the other end has not read.
					<-arrived
					reset(conn)
					return
				}
				_ = conn.CloseWrite()
			})
			p := NewPool(network.TCP{})
			resp, err := p.Send(t.Context(), w, Request{Method: http.MethodPost, URI: "/x", Host: "w", Header: http.Header{}}, anyResponse, Options{Deadline: time.Now().Add(5 * time.Second)})
			if err != nil {
				t.Fatal(err)
			}
			close(arrived)
			defer resp.Close()
			_, err = resp.ReadAll(1<<20, bytebudget.New(1<<20).NewUsage(0))
			Convey("only a body that ended properly is whole", t, func() {
				So(err == nil, ShouldEqual, c.whole)
			})
		})
	}
}

// TestVerdictOfLostAnswer guards against a request of which a worker may have read a part, and that counts as not run.
func TestVerdictOfLostAnswer(t *testing.T) {
	long := bytes.Repeat([]byte("b"), 64*asyncWriteBytes)
	for _, c := range []struct {
		name  string
		body  []byte
		serve func(c *net.TCPConn)
		// early means that the worker may close the connection before a byte is sent.
		early bool
	}{
		{"closed before a byte was read", []byte("b"), func(c *net.TCPConn) { _ = c.Close() }, true},
		{"reset before a byte was read", []byte("b"), reset, true},
		{"reset after a byte was read", []byte("b"), func(c *net.TCPConn) { readBytes(c, 1); reset(c) }, false},
		{"closed in the middle of a long body", long, func(c *net.TCPConn) { readBytes(c, len(long)/2); _ = c.Close() }, false},
		{"reset in the middle of a long body", long, func(c *net.TCPConn) { readBytes(c, len(long)/2); reset(c) }, false},
		{"reset after a long body", long, func(c *net.TCPConn) { readBytes(c, len(long)); reset(c) }, false},
		{"reset after an informational response", []byte("b"), func(c *net.TCPConn) {
			readBytes(c, 1)
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			reset(c)
		}, false},
		{"closed within the head", []byte("b"), func(c *net.TCPConn) {
			readBytes(c, 1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not")
			_ = c.Close()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := false
			w := tcpWorker(t, c.serve)
			p := NewPool(network.TCP{})
			_, err := p.Send(t.Context(), w, Request{Method: http.MethodPost, URI: "/x", Host: "w", Header: http.Header{}, Body: c.body}, anyResponse, Options{
				Deadline: time.Now().Add(5 * time.Second), BeforeSend: func() error { sent = true; return nil },
			})
			Convey("the request may have run, unless nothing of it was written", t, func() {
				So(err, ShouldNotBeNil)
				// The reset may arrive before the connection is open, or before the first write.
				want := verdict.MayHaveRun
				if code := verdict.FromError(err).Code; !sent || code == "send_failed" {
					want = verdict.NotRun
					So(c.early, ShouldBeTrue)
				}
				So(verdict.FromError(err).Verdict, ShouldEqual, want)
			})
		})
	}
}

// TestInvalidStatus guards against an answer with a status that HTTP does not have, or with one that ends HTTP on the connection,
// which reaches the caller, and against one that is skipped as informational, so that its body is read as the answer.
func TestInvalidStatus(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)
	for _, c := range []struct {
		name, answer string
		valid        bool
	}{
		{"000", "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody", false},
		{"000 around an answer", "HTTP/1.1 000 None\r\n" + body, false},
		{"099", "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n", false},
		{"600", "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", false},
		{"999", "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n", false},
		{"101 before an answer", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + inner, false},
		{"103 with a body that is an answer", "HTTP/1.1 103 Early Hints\r\n" + body, false},
		{"103 with chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + inner, false},
		{"103 before an answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + inner, true},
		{"599", "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := tcpWorker(t, func(conn *net.TCPConn) {
				readBytes(conn, 1)
				_, _ = io.WriteString(conn, c.answer)
			})
			resp, err := NewPool(network.TCP{}).Send(t.Context(), w, Request{Method: http.MethodPost, URI: "/x", Host: "w", Header: http.Header{}}, anyResponse, Options{Deadline: time.Now().Add(5 * time.Second)})
			if err == nil {
				resp.Close()
			}
			Convey("it is no answer, and the request may have run", t, func() {
				So(err == nil, ShouldEqual, c.valid)
				if err != nil {
					So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
					So(verdict.FromError(err).Status, ShouldEqual, http.StatusBadGateway)
				}
			})
		})
	}
}

// TestVerdictOnIdleConnection guards against a request that is sent on a connection which its worker resets at that time, and
// that counts as not run: the worker may have read it.
func TestVerdictOnIdleConnection(t *testing.T) {
	second := make(chan struct{})
	w := tcpWorker(t, func(c *net.TCPConn) {
		readBytes(c, len("POST /x HTTP/1.1\r\nHost: w\r\nContent-Length: 1\r\n\r\nb"))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		readBytes(c, 1)
		close(second)
		reset(c)
	})
	p := NewPool(network.TCP{})
	first := send(t, p, w, []byte("b"))
	_, err := p.Send(t.Context(), w, Request{Method: http.MethodPost, URI: "/x", Host: "w", Header: http.Header{}, Body: []byte("b")}, anyResponse, Options{Deadline: time.Now().Add(5 * time.Second)})
	<-second
	Convey("it may have run", t, func() {
		So(first, ShouldEqual, "ok")
		So(err, ShouldNotBeNil)
		So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
	})
}
