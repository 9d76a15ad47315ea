package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/standin/memnet"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

var anyResponse Match = func(http.Header) bool { return true }

// send sends a request and reads its response to the end.
func send(t *testing.T, p *Pool, w *workers.Worker, body []byte) string {
	t.Helper()
	resp, err := p.Send(t.Context(), w, Request{Method: http.MethodPost, URI: "/x", Host: "w", Header: http.Header{}, Body: body}, anyResponse, Options{Deadline: time.Now().Add(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	if err != nil {
		t.Fatal(err)
	}
	// The second Close must not end the connection, which may be reused.
	resp.Close()
	return string(b)
}

// TestEarlyAnswerToLongBody guards against a connection that is reused although the worker has answered before it read the
// whole body: the next request's bytes would take the place of the rest of that body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Host("w").Listen("w:80")
		if err != nil {
			t.Fatal(err)
		}
		body := bytes.Repeat([]byte("b"), 4*asyncWriteBytes)
		rest := make(chan []byte, 2)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					t.Error(err)
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
					t.Error(err)
				}
				time.Sleep(10 * time.Millisecond)
				// The pool closes the connection while its write is blocked, so that the error does not matter.
				b, _ := io.ReadAll(r)
				rest <- b
			}
		}()
		p, w := NewPool(n.Host("gate")), &workers.Worker{ID: "w", Address: "w:80"}
		first := send(t, p, w, body)
		second := send(t, p, w, body)
		Convey("each request has a connection of its own, and nothing follows the part of the body that was sent", t, func() {
			So(first, ShouldEqual, "ok")
			So(second, ShouldEqual, "ok")
			for range 2 {
				b := <-rest
				So(len(b), ShouldBeLessThan, len(body))
				So(bytes.Trim(b, "b"), ShouldBeEmpty)
			}
		})
		n.Kill("w")
	})
}

// answerAll answers all requests of a connection.
func answerAll(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// TestBytesOnIdleConnection guards against a response that a faulty worker writes to an idle connection and that is taken
// for the answer to the next request.
func TestBytesOnIdleConnection(t *testing.T) {
	l, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go answerAll(c)
		}
	}()
	p, w := NewPool(network.TCP{}), &workers.Worker{ID: "w", Address: l.Addr().String()}
	first := send(t, p, w, []byte("b"))
	repeated := send(t, p, w, []byte("b"))
	c := <-conns
	idle := p.idle[w.Key()][0]
	_, writeErr := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
	for reusable(idle.Conn) {
		// The bytes are on their way through the loopback interface.
		runtime.Gosched()
	}
	next := send(t, p, w, []byte("b"))
	Convey("the connection is reused before, and not after", t, func() {
		So([]string{first, repeated, next}, ShouldResemble, []string{"ok", "ok", "ok"})
		So(writeErr, ShouldBeNil)
		So(conns, ShouldHaveLength, 1)
	})
}

// TestBodyIsNotCopied guards against a second copy of each body that is being sent: the account of bodies counts only one, and a
// worker that reads slowly would make an instance hold twice as much as it may.
func TestBodyIsNotCopied(t *testing.T) {
	Convey("a long body is sent whole, and not copied", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		const size = 4 << 20
		received := make(chan int64, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, r.Body)
			received <- n
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}()
		p, w, body := NewPool(network.TCP{}), &workers.Worker{ID: "w", Address: l.Addr().String()}, make([]byte, size)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		So(send(t, p, w, body), ShouldEqual, "ok")
		runtime.ReadMemStats(&after)
		So(<-received, ShouldEqual, size)
		So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, size/4)
	})
}
