package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The limit of a cold worker is the second source of a worker's limit. It handles two load patterns: a worker that has just
// started, to which all instances would send at once since none has requests in flight there, and a whole data centre of such
// workers. A worker that gets more than its limit crashes, so this limit is kept more strictly than one that a worker has
// named: it has no burst, a request that is not sent in time gives up its reservation, and an instance meters it only while it
// is certain that no other one does.
//
// The bound: within a second, the meter permits rate requests and one more, and all instances without the meter together
// rate*fallbackShare and one more. A request may be sent coldDelay later than it was reserved for, so that up to
// 1.5*rate*coldDelay requests of an earlier time come on top: 1.5*rate + 2 + 1.5*coldDelayRequests in all, which is less than the
// bound of 1.5*rate + 5 that is required.
const (
	// coldDelayRequests is the number of requests at the limit that may be permitted within the time by which a reserved
	// request may be late.
	coldDelayRequests = 1.5
	// maxColdDelay bounds that time for low limits.
	maxColdDelay = 500 * time.Millisecond
	// MaxColdWait bounds how far ahead a request to a cold worker is reserved. The next holder begins after that.
	MaxColdWait = time.Second
	// maxColdRetry bounds the time for which an instance does not ask again for capacity at a cold worker that had none, and
	// coldAsksPerRequest is how many requests all instances together ask for while the limit permits one.
	maxColdRetry       = time.Second
	coldAsksPerRequest = 4
)

// coldState is what is known of a worker's cold time.
type coldState struct {
	rate  float64
	until time.Duration
	// assumed is set while the worker counts as cold until the registry says otherwise, by an entry that is read no sooner than
	// assumedUntil.
	assumed      bool
	assumedUntil time.Duration
	// announced says whether ColdChanges has returned the worker as cold.
	announced bool
	// sent counts this instance's requests to the cold worker, and reported the faults that were reported.
	sent     int
	reported map[ColdFault]bool
	// freeAt is when a request could be sent while the worker is cold, as far as is known.
	freeAt time.Duration
	// fallbackDue is the time of the last request that was reserved without the holder.
	fallbackDue time.Duration
}

// ColdFault says what is wrong with a cold time in the registry.
type ColdFault int

// The faults of cold times.
const (
	ColdTimeValid ColdFault = iota
	// ColdTimeNegative counts as 0.
	ColdTimeNegative
	// ColdTimeTooLong counts as the longest cold time of the service.
	ColdTimeTooLong
	// ColdTimeUnreadable counts as 0.
	ColdTimeUnreadable
)

var coldFaultNames = map[ColdFault]string{
	ColdTimeNegative: "negative", ColdTimeTooLong: "longer than the service's workers are cold", ColdTimeUnreadable: "not a number",
}

// String returns the description used in logs.
func (f ColdFault) String() string { return coldFaultNames[f] }

// ColdReport is what a registry entry says of a worker's cold time.
type ColdReport struct {
	// Worker identifies the worker incarnation.
	Worker string
	// Rate is the requests per second that the worker accepts from all instances while it is cold, 0 for no limit, and
	// Longest how long a worker of its service is cold at most.
	Rate      float64
	Longest   time.Duration
	Remaining time.Duration
	// Unreadable is set if the cold time is not a number.
	Unreadable bool
	// Old is set if the entry may be older than what was read before, as one of a snapshot may be. It never ends a cold time.
	Old bool
}

// effective returns the cold time of a report, and what is wrong with it.
func (r *ColdReport) effective() (time.Duration, ColdFault) {
	switch {
	case r.Unreadable:
		return 0, ColdTimeUnreadable
	case r.Remaining < 0:
		return 0, ColdTimeNegative
	case r.Remaining > r.Longest:
		return r.Longest, ColdTimeTooLong
	}
	return r.Remaining, ColdTimeValid
}

// ReportCold applies a registry entry that was read now. It returns a fault of its cold time, each kind once for a worker
// incarnation. Workers without a limit leave no state.
func (l *WorkerLimits) ReportCold(r ColdReport, now time.Duration) ColdFault {
	if r.Rate <= 0 {
		l.endCold(r.Worker)
		return ColdTimeValid
	}
	remaining, fault := r.effective()
	w := l.workers[r.Worker]
	if remaining == 0 && fault == ColdTimeValid && (w == nil || w.cold == nil) {
		return ColdTimeValid
	}
	c := l.coldWorker(r.Worker)
	c.rate = r.Rate
	if until := now + remaining; !r.Old || until > c.until {
		c.until = until
	}
	c.assumed = c.assumed && (r.Old || now < c.assumedUntil)
	if fault == ColdTimeValid || c.reported[fault] {
		return ColdTimeValid
	}
	if c.reported == nil {
		c.reported = map[ColdFault]bool{}
	}
	c.reported[fault] = true
	return fault
}

// MaxEntryDelay is how long after it was written an entry of the registry may be read.
const MaxEntryDelay = 2500 * time.Millisecond

// AssumeCold lets a worker count as cold until ReportCold applies an entry that is not old and was written after the time since.
func (l *WorkerLimits) AssumeCold(worker string, rate float64, since time.Duration) {
	if rate > 0 {
		c := l.coldWorker(worker)
		c.rate, c.assumed, c.assumedUntil = rate, true, max(c.assumedUntil, since+MaxEntryDelay)
	}
}

