package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/members"
)

// newFiveMemberView returns the view of instance A of the members A to E, whose incarnations are a to e.
func newFiveMemberView() *View {
	v := New("A", "a")
	list, listed := []members.Member{}, []ListEntry{}
	for i, id := range []string{"A", "B", "C", "D", "E"} {
		list = append(list, members.Member{Incarnation: string(rune('a' + i)), Join: members.Join{Instance: id}, JoinOffset: uint64(i)})
		listed = append(listed, ListEntry{Instance: id})
	}
	v.SetList(0, listed)
	v.SetMembers(0, list)
	return v
}

// TestWithdrawSilentMember guards against the withdrawal of a member that only a minority, such as this instance alone,
// cannot reach.
func TestWithdrawSilentMember(t *testing.T) {
	Convey("A silent member", t, func() {
		v := newFiveMemberView()
		now := WithdrawAfter
		for _, p := range []string{"B", "C", "D"} {
			v.RecordHeartbeat(now, p, string(rune(p[0]+32)), 9, nil)
		}
		So(v.SilentMembers(now), ShouldResemble, []string{"e"})
		So(v.Status(now, "E"), ShouldEqual, Suspect)
		So(v.Tick(now).Withdraw, ShouldBeEmpty)
		Convey("is withdrawn when a majority, including this instance, reports it as silent", func() {
			v.RecordHeartbeat(now, "B", "b", 9, []string{"e"})
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
			v.RecordHeartbeat(now, "C", "c", 9, []string{"e"})
			So(v.Tick(now).Withdraw, ShouldResemble, []members.Withdraw{{Incarnation: "e", Reason: members.Silent}})
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
		})
		Convey("is not withdrawn because of a report that was retracted or has expired", func() {
			v.RecordHeartbeat(now, "B", "b", 9, []string{"e"})
			v.RecordHeartbeat(now, "C", "c", 9, []string{"e"})
			v.RecordHeartbeat(now, "C", "c", 9, nil)
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
			v.RecordHeartbeat(now, "C", "c", 9, []string{"e"})
			So(v.Tick(now+silenceReportTTL).Withdraw, ShouldBeEmpty)
		})
		Convey("is withdrawn when it refuses a connection", func() {
			v.RecordRefusal("E", "e")
			So(v.Status(now, "E"), ShouldEqual, Dead)
			So(v.Tick(now).Withdraw, ShouldResemble, []members.Withdraw{{Incarnation: "e", Reason: members.Refused}})
			required, _ := v.RequiredPeers()
			So(required, ShouldResemble, []string{"B", "C", "D"})
			Convey("and is required again when a message of it arrives", func() {
				v.RecordHeartbeat(now, "E", "e", 9, nil)
				required, _ := v.RequiredPeers()
				So(required, ShouldContain, "E")
			})
		})
		Convey("is not withdrawn because of a new incarnation of the same instance", func() {
			v.RecordHeartbeat(now, "E", "e2", 9, nil)
			v.RecordRefusal("E", "e")
			So(v.Tick(now).Withdraw, ShouldBeEmpty)
			So(v.Status(now, "E"), ShouldEqual, Live)
		})
	})
}

// TestHeartbeatInterval guards against bursts of heartbeats after a pause and against peers that get no heartbeats.
func TestHeartbeatInterval(t *testing.T) {
	Convey("Each peer gets one heartbeat per interval, and peers that are neither listed nor members are removed", t, func() {
		v := newFiveMemberView()
		So(v.Tick(0).Heartbeat, ShouldResemble, []string{"B", "C", "D", "E"})
		So(v.Tick(HeartbeatInterval-1).Heartbeat, ShouldBeEmpty)
		So(v.Tick(time.Minute).Heartbeat, ShouldHaveLength, 4)
		So(v.Tick(time.Minute).Heartbeat, ShouldBeEmpty)
		v.SetList(time.Minute, nil)
		v.SetMembers(time.Minute, nil)
		So(v.Peers(time.Minute), ShouldBeEmpty)
	})
}
