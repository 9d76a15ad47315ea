package keepalive

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// End is who ended a connection.
type End string

// The ends.
const (
	// Open: nobody, as far as this process knows.
	Open End = ""
	// CallerClosed: the client closed or reset it.
	CallerClosed End = "caller"
	// CallerLost: the client did not respond.
	CallerLost End = "caller_lost"
	// ClosedHere: this process closed it, or ended its reads by a deadline.
	ClosedHere End = "instance"
)

// endOf returns who ended the connection on which a read or a write has failed.
func endOf(err error) End {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe):
		return CallerClosed
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return CallerLost
	default:
		return ClosedHere
	}
}

type connKey struct{}

// ConnContext is the ConnContext hook of the server that serves the listener.
func (c *Connections) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if tracked, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, tracked)
	}
	return ctx
}

// EndOf returns who ended the connection of the request with the context, Open if it is not tracked. A request's context is
// canceled only after the end is known.
func EndOf(ctx context.Context) End {
	tracked, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return Open
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	return tracked.end
}
