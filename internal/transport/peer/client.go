package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"path"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// CallTimeout is the deadline of a call. The connection of a call that reaches it is closed and replaced, because a
// connection can stop responding for good while new connections to the same address work.
const CallTimeout = 2 * time.Second

// connectParams make gRPC retry a failed connection soon, because a restarted instance listens at the same address.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: CallTimeout / 2, // leaves a call time for a second attempt if the first gets no response
}

// Clients holds one connection per peer address. It is safe for concurrent use.
type Clients struct {
	tlsConfig func() (*tls.Config, error)
	dialer    func(ctx context.Context, addr string) (net.Conn, error)
	onRefused func(addr string)
	// OnCall, if set before the first call, is called with the name of each method that is called at a peer.
	OnCall func(method string)
	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewClients returns clients without connections. tlsConfig returns the configuration of one connection, with this
// instance's certificate and the authorities that sign the certificates of its peers; nil means plain text. dial opens
// a connection. onRefused is called from any goroutine at the moment when a host refuses a connection because no
// process listens at the address. The error of a call does not tell this: calls go on failing for some time after a
// refusal, when a new process may already listen.
func NewClients(tlsConfig func() (*tls.Config, error), dial func(ctx context.Context, addr string) (net.Conn, error), onRefused func(addr string)) *Clients {
	return &Clients{tlsConfig: tlsConfig, dialer: dial, onRefused: onRefused, conns: map[string]*grpc.ClientConn{}}
}

// Heartbeat sends a heartbeat.
func (c *Clients) Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Heartbeat)
}

// Transfer sends a transfer. The same transfer may be sent again under its number.
func (c *Clients) Transfer(ctx context.Context, addr string, r *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Transfer)
}

// RequestShare asks a member for a transfer. If the response is lost, the member sends the transfer again itself.
func (c *Clients) RequestShare(ctx context.Context, addr string, r *peerpb.ShareRequest) (*peerpb.ShareResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.RequestShare)
}

// FrozenCounters asks a member for its frozen counters of transfers with ended members.
func (c *Clients) FrozenCounters(ctx context.Context, addr string, r *peerpb.FrozenCountersRequest) (*peerpb.FrozenCountersResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.FrozenCounters)
}

// Retire asks a member to stop dispatching an adapter version to an engine.
func (c *Clients) Retire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Retire)
}

// Unretire permits a member to dispatch an adapter version to an engine again.
func (c *Clients) Unretire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Unretire)
}

// WantAdapter asks an engine's owner to load an adapter. The owner responds well within CallTimeout, even if the
// load has not finished by then.
func (c *Clients) WantAdapter(ctx context.Context, addr string, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.WantAdapter)
}

// InFlight asks a member for its requests in flight on an engine.
func (c *Clients) InFlight(ctx context.Context, addr string, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.InFlight)
}

// ReportCrashes tells a member which attempts broke off and what is refused because it crashes engines.
func (c *Clients) ReportCrashes(ctx context.Context, addr string, r *peerpb.ReportCrashesRequest) (*peerpb.ReportCrashesResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.ReportCrashes)
}

// ReserveRequest reserves one request to a backend server at the member that meters the server's limit.
func (c *Clients) ReserveRequest(ctx context.Context, addr string, r *peerpb.ReserveRequestRequest) (*peerpb.ReserveRequestResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.ReserveRequest)
}

// RecordStreams appends records of streams through another instance.
func (c *Clients) RecordStreams(ctx context.Context, addr string, r *peerpb.RecordStreamsRequest) (*peerpb.RecordStreamsResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.RecordStreams)
}

// FindStreams asks another instance for the records of streams.
func (c *Clients) FindStreams(ctx context.Context, addr string, r *peerpb.FindStreamsRequest) (*peerpb.FindStreamsResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.FindStreams)
}

// AppendFleet appends a record to the fleet's stream through another instance.
func (c *Clients) AppendFleet(ctx context.Context, addr string, r *peerpb.AppendFleetRequest) (*peerpb.AppendFleetResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.AppendFleet)
}

// AdmitRequest asks the owner of a backend server for a place in its batch.
func (c *Clients) AdmitRequest(ctx context.Context, addr string, r *peerpb.AdmitRequestRequest) (*peerpb.AdmitRequestResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.AdmitRequest)
}

// EndRequest returns the place of an admitted request.
func (c *Clients) EndRequest(ctx context.Context, addr string, r *peerpb.EndRequestRequest) (*peerpb.EndRequestResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.EndRequest)
}

type rpc[Q, A any] func(peerpb.PeerClient, context.Context, *Q, ...grpc.CallOption) (*A, error)

func call[Q, A any](ctx context.Context, c *Clients, addr string, request *Q, method rpc[Q, A]) (*A, error) {
	conn, err := c.conn(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limited, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	response, err := method(peerpb.NewPeerClient(conn), limited, request)
	if err == nil {
		return response, nil
	}
	if status.Code(err) == codes.DeadlineExceeded && limited.Err() != nil && ctx.Err() == nil {
		c.discard(addr, conn)
	}
	return nil, trace.Wrap(err, "calling the peer at %s", addr)
}

func (c *Clients) conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, trace.ConnectionProblem(nil, "the peer clients are closed")
	}
	if conn := c.conns[addr]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(clientCredentials(c.tlsConfig)),
		grpc.WithContextDialer(c.dial),
		grpc.WithConnectParams(connectParams),
		grpc.WithUnaryInterceptor(c.reportCall),
		grpc.WithReadBufferSize(connBufferBytes), grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.conns[addr] = conn
	return conn, nil
}

// reportCall reports the name of the method of each call.
func (c *Clients) reportCall(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	if c.OnCall != nil {
		c.OnCall(path.Base(method))
	}
	return invoke(ctx, method, request, reply, conn, options...)
}

func (c *Clients) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.dialer(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.onRefused(addr)
	}
	return conn, err
}

// discard closes a connection, so that the next call to the address opens a new one.
func (c *Clients) discard(addr string, conn *grpc.ClientConn) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close() // the connection is not used again, whether or not Close fails
}

// Disconnect closes the connection to an address that is no longer a peer's.
func (c *Clients) Disconnect(addr string) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		c.discard(addr, conn)
	}
}

// Close closes all connections. Calls in flight fail.
func (c *Clients) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns, c.closed = nil, true
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the connection is not used again, whether or not Close fails
	}
}
