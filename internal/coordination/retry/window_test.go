package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowBudgetBound guards against retry storms on backend servers: no window may contain more extra attempts than
// the ratio of its requests and the slack permit.
func TestWindowBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 5.0
		const window = 10 * time.Second
		b := NewWindowBudget(ratio, slack, window)
		var requests, extras []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(10, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
			}
			if b.Take(now) {
				extras = append(extras, now)
			}
		}
		within := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, x := range list {
				if x >= from && x <= to {
					n++
				}
			}
			return n
		}
		for _, end := range extras {
			// The effective window is up to a tenth longer than the configured one.
			n := within(extras, end-window, end)
			bound := ratio*float64(within(requests, end-window*11/10, end)) + slack
			if float64(n) > bound+1e-9 {
				t.Fatalf("%d extra attempts in the window that ends at %v, at most %.1f permitted", n, end, bound)
			}
		}
	})
}
