// Package quota divides the rate of a workspace among instances by their demand, and spends this
// instance's part. No type here reads a clock, and none is safe for concurrent use.
package quota

import (
	"math"
	"time"
)

const (
	// assumedDemand is the part of a workspace's rate that is assumed as demand, divided evenly, beside what
	// instances told. Instances know each other's demand a beat late; without it the first ones to tell of a
	// rise would each take most of the rate.
	assumedDemand = 0.2
	// demandMemory is the time constant of the demand average, in heartbeats: a moved caller's demand is known soon,
	// and in a large fleet, where an instance sees a workspace's requests one by one, it does not jump with each.
	demandMemory = 2
	// longestWait bounds the time to come back that a refused caller is told.
	longestWait = 2 * time.Second
)

// Demand is a decayed rate in units per second.
type Demand struct {
	rate   float64
	last   time.Duration
	memory time.Duration
}

// NewDemand returns a rate of zero. The beat is the time between heartbeats.
func NewDemand(beat time.Duration) *Demand { return &Demand{memory: demandMemory * beat} }

// SetBeat changes the time between heartbeats.
func (d *Demand) SetBeat(beat time.Duration) { d.memory = demandMemory * beat }

// Add counts units asked for.
func (d *Demand) Add(units float64, now time.Duration) {
	d.decay(now)
	d.rate += units / d.memory.Seconds()
}

// Rate returns the units per second asked for lately.
func (d *Demand) Rate(now time.Duration) float64 {
	d.decay(now)
	return d.rate
}

func (d *Demand) decay(now time.Duration) {
	if passed := now - d.last; passed > 0 {
		d.rate *= math.Exp(-passed.Seconds() / d.memory.Seconds())
		d.last = now
	}
}

// newsWeight is how much an instance's latest demand counts against the one told a beat before.
const newsWeight = 0.4

// OwnDemand returns what counts as an instance's own demand, from what it told in its last two heartbeats. All others
// have read the earlier one. If the last one counted in full, instances whose demand rises together would each see their
// own rise first, and hold more than the whole together.
func OwnDemand(before, last float64) float64 { return before + newsWeight*(last-before) }

// Part returns the fraction of a workspace's rate that an instance holds: own is the demand that it told, all that of
// the live instances together, own included, and instances their number. The parts of instances that know the same
// demands add up to one.
func Part(own, all, rate float64, instances int) float64 {
	if instances <= 1 {
		return 1
	}
	assumed := assumedDemand * rate
	if all+assumed <= 0 {
		return 1 / float64(instances)
	}
	return (own + assumed/float64(instances)) / (all + assumed)
}

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

// Return gives back the units of a request that did not run.
func (b *Bucket) Return(units float64) { b.tokens = min(b.burst, b.tokens+units) }
