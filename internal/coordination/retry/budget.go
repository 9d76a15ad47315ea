package retry

// The budget counts in thousandths of an attempt, so that sums are exact.
const (
	// earnedPerRequest is what each request adds: 0.1 extra attempts.
	earnedPerRequest = 100
	costPerAttempt   = 1000
	// maxBudget bounds the extra attempts saved up to 100, so that a long quiet time does not
	// permit a large wave of retries.
	maxBudget = 100 * costPerAttempt
)

// Budget limits extra attempts to 0.1 per request. It starts empty, so the bound of 1.1 attempts per
// request holds from the first request on. Retries, hedges and repeated runs share it; a resumed stream
// is no extra attempt. A Budget is not safe for concurrent use.
type Budget struct {
	saved int64
}

// CountRequest accounts for one new request.
func (b *Budget) CountRequest() {
	b.saved = min(b.saved+earnedPerRequest, maxBudget)
}

// Take takes one extra attempt, or returns false.
func (b *Budget) Take() bool {
	if b.saved < costPerAttempt {
		return false
	}
	b.saved -= costPerAttempt
	return true
}

// Available returns how many extra attempts could be taken now.
func (b *Budget) Available() int { return int(b.saved / costPerAttempt) }
