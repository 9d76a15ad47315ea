// Package bubble runs tests in virtual time under the race detector.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run is synctest.Test with one processor for all goroutines.
//
// In a bubble all timers share one context of the race detector (go1.26: runtime.timers.raceCtx), and a
// receive from an expired timer channel uses it from whichever thread receives. Two threads at once corrupt
// the detector, which then ends the process with "ThreadSanitizer: CHECK failed" or SIGSEGV. One processor
// excludes that. Races are still found: the detector goes by the order of synchronization, not by what runs
// at the same instant, and the scheduler under it picks goroutines in random order.
//
// It sets a value of the whole process, so tests that call it do not run in parallel.
func Run(t *testing.T, test func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, test)
}
