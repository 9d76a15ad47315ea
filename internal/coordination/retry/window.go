package retry

import "time"

// windowSlots is how many parts a window is counted in. The oldest part is dropped as a whole, so the window
// in force is up to a tenth longer than the one asked for.
const windowSlots = 10

// WindowBudget limits the extra attempts of one service in a sliding window to a ratio of its requests
// plus a constant. It is not safe for concurrent use.
type WindowBudget struct {
	ratio, slack float64
	slot         time.Duration
	requests     [windowSlots + 1]float64
	extras       [windowSlots + 1]float64
	current      int64
}

// NewWindowBudget returns a budget of ratio extra attempts for each request, plus slack in each window.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, slot: max(window/windowSlots, time.Millisecond)}
}

// SetSlack changes the constant part, which instances divide among them.
func (b *WindowBudget) SetSlack(slack float64) { b.slack = slack }

func (b *WindowBudget) advance(now time.Duration) int {
	n := int64(now / b.slot)
	for steps := min(n-b.current, windowSlots+1); steps > 0; steps-- {
		i := (n - steps + 1) % (windowSlots + 1)
		b.requests[i], b.extras[i] = 0, 0
	}
	b.current = max(b.current, n)
	return int(b.current % (windowSlots + 1))
}

// CountRequest counts one request.
func (b *WindowBudget) CountRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// Take takes one extra attempt, or returns false.
func (b *WindowBudget) Take(now time.Duration) bool {
	if !b.CanTake(now) {
		return false
	}
	b.extras[b.advance(now)]++
	return true
}

// CanTake reports whether an extra attempt could be taken now.
func (b *WindowBudget) CanTake(now time.Duration) bool {
	b.advance(now)
	var requests, extras float64
	for k := range b.requests {
		requests += b.requests[k]
		extras += b.extras[k]
	}
	return extras+1 <= b.ratio*requests+b.slack
}
