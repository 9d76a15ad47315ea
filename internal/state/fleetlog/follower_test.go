package fleetlog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testPause = 5 * time.Second

// claimFrom returns a claim of worker w by an author that had read the stream up to next in an era.
func claimFrom(instance, incarnation string, era, next int64) Record {
	return Record{Instance: instance, Incarnation: incarnation, Claim: &Claim{Era: era, Next: next, Workers: map[string]int64{"w": 0}}}
}

// owning returns a heartbeat that restates the ownership of worker w under a fence, or of no worker if it is 0.
func owning(instance, incarnation string, number, fence int64) Record {
	r := heartbeat(instance, incarnation, number)
	r.Heartbeat.Owned = map[string]int64{}
	if fence != 0 {
		r.Heartbeat.Owned["w"] = fence
	}
	return r
}

// newOwner returns the follower of a1, which has claimed worker w in era 0 at offset 1.
func newOwner() *Follower {
	f := NewFollower("a1", testPause)
	f.Observe(0, 0, false)
	f.Apply(0, owning("a", "a1", 1, 0), 0)
	f.Apply(1, claimFrom("a", "a1", 0, 1), 0)
	f.Advance(2, true, 0)
	return f
}

func holds(f *Follower) bool {
	_, ok := f.Held("w")
	return ok
}

// TestClaimsOfEarlierEras guards against an owner whose fence another instance has as well, and against fences that
// decrease, when a claim is stored after a restore that its author did not know.
func TestClaimsOfEarlierEras(t *testing.T) {
	Convey("the author does not act under a claim that was stored in a later era", t, func() {
		f := NewFollower("a1", testPause)
		f.Observe(1, 0, false)
		f.Apply(0, claimFrom("a", "a1", 0, 0), 0)
		So(f.Owner("w").Fence, ShouldEqual, Fence(0, 0))
		So(holds(f), ShouldBeFalse)
	})
	Convey("an owner gives its worker up to a claim with the same fence", t, func() {
		f := newOwner()
		So(holds(f), ShouldBeTrue)
		f.Observe(1, 0, true)
		So(holds(f), ShouldBeTrue)
		f.Apply(0, heartbeat("a", "a1", 1), 0)
		f.Apply(1, claimFrom("b", "b1", 0, 1), 0)
		So(holds(f), ShouldBeFalse)
	})
	Convey("a claim does not lower the fence", t, func() {
		f := NewFold()
		f.Apply(3, owning("a", "a1", 1, Fence(1, 50)), 0)
		f.Apply(10, claimFrom("b", "b1", 1, 10), 0)
		So(f.Owner("w"), ShouldResemble, Owner{"a1", "a", Fence(1, 50)})
		f.Apply(11, claimFrom("b", "b1", 2, 11), 0)
		So(f.Owner("w"), ShouldResemble, Owner{"b1", "b", Fence(2, 11)})
	})
	Convey("a read from an older era changes nothing", t, func() {
		f := newOwner()
		f.Observe(2, 0, true)
		So(f.Observe(1, 0, false), ShouldBeFalse)
		So(f.Era(), ShouldEqual, 2)
		So(holds(f), ShouldBeTrue)
	})
}

// TestMissedRecords guards against two owners of a worker when a follower has missed claims: in a restore, since they have
// expired, or since it starts after they have.
func TestMissedRecords(t *testing.T) {
	all := func(f *Follower, now time.Duration) *Claim { return f.Claim([]string{"w"}, now, maxSilence) }
	Convey("an owner that others may have replaced gives its worker up, and claims nothing for the pause", t, func() {
		for _, miss := range []func(f *Follower){
			func(f *Follower) { f.Observe(1, time.Second, false) },
			func(f *Follower) { f.Skip(9, time.Second, false) },
		} {
			f := newOwner()
			miss(f)
			So(holds(f), ShouldBeFalse)
			f.Apply(9, owning("a", "a1", 2, 0), time.Second+testPause-1)
			So(all(f, time.Second+testPause-1), ShouldBeNil)
			So(all(f, time.Second+testPause), ShouldNotBeNil)
		}
	})
	Convey("a claim whose author had read less than the follower is not judged", t, func() {
		f := NewFollower("a1", testPause)
		f.Observe(0, 0, false)
		f.Skip(10, 0, false)
		f.Apply(12, claimFrom("b", "b1", 0, 5), 0)
		So(f.Owner("w").Fence, ShouldEqual, 0)
		f.Apply(13, claimFrom("b", "b1", 0, 13), 0)
		So(f.Owner("w").Incarnation, ShouldEqual, "b1")
	})
	Convey("an owner of which no heartbeat was read keeps its worker for the pause", t, func() {
		f := NewFollower("a1", testPause)
		f.Observe(0, 0, false)
		f.Apply(0, owning("a", "a1", 1, 0), testPause-1)
		f.Apply(1, claimFrom("b", "b1", 0, 1), 0)
		So(all(f, testPause-1), ShouldBeNil)
		So(all(f, testPause), ShouldNotBeNil)
	})
	Convey("a restatement is adopted and makes concurrent claims void", t, func() {
		f := NewFold()
		f.Apply(20, owning("a", "a1", 1, 7), 0)
		So(f.Owner("w"), ShouldResemble, Owner{"a1", "a", 7})
		f.Apply(21, claimFrom("b", "b1", 0, 20), 0)
		So(f.Owner("w").Incarnation, ShouldEqual, "a1")
	})
	Convey("a worker whose owner does not restate its claim is assigned anew", t, func() {
		f := newOwner()
		f.Apply(2, owning("b", "b1", 1, 0), 4*time.Second)
		f.Apply(3, owning("a", "a1", 2, 2), 4*time.Second)
		So(f.Assignments([]string{"w"}, 4*time.Second, maxSilence), ShouldBeEmpty)
		f.Apply(4, owning("a", "a1", 3, 0), 8*time.Second)
		So(f.Assignments([]string{"w"}, 8*time.Second, maxSilence), ShouldNotBeEmpty)
	})
}

