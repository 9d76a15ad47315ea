package network

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// earlyServer answers each request after its first byte, without a length, and resets the connection.
func earlyServer(t *testing.T, pause time.Duration) (url string) {
	t.Helper()
	l, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// The client closes the connection too, so that errors do not matter.
				_, _ = io.ReadFull(c, make([]byte, 1))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of it")
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestAnswerToCutUpload guards against a part of an answer without a length that a client of net/http takes for whole, because
// the write of the request took the error of the connection. Only some answers to many requests show it.
func TestAnswerToCutUpload(t *testing.T) {
	const requests = 600
	upload := bytes.Repeat([]byte("b"), 3<<20)
	for _, pause := range []time.Duration{0, time.Millisecond} {
		url := earlyServer(t, pause)
		client := &http.Client{Transport: HTTPTransport(TCP{})}
		whole := 0
		for range requests {
			resp, err := client.Post(url, "text/plain", bytes.NewReader(upload))
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				whole++
			}
			if err := resp.Body.Close(); err != nil {
				t.Fatal(err)
			}
		}
		Convey("an answer that was cut is not whole", t, func() { So(whole, ShouldEqual, 0) })
	}
}

// endedConn is a connection whose reads have reached the end, and whose write ends with an error some time later.
type endedConn struct {
	net.Conn
	started chan struct{}
	fail    chan struct{}
}

var errReset = errors.New("connection reset")

func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c endedConn) Write([]byte) (int, error) {
	close(c.started)
	<-c.fail
	return 0, errReset
}

// TestEndDuringWrite guards against an end of a connection that counts as proper while a write, which will get the connection's
// error, still runs.
func TestEndDuringWrite(t *testing.T) {
	ended := endedConn{started: make(chan struct{}), fail: make(chan struct{})}
	transport := HTTPTransportOver(func(context.Context, string) (net.Conn, error) { return ended, nil }, nil)
	c, err := transport.DialContext(t.Context(), "tcp", "x")
	if err != nil {
		t.Fatal(err)
	}
	_, before := c.Read(nil)
	go func() { _, _ = c.Write(nil) }()
	<-ended.started
	time.AfterFunc(10*time.Millisecond, func() { close(ended.fail) })
	_, during := c.Read(nil)
	_, after := c.Read(nil)
	Convey("the read gets the error of the write", t, func() {
		So(before, ShouldEqual, io.EOF)
		So(during, ShouldEqual, errReset)
		So(after, ShouldEqual, errReset)
	})
}
