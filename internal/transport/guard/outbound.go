package guard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// ErrNoDescriptor means that a connection was not opened, because too many of its kind or to its host are open.
var ErrNoDescriptor = trace.LimitExceeded("too many connections are open")

// fullRetryAfter is the Retry-After of requests for which no connection could be opened.
const fullRetryAfter = time.Second

// RefuseFull returns the refusal of a request for which no connection to a worker could be opened because of err.
func RefuseFull(err error) *verdict.Error {
	return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "worker_connections_full",
		"too many connections to backend servers are open").WithRetryAfter(fullRetryAfter)
}

// Outbound counts the connections that this process opens to hosts of one kind, and refuses more than the limits allow. It is safe for
// concurrent use.
type Outbound struct {
	// CloseIdle closes idle connections of this kind, and reports whether there were any. It is set before the first use, and nil if
	// there are no idle connections.
	CloseIdle func() bool

	report *reporter
	mu     sync.Mutex
	count  *callerlimits.Outbound
}

// NewOutbound returns a count of the connections to hosts of the kind with a name.
func NewOutbound(name string, l callerlimits.OutboundLimits, m *Metrics, log zerolog.Logger) *Outbound {
	return &Outbound{report: newReporter(name, m, log), count: callerlimits.NewOutbound(l)}
}

// Acquire counts another connection to a host until release is called, at most once. The error is ErrNoDescriptor.
func (o *Outbound) Acquire(host string) (release func(), err error) {
	room := o.open(host)
	for room == callerlimits.AllFull && o.CloseIdle != nil && o.CloseIdle() {
		room = o.open(host)
	}
	switch room {
	case callerlimits.HostFull:
		o.report.enforce(HostConnections)
		return nil, ErrNoDescriptor
	case callerlimits.AllFull:
		o.report.enforce(Connections)
		return nil, ErrNoDescriptor
	default:
		return sync.OnceFunc(func() { o.close(host) }), nil
	}
}

// acquireAlways counts another connection to a host, also beyond the limits.
func (o *Outbound) acquireAlways(host string) (release func(), err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count.Force(host)
	o.observe()
	return sync.OnceFunc(func() { o.close(host) }), nil
}

func (o *Outbound) open(host string) callerlimits.Room {
	o.mu.Lock()
	defer o.mu.Unlock()
	room := o.count.Open(host)
	o.observe()
	return room
}

func (o *Outbound) close(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count.Close(host)
	o.observe()
}

// Total returns the number of open connections.
func (o *Outbound) Total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count.Total()
}

// observe sets the metric of open connections. The lock is held.
func (o *Outbound) observe() {
	o.report.metrics.held.WithLabelValues(o.report.name, "connections").Set(float64(o.count.Total()))
}

// Network returns a network whose connections are counted from the dial until they are closed.
func (o *Outbound) Network(n network.Network) network.Network { return countedNetwork{n, o, false} }

// RequestNetwork is like Network, but refuses only connections for requests of callers, whose contexts ForRequest returned. Others are
// for calls that keep the fleet going, such as status calls; they are few.
func (o *Outbound) RequestNetwork(n network.Network) network.Network {
	return countedNetwork{n, o, true}
}

type requestKey struct{}

// ForRequest returns a context for the request of a caller, for which RequestNetwork may refuse a connection.
func ForRequest(ctx context.Context) context.Context {
	return context.WithValue(ctx, requestKey{}, true)
}

type countedNetwork struct {
	network.Network
	outbound *Outbound
	// requestsOnly is set if only connections for requests of callers are refused.
	requestsOnly bool
}

// Dial implements network.Network.
func (n countedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	acquire := n.outbound.Acquire
	if n.requestsOnly && ctx.Value(requestKey{}) == nil {
		acquire = n.outbound.acquireAlways
	}
	release, err := acquire(address)
	if err != nil {
		return nil, err
	}
	nc, err := n.Network.Dial(ctx, address)
	if err != nil {
		release()
		return nil, err
	}
	return &countedConn{nc, release}, nil
}

// countedConn is counted until it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) { return socketOf(c.Conn) }

// Limit returns a listener with at most the given number of open connections. Further ones wait in the operating system's queue.
func Limit(l net.Listener, name string, connections int, m *Metrics, log zerolog.Logger) net.Listener {
	return &limitedListener{
		Listener: l, places: make(chan struct{}, max(1, connections)), closed: make(chan struct{}), report: newReporter(name, m, log),
	}
}

type limitedListener struct {
	net.Listener
	// places has an element for each open connection.
	places    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	report    *reporter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.take() {
		return nil, net.ErrClosed
	}
	release := sync.OnceFunc(func() { <-l.places })
	nc, err := l.Listener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	return &countedConn{nc, release}, nil
}

// take waits for a place. It returns false if the listener is closed.
func (l *limitedListener) take() bool {
	select {
	case l.places <- struct{}{}:
		return true
	default:
		l.report.enforce(Connections)
	}
	select {
	case l.places <- struct{}{}:
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
