package daemon

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLongAnswers guards against answers that are not counted while their callers read them, or that are counted after that, for calls that
// end with their caller and for those that do not; against a write window that has no effect, and against callers that read nothing
// and stay connected for longer.
func TestLongAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := prepareFleet(t, 1, nil)
		f.settings = func(s *Settings) { s.Limits.WriteWindowSeconds = 30 }
		f.publishDocument()
		f.start(instanceName(0))
		defer f.close()
		time.Sleep(testSettleTime)
		Convey("A caller that pauses for less than the window gets the answer, and another one is disconnected", t, func() {
			body := strings.Repeat("x", 500<<10)
			for pauseS, path := range map[time.Duration]string{25: "status", 35: "status", 5: "lots"} {
				whole := pauseS < 30
				conn, r := f.dialCaller(post("/services/"+path+"/log", "Idempotency-Key: "+newIdempotencyKey()+"\r\n", body))
				time.Sleep(pauseS * time.Second)
				So(f.metric("turmeric_response_bytes_held") > 400<<10, ShouldEqual, whole)
				// The service's answer contains the body.
				So(strings.HasSuffix(readReply(r).body, "x\"}\n"), ShouldEqual, whole)
				time.Sleep(time.Second)
				So(f.metric("turmeric_response_bytes_held"), ShouldEqual, 0)
				_ = conn.Close()
			}
		})
	})
}
