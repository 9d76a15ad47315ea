// Package target checks measured values against targets in tests. A missed target fails its test. This
// package does not read KNOWN-RED.txt: .ci/run runs the tests listed there separately, prints their results
// and does not fail because of them.
package target

// TB is the subset of testing.TB that Check uses.
type TB interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Bound is a bound on a measured value.
type Bound struct {
	// Name says what is measured, in which case and with which seed.
	Name string
	// Limit is the limit.
	Limit float64
	// AtLeast makes Bound a lower limit instead of an upper limit.
	AtLeast bool
}

// Check fails the test if got misses the target. It logs the value in either case.
func Check(t TB, target Bound, got float64) {
	t.Helper()
	relation, met := "at most", got <= target.Limit
	if target.AtLeast {
		relation, met = "at least", got >= target.Limit
	}
	if !met { // also true if got is NaN
		t.Errorf("target missed: %s: got %.4g, want %s %.4g", target.Name, got, relation, target.Limit)
		return
	}
	t.Logf("target met: %s: got %.4g, want %s %.4g", target.Name, got, relation, target.Limit)
}
