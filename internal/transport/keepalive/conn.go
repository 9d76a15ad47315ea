package keepalive

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resumeTimeout bounds the read of bytes that were found on a connection at the end of its idle time.
const resumeTimeout = 10 * time.Second

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// conn is a connection of a client.
type conn struct {
	net.Conn
	// closed is called once, when the connection has been closed.
	closed    func(CloseInfo)
	closeOnce sync.Once

	mu sync.Mutex
	// idle is set while no byte of a request has arrived since the connection was opened or its last response ended, and
	// since is when that was.
	idle  bool
	since time.Duration
	// used is set once a byte has arrived on the connection.
	used bool
	// expired is set if the connection is to be closed unless bytes have arrived, and cause is why.
	expired bool
	cause   Cause
	// deadline is the read deadline that net/http has set last. It counts once the connection is not expired.
	deadline time.Time
	// readSize is the size of the first read, 0 before it: that of net/http's empty buffer.
	readSize int
	// end is who ended the connection, as the first read or write that failed or the close has shown.
	end End
	// awaited is set once net/http has set the deadline for the first bytes of the next request.
	awaited bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.beginRead(len(b))
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.begin()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordEnd(endOf(err))
			return n, err
		}
		if !c.resume() {
			c.timeOut()
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.recordEnd(endOf(err))
	}
	return n, err
}

// recordEnd records who ended the connection, unless that is known.
func (c *conn) recordEnd(e End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == Open {
		c.end = e
	}
}

// beginRead records a read of at most size bytes. net/http reads into the free part of its buffer while it waits for a
// request: a smaller read than the first one means that the buffer holds bytes of that request, which arrived while the
// previous one was read or served.
func (c *conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readSize == 0 {
		c.readSize = size
	}
	if c.idle && size < c.readSize {
		c.beginLocked()
	}
}

// SetReadDeadline implements net.Conn. net/http sets a deadline before it waits for a request, and the next one when it
// has the first bytes of that request, which it may have read together with the previous one.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.idle && c.awaited {
		c.idle, c.expired = false, false
	}
	c.awaited = c.idle
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		d := c.describeClose()
		c.recordEnd(ClosedHere)
		err = c.Conn.Close()
		c.closed(d)
	})
	return err
}

// describeClose returns why the connection is being closed.
func (c *conn) describeClose() CloseInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := CloseInfo{Cause: AfterRequest, Unread: bytesWaiting(c.Conn)}
	switch {
	case c.expired:
		d.Cause = c.cause
	case c.idle:
		d.Cause = ByCaller
	}
	return d
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose client may still send.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// waitForRequest records that no request is being read or served.
func (c *conn) waitForRequest(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since, c.awaited = true, now, false
}

// begin records that a request is being read or served.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked()
}

// beginLocked implements begin. The lock is held.
func (c *conn) beginLocked() {
	c.used, c.idle = true, false
	if c.expired {
		c.expired = false
		// An error means that the connection is closed, which the next read reports.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// expire ends the read of the next request, and so the connection, if it has been idle for at least the limit, or for
// newLimit since it was opened. It reports whether it was idle and not yet expired.
func (c *conn) expire(now, limit, newLimit time.Duration, cause Cause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		limit = newLimit
	}
	if !c.idle || c.expired || now-c.since < limit {
		return false
	}
	c.expired, c.cause = true, cause
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	return true
}

// resume reports whether a read that has reached its deadline must continue: at the end of an idle time, if bytes have
// arrived that the read has not returned.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || !bytesWaiting(c.Conn) {
		return false
	}
	c.used, c.idle, c.expired = true, false, false
	deadline := c.deadline
	if limit := time.Now().Add(resumeTimeout); !deadline.IsZero() && deadline.Before(limit) {
		deadline = limit
	}
	return c.Conn.SetReadDeadline(deadline) == nil
}

// timeOut records that a deadline has ended the wait for a request: that of the server, unless the connection has expired.
func (c *conn) timeOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.expired {
		c.expired, c.cause = true, IdleLimit
	}
}

// bytesWaiting reports whether bytes have arrived on a connection and were not read. The deadline of the connection does
// not matter. It reports false for connections without a socket.
func bytesWaiting(nc net.Conn) bool {
	return askSocket(nc, func(fd int) (int, error) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
}

// askSocket reports whether a system call on the socket of a connection or listener returns a positive number. It reports false
// if there is no socket.
func askSocket(s any, call func(fd int) (int, error)) bool {
	sc, ok := s.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		for {
			var callErr error
			if n, callErr = call(int(fd)); !errors.Is(callErr, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && n > 0
}
