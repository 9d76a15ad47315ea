// Package intent folds the records of calls that may not be repeated: intents, which precede a
// dispatch, and outcomes, which say what became of it.
//
// The first intent for a (workspace, route, key hash) in log order owns the dispatch. An intent that
// arrives while another owns the key never owns it later. Only a not-run outcome releases the key, and
// then only to an intent that comes after it.
package intent

import (
	"container/list"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The kinds of record in the stream of calls that may not be repeated.
const (
	KindIntent  record.Kind = "intent"
	KindOutcome record.Kind = "outcome"
)

// MaxAnswerBytes is the largest answer body that is recorded.
const MaxAnswerBytes = 256 << 10

// Key identifies a call that may not be repeated.
type Key struct {
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	// Hash is the hash of the Idempotency-Key.
	Hash string `json:"key_hash"`
}

// Intent is the body of an intent record. The dispatcher is the envelope's incarnation.
type Intent struct {
	Key
	// Body is the hash of the request body.
	Body string `json:"body_hash"`
	// CreatedMilli is the creation time of the key. A resend must carry the same one, or the
	// caller could keep a key young for ever.
	CreatedMilli int64  `json:"created_ms"`
	RequestID    string `json:"request_id"`
}

// Result says what became of a dispatch.
type Result string

// The results of an outcome record.
const (
	// Ran means that the plain service answered; the answer is recorded.
	Ran Result = "ran"
	// NotRun means that the call ran nowhere and never will under this intent.
	NotRun Result = "not-run"
	// Unknown means that the call may have run. It is never dispatched again.
	Unknown Result = "unknown"
)

// Answer is a plain service's recorded answer.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// IntentID is the record id of the intent that the outcome closes.
	IntentID string  `json:"intent_id"`
	Result   Result  `json:"result"`
	Answer   *Answer `json:"answer,omitempty"`
}

// State is what the fold knows of one key. The zero value is a free key.
type State struct {
	// IntentID is the record id of the owning intent; it is empty on a released key.
	IntentID string
	// Dispatcher is the incarnation that owns the dispatch.
	Dispatcher string
	// Body and CreatedMilli are those of the key's first intent and bind all later ones.
	Body         string
	CreatedMilli int64
	// Result is empty while the dispatch is pending.
	Result Result
	// Answer is set if Result is Ran and the answer was small enough to record. It must not be
	// changed.
	Answer *Answer
}

// Known reports whether an intent for the key is on record.
func (s State) Known() bool { return s.Body != "" }

// Pending reports whether an intent owns the key and has no outcome.
func (s State) Pending() bool { return s.IntentID != "" && s.Result == "" }

// entry is a key's state with the ids that may not own the key again.
type entry struct {
	State
	key Key
	// firstMilli is the log time of the first intent.
	firstMilli int64
	// spent holds the ids of intents that were released or came second. A repeated append of one
	// of them must not own the key after its release.
	spent []string
	order *list.Element
}

// Fold is the state of the stream. It is not safe for concurrent use. Its time is the log's.
type Fold struct {
	rule    KeyRule
	now     int64
	next    uint64
	entries map[Key]*entry
	// order lists entries by first intent, the oldest first.
	order *list.List
}

// NewFold returns an empty fold.
func NewFold(rule KeyRule) *Fold {
	return &Fold{rule: rule, entries: make(map[Key]*entry), order: list.New()}
}

// Next returns the offset after the last applied append.
func (f *Fold) Next() uint64 { return f.next }

// Len returns how many keys are on record.
func (f *Fold) Len() int { return len(f.entries) }

// Lookup returns the state of a key.
func (f *Fold) Lookup(k Key) State {
	if e := f.entries[k]; e != nil {
		return e.State
	}
	return State{}
}

// Ineligible reports whether the record id belongs to an intent for k that doesn't own the key and never
// will, because it came second or was released.
func (f *Fold) Ineligible(k Key, id string) bool {
	e := f.entries[k]
	return e != nil && slices.Contains(e.spent, id)
}

// Expired reports whether an intent for a key of this creation time can no longer own it.
func (f *Fold) Expired(createdMilli int64) bool {
	return f.now > createdMilli+f.rule.MaxAge().Milliseconds()
}

// Open returns the owning intents without an outcome, by key.
func (f *Fold) Open() map[Key]State {
	open := make(map[Key]State)
	for k, e := range f.entries {
		if e.Pending() {
			open[k] = e.State
		}
	}
	return open
}

// Apply adds one entry, in log order. It returns the key whose state changed, if any. Entries of
// other kinds and entries that break a rule change nothing.
func (f *Fold) Apply(e record.Entry) (Key, bool) {
	f.now = max(f.now, e.UnixMilli)
	f.next = max(f.next, e.Offset+1)
	f.expire()
	switch e.Kind {
	case KindIntent:
		var in Intent
		if e.Unmarshal(&in) != nil || e.ID == "" || in.Body == "" {
			return Key{}, false
		}
		return in.Key, f.intent(e, in)
	case KindOutcome:
		var out Outcome
		if e.Unmarshal(&out) != nil {
			return Key{}, false
		}
		return out.Key, f.outcome(e, out)
	}
	return Key{}, false
}

// intent applies an intent. A key outside the key rule by the log's time never owns a dispatch: this
// makes the rule independent of the instances' clocks.
func (f *Fold) intent(e record.Entry, in Intent) bool {
	if f.rule.Check(time.UnixMilli(in.CreatedMilli), time.UnixMilli(f.now)) != nil {
		return false
	}
	have := f.entries[in.Key]
	if have == nil {
		have = &entry{key: in.Key, firstMilli: f.now,
			State: State{Body: in.Body, CreatedMilli: in.CreatedMilli}}
		have.order = f.order.PushBack(have)
		f.entries[in.Key] = have
	}
	if have.IntentID == e.ID || slices.Contains(have.spent, e.ID) {
		return false
	}
	if have.IntentID != "" || in.Body != have.Body || in.CreatedMilli != have.CreatedMilli {
		have.spent = append(have.spent, e.ID)
		return true
	}
	have.IntentID, have.Dispatcher = e.ID, e.Incarnation
	return true
}

// outcome applies an outcome. Only the dispatcher of the owning intent can close it, and only once.
func (f *Fold) outcome(e record.Entry, out Outcome) bool {
	have := f.entries[out.Key]
	if have == nil || !have.Pending() || have.IntentID != out.IntentID || have.Dispatcher != e.Incarnation {
		return false
	}
	switch out.Result {
	case NotRun:
		have.spent = append(have.spent, have.IntentID)
		have.IntentID, have.Dispatcher = "", ""
	case Ran:
		have.Result, have.Answer = Ran, out.Answer
	default:
		have.Result = Unknown
	}
	return true
}

// expire drops the keys whose first intent is older than the retention. The key rule has refused
// every intent for such a key for a while by then.
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
