package peer

import (
	"fmt"
	"net"
	"testing"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// BenchmarkHeartbeat measures a heartbeat and its response over gRPC on loopback, by the number of reports in it.
// It guards against heartbeats that exceed the budget of 1% of a core per node.
func BenchmarkHeartbeat(b *testing.B) {
	for _, reports := range []int{0, 5, 50} {
		b.Run(fmt.Sprintf("reports=%d", reports), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := NewServer(nil, nil)
			peerpb.RegisterPeerServer(s, &Service{Shares: echoShares{}})
			go func() { _ = s.Serve(l) }()
			defer s.Stop()
			c := NewClients(nil, dialTCP, func(string) {})
			defer c.Close()
			m := &peerpb.HeartbeatRequest{Instance: "instance-0001", Incarnation: "0123456789abcdef0123456789abcdef", Hlc: 1 << 60}
			for i := range reports {
				m.Demand = append(m.Demand, &peerpb.WorkspaceDemand{Workspace: fmt.Sprintf("workspace-%02d", i), FreeTokens: 1.5, Parts: 100_000})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Heartbeat(b.Context(), l.Addr().String(), m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
