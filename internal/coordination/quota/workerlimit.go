package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
)

const (
	// minWorkerRate is the rate in requests per second at which a worker that names a lower limit is still asked: only
	// its answers tell that the limit has ended.
	minWorkerRate = 0.2
	// limitBurst is the time in which the burst of a limit accumulates.
	limitBurst = 500 * time.Millisecond
	// limitValidity is how long a limit is known after an answer named it, or the time of limitAnswers answers at its
	// rate if that is longer. After that it is known again only from the next answer.
	limitValidity = 10 * time.Second
	limitAnswers  = 3
	// fallbackShare is the share of a limit that all instances together may use without its holder, each an equal part.
	// It is less than the whole because others may still reach the holder.
	fallbackShare = 0.5
)

// NamedLimit is a limit on the requests per second that a worker takes from all instances together.
type NamedLimit struct {
	// Worker identifies the worker incarnation.
	Worker string
	Rate   float64
	// Age is the time since an answer named the limit.
	Age time.Duration
}

// LimitHolder returns the instance that meters the requests to a worker on behalf of all. There is one only, because a
// limit is a few requests a second and its shares would be fractions of a request.
func LimitHolder(worker string, instances []rendezvous.Member) (string, bool) {
	names := rendezvous.Pick(worker, instances, 1)
	if len(names) == 0 {
		return "", false
	}
	return names[0], true
}

// workerLimit is the limit of one worker.
type workerLimit struct {
	rate float64
	// namedAt is when an answer named the limit; limited is false if a later answer to this instance named none.
	namedAt time.Duration
	limited bool
	// own is set if the answer was one to this instance.
	own bool
	// freeAt is when a request to the worker could be sent, as far as is known.
	freeAt time.Duration
	// metered is this instance's bucket as the holder, and fallback that for its part of the limit without the holder.
	metered, fallback *Bucket
	// cold is nil for a worker of which no cold time is known.
	cold *coldState
}

// WorkerLimits holds the limits that workers have named and meters the requests to workers of which this instance is the
// holder.
type WorkerLimits struct {
	workers map[string]*workerLimit
}

// NewWorkerLimits returns WorkerLimits without limits.
func NewWorkerLimits() *WorkerLimits { return &WorkerLimits{workers: map[string]*workerLimit{}} }

func (l *WorkerLimits) worker(name string) *workerLimit {
	w := l.workers[name]
	if w == nil {
		w = &workerLimit{}
		l.workers[name] = w
	}
	return w
}

// Answered records whether a worker's answer to this instance named a limit, and reports whether that is a change.
func (l *WorkerLimits) Answered(worker string, rate float64, limited bool, now time.Duration) bool {
	previous, wasLimited := l.named(worker, now)
	if !limited && l.workers[worker] == nil {
		return false
	}
	w := l.worker(worker)
	w.rate, w.limited, w.own, w.namedAt = rate, limited, true, now
	if !limited {
		w.freeAt = 0
	}
	current, _ := l.named(worker, now)
	return limited != wasLimited || limited && current != previous
}

// Learn applies a limit that a worker has named to another instance, unless this instance has had a later answer.
func (l *WorkerLimits) Learn(n NamedLimit, now time.Duration) {
	w := l.worker(n.Worker)
	if at := now - n.Age; at > w.namedAt {
		w.rate, w.limited, w.own, w.namedAt = n.Rate, true, false, at
	}
}

// Rate returns the rate in requests per second to which a worker is limited, or false if it is not known to be limited. The
// limit of a cold worker that has also named one is the lower of the two.
func (l *WorkerLimits) Rate(worker string, now time.Duration) (float64, bool) {
	rate, limited := l.named(worker, now)
	w := l.workers[worker]
	switch {
	case !w.isCold(now):
		return rate, limited
	case limited:
		return min(rate, max(w.cold.rate, minWorkerRate)), true
	default:
		return max(w.cold.rate, minWorkerRate), true
	}
}

// named returns the limit that a worker has named, or false if it is not known to have named one.
func (l *WorkerLimits) named(worker string, now time.Duration) (float64, bool) {
	w := l.workers[worker]
	if w == nil || !w.limited {
		return 0, false
	}
	rate := max(w.rate, minWorkerRate)
	validity := max(limitValidity, time.Duration(limitAnswers/rate*float64(time.Second)))
	return rate, now-w.namedAt <= validity
}

// Own returns the limits that this instance knows from answers, sorted by worker.
func (l *WorkerLimits) Own(now time.Duration) []NamedLimit {
	var list []NamedLimit
	for name, w := range l.workers {
		if _, limited := l.named(name, now); limited && w.own {
			list = append(list, NamedLimit{Worker: name, Rate: w.rate, Age: now - w.namedAt})
		}
	}
	slices.SortFunc(list, func(a, b NamedLimit) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}

// Reserve reserves one request to a worker of which this instance is the holder. It returns how long the request must
// wait. If that is longer than maxWait, nothing is reserved and ok is false.
func (l *WorkerLimits) Reserve(worker string, rate float64, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	w := l.worker(worker)
	return reserve(&w.metered, max(rate, minWorkerRate), limitBurst, maxWait, now)
}

// ReserveWithoutHolder is Reserve for an instance that does not reach the holder, one of the given number.
func (l *WorkerLimits) ReserveWithoutHolder(worker string, rate float64, instances int, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	w := l.worker(worker)
	return reserve(&w.fallback, max(rate, minWorkerRate)*fallbackShare/float64(max(instances, 1)), limitBurst, maxWait, now)
}

// reserve reserves one request. The burst is what accumulates in a time, at least one request.
func reserve(b **Bucket, rate float64, burst, maxWait, now time.Duration) (time.Duration, bool) {
	if *b == nil {
		*b = NewBucket(rate, 0, false, now)
	}
	(*b).Set(rate, max(1, rate*burst.Seconds()), now)
	return (*b).Reserve(1, maxWait, now)
}

// Empty reports whether no limit is known.
func (l *WorkerLimits) Empty() bool { return len(l.workers) == 0 }

// SetWait records how long a request to a worker would have to wait.
func (l *WorkerLimits) SetWait(worker string, wait, now time.Duration) {
	if w := l.worker(worker); w.isCold(now) {
		w.cold.freeAt = now + wait
	} else {
		w.freeAt = now + wait
	}
}

// Wait returns how long a request to a worker has to wait at least, as far as is known.
func (l *WorkerLimits) Wait(worker string, now time.Duration) time.Duration {
	w := l.workers[worker]
	switch {
	case w == nil:
		return 0
	case w.isCold(now):
		return max(0, w.freeAt-now, w.cold.freeAt-now)
	default:
		return max(0, w.freeAt-now)
	}
}

// Retain removes the limits of workers for which exists returns false.
func (l *WorkerLimits) Retain(exists func(worker string) bool) {
	for name := range l.workers {
		if !exists(name) {
			delete(l.workers, name)
		}
	}
}
