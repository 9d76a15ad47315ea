package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/members"
)

// BenchmarkTick measures one Tick with all peers. It guards against a cost that grows faster than the fleet.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{7, 70, 860} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			v, list := New("0", "i0"), []members.Member{}
			for i := range n {
				list = append(list, members.Member{Incarnation: fmt.Sprint("i", i), Join: members.Join{Instance: fmt.Sprint(i)}})
			}
			v.SetMembers(0, list)
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += HeartbeatInterval
				v.Tick(now)
				v.RequiredPeers()
			}
		})
	}
}
