// Package workerload decides which requests a backend server with a batch of limited size takes. The server's owner runs
// it for the requests of all instances, since each of them alone has about one request there and cannot know the rest.
//
// It handles load of this kind: an adapter that becomes popular within seconds fills the few servers at which it is
// resident, while others are half idle; a server that has become slow; long prompts that keep others waiting. A request
// that would wait too long is not admitted, so that it goes to another server or the adapter is loaded at one more.
//
// No type here reads a clock, and none is safe for concurrent use.
package workerload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialPromptTime and initialOutputTime are the times of one token of a prompt and of an answer, and initialBaseTime is
	// what a first event takes besides, until the server's own ones are learned.
	initialPromptTime = 40 * time.Microsecond
	initialOutputTime = 10 * time.Millisecond
	initialBaseTime   = 40 * time.Millisecond
	// minPromptTime and minBaseTime keep the learned times above 0, from which they would never rise.
	minPromptTime = time.Microsecond
	minBaseTime   = time.Millisecond
	// learnWeight is the weight of one ended request in the learned times.
	learnWeight = 0.15
	// maxLearnedFactor bounds the change of a learned time by one request, so that a single outlier does not close a server.
	maxLearnedFactor = 4
	// overdueEnd is how soon a request that runs a little longer than expected is expected to end.
	overdueEnd = 100 * time.Millisecond
	// overdueShare of its expected duration beyond its expected end, a running request shows that the server has become
	// slower; it need not have ended for that. It is then expected to run on for this share of the time so far.
	overdueShare = 0.5
)

// Request is the size of a request in tokens.
type Request struct {
	Prompt, Output int64
	// Expected is the expected number of tokens of the answer, 0 if only Output is known, which is the maximum.
	Expected int64
	// Mixture is that of the request's service; the fields below it matter only if it is not zero.
	Mixture Mixture
	// Parts are the leading parts of the prompt that it has in common with others.
	Parts []Part
	// Late means that the request cannot be on time any more, and Owed that it has waited for so long that it is sent in any case.
	Late, Owed bool
	// Share says whose request it is, if places are divided between workspaces.
	Share Share
}

func (r Request) tokens() int64 { return r.Prompt + r.Output }

// place is an admitted request.
type place struct {
	id      uint64
	request Request
	// uncached is the number of tokens of its prompt that the server was expected to read.
	uncached int64
	// given is when the request got its place, and ready when it is expected to be sent: at once, or when its adapter is loaded.
	given, ready time.Duration
	// first is when the first event of the answer is expected, and end when its last one is.
	first, end time.Duration
	// overdue is when the request is next found to run longer than expected.
	overdue time.Duration
	// unqueued is true if the server was expected to have room for the request when it was sent.
	unqueued bool
	// begun is true once the first event has arrived.
	begun bool
	// expires is when the request has ended in any case.
	expires time.Duration
}

// compareEnds orders places by their expected ends.
func compareEnds(x, y *place) int { return cmp.Or(cmp.Compare(x.end, y.end), cmp.Compare(x.id, y.id)) }

// Load is what runs at one incarnation of a server, as far as its owner has admitted it.
type Load struct {
	slots  int
	memory int64
	last   uint64
	places map[uint64]*place
	// lastBegin is when the first event of the latest request to begin arrived.
	lastBegin time.Duration
	// promptTime and outputTime are the learned times of one token, for prompts that is not cached, and baseTime is what a first event
	// takes besides the reading. Prompts are read one after the other, but their base times overlap.
	promptTime, outputTime, baseTime learnedTime
	// reading is what is known of prompts of mixtures.
	reading reading
	// shares is what the workspaces use.
	shares sharing
}

// New returns the load of a server that runs a number of requests at once, which hold a number of tokens at most. 0 means
// that there is no such limit.
func New(slots int, memoryTokens int64) *Load {
	return &Load{
		slots: slots, memory: memoryTokens, places: map[uint64]*place{},
		promptTime: learnedTime{Duration: initialPromptTime}, outputTime: learnedTime{Duration: initialOutputTime},
		baseTime: learnedTime{Duration: initialBaseTime}, reading: newReading(),
	}
}

// StartPlaces sets the number after which places are numbered.
func (l *Load) StartPlaces(number uint64) { l.last = number }

// Running returns the number of requests that have a place.
func (l *Load) Running(now time.Duration) int {
	l.expire(now)
	return len(l.places)
}

// expire drops the places whose requests have ended in any case, and learns from those that run longer than expected.
func (l *Load) expire(now time.Duration) {
	var overdue []*place
	for id, p := range l.places {
		if now >= p.overdue && p.request.length() > 0 {
			overdue = append(overdue, p)
		}
		if now >= p.expires {
			delete(l.places, id)
		}
	}
	// The order in which the learned times change must not be that of the map, which differs between runs.
	slices.SortFunc(overdue, compareEnds)
	for _, p := range overdue {
		running := now - p.first
		l.outputTimeOf(p.request).learn(running / time.Duration(p.request.length()))
		p.overdue = now + time.Duration(overdueShare*float64(running))
		p.end = p.overdue
	}
}

// Wait returns the expected time until the first event of a request that is sent as soon as the server has its adapter, at
// the time ready or now.
func (l *Load) Wait(r Request, ready, now time.Duration) time.Duration {
	l.expire(now)
	if r = l.inMixture(r, now); l.mixed(r) {
		queued, read := l.mixedWait(r, now)
		return max(ready, now) - now + queued + read
	}
	return max(ready, l.roomAt(r, ready, now), l.promptsRead(now)) + l.promptTime.of(r.Prompt) + l.baseTime.Duration - now
}

