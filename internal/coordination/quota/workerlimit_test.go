package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestReservedWindowBound guards against a holder that permits more requests to a worker in some time than the limit and
// its burst, whatever it is asked, and while the limit changes: then the highest limit of that time counts.
func TestReservedWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxWait = 500 * time.Millisecond
		l := NewWorkerLimits()
		now, highest := time.Hour, 0.0
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		var sendAt []time.Duration
		for range rapid.IntRange(20, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				rate = rapid.Float64Range(0, 20).Draw(t, "rate")
			}
			highest = max(highest, rate, minWorkerRate)
			wait, ok := l.Reserve("w", rate, maxWait, now)
			if ok != (wait <= maxWait) {
				t.Fatalf("reserved %v with a wait of %v", ok, wait)
			}
			if ok {
				sendAt = append(sendAt, now+wait)
			}
		}
		for i, first := range sendAt {
			for k, last := range sendAt[i:] {
				length := (last - first).Seconds() + maxWait.Seconds()
				if bound := highest*length + max(1, highest*limitBurst.Seconds()) + 1; float64(k+1) > bound {
					t.Fatalf("%d requests within %v, more than %.1f", k+1, last-first, bound)
				}
			}
		}
	})
}

// TestLimitKnowledge guards against limits that outlast the worker's need, that older news brings back, and that are
// forgotten while the worker still names them.
func TestLimitKnowledge(t *testing.T) {
	const start = time.Hour
	limitedAt := func(l *WorkerLimits, now time.Duration) bool {
		_, limited := l.Rate("w", now)
		return limited
	}
	Convey("an answer without a limit ends it, and older news does not bring it back", t, func() {
		l := NewWorkerLimits()
		So(l.Answered("w", 5, true, start), ShouldBeTrue)
		So(l.Answered("w", 5, true, start+time.Second), ShouldBeFalse)
		So(l.Answered("w", 0, false, start+2*time.Second), ShouldBeTrue)
		l.Learn(NamedLimit{Worker: "w", Rate: 5, Age: 2 * time.Second}, start+3*time.Second)
		So(limitedAt(l, start+3*time.Second), ShouldBeFalse)
		l.Learn(NamedLimit{Worker: "w", Rate: 5, Age: 0}, start+4*time.Second)
		So(limitedAt(l, start+4*time.Second), ShouldBeTrue)
	})
	Convey("a limit that nobody hears of any more is forgotten, a low one later", t, func() {
		l := NewWorkerLimits()
		l.Answered("w", 5, true, start)
		So(limitedAt(l, start+limitValidity), ShouldBeTrue)
		So(limitedAt(l, start+limitValidity+1), ShouldBeFalse)
		l.Answered("w", 0.25, true, start)
		So(limitedAt(l, start+12*time.Second), ShouldBeTrue)
	})
	Convey("a worker that takes nothing is still asked now and then, since only its answers end the limit", t, func() {
		l := NewWorkerLimits()
		l.Answered("w", 0, true, start)
		rate, limited := l.Rate("w", start)
		So(limited, ShouldBeTrue)
		So(rate, ShouldEqual, minWorkerRate)
	})
	Convey("only own answers are told to others, so that news does not echo", t, func() {
		one, two := NewWorkerLimits(), NewWorkerLimits()
		one.Answered("w", 5, true, start)
		two.Learn(one.Own(start)[0], start+time.Second)
		So(limitedAt(two, start+time.Second), ShouldBeTrue)
		So(two.Own(start+time.Second), ShouldBeEmpty)
	})
	Convey("the known wait passes, and ends when the worker names a limit no more", t, func() {
		l := NewWorkerLimits()
		l.Answered("w", 5, true, start)
		l.SetWait("w", time.Second, start)
		So(l.Wait("w", start), ShouldEqual, time.Second)
		So(l.Wait("w", start+time.Second), ShouldEqual, 0)
		l.SetWait("w", time.Minute, start)
		l.Answered("w", 0, false, start+2*time.Second)
		So(l.Wait("w", start+2*time.Second), ShouldEqual, 0)
	})
	Convey("instances without the holder use less than the limit together", t, func() {
		const instances, rate = 7, 14.0
		reserved := 0
		for range instances {
			l := NewWorkerLimits()
			for now := start; now < start+10*time.Second; now += 10 * time.Millisecond {
				if _, ok := l.ReserveWithoutHolder("w", rate, instances, 0, now); ok {
					reserved++
				}
			}
		}
		So(reserved, ShouldBeBetween, 0.3*rate*10, 0.6*rate*10)
	})
}
