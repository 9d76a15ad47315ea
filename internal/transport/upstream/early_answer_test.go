package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// TestAnswerToCutUpload guards against a part of an answer without a length that is taken for whole, because the write of the
// request took the error of the connection, so that the read of the answer only got its end. Whether that happens depends on which
// of them comes first, so that each case has many requests.
func TestAnswerToCutUpload(t *testing.T) {
	const requests = 100
	upload := bytes.Repeat([]byte("b"), 3<<20)
	early := func(answer string, end func(*net.TCPConn)) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			readBytes(c, 1)
			_, _ = io.WriteString(c, answer)
			end(c)
		}
	}
	const endless, framed = "HTTP/1.1 200 OK\r\n\r\npart of it", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nall of it."
	closed := func(c *net.TCPConn) { _ = c.Close() }
	lingering := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	for _, c := range []struct {
		name  string
		serve func(*net.TCPConn)
		whole bool
	}{
		{"reset", early(endless, reset), false},
		{"closed with bytes unread", early(endless, closed), false},
		{"closed after the whole request", early(endless, lingering), true},
		{"length, closed after the whole request", early(framed, lingering), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := tcpWorker(t, c.serve)
			p := NewPool(network.TCP{})
			whole := 0
			for range requests {
				resp, err := p.Send(t.Context(), w, Request{Method: http.MethodPost, URI: "/x", Host: "w", Header: http.Header{}, Body: upload}, anyResponse,
					Options{Deadline: time.Now().Add(5 * time.Second)})
				if err != nil {
					continue
				}
				if _, err := resp.ReadAll(1<<20, bytebudget.New(1<<20).NewUsage(0)); err == nil {
					whole++
				}
				resp.Close()
			}
			Convey(fmt.Sprintf("%s: an answer that was cut is not whole", c.name), t, func() {
				want := 0
				if c.whole {
					want = requests
				}
				So(whole, ShouldEqual, want)
			})
		})
	}
}
