// Package intent derives the state of non-idempotent calls from their records: intents, which precede a dispatch, and
// outcomes, which record its result.
//
// The first intent for a (workspace, route, key hash) in log order owns the dispatch. An intent that follows while
// another owns the key never owns it later. Only a not-run outcome releases the key, and only to intents that follow
// the outcome.
package intent

import (
	"container/list"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The kinds of records in the stream of non-idempotent calls.
const (
	KindIntent  record.Kind = "intent"
	KindOutcome record.Kind = "outcome"
)

// MaxAnswerBytes is the largest answer body that is recorded.
const MaxAnswerBytes = 256 << 10

// Key identifies a non-idempotent call.
type Key struct {
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	// Hash is the hash of the Idempotency-Key.
	Hash string `json:"key_hash"`
}

// Intent is the body of an intent record. The dispatcher is the incarnation in the envelope.
type Intent struct {
	Key
	// BodyHash is the hash of the request body.
	BodyHash string `json:"body_hash"`
	// CreatedMilli is the creation time of the key. A retry of the caller must state the same time; otherwise a
	// caller could use a key for ever.
	CreatedMilli int64  `json:"created_ms"`
	RequestID    string `json:"request_id"`
}

// Result is the result of a dispatch.
type Result string

// The results of an outcome record.
const (
	// Ran means that the plain service answered. The answer is recorded.
	Ran Result = "ran"
	// NotRun means that the call was not executed and never will be under this intent.
	NotRun Result = "not-run"
	// Unknown means that the call may have been executed. It is never dispatched again.
	Unknown Result = "unknown"
)

// Answer is the recorded answer of a plain service.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// IntentID is the record ID of the intent that the outcome closes.
	IntentID string  `json:"intent_id"`
	Result   Result  `json:"result"`
	Answer   *Answer `json:"answer,omitempty"`
}

// State is the state of one key. The zero value is a key without records.
type State struct {
	// IntentID is the record ID of the intent that owns the key. It is empty for a released key.
	IntentID string
	// Dispatcher is the incarnation that owns the dispatch.
	Dispatcher string
	// BodyHash is that of the key's first intent. Later intents must have the same.
	BodyHash string
	// CreatedMilli is that of the key's first intent. Later intents must have the same.
	CreatedMilli int64
	// Result is empty while the dispatch is pending.
	Result Result
	// Answer is set if Result is Ran and the answer was not too large to record. It must not be modified.
	Answer *Answer
}

// Known reports whether the fold has an intent for the key.
func (s State) Known() bool { return s.BodyHash != "" }

// Pending reports whether an intent without an outcome owns the key.
func (s State) Pending() bool { return s.IntentID != "" && s.Result == "" }

// entry is the state of a key with what the fold needs to apply later records.
type entry struct {
	State
	key Key
	// firstMilli is the time of the first intent by the log's clock.
	firstMilli int64
	// ineligible holds the IDs of intents that were released or followed the owning one. A repeated append of one
	// of them must not own the key after the key is released.
	ineligible []string
	order      *list.Element
}

// Fold is the state of the stream. Its time is that of the log's clock. It is not safe for concurrent use.
type Fold struct {
	rule    KeyRule
	now     int64
	next    uint64
	entries map[Key]*entry
	// order holds the entries in the order of their first intents.
	order *list.List
}

// NewFold returns an empty fold that applies the key rule.
func NewFold(rule KeyRule) *Fold {
	return &Fold{rule: rule, entries: make(map[Key]*entry), order: list.New()}
}

// Next returns the offset after the last applied append.
func (f *Fold) Next() uint64 { return f.next }

// Len returns the number of keys with records that have not expired.
func (f *Fold) Len() int { return len(f.entries) }

// Lookup returns the state of a key.
func (f *Fold) Lookup(k Key) State {
	if e := f.entries[k]; e != nil {
		return e.State
	}
	return State{}
}

// Ineligible reports whether the record ID belongs to an intent for k that does not own the key and never will,
// because it followed the owning intent or was released.
func (f *Fold) Ineligible(k Key, id string) bool {
	e := f.entries[k]
	return e != nil && slices.Contains(e.ineligible, id)
}

// Expired reports whether an intent for a key with this creation time can no longer own the key.
func (f *Fold) Expired(createdMilli int64) bool {
	return f.now > createdMilli+f.rule.MaxAge().Milliseconds()
}

// Pending returns the states of the pending keys.
func (f *Fold) Pending() map[Key]State {
	open := make(map[Key]State)
	for k, e := range f.entries {
		if e.Pending() {
			open[k] = e.State
		}
	}
	return open
}

// Apply applies one entry. It returns the key of the record and whether the state of the key changed. Entries must be
// applied in log order. Entries of other kinds and invalid ones change nothing.
func (f *Fold) Apply(e record.Entry) (Key, bool) {
	f.now = max(f.now, e.UnixMilli)
	f.next = max(f.next, e.Offset+1)
	f.expire()
	switch e.Kind {
	case KindIntent:
		var in Intent
		if e.Unmarshal(&in) != nil || e.ID == "" || in.BodyHash == "" {
			return Key{}, false
		}
		return in.Key, f.applyIntent(e, in)
	case KindOutcome:
		var out Outcome
		if e.Unmarshal(&out) != nil {
			return Key{}, false
		}
		return out.Key, f.applyOutcome(e, out)
	}
	return Key{}, false
}

// applyIntent applies an intent. The key rule is checked against the log's clock, so that it does not depend on the
// clocks of the instances. An intent that breaks it never owns the dispatch.
func (f *Fold) applyIntent(e record.Entry, in Intent) bool {
	if f.rule.Check(time.UnixMilli(in.CreatedMilli), time.UnixMilli(f.now)) != nil {
		return false
	}
	have := f.entries[in.Key]
	if have == nil {
		have = &entry{key: in.Key, firstMilli: f.now,
			State: State{BodyHash: in.BodyHash, CreatedMilli: in.CreatedMilli}}
		have.order = f.order.PushBack(have)
		f.entries[in.Key] = have
	}
	if have.IntentID == e.ID || slices.Contains(have.ineligible, e.ID) {
		return false
	}
	if have.IntentID != "" || in.BodyHash != have.BodyHash || in.CreatedMilli != have.CreatedMilli {
		have.ineligible = append(have.ineligible, e.ID)
		return true
	}
	have.IntentID, have.Dispatcher = e.ID, e.Incarnation
	return true
}

// applyOutcome applies an outcome. Only the dispatcher of the owning intent can close the intent, and only once.
func (f *Fold) applyOutcome(e record.Entry, out Outcome) bool {
	have := f.entries[out.Key]
	if have == nil || !have.Pending() || have.IntentID != out.IntentID || have.Dispatcher != e.Incarnation {
		return false
	}
	switch out.Result {
	case NotRun:
		have.ineligible = append(have.ineligible, have.IntentID)
		have.IntentID, have.Dispatcher = "", ""
	case Ran:
		have.Result, have.Answer = Ran, out.Answer
	default:
		have.Result = Unknown
	}
	return true
}

// expire removes the keys whose first intent is older than the retention. The key rule refuses every intent for
// such a key some time before it is removed.
func (f *Fold) expire() {
	oldest := f.now - f.rule.Retention.Milliseconds()
	for el := f.order.Front(); el != nil; el = f.order.Front() {
		e := el.Value.(*entry)
		if e.firstMilli >= oldest {
			return
		}
		f.order.Remove(el)
		delete(f.entries, e.key)
	}
}
