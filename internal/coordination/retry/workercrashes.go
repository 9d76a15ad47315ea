package retry

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// brokenAttemptWindow is how long a broken attempt is evidence.
	brokenAttemptWindow = time.Minute
	// minBrokenWorkers is the number of workers on which attempts must have been cut off before a suspect is refused;
	// minCrashedWorkers is how many of these workers must have been confirmed as crashed.
	minBrokenWorkers  = 3
	minCrashedWorkers = 2
	// initialRefusal is the length of a suspect's first refusal. Each further one is twice as long, up to maxRefusal.
	initialRefusal = time.Minute
	maxRefusal     = time.Hour
	// probation is how long after a refusal a single crash suffices for the next one.
	probation = time.Hour
	// probationHold is how long a suspect on probation is refused while an attempt that was cut off is looked into.
	probationHold = time.Second
	// answerMemory is the shortest time for which an answer clears a suspect in advance. It is short because what
	// requests ask for may begin to crash workers, for instance after the workers' software has changed.
	answerMemory = 2 * time.Second
	// maxSuspects bounds the suspects in memory, and maxAnswered those that were answered in one answerMemory.
	// Further ones are not tracked until older ones expire.
	maxSuspects = 4096
	maxAnswered = 16384
	// maxBrokenWorkers bounds the workers in memory on which attempts were cut off.
	maxBrokenWorkers = 1024
)

// Suspect identifies a possible cause of crashes that requests have in common: one request that is sent again, or a part
// of a prompt.
type Suspect string

const promptPartPrefix = "part:"

// RequestSuspect returns the suspect that stands for a request, given a short form of its fingerprint.
func RequestSuspect(fingerprint string) Suspect { return Suspect(fingerprint) }

// PromptPartSuspect returns the suspect that stands for a part of prompts.
func PromptPartSuspect(id string) Suspect { return Suspect(promptPartPrefix + id) }

// PromptPart returns the part of prompts that the suspect stands for, or false if it stands for a request.
func (s Suspect) PromptPart() (id string, ok bool) {
	return strings.CutPrefix(string(s), promptPartPrefix)
}

// BrokenAttempt is an attempt that was cut off at a worker before its answer began, or after that if the worker has crashed.
type BrokenAttempt struct {
	// Worker identifies the worker incarnation.
	Worker string
	// Crashed is true if the worker was found to be gone right after the attempt.
	Crashed bool
	// Suspects are ordered from the one that most requests have to the one that fewest have. After the answer began, the request is
	// the only one.
	Suspects []Suspect
	// Own is true if the attempt was one of this instance.
	Own bool
}

// Refusal is the refusal of all requests that have a suspect.
type Refusal struct {
	Suspect   Suspect
	Remaining time.Duration
	// Number counts the refusals of the suspect from 1, so that an instance adopts each refusal once.
	Number int
}

// brokenWorker is a worker incarnation on which attempts were cut off.
type brokenWorker struct {
	lastBroken time.Duration
	crashed    bool
	// explained is set once the crash is attributed to a part of a prompt. The worker is then no evidence against others.
	explained bool
	// suspects are those of the attempts. The value is false for a suspect that an answer has cleared.
	suspects map[Suspect]bool
}

// suspicion is the evidence against one suspect.
type suspicion struct {
	workers map[string]bool
	// specificity is the suspect's largest index in the list of an attempt, and above all of these for a request.
	specificity int
	// own is set if an attempt of this instance was cut off.
	own bool
}

type refusalState struct {
	until time.Duration
	// heldUntil is the end of a hold, which begins after the end of the refusal.
	heldUntil time.Duration
	number    int
	// workers are the evidence that led to the refusal, and those of attempts that were sent before it. They are no
	// evidence for the next refusal, but for a request they count in comparisons with other suspects.
	workers map[string]bool
}

// WorkerCrashTracker finds what crashes every worker that begins to answer it. Its input is the attempts that all
// instances saw cut off, and the answers. An answer that has begun clears the parts of its prompt of all earlier crashes, and one
// that is complete clears the request as well. Of the suspects that attempts at the same workers have in common, the one with the most workers is refused,
// and of those with equally many the most specific one. It is not safe for concurrent use.
type WorkerCrashTracker struct {
	workers  map[string]*brokenWorker
	suspects map[Suspect]*suspicion
	refusals map[Suspect]*refusalState
	// answered and answeredBefore are the suspects that were answered in the current and the previous answerMemory.
	answered, answeredBefore map[Suspect]bool
	answeredSince            time.Duration
}

// NewWorkerCrashTracker returns a WorkerCrashTracker without evidence.
func NewWorkerCrashTracker() *WorkerCrashTracker {
	return &WorkerCrashTracker{
		workers: map[string]*brokenWorker{}, suspects: map[Suspect]*suspicion{}, refusals: map[Suspect]*refusalState{},
		answered: map[Suspect]bool{}, answeredBefore: map[Suspect]bool{},
	}
}

