package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns tracks the connections of callers on which no request is being served. It is safe for concurrent use.
type idleConns struct {
	now func() time.Duration

	mu sync.Mutex
	// since holds the time at which each connection was opened or its last request ended.
	since map[net.Conn]time.Duration
}

func newIdleConns(now func() time.Duration) *idleConns {
	return &idleConns{now: now, since: map[net.Conn]time.Duration{}}
}

// connState is the ConnState hook of the callers' server, which reports a request once its headers are read.
func (c *idleConns) connState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateNew || s == http.StateIdle {
		c.since[conn] = c.now()
	} else {
		delete(c.since, conn)
	}
}

// closeIdle closes the connections that have sent no complete header for longer than the limit, and returns their
// number.
func (c *idleConns) closeIdle(limit time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, since := range c.since {
		if c.now()-since > limit {
			// The caller may have closed the connection already.
			_ = conn.Close()
			delete(c.since, conn)
			closed++
		}
	}
	return closed
}
