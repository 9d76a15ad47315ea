package bubble

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestExpiredTimersUnderRaceDetector guards against crashes of the race detector: with several processors
// nearly every run of this test under -race ends the process. It also guards against a Run that does not restore
// GOMAXPROCS.
func TestExpiredTimersUnderRaceDetector(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	received := 0
	Run(t, func(*testing.T) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for range 64 {
			all.Go(func() {
				for range 2000 {
					timer := time.NewTimer(time.Millisecond)
					time.Sleep(time.Millisecond)
					<-timer.C
				}
				mu.Lock()
				defer mu.Unlock()
				received++
			})
		}
		all.Wait()
	})
	if received != 64 || runtime.GOMAXPROCS(0) != before {
		t.Fatalf("%d goroutines received, %d processors, want 64 and %d", received, runtime.GOMAXPROCS(0), before)
	}
}
