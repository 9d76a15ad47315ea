package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

var t0 = time.Unix(1_700_000_000, 0)

func ref(i int) adapter.Ref { return adapter.Ref{Name: fmt.Sprintf("a%d", i), Version: "1"} }

// newTestFleet returns a fleet whose engines have reported once. If fill is set, all their slots are occupied.
func newTestFleet(adapters, engines, slots int, fill bool) *Fleet {
	pop := NewPopularity(PopularityConfig{Adapters: adapters, SlowHalfLife: time.Minute, FastHalfLife: 10 * time.Second, FastWeight: 0.5}, t0)
	f := New(DefaultPolicy(), pop, rand.New(rand.NewPCG(1, 1)))
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		f.SetEngine(Spec{ID: id, BaseModel: "m", DataCentre: fmt.Sprintf("dc%d", i%3), Slots: slots, Capacity: 8})
		r := Report{Incarnation: "1", Sequence: 1, SampledAt: t0}
		for s := 0; fill && s < slots; s++ {
			r.Resident = append(r.Resident, ReportedSlot{Adapter: ref((i*slots + s) % adapters)})
		}
		f.Report(id, r)
	}
	return f
}

func newRequest(i int) Request {
	return Request{Adapter: ref(i), BaseModel: "m", DataCentre: "dc0", Prefix: 7}
}

func TestDecide(t *testing.T) {
	Convey("Given two engines, of which e0 holds a0", t, func() {
		f := newTestFleet(100, 2, 2, false)
		f.Report("e0", Report{Incarnation: "1", Sequence: 2, SampledAt: t0, Resident: []ReportedSlot{{Adapter: ref(0)}}})
		Convey("a request for a0 is dispatched to e0", func() {
			So(f.Decide(newRequest(0), t0).Engine, ShouldEqual, "e0")
		})
		Convey("an adapter that no engine holds is loaded only once", func() {
			So(f.Decide(newRequest(1), t0).Action, ShouldEqual, NeedLoad)
			So(f.LoadStarted("e1", ref(1), t0), ShouldBeTrue)
			So(f.Decide(newRequest(1), t0).Action, ShouldEqual, Wait)
		})
		Convey("a leaving or ejected engine or one with the adapter retired immediately gets no new requests", func() {
			f.SetLeaving("e0", true)
			So(f.Decide(newRequest(0), t0).Action, ShouldEqual, NeedLoad)
			p, ok := f.PlaceLoad(newRequest(0), nil, t0)
			So(ok && p.Engine == "e1", ShouldBeTrue)
			f.SetLeaving("e0", false)
			f.SetEjected("e0", true)
			So(f.Decide(newRequest(0), t0).Action, ShouldEqual, NeedLoad)
			f.SetEjected("e0", false)
			So(f.Retire("e0", ref(0)), ShouldEqual, 0)
			So(f.Decide(newRequest(0), t0).Action, ShouldEqual, NeedLoad)
		})
		// Guards against a request that waits forever: if an unusable copy counted as a copy, a load would
		// count as replication and might not justify an eviction.
		Convey("a copy on a leaving or ejected engine does not count as usable", func() {
			So(f.HasUsableCopy(ref(0)), ShouldBeTrue)
			f.SetLeaving("e0", true)
			So(f.HasUsableCopy(ref(0)), ShouldBeFalse)
			f.SetLeaving("e0", false)
			f.SetEjected("e0", true)
			So(f.HasUsableCopy(ref(0)), ShouldBeFalse)
			f.SetEjected("e0", false)
			So(f.HasUsableCopy(ref(0)), ShouldBeTrue)
		})
		Convey("an engine with another base model or role is not used", func() {
			r := newRequest(0)
			r.BaseModel = "other"
			So(f.Decide(r, t0).Action, ShouldEqual, NeedLoad)
			f.SetRole("e0", RolePrefill)
			r = newRequest(0)
			r.Role = RoleDecode
			So(f.Decide(r, t0).Action, ShouldEqual, NeedLoad)
		})
		Convey("a restart clears the slots, and a load completed by the old incarnation is ignored", func() {
			f.Report("e0", Report{Incarnation: "2", Sequence: 1, SampledAt: t0})
			So(f.Decide(newRequest(0), t0).Action, ShouldEqual, NeedLoad)
			So(f.Loaded("e0", "1", ref(0), t0), ShouldBeFalse)
		})
		Convey("a report sampled before an eviction does not add the adapter again", func() {
			f.Removed("e0", "1", ref(0), t0.Add(time.Second))
			f.Report("e0", Report{Incarnation: "1", Sequence: 3, SampledAt: t0, Resident: []ReportedSlot{{Adapter: ref(0)}}})
			So(f.Decide(newRequest(0), t0).Action, ShouldEqual, NeedLoad)
		})
		Convey("a full engine causes replication", func() {
			for range 8 {
				f.Started("e0", ref(0), t0)
			}
			d := f.Decide(newRequest(0), t0)
			So(d.Full && d.Replicate, ShouldBeTrue)
		})
	})
}

