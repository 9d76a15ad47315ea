package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// shortCompletion is the body of a completion that ends within a second.
const shortCompletion = `{"model":"summary","prompt":"x","max_tokens":2}`

// writeRaw writes raw bytes to a connection of a caller, with the key in place of KEY.
func (f *testFleet) writeRaw(c net.Conn, raw string) {
	go func() { _, _ = io.WriteString(c, strings.ReplaceAll(raw, "KEY", f.secret)) }()
}

// stopDuringHeader sends the first part of a request, on a connection that has served one if used is set, then stops the
// instance, sends the rest some time later and returns the reply.
func (f *testFleet) stopDuringHeader(used bool, later time.Duration) reply {
	request := completion(shortCompletion)
	part := len("POST /v1/comple")
	var c net.Conn
	var r *bufio.Reader
	if used {
		c, r = f.dialCaller(request)
		So(readReply(r).status, ShouldEqual, http.StatusOK)
		f.writeRaw(c, request[:part])
	} else {
		c, r = f.dialCaller(request[:part])
	}
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond)
	close(f.instance(0).drain)
	time.Sleep(later)
	f.writeRaw(c, request[part:])
	return readReply(r)
}

// TestStopDuringHeader guards against a planned stop that closes a connection on which a request has begun to arrive.
func TestStopDuringHeader(t *testing.T) {
	cases := []struct {
		used   bool
		later  time.Duration
		status int
	}{
		{used: true, later: balancerDelay / 2, status: http.StatusOK},
		{used: false, later: balancerDelay / 2, status: http.StatusOK},
		{used: true, later: balancerDelay + time.Second, status: http.StatusServiceUnavailable},
		{used: false, later: balancerDelay + time.Second, status: http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("used=%t,later=%v", c.used, c.later), func(t *testing.T) {
			runFleet(t, 1, nil, func(f *testFleet) {
				Convey("The request is answered", t, func() {
					r := f.stopDuringHeader(c.used, c.later)
					So(fmt.Sprint(r.status, " ", r.body), ShouldStartWith, fmt.Sprint(c.status))
					if c.status != http.StatusOK {
						So(r.verdict, ShouldEqual, "not-run")
					}
					<-f.instance(0).done
				})
			})
		})
	}
}

// TestStopAnnouncesClose guards against a caller that reuses its connection to a stopping instance because the answer
// to a request from before the stop did not ask it to close the connection.
func TestStopAnnouncesClose(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Answers that begin after the stop have Connection: close", t, func() {
			before, beforeReader := f.dialCaller(completion(`{"model":"summary","prompt":"x","max_tokens":100}`))
			defer func() { _ = before.Close() }()
			ready, readyReader := f.dialCaller("")
			defer func() { _ = ready.Close() }()
			time.Sleep(100 * time.Millisecond)
			close(f.instance(0).drain)
			time.Sleep(100 * time.Millisecond)
			f.writeRaw(ready, "GET /readyz"+commonHead+"\r\n")
			for r, status := range map[*bufio.Reader]int{beforeReader: http.StatusOK, readyReader: http.StatusServiceUnavailable} {
				resp, err := http.ReadResponse(r, nil)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, status)
				So(resp.Close, ShouldBeTrue)
				So(resp.Body.Close(), ShouldBeNil)
			}
			<-f.instance(0).done
		})
	})
}
