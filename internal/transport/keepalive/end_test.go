package keepalive

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndOf guards against a log that blames callers for connections that this process has closed.
func TestEndOf(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(client net.Conn, server *http.Server) error
		want End
	}{
		{"the client closes the connection", func(client net.Conn, _ *http.Server) error { return client.Close() }, CallerClosed},
		{"the client resets it", func(client net.Conn, _ *http.Server) error {
			return errors.Join(client.(*net.TCPConn).SetLinger(0), client.Close())
		}, CallerClosed},
		{"the server is closed", func(_ net.Conn, server *http.Server) error { return server.Close() }, ClosedHere},
	} {
		Convey(c.name, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			connections := New(func() time.Duration { return 0 })
			serving, ends := make(chan End), make(chan End)
			server := &http.Server{ConnState: connections.ConnState, ConnContext: connections.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				serving <- EndOf(r.Context())
				<-r.Context().Done()
				ends <- EndOf(r.Context())
			})}
			go func() {
				// It ends with the test.
				_ = server.Serve(connections.Listener(l))
			}()
			defer server.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer client.Close()
			_, err = client.Write([]byte(request))
			So(err, ShouldBeNil)
			So(<-serving, ShouldEqual, Open)
			So(c.end(client, server), ShouldBeNil)
			So(<-ends, ShouldEqual, c.want)
		})
	}
}
