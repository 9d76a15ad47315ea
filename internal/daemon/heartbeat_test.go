package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// heartbeatPeers counts what heartbeats carry, by address.
type heartbeatPeers struct {
	peerClients
	mu             sync.Mutex
	beats, reports map[string]int
	missing        int
}

func (c *heartbeatPeers) Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	c.mu.Lock()
	c.beats[address]++
	c.reports[address] += len(r.GetDemand())
	c.mu.Unlock()
	answer, err := c.peerClients.Heartbeat(ctx, address, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.GetReportsMissing() {
		c.missing++
	}
	return answer, err
}

// TestIdleHeartbeats guards against heartbeats that carry every workspace, because answers do not reach the decision,
// against receivers that lose the workspaces that heartbeats leave out, and against a restarted instance that gets no
// shares, because its reports count as late.
func TestIdleHeartbeats(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		f.instances[1].stop()
		<-f.instances[1].done
		restarted := f.start(instanceName(1)).control
		time.Sleep(8 * time.Second)
		restarted.mu.Lock()
		parts := restarted.shares.Parts("racks")
		restarted.mu.Unlock()
		if parts == 0 {
			t.Error("the restarted instance has no share after 8 s")
		}
		time.Sleep(12 * time.Second)
		control := f.instances[0].control
		count := &heartbeatPeers{peerClients: control.peers, beats: map[string]int{}, reports: map[string]int{}}
		control.mu.Lock()
		control.peers = count
		control.mu.Unlock()
		time.Sleep(20 * time.Second)
		count.mu.Lock()
		defer count.mu.Unlock()
		for address, beats := range count.beats {
			// Two workspaces and the account of loads, five times in full.
			if reports := count.reports[address]; beats < 39 || reports < 12 || reports > 18 {
				t.Errorf("%d heartbeats to %s carried %d reports, want 12 to 18 in about 40", beats, address, reports)
			}
		}
		if len(count.beats) != 2 || count.missing > 0 {
			t.Errorf("heartbeats to %d peers, want 2; %d times one did not hold all", len(count.beats), count.missing)
		}
	})
}
