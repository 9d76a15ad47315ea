package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestWindowBound guards the rate over the fleet: whatever instances ask for and however their parts move, no window
// sees more than the rate and burst, the debts and the largest request of each instance allow.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, allowance, largest = 1000.0, 1000.0, 50.0, 200.0
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		buckets := make([]*Bucket, n)
		demand := make([]*Demand, n)
		for i := range buckets {
			demand[i] = NewDemand(time.Second)
			buckets[i] = NewBucket(rate/float64(n), burst/float64(n), true, 0)
			buckets[i].Set(rate/float64(n), burst/float64(n), 0)
		}
		type spent struct {
			at    time.Duration
			units float64
		}
		var log []spent
		now := time.Duration(0)
		for range rapid.IntRange(20, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			units := rapid.Float64Range(1, largest).Draw(t, "units")
			demand[i].Add(units, now)
			if _, ok := buckets[i].Take(units, allowance, now); ok {
				log = append(log, spent{now, units})
			}
			if rapid.IntRange(0, 9).Draw(t, "rebalance") == 0 {
				all := 0.0
				for k := range demand {
					all += demand[k].Rate(now)
				}
				for k := range buckets {
					p := Part(demand[k].Rate(now), all, rate, n)
					buckets[k].Set(rate*p, burst*p, now)
				}
			}
		}
		for i := range log {
			sum := 0.0
			for _, s := range log[i:] {
				sum += s.units
				bound := rate*(s.at-log[i].at).Seconds() + burst + float64(n)*(allowance+largest)
				if sum > bound+1e-6 {
					t.Fatalf("%.0f units in %v, more than %.0f", sum, s.at-log[i].at, bound)
				}
			}
		}
	})
}

// TestNoSecondBurst guards the burst of a workspace against instances that start again.
func TestNoSecondBurst(t *testing.T) {
	Convey("a bucket of a restarted instance starts empty", t, func() {
		b := NewBucket(100, 100, false, 0)
		_, first := b.Take(10, 0, 0)
		So(first, ShouldBeFalse)
		_, later := b.Take(10, 0, 200*time.Millisecond)
		So(later, ShouldBeTrue)
	})
}

// TestWaitIsEnough guards the time to come back that a refused caller is told.
func TestWaitIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBucket(rapid.Float64Range(50, 5000).Draw(t, "rate"), 100, true, 0)
		units := rapid.Float64Range(1, 300).Draw(t, "units")
		for range 50 {
			if wait, ok := b.Take(units, 0, 0); !ok {
				if wait >= longestWait {
					return
				}
				if _, ok := b.Take(units, 0, wait+time.Millisecond); !ok {
					t.Fatalf("refused again after %v", wait)
				}
				return
			}
		}
	})
}

// TestPartsAddUp guards the division of a rate: parts of all instances are the whole.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 80).Draw(t, "demand")
		all, sum := 0.0, 0.0
		for _, d := range demand {
			all += d
		}
		for _, d := range demand {
			sum += Part(d, all, 500, len(demand))
		}
		if sum > 1+1e-9 || sum < 1-1e-9 {
			t.Fatalf("the parts add up to %f", sum)
		}
	})
}

// TestLeasesApart guards workers against two owners: whatever the sizes of the fleet that two instances see, an owner
// stops before another takes over, and a part is given away after it can no longer be spent.
func TestLeasesApart(t *testing.T) {
	Convey("takeover and reassignment follow the lease told", t, func() {
		for n := 1; n < 1000; n++ {
			p := NewPace(n)
			So(p.Lease, ShouldBeGreaterThanOrEqualTo, 2*p.Beat)
			So(Takeover(p.Lease), ShouldBeGreaterThan, p.Lease)
			So(Reassign(p.Lease), ShouldBeGreaterThan, p.Spend)
		}
	})
}

// TestRisingDemand guards the rate against a rise of demand that instances learn of one after the other: the parts that
// they hold meanwhile, each limited by what its callers ask for, stay below the slack that deployments state.
func TestRisingDemand(t *testing.T) {
	const n, rate, asked, overage = 68, 1000.0, 4.2, 0.1
	const slackSeconds, window = 0.27, 8.0 // slack as a time at the rate, of the largest workspace of the grown sites
	Convey("the excess of one beat is within the slack", t, func() {
		own := asked * rate / n
		excess := 0.0
		for k := 1; k <= n; k++ {
			spent := min(own, rate*Part(OwnDemand(0, own), own*float64(k), rate, n))
			// The k-th to tell holds its part until all have told, at most one beat.
			excess += (spent - rate/n) * longestBeat.Seconds() * float64(n-k) / n
		}
		So(excess, ShouldBeLessThan, rate*(slackSeconds+overage*(window+1)))
	})
}
