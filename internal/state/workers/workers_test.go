package workers

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func readyEntry(id string, startedMilli int64) Entry {
	return Entry{ID: id, Worker: &Worker{ID: id, Service: "s", StartedMilli: startedMilli}}
}

// TestEntries guards against new requests to a worker that drains, or whose entry was removed.
func TestEntries(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("entries add, replace, drain and remove a worker", t, func() {
		r := NewRegistry()
		So(r.Apply(readyEntry("a", 1), time.Time{}, now), ShouldBeTrue)
		So(r.Apply(readyEntry("a", 1), time.Time{}, now), ShouldBeFalse)
		So(r.Apply(readyEntry("a", 2), time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
		draining := readyEntry("a", 2)
		draining.Worker.Draining = true
		So(r.Apply(draining, time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().Ready("s"), ShouldBeEmpty)
		So(r.Apply(Entry{ID: "a"}, time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().All(), ShouldBeEmpty)
	})
}

// TestExpiredInOutage guards workers whose entries expired while the registry was unreachable: they stay in use for
// expiryGrace after its recovery, and no longer. A draining worker is removed at once.
func TestExpiredInOutage(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("after an outage a worker without an entry is removed when the grace period ends", t, func() {
		r := NewRegistry()
		r.Apply(readyEntry("a", 1), time.Time{}, now)
		r.Apply(readyEntry("b", 1), time.Time{}, now)
		draining := readyEntry("c", 1)
		draining.Worker.Draining = true
		r.Apply(draining, time.Time{}, now)
		r.Replace(nil, now, now)
		So(r.Snapshot().All(), ShouldHaveLength, 2)
		r.Apply(readyEntry("a", 1), now, now.Add(time.Second))
		So(r.Expire(now.Add(expiryGrace)), ShouldBeTrue)
		So(r.Snapshot().All(), ShouldHaveLength, 1)
		So(r.Snapshot().All()[0].ID, ShouldEqual, "a")
	})
}

// TestRemovedAfterOutage guards workers whose entries are removed just after an outage of the registry: live ones
// restore their entries within two seconds of its recovery, so one that is still missing then is removed, whenever the
// removal of its entry was read.
func TestRemovedAfterOutage(t *testing.T) {
	Convey("the grace period ends two seconds after the registry's recovery", t, func() {
		recovered := time.Unix(100, 0)
		r := NewRegistry()
		r.Apply(readyEntry("a", 1), time.Time{}, recovered)
		r.Apply(Entry{ID: "a"}, recovered, recovered.Add(1500*time.Millisecond))
		next, pending := r.NextExpiry()
		So(pending, ShouldBeTrue)
		So(next, ShouldEqual, recovered.Add(2*time.Second))
		r.Expire(recovered.Add(2 * time.Second))
		So(r.Snapshot().Ready("s"), ShouldBeEmpty)
		_, pending = r.NextExpiry()
		So(pending, ShouldBeFalse)
	})
}

// TestUnreadableEntries guards against the end of a worker by an entry that another writer appended under its ID, and
// against a worker that stays for good because such an entry hid its removal from a snapshot.
func TestUnreadableEntries(t *testing.T) {
	now := time.Unix(100, 0)
	unreadable := Entry{ID: "a", Unreadable: errors.New("not a worker")}
	Convey("the earlier entry remains in force", t, func() {
		r := NewRegistry()
		r.Apply(readyEntry("a", 1), time.Time{}, now)
		So(r.Apply(unreadable, time.Time{}, now), ShouldBeFalse)
		So(r.Expire(now.Add(time.Hour)), ShouldBeFalse)
		So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
		So(r.Apply(Entry{ID: "b", Unreadable: unreadable.Unreadable}, time.Time{}, now), ShouldBeFalse)
		So(r.Snapshot().All(), ShouldHaveLength, 1)
		So(r.Apply(Entry{ID: "a"}, time.Time{}, now), ShouldBeTrue)
		So(r.Snapshot().All(), ShouldBeEmpty)
	})
	Convey("in a snapshot it remains only for as long as a live worker needs to write its entry again", t, func() {
		r := NewRegistry()
		r.Apply(readyEntry("a", 1), time.Time{}, now)
		r.Apply(readyEntry("b", 1), time.Time{}, now)
		r.Replace([]Entry{unreadable, {ID: "b", Unreadable: unreadable.Unreadable}}, time.Time{}, now)
		So(r.Snapshot().Ready("s"), ShouldHaveLength, 2)
		r.Apply(readyEntry("a", 1), time.Time{}, now.Add(time.Second))
		next, pending := r.NextExpiry()
		So(pending, ShouldBeTrue)
		So(next, ShouldEqual, now.Add(expiryGrace))
		So(r.Expire(next), ShouldBeTrue)
		So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
		So(r.Snapshot().Ready("s")[0].ID, ShouldEqual, "a")
	})
}