// TestRefusedFenceIsGivenUp guards against orders under a fence that a worker has refused.
func TestRefusedFenceIsGivenUp(t *testing.T) {
	Convey("the worker is claimed anew, after the lease of another owner may have ended", t, func() {
		f := newOwner()
		f.Refused("w", Fence(0, 1), time.Second)
		So(holds(f), ShouldBeFalse)
		f.Apply(2, owning("a", "a1", 2, 0), time.Second+testPause-1)
		So(f.Claim([]string{"w"}, time.Second+testPause-1, maxSilence), ShouldBeNil)
		So(f.Claim([]string{"w"}, time.Second+testPause, maxSilence).Workers, ShouldResemble, map[string]int64{"w": Fence(0, 1)})
	})
	Convey("a released worker is claimed at once", t, func() {
		f := newOwner()
		f.Release("w")
		So(f.Claim([]string{"w"}, 0, maxSilence), ShouldNotBeNil)
	})
}

// TestLateRecordsOfPredecessor guards the membership of a process against records of an earlier one on its machine that a
// follower reads for the first time: they may be appended late, or be read again after a restore.
func TestLateRecordsOfPredecessor(t *testing.T) {
	Convey("the later process stays a member", t, func() {
		f := NewFollower("a1", testPause)
		f.Observe(0, 0, false)
		f.Apply(0, owning("a", "a1", 1, 0), 0)
		f.Apply(1, owning("b", "b1", 1, 0), 0)
		f.Apply(2, owning("b", "b0", 9, 0), 0)
		f.Apply(3, owning("a", "a0", 1, 0), testPause)
		f.Observe(1, 0, true)
		f.Apply(0, owning("b", "b0", 1, 0), 0)
		_, self := f.Member("a1")
		_, other := f.Member("b1")
		So(self && other, ShouldBeTrue)
	})
	Convey("a new process whose first heartbeats were lost becomes a member at once", t, func() {
		f := NewFold()
		f.Apply(0, owning("b", "b1", 1, 0), 0)
		r := owning("b", "b2", 3, 0)
		r.Heartbeat.New = true
		f.Apply(1, r, 0)
		_, ok := f.Member("b2")
		So(ok, ShouldBeTrue)
	})
	Convey("a new process whose early heartbeats are no longer kept becomes a member once the earlier one is silent", t, func() {
		f := NewFold()
		f.Apply(0, owning("b", "b1", 1, 0), 0)
		f.Apply(1, owning("b", "b2", 2, 0), time.Second)
		f.Apply(2, owning("b", "b2", 5, 0), 4*time.Second)
		_, ok := f.Member("b2")
		So(ok, ShouldBeTrue)
	})
}

// TestStartLongAfterRestore guards against workers without an owner when instances start again at any time after a restore:
// one that starts claims at once if the others have seen the era for long enough, and waits otherwise.
func TestStartLongAfterRestore(t *testing.T) {
	const start = time.Hour
	claims := func(era, ageMS int64, now time.Duration) bool {
		f := NewFollower("a2", testPause)
		f.Observe(2, start, false)
		other := owning("b", "b1", 1, 0)
		other.Heartbeat.Era, other.Heartbeat.EraAgeMS = era, ageMS
		f.Apply(0, other, start)
		f.Apply(1, owning("a", "a2", 1, 0), start)
		f.Advance(2, true, 0)
		return f.Claim([]string{"w", "x"}, now, maxSilence) != nil
	}
	Convey("an instance that starts after a restore", t, func() {
		So(claims(2, testPause.Milliseconds(), start), ShouldBeTrue)
		So(claims(2, testPause.Milliseconds()-1, start), ShouldBeFalse)
		So(claims(2, testPause.Milliseconds()-1, start+time.Millisecond), ShouldBeTrue)
		So(claims(1, testPause.Milliseconds(), start), ShouldBeFalse)
	})
}

