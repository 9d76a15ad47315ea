// Package network opens listeners and connections. Tests replace its Network by one of in-memory connections, so that
// whole processes run in virtual time.
package network

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// keepAliveIdle is how long a connection may be idle before TCP keep-alive probes are sent. A network device
	// between the two ends may have lost the state of a connection, which then never responds again.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is how many probes may stay unanswered before the connection is closed.
	keepAliveProbes = 3
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	unackedTimeout = 4 * time.Second
)

// TCP is the TCP network of the operating system. It closes a connection within seconds after the other end has
// stopped responding.
type TCP struct{}

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Listen opens a TCP listener. Accepted connections inherit the keep-alive settings and unackedTimeout.
func (TCP) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
	return lc.Listen(context.Background(), "tcp", address)
}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// WithoutKeepAlive returns a round tripper that opens a new connection for each request. It is used to repeat a
// request when an open connection may no longer respond. A round tripper other than *http.Transport is returned
// unchanged.
func WithoutKeepAlive(rt http.RoundTripper) http.RoundTripper {
	t, ok := rt.(*http.Transport)
	if !ok {
		return rt
	}
	t = t.Clone()
	t.DisableKeepAlives = true
	return t
}

// maxIdleConnsPerHost bounds the idle connections kept to one backend server. It suffices for the requests of a whole
// batch.
const maxIdleConnsPerHost = 256

// MaxResponseHeadBytes bounds the status line and headers of a backend server's response. A faulty server may send bytes
// without end.
const MaxResponseHeadBytes = 64 << 10

// idleConnTimeout is how long an idle connection is kept.
const idleConnTimeout = 30 * time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// HTTPTransport returns an HTTP client transport over n. It ignores proxy settings.
func HTTPTransport(n Network) *http.Transport { return HTTPTransportOver(n.Dial, nil) }

// HTTPTransportOver returns an HTTP client transport that opens connections with dialPlain for http URLs and with
// dialTLS, which includes the TLS handshake, for https URLs. If dialTLS is nil, net/http does TLS over dialPlain.
//
// Guarantee: a response that ends with its connection is complete only if no write of the connection has failed.
func HTTPTransportOver(dialPlain, dialTLS DialFunc) *http.Transport {
	var dialTLSContext func(ctx context.Context, network, address string) (net.Conn, error)
	if dialTLS != nil {
		dialTLSContext = keepWriteErrors(dialTLS)
	}
	return &http.Transport{
		DialContext:            keepWriteErrors(dialPlain),
		DialTLSContext:         dialTLSContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: MaxResponseHeadBytes,
		DisableCompression:     true,
	}
}
