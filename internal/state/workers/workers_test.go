package workers

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
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

func drainingEntry(id string, startedMilli int64) Entry {
	e := readyEntry(id, startedMilli)
	e.Worker.Draining = true
	return e
}

// TestRestoredEntries guards workers that were seen leaving: an older entry of them that a restored registry has must not
// make them usable again.
func TestRestoredEntries(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("in a registry restored from an older copy", t, func() {
		r := NewRegistry()
		r.Apply(readyEntry("a", 1), time.Time{}, now)
		Convey("a draining worker stays draining", func() {
			r.Apply(drainingEntry("a", 1), time.Time{}, now)
			r.StartEra(1)
			r.Replace([]Entry{readyEntry("a", 1)}, now, now)
			So(r.Snapshot().Ready("s"), ShouldBeEmpty)
			So(r.Snapshot().All(), ShouldHaveLength, 1)
			So(r.TakeIgnored(), ShouldResemble, []Key{{"a", 1}})
			So(r.Apply(readyEntry("a", 1), now, now), ShouldBeFalse)
			So(r.Snapshot().Ready("s"), ShouldBeEmpty)
			So(r.TakeIgnored(), ShouldBeEmpty)
			Convey("and its next incarnation is usable", func() {
				So(r.Apply(readyEntry("a", 2), now, now), ShouldBeTrue)
				So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
			})
		})
		Convey("a removed worker stays away until it writes its entry", func() {
			r.Apply(Entry{ID: "a"}, time.Time{}, now)
			r.StartEra(1)
			r.Replace([]Entry{readyEntry("a", 1)}, now, now)
			So(r.Snapshot().All(), ShouldBeEmpty)
			r.Replace([]Entry{readyEntry("a", 1)}, now, now)
			So(r.Snapshot().All(), ShouldBeEmpty)
			So(r.TakeIgnored(), ShouldResemble, []Key{{"a", 1}})
			So(r.Apply(readyEntry("a", 1), now, now), ShouldBeTrue)
			So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
		})
		Convey("a worker that drained before it was removed never returns", func() {
			r.Apply(drainingEntry("a", 1), time.Time{}, now)
			r.Apply(Entry{ID: "a"}, time.Time{}, now)
			r.StartEra(1)
			r.Replace([]Entry{readyEntry("a", 1)}, now, now)
			r.Apply(readyEntry("a", 1), now, now)
			So(r.Snapshot().All(), ShouldBeEmpty)
		})
		Convey("an earlier incarnation does not replace a later one, which stays until it had time to write", func() {
			r.Apply(readyEntry("a", 2), time.Time{}, now)
			r.StartEra(1)
			r.Replace([]Entry{readyEntry("a", 1)}, now, now)
			So(r.Snapshot().All()[0].StartedMilli, ShouldEqual, 2)
			r.Expire(now.Add(expiryGrace))
			So(r.Snapshot().All(), ShouldBeEmpty)
		})
		for name, restored := range map[string][]Entry{"an older": {readyEntry("a", 1)}, "no": nil} {
			Convey("a worker whose removal was seen just after an outage is not kept longer with "+name+" entry", func() {
				r.Apply(Entry{ID: "a"}, now, now)
				r.StartEra(1)
				later := now.Add(time.Second)
				r.Replace(restored, later, later)
				r.Expire(now.Add(expiryGrace))
				So(r.Snapshot().All(), ShouldBeEmpty)
			})
		}
		Convey("a worker whose entry is missing stays until it had time to write", func() {
			r.StartEra(1)
			r.Replace(nil, now, now)
			So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
			r.Apply(readyEntry("a", 1), now, now)
			So(r.Expire(now.Add(expiryGrace)), ShouldBeFalse)
		})
	})
}

