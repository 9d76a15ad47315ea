package workerload

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	plainWork   = 20 * time.Millisecond
	plainExpiry = time.Second
)

// fillPlain gives places to a number of requests at the same time.
func fillPlain(l *Plain, n int, now time.Duration) []uint64 {
	var places []uint64
	for range n {
		place, _ := l.Admit(Bounds{MaxWait: time.Hour}, plainExpiry, now)
		places = append(places, place)
	}
	return places
}

// TestPlain checks what a keeper expects of its worker, in particular that lost reports, failures and rejections make it neither
// close the worker for good nor send it the requests of all.
func TestPlain(t *testing.T) {
	// Each case begins with a worker that has learned its time, at the time now.
	for name, check := range map[string]func(l *Plain, now time.Duration){
		"a worker with room lets no request wait, and a full one until a place is free": func(l *Plain, now time.Duration) {
			So(l.Room(now), ShouldEqual, testSlots/plainWork.Seconds())
			fillPlain(l, testSlots, now)
			So(l.Room(now), ShouldEqual, 0)
			So(l.Wait(now+plainWork/4), ShouldEqual, plainWork*3/4)
			fillPlain(l, testSlots, now)
			So(l.Wait(now), ShouldEqual, 2*plainWork)
		},
		"one that stands still is expected to stand still on, until the requests' deadlines": func(l *Plain, now time.Duration) {
			fillPlain(l, testSlots, now)
			So(l.Wait(now+10*plainWork), ShouldEqual, 9*plainWork)
			So(l.Running(now+plainExpiry-1), ShouldEqual, testSlots)
			So(l.Running(now+plainExpiry), ShouldEqual, 0)
		},
		"a report to an earlier keeper ends no place of a later one": func(_ *Plain, now time.Duration) {
			earlier, later := NewPlain(testSlots, 1000), NewPlain(testSlots, 2000)
			fillPlain(later, 1, now)
			later.End(fillPlain(earlier, 1, now)[0], Completed, now)
			So(later.Running(now), ShouldEqual, 1)
		},
		"a waiting request's time is counted from when it began": func(l *Plain, now time.Duration) {
			for i, p := range fillPlain(l, 2*testSlots, now) {
				l.End(p, Completed, now+time.Duration(1+i/testSlots)*plainWork)
			}
			So(l.Time(), ShouldEqual, plainWork)
		},
		"one that fails requests at once has less and less room, until its first answer": func(l *Plain, now time.Duration) {
			failed := 0
			for end := now + 50*plainWork; now < end; now += time.Millisecond {
				if place, _ := l.Admit(Bounds{}, plainExpiry, now); place != 0 {
					l.End(place, Failed, now)
					failed++
				}
			}
			So(failed, ShouldBeLessThan, 5*testSlots)
			now += plainExpiry
			l.End(fillPlain(l, 1, now)[0], Completed, now+plainWork)
			l.End(fillPlain(l, 1, now+plainWork)[0], Failed, now+plainWork)
			So(l.Running(now+2*plainWork), ShouldEqual, 0)
		},
		"requests that are given up show that it is slow, and do not close it if it is not": func(l *Plain, now time.Duration) {
			l.End(fillPlain(l, 1, now)[0], Abandoned, now)
			So(l.Running(now), ShouldEqual, 0)
			So(l.Time(), ShouldEqual, plainWork)
			l.End(fillPlain(l, 1, now)[0], Abandoned, now+plainExpiry/2)
			So(l.Time(), ShouldBeGreaterThan, plainWork)
		},
		"one that rejects waiting requests is sent no more of them, until it completes those that it takes": func(l *Plain, now time.Duration) {
			places := fillPlain(l, testSlots+2, now)
			l.End(places[testSlots], Rejected, now)
			l.End(places[testSlots+1], Unsent, now)
			So(fillPlain(l, 1, now)[0], ShouldEqual, 0)
			l.End(places[0], Completed, now+plainWork)
			l.End(places[1], Completed, now+plainWork)
			So(fillPlain(l, testSlots+1, now+plainWork)[testSlots], ShouldNotEqual, 0)
		},
		"one that is too slow is declined, but for a probe": func(l *Plain, now time.Duration) {
			quick := Bounds{MaxWait: plainWork, Within: plainWork / 2}
			declined, o := l.Admit(quick, plainExpiry, now)
			probe, _ := l.Admit(quick, plainExpiry, now+probeInterval)
			So(declined, ShouldEqual, 0)
			So(o.Time, ShouldEqual, plainWork)
			So(probe, ShouldNotEqual, 0)
		},
	} {
		l, now := NewPlain(testSlots, 0), time.Duration(0)
		for range 60 {
			l.End(fillPlain(l, 1, now)[0], Completed, now+plainWork)
			now += plainWork
		}
		Convey(name, t, func() { check(l, now) })
	}
}

