package retry

import "time"

// windowBuckets is the number of buckets into which a window is divided. The oldest bucket is dropped as a whole,
// so the effective window is up to a tenth longer than the configured one.
const windowBuckets = 10

// WindowBudget limits the extra attempts of one service within a sliding window to a ratio of its requests
// plus a constant slack. It is not safe for concurrent use.
type WindowBudget struct {
	ratio, slack  float64
	bucketWidth   time.Duration
	requests      [windowBuckets + 1]float64
	extras        [windowBuckets + 1]float64
	currentBucket int64
}

// NewWindowBudget returns a budget of ratio extra attempts per request, plus slack per window.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketWidth: max(window/windowBuckets, time.Millisecond)}
}

// SetSlack sets the constant slack, which is divided among the instances.
func (b *WindowBudget) SetSlack(slack float64) { b.slack = slack }

// advance clears the buckets that have left the window and returns the index of the current one.
func (b *WindowBudget) advance(now time.Duration) int {
	n := int64(now / b.bucketWidth)
	for steps := min(n-b.currentBucket, windowBuckets+1); steps > 0; steps-- {
		i := (n - steps + 1) % (windowBuckets + 1)
		b.requests[i], b.extras[i] = 0, 0
	}
	b.currentBucket = max(b.currentBucket, n)
	return int(b.currentBucket % (windowBuckets + 1))
}

// CountRequest counts one request.
func (b *WindowBudget) CountRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// Take takes one extra attempt from the budget. It returns false if the budget is exhausted.
func (b *WindowBudget) Take(now time.Duration) bool {
	if !b.CanTake(now) {
		return false
	}
	b.extras[b.advance(now)]++
	return true
}

// CanTake reports whether Take would grant an extra attempt now.
func (b *WindowBudget) CanTake(now time.Duration) bool {
	b.advance(now)
	var requests, extras float64
	for k := range b.requests {
		requests += b.requests[k]
		extras += b.extras[k]
	}
	return extras+1 <= b.ratio*requests+b.slack
}
