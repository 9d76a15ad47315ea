package residency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPlacedRequests guards the adapters of requests that another instance has placed and that no heartbeat has reported yet: they
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
	Convey("with all places known, it is evicted soon after the request has ended", t, func() {
		o := full()
		o.SetPlacesKnown(true)
		o.PlaceEnded(place, now)
		o.Want(adapterN(2), 0, now)
		So(o.Next(now).Step, ShouldEqual, StepNone)
		So(nextUnload(o, now+placedHold).Step, ShouldEqual, StepUnload)
	})
}

// TestLoadWithinShortTarget guards against owners that decline every load for requests with a short target latency: one load at
// the usual speed of the weight store is on time.
func TestLoadWithinShortTarget(t *testing.T) {
	// The load time is that of a deployment whose live requests have a target of 500 ms.
	const arrival, loadTime = time.Second, 288 * time.Millisecond
	for _, target := range []time.Duration{500 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
		o := syncedOwner(2)
		o.loadTime = loadTime
		if deadline := arrival + target - ResponseReserve(target); !o.Admits(adapterN(1), 0, deadline, arrival) {
			t.Errorf("a load for a request with the target %v is declined", target)
		}
	}
	if ResponseReserve(800*time.Millisecond) != MaxResponseReserve {
		t.Errorf("the reserve of a longer target has changed")
	}
}

// TestPlaceGivenWhileRetired guards against an adapter that counts as absent although a request for it was placed while the
// owner asked whether it is in use.
func TestPlaceGivenWhileRetired(t *testing.T) {
	o := syncedOwner(1)
	o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
	now := time.Second
	o.Want(adapterN(2), 0, now)
	if a := o.Next(now); a.Step != StepRetire {
		t.Fatal(a.Step)
	}
	o.PlaceGiven(7, adapterN(1), 20*time.Second, now)
	o.ApplyRetired(adapterN(1), 0, now)
	if o.Absent(adapterN(1), 0) {
		t.Fatal("adapter in use counts as absent")
	}
}

// TestExpiredPlacesAreReleased guards against records of places whose ends were never reported, at a worker with free slots.
func TestExpiredPlacesAreReleased(t *testing.T) {
	o := syncedOwner(8)
	o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		o.PlaceGiven(uint64(i+1), adapterN(1), now+time.Second, now)
		o.Next(now)
	}
	if len(o.placed) > 100 {
		t.Fatalf("%d places are kept", len(o.placed))
	}
}
