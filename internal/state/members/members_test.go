package members

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

func entry(offset uint64, kind record.Kind, inc string, body any) record.Entry {
	b, _ := json.Marshal(body)
	return record.Entry{Offset: offset, Envelope: record.Envelope{Kind: kind, Incarnation: inc, Body: b}}
}

// TestApply guards against ended members that become active again, and against snapshots that differ from the set.
func TestApply(t *testing.T) {
	Convey("After joins, an end and repeated records", t, func() {
		s := New()
		So(s.Apply(entry(0, KindJoin, "a", Join{Instance: "A"})), ShouldBeTrue)
		So(s.Apply(entry(0, KindJoin, "a", Join{Instance: "A"})), ShouldBeFalse)
		So(s.Apply(entry(1, KindJoin, "b", Join{Instance: "B"})), ShouldBeTrue)
		So(s.Apply(entry(2, KindWithdraw, "stranger", Withdraw{Incarnation: "a"})), ShouldBeFalse)
		So(s.Apply(entry(3, KindWithdraw, "a", Withdraw{Incarnation: "b"})), ShouldBeTrue)
		So(s.Apply(entry(4, KindJoin, "b", Join{Instance: "B"})), ShouldBeFalse)
		So(s.Apply(entry(5, KindWithdraw, "b", Withdraw{Incarnation: "a"})), ShouldBeFalse)
		So(s.Active("a"), ShouldBeTrue)
		So(s.Ended("b"), ShouldBeTrue)
		b, _ := s.Get("b")
		So([]uint64{b.JoinOffset, b.EndOffset}, ShouldResemble, []uint64{1, 3})
		Convey("a snapshot holds the same state, and older records do not change it", func() {
			c := New()
			So(c.Import(s.Export()), ShouldBeTrue)
			So(c.Import(s.Export()), ShouldBeFalse)
			So(c.Apply(entry(5, KindLeave, "a", Leave{})), ShouldBeFalse)
			So(c.Export(), ShouldResemble, s.Export())
		})
		Convey("a process that joins again marks its previous incarnation as left", func() {
			s.Apply(entry(6, KindJoin, "b2", Join{Instance: "B", Previous: "b"}))
			b, _ := s.Get("b")
			So(b.Reason, ShouldEqual, Left)
			So(b.EndOffset, ShouldEqual, 3)
		})
	})
}

// TestQuorumsIntersect guards against settling the shares of members that renew each other's leases: three of five are
// behind a partition together, and later joins form a new majority that withdraws them.
func TestQuorumsIntersect(t *testing.T) {
	Convey("A majority of an older view must include an active member", t, func() {
		s := New()
		for i, m := range []string{"a", "b", "h1", "h2", "h3", "j1", "j2", "j3"} {
			s.Apply(entry(uint64(i), KindJoin, m, Join{Instance: m}))
		}
		for i, h := range []string{"h1", "h2", "h3"} {
			s.Apply(entry(uint64(8+i), KindWithdraw, "a", Withdraw{Incarnation: h, Reason: Silent}))
		}
		So(s.QuorumsIntersect(5), ShouldBeFalse)
		So(s.QuorumsIntersect(8), ShouldBeTrue)
	})
}
