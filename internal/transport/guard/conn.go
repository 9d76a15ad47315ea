package guard

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
)

// conn is a connection of a client. Only the goroutine that reads uses the fields of the head.
type conn struct {
	net.Conn
	guard   *Guard
	account *callerlimits.Conn
	evicted atomic.Bool

	// inHead is set while a head may be read, and fields counts its lines. lineBytes is the length of the current line.
	inHead bool
	// refused is the error of all further reads, nil if there is none: net/http ignores the first one in places.
	refused           error
	fields, lineBytes int
	// opaque is set if the bytes are those of TLS.
	opaque bool
	// headRead is set from the call of the handler until the server waits for the next request: the bytes belong to no head, also if the
	// head was read together with the end of the previous request.
	headRead atomic.Bool
	// acked is the number of bytes that the client's system had acknowledged when it was last asked. The guard's lock guards it.
	acked uint64
	// nextHead is set when the server waits for the next request.
	nextHead atomic.Bool
}

// Read implements net.Conn. It counts the lines and bytes of heads before net/http parses them.
func (c *conn) Read(b []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.evicted.Load() {
		c.refused = errClosed
		return 0, errClosed
	}
	if c.nextHead.Swap(false) {
		c.inHead, c.fields, c.lineBytes = true, 0, 0
	}
	head := 0
	switch {
	case c.headRead.Load():
	case c.opaque:
		head = n
	case c.inHead:
		head = c.scanHead(b[:n])
	}
	// The first line is that of the request.
	if c.fields > c.guard.limits.Fields+1 {
		c.guard.enforce(Fields)
		c.refused = errFields
		return 0, errFields
	}
	g := c.guard
	g.mu.Lock()
	now := g.now()
	if g.conns[c.account] == nil && !c.evicted.Load() {
		// The request arrived while the connection was being closed as an idle one.
		g.account.Reopen(now, c.account)
		g.conns[c.account] = c
	}
	if c.account.IsIdle() {
		g.account.SetPhase(now, c.account, callerlimits.Receiving)
	}
	g.account.Moved(now, c.account, n)
	closeFirst, ok := g.account.Head(now, c.account, int64(head))
	victims := g.take(closeFirst)
	g.mu.Unlock()
	g.closeVictims(victims, HeadMemory, !ok)
	if !ok {
		c.refused = errClosed
		return 0, errClosed
	}
	return n, err
}

// closeVictims closes connections in favour of another one, and counts the bound if it was reached.
func (g *Guard) closeVictims(victims []*conn, b Bound, refused bool) {
	for _, v := range victims {
		g.enforce(b)
		v.evict(false)
	}
	if refused {
		g.enforce(b)
	}
}

// scanHead returns the number of bytes that belong to the head, and counts its lines. Bytes of a further request that came
// together with the end of a body are not counted; net/http's buffer bounds them to 4 KiB.
func (c *conn) scanHead(b []byte) int {
	for i, x := range b {
		switch x {
		case '\n':
			if c.lineBytes == 0 && c.fields > 0 {
				c.inHead = false
				return i + 1
			}
			c.fields++
			c.lineBytes = 0
		case '\r':
		default:
			c.lineBytes++
		}
	}
	return len(b)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+writeChunk, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.moved(n)
	}
}

func (c *conn) setWriting(writing bool) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.SetWriting(g.now(), c.account, writing)
}

// moved counts the bytes that the client has received, which are those that its system has acknowledged. If that is not known, n bytes
// count.
func (c *conn) moved(n int) {
	acked, known := ackedBytes(c.Conn)
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if known {
		n, c.acked = int(acked-min(acked, c.acked)), max(acked, c.acked)
	}
	g.account.Moved(g.now(), c.account, n)
}

// ackedBytes returns the number of bytes of a TCP connection that the other end has acknowledged.
func ackedBytes(nc net.Conn) (n uint64, known bool) {
	raw, err := socketOf(nc)
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if known = infoErr == nil; known {
			n = info.Bytes_acked
		}
	})
	return n, known && err == nil
}

func (c *conn) setPhase(p callerlimits.Phase) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.SetPhase(g.now(), c.account, p)
}

// finish releases what the request held. The rest of its body may still be read.
func (c *conn) finish() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Release(c.account)
	g.account.SetPhase(g.now(), c.account, callerlimits.Receiving)
}

func (c *conn) waitForRequest() {
	c.headRead.Store(false)
	c.nextHead.Store(true)
	c.setPhase(callerlimits.Idle)
}

// evict closes the connection in favour of others. An idle one is closed by a deadline: package keepalive then makes sure that
// no request has arrived.
func (c *conn) evict(idle bool) {
	if idle {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(aLongTimeAgo)
		return
	}
	c.evicted.Store(true)
	// The client sees the end of the connection.
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.guard
	g.mu.Lock()
	g.account.Close(c.account)
	delete(g.conns, c.account)
	g.mu.Unlock()
	select {
	case g.freed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return syscall.ENOTSUP
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return socketOf(c.Conn) }
