// Package bubble runs tests in virtual time under the race detector.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run calls synctest.Test with GOMAXPROCS set to 1.
//
// In a bubble all timers share one context of the race detector (go1.26: runtime.timers.raceCtx), and a
// receive from an expired timer channel uses that context on the receiving thread. Concurrent use by two
// threads corrupts the detector, which then ends the process with "ThreadSanitizer: CHECK failed" or SIGSEGV.
// With one processor this cannot happen. Races are still found: the detector checks the happens-before order,
// not simultaneous execution, and under the detector the scheduler picks goroutines in random order.
//
// GOMAXPROCS applies to the whole process, so tests that call Run must not run in parallel.
func Run(t *testing.T, test func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, test)
}
