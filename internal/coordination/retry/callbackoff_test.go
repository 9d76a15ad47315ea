package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCallBackoff guards against an instance that is not asked for seconds after a single late answer, and against one that has
// failed and is called all the time.
func TestCallBackoff(t *testing.T) {
	const ms = time.Millisecond
	Convey("the time doubles with each failure in succession", t, func() {
		var b CallBackoff
		So(b.Ends(MinCallBackoff, 0), ShouldBeTrue)
		now := 10 * time.Second
		for _, d := range []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 1600 * ms, MaxCallBackoff, MaxCallBackoff} {
			b.Failed(now-50*ms, now)
			So(b.Ends(MinCallBackoff, now+d), ShouldBeFalse)
			now += d + ms
			So(b.Ends(MinCallBackoff, now), ShouldBeTrue)
			now += 50 * ms
		}
	})
	Convey("calls that fail together count once, and earlier failures are forgotten", t, func() {
		var b CallBackoff
		for i := range 20 {
			b.Failed(0, 50*ms+time.Duration(i))
		}
		So(b.Ends(MinCallBackoff, 151*ms), ShouldBeTrue)
		b.Failed(10*time.Second, 10*time.Second+50*ms)
		So(b.Ends(MinCallBackoff, 10*time.Second+151*ms), ShouldBeTrue)
	})
	Convey("a call that costs much is not repeated for the longest time at once", t, func() {
		var b CallBackoff
		b.Failed(0, ms)
		So(b.Ends(MaxCallBackoff, MaxCallBackoff), ShouldBeFalse)
	})
}

// TestCallBackoffAtSlowPeers replays an instance that asks a peer four times a second, where one of twenty answers is late. It guards
// against placing a large part of the requests without asking: with a fixed time of 2 s it is more than a quarter.
func TestCallBackoffAtSlowPeers(t *testing.T) {
	const calls, bound = 20_000, 0.05
	blind := func(first time.Duration) float64 {
		random, now, n := rand.New(rand.NewPCG(5, 1)), time.Duration(0), 0
		var b CallBackoff
		for range calls {
			now += time.Duration(random.ExpFloat64() * float64(250*time.Millisecond))
			switch {
			case !b.Ends(first, now):
				n++
			case random.IntN(20) == 0:
				b.Failed(now, now+50*time.Millisecond)
			default:
				b = CallBackoff{}
			}
		}
		return float64(n) / calls
	}
	Convey("few requests are placed without asking", t, func() {
		So(blind(MinCallBackoff), ShouldBeLessThan, bound)
		So(blind(MaxCallBackoff), ShouldBeGreaterThan, 0.25)
	})
}
