package peerpb

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkHeartbeatSize reports the marshalled bytes of one heartbeat without engines. They depend on the
// workspaces only; what an instance sends grows with its peers.
func BenchmarkHeartbeatSize(b *testing.B) {
	for _, workspaces := range []int{5, 50} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			h := &HeartbeatRequest{Instance: "10.20.30.40:7443", Incarnation: "0123456789abcdef0123456789abcdef", Hlc: 1 << 60,
				Positions: []*Position{{Stream: "config", Next: 1 << 24}, {Stream: "control", Next: 1 << 24}, {Stream: "actions", Next: 1 << 30}}}
			for i := range workspaces {
				h.Demand = append(h.Demand, &WorkspaceDemand{Workspace: fmt.Sprintf("workspace-%02d", i), DemandTokensPerSecond: 1.5,
					FreeTokens: 1.5, Parts: 100_000, VirtualTime: 1.5})
			}
			var data []byte
			for b.Loop() {
				data, _ = proto.Marshal(h)
				_ = proto.Unmarshal(data, &HeartbeatRequest{})
			}
			for _, members := range []int{7, 70, 430, 860} {
				b.ReportMetric(float64(len(data)*2*(members-1)), fmt.Sprintf("bytes/s-%d-members", members))
			}
			b.ReportMetric(float64(len(data)), "bytes/heartbeat")
		})
	}
}
