package loadbudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
)

var t0 = time.Unix(1_700_000_000, 0)

func ref(i int) adapter.Ref { return adapter.Ref{Name: fmt.Sprintf("a%d", i), Version: "1"} }

func newQueue() *Queue { return NewQueue(DefaultQueueConfig(), rand.New(rand.NewPCG(1, 1))) }

// TestPermits guards against the fleet exceeding the store's limits while permits move, transfers
// are lost, repeated or reordered, and loads end at any time.
func TestPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		l := NewLimits(config.WeightStore{LoadsPerSecond: 4, FullSpeed: 1, MaxInFlight: 6})
		now := t0
		var shares []*PermitPool
		for i := range instances {
			shares = append(shares, NewPermitPool(fmt.Sprint(i), l, map[int]int{0: l.Permits}[i], now))
		}
		var starts []time.Time
		var sent []Transfer
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			s := shares[i]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if s.Acquire(now) {
					starts = append(starts, now)
				}
			case 1:
				s.Release(now)
			case 2:
				if x, ok := s.StartTransfer(fmt.Sprint((i+1)%instances), rapid.IntRange(1, 3).Draw(t, "n"), now); ok {
					sent = append(sent, x)
				}
			case 3: // any transfer ever sent, also again or out of order
				if len(sent) > 0 {
					x := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "transfer")]
					to := shares[x.To[0]-'0']
					shares[x.From[0]-'0'].Acknowledge(x.To, to.Receive(x, now))
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			}
			held, inUse := 0, 0
			for _, s := range shares {
				held, inUse = held+s.Held(), inUse+s.InUse()
			}
			if held > l.Permits || inUse > l.Permits {
				t.Fatalf("%d permits held, %d in use, of %d", held, inUse, l.Permits)
			}
			recent := 0
			for _, at := range starts {
				if now.Sub(at) < l.Cooldown {
					recent++
				}
			}
			if recent > l.Permits {
				t.Fatalf("%d loads started within %v, at most %d may", recent, l.Cooldown, l.Permits)
			}
		}
		// With nothing lost for good and nothing in flight, no permit is missing.
		held := 0
		for _, s := range shares {
			for _, other := range shares {
				for _, x := range slices.Clone(s.Unacknowledged(other.self)) {
					s.Acknowledge(other.self, other.Receive(x, now))
				}
			}
		}
		for _, s := range shares {
			held += s.Held()
		}
		if held != l.Permits {
			t.Fatalf("%d permits after all transfers arrived, want %d", held, l.Permits)
		}
	})
}

// TestBalance guards against an instance with many loads that keeps every permit, and against permits
// that stay with an idle instance while another one waits.
func TestBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		l := NewLimits(config.WeightStore{LoadsPerSecond: 7, FullSpeed: 3, MaxInFlight: 24})
		var shares []*PermitPool
		var want [instances]int
		left := l.Permits
		for i := range instances {
			n := rapid.IntRange(0, left).Draw(t, "held")
			if i == instances-1 {
				n = left
			}
			left -= n
			shares = append(shares, NewPermitPool(fmt.Sprint(i), l, n, t0))
			want[i] = rapid.IntRange(0, 60).Draw(t, "loads")
		}
		for range 10 {
			for i, s := range shares {
				var peers []Demand
				for j, p := range shares {
					if j != i {
						peers = append(peers, Demand{p.self, want[j], p.Held()})
					}
				}
				if to, n := s.PlanTransfer(want[i], peers); n > 0 {
					x, _ := s.StartTransfer(to, n, t0)
					s.Acknowledge(to, shares[to[0]-'0'].Receive(x, t0))
				}
			}
		}
		held := 0
		for i, s := range shares {
			held += s.Held()
			if least := min(want[i], l.Permits/instances); s.Held() < least {
				t.Fatalf("instance %d wants %d and holds %d, want at least %d", i, want[i], s.Held(), least)
			}
		}
		if held != l.Permits {
			t.Fatalf("%d permits, want %d", held, l.Permits)
		}
	})
}

