package residency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPlacedRequests guards the adapters of requests that another instance has placed and of which no heartbeat tells yet: they
// are not evicted, a place that is never returned does not keep its adapter for good, and no request is placed for an adapter
// that is about to be unloaded.
func TestPlacedRequests(t *testing.T) {
	const place, expires, now = 7, 20 * time.Second, 3 * time.Second
	full := func() *Owner {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.PlaceGiven(place, adapterN(1), expires, 0)
		return o
	}
	Convey("an adapter with a placed request is kept", t, func() {
		o := full()
		o.Want(adapterN(2), 0, now)
		So(o.Next(now).Step, ShouldEqual, StepNone)
		So(o.Absent(adapterN(1), 1), ShouldBeFalse)
	})
	Convey("it is evicted some time after the request has ended, or its place has expired", t, func() {
		for _, end := range []func(o *Owner) time.Duration{
			func(o *Owner) time.Duration { o.PlaceEnded(place, now); return now + evictionHold },
			func(*Owner) time.Duration { return expires },
		} {
			o := full()
			at := end(o)
			o.Want(adapterN(2), 0, at)
			So(nextUnload(o, at).Step, ShouldEqual, StepUnload)
			So(o.Absent(adapterN(1), 0), ShouldBeTrue)
		}
	})
	Convey("nothing is absent at a worker whose state is not known", t, func() {
		So(NewOwner(testModel, 1, 0).Absent(adapterN(1), 0), ShouldBeFalse)
		So(full().Absent(Adapter{Model: testModel}, 0), ShouldBeFalse)
		So(full().Absent(adapterN(1), 2), ShouldBeTrue)
	})
}
