package guard

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
)

const (
	testMemory, testDescriptors = 136 << 20, 512
	testTimeout                 = 10 * time.Second
)

func newGuard() *Guard {
	return New("test", callerlimits.Derive(testMemory, testDescriptors), NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
}

// TestFields guards against heads with very many fields that are parsed, and against a count that goes on over bodies or several
// requests.
func TestFields(t *testing.T) {
	Convey("256 fields are served twice on a connection, 257 are not", t, func() {
		g := newGuard()
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		served := make(chan int, 3)
		srv := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(r.Context(), r.Body, r.ContentLength, "", 0)
			if err == nil {
				served <- len(body)
			}
		}))}
		go func() {
			// It ends with the test.
			_ = srv.Serve(g.Listener(inner, false))
		}()
		defer srv.Close()
		c, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
		body := strings.Repeat("\n", 1000)
		const common = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n"
		request := common + strings.Repeat("a:\r\n", 254) + "\r\n" + body
		_, err = io.WriteString(c, request+request+common+strings.Repeat("a:\r\n", 2000)+"\r\n")
		So(err, ShouldBeNil)
		answers, _ := io.ReadAll(c)
		So(strings.Count(string(answers), "HTTP/1.1 200"), ShouldEqual, 2)
		So(string(answers), ShouldContainSubstring, "HTTP/1.1 400")
		So(len(served), ShouldEqual, 2)
	})
}

// TestBodiesAreNoHeads guards against bodies that are counted as heads: that of a request whose head was read together with the end of
// the previous one, whose lines would count as fields, and over TLS the rest of a body that the handler did not read.
func TestBodiesAreNoHeads(t *testing.T) {
	const lines = "a\n"
	body := strings.Repeat(lines, 100_000)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
	const first = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	for name, opaque := range map[string]bool{"plain": false, "opaque": true} {
		Convey("A long body is served and not counted as a head: "+name, t, func() {
			g := newGuard()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			lengths := make(chan int, 2)
			idle := make(chan struct{}, 2)
			srv := &http.Server{
				ConnContext: ConnContext,
				ConnState: func(nc net.Conn, s http.ConnState) {
					if ConnState(nc, s); s == http.StateIdle {
						idle <- struct{}{}
					}
				},
				Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if !opaque {
						body, _ := ReadBody(r.Context(), r.Body, r.ContentLength, "", 0)
						lengths <- len(body)
					}
				})),
			}
			go func() {
				// It ends with the test.
				_ = srv.Serve(g.Listener(inner, opaque))
			}()
			defer srv.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			So(err, ShouldBeNil)
			defer c.Close()
			So(c.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
			_, err = io.WriteString(c, first+head+body)
			So(err, ShouldBeNil)
			answers := bufio.NewReader(c)
			for range 2 {
				resp, err := http.ReadResponse(answers, nil)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
				select {
				case <-idle:
				case <-time.After(testTimeout):
					t.Fatal("the connection was closed")
				}
			}
			if !opaque {
				So(<-lengths, ShouldEqual, 5)
				So(<-lengths, ShouldEqual, len(body))
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			So(g.account.Used(callerlimits.Heads), ShouldEqual, callerlimits.ConnectionBytes)
		})
	}
}

// TestSlowReader guards against closing a caller that reads slowly, but faster than the lowest rate: a write of 64 KiB takes longer than
// a window then. One that reads nothing is closed nevertheless.
func TestSlowReader(t *testing.T) {
	Convey("A caller on a slow link is not closed, a stalled one is", t, func() {
		l := callerlimits.Derive(testMemory, testDescriptors)
		l.MinRate, l.Interval, l.WriteWindow = 1<<10, 200*time.Millisecond, 2*time.Second
		g := New("test", l, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go g.Run(ctx)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			// The stalled caller's connection is closed.
			_, _ = w.Write(make([]byte, 16<<20))
		}))}
		go func() {
			// It ends with the test.
			_ = srv.Serve(g.Listener(inner, false))
		}()
		defer srv.Close()
		open := func() net.Conn {
			// The buffer is set before the connection is opened, so that its window is small from the start.
			d := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
				return rc.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
			}}
			c, err := d.Dial("tcp", inner.Addr().String())
			So(err, ShouldBeNil)
			So(c.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			So(err, ShouldBeNil)
			return c
		}
		slow, stalled := open(), open()
		defer slow.Close()
		defer stalled.Close()
		const piece, pause = 512, 50 * time.Millisecond
		for end := time.Now().Add(3 * l.WriteWindow); time.Now().Before(end); time.Sleep(pause) {
			_, err := io.ReadFull(slow, make([]byte, piece))
			So(err, ShouldBeNil)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		So(g.account.Connections(), ShouldEqual, 1)
	})
}

// FuzzScanHead checks that the count of a head's lines does not depend on how its bytes arrive, and equals that of its line
// ends up to the first empty line.
func FuzzScanHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\n"), 5)
	f.Add([]byte("\n\nGET / HTTP/1.1\n\n"), 1)
	f.Add([]byte("a\r\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole, parts := &conn{inHead: true}, &conn{inHead: true}
		n := whole.scanHead(data)
		cut = min(max(cut, 0), len(data))
		m := parts.scanHead(data[:cut])
		if parts.inHead {
			m += parts.scanHead(data[cut:])
		}
		if n != m || whole.fields != parts.fields || whole.inHead != parts.inHead {
			t.Errorf("whole %d %d %t, in parts %d %d %t", n, whole.fields, whole.inHead, m, parts.fields, parts.inHead)
		}
		if lines := bytes.Count(data[:n], []byte("\n")); whole.fields != lines && whole.fields != lines-1 {
			t.Errorf("%d lines counted of %d", whole.fields, lines)
		}
	})
}

// FuzzReadBody checks that a body is read whole whatever its announced length, and that nothing is held afterwards.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("hello"), int64(5), 3)
	f.Add(bytes.Repeat([]byte("x"), 100_000), int64(-1), 0)
	f.Add(bytes.Repeat([]byte("x"), 100_000), int64(100_000), 200_000)
	f.Add([]byte{}, int64(0), 0)
	f.Fuzz(func(t *testing.T, data []byte, length int64, cut int) {
		if length >= 0 {
			// net/http reads no more than was announced, and reports an error for less.
			length = int64(len(data))
		}
		g := newGuard()
		client, server := net.Pipe()
		defer client.Close()
		c := g.open(server, false)
		defer c.Close()
		ctx := context.WithValue(t.Context(), connKey{}, c)
		body, err := ReadBody(ctx, bytes.NewReader(data), length, "k", 2)
		if err != nil || !bytes.Equal(body, data) {
			t.Errorf("%d bytes read of %d: %v", len(body), len(data), err)
		}
		cut = min(max(cut, 0), len(data))
		broken := io.MultiReader(bytes.NewReader(data[:cut]), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := ReadBody(ctx, broken, length, "k", 0); err != io.ErrUnexpectedEOF {
			t.Errorf("a body that was cut ended with %v", err)
		}
		c.finish()
		if n := g.account.Used(callerlimits.Bodies); n != 0 {
			t.Errorf("%d bytes held after the request", n)
		}
	})
}
