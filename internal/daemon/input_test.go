package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

// dialCaller opens a connection to the first instance and writes raw bytes to it. KEY in them stands for the
// caller's key.
func (f *testFleet) dialCaller(raw string) (net.Conn, *bufio.Reader) {
	c, err := f.net.Host("caller").Dial(context.Background(), f.instance(0).address)
	if err != nil {
		f.t.Fatal(err)
	}
	// Without a deadline, a failure could make the test hang.
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Minute))
	// An in-memory connection has no buffer, and the instance may answer before it has read everything.
	go func() { _, _ = io.WriteString(c, strings.ReplaceAll(raw, "KEY", f.secret)) }()
	return c, bufio.NewReader(c)
}

// sendRaw sends raw bytes to the first instance and returns its response.
func (f *testFleet) sendRaw(raw string) reply {
	c, r := f.dialCaller(raw)
	defer func() { _ = c.Close() }()
	return readReply(r)
}

// readReply reads one response. On an error, the reply has status 0 and the error as its body.
func readReply(r *bufio.Reader) reply {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return reply{body: err.Error()}
	}
	data, _ := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, verdict: resp.Header.Get("Turmeric-Verdict"), body: string(data),
		retryAfter: resp.Header.Get("Retry-After"),
	}
}

// commonHead is the part of a request's head after the path: the end of the request line and the headers that every
// request needs.
const commonHead = " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEY\r\n"

// post returns a POST request in wire format.
func post(path, header, body string) string {
	return fmt.Sprintf("POST %s"+commonHead+"%sContent-Length: %d\r\n\r\n%s", path, header, len(body), body)
}

// completion returns a completion request in wire format.
func completion(body string) string { return post("/v1/completions", "", body) }

// TestBadInputIsRefused guards against bad input that is answered with the wrong status or verdict, hangs, or
// reaches a backend server.
func TestBadInputIsRefused(t *testing.T) {
	const prompt = `"model":"summary","prompt":"x"`
	cases := []struct {
		name, raw string
		status    int
		code      string
	}{
		{"Content-Length too large", "POST /v1/completions" + commonHead + "Content-Length: 5000000\r\n\r\n", 413, "body_too_large"},
		{"chunked body too large", "POST /v1/completions" + commonHead + "Transfer-Encoding: chunked\r\n\r\n500000\r\n" + strings.Repeat("x", 5<<20), 413, "body_too_large"},
		{"malformed chunk size", "POST /v1/completions" + commonHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "body_unreadable"},
		{"not JSON", completion("model=summary"), 400, "invalid_body"},
		{"truncated JSON", completion(`{"model":"summ`), 400, "invalid_body"},
		{"null", completion("null"), 400, "invalid_body"},
		{"deeply nested JSON", completion("{" + prompt + `,"a":` + strings.Repeat("[", 3000) + strings.Repeat("]", 3000) + "}"), 400, "invalid_body"},
		{"data after the JSON", completion("{" + prompt + "} {}"), 400, "invalid_body"},
		{"model is a number", completion(`{"model":1,"prompt":"x"}`), 400, "invalid_body"},
		{"max_tokens is a string", completion("{" + prompt + `,"max_tokens":"4"}`), 400, "invalid_body"},
		{"max_tokens is negative", completion("{" + prompt + `,"max_tokens":-4}`), 400, "invalid_body"},
		{"max_tokens times n overflows", completion("{" + prompt + `,"max_tokens":9000000000000000000,"n":9}`), 400, "invalid_body"},
		{"prompt is an object", completion(`{"model":"summary","prompt":{}}`), 400, "invalid_body"},
		{"two Authorization headers", post("/v1/completions", "Authorization: Bearer other\r\n", "{}"), 400, "duplicate_authorization"},
		{"two idempotency keys", post("/services/lots/log", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "lot"), 400, "duplicate_idempotency_key"},
		{"two Content-Length headers", post("/services/lots/log", "Content-Length: 2\r\n", "lot"), 400, ""},
		{"unknown transfer encoding", post("/services/lots/log", "Transfer-Encoding: gzip\r\n", "lot"), 501, ""},
		{"header too large", "GET /v1/models" + commonHead + "A: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431, ""},
		{"dot segments", "GET /services/status/../lots/log" + commonHead + "\r\n", 400, "bad_path"},
		{"escaped dot segments", "GET /services/status/%2e%2e/%2E/x" + commonHead + "\r\n", 400, "bad_path"},
		{"escaped slash", "GET /services/status/a%2fb" + commonHead + "\r\n", 400, "bad_path"},
		{"backslash", "GET /services/status/a%5cb" + commonHead + "\r\n", 400, "bad_path"},
		{"NUL", "GET /services/status/a%00b" + commonHead + "\r\n", 400, "bad_path"},
		{"empty segment", "GET /services/status//backend.example/x" + commonHead + "\r\n", 400, "bad_path"},
		{"CONNECT to another address", "CONNECT backend.example:443" + commonHead + "\r\n", 400, "bad_path"},
		{"request target *", "OPTIONS *" + commonHead + "\r\n", 400, "bad_path"},
		{"absolute URL of an unknown path", "GET http://backend.example/x" + commonHead + "\r\n", 404, "not_found"},
		{"key in the query string", "GET /services/status/a?k=%74" + "KEYREST" + commonHead + "\r\n", 400, "key_in_request"},
		{"unknown path", "GET /v2/models" + commonHead + "\r\n", 404, "not_found"},
		{"wrong method", "GET /v1/completions" + commonHead + "\r\n", 405, "method_not_allowed"},
		{"unknown method", "BREW /services/status/a" + commonHead + "\r\n", 405, "method_not_allowed"},
	}
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Every bad request is refused with not-run", t, func() {
			before := len(f.stack.Service.Headers())
			for _, c := range cases {
				// In the case with KEYREST, the first letter of the key is percent-encoded.
				r := f.sendRaw(strings.ReplaceAll(c.raw, "%74KEYREST", "%74"+f.secret[1:]))
				So(fmt.Sprint(c.name, " ", r.status), ShouldEqual, fmt.Sprint(c.name, " ", c.status))
				if c.code != "" {
					So(r.verdict, ShouldEqual, "not-run")
					So(r.body, ShouldContainSubstring, `"code":"`+c.code+`"`)
				}
			}
			So(len(f.stack.Service.Headers()), ShouldEqual, before)
			So(f.instance(0).entry.InFlight(), ShouldEqual, 0)
		})
	})
}

