package quota

import "time"

// Timing is how often an instance takes part in the fleet, and how long what it says holds. Calls to the log service
// are limited and priced over the whole fleet, so each instance calls less often when there are many.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long after an acknowledged heartbeat an instance may give orders. It is told in the
	// heartbeat, since instances may see fleets of different sizes.
	LeaseDuration time.Duration
	// SpendDuration is how long after an acknowledged heartbeat an instance may spend its part of the rates.
	SpendDuration time.Duration
}

const (
	shortestBeat = time.Second
	longestBeat  = 2500 * time.Millisecond
	// beatsPerSecond is how many heartbeats a second the fleet sends before each instance sends fewer.
	beatsPerSecond = 20
	// takeoverMargin is added to a lease before another instance takes over. It covers the time in which the
	// heartbeat was on its way and the difference of the clocks' speeds.
	takeoverMargin = 1500 * time.Millisecond
	// shareMargin is added to the time for which a part may be spent before it is given to others.
	shareMargin = time.Second
)

// NewTiming returns the pace for a number of live instances.
func NewTiming(instances int) Timing {
	beat := max(shortestBeat, min(longestBeat, time.Duration(instances)*time.Second/beatsPerSecond))
	return Timing{HeartbeatInterval: beat, LeaseDuration: 2 * beat, SpendDuration: 4 * beat}
}

// TakeoverDelay returns the silence after which the workers of an instance with the lease may be claimed.
func TakeoverDelay(lease time.Duration) time.Duration { return lease + takeoverMargin }

// ReassignDelay returns the silence after which the part of an instance with the lease goes to others.
func ReassignDelay(lease time.Duration) time.Duration { return 2*lease + shareMargin }
