// Package action decides one call that may not be repeated: admission, intent, dispatch or wait,
// outcome and answer. It also decides how records are batched into appends.
//
// A Call takes events and returns actions. Its verdicts concern the request it was made for: not-run
// means that this request ran nowhere and never will. It says nothing of an earlier request with the
// same key whose intent this instance cannot know of because the log is down.
package action

import (
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

const (
	// DefaultIntentTimeout bounds how long a call waits for its intent to be read back.
	DefaultIntentTimeout = 2 * time.Second
	// DefaultAppendRetryInterval is the pause before an append is repeated.
	DefaultAppendRetryInterval = 250 * time.Millisecond
)

// The HTTP statuses of refusals. Decision code does not import net/http.
const (
	statusConflict      = 409
	statusUnprocessable = 422
	statusBadGateway    = 502
	statusUnavailable   = 503
	statusTimeout       = 504
)

// Request is one call to decide.
type Request struct {
	Key intent.Key
	// BodyHash is the hash of the request body.
	BodyHash string
	// Created is the creation time of the key.
	Created time.Time
	// ID is unique per request and instance.
	ID string
	// Incarnation is the deciding instance's.
	Incarnation string
	// Deadline is when the caller must have an answer.
	Deadline time.Time
}

// Timing holds the durations of a call; zero fields take the defaults.
type Timing struct {
	IntentTimeout       time.Duration
	AppendRetryInterval time.Duration
}

// View is what the instance knows when an event occurs.
type View struct {
	// State is the fold's state of the key.
	State intent.State
	// IntentLost is the fold's answer for the call's current intent; see Call.IntentID.
	IntentLost bool
	// KeyExpired is the fold's answer for the key's creation time.
	KeyExpired bool
	// LeaseValid says that the instance may dispatch now.
	LeaseValid bool
	// DispatcherGone says that State.Dispatcher has left or was withdrawn.
	DispatcherGone bool
}

// Event is something that happened to a call.
type Event interface{ event() }

// ViewUpdate reports that the fold, the membership or the lease changed, or is given with a Tick.
type ViewUpdate struct{ View }

// AppendStatus is the result of an append.
type AppendStatus int

// The results of an append.
const (
	// Appended means that the records are in the log.
	Appended AppendStatus = iota + 1
	// AppendUnknown means that the append may take effect, now or later.
	AppendUnknown
	// AppendNotSent means that the records were not sent and never will be.
	AppendNotSent
)

// AppendResult reports the result of the Append action with the number Serial.
type AppendResult struct {
	Serial int
	Status AppendStatus
}

// DispatchResult reports the end of the dispatch. NotRun must be reported only if no backend server can
// have received a byte of the call, in any attempt. Ran carries the answer.
type DispatchResult struct {
	Result intent.Result
	Answer *intent.Answer
}

// Tick reports that time passed; see Call.WakeAt.
type Tick struct{}

func (ViewUpdate) event()     {}
func (AppendResult) event()   {}
func (DispatchResult) event() {}
func (Tick) event()           {}

// Action is something that the caller of Step must do.
type Action interface{ action() }

// Append asks for the records to be appended in one append, in order. The result is reported with an
// AppendResult.
type Append struct {
	Serial  int
	Records []record.Envelope
}

// Dispatch asks for the call to be sent to a backend server. It is returned at most once per Call.
//
// Go's net/http transport replays a request with the header Idempotency-Key or X-Idempotency-Key when
// a reused connection breaks. The outgoing request must therefore carry neither of them, no GetBody,
// and a method that the transport does not take for idempotent.
type Dispatch struct{}

// Respond asks for the answer to be given to the caller. It is the only answer of the call.
type Respond struct{ Answer *intent.Answer }

// Fail asks for the error to be given to the caller. It is the only answer of the call.
type Fail struct{ Err *verdict.Error }

// Done says that the call needs no more events.
type Done struct{}

func (Append) action()   {}
func (Dispatch) action() {}
func (Respond) action()  {}
func (Fail) action()     {}
func (Done) action()     {}

type phase int

const (
	// awaitingIntent waits for the own intent to be read back.
	awaitingIntent phase = iota + 1
	// awaitingOutcome waits for the outcome of another's dispatch.
	awaitingOutcome
	// dispatching waits for the end of the own dispatch.
	dispatching
	// recordingOutcome waits for the outcome record to be in the log.
	recordingOutcome
	// closingIntent waits for an abandoned intent to be closed.
	closingIntent
	done
)

// Call decides one call. It is not safe for concurrent use.
type Call struct {
	req    Request
	timing Timing
	phase  phase
	view   View
	// attempt counts the intents of this call.
	attempt int
	// serial numbers appends; firstSerial is the firstSerial serial of the current phase.
	serial, firstSerial int
	// unresolvedAppends counts appends of the current intent that may take effect.
	unresolvedAppends int
	// intentDeadline is when the wait for the intent ends.
	intentDeadline time.Time
	// retryAt is when the pending append is repeated; zero while one is under way.
	retryAt  time.Time
	records  []record.Envelope
	result   DispatchResult
	answered bool
}

// New returns the decision of one call and its first actions.
func New(req Request, t Timing, now time.Time, v View) (*Call, []Action) {
	if t.IntentTimeout == 0 {
		t.IntentTimeout = DefaultIntentTimeout
	}
	if t.AppendRetryInterval == 0 {
		t.AppendRetryInterval = DefaultAppendRetryInterval
	}
	c := &Call{req: req, timing: t, view: v}
	return c, c.resolve(now)
}

// IntentID returns the record id of the call's current intent.
func (c *Call) IntentID() string {
	return c.req.Incarnation + "/" + c.req.ID + "/" + strconv.Itoa(c.attempt)
}

// Finished reports whether the call needs no more events.
func (c *Call) Finished() bool { return c.phase == done }

// WakeAt returns when a Tick is due, and whether one is.
func (c *Call) WakeAt() (time.Time, bool) {
	if c.phase == done {
		return time.Time{}, false
	}
	var at time.Time
	if !c.answered {
		at = c.req.Deadline
		if c.phase == awaitingIntent {
			at = c.intentDeadline
		}
	}
	if !c.retryAt.IsZero() && (at.IsZero() || c.retryAt.Before(at)) {
		at = c.retryAt
	}
	return at, !at.IsZero()
}

// Step takes one event. Deadlines are checked before the event, so a call whose instance was paused
// past its deadline never dispatches on waking.
func (c *Call) Step(now time.Time, ev Event) []Action {
	if o, ok := ev.(ViewUpdate); ok {
		c.view = o.View
	}
	acts := c.checkDeadlines(now)
	switch e := ev.(type) {
	case ViewUpdate:
		acts = append(acts, c.viewUpdated(now)...)
	case AppendResult:
		acts = append(acts, c.appendResult(now, e)...)
	case DispatchResult:
		if c.phase == dispatching {
			acts = append(acts, c.dispatchEnded(e)...)
		}
	}
	if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
		acts = append(acts, c.appendPending())
	}
	return acts
}

