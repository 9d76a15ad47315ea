package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/members"
)

func five() *View {
	v := New("A", "a")
	list, listed := []members.Member{}, []ListEntry{}
	for i, id := range []string{"A", "B", "C", "D", "E"} {
		list = append(list, members.Member{Incarnation: string(rune('a' + i)), Join: members.Join{Instance: id}, Joined: uint64(i)})
		listed = append(listed, ListEntry{Instance: id})
	}
	v.SetList(0, listed)
	v.SetMembers(0, list)
	return v
}

// TestWithdraw guards against withdrawals of members that only this instance cannot reach.
func TestWithdraw(t *testing.T) {
	Convey("A silent member", t, func() {
		v := five()
		now := WithdrawAfter
		for _, p := range []string{"B", "C", "D"} {
			v.RecordHeartbeat(now, p, string(rune(p[0]+32)), 9, nil)
		}
		So(v.SilentMembers(now), ShouldResemble, []string{"e"})
		So(v.Status(now, "E"), ShouldEqual, Suspect)
		So(v.Tick(now).Withdraw, ShouldBeEmpty)
		Convey("is withdrawn when a majority reports it", func() {
			v.RecordHeartbeat(now, "B", "b", 9, []string{"e"})
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
			v.RecordHeartbeat(now, "C", "c", 9, []string{"e"})
			So(v.Tick(now).Withdraw, ShouldResemble, []members.Withdraw{{Incarnation: "e", Reason: members.Silent}})
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
		})
		Convey("is not withdrawn on a report that was taken back or is old", func() {
			v.RecordHeartbeat(now, "B", "b", 9, []string{"e"})
			v.RecordHeartbeat(now, "C", "c", 9, []string{"e"})
			v.RecordHeartbeat(now, "C", "c", 9, nil)
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
			v.RecordHeartbeat(now, "C", "c", 9, []string{"e"})
			So(v.Tick(now+reportLife).Withdraw, ShouldBeEmpty)
		})
		Convey("is withdrawn when a connection is refused", func() {
			v.RecordRefusal("E", "e")
			So(v.Status(now, "E"), ShouldEqual, Dead)
			So(v.Tick(now).Withdraw, ShouldResemble, []members.Withdraw{{Incarnation: "e", Reason: members.Refused}})
			required, _ := v.RequiredPeers()
			So(required, ShouldResemble, []string{"B", "C", "D"})
			Convey("and not proven dead any more when heard again", func() {
				v.RecordHeartbeat(now, "E", "e", 9, nil)
				required, _ := v.RequiredPeers()
				So(required, ShouldContain, "E")
			})
		})
		Convey("is not proven dead by its successor at the same instance", func() {
			v.RecordHeartbeat(now, "E", "e2", 9, nil)
			v.RecordRefusal("E", "e")
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
			So(v.Status(now, "E"), ShouldEqual, Live)
		})
	})
}

// TestHeartbeats guards against bursts of heartbeats after a pause and against peers that are never asked.
func TestHeartbeats(t *testing.T) {
	Convey("Each peer gets one heartbeat per interval", t, func() {
		v := five()
		So(v.Tick(0).Heartbeat, ShouldResemble, []string{"B", "C", "D", "E"})
		So(v.Tick(HeartbeatInterval-1).Heartbeat, ShouldBeEmpty)
		So(v.Tick(time.Minute).Heartbeat, ShouldHaveLength, 4)
		So(v.Tick(time.Minute).Heartbeat, ShouldBeEmpty)
		v.SetList(time.Minute, nil)
		v.SetMembers(time.Minute, nil)
		So(v.Peers(time.Minute), ShouldBeEmpty)
	})
}
