package scene

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// SlowReader is a client that takes its answers slowly: Chunk bytes, then Pause, and so on.
type SlowReader struct {
	// Buffer is the size of its receive buffer, as it asks the system for it.
	Buffer, Chunk int
	Pause         time.Duration
}

// Connect opens a connection to an instance.
func (s SlowReader) Connect(g *Gateway) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.Buffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return d.Dial("tcp", g.Callers)
}

// Send sends a request on a connection and reads the answer slowly. It returns the length of the body that arrived.
func (s SlowReader) Send(c net.Conn, r Request, attempt string) (Answer, int) {
	a := Answer{Attempt: attempt}
	start := time.Now()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Method, r.Path, r.Host, attempt, r.Deadline.Milliseconds(), r.Key, len(r.Body), r.Body)
	if err != nil {
		a.Err = err
		return a, 0
	}
	if err = c.SetReadDeadline(start.Add(r.Deadline)); err != nil {
		a.Err = err
		return a, 0
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(s.reader(c), s.Chunk), nil)
	if err != nil {
		a.Err, a.Took = err, time.Since(start)
		return a, 0
	}
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	body, err := io.ReadAll(resp.Body)
	a.Err, a.Took = err, time.Since(start)
	return a, len(body)
}

func (s SlowReader) reader(c net.Conn) io.Reader { return &slowConn{c, s, s.Chunk} }

type slowConn struct {
	net.Conn
	SlowReader
	// left is how much is read before the next pause.
	left int
}

// Read implements io.Reader.
func (c *slowConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		time.Sleep(c.SlowReader.Pause)
		c.left = c.Chunk
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}