// TestPausedInstancesAreAssignedNothing guards against workers without an owner while an instance that has just started
// claims nothing: the others claim them meanwhile, and it keeps those that it owns.
func TestPausedInstancesAreAssignedNothing(t *testing.T) {
	Convey("the workers of a resigned instance go to those that may claim", t, func() {
		f := newOwner()
		paused := owning("b", "b1", 1, 0)
		paused.Heartbeat.Paused = true
		f.Apply(2, paused, 0)
		So(f.Assignments([]string{"w", "x", "y"}, 0, maxSilence), ShouldResemble, map[string]string{"x": "a1", "y": "a1"})
		f.Apply(3, claimFrom("b", "b1", 0, 3), 0)
		So(f.Owner("w").Incarnation, ShouldEqual, "b1")
		So(f.Assignments([]string{"w"}, 0, maxSilence), ShouldBeEmpty)
	})
}

// TestStartAt guards the offset at which others may start: no owner whose last statement lies before it may still act.
func TestStartAt(t *testing.T) {
	Convey("it is the newest end of the stream that is old enough", t, func() {
		f := NewFollower("a1", testPause)
		f.Observe(0, 0, false)
		f.Advance(10, true, time.Second)
		f.Advance(20, false, 2*time.Second)
		f.Advance(30, true, 3*time.Second)
		enough := testPause + startMargin
		So(f.StartAt(time.Second+enough-1), ShouldEqual, 0)
		So(f.StartAt(time.Second+enough), ShouldEqual, 10)
		So(f.StartAt(3*time.Second+enough-1), ShouldEqual, 10)
		So(f.StartAt(3*time.Second+enough), ShouldEqual, 30)
	})
	Convey("one that has started at an offset names it until its own reads are old enough", t, func() {
		f := NewFollower("a1", testPause)
		f.Start(0, 7, time.Hour)
		f.Advance(30, true, time.Hour)
		So(f.StartAt(time.Hour+testPause), ShouldEqual, 7)
		So(f.StartAt(time.Hour+testPause+startMargin), ShouldEqual, 30)
	})
	Convey("a restore ends it", t, func() {
		f := NewFollower("a1", testPause)
		f.Start(0, 7, time.Hour)
		f.Advance(30, true, time.Hour)
		f.Observe(1, 2*time.Hour, true)
		So(f.StartAt(2*time.Hour), ShouldEqual, 0)
	})
	Convey("an offset of another era, or one that its record cannot know, is not used", t, func() {
		r := owning("a", "a1", 1, 0)
		r.Heartbeat.Era, r.Heartbeat.StartAt = 2, 7
		So(StartOffset(2, 9, r), ShouldEqual, 7)
		So(StartOffset(3, 9, r), ShouldEqual, 0)
		So(StartOffset(2, 6, r), ShouldEqual, 0)
		So(StartOffset(2, 9, claimFrom("a", "a1", 2, 0)), ShouldEqual, 0)
	})
}

// TestOwnersAfterLateStart guards against a second owner beside one that an instance has not read of, since it started at
// an offset after the owner's claim.
func TestOwnersAfterLateStart(t *testing.T) {
	const start = time.Hour
	late := func(records ...Record) *Follower {
		f := NewFollower("a2", testPause)
		f.Start(0, 100, start)
		f.Apply(100, owning("a", "a2", 1, 0), start)
		for n, r := range records {
			f.Apply(int64(101+n), r, start)
		}
		f.Advance(int64(101+len(records)), true, start)
		return f
	}
	claims := func(f *Follower, now time.Duration) bool { return f.Claim([]string{"w"}, now, maxSilence) != nil }
	Convey("an owner that restates its worker is known", t, func() {
		So(claims(late(owning("b", "b1", 9, Fence(0, 5))), start), ShouldBeFalse)
	})
	Convey("a worker that no owner restates is claimed at once", t, func() {
		So(claims(late(), start), ShouldBeTrue)
	})
	Convey("a worker is not claimed while the author of a claim that cannot be judged may act", t, func() {
		f := late(claimFrom("b", "b1", 0, 50))
		f.Apply(110, owning("a", "a2", 2, 0), start+testPause-1)
		So(claims(f, start+testPause-1), ShouldBeFalse)
		So(claims(f, start+testPause), ShouldBeTrue)
	})
}
