package daemon

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/standin/stack"
)

const longAnswerBytes = 1 << 20

// withLongAnswers makes the plain services answer calls of /long with longAnswerBytes bytes.
func withLongAnswers(o *stack.Options) {
	o.WrapBackend = func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/long" {
				h.ServeHTTP(w, r)
				return
			}
			_, _ = w.Write(bytes.Repeat([]byte("x"), longAnswerBytes))
		})
	}
}

// TestHeldResponses guards against responses that are not counted while their callers read them, and against ones that are counted
// after that, for calls that end with their caller and for those that do not.
func TestHeldResponses(t *testing.T) {
	runFleet(t, 1, withLongAnswers, func(f *testFleet) {
		Convey("A response is counted until its caller has read it", t, func() {
			for _, request := range []string{
				"GET /services/status/long" + commonHead + "\r\n",
				post("/services/lots/long", "Idempotency-Key: "+newIdempotencyKey()+"\r\n", "x"),
			} {
				c, r := f.dialCaller(request)
				time.Sleep(5 * time.Second)
				So(f.metric("turmeric_response_bytes_held"), ShouldBeGreaterThan, longAnswerBytes/2)
				reply := readReply(r)
				So(len(reply.body), ShouldEqual, longAnswerBytes)
				time.Sleep(time.Second)
				So(f.metric("turmeric_response_bytes_held"), ShouldEqual, 0)
				_ = c.Close()
			}
		})
	})
}

// TestWriteWindow guards against a write window that has no effect, and against callers that read nothing and stay connected for longer.
func TestWriteWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := prepareFleet(t, 1, withLongAnswers)
		f.settings = func(s *Settings) { s.Limits.WriteWindowSeconds = 30 }
		f.publishDocument()
		f.start(instanceName(0))
		defer f.close()
		time.Sleep(testSettleTime)
		Convey("A caller that pauses for less than the window gets the answer, one that pauses for longer is disconnected", t, func() {
			for pause, whole := range map[time.Duration]bool{25 * time.Second: true, 35 * time.Second: false} {
				c, r := f.dialCaller("GET /services/status/long" + commonHead + "\r\n")
				time.Sleep(pause)
				So(f.instance(0).entry.InFlight() == 1, ShouldEqual, whole)
				So(len(readReply(r).body) == longAnswerBytes, ShouldEqual, whole)
				_ = c.Close()
			}
		})
	})
}
