package workerload

import (
	"math"
	"slices"
	"time"
)

const (
	// initialPlainTime is the time of one request until the worker's own is learned.
	initialPlainTime = 30 * time.Millisecond
	// minPlainTime is the least time that is learned.
	minPlainTime = 100 * time.Microsecond
	// minRemainingShare of the time per request is the least time after which a running request is expected to end.
	minRemainingShare = 1.0 / 8
	// maxFailureDoublings bounds how long places of requests that a worker has failed are kept: 32 times the time per request.
	maxFailureDoublings = 5
	// probeInterval is the time after which a worker that is too slow for the requests gets one nevertheless, since only that shows
	// that it has become faster.
	probeInterval = time.Second
)

// Outlook is what a further request may expect of a worker.
type Outlook struct {
	// Wait is the time until the worker begins the request; 0 if it has room.
	Wait time.Duration
	// Room is how many further requests per second the worker can take without letting them wait.
	Room float64
	// Time is how long it takes for one request.
	Time time.Duration
	// OverShare is the time until the workspace of a request that got no place for holding more than its share holds less; 0 if that
	// is not the reason.
	OverShare time.Duration
}

// Ending is how a request with a place at a plain worker ended.
type Ending int

// The endings.
const (
	// Completed: the worker's whole answer has arrived.
	Completed Ending = iota + 1
	// Unsent: the request was not sent to the worker after all.
	Unsent
	// Rejected: the worker did not take it.
	Rejected
	// Abandoned: the instance gave the request up, since its caller had left or its time was over.
	Abandoned
	// Failed: the worker may have run it, but its answer did not arrive.
	Failed
)

// plainPlace is a request at a plain worker.
type plainPlace struct {
	number uint64
	// workspace is that of the request, if places are divided between workspaces.
	workspace string
	// ahead is how many requests were at the worker when this one was admitted.
	ahead int
	// begun is true once the worker is expected to run the request, since the time start.
	begun bool
	start time.Duration
	// failed is true if the worker has failed the request; its place is kept until expires.
	failed  bool
	expires time.Duration
}

// Plain is what runs and waits at one incarnation of a plain service's worker, as far as its keeper has admitted it. The worker
// runs a number of requests at once and takes the others in the order of arrival.
//
// It handles load of this kind: many instances with few requests each, of which some data centres have more than others;
// bursts; a worker that has become slow, fails requests at once, or takes fewer waiting requests than it is sent.
type Plain struct {
	slots int
	last  uint64
	// places are in the order of admission; the first of them, as many as the worker runs at once, have begun.
	places []*plainPlace
	time   learnedTime
	// depth is how many requests the worker takes at once, running and waiting. It falls when the worker rejects one, and
	// rises when it completes as many.
	depth int
	// failures is how many requests the worker has failed since it completed one.
	failures int
	// given is when the latest place was given.
	given time.Duration
	// shares is what the workspaces use.
	shares sharing
}

// NewPlain returns the load of a worker that runs a number of requests at once. Places are numbered after first, which differs
// between the keepers of a worker, so that a report to an earlier one ends no place of a later one.
func NewPlain(slots int, first uint64) *Plain {
	return &Plain{slots: max(1, slots), last: first, time: learnedTime{Duration: initialPlainTime}, depth: math.MaxInt}
}

// settle drops the places that have ended by now, and begins the requests for which the worker then has room.
func (l *Plain) settle(now time.Duration) {
	l.places = slices.DeleteFunc(l.places, func(p *plainPlace) bool { return now >= p.expires })
	for _, p := range l.places[:min(l.slots, len(l.places))] {
		if !p.begun {
			p.begun, p.start = true, now
		}
	}
}

// Running returns the number of requests that have a place.
func (l *Plain) Running(now time.Duration) int {
	l.settle(now)
	return len(l.places)
}

// Time returns the learned time of one request.
func (l *Plain) Time() time.Duration { return l.time.Duration }

