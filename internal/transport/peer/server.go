// Package peer carries the messages between instances over gRPC.
package peer

import (
	"context"
	"crypto/tls"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

const (
	// maxMessageBytes is the largest size of a message. A heartbeat with reports on 50 workspaces takes 2.5 KB without
	// its data on engines.
	maxMessageBytes = 8 << 20
	// connBufferBytes is the size of each read and write buffer of a connection. A heartbeat with reports on 50
	// workspaces fits. With grpc-go's default of 32 KiB, the connections in a mesh of 860 instances would exceed the
	// memory budget of 64 MB.
	connBufferBytes = 4 << 10
	// keepaliveTime is how long a connection may be idle before it is pinged: the minimum that grpc-go allows a
	// client. A connection that stops responding during a call is detected earlier, by the call's deadline.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long a ping may go unanswered.
	keepaliveTimeout = 2 * time.Second
	// handshakeTimeout is how long a new connection may take for its TLS and HTTP/2 handshakes.
	handshakeTimeout = 5 * time.Second
)

// Shares handles the calls about liveness and shares. Implementations must be safe for concurrent use.
type Shares interface {
	Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	Transfer(context.Context, *peerpb.TransferRequest) (*peerpb.TransferResponse, error)
	RequestShare(context.Context, *peerpb.ShareRequest) (*peerpb.ShareResponse, error)
	FrozenCounters(context.Context, *peerpb.FrozenCountersRequest) (*peerpb.FrozenCountersResponse, error)
}

// Slots handles the calls about engine slots. Implementations must be safe for concurrent use.
type Slots interface {
	Retire(context.Context, *peerpb.RetireRequest) (*peerpb.RetireResponse, error)
	Unretire(context.Context, *peerpb.RetireRequest) (*peerpb.RetireResponse, error)
	WantAdapter(context.Context, *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error)
	InFlight(context.Context, *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error)
}

// NewServer returns a gRPC server without services. The configuration must require and verify client
// certificates; nil means plain text, which the caller must permit only on loopback or by an explicit setting. A
// panic in the handler of a call ends only that call, and is reported to onPanic unless that is nil. More options may follow.
func NewServer(conf *tls.Config, onPanic PanicFunc, more ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(more,
		grpc.Creds(transportCredentials(conf)),
		grpc.UnaryInterceptor(onPanic.unary), grpc.StreamInterceptor(onPanic.stream),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)...)
}

func transportCredentials(conf *tls.Config) credentials.TransportCredentials {
	if conf == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(conf)
}

// Service implements the methods of the peer service for liveness, shares, engine slots and state. The other methods
// are unimplemented unless a type that embeds Service implements them.
type Service struct {
	peerpb.UnimplementedPeerServer
	Shares Shares
	// State is nil on instances that do not provide their state to others.
	State State
	Slots Slots
}

// Heartbeat implements peerpb.PeerServer.
func (s *Service) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return s.Shares.Heartbeat(ctx, r)
}

// Transfer implements peerpb.PeerServer.
func (s *Service) Transfer(ctx context.Context, r *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	return s.Shares.Transfer(ctx, r)
}

// RequestShare implements peerpb.PeerServer.
func (s *Service) RequestShare(ctx context.Context, r *peerpb.ShareRequest) (*peerpb.ShareResponse, error) {
	return s.Shares.RequestShare(ctx, r)
}

// FrozenCounters implements peerpb.PeerServer.
func (s *Service) FrozenCounters(ctx context.Context, r *peerpb.FrozenCountersRequest) (*peerpb.FrozenCountersResponse, error) {
	return s.Shares.FrozenCounters(ctx, r)
}

// Retire implements peerpb.PeerServer.
func (s *Service) Retire(ctx context.Context, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return s.Slots.Retire(ctx, r)
}

// Unretire implements peerpb.PeerServer.
func (s *Service) Unretire(ctx context.Context, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return s.Slots.Unretire(ctx, r)
}

// WantAdapter implements peerpb.PeerServer.
func (s *Service) WantAdapter(ctx context.Context, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return s.Slots.WantAdapter(ctx, r)
}

// InFlight implements peerpb.PeerServer.
func (s *Service) InFlight(ctx context.Context, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error) {
	return s.Slots.InFlight(ctx, r)
}
