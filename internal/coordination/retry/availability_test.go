package retry

import (
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
