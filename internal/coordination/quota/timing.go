package quota

import "time"

// Timing is how often an instance sends heartbeats, and for how long one is valid. The calls to the log service are
// limited and billed over the whole fleet, so each instance calls less often in a larger fleet.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long after an acknowledged heartbeat an instance may send orders to workers. The heartbeat
	// carries it, since instances may see fleets of different sizes.
	LeaseDuration time.Duration
	// SpendDuration is how long after an acknowledged heartbeat an instance may spend its shares of the rates.
	SpendDuration time.Duration
}

const (
	minHeartbeatInterval = time.Second
	maxHeartbeatInterval = 2500 * time.Millisecond
	// maxHeartbeatsPerSecond is the heartbeat rate of the fleet above which each instance sends fewer heartbeats.
	maxHeartbeatsPerSecond = 20
	// takeoverMargin is added to a lease before another instance takes over. It covers the transit time of the
	// heartbeat and the difference between the rates of the clocks.
	takeoverMargin = 1500 * time.Millisecond
	// reassignMargin is added to the time for which a share may be spent before the share goes to other instances.
	reassignMargin = time.Second
)

// NewTiming returns the timing for a number of live instances.
func NewTiming(instances int) Timing {
	interval := max(minHeartbeatInterval,
		min(maxHeartbeatInterval, time.Duration(instances)*time.Second/maxHeartbeatsPerSecond))
	return Timing{HeartbeatInterval: interval, LeaseDuration: 2 * interval, SpendDuration: 4 * interval}
}

// MaxTakeoverDelay is the TakeoverDelay of the longest lease.
const MaxTakeoverDelay = 2*maxHeartbeatInterval + takeoverMargin

// TakeoverDelay returns for how long an instance with the given lease must be silent before others may claim its
// workers.
func TakeoverDelay(lease time.Duration) time.Duration { return lease + takeoverMargin }

// ReassignDelay returns for how long an instance with the given lease must be silent before its shares go to others.
func ReassignDelay(lease time.Duration) time.Duration { return 2*lease + reassignMargin }
