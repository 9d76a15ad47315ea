package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
)

// countSucceeded sends n completions through the first instance and returns how many succeed.
func (f *testFleet) countSucceeded(n int) int {
	ok := 0
	for range n {
		if r, err := f.complete(0); err == nil && r.status == http.StatusOK {
			ok++
		}
	}
	return ok
}

// TestFailingEngineIsEjectedAndReturns guards against an engine that fails every request and stays in use, and
// against one that stays out of use after it has recovered.
func TestFailingEngineIsEjectedAndReturns(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("At most 5 of 50 requests fail, and the engine serves again after it has recovered", t, func() {
			So(f.countSucceeded(100), ShouldEqual, 100)
			failing := f.engineWithAdapter()
			f.stack.Engines[failing].SetFailing(true)
			So(f.countSucceeded(50), ShouldBeGreaterThanOrEqualTo, 45)
			f.stack.Engines[failing].SetFailing(false)
			f.stack.Engines[1-failing].SetLeaving(true)
			time.Sleep(10 * time.Second)
			So(f.countSucceeded(20), ShouldEqual, 20)
		})
	})
}

// engineWithAdapter returns the index of the first engine with a resident adapter, or -1.
func (f *testFleet) engineWithAdapter() int {
	for i, e := range f.stack.Engines {
		if e.Resident() > 0 {
			return i
		}
	}
	return -1
}

// TestCrashingRequestIsStopped guards against a request that crashes one engine after another each time its caller
// resends it, and against blame for other requests that ran during the crashes.
func TestCrashingRequestIsStopped(t *testing.T) {
	withCrashMarker := func(o *stack.Options) { o.Engine.CrashMarker = "poison" }
	runFleet(t, 3, withCrashMarker, func(f *testFleet) {
		Convey("After two crashes it is refused by every instance, and other requests are served", t, func() {
			So(f.countSucceeded(100), ShouldEqual, 100)
			poison := `{"model":"summary","prompt":"poison","max_tokens":2}`
			for n := range 6 {
				r, err := f.call(n%3, http.MethodPost, "/v1/completions", poison, nil)
				So(err, ShouldBeNil)
				So(r.status, ShouldNotEqual, http.StatusOK)
				time.Sleep(3 * time.Second)
			}
			So(f.crashes(), ShouldEqual, 2)
			r, err := f.call(2, http.MethodPost, "/v1/completions", poison, nil)
			So(err, ShouldBeNil)
			So(r.verdict, ShouldEqual, "not-run")
			So(fmt.Sprint(f.countSucceeded(10)), ShouldEqual, "10")
		})
	})
}

// TestSharedMessageCrashesEngines guards against requests that have only a message of their prompt in common and crash one
// engine after the other: after few crashes requests with that message are refused, and others are served.
func TestSharedMessageCrashesEngines(t *testing.T) {
	const maxCrashes = 8
	withCrashMarker := func(o *stack.Options) { o.Engine.CrashMarker = "broken template" }
	runFleet(t, 3, withCrashMarker, func(f *testFleet) {
		Convey("Engines crash a few times only", t, func() {
			So(f.countSucceeded(100), ShouldEqual, 100)
			for n := range 20 {
				body := fmt.Sprintf(`{"model":"summary","max_tokens":2,"messages":[{"role":"system","content":"broken template"},{"role":"user","content":"%d"}]}`, n)
				_, err := f.call(n%3, http.MethodPost, "/v1/chat/completions", body, nil)
				So(err, ShouldBeNil)
				time.Sleep(3 * time.Second)
			}
			So(f.crashes(), ShouldBeLessThanOrEqualTo, maxCrashes)
			So(fmt.Sprint(f.countSucceeded(10)), ShouldEqual, "10")
		})
	})
}

// crashes returns how often the engines crashed.
func (f *testFleet) crashes() int {
	n := 0
	for _, e := range f.stack.Engines {
		n += e.Crashes()
	}
	return n
}
