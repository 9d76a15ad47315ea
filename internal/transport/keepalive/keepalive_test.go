package keepalive

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testTimeout bounds each test's waits for the network.
const testTimeout = 10 * time.Second

// heldConn is a socket whose reads can be held up before they reach the socket, like those of a goroutine that does not
// run.
type heldConn struct {
	*net.TCPConn
	held sync.RWMutex
	// read counts the bytes that were read.
	read atomic.Int64
}

func (c *heldConn) Read(b []byte) (int, error) {
	c.held.RLock()
	defer c.held.RUnlock()
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

type heldListener struct {
	net.Listener
	// last is the connection that was accepted last.
	last atomic.Pointer[heldConn]
}

func (l *heldListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &heldConn{TCPConn: nc.(*net.TCPConn)}
	l.last.Store(c)
	return c, nil
}

// testServer is an HTTP server on a socket of the loopback interface.
type testServer struct {
	t           *testing.T
	connections *Connections
	listener    *heldListener
	// served counts the requests that reached the handler.
	served atomic.Int64
	// holdIdle makes the next connection that becomes idle read nothing until idle is received from and held is unlocked.
	holdIdle atomic.Bool
	idle     chan *heldConn
	// hold makes requests for heldPath wait until it is received from.
	hold chan struct{}
	// skipped is the time that the clock of the connections has skipped.
	skipped atomic.Int64
}

// heldPath is the path of requests that wait in the handler.
const heldPath = "/held"

func newTestServer(t *testing.T, idleTimeout time.Duration) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	s := &testServer{
		t: t, listener: &heldListener{Listener: l}, idle: make(chan *heldConn, 1), hold: make(chan struct{}),
	}
	s.connections = New(func() time.Duration { return time.Since(start) + time.Duration(s.skipped.Load()) })
	srv := &http.Server{IdleTimeout: idleTimeout, ReadHeaderTimeout: testTimeout, ConnState: s.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		if r.URL.Path == heldPath {
			s.hold <- struct{}{}
		}
		_, _ = io.WriteString(w, "hello")
	})}
	go func() {
		if err := srv.Serve(s.connections.Listener(s.listener)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

func (s *testServer) connState(nc net.Conn, state http.ConnState) {
	if state == http.StateIdle && s.holdIdle.CompareAndSwap(true, false) {
		c := s.listener.last.Load()
		c.held.Lock()
		s.idle <- c
	}
	s.connections.ConnState(nc, state)
}

// client is a connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	nc, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return &client{Conn: nc, reader: bufio.NewReader(nc)}
}

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// response returns the status of the next response, or an error if it is not complete.
func (c *client) response() (int, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// exchange sends bytes and returns the status of the response to them.
func (c *client) exchange(sent string) (int, error) {
	if _, err := io.WriteString(c, sent); err != nil {
		return 0, err
	}
	return c.response()
}

// expireOne waits until an idle connection is found.
func (s *testServer) expireOne() {
	for end := time.Now().Add(testTimeout); s.connections.CloseIdle(0) == 0; runtime.Gosched() {
		if time.Now().After(end) {
			s.t.Fatal("no connection became idle")
		}
	}
}

// unreadRequest sends a second request on a connection while the server reads nothing from it, calls f, and returns the
// status of the response once the server reads again.
func (s *testServer) unreadRequest(f func()) (int, error) {
	c := s.dial()
	s.holdIdle.Store(true)
	if _, err := c.exchange(request); err != nil {
		s.t.Fatal(err)
	}
	held := <-s.idle
	if _, err := io.WriteString(c, request); err != nil {
		s.t.Fatal(err)
	}
	for !bytesWaiting(held) {
		runtime.Gosched()
	}
	f()
	held.held.Unlock()
	return c.response()
}

// TestUnreadRequestIsServed guards against the close of a connection whose next request has arrived and was not read.
func TestUnreadRequestIsServed(t *testing.T) {
	Convey("a request that lies in the socket when its connection is closed as idle is served", t, func() {
		s := newTestServer(t, 0)
		status, err := s.unreadRequest(s.expireOne)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
	Convey("so is one that lies there when the server's own idle timeout ends", t, func() {
		s := newTestServer(t, time.Nanosecond)
		status, err := s.unreadRequest(func() {})
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
	Convey("so is one that lies there when the server stops", t, func() {
		s := newTestServer(t, 0)
		drained := make(chan error, 1)
		status, err := s.unreadRequest(func() {
			So(s.listener.Close(), ShouldBeNil)
			s.expireOne()
			go func() { drained <- s.connections.Drain(t.Context(), DrainTimes{}) }()
		})
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(<-drained, ShouldBeNil)
	})
}

// TestIdleConnectionIsClosed guards against connections that are kept open although nothing arrives on them, used and
// unused ones.
func TestIdleConnectionIsClosed(t *testing.T) {
	Convey("idle connections are closed", t, func() {
		s := newTestServer(t, 0)
		c := s.dial()
		_, err := c.exchange(request)
		So(err, ShouldBeNil)
		s.expireOne()
		_, err = c.response()
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		unused := s.dial()
		s.expireOne()
		_, err = unused.response()
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		So(s.connections.Drain(t.Context(), DrainTimes{}), ShouldBeNil)
	})
}

// TestCausesOfCloses checks what is reported of connections that end.
func TestCausesOfCloses(t *testing.T) {
	// unreadBytes is more than net/http reads at once, and so few that the write ends before the server closes the connection.
	const unreadBytes = 16 << 10
	closes := make(chan CloseInfo, 1)
	connect := func(t *testing.T) (*testServer, *client) {
		s := newTestServer(t, 0)
		s.connections.OnClose = func(c CloseInfo) { closes <- c }
		c := s.dial()
		_, err := c.exchange(request)
		So(err, ShouldBeNil)
		return s, c
	}
	Convey("the idle limit", t, func() {
		s, _ := connect(t)
		s.expireOne()
		So(<-closes, ShouldResemble, CloseInfo{Cause: IdleLimit})
	})
	Convey("the server's own idle timeout", t, func() {
		s := newTestServer(t, time.Millisecond)
		s.connections.OnClose = func(c CloseInfo) { closes <- c }
		_, err := s.dial().exchange(request)
		So(err, ShouldBeNil)
		So(<-closes, ShouldResemble, CloseInfo{Cause: IdleLimit})
	})
	Convey("a stop", t, func() {
		s, _ := connect(t)
		So(s.connections.Drain(t.Context(), DrainTimes{}), ShouldBeNil)
		So(<-closes, ShouldResemble, CloseInfo{Cause: Stop})
	})
	Convey("the client", t, func() {
		_, c := connect(t)
		So(c.Close(), ShouldBeNil)
		So(<-closes, ShouldResemble, CloseInfo{Cause: ByCaller})
	})
	Convey("the end of a request, with further bytes unread", t, func() {
		_, c := connect(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"+strings.Repeat("x", unreadBytes))
		So(err, ShouldBeNil)
		So(<-closes, ShouldResemble, CloseInfo{Cause: AfterRequest, Unread: true})
	})
}

// TestDrainTimes guards against requests that get no response since their connection is closed as soon as it is idle.
func TestDrainTimes(t *testing.T) {
	const wait = 10 * drainPollInterval
	for name, times := range map[string]DrainTimes{"during the hold": {Hold: time.Hour}, "soon after the last response": {Idle: time.Hour}} {
		Convey("a request "+name+" is served, and the connection is closed after that time", t, func() {
			s := newTestServer(t, 0)
			c := s.dial()
			_, err := c.exchange(request)
			So(err, ShouldBeNil)
			drained := make(chan error, 1)
			go func() { drained <- s.connections.Drain(t.Context(), times) }()
			time.Sleep(wait)
			status, err := c.exchange(request)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			time.Sleep(wait)
			So(drained, ShouldBeEmpty)
			s.skipped.Store(int64(time.Hour))
			So(<-drained, ShouldBeNil)
		})
	}
}

// TestBegunHeaderIsNotIdle guards against the close of a connection on which the header of a request has begun to arrive,
// alone, together with the previous request or while that was served.
func TestBegunHeaderIsNotIdle(t *testing.T) {
	const held = "GET " + heldPath + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for _, part := range []int{1, 2, 3, 10} {
		for name, begin := range map[string]func(s *testServer, c *client) error{
			"alone": func(_ *testServer, c *client) error {
				_, err := c.exchange(request)
				So(err, ShouldBeNil)
				_, err = io.WriteString(c, request[:part])
				return err
			},
			"with the previous request": func(_ *testServer, c *client) error {
				_, err := c.exchange(request + request[:part])
				return err
			},
			"while the previous request was served": func(s *testServer, c *client) error {
				_, err := io.WriteString(c, held)
				So(err, ShouldBeNil)
				for s.served.Load() == 0 {
					runtime.Gosched()
				}
				_, err = io.WriteString(c, request[:part])
				So(err, ShouldBeNil)
				// net/http reads one byte while it serves a request.
				for s.listener.last.Load().read.Load() <= int64(len(held)) {
					runtime.Gosched()
				}
				<-s.hold
				_, err = c.response()
				return err
			},
		} {
			Convey(fmt.Sprintf("the request is served, its first %d bytes sent %s", part, name), t, func() {
				s := newTestServer(t, time.Hour)
				c := s.dial()
				So(begin(s, c), ShouldBeNil)
				ctx, cancel := context.WithTimeout(t.Context(), 5*drainPollInterval)
				defer cancel()
				So(s.connections.Drain(ctx, DrainTimes{}), ShouldEqual, context.DeadlineExceeded)
				_, err := io.WriteString(c, request[part:])
				So(err, ShouldBeNil)
				status, err := c.response()
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			})
		}
	}
}

// TestNoAnswerIsCut guards against requests that are served on a connection that is then closed without their whole
// response, while idle connections are closed all the time.
func TestNoAnswerIsCut(t *testing.T) {
	Convey("each request that reached the handler is answered", t, func() {
		const clients, requests = 4, 300
		s := newTestServer(t, time.Hour)
		stop := make(chan struct{})
		var closing, sending sync.WaitGroup
		closing.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.connections.CloseIdle(0)
				}
			}
		})
		var answered atomic.Int64
		for range clients {
			sending.Go(func() {
				c := s.dial()
				for range requests {
					if _, err := c.exchange(request); err != nil {
						_ = c.Close()
						c = s.dial()
						continue
					}
					answered.Add(1)
				}
			})
		}
		sending.Wait()
		close(stop)
		closing.Wait()
		So(answered.Load(), ShouldBeGreaterThan, 0)
		So(s.served.Load(), ShouldEqual, answered.Load())
		So(s.connections.Drain(t.Context(), DrainTimes{}), ShouldBeNil)
	})
}