// TestSnapshotOfSameEra guards workers that write their entries again while an instance is away: without a restore a
// snapshot is newer than what the instance has seen, unless the entry itself shows that it is not.
func TestSnapshotOfSameEra(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("a removed worker returns with a snapshot that has an entry at least as new", t, func() {
		r := NewRegistry()
		e := readyEntry("a", 1)
		e.Worker.Seq = 5
		r.Apply(e, time.Time{}, now)
		r.Apply(Entry{ID: "a"}, time.Time{}, now)
		r.Replace([]Entry{readyEntry("a", 1)}, time.Time{}, now)
		So(r.Snapshot().All(), ShouldBeEmpty)
		r.Replace([]Entry{e}, time.Time{}, now)
		So(r.Snapshot().Ready("s"), ShouldHaveLength, 1)
	})
}

// TestDeparturesAreBounded guards the memory of an instance against workers that come and go.
func TestDeparturesAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("the oldest departures are forgotten", t, func() {
		r := NewRegistry()
		for i := range maxDepartures + 10 {
			id := fmt.Sprint(i)
			r.Apply(readyEntry(id, 1), time.Time{}, now)
			r.Apply(Entry{ID: id}, time.Time{}, now)
		}
		So(r.departures.byKey, ShouldHaveLength, maxDepartures)
		So(r.departures.byKey[Key{"0", 1}], ShouldBeNil)
		So(r.departures.byKey[Key{fmt.Sprint(maxDepartures + 9), 1}], ShouldNotBeNil)
	})
}

// modelWorker is a worker of the modelled registry: the state of its latest incarnation.
type modelWorker struct {
	incarnation int64
	draining    bool
	alive       bool
}

// TestLeftWorkersStayAway guards against requests to a worker after its leaving was seen, through any history of entries,
// outages and restores, and against workers that are alive and write their entries but are not used.
func TestLeftWorkersStayAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, era := time.Unix(100, 0), int64(0)
		model := map[string]*modelWorker{"a": {}, "b": {}, "c": {}}
		newest, saved := map[string]Entry{}, map[string]Entry{}
		r := NewRegistry()
		// drained holds the incarnations that the instance saw draining, and gone those that it saw removed.
		drained, gone := map[Key]bool{}, map[Key]bool{}
		var recovered time.Time
		write := func(e Entry) {
			newest[e.ID] = e
			r.Apply(e, recovered, now)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second}).Draw(t, "passed"))
			r.Expire(now)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "worker")
			w := model[id]
			k := Key{id, w.incarnation}
			switch rapid.SampledFrom([]string{"start", "write", "drain", "remove", "save", "restore", "reload"}).Draw(t, "step") {
			case "start":
				if !w.alive {
					*w = modelWorker{incarnation: w.incarnation + 1, alive: true}
					write(readyEntry(id, w.incarnation))
				}
			case "write":
				if w.alive {
					e := readyEntry(id, w.incarnation)
					e.Worker.Draining = w.draining
					write(e)
					delete(gone, k)
				}
			case "drain":
				if w.alive {
					w.draining, drained[k] = true, true
					write(drainingEntry(id, w.incarnation))
				}
			case "remove":
				if _, listed := newest[id]; listed && newest[id].Worker.Key() == k {
					w.alive = w.alive && rapid.Bool().Draw(t, "only cut off")
					recovered = time.Time{}
					delete(newest, id)
					r.Apply(Entry{ID: id}, recovered, now)
					gone[k] = true
				}
			case "save":
				saved = maps.Clone(newest)
			case "restore":
				era, newest, recovered = era+1, maps.Clone(saved), now
				fallthrough
			case "reload":
				r.StartEra(era)
				r.Replace(slices.Collect(maps.Values(newest)), recovered, now)
			}
			for _, ready := range r.Snapshot().Ready("s") {
				if drained[ready.Key()] || gone[ready.Key()] {
					t.Fatalf("worker %v is usable after it was seen leaving", ready.Key())
				}
				if ready.StartedMilli != model[ready.ID].incarnation {
					t.Fatalf("worker %v is usable, which incarnation %d replaced", ready.Key(), model[ready.ID].incarnation)
				}
			}
		}
		for id, w := range model {
			if !w.alive || w.draining {
				continue
			}
			r.Apply(readyEntry(id, w.incarnation), recovered, now)
			if got, ok := r.Snapshot().Get(id); !ok || got.Draining || got.StartedMilli != w.incarnation {
				t.Fatalf("worker %s writes its entry and is not usable", id)
			}
		}
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
