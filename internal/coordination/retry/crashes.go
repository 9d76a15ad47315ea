package retry

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
)

const (
	// crashWindow is how long a broken run counts against its request.
	crashWindow = time.Minute
	// crashWorkers is on how many workers the runs of a request must have broken off, and crashConfirmed how many
	// of these must be known to have crashed, before the request is refused.
	crashWorkers   = 3
	crashConfirmed = 1
	// maxSuspects bounds the requests in memory; the oldest are dropped.
	maxSuspects = 4096
)

type suspect struct {
	// workers holds, for each worker, whether it was seen to have crashed.
	workers map[string]bool
	last    time.Duration
}

// WorkerCrashTracker finds requests that crash each worker that runs them, from the broken runs that all instances tell. It is
// not safe for concurrent use.
type WorkerCrashTracker struct {
	suspects map[string]*suspect
}

// NewWorkerCrashTracker returns an empty record.
func NewWorkerCrashTracker() *WorkerCrashTracker { return &WorkerCrashTracker{suspects: map[string]*suspect{}} }

// Add records a broken run.
func (c *WorkerCrashTracker) Add(b fleetlog.Broken, now time.Duration) {
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
	s.last = now
}

// Suspected reports whether a run of the request broke off before, so that it is worth finding out whether a worker
// crashed.
func (c *WorkerCrashTracker) Suspected(request string, now time.Duration) bool {
	s := c.suspects[request]
	return s != nil && now-s.last <= crashWindow && len(s.workers) > 1
}

// ShouldRefuse reports whether the request has crashed enough workers.
func (c *WorkerCrashTracker) ShouldRefuse(request string, now time.Duration) bool {
	s := c.suspects[request]
	if s == nil || now-s.last > crashWindow || len(s.workers) < crashWorkers {
		return false
	}
	crashed := 0
	for _, seen := range s.workers {
		if seen {
			crashed++
		}
	}
	return crashed >= crashConfirmed
}

func (c *WorkerCrashTracker) expire(now time.Duration) {
	for r, s := range c.suspects {
		if now-s.last > crashWindow {
			delete(c.suspects, r)
		}
	}
}
