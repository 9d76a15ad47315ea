// Package memnet is a network in memory for tests in virtual time. It can cut addresses off, make
// connections go silent and break them.
package memnet

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network holds listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       func(from, to string) bool
}

// New returns an empty network.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}}
}

// Host is the network as seen from one host.
type Host struct {
	net  *Network
	name string
}

// Host returns the view of the named host.
func (n *Network) Host(name string) *Host { return &Host{net: n, name: name} }

// silentTimeout is how long a silent connection stays open: the time after which network.TCP closes
// a connection whose other end acknowledges nothing.
const silentTimeout = 4 * time.Second

// Partition makes traffic from one host to an address disappear while f returns true. A connection that
// lost bytes is silent until it is closed, also after the network has healed: delivering later bytes
// would forge a stream with a hole. A nil f heals the network for other connections.
func (n *Network) Partition(f func(fromHost, toAddress string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// Silence makes the open connections that match go silent for good, while new ones work. Neither end is
// told, also not when the other closes.
func (n *Network) Silence(match func(fromHost, toAddress string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.from, c.to) {
			c.silent.Store(true)
		}
	}
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// Kill closes all listeners and connections of a host, as the end of its process does.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var closing []io.Closer
	for address, l := range n.listeners {
		if l.host == host {
			delete(n.listeners, address)
			closing = append(closing, l)
		}
	}
	for c := range n.conns {
		if c.from == host || c.toHost == host {
			closing = append(closing, c.Conn)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

type listener struct {
	net     *Network
	host    string
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

// Listen opens a listener.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{net: h.net, host: h.name, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// Dial opens a connection. It blocks until the context ends when the way is cut, and is refused when
// nobody listens.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if h.net.isCut(h.name, address) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: os.ErrDeadlineExceeded}
	}
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
	a, b := net.Pipe()
	silent := &atomic.Bool{}
	client := h.net.track(&conn{Conn: a, net: h.net, from: h.name, to: address, toHost: l.host, silent: silent})
	server := h.net.track(&conn{Conn: b, net: h.net, from: h.name, to: address, toHost: l.host, silent: silent})
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = client.Close()
	_ = server.Close()
	return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

func (n *Network) track(c *conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

// conn is one end of a connection. Writes on a cut way or a silent connection are swallowed.
type conn struct {
	net.Conn
	net    *Network
	from   string
	to     string
	toHost string
	// silent is shared by both ends.
	silent *atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	if c.net.isCut(c.from, c.to) {
		c.silence()
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence makes both ends of a connection on a cut way lose what they write, and closes them after
// silentTimeout.
func (c *conn) silence() {
	if c.silent.Swap(true) {
		return
	}
	time.AfterFunc(silentTimeout, func() { _ = c.Conn.Close() })
}

func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	if c.silent.Load() {
		// Closing the pipe would tell the other end.
		return c.Conn.SetDeadline(time.Unix(0, 0))
	}
	return c.Conn.Close()
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.from) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.to) }