// TestQueueFair compares grants with an oracle: while two workspaces have loads waiting, their grants
// differ by one at most, however many loads one of them has.
func TestQueueFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		large := rapid.IntRange(50, 200).Draw(t, "large")
		small := rapid.IntRange(1, 20).Draw(t, "small")
		for i := range large {
			q.Enqueue(ref(i), "large", 1, float64(i), t0, t0)
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "head start") {
			_ = i
			q.Next(t0)
		}
		for i := range small {
			q.Enqueue(ref(1000+i), "small", 1, 0, t0, t0)
		}
		got := map[string]int{}
		for got["small"] < small {
			l := q.Next(t0)
			if l == nil {
				t.Fatal("no load although some wait")
			}
			got[l.Workspace]++
			if d := got["large"] - got["small"]; d > 1 || d < -1 {
				t.Fatalf("grants differ by %d", d)
			}
		}
	})
}

func TestQueue(t *testing.T) {
	Convey("Given a queue", t, func() {
		q := newQueue()
		Convey("one load serves all waiting requests", func() {
			So(q.Enqueue(ref(0), "w", 1, 0, t0, t0), ShouldBeTrue)
			So(q.Enqueue(ref(0), "w", 2, 0, t0, t0), ShouldBeFalse)
			So(q.Next(t0).Waiting, ShouldEqual, 2)
			So(q.Next(t0), ShouldBeNil)
			So(q.Enqueue(ref(0), "w", 3, 0, t0, t0), ShouldBeFalse)
		})
		Convey("more waiting requests go first, then the more popular adapter", func() {
			q.Enqueue(ref(0), "w", 1, 1, t0, t0)
			q.Enqueue(ref(1), "w", 1, 5, t0, t0)
			q.Enqueue(ref(2), "w", 2, 0, t0, t0)
			So(q.Next(t0).Adapter, ShouldResemble, ref(2))
			So(q.Next(t0).Adapter, ShouldResemble, ref(1))
		})
		Convey("a failed load backs off, avoids the engine and leaves others alone", func() {
			q.Enqueue(ref(0), "w", 9, 0, t0, t0)
			q.Enqueue(ref(1), "w", 1, 0, t0, t0)
			q.Next(t0)
			at := q.Failed(ref(0), "e1", t0)
			So(at.Sub(t0), ShouldBeBetweenOrEqual, 125*time.Millisecond, 250*time.Millisecond)
			So(q.Next(t0).Adapter, ShouldResemble, ref(1))
			So(q.Next(t0), ShouldBeNil)
			So(q.Waiting(), ShouldEqual, 1)
			q.Loaded(ref(1))
			So(q.Waiting(), ShouldEqual, 1)
			l := q.Next(at)
			So(q.Waiting(), ShouldEqual, 0)
			So(l.Adapter, ShouldResemble, ref(0))
			So(l.Avoid, ShouldResemble, []string{"e1"})
			for range 40 {
				at = q.Failed(ref(0), "e2", t0)
			}
			So(at.Sub(t0), ShouldBeLessThanOrEqualTo, 10*time.Second)
		})
		Convey("the load for a batch request waits for more, unless another class wants it", func() {
			due := q.Due(config.Batch, t0, time.Time{})
			So(due.Sub(t0), ShouldEqual, time.Minute)
			So(q.Due(config.Batch, t0, t0.Add(time.Minute)).Sub(t0), ShouldEqual, 15*time.Second)
			So(q.Due(config.Interactive, t0, time.Time{}), ShouldEqual, t0)
			q.Enqueue(ref(0), "w", 1, 0, due, t0)
			q.Enqueue(ref(0), "w", 9, 0, due.Add(time.Second), t0.Add(time.Second))
			So(q.Next(due.Add(-time.Second)), ShouldBeNil)
			q.Enqueue(ref(1), "w", 1, 0, due, due)
			So(q.Next(due).Adapter, ShouldResemble, ref(1)) // nine that may wait give no precedence
			So(q.Next(due).Adapter, ShouldResemble, ref(0))
			q.Enqueue(ref(2), "w", 1, 0, due, t0)
			q.Enqueue(ref(2), "w", 2, 0, t0, t0)
			So(q.Next(t0).Adapter, ShouldResemble, ref(2))
		})
		Convey("a load that nobody waits for is dropped, unless it is under way", func() {
			q.Enqueue(ref(0), "w", 1, 0, t0, t0)
			q.Cancel(ref(0))
			So(q.Contains(ref(0)), ShouldBeFalse)
			q.Enqueue(ref(0), "w", 1, 0, t0, t0)
			q.Next(t0)
			q.Cancel(ref(0))
			So(q.Contains(ref(0)), ShouldBeTrue)
		})
	})
}
