// Package lease decides whether an instance may act: admit, spend, order and dispatch. Times are
// readings of the local monotonic clock; instances never compare theirs.
package lease

import (
	"slices"
	"time"
)

const (
	// Duration is how long evidence is good for. It bounds how long a cut-off instance goes on acting.
	Duration = 2 * time.Second
	// Margin is added to Duration by those who wait for another instance's lease to end. It covers clocks that
	// run at rates up to 20% apart.
	Margin = 500 * time.Millisecond
)

// Stream names a stream whose tail backs the lease.
type Stream int

// The streams that must both be read to the tail.
const (
	Config Stream = iota
	Control
	streams
)

// Positions are offsets of the next record to read, by stream.
type Positions [streams]uint64

// Covers reports whether every position is at least that of q.
func (p Positions) Covers(q Positions) bool {
	for i := range p {
		if p[i] < q[i] {
			return false
		}
	}
	return true
}

// Electorate is whose promises are needed while the log cannot be reached.
type Electorate struct {
	// Members are the incarnations registered, this one included.
	Members []string
	// Listed are the other instances that the platform's list shows as live, except those proven dead.
	// An instance counts before its join is known here, since it may have accepted records already.
	Listed []string
}

// Promise is a promise that an instance gave.
type Promise struct {
	// Instance and Incarnation name the one that promised.
	Instance, Incarnation string
	// Asked is the local time before the question was sent.
	Asked time.Duration
	// Positions are the stream positions of the one that promised.
	Positions Positions
}

// Lease is the freshness lease of one incarnation. It is not safe for concurrent use.
type Lease struct {
	self       string
	read       [streams]evidence
	logDown    bool
	positions  Positions
	electorate Electorate
	byInstance map[string]*promise
	own        evidence
	dirty      bool
	withdrawn  bool
	expires    time.Duration
}

// evidence is a time that may be absent, as a monotonic clock may start at zero.
type evidence struct {
	at time.Duration
	ok bool
}

func (e *evidence) advance(at time.Duration) {
	if !e.ok || at > e.at {
		e.at, e.ok = at, true
	}
}

// promise is the newest usable promise of one instance and the newest that waits until this instance
// has caught up with the promiser's positions.
type promise struct {
	incarnation string
	usable      evidence
	waiting     Promise
	isWaiting   bool
}

// New returns a lease that is not valid.
func New(self string) *Lease {
	return &Lease{self: self, byInstance: map[string]*promise{}}
}

// ReadTail records that a read of the stream, asked at the given time, reached the tail, and that all
// it returned has been applied. A read that waits for records must wait for less than Duration.
func (l *Lease) ReadTail(s Stream, asked time.Duration) {
	l.read[s].advance(asked)
	l.dirty = true
}

// LogFailed records that a read or append failed: promises count until LogAnswered.
func (l *Lease) LogFailed() {
	l.logDown, l.dirty = true, true
}

// LogAnswered records that the log can be reached.
func (l *Lease) LogAnswered() {
	l.update()
	l.logDown = false
}

// RecordOwnVote records this instance's own vote. It is called before each round of questions.
func (l *Lease) RecordOwnVote(now time.Duration) {
	l.own.advance(now)
	l.dirty = true
}

// WantPromise reports whether heartbeats should ask for promises.
func (l *Lease) WantPromise() bool { return l.logDown && !l.withdrawn }

// Advance records the positions up to which this instance has applied the streams.
func (l *Lease) Advance(p Positions) {
	for i := range p {
		l.positions[i] = max(l.positions[i], p[i])
	}
	l.dirty = true
}

// SetElectorate replaces the instances whose promises are needed.
func (l *Lease) SetElectorate(e Electorate) {
	l.electorate = e
	needed := make(map[string]bool, len(e.Members)+len(e.Listed))
	for _, i := range e.Listed {
		needed[i] = true
	}
	for _, m := range e.Members {
		needed[m] = true
	}
	for i, p := range l.byInstance {
		if !needed[i] && !needed[p.incarnation] {
			delete(l.byInstance, i)
		}
	}
	l.dirty = true
}

// RecordPromise records a promise. It counts once this instance has caught up with its positions.
func (l *Lease) RecordPromise(a Promise) {
	if a.Incarnation == l.self {
		return
	}
	p := l.byInstance[a.Instance]
	if p == nil || p.incarnation != a.Incarnation {
		p = &promise{incarnation: a.Incarnation}
		l.byInstance[a.Instance] = p
	}
	switch {
	case l.positions.Covers(a.Positions):
		p.usable.advance(a.Asked)
	case !p.isWaiting || l.positions.Covers(p.waiting.Positions) || a.Asked > p.waiting.Asked:
		p.waiting, p.isWaiting = a, true
	}
	l.dirty = true
}

// Withdraw ends the lease for good: the incarnation's membership is over.
func (l *Lease) Withdraw() { l.withdrawn = true }

// Valid reports whether the instance may act at the time.
func (l *Lease) Valid(now time.Duration) bool {
	if now >= l.expires {
		l.update()
	}
	return !l.withdrawn && now < l.expires
}

// Expires returns when the lease ends; it has ended if that is not in the future.
func (l *Lease) Expires() time.Duration {
	l.update()
	return l.expires
}

// update moves the end of the lease to Duration after the newest evidence. It runs when the answer is
// needed, not for each promise, because it looks at all of them.
func (l *Lease) update() {
	if !l.dirty {
		return
	}
	l.dirty = false
	if l.read[Config].ok && l.read[Control].ok {
		l.expires = max(l.expires, min(l.read[Config].at, l.read[Control].at)+Duration)
	}
	if l.logDown {
		if at, ok := l.promised(); ok {
			l.expires = max(l.expires, at+Duration)
		}
	}
}

// promised returns the newest time such that a majority of members and all listed instances gave
// promises asked at that time or later.
func (l *Lease) promised() (time.Duration, bool) {
	for _, p := range l.byInstance {
		if p.isWaiting && l.positions.Covers(p.waiting.Positions) {
			p.usable.advance(p.waiting.Asked)
			p.isWaiting = false
		}
	}
	at, ok := l.majority()
	if !ok {
		return 0, false
	}
	for _, i := range l.electorate.Listed {
		p := l.byInstance[i]
		if p == nil || !p.usable.ok {
			return 0, false
		}
		at = min(at, p.usable.at)
	}
	return at, true
}

// majority returns the newest time at or after which a majority of members voted.
func (l *Lease) majority() (time.Duration, bool) {
	isMember := make(map[string]bool, len(l.electorate.Members))
	for _, m := range l.electorate.Members {
		isMember[m] = true
	}
	need := len(isMember)/2 + 1
	if !isMember[l.self] || !l.own.ok {
		return 0, false
	}
	times := []time.Duration{l.own.at}
	for _, p := range l.byInstance {
		if p.usable.ok && isMember[p.incarnation] {
			times = append(times, p.usable.at)
		}
	}
	if len(times) < need {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-need], true
}
