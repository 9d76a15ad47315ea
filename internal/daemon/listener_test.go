package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/standin/authority"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/tlsconf"
)

// heldNetwork is the TCP network. Reads of accepted connections that begin while hold is set wait, like those of a
// goroutine that does not run, until release is closed.
type heldNetwork struct {
	network.TCP
	hold atomic.Bool
	// reading is the number of reads in progress.
	reading atomic.Int32
	waiting chan struct{}
	release chan struct{}
	address string
}

type heldListener struct {
	net.Listener
	network *heldNetwork
}

type heldConn struct {
	*net.TCPConn
	network *heldNetwork
}

func (n *heldNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.TCP.Listen(address)
	if err != nil {
		return nil, err
	}
	n.address = l.Addr().String()
	return &heldListener{l, n}, nil
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c.(*net.TCPConn), l.network}, nil
}

func (c *heldConn) Read(b []byte) (int, error) {
	if c.network.hold.CompareAndSwap(true, false) {
		close(c.network.waiting)
		<-c.network.release
	}
	c.network.reading.Add(1)
	defer c.network.reading.Add(-1)
	return c.TCPConn.Read(b)
}

// holdNextRead holds the read that follows the one in which net/http notices the end of the connection during a request.
func (n *heldNetwork) holdNextRead() {
	for n.reading.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	n.hold.Store(true)
}

// TestStopWithUnreadRequest guards against a planned stop that closes a connection on which a request lies unread in the
// socket, below the limit on connections and TLS.
func TestStopWithUnreadRequest(t *testing.T) {
	ca, err := authority.New(t.TempDir(), "test")
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile, err := ca.Issue("server", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	for name, pair := range map[string]KeyPair{"plain text": {}, "TLS": {CertFile: certFile, KeyFile: keyFile}} {
		t.Run(name, func(t *testing.T) {
			Convey("The request is served", t, func() {
				n := &heldNetwork{waiting: make(chan struct{}), release: make(chan struct{})}
				s := DefaultSettings()
				s.Limits.DrainSeconds = 4
				d, err := New(Options{Settings: s, Network: n, Log: zerolog.Nop(), Incarnation: "a"})
				So(err, ShouldBeNil)
				conf, err := serverConfig(pair)
				So(err, ShouldBeNil)
				service, err := d.listen("127.0.0.1:0", conf, 4, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/first" {
						n.holdNextRead()
					}
				}))
				So(err, ShouldBeNil)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				served := make(chan error, 1)
				go func() { served <- service.Serve(ctx) }()

				c, err := net.Dial("tcp", n.address)
				So(err, ShouldBeNil)
				defer func() { _ = c.Close() }()
				So(c.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
				if conf != nil {
					pool, err := tlsconf.LoadCAPool(ca.CAFile())
					So(err, ShouldBeNil)
					clientConf, err := pool.ClientConfig()
					So(err, ShouldBeNil)
					clientConf.ServerName = "127.0.0.1"
					c = tls.Client(c, clientConf)
				}
				So(statusOf(c, "/first"), ShouldEqual, http.StatusOK)
				<-n.waiting
				_, err = io.WriteString(c, "GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
				So(err, ShouldBeNil)
				drained := make(chan struct{})
				go func() {
					defer close(drained)
					d.drain(ctx)
				}()
				time.Sleep(balancerDelay + 300*time.Millisecond)
				close(n.release)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
				So(resp.Body.Close(), ShouldBeNil)
				stop()
				<-drained
				<-served
			})
		})
	}
}

// statusOf sends a request on a connection and returns the status of the response, or 0.
func statusOf(c net.Conn, path string) int {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}
