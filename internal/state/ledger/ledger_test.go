package ledger

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// log applies records to a member set and a fold in the order of the log.
type log struct {
	members *members.Set
	fold    *Fold
	next    uint64
	clock   int64
}

func (l *log) apply(kind record.Kind, inc string, body any) Effect {
	b, _ := json.Marshal(body)
	e := record.Entry{Offset: l.next, UnixMilli: l.clock, Envelope: record.Envelope{Kind: kind, Incarnation: inc, Body: b}}
	l.next++
	l.members.Apply(e)
	return l.fold.Apply(e)
}

// TestRegrant guards against parts that are counted twice after several members ended: parts that a member sent to one
// that was settled earlier must not be regranted again when the sender is settled.
func TestRegrant(t *testing.T) {
	Convey("Given transfers a->p, p->b and a->b, one of them lost", t, func() {
		set := members.New()
		l := &log{members: set, fold: NewFold(set)}
		for _, m := range []string{"a", "b", "c", "p"} {
			l.apply(members.KindJoin, m, members.Join{Instance: m})
		}
		So(l.apply(KindGrant, "a", Grant{Workspace: "w"}).Granted, ShouldEqual, "w")
		So(l.apply(KindGrant, "b", Grant{Workspace: "w"}).Granted, ShouldBeEmpty)
		a, b, p := NewCounters("a"), NewCounters("b"), NewCounters("p")
		p.Receive(a.Send("p", "w", 400_000, 0))
		a.Send("p", "w", 50_000, 0) // lost
		b.Receive(p.Send("b", "w", 100_000, 0))
		b.Receive(a.Send("b", "w", 7, 0))
		l.apply(members.KindWithdraw, "b", members.Withdraw{Incarnation: "p", Reason: members.Refused})
		report := func(ended ...string) Regrant {
			return Regrant{Ended: ended, Reports: map[string]NetParts{"a": a.Frozen(ended), "b": b.Frozen(ended), "c": {}}}
		}
		Convey("the first regrant with all reports is accepted", func() {
			incomplete := report("p")
			delete(incomplete.Reports, "a")
			So(l.apply(KindRegrant, "c", incomplete).Settled, ShouldBeNil)
			So(l.apply(KindRegrant, "c", report("p")).Regranted, ShouldResemble, NetParts{"w": 350_000})
			So(l.apply(KindRegrant, "b", report("p")).Settled, ShouldBeNil)
			So(a.Settle([]string{"p"}, NetParts{"w": 450_000}), ShouldBeTrue)
			So(l.fold.Base("w", "a")+a.Flow("w"), ShouldEqual, 549_993)
			Convey("and the end of the first sender regrants only the parts that it still held", func() {
				l.apply(members.KindWithdraw, "b", members.Withdraw{Incarnation: "a", Reason: members.Refused})
				r := Regrant{Ended: []string{"a"}, Reports: map[string]NetParts{"b": b.Frozen([]string{"a"}), "c": {}}}
				So(l.apply(KindRegrant, "c", r).Regranted, ShouldResemble, NetParts{"w": 549_993})
				So(l.fold.Base("w", "c"), ShouldEqual, 899_993)
			})
		})
		Convey("two ended members are settled only together", func() {
			l.apply(members.KindWithdraw, "b", members.Withdraw{Incarnation: "a", Reason: members.Refused})
			alone := Regrant{Ended: []string{"a"}, Reports: map[string]NetParts{"b": b.Frozen([]string{"a"}), "c": {}}}
			So(l.apply(KindRegrant, "b", alone).Settled, ShouldBeNil)
			both := Regrant{Ended: []string{"a", "p"}, Reports: map[string]NetParts{"b": b.Frozen([]string{"a", "p"}), "c": {}}}
			So(l.apply(KindRegrant, "b", both).Regranted, ShouldResemble, NetParts{"w": 899_993})
			imported := NewFold(set)
			So(imported.Import(l.fold.Export()), ShouldBeTrue)
			So(imported.Export(), ShouldResemble, l.fold.Export())
			l.clock = settledRetention.Milliseconds()
			l.apply(members.KindJoin, "d", members.Join{Instance: "d"})
			So(set.EndedMembers(), ShouldBeEmpty)
		})
	})
}

// TestReceive guards against a transfer that is credited twice, by another incarnation or after the sender is frozen.
func TestReceive(t *testing.T) {
	Convey("Numbers are credited once, in any order", t, func() {
		a, b := NewCounters("a"), NewCounters("b")
		var sent []Transfer
		for a.CanSend("b") {
			sent = append(sent, a.Send("b", "w", 1, 0))
		}
		So(sent, ShouldHaveLength, window)
		for range 2 {
			for i := range sent {
				b.Receive(sent[(i*37)%window])
			}
		}
		So(b.Flow("w"), ShouldEqual, window)
		a.Acknowledge("b", 1)
		So(a.CanSend("b"), ShouldBeTrue)
		So(a.Pending("b"), ShouldHaveLength, window-1)
		_, accepted := NewCounters("b2").Receive(sent[0])
		So(accepted, ShouldBeFalse)
		b.Freeze("a")
		_, accepted = b.Receive(a.Send("b", "w", 1, 0))
		So(accepted, ShouldBeFalse)
	})
}
