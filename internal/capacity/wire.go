package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// byteCounter counts the payload bytes of TCP connections in both directions. It leaves out TCP and IP headers and
// segments without payload.
type byteCounter struct {
	sent, received atomic.Int64
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// dial opens a connection whose bytes are counted.
func (c *byteCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{nc, c}, nil
}

// total returns the number of bytes in both directions.
func (c *byteCounter) total() float64 { return float64(c.sent.Load() + c.received.Load()) }

// serveHTTP serves a handler on loopback and returns its base URL and a function that stops it.
func serveHTTP(h http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // returns an error when the server is closed
	return "http://" + l.Addr().String(), func() { _ = s.Close() }, nil
}

// httpTransport returns an HTTP transport whose bytes are counted.
func (c *byteCounter) httpTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return c.dial(ctx, address) },
	}
}