// SetColdRate changes the limit of a worker for whose service another one was configured. It returns false if no cold time
// of the worker is known, so that its entry has to be reported.
func (l *WorkerLimits) SetColdRate(worker string, rate float64) bool {
	w := l.workers[worker]
	if w == nil || w.cold == nil {
		return false
	}
	if w.cold.rate = rate; rate <= 0 {
		l.endCold(worker)
	}
	return true
}

// endCold ends the state of a worker whose service has no limit for cold workers.
func (l *WorkerLimits) endCold(worker string) {
	if w := l.workers[worker]; w != nil && w.cold != nil {
		w.cold = nil
		if !w.limited {
			delete(l.workers, worker)
		}
	}
}

func (l *WorkerLimits) coldWorker(name string) *coldState {
	w := l.worker(name)
	if w.cold == nil {
		w.cold = &coldState{}
	}
	return w.cold
}

// isCold reports whether the worker is cold.
func (w *workerLimit) isCold(now time.Duration) bool {
	return w != nil && w.cold != nil && (w.cold.assumed || now < w.cold.until)
}

// Cold reports whether a worker is cold and limited for that.
func (l *WorkerLimits) Cold(worker string, now time.Duration) bool {
	return l.workers[worker].isCold(now)
}

// ReserveCold is Reserve for a cold worker. The rate is the one that the asking instance knows; a lower one that this instance
// knows goes before it.
func (l *WorkerLimits) ReserveCold(worker string, rate float64, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	if known, limited := l.Rate(worker, now); limited {
		rate = min(rate, known)
	}
	return reserve(&l.worker(worker).metered, max(rate, minWorkerRate), 0, maxWait, now)
}

// ReserveColdWithoutHolder is ReserveCold for an instance that does not reach the holder. The instances take turns, at the
// rate that they may use together: which one's turn it is follows from the time of day and the instance's place in the fleet.
// Tokens that each instance collects for itself would not do, since all of them could spend one in the same second. A turn may be
// used a little late: the wait is negative then, and the request must be sent within ColdDelay of its turn all the same.
func (l *WorkerLimits) ReserveColdWithoutHolder(worker string, rate float64, p Place, maxWait, wall, now time.Duration) (wait time.Duration, ok bool) {
	c := l.coldWorker(worker)
	turn := max(1, time.Duration(float64(time.Second)/(max(rate, minWorkerRate)*fallbackShare)))
	round := turn * time.Duration(max(1, p.Count))
	// The turn after a request is not used if the time of day was set back meanwhile.
	earliest := max(-ColdDelay(rate)/2, c.fallbackDue+round/2-now)
	wait = (turn*time.Duration(p.Rank) - (wall + earliest)) % round
	if wait < 0 {
		wait += round
	}
	wait += earliest
	if wait > maxWait {
		return wait, false
	}
	c.fallbackDue = now + wait
	return wait, true
}

// ColdDelay returns how long after its time a request to a cold worker may be sent. After that, its reservation is void.
func ColdDelay(rate float64) time.Duration {
	return min(maxColdDelay, time.Duration(coldDelayRequests/max(rate, minWorkerRate)*float64(time.Second)))
}

// ColdRetry returns for how long one of a number of instances does not ask again for capacity at a cold worker that will have
// some after wait. Without it, the questions would cost more than the requests that the limit permits.
func ColdRetry(rate float64, instances int, wait time.Duration) time.Duration {
	turn := float64(instances) / (coldAsksPerRequest * max(rate, minWorkerRate))
	return max(wait, min(maxColdRetry, time.Duration(turn*float64(time.Second))))
}

// ColdSent counts a request to a worker, if it is cold.
func (l *WorkerLimits) ColdSent(worker string, now time.Duration) {
	if w := l.workers[worker]; w.isCold(now) {
		w.cold.sent++
	}
}

// ColdWorker is the state of a worker that is cold, or was.
type ColdWorker struct {
	Worker    string
	Cold      bool
	Rate      float64
	Remaining time.Duration
	// Assumed is set while the worker counts as cold until the registry says otherwise.
	Assumed bool
	// Sent is the number of requests that this instance has sent to the worker while it was cold.
	Sent int
}

// RemainingSeconds returns the remaining cold time in seconds, infinity while it is not known.
func (c ColdWorker) RemainingSeconds() float64 {
	if c.Assumed {
		return math.Inf(1)
	}
	return c.Remaining.Seconds()
}

// ColdWorkers returns the workers that are cold or were cold, sorted by name.
func (l *WorkerLimits) ColdWorkers(now time.Duration) []ColdWorker {
	var list []ColdWorker
	for name, w := range l.workers {
		if w.cold == nil {
			continue
		}
		c := ColdWorker{Worker: name, Cold: w.isCold(now), Rate: w.cold.rate, Remaining: max(0, w.cold.until-now), Sent: w.cold.sent, Assumed: w.cold.assumed}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b ColdWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}

// ColdChanges returns the workers that became cold or warm since the last call.
func (l *WorkerLimits) ColdChanges(now time.Duration) []ColdWorker {
	return slices.DeleteFunc(l.ColdWorkers(now), func(c ColdWorker) bool {
		s := l.workers[c.Worker].cold
		same := s.announced == c.Cold
		s.announced = c.Cold
		return same
	})
}
