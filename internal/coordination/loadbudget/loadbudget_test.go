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

// TestPermits guards against the fleet exceeding the store's limits while permits move between instances,
// transfers are lost, repeated or reordered, and loads end at any time.
func TestPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		l := NewLimits(config.WeightStore{LoadsPerSecond: 4, FullSpeed: 1, MaxInFlight: 6})
		now := t0
		var pools []*PermitPool
		for i := range instances {
			pools = append(pools, NewPermitPool(fmt.Sprint(i), l, map[int]int{0: l.Permits}[i], now))
		}
		var starts []time.Time
		var sent []Transfer
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			p := pools[i]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if p.Acquire(now) {
					starts = append(starts, now)
				}
			case 1:
				p.Release(now)
			case 2:
				if x, ok := p.StartTransfer(fmt.Sprint((i+1)%instances), rapid.IntRange(1, 3).Draw(t, "n"), now); ok {
					sent = append(sent, x)
				}
			case 3: // deliver any transfer sent so far, possibly again or out of order
				if len(sent) > 0 {
					x := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "transfer")]
					to := pools[x.To[0]-'0']
					pools[x.From[0]-'0'].Acknowledge(x.To, to.Receive(x, now))
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			}
			held, inUse := 0, 0
			for _, p := range pools {
				held, inUse = held+p.Held(), inUse+p.InUse()
			}
			if held > l.Permits || inUse > l.Permits {
				t.Fatalf("%d permits held and %d in use, at most %d may be", held, inUse, l.Permits)
			}
			recent := 0
			for _, at := range starts {
				if now.Sub(at) < l.Cooldown {
					recent++
				}
			}
			if recent > l.Permits {
				t.Fatalf("%d loads started within %v, at most %d may start", recent, l.Cooldown, l.Permits)
			}
		}
		// Once every transfer has arrived, no permit is missing.
		held := 0
		for _, p := range pools {
			for _, other := range pools {
				for _, x := range slices.Clone(p.Unacknowledged(other.self)) {
					p.Acknowledge(other.self, other.Receive(x, now))
				}
			}
		}
		for _, p := range pools {
			held += p.Held()
		}
		if held != l.Permits {
			t.Fatalf("%d permits held after all transfers arrived, want %d", held, l.Permits)
		}
	})
}

// TestPlanTransfer guards against an instance with many loads keeping every permit, and against permits staying
// with an idle instance while another one has loads waiting.
func TestPlanTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		l := NewLimits(config.WeightStore{LoadsPerSecond: 7, FullSpeed: 3, MaxInFlight: 24})
		var pools []*PermitPool
		var demands [instances]int
		remaining := l.Permits
		for i := range instances {
			n := rapid.IntRange(0, remaining).Draw(t, "held")
			if i == instances-1 {
				n = remaining
			}
			remaining -= n
			pools = append(pools, NewPermitPool(fmt.Sprint(i), l, n, t0))
			demands[i] = rapid.IntRange(0, 60).Draw(t, "loads")
		}
		for range 10 {
			for i, p := range pools {
				var peers []Demand
				for j, peer := range pools {
					if j != i {
						peers = append(peers, Demand{peer.self, demands[j], peer.Held()})
					}
				}
				if to, n := p.PlanTransfer(demands[i], peers); n > 0 {
					x, _ := p.StartTransfer(to, n, t0)
					p.Acknowledge(to, pools[to[0]-'0'].Receive(x, t0))
				}
			}
		}
		held := 0
		for i, p := range pools {
			held += p.Held()
			if least := min(demands[i], l.Permits/instances); p.Held() < least {
				t.Fatalf("instance %d wants %d and holds %d, want at least %d", i, demands[i], p.Held(), least)
			}
		}
		if held != l.Permits {
			t.Fatalf("%d permits held, want %d", held, l.Permits)
		}
	})
}

// TestQueueFair checks that while two workspaces have loads queued, the numbers of loads started for each differ
// by at most one, however many loads one of them has queued.
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
		started := map[string]int{}
		for started["small"] < small {
			l := q.Next(t0)
			if l == nil {
				t.Fatal("Next returned no load although some are queued")
			}
			started[l.Workspace]++
			if d := started["large"] - started["small"]; d > 1 || d < -1 {
				t.Fatalf("numbers of started loads differ by %d, want at most 1", d)
			}
		}
	})
}

func TestQueue(t *testing.T) {
	Convey("Given a queue", t, func() {
		q := newQueue()
		Convey("all waiting requests share one load", func() {
			So(q.Enqueue(ref(0), "w", 1, 0, t0, t0), ShouldBeTrue)
			So(q.Enqueue(ref(0), "w", 2, 0, t0, t0), ShouldBeFalse)
			So(q.Next(t0).Waiting, ShouldEqual, 2)
			So(q.Next(t0), ShouldBeNil)
			So(q.Enqueue(ref(0), "w", 3, 0, t0, t0), ShouldBeFalse)
		})
		Convey("the load with more waiting requests is first, then that of the more popular adapter", func() {
			q.Enqueue(ref(0), "w", 1, 1, t0, t0)
			q.Enqueue(ref(1), "w", 1, 5, t0, t0)
			q.Enqueue(ref(2), "w", 2, 0, t0, t0)
			So(q.Next(t0).Adapter, ShouldResemble, ref(2))
			So(q.Next(t0).Adapter, ShouldResemble, ref(1))
		})
		Convey("a failed load backs off, avoids the engine and does not delay others", func() {
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
		Convey("the load for a batch request is delayed, unless a request of another class needs it", func() {
			due := q.Due(config.Batch, t0, time.Time{})
			So(due.Sub(t0), ShouldEqual, time.Minute)
			So(q.Due(config.Batch, t0, t0.Add(time.Minute)).Sub(t0), ShouldEqual, 15*time.Second)
			So(q.Due(config.Interactive, t0, time.Time{}), ShouldEqual, t0)
			q.Enqueue(ref(0), "w", 1, 0, due, t0)
			q.Enqueue(ref(0), "w", 9, 0, due.Add(time.Second), t0.Add(time.Second))
			So(q.Next(due.Add(-time.Second)), ShouldBeNil)
			q.Enqueue(ref(1), "w", 1, 0, due, due)
			So(q.Next(due).Adapter, ShouldResemble, ref(1)) // the nine requests of the delayed load give it no precedence
			So(q.Next(due).Adapter, ShouldResemble, ref(0))
			q.Enqueue(ref(2), "w", 1, 0, due, t0)
			q.Enqueue(ref(2), "w", 2, 0, t0, t0)
			So(q.Next(t0).Adapter, ShouldResemble, ref(2))
		})
		Convey("a load without waiting requests is removed, unless it is running", func() {
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
