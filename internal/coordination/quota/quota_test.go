package quota

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"pgregory.net/rapid"
)

// TestWindowBound guards the rate over the fleet: whatever requests arrive and however the shares are reassigned, no
// time window sees more than the rate and burst plus, for each instance, the slack and the largest request.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, slack, largest = 1000.0, 1000.0, 50.0, 200.0
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
			if _, ok := buckets[i].Take(units, slack, now); ok {
				log = append(log, spent{now, units})
			}
			if rapid.IntRange(0, 9).Draw(t, "members change") == 0 {
				holders := rapid.IntRange(1, n).Draw(t, "holders")
				for k := range buckets {
					share := 0.0
					if k < holders {
						share = 1 / float64(holders)
					}
					buckets[k].Set(rate*share, burst*share, now)
				}
			}
		}
		for i := range log {
			sum := 0.0
			for _, s := range log[i:] {
				sum += s.units
				bound := rate*(s.at-log[i].at).Seconds() + burst + float64(n)*(slack+largest)
				if sum > bound+1e-6 {
					t.Fatalf("%.0f units spent in %v, more than the bound of %.0f", sum, s.at-log[i].at, bound)
				}
			}
		}
	})
}

// TestNoSecondBurst guards the burst of a workspace against instances that restart.
func TestNoSecondBurst(t *testing.T) {
	Convey("the bucket of a restarted instance starts empty", t, func() {
		b := NewBucket(100, 100, false, 0)
		_, first := b.Take(10, 0, 0)
		So(first, ShouldBeFalse)
		_, later := b.Take(10, 0, 200*time.Millisecond)
		So(later, ShouldBeTrue)
	})
}

// TestRetryAfterSuffices guards the wait that a refused caller is told: a request after that wait is accepted.
func TestRetryAfterSuffices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBucket(rapid.Float64Range(50, 5000).Draw(t, "rate"), 100, true, 0)
		units := rapid.Float64Range(1, 300).Draw(t, "units")
		for range 50 {
			if wait, ok := b.Take(units, 0, 0); !ok {
				if wait >= maxRetryAfter {
					return
				}
				if _, ok := b.Take(units, 0, wait+time.Millisecond); !ok {
					t.Fatalf("refused again after the announced wait of %v", wait)
				}
				return
			}
		}
	})
}

// TestHoldersAgree guards the division of a rate. Instances that know the same members name the same holders, in
// whatever order they know them. A member that leaves or joins changes at most one holder. Small instances hold shares
// only if there are not enough large ones.
func TestHoldersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		member := rapid.Custom(func(t *rapid.T) rendezvous.Member {
			return rendezvous.Member{Name: rapid.StringMatching(`[a-z]{1,6}`).Draw(t, "name"), Size: rapid.SampledFrom([]int{100, 500}).Draw(t, "size")}
		})
		members := rapid.SliceOfNDistinct(member, 1, 90, func(m rendezvous.Member) string { return m.Name }).Draw(t, "instances")
		holders := Holders("w", members)
		if len(holders) != min(len(members), maxHolders) {
			t.Fatalf("%d holders of %d instances", len(holders), len(members))
		}
		if again := Holders("w", rapid.Permutation(members).Draw(t, "order")); !slices.Equal(holders, again) {
			t.Fatalf("holders depend on the order of the members: %v and %v", holders, again)
		}
		large := 0
		for _, m := range members {
			if m.Size == 500 {
				large++
			}
		}
		for i, h := range holders {
			small := slices.Contains(members, rendezvous.Member{Name: h, Size: 100})
			if small && i < large {
				t.Fatalf("%s is small, and only %d of %d large instances hold shares", h, i, large)
			}
		}
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		remaining := Holders("w", slices.Delete(slices.Clone(members), gone, gone+1))
		added := 0
		for _, h := range remaining {
			if !slices.Contains(holders, h) {
				added++
			}
		}
		if added > 1 {
			t.Fatalf("%d holders changed when one instance left", added)
		}
	})
}

// TestTakeoverAfterLease guards workers against two owners, and shares against two holders. Whatever fleet sizes two
// instances see, an owner stops before another takes over, and a share is reassigned only after it can no longer be
// spent.
func TestTakeoverAfterLease(t *testing.T) {
	Convey("takeover and reassignment wait for the lease in the heartbeat", t, func() {
		for n := 1; n < 1000; n++ {
			timing := NewTiming(n)
			So(timing.LeaseDuration, ShouldBeGreaterThanOrEqualTo, 2*timing.HeartbeatInterval)
			So(TakeoverDelay(timing.LeaseDuration), ShouldBeGreaterThan, timing.LeaseDuration)
			So(ReassignDelay(timing.LeaseDuration), ShouldBeGreaterThan, timing.SpendDuration)
		}
	})
}