// TestFreeCapacity guards against a fault in which a full engine nearby was preferred to a distant one with free
// capacity: requests waited, and no additional copy was loaded.
func TestFreeCapacity(t *testing.T) {
	Convey("Given a0 on a full engine nearby and on a distant one with free capacity", t, func() {
		f := newTestFleet(100, 2, 2, false)
		for _, e := range []string{"e0", "e1"} {
			f.Report(e, Report{Incarnation: "1", Sequence: 2, SampledAt: t0, Resident: []ReportedSlot{{Adapter: ref(0)}}})
		}
		for range 8 {
			f.Started("e0", ref(0), t0)
		}
		for range 7 {
			f.Started("e1", ref(0), t0)
		}
		d := f.Decide(newRequest(0), t0)
		So(d.Engine, ShouldEqual, "e1")
		So(d.Full || d.Replicate, ShouldBeFalse)
	})
}

// TestVictim guards against evicting an adapter that is in use, popular, just loaded or needed by waiting requests.
func TestVictim(t *testing.T) {
	Convey("Given one engine with four adapters", t, func() {
		f := newTestFleet(100, 1, 4, true)
		now := t0.Add(time.Minute)
		f.Requested(ref(0), 10, now)
		Convey("the least popular idle adapter is evicted", func() {
			f.Requested(ref(2), 2, now)
			f.Started("e0", ref(1), now)
			p, ok := f.PlaceLoad(newRequest(9), nil, now)
			So(ok, ShouldBeTrue)
			So(p.Victim, ShouldResemble, ref(3))
		})
		Convey("an adapter with waiting requests is not evicted, even if they waited before its load", func() {
			f.SetWaiting(ref(9), 1)
			f.Removed("e0", "1", ref(3), now)
			So(f.LoadStarted("e0", ref(9), now), ShouldBeTrue)
			So(f.Loaded("e0", "1", ref(9), now), ShouldBeTrue)
			for i := range 3 {
				f.Started("e0", ref(i), now)
			}
			_, ok := f.PlaceLoad(newRequest(8), nil, now.Add(time.Hour))
			So(ok, ShouldBeFalse)
		})
		Convey("the value of an additional copy must exceed that of its victim by the margin", func() {
			p := LoadTarget{Engine: "e0", Victim: ref(0)}
			f.Requested(ref(8), 12, now)
			So(f.WorthReplicating(newRequest(8), p, now), ShouldBeFalse)
			f.Requested(ref(8), 5, now)
			So(f.WorthReplicating(newRequest(8), p, now), ShouldBeTrue)
			So(f.WorthReplicating(newRequest(8), LoadTarget{Engine: "e0"}, now), ShouldBeTrue)
		})
		Convey("a free slot is found, so that no load is delayed needlessly", func() {
			So(f.HasFreeSlot(newRequest(9)), ShouldBeFalse)
			f.Removed("e0", "1", ref(3), now)
			So(f.HasFreeSlot(newRequest(9)), ShouldBeTrue)
		})
		Convey("with all adapters in use, no engine is selected", func() {
			for i := range 4 {
				f.Started("e0", ref(i), now)
			}
			_, ok := f.PlaceLoad(newRequest(9), nil, now)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestLaggingReport guards against counting this instance's own requests twice or not at all.
func TestLaggingReport(t *testing.T) {
	Convey("Requests dispatched after a report was sampled are added to its load", t, func() {
		f := newTestFleet(10, 1, 4, true)
		f.Started("e0", ref(0), t0)
		f.Started("e0", ref(0), t0.Add(time.Second))
		f.Report("e0", Report{Incarnation: "1", Sequence: 2, Running: 3, SampledAt: t0.Add(500 * time.Millisecond),
			Resident: []ReportedSlot{{Adapter: ref(0), Running: 1}}})
		So(f.engines["e0"].Load(), ShouldEqual, 4)
		f.Finished("e0", ref(0), t0.Add(2*time.Second))
		So(f.engines["e0"].Load(), ShouldEqual, 3)
	})
}

// TestPrefixGap guards against keeping prefixes that a lost event may have evicted.
func TestPrefixGap(t *testing.T) {
	Convey("A gap in the events clears the prefixes, and a late event is ignored", t, func() {
		var p prefixCache
		p.apply(PrefixEvent{Sequence: 1, Adapter: ref(0), Prefix: 5, Stored: true})
		So(p.contains(ref(0), 5), ShouldBeTrue)
		p.apply(PrefixEvent{Sequence: 3, Adapter: ref(0), Prefix: 6, Stored: true})
		So(p.contains(ref(0), 5), ShouldBeFalse)
		p.apply(PrefixEvent{Sequence: 2, Adapter: ref(0), Prefix: 6})
		So(p.contains(ref(0), 6), ShouldBeTrue)
	})
}

// TestResidencyIndex compares the residency index with a plain map under random events.
func TestResidencyIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines, adapters, slots = 3, 6, 3
		f := newTestFleet(adapters, engines, slots, false)
		now, seq := t0, uint64(1)
		incarnations := map[string]int{"e0": 1, "e1": 1, "e2": 1}
		type key struct {
			e string
			a int
		}
		want := map[key]bool{} // true when resident, false while loading
		slotsInUse := func(e string) (n int) {
			for k := range want {
				if k.e == e {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now, seq = now.Add(time.Second), seq+1
			k := key{fmt.Sprintf("e%d", rapid.IntRange(0, engines-1).Draw(t, "engine")), rapid.IntRange(0, adapters-1).Draw(t, "adapter")}
			incarnation := fmt.Sprint(incarnations[k.e])
			resident, present := want[k]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				ok := !present && slotsInUse(k.e) < slots
				if f.LoadStarted(k.e, ref(k.a), now) != ok {
					t.Fatalf("LoadStarted: want %v", ok)
				}
				if ok {
					want[k] = false
				}
			case 1:
				if f.Loaded(k.e, incarnation, ref(k.a), now) != present {
					t.Fatalf("Loaded: want %v", present)
				}
				if present {
					want[k] = true
				}
			case 2:
				f.Removed(k.e, incarnation, ref(k.a), now)
				delete(want, k)
			case 3: // engine restart
				incarnations[k.e]++
				f.Report(k.e, Report{Incarnation: fmt.Sprint(incarnations[k.e]), Sequence: seq, SampledAt: now})
				for x := range want {
					if x.e == k.e {
						delete(want, x)
					}
				}
			case 4: // a current report, or one sampled before all events, which must not change residency
				sampledAt := now
				r := Report{Incarnation: incarnation, Sequence: seq}
				if rapid.Bool().Draw(t, "late") {
					sampledAt = t0.Add(-time.Second)
				}
				for x, res := range want {
					if x.e == k.e && res {
						r.Resident = append(r.Resident, ReportedSlot{Adapter: ref(x.a)})
					}
				}
				r.SampledAt = sampledAt
				f.Report(k.e, r)
			}
			_ = resident
			for a := range adapters {
				var ids []string
				for x, res := range want {
					if x.a == a && res {
						ids = append(ids, x.e)
					}
				}
				got := f.Resident(nil, ref(a))
				slices.Sort(ids)
				slices.Sort(got)
				if !slices.Equal(ids, got) {
					t.Fatalf("adapter %d: resident on %v, want %v", a, got, ids)
				}
			}
		}
	})
}

// TestPopularityBounded guards against a table that grows with the number of adapters or that replaces
// popular ones.
func TestPopularityBounded(t *testing.T) {
	Convey("After requests for many unpopular adapters, a popular one is still in the table", t, func() {
		p := NewPopularity(PopularityConfig{Adapters: 1000, SlowHalfLife: time.Minute, FastHalfLife: time.Second}, t0)
		p.Add(ref(0), 100, t0)
		for i := 1; i < 50000; i++ {
			p.Add(ref(i), 1, t0)
		}
		So(len(p.sets)*ways, ShouldBeLessThan, 4000)
		So(p.Rate(ref(0), t0), ShouldBeGreaterThan, p.Rate(ref(49999), t0))
	})
}

// TestDecisionAllocations checks that a decision makes at most two heap allocations, since it is on the request
// path.
func TestDecisionAllocations(t *testing.T) {
	f := newTestFleet(3000, 18, 8, true)
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		i++
		if f.Decide(sampleRequests[i%len(sampleRequests)], t0).Action == NeedLoad {
			f.PlaceLoad(sampleRequests[i%len(sampleRequests)], nil, t0.Add(time.Minute))
		}
	}); n > 2 {
		t.Errorf("a decision makes %v allocations, want at most 2", n)
	}
}

var sampleRequests = func() (out []Request) {
	for i := range 1024 {
		out = append(out, newRequest(i))
	}
	return out
}()

// BenchmarkDecide measures one decision at the smallest and the largest fleet size and one in between,
// and reports the nanoseconds that each doubling of the number of engines adds. The targets are 5 us at the
// smallest size and 10 us at the largest.
func BenchmarkDecide(b *testing.B) {
	smallest := map[bool]float64{}
	for _, s := range []struct{ adapters, engines int }{{3000, 18}, {17000, 300}, {93000, 4900}} {
		for _, miss := range []bool{false, true} {
			f := newTestFleet(s.adapters, s.engines, 8, true)
			now := t0.Add(time.Minute)
			for i := range s.adapters {
				f.Requested(ref(i), float64(1+i%7), now)
			}
			resident := min(s.adapters, s.engines*8)
			requests := make([]Request, 4096)
			rnd := rand.New(rand.NewPCG(2, 2))
			for i := range requests {
				requests[i] = newRequest(rnd.IntN(resident))
				if miss {
					requests[i] = newRequest(s.adapters + i)
				}
			}
			b.Run(fmt.Sprintf("adapters=%d/engines=%d/miss=%v", s.adapters, s.engines, miss), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r := requests[i%len(requests)]
					if f.Decide(r, now).Action == NeedLoad {
						f.PlaceLoad(r, nil, now)
					}
				}
				ns := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
				if s.engines == 18 {
					smallest[miss] = ns
				} else {
					b.ReportMetric((ns-smallest[miss])/math.Log2(float64(s.engines)/18), "ns/doubling")
				}
			})
		}
	}
}
