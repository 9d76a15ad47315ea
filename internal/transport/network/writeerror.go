package network

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// writeEndTimeout bounds the wait of a read at the end of its connection for a write that still runs. A reset ends it at once.
const writeEndTimeout = time.Second

var errEndDuringWrite = trace.ConnectionProblem(nil, "the connection ended while a write was blocked")

// writeErrorConn is a connection whose reads return the error of a failed write in place of io.EOF.
//
// The operating system reports an error of a connection once. If a write gets it, a read gets the end of the connection, as if the
// other end had closed it properly, and a response that ends with its connection looks complete.
type writeErrorConn struct {
	net.Conn
	mu sync.Mutex
	// writing is closed when the write that runs has ended; nil if none runs.
	writing chan struct{}
	err     error
}

// keepWriteErrors returns dial as net/http takes it, for connections whose reads return the errors of failed writes. This includes
// connections over TLS, whose end crypto/tls accepts without a mark.
func keepWriteErrors(dial DialFunc) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &writeErrorConn{Conn: c}, nil
	}
}

// Write implements net.Conn. Writes must not overlap.
func (c *writeErrorConn) Write(b []byte) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.writing = done
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	c.writing = nil
	if err != nil {
		c.err = err
	}
	c.mu.Unlock()
	close(done)
	return n, err
}

// Read implements net.Conn.
func (c *writeErrorConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()
		select {
		case <-writing:
		case <-timer.C:
			return n, errEndDuringWrite
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return n, c.err
	}
	return n, io.EOF
}
