package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnreadyWait replays callers that arrive steadily while all instances start: none comes back before the start is
// expected to be over, and they do not come back all at once.
func TestUnreadyWait(t *testing.T) {
	const perSecond = 1000
	random := rand.New(rand.NewPCG(1, 1))
	returns := map[time.Duration]int{}
	early := 0
	for arrival := time.Duration(0); arrival < expectedStart; arrival += time.Second / perSecond {
		at := arrival + UnreadyWait(arrival, random.Float64())
		if at < expectedStart {
			early++
		}
		returns[at.Truncate(100*time.Millisecond)]++
	}
	busiest := 0
	for _, n := range returns {
		busiest = max(busiest, n)
	}
	Convey("callers return after the start, at no more than about twice the rate of their arrival", t, func() {
		So(early, ShouldEqual, 0)
		So(busiest, ShouldBeLessThanOrEqualTo, 2*perSecond/10)
	})
	Convey("later they return soon, since another instance may serve them", t, func() {
		So(UnreadyWait(expectedStart, 1), ShouldEqual, unreadyWait)
		So(UnreadyWait(time.Hour, 0), ShouldEqual, unreadyWait)
	})
}
