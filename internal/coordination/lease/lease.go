// Package lease decides whether an instance may act, that is, admit and dispatch requests, spend tokens and send
// orders. Times are readings of the local monotonic clock; instances never compare their clocks with each other.
package lease

import (
	"slices"
	"time"
)

const (
	// Duration is how long a lease lasts after the evidence that backs it. It bounds how long an instance goes on
	// acting after it was cut off.
	Duration = 2 * time.Second
	// Margin is added to Duration by instances that wait for another instance's lease to end. It covers clocks whose
	// rates differ by up to 20%.
	Margin = 500 * time.Millisecond
)

// Stream identifies a stream of the log that must be read to its tail for a lease.
type Stream int

// The streams that must both be read to their tails.
const (
	Config Stream = iota
	Control
	streamCount
)

// Positions holds the offset of the next record to read of each stream.
type Positions [streamCount]uint64

// Covers reports whether every position is at least that of q.
func (p Positions) Covers(q Positions) bool {
	for i := range p {
		if p[i] < q[i] {
			return false
		}
	}
	return true
}

// Electorate is the set of instances whose promises are needed while the log cannot be reached.
type Electorate struct {
	// Members holds the registered incarnations, including this one.
	Members []string
	// Listed holds the other instances on the platform's list, except those proven dead. An instance counts before its
	// join is known here, since it may have accepted records already.
	Listed []string
}

// Promise is the answer of another instance that it knows of no withdrawal of this incarnation, and will act on none
// for Duration plus Margin.
type Promise struct {
	// Instance and Incarnation identify the instance that gave the promise.
	Instance, Incarnation string
	// Asked is the local time before the request for the promise was sent.
	Asked time.Duration
	// Positions holds the stream positions of the instance that gave the promise.
	Positions Positions
}

// Lease is the freshness lease of one incarnation. It is not safe for concurrent use.
type Lease struct {
	self       string
	tailReads  [streamCount]latest
	logDown    bool
	positions  Positions
	electorate Electorate
	byInstance map[string]*promises
	ownVote    latest
	dirty      bool
	withdrawn  bool
	expires    time.Duration
}

// latest is the latest of the recorded times. The flag ok is false if there is none, since a monotonic clock may start
// at zero.
type latest struct {
	at time.Duration
	ok bool
}

func (l *latest) advance(at time.Duration) {
	if !l.ok || at > l.at {
		l.at, l.ok = at, true
	}
}

// promises holds the newest usable promise of one instance, and the newest promise that counts only once this instance
// has reached the positions in it.
type promises struct {
	incarnation string
	usable      latest
	waiting     Promise
	isWaiting   bool
}

// New returns a lease that is not valid.
func New(self string) *Lease {
	return &Lease{self: self, byInstance: map[string]*promises{}}
}

// ReadTail records that a read of the stream, sent at the given time, reached the tail, and that all records that it
// returned have been applied. A read that waits for records must wait for less than Duration.
func (l *Lease) ReadTail(s Stream, asked time.Duration) {
	l.tailReads[s].advance(asked)
	l.dirty = true
}

// LogFailed records that a read or append failed. Promises count from then on until LogAnswered.
func (l *Lease) LogFailed() {
	l.logDown, l.dirty = true, true
}

// LogAnswered records that the log can be reached.
func (l *Lease) LogAnswered() {
	l.update()
	l.logDown = false
}

// RecordOwnVote records that this instance counts towards the majority as of now, like a member that gave a promise. It
// is called before each round of heartbeats that ask for promises.
func (l *Lease) RecordOwnVote(now time.Duration) {
	l.ownVote.advance(now)
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

// RecordPromise records a promise. It counts once this instance has reached the positions in it.
func (l *Lease) RecordPromise(promise Promise) {
	if promise.Incarnation == l.self {
		return
	}
	p := l.byInstance[promise.Instance]
	if p == nil || p.incarnation != promise.Incarnation {
		p = &promises{incarnation: promise.Incarnation}
		l.byInstance[promise.Instance] = p
	}
	switch {
	case l.positions.Covers(promise.Positions):
		p.usable.advance(promise.Asked)
	case !p.isWaiting || l.positions.Covers(p.waiting.Positions) || promise.Asked > p.waiting.Asked:
		p.waiting, p.isWaiting = promise, true
	}
	l.dirty = true
}

// Withdraw ends the lease permanently, because the incarnation is no longer a member.
func (l *Lease) Withdraw() { l.withdrawn = true }

// Valid reports whether the instance may act at the given time.
func (l *Lease) Valid(now time.Duration) bool {
	if now >= l.expires {
		l.update()
	}
	return !l.withdrawn && now < l.expires
}

// Expires returns when the lease ends. A time that is not in the future means that it has ended.
func (l *Lease) Expires() time.Duration {
	l.update()
	return l.expires
}

// update moves the end of the lease to Duration after the newest evidence. It runs when the result is needed, not for
// each promise, because it iterates over all promises.
func (l *Lease) update() {
	if !l.dirty {
		return
	}
	l.dirty = false
	if l.tailReads[Config].ok && l.tailReads[Control].ok {
		l.expires = max(l.expires, min(l.tailReads[Config].at, l.tailReads[Control].at)+Duration)
	}
	if l.logDown {
		if at, ok := l.promisedAt(); ok {
			l.expires = max(l.expires, at+Duration)
		}
	}
}

// promisedAt returns the newest time such that a majority of the members and all listed instances gave promises that
// were asked for at that time or later.
func (l *Lease) promisedAt() (time.Duration, bool) {
	for _, p := range l.byInstance {
		if p.isWaiting && l.positions.Covers(p.waiting.Positions) {
			p.usable.advance(p.waiting.Asked)
			p.isWaiting = false
		}
	}
	at, ok := l.majorityAt()
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

// majorityAt returns the newest time such that a majority of the members, which must include this instance, voted or gave
// promises that were asked for at that time or later.
func (l *Lease) majorityAt() (time.Duration, bool) {
	isMember := make(map[string]bool, len(l.electorate.Members))
	for _, m := range l.electorate.Members {
		isMember[m] = true
	}
	need := len(isMember)/2 + 1
	if !isMember[l.self] || !l.ownVote.ok {
		return 0, false
	}
	times := []time.Duration{l.ownVote.at}
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