// TestOrder checks that the own data centre is preferred only while it has room, and that no worker gets the requests of all.
func TestOrder(t *testing.T) {
	roomy, full := Outlook{Room: 100, Time: plainWork}, Outlook{Wait: 40 * time.Millisecond, Time: plainWork}
	const remote = 2 * time.Millisecond
	times := Times{Target: second, Slack: second, Left: 5 * second}
	slow := Outlook{Room: 100, Time: second}
	for name, c := range map[string]struct {
		list []Candidate
		// least and most are bounds of the share in which the first candidate is asked first.
		least, most float64
	}{
		"a worker of the own data centre is preferred, but not by all": {[]Candidate{{Outlook: roomy}, {Outlook: roomy, Path: remote}, {Outlook: roomy, Path: remote}}, 0.6, 0.9},
		"one that has no room is hardly asked while another one has":   {[]Candidate{{Outlook: full}, {Outlook: roomy, Path: remote}}, 0.01, 0.05},
		"a slow one is hardly asked":                                   {[]Candidate{{Outlook: slow}, {Outlook: roomy, Path: remote}}, 0.01, 0.15},
		"one that backs off is not asked":                              {[]Candidate{{Outlook: roomy, Backoff: second}, {Outlook: full, Path: remote}}, 0, 0.001},
	} {
		Convey(name, t, func() {
			share := 0.0
			for x := 0.0; x < 1; x += 0.01 {
				if Order(c.list, times, func() float64 { return x })[0] == 0 {
					share += 0.01
				}
			}
			So(share, ShouldBeBetweenOrEqual, c.least, c.most)
		})
	}
}

// TestExtent guards against keepers in fleets whose instances know the load themselves, or before all workers of a service are
// registered, and against placement that changes with each restart while the numbers of places and instances are close.
func TestExtent(t *testing.T) {
	workers := func(n int) []int { return slices.Repeat([]int{6}, n) }
	settled := func(slots []int, instances int) *Extent {
		e := &Extent{}
		for now := range extentSettling / time.Second {
			So(e.NeedsKeepers(slots, instances, now*time.Second), ShouldBeFalse)
		}
		return e
	}
	// changes counts how often the placement changes within ten minutes, in which the number of workers or instances falls for a time
	// of each two minutes.
	changes := func(least, most, fewest, instances int, fall time.Duration) (n int, kept bool) {
		e := &Extent{}
		for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
			w, i := most, instances
			if now%(2*time.Minute) >= 2*time.Minute-fall {
				w, i = least, fewest
			}
			if k := e.NeedsKeepers(workers(w), i, now); k != kept {
				n, kept = n+1, k
			}
		}
		return n, kept
	}
	Convey("keepers place requests where instances have too few to know the load", t, func() {
		So(settled(workers(4), 85).NeedsKeepers(workers(4), 85, extentSettling), ShouldBeTrue)
		So(settled(workers(4), 25).NeedsKeepers(workers(4), 25, extentSettling), ShouldBeTrue)
		So(settled(workers(4), 24).NeedsKeepers(workers(4), 24, extentSettling), ShouldBeFalse)
		So(settled([]int{6, 0}, 85).NeedsKeepers([]int{6, 0}, 85, extentSettling), ShouldBeFalse)
		So(settled(nil, 85).NeedsKeepers(nil, 85, extentSettling), ShouldBeFalse)
	})
	Convey("an unknown number of places ends it at once, and as many places as instances after a while", t, func() {
		e := settled(workers(4), 85)
		So(e.NeedsKeepers(workers(4), 85, extentSettling), ShouldBeTrue)
		So(e.NeedsKeepers(workers(4), 24, 10*time.Second), ShouldBeTrue)
		So(e.NeedsKeepers(workers(4), 24, 10*time.Second+extentMemory), ShouldBeFalse)
		e = settled(workers(4), 85)
		So(e.NeedsKeepers(workers(4), 85, extentSettling), ShouldBeTrue)
		So(e.NeedsKeepers([]int{6, 0}, 85, extentSettling), ShouldBeFalse)
	})
	Convey("a small fleet has no keepers, also if it loses workers", t, func() {
		for instances := range minKeptInstances {
			n, _ := changes(1, 1, instances, instances, time.Minute)
			So(n, ShouldEqual, 0)
		}
		n, _ := changes(1, 3, 12, 12, 50*time.Second)
		So(n, ShouldEqual, 0)
	})
	Convey("workers that register one after another do not cause keepers", t, func() {
		e := &Extent{}
		for now := range time.Duration(20) {
			So(e.NeedsKeepers(workers(min(4, 1+int(now)/2)), 20, now*time.Second), ShouldBeFalse)
		}
	})
	Convey("restarts do not change the placement", t, func() {
		n, kept := changes(4, 4, 23, 25, 30*time.Second)
		So(kept, ShouldBeTrue)
		So(n, ShouldEqual, 1)
		n, kept = changes(3, 4, 24, 24, 50*time.Second)
		So(kept, ShouldBeFalse)
		So(n, ShouldEqual, 0)
	})
}

