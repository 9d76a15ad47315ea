package enginehttp

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
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// serveRaw starts an engine that answers the nth completion request of each connection, from 0, with the bytes that respond
// returns, and closes the connection if close is set. It returns a client of the engine.
func serveRaw(t *testing.T, respond func(n int, r *http.Request) (raw string, close bool)) *Engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					raw, end := respond(n, r)
					if _, err := c.Write([]byte(raw)); err != nil || end {
						return
					}
				}
			}()
		}
	}()
	return New("http://"+l.Addr().String(), network.HTTPTransport(network.TCP{}))
}

func answerWith(contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
}

// completionAnswer returns a whole answer to a request that is not streamed.
func completionAnswer(id string) string {
	return answerWith("application/json", `{"id":"`+id+`","model":"a@1","usage":{"total_tokens":3}}`)
}

// streamAnswer returns a whole answer to a streamed request.
func streamAnswer(id string) string {
	return answerWith("text/event-stream", "id: 0\ndata: {\"id\":\""+id+"\",\"model\":\"a@1\"}\n\ndata: [DONE]\n\n")
}

func completionRequest(id string) backend.Request {
	return backend.Request{ID: id, Path: "/v1/completions", Adapter: adapter.Ref{Name: "a", Version: "1"}, Body: []byte("{}")}
}

// stream returns the data of the events of a streamed answer.
func stream(t *testing.T, e *Engine, id string) (string, error) {
	r, err := e.Stream(t.Context(), completionRequest(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Close() }()
	var data strings.Builder
	for {
		c, err := r.Next()
		if err != nil || c.Done {
			return data.String(), err
		}
		data.Write(c.Data)
	}
}

// TestSecondCopyOfAnswer guards against an answer to an earlier request that arrives again, late, and is taken for the
// answer to the next request.
func TestSecondCopyOfAnswer(t *testing.T) {
	calls := map[string]struct {
		answer func(id string) string
		call   func(e *Engine, id string) (string, error)
	}{
		"completion": {completionAnswer, func(e *Engine, id string) (string, error) {
			a, err := e.Complete(t.Context(), completionRequest(id))
			return string(a.Body), err
		}},
		"stream": {streamAnswer, func(e *Engine, id string) (string, error) { return stream(t, e, id) }},
	}
	for name, c := range calls {
		Convey(name, t, func() {
			previous := ""
			e := serveRaw(t, func(n int, r *http.Request) (string, bool) {
				again := ""
				if n > 0 {
					again = previous
				}
				previous = c.answer(r.Header.Get("X-Request-Id"))
				return again + previous, false
			})
			failed := 0
			for i := range 4 {
				id := fmt.Sprint("request-", i)
				got, err := c.call(e, id)
				if err != nil {
					So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
					failed++
				} else {
					So(got, ShouldContainSubstring, id)
				}
				time.Sleep(10 * time.Millisecond) // until the connection is idle
			}
			So(failed, ShouldBeLessThanOrEqualTo, 2)
		})
	}
	Convey("An engine that names no request in its answers is served", t, func() {
		e := serveRaw(t, func(int, *http.Request) (string, bool) { return completionAnswer("cmpl-7"), false })
		for range 2 {
			_, err := e.Complete(t.Context(), completionRequest("r"))
			So(err, ShouldBeNil)
		}
	})
}

// TestCutAnswer guards against an answer that breaks off, in its head or its body, and counts as whole or as not run.
func TestCutAnswer(t *testing.T) {
	Convey("No part of an answer counts as whole", t, func() {
		whole := completionAnswer("r")
		for cut := range len(whole) {
			e := serveRaw(t, func(int, *http.Request) (string, bool) { return whole[:cut], true })
			_, err := e.Complete(t.Context(), completionRequest("r"))
			So(err, ShouldNotBeNil)
			So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
		}
		whole = streamAnswer("r")
		// The event with the end marker ends with the first of the two last line feeds.
		for cut := range len(whole) - 1 {
			e := serveRaw(t, func(int, *http.Request) (string, bool) { return whole[:cut], true })
			_, err := stream(t, e, "r")
			So(err, ShouldNotBeNil)
			So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
		}
	})
}

// TestInvalidStatus guards against an order that counts as done, and a request that counts as not run, because the engine answered
// with a status that HTTP does not have.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000 None", "099 None", "101 Switching Protocols", "600 Odd", "999 Odd"} {
		Convey("No answer with status "+status+" counts", t, func() {
			e := serveRaw(t, func(int, *http.Request) (string, bool) {
				return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n", true
			})
			_, err := e.Complete(t.Context(), backend.Request{ID: "r", Path: "/v1/completions", Body: []byte("{}")})
			So(err, ShouldNotBeNil)
			So(verdict.FromError(err).Verdict, ShouldEqual, verdict.MayHaveRun)
			So(verdict.FromError(err).Status, ShouldEqual, http.StatusBadGateway)
			So(e.Load(t.Context(), backend.Order{Adapter: adapter.Parse("a@1")}), ShouldNotBeNil)
		})
	}
}
