package drain

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAccepts checks that no request is taken late in the grace period which may last beyond its end.
func TestAccepts(t *testing.T) {
	const grace = 6 * time.Second
	at := func(d time.Duration, timeout time.Duration, stream bool) bool {
		return Accepts(Request{Timeout: timeout, Stream: stream}, d, grace-d)
	}
	Convey("all are taken until the load balancer has removed the instance", t, func() {
		So(at(0, 10*time.Second, true), ShouldBeTrue)
		So(at(2400*time.Millisecond, 10*time.Second, true), ShouldBeTrue)
		So(at(3200*time.Millisecond, 10*time.Second, false), ShouldBeTrue)
	})
	Convey("and no streams after that", t, func() {
		So(at(2401*time.Millisecond, 10*time.Second, true), ShouldBeFalse)
	})
	Convey("later only those that end before the exit in any case", t, func() {
		So(at(3500*time.Millisecond, 2500*time.Millisecond, false), ShouldBeTrue)
		So(at(3500*time.Millisecond, 2501*time.Millisecond, false), ShouldBeFalse)
		So(at(3500*time.Millisecond, time.Second, true), ShouldBeFalse)
		So(at(grace, time.Millisecond, false), ShouldBeFalse)
	})
}

// TestUsualDuration checks decisions on requests whose duration is known.
func TestUsualDuration(t *testing.T) {
	const left = 4 * time.Second
	request := func(usual time.Duration) Request { return Request{Timeout: time.Minute, Usual: usual, Stream: true} }
	Convey("one that usually ends before the exit is taken, streams only early", t, func() {
		So(Accepts(request(left), left/2, left), ShouldBeTrue)
		So(Accepts(request(left), left, left), ShouldBeFalse)
		So(Accepts(Request{Timeout: time.Minute, Usual: left}, time.Hour, left), ShouldBeTrue)
	})
	Convey("one that usually lasts longer is refused, however early", t, func() {
		So(Accepts(request(left+1), 0, left), ShouldBeFalse)
	})
	Convey("an idempotent one is taken early although it may last longer", t, func() {
		r := Request{Timeout: time.Minute, Usual: left + 1, Repeatable: true}
		So(Accepts(r, left, left), ShouldBeTrue)
		So(Accepts(r, 2*left, left), ShouldBeFalse)
		r.Stream = true
		So(Accepts(r, 0, left), ShouldBeFalse)
	})
	Convey("one that ends in any case before the exit is taken", t, func() {
		So(Accepts(Request{Timeout: left, Usual: time.Minute}, time.Hour, left), ShouldBeTrue)
		So(Accepts(Request{Timeout: left + 1, Usual: time.Minute}, 0, left), ShouldBeFalse)
	})
}

// TestDurations checks the usual duration of the requests of a route.
func TestDurations(t *testing.T) {
	Convey("it is not known after few requests", t, func() {
		var d Durations
		for range minDurations - 1 {
			d.Record("a", time.Second)
		}
		So(d.Usual("a"), ShouldEqual, 0)
		d.Record("a", time.Second)
		So(d.Usual("a"), ShouldEqual, time.Second)
		So(d.Usual("b"), ShouldEqual, 0)
	})
	Convey("it is that of nearly all of the latest requests", t, func() {
		var d Durations
		for range keptDurations {
			d.Record("a", time.Hour)
		}
		for i := range keptDurations {
			d.Record("a", time.Duration(i+1)*time.Millisecond)
		}
		So(d.Usual("a"), ShouldEqual, 61*time.Millisecond)
	})
	Convey("the number of routes is bounded", t, func() {
		var d Durations
		for i := range 2 * maxRoutes {
			d.Record(strconv.Itoa(i), time.Second)
		}
		So(len(d.routes), ShouldBeLessThanOrEqualTo, maxRoutes)
	})
}
