// Package knownred reports targets that tests check. A target that is missed fails its test. Tests
// listed in KNOWN-RED.txt are run separately by .ci/run, which prints their result and does not fail
// on it; this package knows nothing of that list.
package knownred

// TB is the part of testing.TB that a report needs.
type TB interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Target is one stated bound.
type Target struct {
	// Name says what is measured, in which case and with which seed.
	Name string
	// Bound is the stated limit.
	Bound float64
	// AtLeast makes Bound a lower limit; otherwise it is an upper limit.
	AtLeast bool
}

// Check fails the test when got misses the target, and logs the value in either case.
func Check(t TB, target Target, got float64) {
	t.Helper()
	word, met := "at most", got <= target.Bound
	if target.AtLeast {
		word, met = "at least", got >= target.Bound
	}
	if !met { // also when got is not a number
		t.Errorf("target missed: %s: got %.4g, want %s %.4g", target.Name, got, word, target.Bound)
		return
	}
	t.Logf("target met: %s: got %.4g, want %s %.4g", target.Name, got, word, target.Bound)
}
