package keepalive

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptTimeout bounds the call that accepts a connection which waits in the socket's queue.
	acceptTimeout = 100 * time.Millisecond
	// stopTimeout bounds Stop, for a server that accepts no more connections.
	stopTimeout = time.Second
)

// Listener accepts connections that are tracked until they are closed. One goroutine may call Accept, that of the server;
// the other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	connections *Connections

	stopping atomic.Bool
	// ended is closed once Accept returns no further connection.
	ended   chan struct{}
	endOnce sync.Once

	closeOnce sync.Once
	closeErr  error
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.stopping.Load() && !l.prepareAccept() {
			err := l.Close()
			l.end()
			return nil, errors.Join(net.ErrClosed, err)
		}
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.connections.add(nc), nil
		}
		if errors.Is(err, net.ErrClosed) {
			l.end()
		}
		if !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// Stop lets the server accept the connections that clients have established, closes the listener and returns once no
// further connection will be tracked. It returns an error if that takes longer than stopTimeout or until ctx ends; the
// listener is then closed nevertheless. Handshakes that have not ended when the queue of connections is empty are reset.
func (l *Listener) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	l.stopping.Store(true)
	// A listener without deadlines has no queue.
	d, ok := l.Listener.(deadliner)
	if !ok || d.SetDeadline(aLongTimeAgo) != nil {
		if err := l.Close(); err != nil {
			return err
		}
	}
	select {
	case <-l.ended:
		return l.Close()
	case <-ctx.Done():
		return errors.Join(ctx.Err(), l.Close())
	}
}

// Close closes the listener at once, and with it the connections that were not accepted. Further calls have no effect.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

func (l *Listener) end() { l.endOnce.Do(func() { close(l.ended) }) }

type deadliner interface {
	SetDeadline(time.Time) error
}

// prepareAccept reports whether a connection waits in the socket's queue, and permits one call of Accept to take it.
func (l *Listener) prepareAccept() bool {
	d, ok := l.Listener.(deadliner)
	return ok && connectionWaiting(l.Listener) && d.SetDeadline(time.Now().Add(acceptTimeout)) == nil
}

// connectionWaiting reports whether a connection waits in the queue of a listening socket. It reports false for listeners
// without a socket.
func connectionWaiting(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
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
			var perr error
			if n, perr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0); !errors.Is(perr, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && n > 0
}