// Answered records an answer that clears the suspects. It returns those whose refusal this ends.
func (c *WorkerCrashTracker) Answered(list []Suspect, now time.Duration) []Suspect {
	if age := now - c.answeredSince; age > answerMemory {
		c.answeredBefore = c.answered
		if age > 2*answerMemory {
			// These answers no longer count. Evidence may have been added since.
			c.answeredBefore = map[Suspect]bool{}
		}
		c.answered, c.answeredSince = make(map[Suspect]bool, len(c.answeredBefore)), now
	}
	var ended []Suspect
	for _, s := range list {
		if len(c.answered) < maxAnswered {
			c.answered[s] = true
		}
		c.clear(s)
		if c.refusals[s] != nil {
			delete(c.refusals, s)
			ended = append(ended, s)
		}
	}
	return ended
}

// clear drops the evidence against a suspect.
func (c *WorkerCrashTracker) clear(s Suspect) {
	e := c.suspects[s]
	if e == nil {
		return
	}
	for name := range e.workers {
		c.workers[name].suspects[s] = false
	}
	delete(c.suspects, s)
}

// Unanswered returns the suspects of the list that were not answered lately.
func (c *WorkerCrashTracker) Unanswered(list []Suspect, now time.Duration) []Suspect {
	return slices.DeleteFunc(slices.Clone(list), func(s Suspect) bool { return c.RecentlyAnswered(s, now) })
}

// RecentlyAnswered reports whether an answer cleared the suspect within answerMemory, or at most twice that time.
func (c *WorkerCrashTracker) RecentlyAnswered(s Suspect, now time.Duration) bool {
	age := now - c.answeredSince
	return c.answered[s] && age <= 2*answerMemory || c.answeredBefore[s] && age <= answerMemory
}

// Add records an attempt that was cut off. Suspects that were answered lately, or since the worker's first attempt was
// cut off, are not counted.
func (c *WorkerCrashTracker) Add(b BrokenAttempt, now time.Duration) {
	c.expire(now)
	w := c.workers[b.Worker]
	if w == nil {
		if len(c.workers) >= maxBrokenWorkers {
			return
		}
		w = &brokenWorker{suspects: map[Suspect]bool{}}
		c.workers[b.Worker] = w
	}
	w.lastBroken = now
	w.crashed = w.crashed || b.Crashed
	c.Hold(b.Suspects, now)
	for _, s := range b.Suspects {
		if !c.inForce(s, now) {
			continue
		}
		// The attempt was sent before the refusal.
		if _, isPart := s.PromptPart(); isPart {
			c.explain(w, b.Worker)
		} else {
			c.refusals[s].workers[b.Worker] = true
		}
	}
	for i, s := range b.Suspects {
		counts, known := w.suspects[s]
		switch {
		case w.explained || known && !counts:
		case c.RecentlyAnswered(s, now):
			w.suspects[s] = false
		default:
			c.addEvidence(s, i, b)
		}
	}
}

// Hold refuses the suspects on probation for probationHold: an attempt with them was cut off, and it is not known yet
// whether its worker has crashed.
func (c *WorkerCrashTracker) Hold(list []Suspect, now time.Duration) {
	c.expire(now)
	for _, s := range list {
		if r := c.refusals[s]; r != nil && !c.inForce(s, now) {
			r.heldUntil = now + probationHold
		}
	}
}

// addEvidence records a worker as evidence against the suspect with the given index in the attempt's list.
func (c *WorkerCrashTracker) addEvidence(s Suspect, index int, b BrokenAttempt) {
	e := c.suspects[s]
	if e == nil {
		if len(c.suspects) >= maxSuspects {
			return
		}
		e = &suspicion{workers: map[string]bool{}}
		c.suspects[s] = e
	}
	e.workers[b.Worker] = true
	if _, isPart := s.PromptPart(); !isPart {
		index = math.MaxInt
	}
	e.specificity = max(e.specificity, index)
	e.own = e.own || b.Own
	c.workers[b.Worker].suspects[s] = true
}

// explain drops a worker from the evidence against all suspects.
func (c *WorkerCrashTracker) explain(w *brokenWorker, name string) {
	w.explained = true
	for s, counts := range w.suspects {
		if !counts {
			continue
		}
		e := c.suspects[s]
		if delete(e.workers, name); len(e.workers) == 0 {
			delete(c.suspects, s)
		}
	}
	clear(w.suspects)
}

// Known reports whether attempts were recently cut off at the worker.
func (c *WorkerCrashTracker) Known(worker string) bool { return c.workers[worker] != nil }

// Confirmed reports whether the worker is known to have crashed.
func (c *WorkerCrashTracker) Confirmed(worker string) bool {
	w := c.workers[worker]
	return w != nil && w.crashed
}

// Suspected reports whether attempts with one of the suspects were recently cut off at a worker other than the given
// one, or whether one was refused before. The caller should then find out whether the worker crashed.
func (c *WorkerCrashTracker) Suspected(list []Suspect, worker string, now time.Duration) bool {
	c.expire(now)
	return slices.ContainsFunc(list, func(s Suspect) bool {
		e := c.suspects[s]
		return c.refusals[s] != nil || e != nil && (len(e.workers) > 1 || len(e.workers) == 1 && !e.workers[worker])
	})
}

