package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
)

// listen opens a listener and returns a service that serves it. At most limit connections are accepted at
// a time; further ones wait in the operating system's accept queue. If conf is nil, the listener uses
// plain text.
func (d *Daemon) listen(address string, conf *tls.Config, limit int, h http.Handler) (suture.Service, error) {
	inner, err := d.opts.Network.Listen(address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	tracked := d.connections.Listener(newLimitListener(inner, limit))
	var l net.Listener = tracked
	if conf != nil {
		l = tls.NewListener(tracked, conf)
	}
	s := &http.Server{
		Handler: d.announceClose(h), ConnState: d.connectionState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes,
		// "OPTIONS *" goes to the handler, so that it gets an answer with a verdict like every other
		// request.
		DisableGeneralOptionsHandler: true,
		// HTTP/2 stays off: one connection could carry hundreds of requests, which max_connections does
		// not bound.
		Protocols: &http.Protocols{},
	}
	s.Protocols.SetHTTP1(true)
	d.servers, d.listeners = append(d.servers, s), append(d.listeners, tracked)
	// Close returns the errors of closing the listeners, which do not matter after the stop.
	return &listenerService{serve: func() error { return s.Serve(l) }, stop: func() { _ = s.Close() }}, nil
}

// connectionState passes the state of a connection to d.connections, which track what is below TLS.
func (d *Daemon) connectionState(c net.Conn, s http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	d.connections.ConnState(c, s)
}

// announceClose asks the clients of a draining instance to close their connections, so that the load balancer sends
// their next requests to another one.
func (d *Daemon) announceClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// listenerService runs one listener under the supervisor.
type listenerService struct {
	serve func() error
	stop  func()
}

// Serve implements suture.Service. The supervisor does not restart a listener that has stopped serving.
func (s *listenerService) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.serve() }()
	select {
	case <-done:
		return suture.ErrDoNotRestart
	case <-ctx.Done():
		s.stop()
		return ctx.Err()
	}
}

// limitListener accepts a limited number of connections at a time. Unlike netutil.LimitListener, it and its connections
// give access to their sockets, which package keepalive needs to find connections and bytes that wait.
type limitListener struct {
	net.Listener
	// places holds one element for each connection that is open or being accepted.
	places    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	release := sync.OnceFunc(func() { <-l.places })
	c, err := l.Listener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	return &limitedConn{Conn: c, release: release}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline bounds the calls of Accept that take a connection from the socket's queue.
func (l *limitListener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (l *limitListener) SyscallConn() (syscall.RawConn, error) { return socketOf(l.Listener) }

// socketOf returns the socket of a listener or a connection.
func socketOf(v any) (syscall.RawConn, error) {
	if s, ok := v.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) { return socketOf(c.Conn) }
