package retry

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
)

const (
	// brokenAttemptWindow is how long a request remains suspected after its last broken attempt.
	brokenAttemptWindow = time.Minute
	// minBrokenWorkers is the number of workers on which attempts of a request must have been cut off before the
	// request is refused; minCrashedWorkers is how many of these workers must have been confirmed as crashed.
	minBrokenWorkers  = 3
	minCrashedWorkers = 1
	// maxSuspects bounds the number of suspected requests in memory. Requests beyond it are not tracked until
	// older ones expire.
	maxSuspects = 4096
)

type suspect struct {
	// workers holds the workers on which an attempt was cut off, and whether each was confirmed as crashed.
	workers    map[string]bool
	lastBroken time.Duration
}

// WorkerCrashTracker finds requests that crash every worker that runs them. Its input is the broken attempts that all
// instances report. It is not safe for concurrent use.
type WorkerCrashTracker struct {
	suspects map[string]*suspect
}

// NewWorkerCrashTracker returns a WorkerCrashTracker without suspected requests.
func NewWorkerCrashTracker() *WorkerCrashTracker {
	return &WorkerCrashTracker{suspects: map[string]*suspect{}}
}

// Add records an attempt that was cut off.
func (c *WorkerCrashTracker) Add(b fleetlog.BrokenAttempt, now time.Duration) {
	c.expire(now)
	s := c.suspects[b.Request]
	if s == nil {
		if len(c.suspects) >= maxSuspects {
			return
		}
		s = &suspect{workers: map[string]bool{}}
		c.suspects[b.Request] = s
	}
	s.workers[b.Worker] = s.workers[b.Worker] || b.Crashed
	s.lastBroken = now
}

// Suspected reports whether attempts of the request were recently cut off on more than one worker. The caller should
// then find out whether the worker crashed.
func (c *WorkerCrashTracker) Suspected(request string, now time.Duration) bool {
	s := c.suspects[request]
	return s != nil && now-s.lastBroken <= brokenAttemptWindow && len(s.workers) > 1
}

// ShouldRefuse reports whether attempts of the request were cut off on enough workers, and crashed enough of them, for
// the request to be refused.
func (c *WorkerCrashTracker) ShouldRefuse(request string, now time.Duration) bool {
	s := c.suspects[request]
	if s == nil || now-s.lastBroken > brokenAttemptWindow || len(s.workers) < minBrokenWorkers {
		return false
	}
	crashed := 0
	for _, confirmed := range s.workers {
		if confirmed {
			crashed++
		}
	}
	return crashed >= minCrashedWorkers
}

func (c *WorkerCrashTracker) expire(now time.Duration) {
	for r, s := range c.suspects {
		if now-s.lastBroken > brokenAttemptWindow {
			delete(c.suspects, r)
		}
	}
}
