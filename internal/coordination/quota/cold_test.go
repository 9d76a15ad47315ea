package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// coldBound is the number of requests that a cold worker may get in one second: 1.5 times its limit and 5 more.
func coldBound(rate float64) int { return int(1.5*rate + 5) }

// busiestSecond returns the largest number of times within any second.
func busiestSecond(times []time.Duration) int {
	slices.Sort(times)
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestColdWindowBound guards against more requests in a second to a cold worker than it takes, whether instances reach the one
// that meters them or not, also when that one changes, requests are paused between reservation and sending, and the worker has
// named a limit of its own before or besides.
func TestColdWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 120).Draw(t, "instances")
		rate := rapid.SampledFrom([]float64{0.5, 3, 17, 60}).Draw(t, "rate")
		named := rapid.SampledFrom([]float64{0, 2, 40}).Draw(t, "named")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		start, until := time.Hour, time.Hour+time.Duration(rapid.IntRange(3000, 9000).Draw(t, "ms"))*time.Millisecond
		list := make([]*WorkerLimits, instances)
		for i := range list {
			list[i] = NewWorkerLimits()
			if named > 0 {
				list[i].Answered("w", named, true, start)
			}
			list[i].ReportCold(ColdReport{Worker: "w", Rate: rate, Longest: time.Minute, Remaining: time.Minute}, start)
		}
		holder := 0
		changeAt := until
		if rapid.Bool().Draw(t, "change") {
			changeAt = start + time.Duration(r.Int64N(int64(until-start)))
		}
		reached := rapid.SampledFrom([]float64{0, 0.5, 0.8, 1}).Draw(t, "reached")
		maxWait := time.Duration(rapid.SampledFrom([]int64{0, 300, 1000}).Draw(t, "max wait")) * time.Millisecond
		delay := rapid.SampledFrom([]float64{0, 1}).Draw(t, "delayed")
		var sent []time.Duration
		for now := start; now < until; now += time.Duration(r.Int64N(int64(8 * time.Millisecond))) {
			// The holder resigns. Its successor meters once the holder does not count any more.
			between := now >= changeAt && CountsAsColdHolder(true, changeAt, now)
			if now >= changeAt {
				holder = instances - 1
			}
			if r.Float64() < 0.005 {
				// While there are no requests, no capacity is saved up.
				now += time.Duration(r.Int64N(int64(2 * time.Second)))
			}
			asker, wait, ok := list[r.IntN(instances)], time.Duration(0), false
			limit, limited := asker.Rate("w", now)
			if !limited {
				t.Fatal("worker does not count as limited")
			}
			if r.Float64() < reached && !between {
				wait, ok = list[holder].ReserveCold("w", limit, maxWait, now)
			} else {
				p := Place{Rank: slices.Index(list, asker), Count: instances}
				wait, ok = asker.ReserveColdWithoutHolder("w", limit, p, maxWait, 1_780_000_000*time.Second+now, now)
			}
			if ok != (wait <= maxWait) {
				t.Fatalf("reserved %v with a wait of %v", ok, wait)
			}
			if ok {
				sent = append(sent, max(now, now+wait+time.Duration(delay*r.Float64()*float64(ColdDelay(limit)))))
			}
		}
		if n := busiestSecond(sent); n > coldBound(rate) {
			t.Fatalf("%d requests within a second, more than %d", n, coldBound(rate))
		}
	})
}

// TestColdWindowAfterResignation guards against a successor that meters at once after the holder has resigned, while what that one
// has reserved ahead is still being sent.
func TestColdWindowAfterResignation(t *testing.T) {
	const rate, start = 17.0, time.Hour
	var sent []time.Duration
	holder, next := NewWorkerLimits(), NewWorkerLimits()
	for now := start - 2*time.Second; now < start+4*time.Second; now += 10 * time.Millisecond {
		meter := holder
		if now >= start {
			meter = next
			if CountsAsColdHolder(true, start, now) {
				continue
			}
		}
		for wait, ok := meter.ReserveCold("w", rate, MaxColdWait, now); ok; wait, ok = meter.ReserveCold("w", rate, MaxColdWait, now) {
			sent = append(sent, now+wait)
		}
	}
	if n := busiestSecond(sent); n > coldBound(rate) {
		t.Fatalf("%d requests in a second, %d allowed", n, coldBound(rate))
	}
}

