package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTailReads guards against a lease that outlives its evidence, and against evidence from one stream only.
func TestTailReads(t *testing.T) {
	Convey("A lease lasts for Duration from the older of the two tail reads", t, func() {
		l := New("a")
		So(l.Valid(0), ShouldBeFalse)
		l.ReadTail(Config, 5*time.Second)
		So(l.Valid(5*time.Second), ShouldBeFalse)
		l.ReadTail(Control, 4*time.Second)
		So(l.Valid(6*time.Second-1), ShouldBeTrue)
		So(l.Valid(6*time.Second), ShouldBeFalse)
		Convey("a minute later only new evidence of both streams renews it", func() {
			So(l.Valid(time.Minute), ShouldBeFalse)
			l.ReadTail(Config, time.Minute)
			So(l.Valid(time.Minute), ShouldBeFalse)
			l.ReadTail(Control, time.Minute)
			So(l.Valid(time.Minute), ShouldBeTrue)
			l.Withdraw()
			So(l.Valid(time.Minute), ShouldBeFalse)
		})
	})
}

// TestPromises guards against a lease on too few promises, on promises of stale instances, or while the log answers.
func TestPromises(t *testing.T) {
	Convey("With five members and the log down", t, func() {
		l := New("a")
		l.SetElectorate(Electorate{Members: []string{"a", "b", "c", "d", "e"}, Listed: []string{"B", "D"}})
		promise := func(instance, incarnation string, at time.Duration, p Positions) {
			l.RecordPromise(Promise{Instance: instance, Incarnation: incarnation, Asked: at, Positions: p})
		}
		l.RecordOwnVote(time.Second)
		promise("B", "b", time.Second, Positions{})
		promise("C", "c", time.Second, Positions{})
		promise("E", "e", time.Second, Positions{})
		l.LogFailed()
		Convey("a majority is not enough without each listed instance", func() {
			So(l.Valid(time.Second), ShouldBeFalse)
			promise("D", "d2", time.Second/2, Positions{}) // D restarted and is not a member yet.
			So(l.Expires(), ShouldEqual, 2500*time.Millisecond)
			l.SetElectorate(Electorate{Members: []string{"a", "b", "c", "d", "e"}, Listed: []string{"B"}}) // D is proven dead.
			So(l.Expires(), ShouldEqual, 3*time.Second)
		})
		Convey("a promise counts once its positions are reached", func() {
			promise("D", "d", time.Second, Positions{3, 4})
			l.Advance(Positions{3, 3})
			So(l.Valid(time.Second), ShouldBeFalse)
			l.Advance(Positions{0, 4})
			So(l.Valid(time.Second), ShouldBeTrue)
		})
		Convey("promises stop counting when the log answers", func() {
			l.LogAnswered()
			promise("D", "d", time.Second, Positions{})
			So(l.Valid(time.Second), ShouldBeFalse)
			So(l.WantPromise(), ShouldBeFalse)
		})
	})
	Convey("Two of four members are not a majority", t, func() {
		l := New("a")
		l.SetElectorate(Electorate{Members: []string{"a", "b", "c", "d"}})
		l.LogFailed()
		l.RecordOwnVote(0)
		l.RecordPromise(Promise{Instance: "B", Incarnation: "b"})
		So(l.Valid(0), ShouldBeFalse)
		l.RecordPromise(Promise{Instance: "C", Incarnation: "c"})
		So(l.Valid(0), ShouldBeTrue)
	})
}

// TestPromiser guards against reporting the counters of an ended member while a promise may still back its lease.
func TestPromiser(t *testing.T) {
	Convey("A promise lapses after the lease and the margin", t, func() {
		p := NewPromiser()
		So(p.Answer(time.Second, "a", true), ShouldBeTrue)
		So(p.Lapsed(time.Minute, "a"), ShouldBeFalse)
		p.Refuse("a")
		So(p.Answer(2*time.Second, "a", true), ShouldBeFalse)
		So(p.Lapsed(3500*time.Millisecond-1, "a"), ShouldBeFalse)
		So(p.Lapsed(3500*time.Millisecond, "a"), ShouldBeTrue)
		So(p.Answer(0, "stranger", false), ShouldBeFalse)
		p.RefuseAll()
		So(p.Answer(0, "b", true), ShouldBeFalse)
	})
}
