package keepalive

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// slowListener holds up its Accept, like a goroutine that does not run: before it calls the socket's, and before it
// returns the connection.
type slowListener struct {
	*net.TCPListener
	// before and after are received from, unless they are nil.
	before, after chan struct{}
	accepted      atomic.Int64
}

func (l *slowListener) Accept() (net.Conn, error) {
	if l.before != nil {
		<-l.before
	}
	nc, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted.Add(1)
		if l.after != nil {
			<-l.after
		}
	}
	return nc, err
}

// serve starts a server on the listener and returns its connections.
func (l *slowListener) serve(t *testing.T) (*Connections, *Listener) {
	start := time.Now()
	connections := New(func() time.Duration { return time.Since(start) })
	tracked := connections.Listener(l)
	srv := &http.Server{
		ReadHeaderTimeout: testTimeout, ConnState: connections.ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }),
	}
	go func() { _ = srv.Serve(tracked) }()
	t.Cleanup(func() { _ = srv.Close() })
	return connections, tracked
}

func newSlowListener(t *testing.T) *slowListener {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &slowListener{TCPListener: nl.(*net.TCPListener)}
}

// stop stops the listener and drains its connections.
func stop(ctx context.Context, connections *Connections, l *Listener) <-chan error {
	done := make(chan error, 1)
	go func() {
		if err := l.Stop(ctx); err != nil {
			done <- err
			return
		}
		done <- connections.Drain(ctx, DrainTimes{})
	}()
	return done
}

// TestStopAcceptsEstablishedConnections guards against the reset of connections that clients have opened, perhaps with
// requests sent on them, and that lie in the socket's queue when the listener is closed.
func TestStopAcceptsEstablishedConnections(t *testing.T) {
	Convey("requests on connections that were not accepted before the stop are served", t, func() {
		const clients = 5
		l := newSlowListener(t)
		l.before = make(chan struct{})
		connections, tracked := l.serve(t)
		s := &testServer{t: t, listener: &heldListener{Listener: l}}
		var callers []*client
		for range clients {
			c := s.dial()
			_, err := io.WriteString(c, request)
			So(err, ShouldBeNil)
			callers = append(callers, c)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		done := stop(ctx, connections, tracked)
		time.Sleep(drainPollInterval)
		close(l.before)
		for _, c := range callers {
			status, err := c.response()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
		}
		So(<-done, ShouldBeNil)
		So(l.accepted.Load(), ShouldEqual, clients)
		_, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldNotBeNil)
	})
}

// TestStopWaitsForAccept guards against the end of a stop while a connection has been accepted and is not tracked yet.
func TestStopWaitsForAccept(t *testing.T) {
	Convey("a request on a connection that is being accepted is served before the stop ends", t, func() {
		l := newSlowListener(t)
		l.after = make(chan struct{})
		release := sync.OnceFunc(func() { close(l.after) })
		defer release()
		connections, tracked := l.serve(t)
		s := &testServer{t: t, listener: &heldListener{Listener: l}}
		c := s.dial()
		_, err := io.WriteString(c, request)
		So(err, ShouldBeNil)
		for l.accepted.Load() == 0 {
			runtime.Gosched()
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		done := stop(ctx, connections, tracked)
		ended := false
		select {
		case <-done:
			ended = true
		case <-time.After(5 * drainPollInterval):
		}
		So(ended, ShouldBeFalse)
		release()
		status, err := c.response()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(<-done, ShouldBeNil)
	})
}

// TestStopIsBounded guards against a stop that waits for a server that accepts no more connections.
func TestStopIsBounded(t *testing.T) {
	Convey("a stop without a server returns an error and closes the listener", t, func() {
		l := newSlowListener(t)
		tracked := New(func() time.Duration { return 0 }).Listener(l)
		ctx, cancel := context.WithTimeout(t.Context(), drainPollInterval)
		defer cancel()
		So(errors.Is(tracked.Stop(ctx), context.DeadlineExceeded), ShouldBeTrue)
		_, err := tracked.Accept()
		So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
		So(tracked.Close(), ShouldBeNil)
	})
}
