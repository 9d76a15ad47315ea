package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
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

// CallTimeout is the deadline of a call. A connection on which a call reaches it is closed and replaced, since some
// connections go silent for good while new ones work.
const CallTimeout = 2 * time.Second

// reconnect retries a failed connection soon, because a restarted instance serves the same address.
var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: CallTimeout / 2, // so that a call outlives one attempt that goes silent
}

// Clients holds one connection per peer address. It is safe for concurrent use.
type Clients struct {
	conf    func() (*tls.Config, error)
	dialer  func(ctx context.Context, addr string) (net.Conn, error)
	refused func(addr string)
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	done    bool
}

// NewClients returns clients without connections. The function makes the configuration of one connection, with this
// instance's certificate and the authorities that sign those of its peers; nil means plain text. Dial opens a connection. Refused is called, from any goroutine and at the
// time it happens, when a host refuses a connection because no process listens at the address. It is
// not an error of a call: calls fail for some time after a refusal, when a new process may listen.
func NewClients(conf func() (*tls.Config, error), dial func(ctx context.Context, addr string) (net.Conn, error), refused func(addr string)) *Clients {
	return &Clients{conf: conf, dialer: dial, refused: refused, conns: map[string]*grpc.ClientConn{}}
}

// Heartbeat sends a heartbeat.
func (c *Clients) Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Heartbeat)
}

// Transfer sends a transfer. It may be repeated under the same number.
func (c *Clients) Transfer(ctx context.Context, addr string, r *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Transfer)
}

// RequestShare asks for a transfer. If the answer is lost, the peer repeats the transfer itself.
func (c *Clients) RequestShare(ctx context.Context, addr string, r *peerpb.ShareRequest) (*peerpb.ShareResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.RequestShare)
}

// FrozenCounters asks for the counters with ended members.
func (c *Clients) FrozenCounters(ctx context.Context, addr string, r *peerpb.FrozenCountersRequest) (*peerpb.FrozenCountersResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.FrozenCounters)
}

// Retire asks a member to stop dispatching an adapter version to an engine.
func (c *Clients) Retire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Retire)
}

// Unretire permits dispatch again.
func (c *Clients) Unretire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Unretire)
}

// WantAdapter asks an engine's owner for a load. The owner answers well within CallTimeout, if need be
// that the load is not over.
func (c *Clients) WantAdapter(ctx context.Context, addr string, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.WantAdapter)
}

// InFlight asks a member for its requests in flight on an engine.
func (c *Clients) InFlight(ctx context.Context, addr string, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.InFlight)
}

type method[Q, A any] func(peerpb.PeerClient, context.Context, *Q, ...grpc.CallOption) (*A, error)

func call[Q, A any](ctx context.Context, c *Clients, addr string, q *Q, m method[Q, A]) (*A, error) {
	k, err := c.conn(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limited, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	a, err := m(peerpb.NewPeerClient(k), limited, q)
	if err == nil {
		return a, nil
	}
	if status.Code(err) == codes.DeadlineExceeded && limited.Err() != nil && ctx.Err() == nil {
		c.replace(addr, k)
	}
	return nil, trace.Wrap(err, "calling the peer at %s", addr)
}

func (c *Clients) conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return nil, trace.ConnectionProblem(nil, "the clients are closed")
	}
	if k := c.conns[addr]; k != nil {
		return k, nil
	}
	k, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(clientCredentials(c.conf)),
		grpc.WithContextDialer(c.dial),
		grpc.WithConnectParams(reconnect),
		grpc.WithReadBufferSize(connBuffer), grpc.WithWriteBufferSize(connBuffer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.conns[addr] = k
	return k, nil
}

func (c *Clients) dial(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := c.dialer(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.refused(addr)
	}
	return nc, err
}

// replace closes the connection, so that the next call opens a new one.
func (c *Clients) replace(addr string, k *grpc.ClientConn) {
	c.mu.Lock()
	if c.conns[addr] == k {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = k.Close() // the connection is given up whatever Close says
}

// Disconnect closes the connection to an address that is no longer a peer's.
func (c *Clients) Disconnect(addr string) {
	c.mu.Lock()
	k := c.conns[addr]
	c.mu.Unlock()
	if k != nil {
		c.replace(addr, k)
	}
}

// Close closes all connections. Calls in flight fail.
func (c *Clients) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns, c.done = nil, true
	c.mu.Unlock()
	for _, k := range conns {
		_ = k.Close() // nothing is left to do with the connection
	}
}