// checkDeadlines answers a caller whose time is up.
func (c *Call) checkDeadlines(now time.Time) []Action {
	if c.answered || c.phase == done {
		return nil
	}
	if c.phase == awaitingIntent {
		if now.Before(c.intentDeadline) {
			return nil
		}
		return c.abandon()
	}
	if now.Before(c.req.Deadline) {
		return nil
	}
	if c.phase == recordingOutcome && c.result.Result == intent.Ran {
		return c.refuse(retryableError(verdict.Ran, statusUnavailable, "outcome_not_recorded",
			"the call ran but its outcome could not be recorded yet"))
	}
	return c.refuse(retryableError(verdict.MayHaveRun, statusTimeout, "deadline_exceeded",
		"the call was dispatched and its outcome is not known yet"))
}

// resolve acts on the key's state when the call has no intent that may still own it.
func (c *Call) resolve(now time.Time) []Action {
	s := c.view.State
	switch {
	case s.Known() && (s.Body != c.req.BodyHash || s.CreatedMilli != c.req.Created.UnixMilli()):
		return c.finish(c.refuse(verdict.New(verdict.NotRun, statusUnprocessable,
			"idempotency_key_reused", "the Idempotency-Key was used with another body or creation time")))
	case s.Result == intent.Ran && s.Answer == nil:
		return c.finish(c.refuse(verdict.New(verdict.Ran, statusConflict,
			"answer_not_recorded", "the call ran; its answer was too large to record")))
	case s.Result == intent.Ran:
		return c.finish(c.answer(s.Answer))
	case s.Result == intent.Unknown, s.Pending() && c.view.DispatcherGone:
		return c.finish(c.refuse(verdict.New(verdict.MayHaveRun, statusConflict,
			"outcome_unknown", "an earlier request with this key may have run")))
	case s.Pending():
		c.phase, c.retryAt = awaitingOutcome, time.Time{}
		return nil
	}
	return c.appendIntent(now)
}

// appendIntent appends an intent under a new record id.
func (c *Call) appendIntent(now time.Time) []Action {
	c.attempt++
	c.phase, c.unresolvedAppends = awaitingIntent, 0
	c.intentDeadline = now.Add(c.timing.IntentTimeout)
	if c.req.Deadline.Before(c.intentDeadline) {
		c.intentDeadline = c.req.Deadline
	}
	c.records = []record.Envelope{c.intentRecord()}
	c.firstSerial = c.serial + 1
	return []Action{c.appendPending()}
}

// viewUpdated acts on a new view.
func (c *Call) viewUpdated(now time.Time) []Action {
	own := c.view.State.IntentID == c.IntentID() && c.attempt > 0
	switch c.phase {
	case awaitingIntent:
		switch {
		case c.view.IntentLost:
			return c.resolve(now)
		case own && c.view.LeaseValid:
			c.phase, c.retryAt = dispatching, time.Time{}
			return []Action{Dispatch{}}
		}
	case awaitingOutcome:
		if !c.view.State.Pending() || c.view.DispatcherGone {
			return c.resolve(now)
		}
	case recordingOutcome:
		if c.view.KeyExpired || c.view.IntentLost || own && c.view.State.Result != "" {
			return c.outcomeRecorded()
		}
	case closingIntent:
		if c.view.KeyExpired || c.view.IntentLost {
			return c.finish(nil)
		}
	}
	return nil
}

