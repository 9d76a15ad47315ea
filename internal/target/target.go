// Package target checks measured values against targets in tests. A missed target fails its test. If
// KNOWN-RED.txt lists the test, .ci/run runs it separately, prints its result and does not fail because of it;
// this package does not read that file.
package target

// TB is the subset of testing.TB that Check uses.
type TB interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Bound is an upper or lower limit for a measured value.
type Bound struct {
	// Name says what is measured, in which case and with which seed.
	Name string
	// Limit is the highest permitted value, or the lowest one if AtLeast is set.
	Limit float64
	// AtLeast makes Limit a lower limit instead of an upper limit.
	AtLeast bool
}

// Check fails the test if got is outside the bound. It logs the value in either case. .ci/run finds the results of
// the tests listed in KNOWN-RED.txt by the words "target missed" and "target met".
func Check(t TB, bound Bound, got float64) {
	t.Helper()
	relation, met := "at most", got <= bound.Limit
	if bound.AtLeast {
		relation, met = "at least", got >= bound.Limit
	}
	if !met { // also true if got is NaN
		t.Errorf("target missed: %s: got %.4g, want %s %.4g", bound.Name, got, relation, bound.Limit)
		return
	}
	t.Logf("target met: %s: got %.4g, want %s %.4g", bound.Name, got, relation, bound.Limit)
}
