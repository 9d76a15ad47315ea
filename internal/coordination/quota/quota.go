// Package quota divides the rate of a workspace among a few instances that hold it, and spends this instance's part.
// No type here reads a clock, and none is safe for concurrent use.
package quota

import "time"

// longestWait bounds the time to come back that a refused caller is told.
const longestWait = 2 * time.Second

// Bucket is this instance's part of a workspace's tokens.
type Bucket struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

// NewBucket returns a bucket. It is full only at the first start of the fleet: an instance that starts again
// must not spend a second burst.
func NewBucket(rate, burst float64, full bool, now time.Duration) *Bucket {
	b := &Bucket{rate: rate, burst: burst, last: now}
	if full {
		b.tokens = burst
	}
	return b
}

// Set changes the part. Tokens above the new burst are dropped.
func (b *Bucket) Set(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if passed := now - b.last; passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.last = now
	}
}

// Take spends units, or returns how long the caller should wait. The bucket may go into debt by the allowance and,
// beyond it, by the last request; the debt is paid from the rate.
func (b *Bucket) Take(units, allowance float64, now time.Duration) (time.Duration, bool) {
	b.refill(now)
	if b.tokens > 0 || b.tokens+allowance >= units {
		b.tokens -= units
		return 0, true
	}
	if b.rate <= 0 {
		return longestWait, false
	}
	missing := min(-b.tokens, units-allowance-b.tokens)
	return min(longestWait, time.Duration(max(0, missing)/b.rate*float64(time.Second))), false
}

// Level returns the rate in units per second and the tokens that are left; these are negative in debt.
func (b *Bucket) Level(now time.Duration) (rate, tokens float64) {
	b.refill(now)
	return b.rate, b.tokens
}

// Refund gives back the units of a request that did not run.
func (b *Bucket) Refund(units float64) { b.tokens = min(b.burst, b.tokens+units) }
