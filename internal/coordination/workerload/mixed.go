package workerload

import (
	"math"
	"time"
)

// Part is a leading part of a prompt that requests have in common.
type Part struct {
	ID     uint64
	Tokens int64
}

const (
	// significantShare of the target latency of short prompts is what reading a long one must take for a mixture to matter.
	significantShare = 0.2
	// longEventShare replaces firstEventShare for long prompts: most of their time is that of reading, which is known better than
	// the wait for others.
	longEventShare = 1
	// lateSlots is the part of a server's slots that late work leaves free for work that is on time.
	lateSlots = 0.2
	// mixtureMemory is how long a server goes on with a mixture that requests of an instance have shown. Others see long
	// prompts more rarely and do not know it yet.
	mixtureMemory = time.Minute
	// maxParts bounds the parts of prompts that a server is taken to hold, and maxPartTokens what a caller may say of one.
	maxParts, maxPartTokens = 1024, 1 << 30
)

// held is a part of a prompt that the server is expected to have cached.
type held struct {
	tokens int64
	used   time.Duration
}

// reading is what a Load knows of the reading of prompts beyond their total size.
type reading struct {
	parts  map[uint64]*held
	tokens int64
	// mixture is the latest one that a request has shown, at the time seen.
	mixture Mixture
	seen    time.Duration
	// outputTime is the learned time of one token of an answer whose length was expected. That of the others is learned by their
	// maximum and is therefore shorter.
	outputTime learnedTime
}

func newReading() reading {
	return reading{parts: map[uint64]*held{}, outputTime: learnedTime{Duration: initialOutputTime}}
}

// uncached returns the tokens of a prompt that the server must read. Only leading parts can be cached.
func (c *reading) uncached(r Request) int64 {
	n := max(0, r.Prompt)
	for _, p := range r.Parts {
		if c.parts[p.ID] == nil {
			break
		}
		n -= min(max(0, p.Tokens), n)
	}
	return n
}

// hold records that the server reads the parts of a request's prompt. The parts that were used longest ago are dropped when
// they exceed the server's memory, if it is known.
func (c *reading) hold(r Request, memory int64, now time.Duration) {
	for _, p := range r.Parts {
		h := c.parts[p.ID]
		if h == nil {
			h = &held{tokens: min(max(0, p.Tokens), maxPartTokens)}
			c.parts[p.ID] = h
			c.tokens += h.tokens
		}
		h.used = now
	}
	for len(c.parts) > maxParts || memory > 0 && c.tokens > memory && len(c.parts) > 0 {
		oldest := uint64(0)
		used := time.Duration(math.MaxInt64)
		for id, h := range c.parts {
			if h.used < used || h.used == used && id < oldest {
				oldest, used = id, h.used
			}
		}
		c.tokens -= c.parts[oldest].tokens
		delete(c.parts, oldest)
	}
}

// inMixture returns a request with the mixture of its service, as far as this or another request has shown it.
func (l *Load) inMixture(r Request, now time.Duration) Request {
	switch c := &l.reading; {
	case r.Mixture.Long > 0:
		c.mixture, c.seen = r.Mixture, now
	case c.mixture.Long > 0 && now-c.seen < mixtureMemory:
		r.Mixture = c.mixture
	}
	return r
}

// mixed reports whether a request belongs to a mixture in which reading a long prompt takes a significant part of the target
// latency of short ones at this server.
func (l *Load) mixed(r Request) bool {
	m := r.Mixture
	return m.Long > 0 && float64(l.promptTime.of(m.Long)) >= significantShare*float64(m.ShortTarget)
}

// length returns the tokens of an answer as they are expected, or their maximum if that is not known.
func (r Request) length() int64 {
	if r.Expected > 0 {
		return min(r.Expected, r.Output)
	}
	return r.Output
}

// outputTimeOf returns the learned time of one token of an answer's length.
func (l *Load) outputTimeOf(r Request) *learnedTime {
	if r.Expected > 0 {
		return &l.reading.outputTime
	}
	return &l.outputTime
}

// unread returns the tokens of a request's prompt that the server must read. Outside of mixtures none is taken to be cached.
func (l *Load) unread(r Request) int64 {
	if !l.mixed(r) {
		return r.Prompt
	}
	return l.reading.uncached(r)
}

// learnsBase reports whether a request whose first event shows the sum of reading and base time corrects the base time: the
// larger part is corrected, or in a mixture the base time by short prompts and the time of a token by long ones.
func (l *Load) learnsBase(p *place) bool {
	if l.mixed(p.request) {
		return !p.request.Mixture.isLong(p.uncached)
	}
	return l.promptTime.of(p.uncached) < l.baseTime.Duration
}

// mixedWait returns the expected time that a request waits at the server before its prompt is read, and how long its first event
// then takes. One that waits for its adapter is expected to find the queue of now: while it waits, others are taken.
func (l *Load) mixedWait(r Request, now time.Duration) (queued, read time.Duration) {
	return max(l.roomAt(r, now, now), l.promptsRead(now)) - now, l.promptTime.of(l.unread(r)) + l.baseTime.Duration
}

// fits reports whether a request of a mixture may be sent to the server now: if it is expected in time, or if it is late already and
// takes neither time nor a slot from work that is on time.
func (l *Load) fits(r Request, ready, maxWait, now time.Duration) bool {
	queued, read := l.mixedWait(r, now)
	if r.Late {
		return queued <= 0 && (l.slots <= 0 || len(l.places) < l.slots-int(math.Ceil(lateSlots*float64(l.slots))))
	}
	if r.Mixture.isLong(l.unread(r)) {
		maxWait = time.Duration(longEventShare / firstEventShare * float64(maxWait))
	}
	return max(0, ready-now)+queued+read <= maxWait
}

// Defers reports whether the server takes a request of a mixture only where it is expected in time or delays nothing that is, so that
// a request without a place waits rather than being sent in any case.
func (l *Load) Defers(r Request, now time.Duration) bool {
	return !r.Owed && l.mixed(l.inMixture(r, now))
}

// minPatience and patienceTargets are how long callers are taken to wait for a first event: a time, or a multiple of their target
// latency if that is longer. They follow from callers that gave up streams after this time.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
)

// Owed reports whether a request has waited for so long that it is sent where it waits least: for half of the time for which its caller
// is taken to wait, or for a third of the time until its deadline. The rest is for the wait at the server and the beginning of the answer.
func Owed(waited, left, target time.Duration) bool {
	return waited >= min(left, max(minPatience, patienceTargets*target))/2
}

// HoldTime returns how long a request without a place waits until servers are asked again. The least wait is that of
// the servers asked so far, waited the time since the request arrived, and left the time until its deadline. The interval grows
// with the time waited, so that many held requests do not keep the owners busy under overload.
func HoldTime(least, waited, left time.Duration) time.Duration {
	const shortest, longest = 40 * time.Millisecond, time.Second
	return min(max(least/2, waited/4, shortest), longest, max(left, 0))
}
