package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// counter counts bytes of the payload of TCP connections, in both directions. Headers of TCP and IP and segments
// without payload come on top.
type counter struct {
	sent, received atomic.Int64
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// dial opens a counted connection.
func (c *counter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{nc, c}, nil
}

// total returns the bytes in both directions.
func (c *counter) total() float64 { return float64(c.sent.Load() + c.received.Load()) }

// webServer serves a handler on loopback and returns its base address and a function that stops it.
func webServer(h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with an error when it is closed
	return "http://" + l.Addr().String(), func() { _ = s.Close() }, nil
}

// webTransport returns an HTTP transport whose connections are counted.
func (c *counter) webTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return c.dial(ctx, address) },
	}
}
