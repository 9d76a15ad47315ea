package workers

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func ready(id string, born int64) Entry {
	return Entry{ID: id, Worker: &Worker{ID: id, Service: "s", StartedMilli: born}}
}

// TestEntries guards the set of workers: a draining or vanished one gets no work, an unreadable entry names none.
func TestEntries(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("entries change the set", t, func() {
		r := NewRegistry()
		So(r.Apply(ready("a", 1), time.Time{}, now), ShouldBeTrue)
		So(r.Apply(ready("a", 1), time.Time{}, now), ShouldBeFalse)
		So(r.Apply(ready("a", 2), time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
		leaving := ready("a", 2)
		leaving.Worker.Draining = true
		So(r.Apply(leaving, time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().Ready("s"), ShouldBeEmpty)
		So(r.Apply(Entry{ID: "a"}, time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().All(), ShouldBeEmpty)
	})
}

// TestExpiredInOutage guards workers whose entries expired while the registry was away: they stay in use for the time
// within which live ones are back, and not longer. One that had said that it leaves goes at once.
func TestExpiredInOutage(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("after an outage a missing entry is dropped late", t, func() {
		r := NewRegistry()
		r.Apply(ready("a", 1), time.Time{}, now)
		r.Apply(ready("b", 1), time.Time{}, now)
		leaving := ready("c", 1)
		leaving.Worker.Draining = true
		r.Apply(leaving, time.Time{}, now)
		r.Replace(nil, now, now)
		So(r.Snapshot().All(), ShouldHaveLength, 2)
		r.Apply(ready("a", 1), now, now.Add(time.Second))
		So(r.Expire(now.Add(absenceGrace)), ShouldBeTrue)
		So(r.Snapshot().All(), ShouldHaveLength, 1)
		So(r.Snapshot().All()[0].ID, ShouldEqual, "a")
	})
}

// TestRemovedAfterOutage guards workers whose entries are removed just after an outage of the registry: live ones are
// back within two seconds of its return, so one that is still missing then is gone, whenever its removal was read.
func TestRemovedAfterOutage(t *testing.T) {
	Convey("the grace ends two seconds after the registry's return", t, func() {
		returned := time.Unix(100, 0)
		r := NewRegistry()
		r.Apply(ready("a", 1), time.Time{}, returned)
		r.Apply(Entry{ID: "a"}, returned, returned.Add(1500*time.Millisecond))
		next, pending := r.NextExpiry()
		So(pending, ShouldBeTrue)
		So(next, ShouldEqual, returned.Add(2*time.Second))
		r.Expire(returned.Add(2 * time.Second))
		So(r.Snapshot().Ready("s"), ShouldBeEmpty)
		_, pending = r.NextExpiry()
		So(pending, ShouldBeFalse)
	})
}