// abandon refuses the call and makes sure that its intent, if one is or may come to be in the log,
// is closed.
func (c *Call) abandon() []Action {
	var acts []Action
	s := c.view.State
	switch {
	case s.Result == intent.Ran && s.Answer != nil && s.Body == c.req.BodyHash:
		acts = c.answer(s.Answer)
	case s.Known() && s.IntentID != "" && s.IntentID != c.IntentID():
		acts = c.refuse(retryableError(verdict.MayHaveRun, statusUnavailable,
			"log_unavailable", "an earlier request with this key may have run"))
	default:
		acts = c.refuse(retryableError(verdict.NotRun, statusUnavailable,
			"log_unavailable", "the call could not be recorded before its dispatch"))
	}
	c.retryAt = time.Time{}
	if c.unresolvedAppends == 0 {
		return c.finish(acts)
	}
	// The intent is repeated before the outcome. Whether or not the first append takes effect, and
	// however late, the intent is closed once this append is in the log.
	c.phase = closingIntent
	c.records = []record.Envelope{c.intentRecord(), c.outcomeRecord(DispatchResult{Result: intent.NotRun})}
	c.firstSerial = c.serial + 1
	return append(acts, c.appendPending())
}

// dispatchEnded acts on the end of the dispatch. Only a call that ran waits for its record before the
// caller is answered: the other two verdicts hold without it.
func (c *Call) dispatchEnded(e DispatchResult) []Action {
	c.phase, c.result = recordingOutcome, e
	var acts []Action
	switch {
	case c.answered || e.Result == intent.Ran:
	case e.Result == intent.NotRun:
		acts = c.refuse(retryableError(verdict.NotRun, statusUnavailable,
			"backend_unavailable", "no backend server took the call"))
	default:
		acts = c.refuse(verdict.New(verdict.MayHaveRun, statusBadGateway,
			"outcome_unknown", "the backend server may have run the call"))
	}
	c.records = []record.Envelope{c.outcomeRecord(e)}
	c.firstSerial = c.serial + 1
	return append(acts, c.appendPending())
}

// outcomeRecorded answers the caller after the outcome is in the log.
func (c *Call) outcomeRecorded() []Action {
	if c.answered {
		return c.finish(nil)
	}
	return c.finish(c.answer(c.result.Answer))
}

func (c *Call) appendResult(now time.Time, e AppendResult) []Action {
	if c.phase == awaitingIntent && e.Status == AppendNotSent && e.Serial >= c.firstSerial {
		c.unresolvedAppends--
	}
	if e.Serial != c.serial {
		return nil
	}
	switch {
	case c.phase != awaitingIntent && c.phase != recordingOutcome && c.phase != closingIntent:
	case e.Status != Appended:
		c.retryAt = now.Add(c.timing.AppendRetryInterval)
	case c.phase == recordingOutcome:
		return c.outcomeRecorded()
	case c.phase == closingIntent:
		return c.finish(nil)
	}
	return nil
}

// appendPending emits the pending records under a new serial number.
func (c *Call) appendPending() Action {
	c.serial++
	c.retryAt = time.Time{}
	if c.phase == awaitingIntent {
		c.unresolvedAppends++
	}
	return Append{Serial: c.serial, Records: c.records}
}

func (c *Call) answer(a *intent.Answer) []Action {
	c.answered = true
	return []Action{Respond{Answer: a}}
}

func (c *Call) refuse(err *verdict.Error) []Action {
	c.answered = true
	return []Action{Fail{Err: err}}
}

func (c *Call) finish(acts []Action) []Action {
	c.phase, c.retryAt = done, time.Time{}
	return append(acts, Done{})
}

func (c *Call) intentRecord() record.Envelope {
	return c.envelope(intent.KindIntent, c.IntentID(), intent.Intent{
		Key: c.req.Key, Body: c.req.BodyHash, CreatedMilli: c.req.Created.UnixMilli(), RequestID: c.req.ID,
	})
}

func (c *Call) outcomeRecord(d DispatchResult) record.Envelope {
	out := intent.Outcome{Key: c.req.Key, IntentID: c.IntentID(), Result: d.Result}
	if d.Result == intent.Ran && d.Answer != nil && len(d.Answer.Body) <= intent.MaxAnswerBytes {
		out.Answer = d.Answer
	}
	return c.envelope(intent.KindOutcome, c.IntentID()+"/outcome", out)
}

func (c *Call) envelope(kind record.Kind, id string, body any) record.Envelope {
	// Encoding these structs of strings, integers and byte slices cannot fail.
	e, _ := record.New(kind, id, c.req.Incarnation, body)
	return e
}

// retryAfter is what a refused caller is asked to wait.
const retryAfter = 2 * time.Second

func retryableError(v verdict.Verdict, status int, code, message string) *verdict.Error {
	return verdict.New(v, status, code, message).WithRetryAfter(retryAfter)
}
