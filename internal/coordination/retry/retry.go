// Package retry decides what follows a failed attempt: another attempt, the continuation of a stream,
// or the end. It also ejects failing backend servers and attributes engine crashes to requests.
//
// No type here reads a clock, starts a goroutine or draws a random number, and none is safe for
// concurrent use.
package retry

import (
	"hash/fnv"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// Action is what to do after an attempt ended in an error.
type Action int

const (
	// GiveUp ends the request with the worst verdict of its attempts.
	GiveUp Action = iota
	// Retry starts another attempt after Decision.Wait.
	Retry
	// Resume continues the stream at its position on the same engine run.
	Resume
	// Await does nothing yet: another attempt of the request is in flight.
	Await
)

// Reason says why a decision was taken, for metrics and the timeline.
type Reason string

// The reasons of decisions.
const (
	ReasonRan           Reason = "ran"
	ReasonNotIdempotent Reason = "not_idempotent"
	ReasonAnswerBegun   Reason = "answer_begun"
	ReasonBudget        Reason = "budget_empty"
	ReasonAttempts      Reason = "attempts_used"
	ReasonDeadline      Reason = "deadline"
	ReasonRetry         Reason = "retry"
	ReasonResume        Reason = "resume"
	ReasonInFlight      Reason = "attempt_in_flight"
)

const (
	// maxAttempts bounds the attempts of one request, so that one request cannot empty the budget.
	maxAttempts = 3
	// maxResumes bounds the continuations of one stream without progress in between.
	maxResumes = 3
	// firstWait and maxWait bound the exponential back-off between attempts of a request.
	firstWait = 25 * time.Millisecond
	maxWait   = time.Second
)

// Call is the state of one request over all its attempts. Make it with NewCall, which accounts for the
// request in the budget.
type Call struct {
	id         string
	idempotent bool
	deadline   time.Time
	budget     *Budget
	attempts   int
	inFlight   int
	// worst is the verdict that holds for all ended attempts together.
	worst    verdict.Verdict
	begun    bool
	position int
	resumes  int
}

// NewCall starts a request and its first attempt. A zero deadline means none.
func NewCall(id string, idempotent bool, deadline time.Time, budget *Budget) *Call {
	budget.CountRequest()
	return &Call{id: id, idempotent: idempotent, deadline: deadline, budget: budget,
		attempts: 1, inFlight: 1, worst: verdict.NotRun}
}

// Sent records that the caller was sent the stream up to position, or the first byte of an answer that
// is not streamed. After it nothing but a continuation is possible.
func (c *Call) Sent(position int) {
	c.begun = true
	if position > c.position {
		c.position, c.resumes = position, 0
	}
}

// Failure describes the end of an attempt in an error.
type Failure struct {
	Verdict verdict.Verdict
	// Resumable says that the stream broke on an engine run that still exists and that accepts
	// continuation at a position.
	Resumable bool
}

// Decision says what to do.
type Decision struct {
	Action Action
	Reason Reason
	// Wait is the time before a Retry.
	Wait time.Duration
	// Position is where a Resume continues.
	Position int
}

// Failed ends an attempt and decides. A run that ended in a crash of its engine counts like any other
// failure; Blame says where the next one may start. A Retry has taken its extra attempt from the budget.
func (c *Call) Failed(f Failure, now time.Time) Decision {
	c.inFlight--
	v := f.Verdict
	if v < verdict.NotRun || v > verdict.Ran {
		v = verdict.MayHaveRun
	}
	c.worst = max(c.worst, v)
	if c.inFlight > 0 {
		return Decision{Action: Await, Reason: ReasonInFlight}
	}
	if f.Resumable && c.resumes < maxResumes && c.inTime(now) {
		c.resumes++
		c.inFlight++
		return Decision{Action: Resume, Reason: ReasonResume, Position: c.position}
	}
	if reason := c.refusal(now); reason != "" {
		return Decision{Reason: reason}
	}
	if !c.budget.Take() {
		return Decision{Reason: ReasonBudget}
	}
	wait := c.wait()
	c.attempts++
	c.inFlight++
	return Decision{Action: Retry, Reason: ReasonRetry, Wait: wait}
}

// refusal returns why no further attempt is permitted, whatever the budget, or an empty reason.
func (c *Call) refusal(now time.Time) Reason {
	switch {
	case c.begun:
		return ReasonAnswerBegun
	case c.worst == verdict.Ran:
		return ReasonRan
	case c.worst != verdict.NotRun && !c.idempotent:
		return ReasonNotIdempotent
	case c.attempts >= maxAttempts:
		return ReasonAttempts
	case !c.inTime(now.Add(c.wait())):
		return ReasonDeadline
	}
	return ""
}

func (c *Call) inTime(t time.Time) bool {
	return c.deadline.IsZero() || t.Before(c.deadline)
}

// wait doubles with each attempt and is spread over its upper half by a hash of the request id, so that
// requests which failed together do not return together.
func (c *Call) wait() time.Duration {
	full := min(firstWait<<(c.attempts-1), maxWait)
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.id)) // Never fails, by the documentation of hash.Hash.
	return full/2 + time.Duration(uint64(full/2)*uint64(h.Sum32())>>32)
}

// Hedge starts a second attempt beside the first when no byte has arrived after delay, and reports
// whether it did. Only an idempotent call is hedged, once, out of the retry budget.
func (c *Call) Hedge(elapsed, delay time.Duration, now time.Time) bool {
	if !c.idempotent || c.begun || c.inFlight != 1 || c.attempts != 1 || elapsed < delay || !c.inTime(now) {
		return false
	}
	if !c.budget.Take() {
		return false
	}
	c.attempts++
	c.inFlight++
	return true
}

// Verdict returns the verdict for the caller after GiveUp. It is not-run only if every attempt was.
func (c *Call) Verdict() verdict.Verdict {
	if c.inFlight > 0 {
		return verdict.MayHaveRun
	}
	return c.worst
}

// Attempts returns how many attempts were started, continuations not counted.
func (c *Call) Attempts() int { return c.attempts }
