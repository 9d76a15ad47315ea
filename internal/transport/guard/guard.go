// Package guard applies callerlimits to the connections of a server's clients: it limits their number and counts what they
// hold and transfer. Both programs use it, for each of their listeners.
package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
)

// Bound names the limit that is being enforced, in metrics and the log.
type Bound string

// The bounds.
const (
	Connections Bound = "connections"
	// HostConnections is that on the connections to one host.
	HostConnections Bound = "host_connections"
	HeadMemory      Bound = "head_memory"
	BodyMemory      Bound = "body_memory"
	ResponseMemory  Bound = "response_memory"
	Fields          Bound = "fields"
	Rate            Bound = "rate"
)

const (
	// logInterval is the shortest time between two log lines of a guard.
	logInterval = 10 * time.Second
	// sweepInterval is how often connections are checked for progress.
	sweepInterval = time.Second
	// writeChunk is the largest part that is written at once, so that the progress of a slow reader is seen.
	writeChunk = 64 << 10
	// roomInterval is how often a full guard checks for a connection to close for those that wait.
	roomInterval = 100 * time.Millisecond
)

var (
	errClosed = trace.LimitExceeded("the connection was closed in favour of others")
	errLength = trace.BadParameter("the body is longer than announced")
	errFields = trace.LimitExceeded("the head has too many fields")
	// ErrBodyMemory means that there is no memory for a body.
	ErrBodyMemory = trace.LimitExceeded("the memory for bodies is used up")
)

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// Metrics count what guards enforce.
type Metrics struct {
	enforced *prometheus.CounterVec
	held     *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(r *prometheus.Registry) *Metrics {
	m := &Metrics{
		enforced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmeric_caller_bounds_enforced_total", Help: "Connections closed and requests refused because of a bound, by listener and bound.",
		}, []string{"listener", "bound"}),
		held: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "turmeric_caller_held", Help: "What connections of clients hold: bytes of heads with connections, bytes of bodies, and their number.",
		}, []string{"listener", "of"}),
	}
	r.MustRegister(m.enforced, m.held)
	return m
}

// Guard is the account of the connections of one listener. It is safe for concurrent use.
type Guard struct {
	*reporter
	limits callerlimits.Limits
	// freed holds an element after a connection was closed.
	freed chan struct{}

	mu      sync.Mutex
	account *callerlimits.Account
	conns   map[*callerlimits.Conn]*conn
}

// New returns a guard for the listener with a name.
func New(name string, l callerlimits.Limits, m *Metrics, log zerolog.Logger) *Guard {
	return &Guard{
		reporter: newReporter(name, m, log), limits: l, freed: make(chan struct{}, 1),
		account: callerlimits.New(l), conns: map[*callerlimits.Conn]*conn{},
	}
}

// Run closes connections without progress until the context ends.
func (g *Guard) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.sweep()
		}
	}
}

func (g *Guard) sweep() {
	// A write of a long response may take longer than the window, and shows its progress only at its end.
	for _, c := range g.writing() {
		c.moved(0)
	}
	g.mu.Lock()
	overdue := g.take(g.account.Overdue(g.now()))
	held := g.metrics.held
	held.WithLabelValues(g.name, "head_bytes").Set(float64(g.account.Used(callerlimits.Heads)))
	held.WithLabelValues(g.name, "body_bytes").Set(float64(g.account.Used(callerlimits.Bodies)))
	held.WithLabelValues(g.name, "connections").Set(float64(g.account.Connections()))
	g.mu.Unlock()
	for _, c := range overdue {
		g.enforce(Rate)
		c.evict(false)
	}
}

// writing returns the connections on which a write waits for the client.
func (g *Guard) writing() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*conn
	for a, c := range g.conns {
		if a.IsWriting() {
			out = append(out, c)
		}
	}
	return out
}

// take returns the connections of accounts that were closed. The lock is held.
func (g *Guard) take(accounts []*callerlimits.Conn) []*conn {
	var out []*conn
	for _, a := range accounts {
		if c := g.conns[a]; c != nil {
			out = append(out, c)
			delete(g.conns, a)
		}
	}
	return out
}

// Listener returns a listener whose connections are limited. Further ones wait in the operating system's queue. If opaque is set,
// the connections carry TLS, so that fields cannot be counted before they are parsed.
func (g *Guard) Listener(l net.Listener, opaque bool) net.Listener {
	return &listener{Listener: l, guard: g, opaque: opaque, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	guard     *Guard
	opaque    bool
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for waited := false; !l.guard.makeRoom(); waited = true {
		if !waited {
			l.guard.enforce(Connections)
		}
		t := time.NewTimer(roomInterval)
		select {
		case <-l.closed:
			t.Stop()
			return nil, net.ErrClosed
		case <-l.guard.freed:
		case <-t.C:
		}
		t.Stop()
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.guard.open(nc, l.opaque), nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline bounds the calls of Accept.
func (l *listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) { return socketOf(l.Listener) }

// socketOf returns the socket of a listener or a connection.
func socketOf(v any) (syscall.RawConn, error) {
	if s, ok := v.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// makeRoom reports whether there is room for another connection. If not, it closes one in favour of it.
func (g *Guard) makeRoom() bool {
	g.mu.Lock()
	victim, ok := g.account.Room(g.now())
	idle := victim != nil && victim.IsIdle()
	closed := g.take([]*callerlimits.Conn{victim})
	g.mu.Unlock()
	if ok {
		return true
	}
	for _, c := range closed {
		c.evict(idle)
	}
	return victim != nil
}

func (g *Guard) open(nc net.Conn, opaque bool) *conn {
	host := nc.RemoteAddr().String()
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &conn{Conn: nc, guard: g, account: g.account.Open(g.now(), host), inHead: true, opaque: opaque}
	g.conns[c.account] = c
	return c
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is called in the server's hook of that name.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c := find(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// find returns the guard's connection below others, nil if there is none.
func find(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		w, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = w.NetConn()
	}
}

// ConnState records that a connection is idle. It is called in the server's hook of that name.
func ConnState(nc net.Conn, s http.ConnState) {
	if c := find(nc); c != nil && s == http.StateIdle {
		c.waitForRequest()
	}
}

// Handler returns a handler that records what the connections are used for, and releases what a request held.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.headRead.Store(true)
		c.setPhase(callerlimits.Serving)
		defer c.finish()
		if c.opaque && fieldsOf(r.Header) > c.guard.limits.Fields {
			c.guard.enforce(Fields)
			w.Header().Set("Connection", "close")
			http.Error(w, "too many header fields", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func fieldsOf(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}
