// Package keepalive closes the idle connections of an HTTP server's clients without losing a request that has arrived: the
// state that net/http reports is idle until the headers of the next request were read, and a request may lie unread in the
// socket even longer. The goroutine that reads a connection therefore decides on the close itself, after it has checked the
// socket once more. The first bytes of a request may also have been read together with the previous one or while that was
// served; the size of net/http's next read shows it.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionLimit is how long Drain leaves a connection open on which no byte has arrived yet.
	newConnectionLimit = time.Second
	// drainPollInterval is how often Drain looks for connections that have become idle.
	drainPollInterval = 20 * time.Millisecond
)

// Cause is why a connection was closed.
type Cause string

// The causes.
const (
	// IdleLimit: it was idle for longer than the limit, or than the server's own idle timeout.
	IdleLimit Cause = "idle_limit"
	// Stop: it was idle while the server stopped.
	Stop Cause = "stop"
	// ByCaller: the client closed it while it was idle, or it did not respond; also if the server was closed then.
	ByCaller Cause = "caller"
	// AfterRequest: it was closed during a request or after its response.
	AfterRequest Cause = "after_request"
)

// CloseInfo describes the end of a connection. Unread is true if bytes had arrived that the server did not read: the client gets a
// reset.
type CloseInfo struct {
	Cause  Cause
	Unread bool
}

// Connections tracks the open connections of a server's clients. It is safe for concurrent use.
type Connections struct {
	// OnClose is called for each connection that is closed, if it is set before the first connection is accepted.
	OnClose func(CloseInfo)
	now     func() time.Duration

	mu   sync.Mutex
	open map[*conn]struct{}
}

// New returns an empty set of connections, whose idle times are measured on a monotonic clock.
func New(now func() time.Duration) *Connections {
	return &Connections{now: now, open: map[*conn]struct{}{}}
}

// Listener returns a listener whose connections are tracked until they are closed.
func (c *Connections) Listener(l net.Listener) *Listener {
	return &Listener{Listener: l, connections: c, ended: make(chan struct{})}
}

// ConnState is the ConnState hook of the server that serves the listener.
func (c *Connections) ConnState(nc net.Conn, s http.ConnState) {
	tracked, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		tracked.waitForRequest(c.now())
	case http.StateActive:
		tracked.begin()
	default:
	}
}

// CloseIdle closes the connections on which no byte of a request has arrived for longer than the limit since they were
// opened or their last response ended. It returns the number of connections that it has newly found idle.
func (c *Connections) CloseIdle(limit time.Duration) int { return c.expire(limit, limit, IdleLimit) }

// DrainTimes are how long connections stay open in a drain although no request is being read or served on them. A request that
// a client sends while its connection is being closed gets no response, while one that arrives before that gets one that
// announces the close.
type DrainTimes struct {
	// Hold is how long all connections stay open after the begin of the drain.
	Hold time.Duration
	// Idle is how long each one stays open after its last response.
	Idle time.Duration
}

// Drain closes each connection once no request is being read or served on it and its time has passed, and returns when none is
// open or ctx has ended. The server must not be shut down before Drain returns: it would drop requests that it has not read to
// the end of their headers. Connections that are opened during the call are included; the listener must have been stopped.
func (c *Connections) Drain(ctx context.Context, times DrainTimes) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for begin := c.now(); ; {
		if c.now()-begin >= times.Hold {
			c.expire(times.Idle, max(times.Idle, newConnectionLimit), Stop)
		}
		if c.count() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (c *Connections) expire(limit, newLimit time.Duration, cause Cause) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, n := c.now(), 0
	for tracked := range c.open {
		if tracked.expire(now, limit, newLimit, cause) {
			n++
		}
	}
	return n
}

func (c *Connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *Connections) add(nc net.Conn) *conn {
	tracked := &conn{Conn: nc, idle: true, since: c.now()}
	tracked.closed = func(d CloseInfo) {
		if c.OnClose != nil {
			c.OnClose(d)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, tracked)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = struct{}{}
	return tracked
}
