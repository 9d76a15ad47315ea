package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	. "github.com/smartystreets/goconvey/convey"
)

// toAddressPrefix returns a rule that matches connections to the addresses with a prefix.
func toAddressPrefix(prefix string) func(from, to string) bool {
	return func(_, to string) bool { return strings.HasPrefix(to, prefix) }
}

// TestSilentEngineStreamIsResumed guards against a stream that waits forever on a silent connection to an engine,
// and against a resumed stream that skips or repeats text.
func TestSilentEngineStreamIsResumed(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("The stream continues from the same position within 6 s", t, func() {
			client := f.openAIClient(0, f.secret)
			p := chatParams("summary")
			p.MaxTokens = openai.Int(100)
			stream := client.Chat.Completions.NewStreaming(context.Background(), p)
			n := 0
			last, longestGap := time.Now(), time.Duration(0)
			for stream.Next() {
				longestGap, last = max(longestGap, time.Since(last)), time.Now()
				if n == 10 {
					f.net.Silence(toAddressPrefix("engine"))
				}
				n++
			}
			So(stream.Err(), ShouldBeNil)
			So(n, ShouldEqual, 101)
			So(longestGap, ShouldBeLessThan, 6*time.Second)
		})
	})
}

// TestSilentCompletionIsRunAgain guards against a completion that is not streamed and waits forever on a silent
// connection, whether the request or the answer was lost.
func TestSilentCompletionIsRunAgain(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("The answer comes over a new connection", t, func() {
			// Successful requests fill the retry budget that the repeated runs use.
			for range 30 {
				r, err := f.complete(0)
				So(err, ShouldBeNil)
				So(r.status, ShouldEqual, http.StatusOK)
			}
			for _, silentAfter := range []time.Duration{0, 500 * time.Millisecond} {
				start := time.Now()
				done := make(chan reply, 1)
				if silentAfter == 0 {
					f.net.Silence(toAddressPrefix("engine"))
				}
				go func() {
					r, _ := f.call(0, http.MethodPost, "/v1/completions", `{"model":"summary","prompt":"x","max_tokens":50}`, nil)
					done <- r
				}()
				time.Sleep(silentAfter)
				if silentAfter > 0 {
					f.net.Silence(toAddressPrefix("engine"))
				}
				r := <-done
				So(r.body, ShouldContainSubstring, "summary@2/")
				So(r.status, ShouldEqual, http.StatusOK)
				So(time.Since(start), ShouldBeLessThan, 12*time.Second)
			}
			r, err := f.call(0, http.MethodPost, "/v1/completions", `{"model":"summary","prompt":"x","max_tokens":1000}`, nil)
			So(err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusOK)
		})
	})
}

// TestSilentLogAndPeerConnections guards against the loss of the freshness lease because a connection to the log
// or to a peer is silent. An instance without the lease refuses requests and cuts off streams in flight.
func TestSilentLogAndPeerConnections(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("No request is refused and no stream is cut off", t, func() {
			client := f.openAIClient(0, f.secret)
			for _, host := range []string{"log", "instance"} {
				p := chatParams("summary")
				p.MaxTokens = openai.Int(400)
				stream := client.Chat.Completions.NewStreaming(context.Background(), p)
				So(stream.Next(), ShouldBeTrue)
				f.net.Silence(func(from, to string) bool {
					return strings.HasPrefix(to, host) && (host == "log" || strings.HasSuffix(to, ":2"))
				})
				done := make(chan error, 1)
				go func() {
					for stream.Next() {
					}
					done <- stream.Err()
				}()
				for range 80 {
					time.Sleep(100 * time.Millisecond)
					for i := range f.instances {
						So(f.instance(i).admit(), ShouldBeNil)
					}
				}
				So(<-done, ShouldBeNil)
			}
			// Without the log, the lease depends on the connections to the peers, which are replaced within seconds.
			f.stack.Log.SetDown(true)
			time.Sleep(10 * time.Second)
			f.net.Silence(func(_, to string) bool { return strings.HasSuffix(to, ":2") })
			time.Sleep(5 * time.Second)
			for i := range f.instances {
				So(f.instance(i).admit(), ShouldBeNil)
			}
		})
	})
}
