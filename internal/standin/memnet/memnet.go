// Package memnet is an in-memory network for tests in virtual time. It can partition hosts, make
// connections go silent and close all connections of a host.
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

// Network is a set of listeners and the connections to them. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*conn]struct{}
	partitioned func(from, to string) bool
}

// New returns a network without listeners.
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

// silentTimeout is how long a connection that lost bytes in a partition stays open. It equals the time after
// which network.TCP closes a connection whose peer acknowledges nothing.
const silentTimeout = 4 * time.Second

// Partition drops traffic from a host to an address while match returns true. A connection that lost bytes
// stays silent until it is closed, even after the partition has ended: delivering later bytes would produce
// a stream with a gap. A nil match ends the partition for all other connections.
func (n *Network) Partition(match func(fromHost, toAddress string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = match
}

// Silence makes the open connections that match silent: they drop all further writes of both ends and are
// not closed. Neither end gets an error, nor an end of file when the other end closes. New connections work.
func (n *Network) Silence(match func(fromHost, toAddress string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.from, c.to) {
			c.silent.Store(true)
		}
	}
}

func (n *Network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned != nil && n.partitioned(from, to)
}

// Kill closes all listeners and connections of a host, as if its process had ended.
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
	net       *Network
	host      string
	address   string
	accept    chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

// Listen opens a listener on an address of the host.
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
	l.closeOnce.Do(func() {
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

// Dial opens a connection. If the host is partitioned from the address, it fails when the context ends or
// after a second. If there is no listener, the connection is refused.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if h.net.isPartitioned(h.name, address) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: os.ErrDeadlineExceeded}
	}
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
	clientEnd, serverEnd := net.Pipe()
	silent := &atomic.Bool{}
	client := h.net.track(&conn{Conn: clientEnd, net: h.net, from: h.name, to: address, toHost: l.host, silent: silent})
	server := h.net.track(&conn{Conn: serverEnd, net: h.net, from: h.name, to: address, toHost: l.host, accepted: true, silent: silent})
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

// conn is one end of a connection. Writes are dropped, but succeed, if it is partitioned or silent.
type conn struct {
	net.Conn
	net    *Network
	from   string
	to     string
	toHost string
	// accepted is set for the end of the listener.
	accepted bool
	// silent is true if writes are dropped. Both ends share it.
	silent *atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	if c.net.isPartitioned(c.from, c.to) {
		c.silence()
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence makes both ends of a partitioned connection drop their writes, and closes the connection after
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
		// Closing the pipe would end the reads of the other end.
		return c.Conn.SetDeadline(time.Unix(0, 0))
	}
	return c.Conn.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr {
	if c.accepted {
		return addr(c.to)
	}
	return addr(c.from)
}

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr {
	if c.accepted {
		return addr(c.from)
	}
	return addr(c.to)
}
