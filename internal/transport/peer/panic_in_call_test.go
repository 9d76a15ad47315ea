package peer

import (
	"context"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// faultyPeer answers heartbeats and panics in all other calls.
type faultyPeer struct {
	echoShares
	State
}

func (faultyPeer) Transfer(context.Context, *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	panic("fault")
}

func (faultyPeer) ConfigState() ([]byte, error) { panic("fault") }

// TestPanicInCall guards against an instance whose process ends, with all requests that it serves, because the call of
// another instance panics.
func TestPanicInCall(t *testing.T) {
	Convey("Given an instance whose handlers panic", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var mu sync.Mutex
		stacks := map[string]string{}
		s := NewServer(nil, func(call string, _ any, stack []byte) {
			mu.Lock()
			defer mu.Unlock()
			stacks[call] = string(stack)
		})
		peerpb.RegisterPeerServer(s, &Service{Shares: faultyPeer{}, State: faultyPeer{}})
		go func() { _ = s.Serve(l) }()
		defer s.Stop()
		c := NewClients(nil, dialTCP, func(string) {})
		defer c.Close()
		Convey("the calls fail, and later ones are served", func() {
			_, err := c.Transfer(t.Context(), l.Addr().String(), &peerpb.TransferRequest{})
			So(status.Code(err), ShouldEqual, codes.Internal)
			_, err = c.FetchState(t.Context(), l.Addr().String())
			So(err, ShouldNotBeNil)
			mu.Lock()
			So(stacks[peerpb.Peer_Transfer_FullMethodName], ShouldContainSubstring, "faultyPeer.Transfer")
			So(stacks[peerpb.Peer_FetchState_FullMethodName], ShouldContainSubstring, "faultyPeer.ConfigState")
			mu.Unlock()
			_, err = c.Heartbeat(t.Context(), l.Addr().String(), &peerpb.HeartbeatRequest{})
			So(err, ShouldBeNil)
		})
	})
}
