package peer

import (
	"net"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// TestPanicInHandler guards against a call of a peer that ends the process, and with it all requests in flight.
func TestPanicInHandler(t *testing.T) {
	Convey("a call whose handler panics fails, and the server goes on", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var panics atomic.Int64
		s := NewServer(nil, func(call string, value any, stack []byte) {
			if call != "" && value != nil && len(stack) > 0 {
				panics.Add(1)
			}
		})
		// The service has no implementation of the calls about slots.
		peerpb.RegisterPeerServer(s, &Service{Shares: echoShares{}})
		go func() { _ = s.Serve(l) }()
		defer s.Stop()
		c := NewClients(nil, dialTCP, func(string) {})
		defer c.Close()
		address := l.Addr().String()
		_, err = c.InFlight(t.Context(), address, &peerpb.InFlightRequest{})
		So(status.Code(err), ShouldEqual, codes.Internal)
		So(panics.Load(), ShouldEqual, 1)
		_, err = c.Heartbeat(t.Context(), address, &peerpb.HeartbeatRequest{})
		So(err, ShouldBeNil)
		conn, err := c.conn(address)
		So(err, ShouldBeNil)
		stream, err := peerpb.NewPeerClient(conn).FetchState(t.Context(), &peerpb.FetchStateRequest{})
		So(err, ShouldBeNil)
		_, err = stream.Recv()
		So(err, ShouldNotBeNil)
		_, err = c.Heartbeat(t.Context(), address, &peerpb.HeartbeatRequest{})
		So(err, ShouldBeNil)
	})
}
