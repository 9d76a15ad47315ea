package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// echoShares answers a heartbeat with its sender's incarnation.
type echoShares struct{ Shares }

func (echoShares) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{Incarnation: r.Incarnation}, nil
}

// silenceableListener is a listener whose connections discard the server's writes once they are silenced.
type silenceableListener struct {
	net.Listener
	conns chan *silenceableConn
}

type silenceableConn struct {
	net.Conn
	silent atomic.Bool
}

func (l *silenceableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silenceableConn{Conn: c}
	l.conns <- s
	return s, nil
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnection guards against a peer that stays unreachable because calls to it keep using a connection that
// no longer responds.
func TestSilentConnection(t *testing.T) {
	Convey("A call on a silent connection fails and the next one uses a new connection", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l, s := &silenceableListener{inner, make(chan *silenceableConn, 10)}, NewServer(nil, nil)
		peerpb.RegisterPeerServer(s, &Service{Shares: echoShares{}})
		go func() { _ = s.Serve(l) }()
		defer s.Stop()
		c := NewClients(nil, dialTCP, func(string) {})
		defer c.Close()
		heartbeat := func() error {
			a, err := c.Heartbeat(t.Context(), inner.Addr().String(), &peerpb.HeartbeatRequest{Incarnation: "x"})
			if err == nil {
				So(a.Incarnation, ShouldEqual, "x")
			}
			return err
		}
		So(heartbeat(), ShouldBeNil)
		(<-l.conns).silent.Store(true)
		So(heartbeat(), ShouldNotBeNil)
		So(heartbeat(), ShouldBeNil)
		So(len(l.conns), ShouldEqual, 1)
	})
}

// TestRefused guards against a stopped process that cannot be told from one that does not respond.
func TestRefused(t *testing.T) {
	Convey("A refused connection is reported to the callback", t, func() {
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
