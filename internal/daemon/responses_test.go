package daemon

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/standin/stack"
)

// TestHeldResponses guards against responses that are not counted while their callers read them, and against ones that are counted
// after that, for calls that end with their caller and for those that do not.
func TestHeldResponses(t *testing.T) {
	const length = 1 << 20
	long := func(o *stack.Options) {
		o.WrapBackend = func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/long" {
					h.ServeHTTP(w, r)
					return
				}
				_, _ = w.Write(bytes.Repeat([]byte("x"), length))
			})
		}
	}
	runFleet(t, 1, long, func(f *testFleet) {
		Convey("A response is counted until its caller has read it", t, func() {
			for _, request := range []string{
				"GET /services/status/long" + commonHead + "\r\n",
				post("/services/lots/long", "Idempotency-Key: "+newIdempotencyKey()+"\r\n", "x"),
			} {
				c, r := f.dialCaller(request)
				time.Sleep(5 * time.Second)
				So(f.metric("turmeric_response_bytes_held"), ShouldBeGreaterThan, length/2)
				reply := readReply(r)
				So(len(reply.body), ShouldEqual, length)
				time.Sleep(time.Second)
				So(f.metric("turmeric_response_bytes_held"), ShouldEqual, 0)
				_ = c.Close()
			}
		})
	})
}
