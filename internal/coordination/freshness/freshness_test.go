package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestConfirmedOnlyWhatWasRead guards against a topic that is confirmed as of a time although a record that was appended before it
// has not been read, whatever others append meanwhile, and against one that is never confirmed because they do not stop.
func TestConfirmedOnlyWhatWasRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		// appended holds when each record was appended.
		var appended []time.Duration
		now, era, next := time.Duration(0), int64(0), int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "records") {
					now++
					appended = append(appended, now)
				}
			},
			"read": func(t *rapid.T) {
				now++
				sent := now
				for range rapid.IntRange(0, 2).Draw(t, "appended before the answer") {
					now++
					appended = append(appended, now)
				}
				next = min(int64(len(appended)), next+rapid.Int64Range(1, 4).Draw(t, "records"))
				tracker.Observe(Read{Era: era, Next: next, End: int64(len(appended)), Sent: sent})
			},
			"restore": func(t *rapid.T) {
				now++
				era++
				appended = appended[:rapid.IntRange(0, len(appended)).Draw(t, "kept")]
				next = 0
				tracker.Observe(Read{Era: era, Next: next, End: int64(len(appended)), Sent: now})
			},
			"": func(t *rapid.T) {
				// Only the first era is checked: a restore makes the next offset refer to records that were read before it.
				if next < int64(len(appended)) && appended[next] < tracker.Confirmed() && era == 0 {
					t.Fatalf("confirmed as of %v without the record of %v", tracker.Confirmed(), appended[next])
				}
				lag, _ := tracker.Behind()
				if lag > int64(len(appended))-next {
					t.Fatalf("behind by %d of %d records", lag, int64(len(appended))-next)
				}
			},
		})
	})
	Convey("a topic whose end moves away is confirmed with the delay of the reads", t, func() {
		var tracker Tracker
		for i := int64(1); i <= 100; i++ {
			tracker.Observe(Read{Next: 2 * i, End: 2*i + 10, Sent: time.Duration(i)})
		}
		So(tracker.Confirmed(), ShouldBeGreaterThanOrEqualTo, 90)
		records, since := tracker.Behind()
		So(records, ShouldEqual, 10)
		So(since, ShouldEqual, 1)
	})
}