// Room returns how many further requests per second the worker can take.
func (l *Plain) Room(now time.Duration) float64 {
	l.settle(now)
	return float64(max(0, l.slots-len(l.places))) / l.time.Seconds()
}

// Wait returns the expected time until the worker begins a further request; 0 if it has room.
func (l *Plain) Wait(now time.Duration) time.Duration {
	l.settle(now)
	if len(l.places) < l.slots {
		return 0
	}
	remaining := make([]time.Duration, 0, l.slots)
	for _, p := range l.places[:l.slots] {
		remaining = append(remaining, l.remaining(p, now))
	}
	slices.Sort(remaining)
	waiting := len(l.places) - l.slots
	wait := remaining[waiting%l.slots] + time.Duration(waiting/l.slots)*l.time.Duration
	if len(l.places) >= l.depth {
		wait = max(wait, l.time.Duration)
	}
	return wait
}

// remaining returns the time after which a running request is expected to end. One that runs longer than usual is expected to
// run on for as long as it is overdue, since its worker may have become slower.
func (l *Plain) remaining(p *plainPlace, now time.Duration) time.Duration {
	if p.failed {
		return p.expires - now
	}
	return max((p.start + l.time.Duration - now).Abs(), time.Duration(minRemainingShare*float64(l.time.Duration)))
}

// Bounds are those within which a worker must be expected to begin a request and to complete it. Within is 0 if the time of its
// completion does not matter.
type Bounds struct {
	MaxWait, Within time.Duration
	// Share says whose request it is, if places are divided between workspaces.
	Share Share
}

// admits reports whether the worker is expected to serve a request within its bounds.
func (l *Plain) admits(b Bounds, now time.Duration) bool {
	wait := l.Wait(now)
	if wait > b.MaxWait || len(l.places) >= l.depth {
		return false
	}
	return b.Within <= 0 || wait+l.time.Duration <= b.Within || len(l.places) == 0 && now-l.given >= probeInterval
}

// Admit gives a request a place if the worker is expected to serve it within its bounds and its workspace is not over its share;
// otherwise the place is 0. Lifetime is how long the request lasts at most. The outlook is that of the next request.
func (l *Plain) Admit(b Bounds, lifetime, now time.Duration) (place uint64, o Outlook) {
	l.settle(now)
	l.shares.ask(b.Share, l.time.Duration, now)
	until, over := l.overShare(b, now)
	if !over && l.admits(b, now) {
		l.shares.give(b.Share, l.time.Duration, now)
		l.last++
		l.given = now
		place = l.last
		l.places = append(l.places, &plainPlace{number: place, workspace: b.Share.Workspace, ahead: len(l.places), expires: now + lifetime})
	}
	return place, Outlook{Wait: l.Wait(now), Room: l.Room(now), Time: l.time.Duration, OverShare: until}
}

// End returns a place. The place of a request that the worker has failed is kept for the time of a request, and longer with each
// that it fails: else a worker that fails requests at once would seem to have room for the requests of all.
func (l *Plain) End(number uint64, how Ending, now time.Duration) {
	l.settle(now)
	i := slices.IndexFunc(l.places, func(p *plainPlace) bool { return p.number == number })
	if i < 0 || l.places[i].failed {
		return
	}
	p := l.places[i]
	switch how {
	case Completed:
		l.failures = 0
		if p.begun {
			l.time.learn(max(minPlainTime, now-p.start))
		}
		if l.depth < math.MaxInt && p.ahead+1 >= l.depth {
			l.depth++
		}
	case Abandoned:
		// It would have taken longer still.
		if p.begun && now-p.start > l.time.Duration {
			l.time.learn(now - p.start)
		}
	case Rejected:
		l.depth = max(1, min(l.depth, p.ahead))
	case Failed:
		if p.begun {
			p.failed = true
			p.expires = min(p.expires, p.start+l.time.Duration<<min(l.failures, maxFailureDoublings))
			l.failures++
			l.settle(now)
			return
		}
	}
	l.places = slices.Delete(l.places, i, i+1)
	l.settle(now)
}
