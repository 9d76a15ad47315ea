package retry

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
)

const (
	// brokenRunWindow is how long a request remains suspected after its last broken run.
	brokenRunWindow = time.Minute
	// minBrokenWorkers is the number of workers on which runs of a request must have broken off before the request
	// is refused; minCrashedWorkers is how many of these workers must have been confirmed as crashed.
	minBrokenWorkers  = 3
	minCrashedWorkers = 1
	// maxSuspects bounds the number of suspected requests in memory. Requests beyond it are not tracked until
	// older ones expire.
	maxSuspects = 4096
)

type suspect struct {
	// workers holds the workers on which a run broke off, and whether each was confirmed as crashed.
	workers    map[string]bool
	lastBroken time.Duration
}

// WorkerCrashTracker finds requests that crash every worker that runs them. Its input is the broken runs that all
// instances report. It is not safe for concurrent use.
type WorkerCrashTracker struct {
	suspects map[string]*suspect
}

// NewWorkerCrashTracker returns a WorkerCrashTracker without suspected requests.
func NewWorkerCrashTracker() *WorkerCrashTracker {
	return &WorkerCrashTracker{suspects: map[string]*suspect{}}
}

// Add records a run that broke off.
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

// Suspected reports whether runs of the request broke off on more than one worker recently, so that the caller should
// find out whether the worker crashed.
func (c *WorkerCrashTracker) Suspected(request string, now time.Duration) bool {
	s := c.suspects[request]
	return s != nil && now-s.lastBroken <= brokenRunWindow && len(s.workers) > 1
}

// ShouldRefuse reports whether the request broke off on enough workers, and crashed enough of them, to be refused.
func (c *WorkerCrashTracker) ShouldRefuse(request string, now time.Duration) bool {
	s := c.suspects[request]
	if s == nil || now-s.lastBroken > brokenRunWindow || len(s.workers) < minBrokenWorkers {
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
		if now-s.lastBroken > brokenRunWindow {
			delete(c.suspects, r)
		}
	}
}
