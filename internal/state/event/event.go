// Package event records the timeline of one instance: typed events with timestamps of a hybrid logical clock in a
// bounded ring buffer. It also parses and formats the W3C trace context.
//
// An event has no field for a key, a prompt, a body or free text. Identifiers are truncated to MaxIdentifierBytes,
// and an identifier that may contain a key is replaced.
package event

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// Kind is the type of an event.
type Kind string

// The kinds of events, with the fields that each one uses in addition to HLC, Instance and DataCentre.
const (
	// Admission: RequestID, Workspace, Adapter, Code, Tokens.
	Admission Kind = "admission"
	// Dispatch: RequestID, Workspace, Adapter, Engine, Attempt, Duration (time in the queue).
	Dispatch Kind = "dispatch"
	// Settled: RequestID, Workspace, Adapter, Engine, Attempt, Verdict, Code, Tokens, Duration.
	Settled Kind = "verdict"
	// Load: Adapter, Engine, Fence, Code, Duration.
	Load Kind = "load"
	// Evict: Adapter, Engine, Fence, Code.
	Evict Kind = "evict"
	// Lease: Code, Duration (validity).
	Lease Kind = "lease"
	// Transfer: Workspace, Peer, Parts, Tokens, Sequence.
	Transfer Kind = "transfer"
	// Withdrawal: Peer (an incarnation) or Code with the public ID of a key.
	Withdrawal Kind = "withdrawal"
	// Configuration: Sequence (the version), Code.
	Configuration Kind = "configuration"
	// Membership: Peer, Code.
	Membership Kind = "membership"
)