// Decide refuses the suspects for which the evidence suffices, and returns them. Only suspects with evidence of this
// instance are considered, since it alone has asked the others for answers.
func (c *WorkerCrashTracker) Decide(now time.Duration) []Refusal {
	c.expire(now)
	var refused []Refusal
	for _, s := range slices.Sorted(maps.Keys(c.suspects)) {
		e := c.suspects[s]
		if e == nil || !e.own || !c.sufficient(s, e) {
			continue
		}
		number := 1
		if previous := c.refusals[s]; previous != nil {
			number = previous.number + 1
		}
		r := Refusal{Suspect: s, Remaining: refusalLength(number), Number: number}
		c.refuse(r, now)
		refused = append(refused, r)
	}
	return refused
}

// sufficient reports whether the evidence against a suspect suffices to refuse it.
func (c *WorkerCrashTracker) sufficient(s Suspect, e *suspicion) bool {
	previous := c.refusals[s]
	crashed := 0
	for name := range e.workers {
		if c.workers[name].crashed && (previous == nil || !previous.workers[name]) {
			crashed++
		}
	}
	if previous != nil {
		return crashed > 0
	}
	if len(e.workers) < minBrokenWorkers || crashed < minCrashedWorkers {
		return false
	}
	for name := range e.workers {
		for other, counts := range c.workers[name].suspects {
			if !counts || other == s {
				continue
			}
			o := c.suspects[other]
			if len(o.workers) > len(e.workers) || len(o.workers) == len(e.workers) && o.specificity > e.specificity {
				return false
			}
		}
	}
	return true
}

// refusalLength returns the length of a suspect's refusal with the given number.
func refusalLength(number int) time.Duration {
	length := initialRefusal
	for range number - 1 {
		if length = 2 * length; length >= maxRefusal {
			return maxRefusal
		}
	}
	return length
}

// refuse starts a refusal. Crashes of workers that a part of prompts explains are no evidence against anything else.
func (c *WorkerCrashTracker) refuse(r Refusal, now time.Duration) {
	if c.refusals[r.Suspect] == nil && len(c.refusals) >= maxSuspects {
		return
	}
	state := &refusalState{until: now + min(r.Remaining, maxRefusal), number: r.Number, workers: map[string]bool{}}
	c.refusals[r.Suspect] = state
	e := c.suspects[r.Suspect]
	if e == nil {
		return
	}
	state.workers = maps.Clone(e.workers)
	if _, isPart := r.Suspect.PromptPart(); isPart {
		for name := range state.workers {
			c.explain(c.workers[name], name)
		}
	}
}

// Adopt applies another instance's refusal and reports whether it did: a refusal is adopted once, and not if this
// instance has seen its suspect answered lately.
func (c *WorkerCrashTracker) Adopt(r Refusal, now time.Duration) bool {
	c.expire(now)
	known := c.refusals[r.Suspect]
	if r.Remaining <= 0 || known != nil && known.number >= r.Number || c.RecentlyAnswered(r.Suspect, now) {
		return false
	}
	c.refuse(r, now)
	return true
}

// inForce reports whether requests with the suspect are refused.
func (c *WorkerCrashTracker) inForce(s Suspect, now time.Duration) bool {
	r := c.refusals[s]
	return r != nil && now < r.until
}

// Refused returns the refusal or the hold of one of the suspects, if there is any.
func (c *WorkerCrashTracker) Refused(list []Suspect, now time.Duration) (Refusal, bool) {
	for _, s := range list {
		r := c.refusals[s]
		if r == nil {
			continue
		}
		if end := max(r.until, r.heldUntil); now < end {
			return Refusal{Suspect: s, Remaining: end - now, Number: r.number}, true
		}
	}
	return Refusal{}, false
}

// Refusals returns the refusals in force, sorted by suspect.
func (c *WorkerCrashTracker) Refusals(now time.Duration) []Refusal {
	var list []Refusal
	for _, s := range slices.Sorted(maps.Keys(c.refusals)) {
		if c.inForce(s, now) {
			r := c.refusals[s]
			list = append(list, Refusal{Suspect: s, Remaining: r.until - now, Number: r.number})
		}
	}
	return list
}

// Refuses reports whether any refusal may be in force.
func (c *WorkerCrashTracker) Refuses() bool { return len(c.refusals) > 0 }

// Tracks reports whether there is evidence or a refusal that an answer could clear.
func (c *WorkerCrashTracker) Tracks() bool { return len(c.suspects) > 0 || len(c.refusals) > 0 }

func (c *WorkerCrashTracker) expire(now time.Duration) {
	for name, w := range c.workers {
		if now-w.lastBroken > brokenAttemptWindow {
			c.explain(w, name)
			delete(c.workers, name)
		}
	}
	for s, r := range c.refusals {
		if now-r.until > probation {
			delete(c.refusals, s)
		}
	}
}
