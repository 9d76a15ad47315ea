package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callers holds the connections of callers on which no request is being served. It is safe for concurrent use.
type callers struct {
	now func() time.Duration

	mu sync.Mutex
	// since is when a connection was opened or its last request ended.
	since map[net.Conn]time.Duration
}

func newCallers(now func() time.Duration) *callers {
	return &callers{now: now, since: map[net.Conn]time.Duration{}}
}

// state is a ConnState hook of the callers' server, which reports a request once its headers are read.
func (c *callers) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateNew || s == http.StateIdle {
		c.since[conn] = c.now()
	} else {
		delete(c.since, conn)
	}
}

// closeIdle closes the connections that have brought no whole header for longer than the limit, and returns how many.
func (c *callers) closeIdle(limit time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, since := range c.since {
		if c.now()-since > limit {
			// The caller's side may be gone already.
			_ = conn.Close()
			delete(c.since, conn)
			closed++
		}
	}
	return closed
}
