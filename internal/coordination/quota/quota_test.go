package quota

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"pgregory.net/rapid"
)

// TestWindowBound guards the rate over the fleet: whatever instances ask for and however their parts move, no window
// sees more than the rate and burst, the debts and the largest request of each instance allow.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, allowance, largest = 1000.0, 1000.0, 50.0, 200.0
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		buckets := make([]*Bucket, n)
		for i := range buckets {
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
			if _, ok := buckets[i].Take(units, allowance, now); ok {
				log = append(log, spent{now, units})
			}
			if rapid.IntRange(0, 9).Draw(t, "members change") == 0 {
				held := rapid.IntRange(1, n).Draw(t, "holders")
				for k := range buckets {
					p := 0.0
					if k < held {
						p = 1 / float64(held)
					}
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

// TestHoldersAgree guards the division of a rate: instances that know the same members name the same holders, whatever
// the order in which they know them, one that leaves or joins changes at most one holder, and small instances hold parts only for want of large ones.
func TestHoldersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		member := rapid.Custom(func(t *rapid.T) rendezvous.Member {
			return rendezvous.Member{Name: rapid.StringMatching(`[a-z]{1,6}`).Draw(t, "name"), Size: rapid.SampledFrom([]int{100, 500}).Draw(t, "size")}
		})
		names := rapid.SliceOfNDistinct(member, 1, 90, func(m rendezvous.Member) string { return m.Name }).Draw(t, "instances")
		held := Holders("w", names)
		if len(held) != min(len(names), maxHolders) {
			t.Fatalf("%d holders of %d instances", len(held), len(names))
		}
		if again := Holders("w", rapid.Permutation(names).Draw(t, "order")); !slices.Equal(held, again) {
			t.Fatalf("%v and %v", held, again)
		}
		large := 0
		for _, m := range names {
			if m.Size == 500 {
				large++
			}
		}
		for i, h := range held {
			small := slices.Contains(names, rendezvous.Member{Name: h, Size: 100})
			if small && i < large {
				t.Fatalf("%s is small, and only %d of %d large instances hold parts", h, i, large)
			}
		}
		gone := rapid.IntRange(0, len(names)-1).Draw(t, "gone")
		fewer := Holders("w", slices.Delete(slices.Clone(names), gone, gone+1))
		moved := 0
		for _, h := range fewer {
			if !slices.Contains(held, h) {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("%d holders changed for one instance", moved)
		}
	})
}

// TestLeasesApart guards workers against two owners: whatever the sizes of the fleet that two instances see, an owner
// stops before another takes over, and a part is given away after it can no longer be spent.
func TestLeasesApart(t *testing.T) {
	Convey("takeover and reassignment follow the lease told", t, func() {
		for n := 1; n < 1000; n++ {
			p := NewTiming(n)
			So(p.LeaseDuration, ShouldBeGreaterThanOrEqualTo, 2*p.HeartbeatInterval)
			So(TakeoverDelay(p.LeaseDuration), ShouldBeGreaterThan, p.LeaseDuration)
			So(ReassignDelay(p.LeaseDuration), ShouldBeGreaterThan, p.SpendDuration)
		}
	})
}
