package retry

import "time"

// absentMemory is how long what a worker incarnation has said is kept after the registry stopped listing it. Registries
// list workers again after an outage.
const absentMemory = 10 * time.Minute

// notice is what one worker incarnation has said in its answers.
type notice struct {
	leaving bool
	// listed is when the registry last listed the worker.
	listed time.Duration
}

// Availability records which worker incarnations have said in their answers to this instance that they take no more
// requests from it. No method reads a clock, and none is safe for concurrent use.
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

// Empty reports whether no worker has said anything.
func (a *Availability) Empty() bool { return len(a.workers) == 0 }

// Retain removes the workers that were not listed for absentMemory; listed reports whether one is listed now.
func (a *Availability) Retain(listed func(worker string) bool, now time.Duration) {
	for name, n := range a.workers {
		if listed(name) {
			n.listed = now
		} else if now-n.listed > absentMemory {
			delete(a.workers, name)
		}
	}
}
