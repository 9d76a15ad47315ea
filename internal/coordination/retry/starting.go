package retry

import "time"

const (
	// expectedStart is how long an instance usually takes from its start until it can decide on requests.
	expectedStart = 800 * time.Millisecond
	// unreadyWait is the wait of a caller that was refused by an instance which does not know when it will be ready.
	unreadyWait = 300 * time.Millisecond
)

// UnreadyWait returns the Retry-After of a request that is refused since the instance lacks the state to decide on it.
// Elapsed is the time since the instance was started, and spread, between 0 and 1, is drawn anew for each request.
//
// Callers come back once or twice only. While the instance starts, they return after its expected end, at a rate like that
// at which they were refused. Later the cause is an outage of this instance alone, and another instance may serve them soon.
func UnreadyWait(elapsed time.Duration, spread float64) time.Duration {
	if elapsed >= expectedStart {
		return unreadyWait
	}
	return max(unreadyWait, expectedStart-elapsed+time.Duration(spread*float64(expectedStart)))
}
