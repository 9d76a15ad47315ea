package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
)

// succeeded sends n completions through one instance and counts those that succeed.
func (f *testFleet) succeeded(n int) int {
	ok := 0
	for range n {
		if r, err := f.complete(0); err == nil && r.status == http.StatusOK {
			ok++
		}
	}
	return ok
}

// Guards against an engine that fails every request and stays in use, and against one that stays out of
// use after it has recovered.
func TestFailingEngineIsEjectedAndReturns(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Few requests fail, and the engine serves again later", t, func() {
			So(f.succeeded(100), ShouldEqual, 100)
			failing := f.engineThatServes()
			f.stack.Engines[failing].SetFailing(true)
			So(f.succeeded(50), ShouldBeGreaterThanOrEqualTo, 45)
			f.stack.Engines[failing].SetFailing(false)
			f.stack.Engines[1-failing].SetLeaving(true)
			time.Sleep(10 * time.Second)
			So(f.succeeded(20), ShouldEqual, 20)
		})
	})
}

// engineThatServes returns the index of the engine that holds an adapter.
func (f *testFleet) engineThatServes() int {
	for i, e := range f.stack.Engines {
		if e.Resident() > 0 {
			return i
		}
	}
	return -1
}

// Guards against a request that crashes one engine after the other when its caller sends it again, and
// against innocent requests that share the blame.
func TestCrashingRequestIsStopped(t *testing.T) {
	crash := func(o *stack.Options) { o.Engine.CrashMarker = "poison" }
	runFleet(t, 3, crash, func(f *testFleet) {
		Convey("After two crashes it is refused through every instance, and others are served", t, func() {
			So(f.succeeded(100), ShouldEqual, 100)
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
			So(fmt.Sprint(f.succeeded(10)), ShouldEqual, "10")
		})
	})
}

func (f *testFleet) crashes() int {
	n := 0
	for _, e := range f.stack.Engines {
		n += e.Crashes()
	}
	return n
}