// TestSmallColdRateOfManyInstances guards against 91 instances that do not reach the one that meters for all, and together send a
// worker of 3 requests per second one request each, since each has saved up for one.
func TestSmallColdRateOfManyInstances(t *testing.T) {
	const instances, rate = 91, 3.0
	var sent []time.Duration
	for i := range instances {
		l := NewWorkerLimits()
		l.AssumeCold("w", rate, 0)
		for now := time.Hour; now < time.Hour+10*time.Minute; now += 10 * time.Millisecond {
			// After five idle minutes, all have a request at once.
			if now < time.Hour+5*time.Minute {
				continue
			}
			if wait, ok := l.ReserveColdWithoutHolder("w", rate, Place{i, instances}, 20*time.Millisecond, now, now); ok {
				sent = append(sent, now+max(0, wait))
			}
		}
	}
	Convey("they take turns, and use half the limit", t, func() {
		So(busiestSecond(sent), ShouldBeLessThanOrEqualTo, 3)
		So(float64(len(sent)), ShouldBeBetween, 0.45*rate*300, 0.51*rate*300)
	})
}

// TestColdTimes guards against a cold time that ends too early or never, or that its faults change.
func TestColdTimes(t *testing.T) {
	const start, longest = time.Hour, 3 * time.Second
	report := func(l *WorkerLimits, remaining time.Duration, old bool, now time.Duration) ColdFault {
		return l.ReportCold(ColdReport{Worker: "w", Rate: 17, Longest: longest, Remaining: remaining, Old: old}, now)
	}
	Convey("it counts from when the entry was read, and may increase at any moment", t, func() {
		l := NewWorkerLimits()
		report(l, 2*time.Second, false, start)
		So(l.Cold("w", start+2*time.Second-1), ShouldBeTrue)
		So(l.Cold("w", start+2*time.Second), ShouldBeFalse)
		report(l, 3*time.Second, false, start+10*time.Second)
		So(l.Cold("w", start+13*time.Second-1), ShouldBeTrue)
		report(l, 0, false, start+11*time.Second)
		So(l.Cold("w", start+11*time.Second), ShouldBeFalse)
	})
	Convey("an old entry ends no cold time, assumed ones included", t, func() {
		l := NewWorkerLimits()
		report(l, 2*time.Second, false, start)
		report(l, 0, true, start+time.Second)
		So(l.Cold("w", start+2*time.Second-1), ShouldBeTrue)
		l.AssumeCold("w", 17, start)
		report(l, 0, true, start+time.Hour)
		So(l.Cold("w", start+2*time.Hour), ShouldBeTrue)
		report(l, 0, false, start+MaxEntryDelay-1)
		So(l.Cold("w", start+2*time.Hour), ShouldBeTrue)
		report(l, 0, false, start+2*time.Hour)
		So(l.Cold("w", start+2*time.Hour), ShouldBeFalse)
	})
	Convey("each fault is reported once, and counts as 0 or as the longest time", t, func() {
		l := NewWorkerLimits()
		So(report(l, -time.Second, false, start), ShouldEqual, ColdTimeNegative)
		So(report(l, -time.Second, false, start), ShouldEqual, ColdTimeValid)
		So(l.Cold("w", start), ShouldBeFalse)
		So(report(l, time.Hour, false, start), ShouldEqual, ColdTimeTooLong)
		So(l.Cold("w", start+longest-1), ShouldBeTrue)
		So(l.Cold("w", start+longest), ShouldBeFalse)
		So(l.ReportCold(ColdReport{Worker: "w", Rate: 17, Longest: longest, Remaining: 0, Unreadable: true}, start), ShouldEqual, ColdTimeUnreadable)
		So(l.Cold("w", start), ShouldBeFalse)
	})
	Convey("without a limit there is no state, and a limit that is removed ends it", t, func() {
		l := NewWorkerLimits()
		l.ReportCold(ColdReport{Worker: "w", Longest: longest, Remaining: time.Hour}, start)
		l.AssumeCold("w", 0, start)
		report(l, 0, false, start)
		So(l.Empty(), ShouldBeTrue)
		report(l, time.Second, false, start)
		So(l.SetColdRate("w", 0), ShouldBeTrue)
		So(l.Empty(), ShouldBeTrue)
	})
	Convey("the lower limit counts, and the wait for a cold worker ends when it is warm", t, func() {
		l := NewWorkerLimits()
		l.Answered("w", 5, true, start)
		report(l, time.Second, false, start)
		rate, _ := l.Rate("w", start)
		So(rate, ShouldEqual, 5)
		So(l.SetColdRate("w", 2), ShouldBeTrue)
		rate, _ = l.Rate("w", start)
		So(rate, ShouldEqual, 2)
		So(l.Own(start)[0].Rate, ShouldEqual, 5)
		// An instance that does not know the lower limit yet asks for more.
		wait, _ := l.ReserveCold("w", 17, 0, start)
		So(wait, ShouldEqual, 500*time.Millisecond)
		l.SetWait("w", time.Minute, start)
		l.Answered("w", 0, false, start)
		So(l.Wait("w", start), ShouldEqual, time.Minute)
		So(l.Wait("w", start+time.Second), ShouldEqual, 0)
	})
	Convey("a limit without bounds permits what is asked", t, func() {
		l := NewWorkerLimits()
		l.AssumeCold("w", 1e300, start)
		_, ok := l.ReserveColdWithoutHolder("w", 1e300, Place{2, 5}, time.Second, start, start)
		So(ok, ShouldBeTrue)
	})
	Convey("each change between cold and warm is returned once", t, func() {
		l := NewWorkerLimits()
		report(l, time.Second, false, start)
		So(l.ColdChanges(start), ShouldHaveLength, 1)
		report(l, time.Second, false, start)
		So(l.ColdChanges(start), ShouldBeEmpty)
		l.ColdSent("w", start)
		l.ColdSent("w", start+time.Second)
		So(l.ColdChanges(start+time.Second), ShouldResemble, []ColdWorker{{Worker: "w", Rate: 17, Sent: 1}})
		So(l.ColdChanges(start+time.Second), ShouldBeEmpty)
	})
}

