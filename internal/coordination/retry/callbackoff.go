package retry

import "time"

const (
	// MaxCallBackoff is for how long an instance that does not answer is not called again at most.
	MaxCallBackoff = 2 * time.Second
	// MinCallBackoff is that time after a single call without an answer, for calls that cost little.
	MinCallBackoff = 100 * time.Millisecond
	// callFailureMemory is the time after which an earlier failure no longer counts.
	callFailureMemory = 2 * MaxCallBackoff
)

// CallBackoff decides for how long an instance that did not answer a call is not called again. The zero value has seen no failure.
//
// It handles load of this kind: many small instances whose processors are busy for some ten milliseconds now and then. If a single late
// answer cost seconds, a part of the fleet would always place its requests without knowing the load of the workers.
type CallBackoff struct {
	failures int
	last     time.Duration
}

// Failed records that a call which was sent at a given time got no answer. Calls that were sent before the latest failure was
// noticed do not count as further ones.
func (b *CallBackoff) Failed(sent, now time.Duration) {
	switch {
	case b.failures == 0 || now-b.last > callFailureMemory:
		b.failures = 1
	case sent <= b.last:
		return
	default:
		b.failures++
	}
	b.last = now
}

// Ends reports whether an instance may be called again, given the time for which it is not called after one failure. That time
// doubles with each further failure, up to MaxCallBackoff.
func (b *CallBackoff) Ends(first, now time.Duration) bool {
	if b.failures == 0 {
		return true
	}
	d := first
	for i := 1; i < b.failures && d < MaxCallBackoff; i++ {
		d *= 2
	}
	return now-b.last > min(d, MaxCallBackoff)
}