// Event is one event. Its strings are identifiers that the system generates or that the configuration defines.
type Event struct {
	HLC        HLC    `json:"hlc"`
	Kind       Kind   `json:"kind"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	RequestID  string `json:"request_id,omitempty"`
	Workspace  string `json:"workspace,omitempty"`
	// Adapter is empty for calls of plain services.
	Adapter string `json:"adapter,omitempty"`
	// Version is the version of the adapter.
	Version string `json:"version,omitempty"`
	// Engine is the backend server.
	Engine string `json:"engine,omitempty"`
	// Peer is another instance or its incarnation.
	Peer string `json:"peer,omitempty"`
	// Code is the stable, machine-readable reason, in snake_case.
	Code string `json:"code,omitempty"`
	// Verdict is set on Settled events.
	Verdict Verdict `json:"verdict,omitempty"`
	Attempt int     `json:"attempt,omitempty"`
	Tokens  int64   `json:"tokens,omitempty"`
	Parts   int64   `json:"parts,omitempty"`
	// Fence is the offset of the engine owner's claim.
	Fence uint64 `json:"fence,omitempty"`
	// Sequence is the number of a transfer or of a configuration version.
	Sequence uint64        `json:"sequence,omitempty"`
	Duration time.Duration `json:"duration_ns,omitempty"`
}

// Verdict is a verdict in its wire form.
type Verdict verdict.Verdict

// String returns the wire form.
func (v Verdict) String() string { return verdict.Verdict(v).String() }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if known.String() == string(text) {
			*v = Verdict(known)
			return nil
		}
	}
	return trace.BadParameter("unknown verdict in an event")
}

const (
	// MaxIdentifierBytes is the longest identifier in bytes. It is too short for a prompt that would be of use to anyone.
	MaxIdentifierBytes = 96
	// keyLength is the length of a key of package keys. A shorter identifier cannot contain one.
	keyLength = 68
	// keyPrefix marks an identifier that may contain a key of package keys.
	keyPrefix = "tw_"
	// redacted replaces an identifier that may contain a key.
	redacted = "redacted"
)

// sanitizeIdentifier returns the identifier without keys and truncated to MaxIdentifierBytes.
func sanitizeIdentifier(s string) string {
	if len(s) < keyLength {
		return s
	}
	if strings.Contains(s, keyPrefix) {
		return redacted
	}
	if len(s) > MaxIdentifierBytes {
		return strings.ToValidUTF8(s[:MaxIdentifierBytes], "")
	}
	return s
}

// sanitizeIdentifiers sanitizes all identifiers of the event.
func (e *Event) sanitizeIdentifiers() {
	for _, s := range []*string{&e.RequestID, &e.Workspace, &e.Adapter, &e.Version, &e.Engine, &e.Peer, &e.Code} {
		*s = sanitizeIdentifier(*s)
	}
}

// Filter selects events. Empty fields select all.
type Filter struct {
	RequestID string
	Workspace string
	// Adapter is "name" or "name@version".
	Adapter string
	Engine  string
	// After selects events with a later timestamp.
	After HLC
}

// Match reports whether the filter selects an event.
func (f Filter) Match(e *Event) bool {
	if f.Adapter != "" {
		want := adapter.Parse(f.Adapter)
		if want.Name != e.Adapter || want.Version != "" && want.Version != e.Version {
			return false
		}
	}
	return (f.RequestID == "" || f.RequestID == e.RequestID) &&
		(f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.Engine == "" || f.Engine == e.Engine) && e.HLC > f.After
}

// Select returns the events that the filter selects, in their original order.
func Select(events []Event, f Filter) []Event {
	var list []Event
	for i := range events {
		if f.Match(&events[i]) {
			list = append(list, events[i])
		}
	}
	return list
}

// Merge returns the events of several instances sorted by HLC, then by instance. An event that occurs in several
// sources is returned once.
func Merge(sources ...[]Event) []Event {
	all := slices.Concat(sources...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.HLC, b.HLC), cmp.Compare(a.Instance, b.Instance))
	})
	return slices.CompactFunc(all, func(a, b Event) bool { return a == b })
}

// MaxListBytes bounds the encoded list of events of one source. It is far larger than the events of a ring buffer.
const MaxListBytes = 256 << 20

// Decode reads the JSON list of events of one source. Identifiers are truncated or replaced as in Append.
func Decode(r io.Reader) ([]Event, error) {
	var list []Event
	limited := &io.LimitedReader{R: r, N: MaxListBytes}
	if err := json.NewDecoder(limited).Decode(&list); err != nil {
		return nil, trace.BadParameter("decoding a list of events of at most %d bytes: %v", MaxListBytes, err)
	}
	for i := range list {
		list[i].sanitizeIdentifiers()
	}
	return list, nil
}

// Recorder sets the timestamp, instance and data centre of events and keeps the newest events in a ring buffer. It is
// safe for concurrent use.
type Recorder struct {
	instance   string
	dataCentre string

	mu    sync.Mutex
	clock Clock
	ring  []Event
	next  int    // index of the oldest event in a full ring
	total uint64 // events recorded
}

// NewRecorder returns a Recorder with a ring buffer for size events, or for one if size is less.
func NewRecorder(instance, dataCentre string, size int) *Recorder {
	return &Recorder{instance: sanitizeIdentifier(instance), dataCentre: sanitizeIdentifier(dataCentre), ring: make([]Event, 0, max(1, size))}
}

// Append records an event and returns its timestamp. It only allocates memory to truncate an identifier.
func (r *Recorder) Append(e Event, wall time.Time) HLC {
	e.sanitizeIdentifiers()
	e.Instance, e.DataCentre = r.instance, r.dataCentre
	r.mu.Lock()
	defer r.mu.Unlock()
	e.HLC = r.clock.Now(wall)
	r.total++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return e.HLC
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
	return e.HLC
}

// Now returns the timestamp for a message to send; see Clock.Now.
func (r *Recorder) Now(wall time.Time) HLC {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now(wall)
}

// Observe advances the clock to the timestamp of a received message; see Clock.Observe.
func (r *Recorder) Observe(remote HLC, wall time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Observe(remote, wall)
}

// Events returns the events in the ring buffer that the filter selects, sorted by HLC.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(Select(r.ring[r.next:], f), Select(r.ring[:r.next], f)...)
}

// Total returns the number of events recorded, including those that were overwritten.
func (r *Recorder) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}
