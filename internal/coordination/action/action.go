// Package action implements at-most-once execution of calls that must not be repeated, as a state machine
// without I/O: it records an intent in the log, dispatches the call or waits for another dispatch with
// the same key, records the outcome and responds to the caller. It also batches records into appends.
//
// A Call takes events and returns actions. A verdict applies only to the request that the Call was
// created for: not-run means that this request has run nowhere and never will. It says nothing about an
// earlier request with the same key whose intent this instance cannot see because the log is down.
package action

import (
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

const (
	// DefaultIntentTimeout is how long a call waits for its intent to be read back from the log.
	DefaultIntentTimeout = 2 * time.Second
	// DefaultAppendRetryInterval is the delay before an append is retried.
	DefaultAppendRetryInterval = 250 * time.Millisecond
)

// HTTP status codes of errors. Decision packages do not import net/http.
const (
	statusConflict      = 409
	statusUnprocessable = 422
	statusBadGateway    = 502
	statusUnavailable   = 503
	statusTimeout       = 504
)

// Request describes the call that a Call is created for.
type Request struct {
	Key intent.Key
	// BodyHash is the hash of the request body.
	BodyHash string
	// Created is the creation time of the idempotency key.
	Created time.Time
	// ID is unique per request and instance.
	ID string
	// Incarnation identifies the process that handles the call.
	Incarnation string
	// Deadline is when the caller must have received a response.
	Deadline time.Time
}

// Timing holds the timeouts of a call. Zero fields take the defaults.
type Timing struct {
	IntentTimeout       time.Duration
	AppendRetryInterval time.Duration
}

// View is the state known to the instance when an event occurs.
type View struct {
	// State is the state of the key in the intent.Fold.
	State intent.State
	// IntentIneligible is the result of intent.Fold.Ineligible for the call's current intent; see Call.IntentID.
	IntentIneligible bool
	// KeyExpired is the result of intent.Fold.Expired for the key's creation time.
	KeyExpired bool
	// LeaseValid means that the instance may dispatch now.
	LeaseValid bool
	// DispatcherGone means that State.Dispatcher has left the fleet or was withdrawn.
	DispatcherGone bool
}

// Event is an input to Call.Step.
type Event interface{ event() }

// ViewUpdate reports a change of the fold, the membership or the lease. It may also be sent in place of
// a Tick.
type ViewUpdate struct{ View }

// AppendStatus is the result of an append.
type AppendStatus int

// Append results.
const (
	// Appended means that the records are in the log.
	Appended AppendStatus = iota + 1
	// AppendUnknown means that the append may have taken effect or may still do so.
	AppendUnknown
	// AppendNotSent means that the records were not sent and never will be.
	AppendNotSent
)

// AppendResult reports the result of the Append action with the same Serial.
type AppendResult struct {
	Serial int
	Status AppendStatus
}

// DispatchResult reports the end of the dispatch. Result may be NotRun only if no backend server can
// have received any byte of the call in any attempt. Answer is set if Result is Ran.
type DispatchResult struct {
	Result intent.Result
	Answer *intent.Answer
}

// Tick reports that time has passed; see Call.WakeAt.
type Tick struct{}

// Stop reports that the instance stops soon: the caller must be answered now. A call that was not dispatched is abandoned; the
// outcome of one that was is still recorded.
type Stop struct{}

func (ViewUpdate) event()     {}
func (AppendResult) event()   {}
func (DispatchResult) event() {}
func (Tick) event()           {}
func (Stop) event()           {}

// Action is an operation that the caller of New or Step must perform.
type Action interface{ action() }

// Append requests that the records be written to the log in one append, in order. The result is reported
// in an AppendResult.
type Append struct {
	Serial  int
	Records []record.Envelope
}

// Dispatch requests that the call be sent to a backend server. It is returned at most once per Call.
//
// Go's net/http transport retries a request with the header Idempotency-Key or X-Idempotency-Key when a
// reused connection breaks. The outgoing request must therefore have neither header, no GetBody, and a
// method that the transport does not treat as idempotent.
type Dispatch struct{}

// Respond requests that the answer be returned to the caller. A Call returns only one Respond or Fail.
type Respond struct{ Answer *intent.Answer }

// Fail requests that the error be returned to the caller. A Call returns only one Respond or Fail.
type Fail struct{ Err *verdict.Error }

// Done reports that the call needs no more events.
type Done struct{}

func (Append) action()   {}
func (Dispatch) action() {}
func (Respond) action()  {}
func (Fail) action()     {}
func (Done) action()     {}

type phase int

const (
	// awaitingIntent waits for the call's own intent to be read back from the log.
	awaitingIntent phase = iota + 1
	// awaitingOutcome waits for the outcome of another request's dispatch with the same key.
	awaitingOutcome
	// dispatching waits for the end of the call's own dispatch.
	dispatching
	// recordingOutcome waits until the outcome record is in the log.
	recordingOutcome
	// closingIntent waits until an abandoned intent is closed.
	closingIntent
	done
)

// Call is the state machine of one call. It is not safe for concurrent use.
type Call struct {
	req    Request
	timing Timing
	phase  phase
	view   View
	// attempt counts the intents that this call has appended.
	attempt int
	// serial is the number of the last append; firstSerial is the first one of the current records.
	serial, firstSerial int
	// unresolvedAppends counts the appends of the current intent that may have taken effect or may
	// still do so.
	unresolvedAppends int
	// intentDeadline is when awaitingIntent times out.
	intentDeadline time.Time
	// retryAt is when the append of records is retried; zero if no retry is scheduled.
	retryAt        time.Time
	records        []record.Envelope
	dispatchResult DispatchResult
	responded      bool
	// stopping is set once the instance has announced that it stops.
	stopping bool
}

// New returns the Call for a request and its first actions.
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

// IntentID returns the record ID of the call's current intent.
func (c *Call) IntentID() string {
	return c.req.Incarnation + "/" + c.req.ID + "/" + strconv.Itoa(c.attempt)
}

// Finished reports whether the call needs no more events.
func (c *Call) Finished() bool { return c.phase == done }

// WakeAt returns the time of the next Tick, and whether one is needed.
func (c *Call) WakeAt() (time.Time, bool) {
	if c.phase == done {
		return time.Time{}, false
	}
	var at time.Time
	if !c.responded {
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

// Step handles one event and returns the resulting actions. Deadlines are checked before the event, so a
// call whose instance was paused past its deadline is not dispatched when the instance resumes.
func (c *Call) Step(now time.Time, ev Event) []Action {
	switch e := ev.(type) {
	case ViewUpdate:
		c.view = e.View
	case Stop:
		c.stopping = true
		c.req.Deadline, c.intentDeadline = now, now
	}
	actions := c.checkDeadlines(now)
	switch e := ev.(type) {
	case ViewUpdate:
		actions = append(actions, c.handleViewUpdate(now)...)
	case AppendResult:
		actions = append(actions, c.handleAppendResult(now, e)...)
	case DispatchResult:
		if c.phase == dispatching {
			actions = append(actions, c.handleDispatchResult(e)...)
		}
	}
	if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
		actions = append(actions, c.appendPending())
	}
	return actions
}

// checkDeadlines responds to the caller if the call's deadline or the timeout of its intent has passed.
func (c *Call) checkDeadlines(now time.Time) []Action {
	if c.responded || c.phase == done {
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
	if c.phase == recordingOutcome && c.dispatchResult.Result == intent.Ran {
		return c.fail(errorWithRetryAfter(verdict.Ran, statusBadGateway, "outcome_not_recorded",
			"the call ran but its outcome could not be recorded yet"))
	}
	if c.stopping {
		return c.fail(verdict.New(verdict.MayHaveRun, statusBadGateway, "stopped", "the instance stopped before the outcome was known"))
	}
	return c.fail(errorWithRetryAfter(verdict.MayHaveRun, statusTimeout, "deadline_exceeded",
		"the call was dispatched and its outcome is not known yet"))
}

// resolve acts on the state of the key. It must be called only while the call has no intent that can still own
// the key.
func (c *Call) resolve(now time.Time) []Action {
	s := c.view.State
	switch {
	case c.responded:
		return c.finish(nil)
	case s.Known() && (s.BodyHash != c.req.BodyHash || s.CreatedMilli != c.req.Created.UnixMilli()):
		return c.finish(c.fail(verdict.New(verdict.NotRun, statusUnprocessable,
			"idempotency_key_reused", "the Idempotency-Key was used with another body or creation time")))
	case s.Result == intent.Ran && s.Answer == nil:
		return c.finish(c.fail(verdict.New(verdict.Ran, statusConflict,
			"answer_not_recorded", "the call ran; its answer was too large to record")))
	case s.Result == intent.Ran:
		return c.finish(c.respond(s.Answer))
	case s.Result == intent.Unknown, s.Pending() && c.view.DispatcherGone:
		return c.finish(c.fail(verdict.New(verdict.MayHaveRun, statusConflict,
			"outcome_unknown", "an earlier request with this key may have run")))
	case s.Pending():
		c.phase, c.retryAt = awaitingOutcome, time.Time{}
		return nil
	}
	return c.appendIntent(now)
}

// appendIntent appends an intent with a new record ID.
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

// handleViewUpdate acts on a changed view.
func (c *Call) handleViewUpdate(now time.Time) []Action {
	own := c.view.State.IntentID == c.IntentID() && c.attempt > 0
	switch c.phase {
	case awaitingIntent:
		switch {
		case c.view.IntentIneligible:
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
		if c.view.KeyExpired || c.view.IntentIneligible || own && c.view.State.Result != "" {
			return c.outcomeRecorded()
		}
	case closingIntent:
		if c.view.KeyExpired || c.view.IntentIneligible {
			return c.finish(nil)
		}
	}
	return nil
}

// abandon ends the wait for the intent and responds to the caller. It also closes the call's intent if
// the intent is in the log or may still get there.
func (c *Call) abandon() []Action {
	var actions []Action
	s := c.view.State
	switch {
	case s.Result == intent.Ran && s.Answer != nil && s.BodyHash == c.req.BodyHash:
		actions = c.respond(s.Answer)
	case s.Known() && s.IntentID != "" && s.IntentID != c.IntentID():
		actions = c.fail(errorWithRetryAfter(verdict.MayHaveRun, statusBadGateway,
			"log_unavailable", "an earlier request with this key may have run"))
	default:
		actions = c.fail(errorWithRetryAfter(verdict.NotRun, statusUnavailable,
			"log_unavailable", "the call could not be recorded before its dispatch"))
	}
	c.retryAt = time.Time{}
	if c.unresolvedAppends == 0 {
		return c.finish(actions)
	}
	// Append the intent again before the outcome. Then the intent is closed once this append is in the
	// log, whether or not the first append takes effect, however late.
	c.phase = closingIntent
	c.records = []record.Envelope{c.intentRecord(), c.outcomeRecord(DispatchResult{Result: intent.NotRun})}
	c.firstSerial = c.serial + 1
	return append(actions, c.appendPending())
}

// handleDispatchResult acts on the end of the dispatch. Only if the call ran does the caller's response
// wait until the outcome is recorded: the other two verdicts hold without the record.
func (c *Call) handleDispatchResult(e DispatchResult) []Action {
	c.phase, c.dispatchResult = recordingOutcome, e
	var actions []Action
	switch {
	case c.responded || e.Result == intent.Ran:
	case e.Result == intent.NotRun:
		actions = c.fail(errorWithRetryAfter(verdict.NotRun, statusUnavailable,
			"backend_unavailable", "no backend server took the call"))
	default:
		actions = c.fail(verdict.New(verdict.MayHaveRun, statusBadGateway,
			"outcome_unknown", "the backend server may have run the call"))
	}
	c.records = []record.Envelope{c.outcomeRecord(e)}
	c.firstSerial = c.serial + 1
	return append(actions, c.appendPending())
}

// outcomeRecorded responds to the caller once the outcome is in the log.
func (c *Call) outcomeRecorded() []Action {
	if c.responded {
		return c.finish(nil)
	}
	return c.finish(c.respond(c.dispatchResult.Answer))
}

// handleAppendResult acts on the result of an append.
func (c *Call) handleAppendResult(now time.Time, e AppendResult) []Action {
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

// appendPending returns an append of the pending records with a new serial number.
func (c *Call) appendPending() Action {
	c.serial++
	c.retryAt = time.Time{}
	if c.phase == awaitingIntent {
		c.unresolvedAppends++
	}
	return Append{Serial: c.serial, Records: c.records}
}

func (c *Call) respond(a *intent.Answer) []Action {
	c.responded = true
	return []Action{Respond{Answer: a}}
}

func (c *Call) fail(err *verdict.Error) []Action {
	c.responded = true
	return []Action{Fail{Err: err}}
}

func (c *Call) finish(actions []Action) []Action {
	c.phase, c.retryAt = done, time.Time{}
	return append(actions, Done{})
}

func (c *Call) intentRecord() record.Envelope {
	return c.envelope(intent.KindIntent, c.IntentID(), intent.Intent{
		Key: c.req.Key, BodyHash: c.req.BodyHash, CreatedMilli: c.req.Created.UnixMilli(), RequestID: c.req.ID,
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
	// Encoding cannot fail: the bodies contain only strings, integers, byte slices and containers of them.
	e, _ := record.New(kind, id, c.req.Incarnation, body)
	return e
}

// retryAfter is the Retry-After delay of errors after which the caller may send the request again.
const retryAfter = 2 * time.Second

func errorWithRetryAfter(v verdict.Verdict, status int, code, message string) *verdict.Error {
	return verdict.New(v, status, code, message).WithRetryAfter(retryAfter)
}
