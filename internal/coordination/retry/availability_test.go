package retry

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLeavingIsFinal guards against a leaving worker that is used again, as when the registry lists it anew, and against
// knowledge of gone workers that is kept for ever.
func TestLeavingIsFinal(t *testing.T) {
	const start = time.Hour
	listed := func(names ...string) func(string) bool {
		return func(worker string) bool {
			for _, n := range names {
				if n == worker {
					return true
				}
			}
			return false
		}
	}
	Convey("it concerns one incarnation, and is told once", t, func() {
		a := NewAvailability()
		So(a.Empty(), ShouldBeTrue)
		So(a.Leave("w@1", start), ShouldBeTrue)
		So(a.Leave("w@1", start+time.Second), ShouldBeFalse)
		So(a.Leaving("w@1"), ShouldBeTrue)
		So(a.Leaving("w@2"), ShouldBeFalse)
		So(a.Empty(), ShouldBeFalse)
	})
	Convey("it outlasts a time in which the registry does not list the worker", t, func() {
		a := NewAvailability()
		a.Leave("w@1", start)
		a.Retain(listed("w@1"), start+time.Hour)
		a.Retain(listed(), start+time.Hour+absentMemory)
		So(a.Leaving("w@1"), ShouldBeTrue)
		a.Retain(listed("w@1"), start+time.Hour+absentMemory)
		a.Retain(listed(), start+time.Hour+2*absentMemory)
		So(a.Leaving("w@1"), ShouldBeTrue)
		a.Retain(listed(), start+time.Hour+2*absentMemory+1)
		So(a.Empty(), ShouldBeTrue)
	})
}

// TestBackoffIsKept guards against requests to a worker before the time has passed for which it wanted none, whatever it said
// in between, and against a worker that stays out of use after it.
func TestBackoffIsKept(t *testing.T) {
	const start = time.Hour
	Convey("a longer time extends it, a shorter one does not shorten it", t, func() {
		a := NewAvailability()
		So(a.BackOff("w", 2*time.Second, start), ShouldBeTrue)
		So(a.BackOff("w", time.Second, start+500*time.Millisecond), ShouldBeFalse)
		So(a.Wait("w", start+500*time.Millisecond), ShouldEqual, 1500*time.Millisecond)
		So(a.BackOff("w", 3*time.Second, start+500*time.Millisecond), ShouldBeTrue)
		So(a.Wait("w", start+500*time.Millisecond), ShouldEqual, 3*time.Second)
		So(a.Wait("w", start+3500*time.Millisecond), ShouldEqual, 0)
		So(a.Wait("w", start+time.Hour), ShouldEqual, 0)
		So(a.Wait("other", start), ShouldEqual, 0)
		So(a.Leaving("w"), ShouldBeFalse)
	})
	Convey("small extensions are kept but not reported, and a new beginning is", t, func() {
		a := NewAvailability()
		So(a.BackOff("w", time.Second, start), ShouldBeTrue)
		reported := 0
		for i := time.Duration(1); i <= 10; i++ {
			if a.BackOff("w", time.Second, start+i*100*time.Millisecond) {
				reported++
			}
			So(a.Wait("w", start+i*100*time.Millisecond), ShouldEqual, time.Second)
		}
		So(reported, ShouldEqual, 2)
		So(a.BackOff("w", time.Millisecond, start+10*time.Second), ShouldBeTrue)
	})
	Convey("a time that ends beyond the clock's range has no end", t, func() {
		a := NewAvailability()
		So(a.BackOff("w", math.MaxInt64, start), ShouldBeTrue)
		So(a.Wait("w", start+time.Hour), ShouldBeGreaterThan, 100*365*24*time.Hour)
	})
	Convey("no time is none", t, func() {
		a := NewAvailability()
		So(a.BackOff("w", 0, start), ShouldBeFalse)
		So(a.BackOff("w", -time.Second, start), ShouldBeFalse)
		So(a.Empty(), ShouldBeTrue)
	})
	Convey("it is forgotten once it has passed, but not before, nor that the worker leaves", t, func() {
		a := NewAvailability()
		gone := func(string) bool { return false }
		a.BackOff("w", time.Minute, start)
		a.BackOff("leaves", time.Minute, start)
		a.Leave("leaves", start)
		a.Retain(gone, start+time.Minute-1)
		So(a.Wait("w", start+time.Minute-1), ShouldEqual, 1)
		a.Retain(gone, start+time.Minute)
		So(a.workers, ShouldHaveLength, 1)
		So(a.Leaving("leaves"), ShouldBeTrue)
	})
}
