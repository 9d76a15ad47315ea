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
	// initialReadTime and initialReadBase are the time of one token that is not cached, and what each prompt takes besides,
	// until the server's own times are learned.
	initialReadTime = 35 * time.Microsecond
	initialReadBase = 10 * time.Millisecond
	// freeAhead is the part of the time that a short prompt may wait, within which the long prompt that is being read must be
	// done for a further long one to be sent.
	freeAhead = 0.25
	// longEventShare replaces firstEventShare for long prompts: most of their time is that of reading, which is known better than
	// the wait for others.
	longEventShare = 1
	// urgentShare of the longest wait at which a request is on time, it is sent although it leaves less for more urgent ones.
	urgentShare = 0.5
	// lateSlots is the part of a server's slots that late work leaves free for work that is on time.
	lateSlots = 0.2
	// mixtureMemory is how long a server goes on with a mixture that requests of an instance have shown. Others see long
	// prompts more rarely and do not know it yet.
	mixtureMemory = time.Minute
	// maxParts bounds the parts of prompts that a server is taken to hold, and maxPartTokens what a caller may say of one.
	maxParts, maxPartTokens = 1024, 1 << 30
	// minReadTime and minReadBase keep the learned times above 0, from which they would never rise.
	minReadTime, minReadBase = time.Microsecond, time.Millisecond
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
	// drift is by how much the first event of the latest request came later than expected.
	drift time.Duration
	// mixture is the latest one that a request has shown, at the time seen.
	mixture Mixture
	seen    time.Duration
	// time is the time of one token that is not cached, and base what a prompt takes besides.
	time, base learnedTime
}

func newReading() reading {
	return reading{parts: map[uint64]*held{}, time: learnedTime{Duration: initialReadTime}, base: learnedTime{Duration: initialReadBase}}
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

// learn adds the time that the server took to read a prompt. Long prompts show the time of a token, short ones the rest.
func (c *reading) learn(r Request, uncached int64, took time.Duration) {
	if r.Mixture.isLong(uncached) {
		c.time.learn(max(minReadTime, (took-c.base.Duration)/time.Duration(uncached)))
	} else {
		c.base.learn(max(minReadBase, took-c.time.of(uncached)))
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
	return m.Long > 0 && float64(l.reading.time.of(m.Long)) >= significantShare*float64(m.ShortTarget)
}

// mixedWait returns the expected time that a request waits at the server before its prompt is read, and how long that then takes.
// One that waits for its adapter is expected to find the queue of now: while it waits, others are taken up to the same bounds.
func (l *Load) mixedWait(r Request, now time.Duration) (queued, read time.Duration) {
	read = l.reading.base.Duration + l.reading.time.of(l.reading.uncached(r))
	return max(l.roomAt(r, now, now), l.uncachedRead(now), l.lastFirst(now)) - now, read
}

// uncachedRead returns when the server is expected to have read the prompts that it has got so far, without what it has cached.
func (l *Load) uncachedRead(now time.Duration) time.Duration {
	took, since := time.Duration(0), now
	for _, p := range l.places {
		if !p.begun && p.ready <= now {
			took += l.reading.time.of(p.uncached)
			since = min(since, p.ready)
		}
	}
	return max(now, max(since, l.lastBegin)+took)
}

// lastFirst returns when the first event of the requests that wait at the server is expected at the latest: their prompts are
// read before that of a further one. The error of the latest such expectation is taken to be that of the others.
func (l *Load) lastFirst(now time.Duration) time.Duration {
	last := now
	for _, p := range l.places {
		if !p.begun && p.ready <= now {
			last = max(last, p.first+l.reading.drift)
		}
	}
	return last
}

// longUnread reports whether a long prompt waits to be read or is being read.
func (l *Load) longUnread() bool {
	for _, p := range l.places {
		if !p.begun && p.request.Mixture.isLong(p.uncached) {
			return true
		}
	}
	return false
}

// fits reports whether a request of a mixture may be sent to the server now, by what it delays there.
//
// The queue stays shorter than a short request can wait, whatever the target latency of the others, and a long prompt is not
// queued behind another one that will still be read for a while. Work of lower priority leaves a shorter queue. Late work
// is sent only where no request waits and slots remain for those that are on time. Work that is owed a place, since its
// like were served less than the others, has no such bounds.
func (l *Load) fits(r Request, ready, maxWait, now time.Duration) bool {
	limit := time.Duration(firstEventShare * float64(r.Mixture.ShortTarget))
	queued, read := l.mixedWait(r, now)
	loading := max(0, ready-now)
	long := r.Mixture.isLong(l.reading.uncached(r))
	if long {
		maxWait = time.Duration(longEventShare / firstEventShare * float64(maxWait))
	}
	urgent := loading+queued+read > time.Duration(urgentShare*float64(maxWait))
	switch {
	case r.Late:
		free := l.slots <= 0 || len(l.places) < l.slots-int(math.Ceil(lateSlots*float64(l.slots)))
		return queued <= 0 && free && (read <= limit || l.slots <= 0 || len(l.places) < l.slots/2)
	case loading+read > maxWait:
		// It cannot be expected in time even if it waits for nothing, but may be then.
		return queued <= time.Duration(freeAhead*float64(limit))
	case loading+queued+read > maxWait:
		return false
	case r.Owed:
		return true
	case urgent:
		return queued <= limit
	case long && l.longUnread():
		return queued+read <= limit || queued <= time.Duration(freeAhead*float64(limit))
	default:
		return queued <= limit/time.Duration(1+min(max(0, r.Priority), 9))
	}
}

// Defers reports whether the server takes a request of a mixture only where it delays nothing that is on time, so that a request
// without a place waits rather than being sent in any case.
func (l *Load) Defers(r Request, now time.Duration) bool {
	return !r.Owed && l.mixed(l.inMixture(r, now))
}

// HoldTime returns how long a request without a place waits until servers are asked again. The least wait is that of
// the servers asked so far, waited the time since the request arrived, and left the time until its deadline. The interval grows
// with the time waited, so that many held requests do not keep the owners busy under overload.
func HoldTime(least, waited, left time.Duration) time.Duration {
	const shortest, longest = 40 * time.Millisecond, time.Second
	return min(max(least/2, waited/4, shortest), longest, max(left, 0))
}
