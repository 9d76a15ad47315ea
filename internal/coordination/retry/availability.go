package retry

import (
	"math"
	"time"
)

// absentMemory is how long what a worker incarnation has said is kept after the registry stopped listing it. Registries
// list workers again after an outage.
const absentMemory = 10 * time.Minute

// backoffStep is the smallest extension of a back-off that is reported as a change: each answer under way extends it a little.
const backoffStep = 500 * time.Millisecond

// notice is what one worker incarnation has said in its answers.
type notice struct {
	leaving bool
	// until is the end of the time in which the worker wants no requests, and reported its last value that was reported as
	// a change.
	until, reported time.Duration
	// listed is when the registry last listed the worker.
	listed time.Duration
}

// Availability records which worker incarnations have said in their answers to this instance that they take no more
// requests from it, for some time or for good. No method reads a clock, and none is safe for concurrent use.
type Availability struct {
	workers map[string]*notice
}

// NewAvailability returns an Availability in which all workers take requests.
func NewAvailability() *Availability { return &Availability{workers: map[string]*notice{}} }

func (a *Availability) worker(name string, now time.Duration) *notice {
	n := a.workers[name]
	if n == nil {
		n = &notice{}
		a.workers[name] = n
	}
	n.listed = now
	return n
}

// Leave records that a worker incarnation leaves, which is final, and reports whether that is new.
func (a *Availability) Leave(worker string, now time.Duration) bool {
	n := a.worker(worker, now)
	isNew := !n.leaving
	n.leaving = true
	return isNew
}

// Leaving reports whether a worker incarnation leaves.
func (a *Availability) Leaving(worker string) bool {
	n := a.workers[worker]
	return n != nil && n.leaving
}

// BackOff records that a worker wants no requests for d, and reports whether that is a change worth reporting. A longer time
// extends an earlier one; a shorter one does not shorten it, since what the worker has said still holds.
func (a *Availability) BackOff(worker string, d, now time.Duration) bool {
	if d <= 0 {
		return false
	}
	until := time.Duration(math.MaxInt64)
	if d < until-now {
		until = now + d
	}
	n := a.worker(worker, now)
	if until <= n.until {
		return false
	}
	changed := now >= n.until || until-n.reported >= backoffStep
	n.until = until
	if changed {
		n.reported = until
	}
	return changed
}

// Wait returns how long a worker still wants no requests; 0 if it takes them. It does not cover leaving workers.
func (a *Availability) Wait(worker string, now time.Duration) time.Duration {
	if n := a.workers[worker]; n != nil {
		return max(0, n.until-now)
	}
	return 0
}

// Empty reports whether nothing that workers have said is known.
func (a *Availability) Empty() bool { return len(a.workers) == 0 }

// Retain removes the workers that were not listed for absentMemory, and those that take requests again; listed reports
// whether one is listed now.
func (a *Availability) Retain(listed func(worker string) bool, now time.Duration) {
	for name, n := range a.workers {
		if listed(name) {
			n.listed = now
		}
		if now-n.listed > absentMemory || !n.leaving && now >= n.until {
			delete(a.workers, name)
		}
	}
}