// TestPlainHoldBeforeDeadline guards against the refusal of a request that a worker is expected to begin before its deadline, because
// the usual hold reaches beyond that, and against a hold after which it can no longer begin in time.
func TestPlainHoldBeforeDeadline(t *testing.T) {
	const ms = time.Millisecond
	Convey("a request is held until a worker can just begin it in time", t, func() {
		list := []Candidate{{Outlook: Outlook{Time: 30 * ms}}}
		declined := []PlainAnswer{{Answer{Known: true, Wait: 80 * ms}, 0, 30 * ms}}
		for left, expected := range map[time.Duration]Step{2000 * ms: Hold, 300 * ms: Hold, 90 * ms: Hold, 80 * ms: Refuse, 20 * ms: Refuse} {
			c := ChoosePlain(list, declined, Times{Target: 500 * ms, Slack: -100 * ms, Left: left}, 0)
			So(c.Step, ShouldEqual, expected)
			if c.Step == Hold {
				So(c.After, ShouldBeBetweenOrEqual, callTime, left-80*ms)
			}
		}
	})
}

// TestChoosePlain checks each step, in particular that a late request takes no room from those that are on time, and that one for
// which there is no time is refused at once.
func TestChoosePlain(t *testing.T) {
	const ms = time.Millisecond
	list := []Candidate{{Outlook: Outlook{Room: 1, Time: 30 * ms}}, {Outlook: Outlook{Room: 1, Time: 30 * ms}}}
	onTime, late := Times{150 * ms, 150 * ms, 1500 * ms}, Times{150 * ms, -ms, 1350 * ms}
	declined := func(index int, wait time.Duration) PlainAnswer {
		return PlainAnswer{Answer{Known: true, Wait: wait}, index, 30 * ms}
	}
	admitted, unknown := PlainAnswer{Answer{Known: true, Admitted: true}, 0, 30 * ms}, PlainAnswer{}
	for name, c := range map[string]struct {
		times   Times
		answers []PlainAnswer
		step    Step
		index   int
	}{
		"asks the first":                          {onTime, nil, Ask, 0},
		"sends where it has a place":              {onTime, []PlainAnswer{admitted}, Send, 0},
		"sends if nothing is known":               {onTime, []PlainAnswer{unknown}, Send, 0},
		"asks the next":                           {onTime, []PlainAnswer{declined(0, 80*ms)}, Ask, 1},
		"asks again where it waits least":         {onTime, []PlainAnswer{declined(0, 60*ms), declined(1, 80*ms)}, Ask, 0},
		"does not go where nothing is known":      {onTime, []PlainAnswer{declined(0, 300*ms), {Index: 1}}, Hold, 0},
		"is held if it would be late":             {onTime, []PlainAnswer{declined(0, 300*ms), declined(1, 300*ms)}, Hold, 0},
		"is held if it is late and none has room": {late, []PlainAnswer{declined(0, 40*ms), declined(1, 60*ms)}, Hold, 0},
		"is refused if there is no time":          {late, []PlainAnswer{declined(0, 1400*ms), declined(1, 1500*ms)}, Refuse, 0},
	} {
		Convey(name, t, func() {
			got := ChoosePlain(list, c.answers, c.times, 0.5)
			So(got.Step, ShouldEqual, c.step)
			So(got.Index, ShouldEqual, c.index)
		})
	}
	Convey("a late request asks for less than one that is on time", t, func() {
		So(ChoosePlain(list[:1], nil, late, 0).Bounds.MaxWait, ShouldBeLessThan, ChoosePlain(list[:1], nil, onTime, 0).Bounds.MaxWait/5)
	})
	Convey("refused callers return at different times, within the time for which they wait", t, func() {
		for _, left := range []time.Duration{600 * ms, 3 * second, time.Hour} {
			earliest, latest := SpreadRetry(500*ms, left, 0), SpreadRetry(500*ms, left, 0.999)
			So(latest-earliest, ShouldBeGreaterThanOrEqualTo, 90*ms)
			So(latest, ShouldBeLessThanOrEqualTo, min(left/3, second))
		}
	})
}
