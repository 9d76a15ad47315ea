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
	"github.com/turmericworks/turmericworks/internal/standin/stack"
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

// testGrace is the grace period of the tests of its end.
const testGrace = 8 * time.Second

// shortGrace is a prepare function that sets the grace period to testGrace.
func shortGrace(d *Daemon) { d.settings.Limits.DrainSeconds = int(testGrace / time.Second) }

// stopAndExit stops the first instance after the requests were sent, ends its connections when it has exited, and returns
// the replies.
func (f *testFleet) stopAndExit(raw ...string) []reply {
	replies := make([]chan reply, len(raw))
	for i, request := range raw {
		c, r := f.dialCaller(request)
		defer func() { _ = c.Close() }()
		replies[i] = make(chan reply, 1)
		go func() { replies[i] <- readReply(r) }()
	}
	time.Sleep(500 * time.Millisecond)
	start := time.Now()
	f.instance(0).drainAndWait()
	So(time.Since(start), ShouldBeLessThanOrEqualTo, testGrace)
	f.net.Kill(f.instance(0).name)
	out := make([]reply, len(raw))
	for i := range raw {
		out[i] = <-replies[i]
	}
	return out
}

// TestStopEndsUnansweredRequests guards against a planned stop at whose end a request is cut off that could be refused, or
// told that it may have run.
func TestStopEndsUnansweredRequests(t *testing.T) {
	slowService := func(o *stack.Options) { o.ServiceDelay = 30 * time.Second }
	const long = `{"model":"summary","prompt":"x","max_tokens":2000}`
	cases := []struct {
		name, raw string
		status    int
		verdict   string
	}{
		{"body that has not arrived whole", strings.TrimSuffix(completion(shortCompletion), "}"), http.StatusServiceUnavailable, "not-run"},
		{"completion without an answer", completion(long), http.StatusBadGateway, "may-have-run"},
		{"call of a service", post("/services/status/x", "", "x"), http.StatusBadGateway, "may-have-run"},
		{"call that may not be repeated", post("/services/lots/log", "Idempotency-Key: NEWKEY\r\n", "lot"), http.StatusBadGateway, "may-have-run"},
	}
	runPreparedFleet(t, 1, slowService, shortGrace, func(f *testFleet) {
		Convey("All get a complete answer", t, func() {
			var raw []string
			for _, c := range cases {
				raw = append(raw, strings.ReplaceAll(c.raw, "NEWKEY", newIdempotencyKey()))
			}
			for i, r := range f.stopAndExit(raw...) {
				c := cases[i]
				So(fmt.Sprintf("%s: %d %s %s", c.name, r.status, r.verdict, r.body), ShouldStartWith, fmt.Sprintf("%s: %d %s ", c.name, c.status, c.verdict))
			}
		})
	})
}

// TestStopRefusesWaitingRequests guards against a planned stop that cuts off a request which waits for an engine, or says
// that it may have run.
func TestStopRefusesWaitingRequests(t *testing.T) {
	runPreparedFleet(t, 1, nil, shortGrace, func(f *testFleet) {
		Convey("The request is refused as not run", t, func() {
			f.net.Partition(func(_, to string) bool { return strings.HasPrefix(to, "engine") })
			time.Sleep(testSettleTime)
			r := f.stopAndExit(completion(shortCompletion), completion(strings.Replace(shortCompletion, "}", `,"stream":true}`, 1)))
			f.net.Partition(nil)
			time.Sleep(2 * time.Second) // until the dials have failed
			for _, r := range r {
				So(fmt.Sprint(r.status, " ", r.verdict, " ", r.body), ShouldStartWith, "503 not-run ")
				So(r.body, ShouldContainSubstring, `"draining"`)
				So(r.retryAfter, ShouldEqual, "1")
			}
		})
	})
}

// TestStopDuringStream guards against a stream that is cut off by a planned stop and looks complete.
func TestStopDuringStream(t *testing.T) {
	runPreparedFleet(t, 1, nil, shortGrace, func(f *testFleet) {
		Convey("The stream ends with an error and without its end marker", t, func() {
			r := f.stopAndExit(completion(`{"model":"summary","prompt":"x","max_tokens":2000,"stream":true}`))[0]
			So(r.status, ShouldEqual, http.StatusOK)
			So(r.body, ShouldNotContainSubstring, "[DONE]")
			So(r.body, ShouldContainSubstring, `"may-have-run"`)
		})
	})
}

// TestRequestLateInGrace guards against a request that is taken late in the grace period although it may last beyond the
// exit: its header came before the instance refused requests, and its body much later.
func TestRequestLateInGrace(t *testing.T) {
	runPreparedFleet(t, 1, nil, shortGrace, func(f *testFleet) {
		Convey("It is refused at once and reaches no engine", t, func() {
			request := completion(`{"model":"summary","prompt":"x","max_tokens":2000}`)
			c, r := f.dialCaller(request[:len(request)-1])
			defer func() { _ = c.Close() }()
			time.Sleep(100 * time.Millisecond)
			close(f.instance(0).drain)
			time.Sleep(testGrace * 6 / 10)
			f.mu.Lock()
			before := len(f.headers)
			f.mu.Unlock()
			start := time.Now()
			f.writeRaw(c, request[len(request)-1:])
			late := readReply(r)
			So(fmt.Sprint(late.status, " ", late.verdict, " ", late.body), ShouldStartWith, "503 not-run ")
			So(time.Since(start), ShouldBeLessThan, 100*time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, h := range f.headers[before:] {
				So(h.Get("X-Request-Id"), ShouldEqual, "")
			}
		})
	})
}

// TestStopBeforeDispatch guards against a call that may not be repeated, that waits for its record in the log at the end of a
// planned stop, and that is said to have run, perhaps.
func TestStopBeforeDispatch(t *testing.T) {
	const grace = 4 * time.Second
	prepare := func(d *Daemon) { d.settings.Limits.DrainSeconds = int(grace / time.Second) }
	runPreparedFleet(t, 3, nil, prepare, func(f *testFleet) {
		// The other instances keep the lease valid without the log.
		Convey("The call is refused as not run, and does not run", t, func() {
			start := time.Now()
			close(f.instance(0).drain)
			time.Sleep(1500 * time.Millisecond)
			c, r := f.dialCaller(post("/services/lots/log", "Idempotency-Key: "+newIdempotencyKey()+"\r\n", "lot"))
			defer func() { _ = c.Close() }()
			time.Sleep(time.Millisecond) // less than records wait for others in their batch
			f.stack.Log.SetDown(true)
			answer := readReply(r)
			answered := time.Since(start)
			<-f.instance(0).done
			So(answered, ShouldBeGreaterThan, 2*time.Second)
			So(answered, ShouldBeLessThan, grace)
			So(fmt.Sprint(answer.status, " ", answer.verdict, " ", answer.body), ShouldStartWith, "503 not-run ")
			So(f.stack.Service.Entries(), ShouldBeEmpty)
		})
	})
}
