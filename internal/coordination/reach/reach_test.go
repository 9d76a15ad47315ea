package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnreachable guards against a report of an instance that answers some calls, or of which one call was late, and against
// reports that outlive the failures.
func TestUnreachable(t *testing.T) {
	Convey("only addresses that fail for long enough are reported, until the failures are outdated", t, func() {
		c := NewCalls()
		for at := time.Duration(0); at <= minFailing; at += time.Second {
			c.Failed("gone", at)
			c.Failed("slow", at)
			if at == time.Second {
				c.Reached("slow")
			}
		}
		So(c.Unreachable(minFailing), ShouldResemble, []string{"gone"})
		So(c.Unreachable(minFailing+failureTTL), ShouldResemble, []string{"gone", "slow"})
		So(c.Unreachable(minFailing+failureTTL+1), ShouldBeEmpty)
		c.Failed("gone", time.Minute)
		So(c.Unreachable(time.Minute), ShouldBeEmpty)
	})
	Convey("the report is bounded, and begins with those that fail for longest", t, func() {
		c := NewCalls()
		for i := range 2 * maxReported {
			c.Failed(fmt.Sprint(i), time.Duration(i))
			c.Failed(fmt.Sprint(i), minFailing+time.Second)
		}
		list := c.Unreachable(minFailing + time.Second)
		So(list, ShouldHaveLength, maxReported)
		So(list[0], ShouldEqual, "0")
	})
}

// TestOrder guards against calls that are repeated to the same unreachable instances while others answer.
func TestOrder(t *testing.T) {
	Convey("instances that failed come last, those that failed latest at the end, until the failures are outdated", t, func() {
		c := NewCalls()
		c.Failed("b", time.Second)
		c.Failed("a", 2*time.Second)
		order := func(now time.Duration) []string {
			list := []string{"a", "b", "c", "d"}
			Order(c, list, func(s string) string { return s }, now)
			return list
		}
		So(order(2*time.Second), ShouldResemble, []string{"c", "d", "b", "a"})
		So(order(failureTTL+2*time.Second), ShouldResemble, []string{"b", "c", "d", "a"})
		c.Reached("a")
		So(order(2*time.Second), ShouldResemble, []string{"a", "c", "d", "b"})
	})
}

// TestCutOff guards against owners that give their workers up because the calls of one instance, or of a few, fail.
func TestCutOff(t *testing.T) {
	Convey("enough of the others report it, and nobody calls it", t, func() {
		So(CutOff(2, 13, maxSilence), ShouldBeTrue)
		So(CutOff(13, 13, maxSilence-1), ShouldBeFalse)
		So(CutOff(19, 194, maxSilence), ShouldBeFalse)
		So(CutOff(20, 194, maxSilence), ShouldBeTrue)
		So(CutOff(1, 1, maxSilence), ShouldBeFalse)
	})
}