// TestServiceGetsPathAndTraceContext guards against a path whose meaning changes on the way to a plain service,
// and against an invalid trace context that is passed on.
func TestServiceGetsPathAndTraceContext(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("The path keeps its meaning, and only a valid trace context is continued", t, func() {
			r := f.sendRaw("GET /services/status/a%3Fb%23c%2525/?q=1" + commonHead + "\r\n")
			So(r.status, ShouldEqual, http.StatusOK)
			So(r.body, ShouldContainSubstring, `"path":"/a?b#c%25/"`)
			const valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
			for _, sent := range []string{valid, strings.ToUpper(valid), "00-1", valid + "\r\nTraceparent: " + valid} {
				So(f.sendRaw("GET /services/status/a"+commonHead+"Traceparent: "+sent+"\r\n\r\n").status, ShouldEqual, http.StatusOK)
				headers := f.stack.Service.Headers()
				passed := headers[len(headers)-1].Get("Traceparent")
				if sent != valid {
					So(passed, ShouldEqual, "")
					continue
				}
				child, err := event.ParseTraceParent(passed)
				So(err, ShouldBeNil)
				parent, _ := event.ParseTraceParent(valid)
				So(child.TraceID, ShouldResemble, parent.TraceID)
				So(child.ParentID, ShouldNotResemble, parent.ParentID)
			}
		})
	})
}

// TestSlowCallers guards against callers that occupy connections or engines by sending slowly, not reading, or
// disconnecting.
func TestSlowCallers(t *testing.T) {
	const long = `{"model":"summary","prompt":"x","max_tokens":2000,"stream":true}`
	runningOnEngines := func(f *testFleet) (n int) {
		for _, e := range f.stack.Engines {
			n += e.Running()
		}
		return n
	}
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("The connection or the request of each slow caller ends within its time limit", t, func() {
			start := time.Now()
			c, r := f.dialCaller("GET /v1/models HTTP/1.1\r\nHost: a\r\nA: ")
			_, err := r.ReadByte()
			So(err, ShouldEqual, io.EOF)
			So(time.Since(start), ShouldEqual, headerTimeout)
			_ = c.Close()

			for _, path := range []string{"/v1/completions", "/v2/unknown"} {
				start = time.Now()
				c, r = f.dialCaller("POST " + path + commonHead + "Content-Length: 9\r\n\r\n{")
				_ = readReply(r)
				_, err = r.ReadByte()
				So(err, ShouldEqual, io.EOF)
				So(time.Since(start), ShouldBeLessThanOrEqualTo, 31*time.Second)
				_ = c.Close()
			}

			// A caller that disconnects during a stream, and one that stops reading it.
			for _, disconnects := range []bool{true, false} {
				c, r = f.dialCaller(completion(long))
				_, err = r.ReadString('\n')
				So(err, ShouldBeNil)
				time.Sleep(time.Second)
				So(runningOnEngines(f), ShouldEqual, 1)
				if disconnects {
					_ = c.Close()
				}
				time.Sleep(15 * time.Second)
				So(runningOnEngines(f), ShouldEqual, 0)
				So(f.instance(0).entry.InFlight(), ShouldEqual, 0)
				_ = c.Close()
			}

			// A caller that disconnects while it waits for an answer that is not streamed.
			c, _ = f.dialCaller(completion(strings.Replace(long, "true", "false", 1)))
			time.Sleep(time.Second)
			So(runningOnEngines(f), ShouldEqual, 1)
			_ = c.Close()
			time.Sleep(time.Second)
			So(runningOnEngines(f), ShouldEqual, 0)
		})
	})
}

