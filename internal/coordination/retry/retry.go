// Package retry decides what happens after a failed attempt: a retry, resuming the stream, or the end of
// the request. It also ejects failing backend servers and attributes engine crashes to requests.
//
// The types of this package read no clock, start no goroutine and use no random numbers. None is safe
// for concurrent use.
package retry

import (
	"hash/fnv"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// Action is what the caller must do after an attempt failed.
type Action int

const (
	// GiveUp ends the request with the verdict that Call.Verdict returns.
	GiveUp Action = iota
	// Retry starts another attempt after Decision.Wait.
	Retry
	// Resume continues the stream at Decision.Position on the same engine run.
	Resume
	// Await does nothing: another attempt of the request is still in flight.
	Await
)

// Reason is the reason for a Decision, for metrics and the event timeline.
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
	// maxAttempts limits the attempts of one request, so that one request cannot exhaust the budget.
	maxAttempts = 3
	// maxResumes limits how often a stream is resumed without progress in between.
	maxResumes = 3
	// initialBackoff and maxBackoff limit the exponential back-off between attempts of a request.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
)

// Call is the state of one request over all its attempts. Create it with NewCall, which counts the request
// in the budget.
type Call struct {
	id         string
	idempotent bool
	deadline   time.Time
	budget     *Budget
	attempts   int
	inFlight   int
	// worstVerdict is the highest verdict of the attempts that have ended.
	worstVerdict  verdict.Verdict
	answerStarted bool
	position      int
	resumes       int
}

// NewCall returns the state of a new request whose first attempt is in flight. A zero deadline means no
// deadline.
func NewCall(id string, idempotent bool, deadline time.Time, budget *Budget) *Call {
	budget.CountRequest()
	return &Call{id: id, idempotent: idempotent, deadline: deadline, budget: budget,
		attempts: 1, inFlight: 1, worstVerdict: verdict.NotRun}
}

// Sent records that the stream up to position, or the first byte of an answer that is not streamed, was
// sent to the caller. From then on the request can be resumed but not retried.
func (c *Call) Sent(position int) {
	c.answerStarted = true
	if position > c.position {
		c.position, c.resumes = position, 0
	}
}

// Failure describes how an attempt failed.
type Failure struct {
	Verdict verdict.Verdict
	// Resumable says that the stream broke, but its engine run still exists and can resume it at a
	// position.
	Resumable bool
}

// Decision is the result of Call.Failed.
type Decision struct {
	Action Action
	Reason Reason
	// Wait is the delay before a Retry.
	Wait time.Duration
	// Position is the stream position from which a Resume continues.
	Position int
}

// Failed records that an attempt failed and decides what happens next. An engine crash is handled like any
// other failure; CrashAttributor.MayStart says where the next attempt may run. If the result is Retry, the
// extra attempt has already been taken from the budget.
func (c *Call) Failed(f Failure, now time.Time) Decision {
	c.inFlight--
	v := f.Verdict
	if v < verdict.NotRun || v > verdict.Ran {
		v = verdict.MayHaveRun
	}
	c.worstVerdict = max(c.worstVerdict, v)
	if c.inFlight > 0 {
		return Decision{Action: Await, Reason: ReasonInFlight}
	}
	if f.Resumable && c.resumes < maxResumes && c.beforeDeadline(now) {
		c.resumes++
		c.inFlight++
		return Decision{Action: Resume, Reason: ReasonResume, Position: c.position}
	}
	if reason := c.retryRefusal(now); reason != "" {
		return Decision{Reason: reason}
	}
	if !c.budget.Take() {
		return Decision{Reason: ReasonBudget}
	}
	wait := c.backoff()
	c.attempts++
	c.inFlight++
	return Decision{Action: Retry, Reason: ReasonRetry, Wait: wait}
}

// Ended records that the request has ended, with the verdict of the attempt in flight: not-run if that was not sent. No
// further attempt follows.
func (c *Call) Ended(v verdict.Verdict) {
	c.inFlight--
	c.worstVerdict = max(c.worstVerdict, v)
}

// retryRefusal returns why no further attempt is permitted, the budget aside, or an empty reason.
func (c *Call) retryRefusal(now time.Time) Reason {
	switch {
	case c.answerStarted:
		return ReasonAnswerBegun
	case c.worstVerdict == verdict.Ran:
		return ReasonRan
	case c.worstVerdict != verdict.NotRun && !c.idempotent:
		return ReasonNotIdempotent
	case c.attempts >= maxAttempts:
		return ReasonAttempts
	case !c.beforeDeadline(now.Add(c.backoff())):
		return ReasonDeadline
	}
	return ""
}

func (c *Call) beforeDeadline(t time.Time) bool {
	return c.deadline.IsZero() || t.Before(c.deadline)
}

// backoff returns the delay before the next attempt. Its upper limit doubles with each attempt. A hash of
// the request id selects a value in the upper half, so that requests that failed together are not retried
// together.
func (c *Call) backoff() time.Duration {
	full := min(initialBackoff<<(c.attempts-1), maxBackoff)
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.id)) // hash.Hash documents that Write never returns an error.
	return full/2 + time.Duration(uint64(full/2)*uint64(h.Sum32())>>32)
}

// Hedge reports whether the caller should start a second attempt in parallel with the first because no
// byte has arrived within delay. Only idempotent calls are hedged, at most once, and the attempt is taken
// from the retry budget.
func (c *Call) Hedge(elapsed, delay time.Duration, now time.Time) bool {
	if !c.idempotent || c.answerStarted || c.inFlight != 1 || c.attempts != 1 || elapsed < delay || !c.beforeDeadline(now) {
		return false
	}
	if !c.budget.Take() {
		return false
	}
	c.attempts++
	c.inFlight++
	return true
}

// Verdict returns the verdict of the whole request after GiveUp. It is not-run only if every attempt had
// that verdict.
func (c *Call) Verdict() verdict.Verdict {
	if c.inFlight > 0 {
		return verdict.MayHaveRun
	}
	return c.worstVerdict
}

// Attempts returns the number of attempts that were started. A resumed stream is not a new attempt.
func (c *Call) Attempts() int { return c.attempts }
