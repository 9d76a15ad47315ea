// Package quota divides the rate of a workspace among a few instances that hold shares of it, and meters the spending
// of this instance's share. No type here reads a clock, and none is safe for concurrent use.
package quota

import "time"

// maxRetryAfter bounds the wait that a refused caller is told.
const maxRetryAfter = 2 * time.Second

// Bucket is a token bucket with this instance's share of a workspace's rate.
type Bucket struct {
	rate, burst float64
	tokens      float64
	refilled    time.Duration
}

// NewBucket returns a bucket. It is full only at the first start of the fleet, because an instance that restarts must
// not spend a second burst.
func NewBucket(rate, burst float64, full bool, now time.Duration) *Bucket {
	b := &Bucket{rate: rate, burst: burst, refilled: now}
	if full {
		b.tokens = burst
	}
	return b
}

// Set changes the share. Tokens above the new burst are dropped.
func (b *Bucket) Set(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if elapsed := now - b.refilled; elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.refilled = now
	}
}

// Take spends units, or returns how long the caller should wait. A request is accepted if the debt after it is within
// the slack, or while any tokens are left, so that the last request may exceed the slack. The debt is repaid
// from the rate.
func (b *Bucket) Take(units, slack float64, now time.Duration) (time.Duration, bool) {
	b.refill(now)
	if b.tokens > 0 || b.tokens+slack >= units {
		b.tokens -= units
		return 0, true
	}
	if b.rate <= 0 {
		return maxRetryAfter, false
	}
	missing := min(-b.tokens, units-slack-b.tokens)
	return min(maxRetryAfter, time.Duration(max(0, missing)/b.rate*float64(time.Second))), false
}

// Reserve spends units that are or become available within maxWait, and returns how long the caller must wait before it
// uses them. If that is longer than maxWait, nothing is spent and ok is false.
func (b *Bucket) Reserve(units float64, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	b.refill(now)
	if missing := units - b.tokens; missing > 0 {
		wait = time.Duration(missing / b.rate * float64(time.Second))
	}
	if wait > maxWait {
		return wait, false
	}
	b.tokens -= units
	return wait, true
}

// Level returns the rate in units per second and the remaining tokens, which are negative in debt.
func (b *Bucket) Level(now time.Duration) (rate, tokens float64) {
	b.refill(now)
	return b.rate, b.tokens
}

// Refund returns the units of a request that did not run.
func (b *Bucket) Refund(units float64) { b.tokens = min(b.burst, b.tokens+units) }
