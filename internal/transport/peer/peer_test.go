package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

type echo struct{ Shares }

func (echo) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{Incarnation: r.Incarnation}, nil
}

// mute is a listener whose connections swallow what the server writes to them once they are silenced.
type mute struct {
	net.Listener
	conns chan *muteConn
}

type muteConn struct {
	net.Conn
	silent atomic.Bool
}

func (l *mute) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &muteConn{Conn: c}
	l.conns <- m
	return m, nil
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnection guards against a peer that stays unreachable because its connection went silent.
func TestSilentConnection(t *testing.T) {
	Convey("A call on a silent connection fails and the next one uses a new connection", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l, s := &mute{inner, make(chan *muteConn, 10)}, NewServer(nil)
		peerpb.RegisterPeerServer(s, &Service{Shares: echo{}})
		go func() { _ = s.Serve(l) }()
		defer s.Stop()
		c := NewClients(nil, dialTCP, func(string) {})
		defer c.Close()
		beat := func() error {
			a, err := c.Heartbeat(t.Context(), inner.Addr().String(), &peerpb.HeartbeatRequest{Incarnation: "x"})
			if err == nil {
				So(a.Incarnation, ShouldEqual, "x")
			}
			return err
		}
		So(beat(), ShouldBeNil)
		(<-l.conns).silent.Store(true)
		So(beat(), ShouldNotBeNil)
		So(beat(), ShouldBeNil)
		So(len(l.conns), ShouldEqual, 1)
	})
}

// TestRefused guards against a dead process that is not told from a silent one.
func TestRefused(t *testing.T) {
	Convey("A refused connection is reported as such", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		refused := make(chan string, 100)
		c := NewClients(nil, dialTCP, func(addr string) { refused <- addr })
		defer c.Close()
		_, err = c.Heartbeat(t.Context(), l.Addr().String(), &peerpb.HeartbeatRequest{})
		So(err, ShouldNotBeNil)
		So(<-refused, ShouldEqual, l.Addr().String())
	})
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