// TestTenure guards against two instances that meter the requests to one worker at the same time: one that was cut off from the
// others, and one that has come since.
func TestTenure(t *testing.T) {
	const start, lease = time.Hour, 5 * time.Second
	renewed := func(t *Tenure, at time.Duration, era int64) {
		t.Renew(Renewal{Sent: at, Lease: lease, Era: era, Place: Place{1, 3}}, at)
	}
	Convey("it begins when the leases of all others have ended, and ends with its own", t, func() {
		tenure := &Tenure{}
		So(tenure.MayMeter(lease, lease, start), ShouldBeFalse)
		for at := start; at <= start+8*time.Second; at += 2 * time.Second {
			renewed(tenure, at, 1)
		}
		So(tenure.MayMeter(lease, lease, start+7*time.Second-1), ShouldBeFalse)
		So(tenure.MayMeter(lease, lease, start+13*time.Second), ShouldBeTrue)
		So(tenure.MayMeter(lease, lease, start+13*time.Second+1), ShouldBeFalse)
		So(tenure.MayMeter(2*time.Second, lease, start+11*time.Second), ShouldBeFalse)
		So(tenure.MayMeter(lease, 20*time.Second, start+13*time.Second), ShouldBeFalse)
	})
	Convey("it begins again after a silence, in a new era and after missing records", t, func() {
		for _, interrupt := range []func(t *Tenure){
			func(t *Tenure) { renewed(t, start+17*time.Second+1, 1) },
			func(t *Tenure) { renewed(t, start+13*time.Second, 2) },
			func(t *Tenure) { t.Break(); renewed(t, start+13*time.Second, 1) },
		} {
			tenure := &Tenure{}
			for at := start; at <= start+12*time.Second; at += 2 * time.Second {
				renewed(tenure, at, 1)
			}
			So(tenure.MayMeter(lease, lease, start+12*time.Second), ShouldBeTrue)
			interrupt(tenure)
			So(tenure.MayMeter(lease, lease, tenure.last), ShouldBeFalse)
		}
	})
	Convey("the place in the fleet is known after the start, and while the others count the instance", t, func() {
		tenure := &Tenure{}
		renewed(tenure, start, 1)
		_, known := tenure.Place(start)
		So(known, ShouldBeFalse)
		p, known := tenure.Place(start + 2*lease)
		So(known, ShouldBeTrue)
		So(p, ShouldResemble, Place{1, 3})
		_, known = tenure.Place(start + 2*lease + 1)
		So(known, ShouldBeFalse)
	})
}
