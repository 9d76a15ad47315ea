// Package network opens the system's listeners and connections. Tests replace it by connections in
// memory, so that whole processes run in virtual time.
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
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// keepAliveIdle is how long a connection may be idle before it is probed. Something between
	// the two ends may have lost track of a connection, which then stays silent for good.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is how many probes may stay unanswered.
	keepAliveProbes = 3
	// unackedTimeout is how long written bytes may stay unacknowledged by the other end.
	unackedTimeout = 4 * time.Second
)

// TCP is the network of the operating system, with silent connections closed within seconds.
type TCP struct{}

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}

// Listen opens a TCP listener. Accepted connections inherit the time limits.
func (TCP) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
	return lc.Listen(context.Background(), "tcp", address)
}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// WithoutKeepAlive returns a round tripper that opens a new connection for each request. It is used to ask again when
// an open connection may have gone silent. Round trippers other than net/http's are returned as they are.
func WithoutKeepAlive(rt http.RoundTripper) http.RoundTripper {
	t, ok := rt.(*http.Transport)
	if !ok {
		return rt
	}
	t = t.Clone()
	t.DisableKeepAlives = true
	return t
}

// maxIdleConnsPerHost keeps enough connections to one backend server for its whole batch.
const maxIdleConnsPerHost = 256

// idleConnTimeout is how long an unused connection is kept.
const idleConnTimeout = 30 * time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// HTTPTransport returns an HTTP client transport over n. It follows no proxy settings.
func HTTPTransport(n Network) *http.Transport { return HTTPTransportOver(n.Dial, nil) }

// HTTPTransportOver returns an HTTP client transport whose connections plain opens for http addresses
// and secure, with TLS, for https addresses. A nil secure leaves TLS to net/http.
func HTTPTransportOver(plain, secure DialFunc) *http.Transport {
	var dialTLS func(ctx context.Context, network, address string) (net.Conn, error)
	if secure != nil {
		dialTLS = func(ctx context.Context, _, address string) (net.Conn, error) { return secure(ctx, address) }
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return plain(ctx, address)
		},
		DialTLSContext:      dialTLS,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}