// TestSlowBody guards against one deadline for a whole body, which cuts off callers on slow links whose bodies arrive steadily.
func TestSlowBody(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("A body that arrives steadily for longer than the time limit of a stalled one is read to its end", t, func() {
			const piece, pieces = 1000, 60
			c, r := f.dialCaller(fmt.Sprintf("POST /v1/completions"+commonHead+"Content-Length: %d\r\n\r\n", piece*pieces))
			defer func() { _ = c.Close() }()
			go func() {
				for range pieces {
					time.Sleep(time.Second)
					if _, err := io.WriteString(c, strings.Repeat("x", piece)); err != nil {
						return
					}
				}
			}()
			reply := readReply(r)
			// The whole body is not valid JSON.
			So(reply.status, ShouldEqual, http.StatusBadRequest)
			So(reply.body, ShouldContainSubstring, "invalid_body")
		})
	})
}

// TestReadinessWhileFull guards against an instance that is taken out of service because callers hold all of its connections, so that
// readiness checks at their address wait.
func TestReadinessWhileFull(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("A readiness check at the admin address is answered while no caller can connect", t, func() {
			d := f.instance(0)
			for range d.settings.Limits.MaxConnections {
				c, _ := f.dialCaller("")
				defer func() { _ = c.Close() }()
			}
			_, err := f.net.Host("caller").Dial(context.Background(), d.address)
			So(err, ShouldNotBeNil)
			client := f.httpClient()
			defer client.CloseIdleConnections()
			for _, path := range []string{"/readyz", "/healthz"} {
				resp, err := client.Get(scheme(f.authority) + d.settings.Listen.Admin + path)
				So(err, ShouldBeNil)
				_ = resp.Body.Close()
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
			}
		})
	})
}

// TestReusedConnectionAfterStream guards against a time limit of one request that ends a later request on the same
// connection. net/http clears the write deadline after each request; readBody clears the read deadline for bodies.
func TestReusedConnectionAfterStream(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("A connection still works 30 s and 60 s after a stream", t, func() {
			c, r := f.dialCaller(completion(`{"model":"summary","prompt":"x","max_tokens":2,"stream":true}`))
			defer func() { _ = c.Close() }()
			So(readReply(r).body, ShouldContainSubstring, "[DONE]")
			for _, path := range []string{"/v1/models", "/healthz"} {
				time.Sleep(30 * time.Second)
				go func() { _, _ = io.WriteString(c, strings.ReplaceAll("GET "+path+commonHead+"\r\n", "KEY", f.secret)) }()
				So(readReply(r).status, ShouldEqual, http.StatusOK)
			}
		})
	})
}

// TestConnectionAndMemoryLimits guards against more caller connections than the limit, and against request bodies
// that take more memory than the settings permit.
func TestConnectionAndMemoryLimits(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Connections beyond the limit are not accepted, and bodies beyond the memory limit are refused", t, func() {
			limit := f.instance(0).settings.Limits.MaxConnections
			conns := make([]net.Conn, limit)
			for i := range conns {
				conns[i], _ = f.dialCaller("")
			}
			_, err := f.net.Host("caller").Dial(context.Background(), f.instance(0).address)
			So(err, ShouldNotBeNil)
			for _, c := range conns {
				_ = c.Close()
			}

			var unfinished []net.Conn
			body := "Content-Length: 4194304\r\n\r\n" + strings.Repeat(" ", 4<<20-1)
			for range f.instance(0).settings.Limits.MaxBodyMemoryBytes / (4 << 20) {
				c, _ := f.dialCaller("POST /v1/completions" + commonHead + body)
				unfinished = append(unfinished, c)
			}
			time.Sleep(time.Second)
			r := f.sendRaw(completion(`{"model":"summary","prompt":"x","max_tokens":2,"user":"` + strings.Repeat("x", 1000) + `"}`))
			So(r.status, ShouldEqual, http.StatusServiceUnavailable)
			So(r.body, ShouldContainSubstring, "body_memory_full")
			So(r.verdict, ShouldEqual, "not-run")
			for _, c := range unfinished {
				_ = c.Close()
			}
			time.Sleep(time.Second)
			So(f.sendRaw(completion(`{"model":"summary","prompt":"x","max_tokens":2}`)).status, ShouldEqual, http.StatusOK)
		})
	})
}
