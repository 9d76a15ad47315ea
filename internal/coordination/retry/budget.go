package retry

// The budget is counted in thousandths of an attempt, so that integer sums are exact.
const (
	// earnedPerRequest is added by each request: 0.1 extra attempts.
	earnedPerRequest = 100
	costPerAttempt   = 1000
	// maxBudget limits the saved extra attempts to 100, so that a long period without retries does
	// not permit a retry storm.
	maxBudget = 100 * costPerAttempt
)

// Budget limits extra attempts to 0.1 per request. It starts empty, so the limit of 1.1 attempts per
// request holds from the first request on. Retries, including those after an engine crash, and hedges
// share it. Resuming a stream is not an extra attempt. A Budget is not safe for concurrent use.
type Budget struct {
	saved int64
}

// CountRequest counts one new request, which adds to the budget.
func (b *Budget) CountRequest() {
	b.saved = min(b.saved+earnedPerRequest, maxBudget)
}

// Take takes one extra attempt from the budget. It returns false if the budget is too small.
func (b *Budget) Take() bool {
	if b.saved < costPerAttempt {
		return false
	}
	b.saved -= costPerAttempt
	return true
}

// Available returns the number of extra attempts that Take would grant now.
func (b *Budget) Available() int { return int(b.saved / costPerAttempt) }