// promptsRead returns when the server is expected to have read the prompts that it has got so far. It reads one after the
// other.
func (l *Load) promptsRead(now time.Duration) time.Duration {
	tokens, since := int64(0), now
	for _, p := range l.places {
		if !p.begun && p.ready <= now {
			tokens += p.uncached
			since = min(since, p.ready)
		}
	}
	return max(now, max(since, l.lastRead())+l.promptTime.of(tokens))
}

// lastRead returns when the server had read the prompt of the latest request that has begun.
func (l *Load) lastRead() time.Duration { return l.lastBegin - l.baseTime.Duration }

// roomAt returns when the server is expected to have a slot and memory for a request that is sent at the time ready or now. Those
// that are sent later, since they wait for their adapters, do not keep it waiting.
func (l *Load) roomAt(r Request, ready, now time.Duration) time.Duration {
	held := int64(0)
	ends := make([]*place, 0, len(l.places))
	for _, p := range l.places {
		if p.ready > max(ready, now) {
			continue
		}
		held += p.request.tokens()
		ends = append(ends, p)
	}
	running := len(ends)
	fits := func() bool {
		return (l.slots <= 0 || running < l.slots) && (l.memory <= 0 || running == 0 || held+r.tokens() <= l.memory)
	}
	if fits() {
		return now
	}
	slices.SortFunc(ends, compareEnds)
	at := now
	for _, p := range ends {
		running--
		held -= p.request.tokens()
		at = max(at, p.end, now+overdueEnd)
		if fits() {
			break
		}
	}
	return at
}

// Admit gives a request a place if its first event is expected within maxWait and its workspace is not over its share; otherwise the
// place is 0. The server has the request's adapter at the time ready. Lifetime is how long the request lasts at most.
func (l *Load) Admit(r Request, ready, maxWait, lifetime, now time.Duration) (place uint64, wait time.Duration) {
	r = l.inMixture(r, now)
	wait = l.Wait(r, ready, now)
	l.shares.ask(r.Share, l.placeTime(r), now)
	if _, over := l.OverShare(r, maxWait, now); over {
		return 0, wait
	}
	admitted := wait <= maxWait
	if l.mixed(r) {
		admitted = l.fits(r, ready, maxWait, now)
	}
	if !admitted {
		return 0, wait
	}
	return l.Add(r, ready, lifetime, now), wait
}

// Add gives a place to a request that is sent in any case.
func (l *Load) Add(r Request, ready, lifetime, now time.Duration) uint64 {
	r = l.inMixture(r, now)
	wait := l.Wait(r, ready, now)
	running := l.outputTimeOf(r).of(r.length())
	first := now + wait
	l.shares.give(r.Share, l.placeTime(r), now)
	l.last++
	l.places[l.last] = &place{
		id: l.last, request: r, given: now, ready: max(ready, now), first: first, end: first + running, overdue: first + time.Duration((1+overdueShare)*float64(running)),
		unqueued: l.roomAt(r, ready, now) <= now, expires: now + lifetime, uncached: l.unread(r),
	}
	if l.mixed(r) {
		l.reading.hold(r, l.memory, now)
	}
	return l.last
}

// Begin records that the first event of a request has arrived, which was sent some time after it got its place.
func (l *Load) Begin(id uint64, delay, now time.Duration) {
	p := l.places[id]
	if p == nil || p.begun {
		return
	}
	p.begun, p.ready = true, min(p.given+max(0, delay), now)
	p.end += now - p.first
	p.overdue += now - p.first
	p.first = now
	if p.unqueued && p.uncached > 0 {
		l.learnReading(p, now)
	}
	l.lastBegin = now
}

// learnReading learns from a request whose first event has just arrived. One that waited for the prompt before it shows how long
// the reading of its own took. Any other shows the sum of reading and base time, one of which is corrected.
func (l *Load) learnReading(p *place, now time.Duration) {
	tokens, base := p.uncached, l.baseTime.Duration
	reading := now - p.ready - base
	switch {
	case p.ready < l.lastRead():
		reading = now - l.lastBegin
	case l.learnsBase(p):
		l.baseTime.learn(max(minBaseTime, now-p.ready-l.promptTime.of(tokens)))
		return
	}
	l.promptTime.learn(max(minPromptTime, reading/time.Duration(tokens)))
}

// End returns a place. Complete is true if the whole answer has arrived.
func (l *Load) End(id uint64, complete bool, now time.Duration) {
	p := l.places[id]
	if p == nil {
		return
	}
	delete(l.places, id)
	if length := p.request.length(); complete && p.begun && length > 0 {
		l.outputTimeOf(p.request).learn((now - p.first) / time.Duration(length))
	}
}

// learnedTime is the learned time of one token.
type learnedTime struct {
	time.Duration
	// seen counts the requests from which it was learned.
	seen int
}

// of returns the time of a number of tokens.
func (t *learnedTime) of(tokens int64) time.Duration { return time.Duration(tokens) * t.Duration }

// learn moves the learned time towards that of a request: the first ones count fully, later ones by learnWeight.
func (t *learnedTime) learn(seen time.Duration) {
	t.seen++
	seen = min(max(seen, t.Duration/maxLearnedFactor), t.Duration*maxLearnedFactor)
	t.Duration += time.Duration(max(learnWeight, 1/float64(t.seen)) * float64(seen-t.Duration))
}
