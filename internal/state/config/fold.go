package config

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// RecordChange is the record kind of a configuration change, whose body is a Change.
const RecordChange record.Kind = "config_change"

// Change is the body of a config_change record. The envelope's ID identifies the change.
type Change struct {
	// Base is the version that the operations are based on.
	Base       Version     `json:"base"`
	Operations []Operation `json:"operations"`
	// Author is the operator's name.
	Author string `json:"author"`
}

// NewChange returns the log record of a change. A retried append must reuse the ID. An append must
// contain only one change: the version is the append's offset plus one, so a second change is refused.
func NewChange(id, incarnation string, c Change) (record.Envelope, error) {
	return record.New(RecordChange, id, incarnation, c)
}

// Outcome is what folding a record led to.
type Outcome int

// The outcomes of a record.
const (
	// Ignored means that the record changes nothing: it is a snapshot, is of another kind or was
	// already folded.
	Ignored Outcome = iota
	// Accepted means that the change took effect as version Result.Change.Version.
	Accepted
	// Refused means that the change has no effect; Result.Refusal gives the reason.
	Refused
	// Duplicate means that an earlier record has the same ID. Result.Change is that of the earlier
	// record; its version is zero if that record was refused.
	Duplicate
	// Buffered means that the outcome is known only after a snapshot or a peer's state is restored.
	Buffered
	// Malformed means that the body could not be decoded or applied; the record has no effect.
	Malformed
)

// Result is the result of folding one record.
type Result struct {
	Outcome Outcome
	// Change identifies the change; its version is set if it was accepted.
	Change ChangeRef
	// Refusal is set for refused changes.
	Refusal *Refusal
	// Err is set for malformed records.
	Err error
	// Replayed holds the results of buffered changes that were applied after this record.
	Replayed []Result
}

// Refusal describes both sides of a version conflict.
type Refusal struct {
	// Base is the version that the refused change is based on.
	Base Version `json:"base"`
	// Current is the version that was current at the refused change.
	Current Version `json:"current"`
	// Theirs is the change that produced the current version.
	Theirs ChangeRef `json:"theirs"`
}

// Fold computes the configuration from the records of the stream "config". It reads no clock and is
// not safe for concurrent use, but its views may be read by any goroutine.
//
// The caller calls Apply for each record of an offset and then Advance. Records that are applied
// again are ignored.
type Fold struct {
	view *View
	// next is the offset of the next record to fold.
	next uint64
	// contiguousFrom is the offset from which all records up to next were read.
	contiguousFrom uint64
	// ready is false while records before contiguousFrom are missing.
	ready bool
	// buffered holds the changes that were read while the fold was not ready.
	buffered         []record.Entry
	partialSnapshots map[string]*partialSnapshot
	// snapshotMark describes the newest complete snapshot.
	snapshotMark SnapshotMark
}

// NewFold returns a fold at the start of the log, with an empty configuration.
func NewFold() *Fold {
	return &Fold{view: NewView(), ready: true, partialSnapshots: map[string]*partialSnapshot{}}
}

// View returns the newest version computed.
func (f *Fold) View() *View { return f.view }

// Next returns the offset of the record to read next.
func (f *Fold) Next() uint64 { return f.next }

// Ready reports whether the view reflects all records before Next. It is false after records were
// missed, until a snapshot or a peer's state that covers them is restored.
func (f *Fold) Ready() bool { return f.ready }

// SkipTo tells the fold that the log no longer holds records before first. If the fold missed any of
// them, it buffers changes until it restores a state that covers them; until then its view does not change.
func (f *Fold) SkipTo(first uint64) {
	if first <= f.next {
		return
	}
	f.next, f.contiguousFrom, f.ready = first, first, false
	f.buffered = nil
	clear(f.partialSnapshots)
}

// Advance tells the fold that all records before next were applied.
func (f *Fold) Advance(next uint64) { f.next = max(f.next, next) }

// Apply folds one record. A record after a gap has the same effect as SkipTo of its offset.
func (f *Fold) Apply(e record.Entry) Result {
	if e.Offset < f.next {
		return Result{Outcome: Ignored}
	}
	f.SkipTo(e.Offset)
	switch e.Kind {
	case RecordChange:
		if !f.ready {
			f.buffered = append(f.buffered, e)
			return Result{Outcome: Buffered, Change: ChangeRef{ID: e.ID}}
		}
		return f.applyChange(e)
	case RecordSnapshot:
		return f.applyChunk(e)
	}
	return Result{Outcome: Ignored}
}

// applyChange accepts a change if and only if its ID is new and it is based on the current version or
// only withdraws keys. The result depends only on the state and the record, so all instances get the
// same one.
func (f *Fold) applyChange(e record.Entry) Result {
	if earlier, ok := f.view.RecentChange(e.ID); ok {
		return Result{Outcome: Duplicate, Change: earlier}
	}
	var c Change
	ref := ChangeRef{ID: e.ID, UnixMilli: e.UnixMilli}
	if err := e.Unmarshal(&c); err != nil {
		return Result{Outcome: Malformed, Change: ref, Err: trace.Wrap(err)}
	}
	if e.ID == "" {
		return Result{Outcome: Malformed, Err: trace.BadParameter("change has no id")}
	}
	ref.Author = c.Author
	version := Version(e.Offset + 1)
	// A second change in the append that produced the current version cannot get a version of its own.
	if version <= f.view.version || c.Base != f.view.version && !WithdrawsKeys(c.Operations) {
		return f.refuseChange(e, c, ref)
	}
	next := f.view.mutableCopy()
	for _, o := range c.Operations {
		if err := next.apply(o); err != nil {
			return Result{Outcome: Malformed, Change: ref, Err: err}
		}
	}
	ref.Version = version
	next.version, next.last = version, ref
	next.rememberChange(ref)
	f.view = next
	if f.snapshotMark.UnixMilli == 0 {
		f.snapshotMark.UnixMilli = e.UnixMilli
	}
	return Result{Outcome: Accepted, Change: ref}
}

func (f *Fold) refuseChange(e record.Entry, c Change, ref ChangeRef) Result {
	refusal := &Refusal{Base: c.Base, Current: f.view.version, Theirs: f.view.last}
	// A retried append must not be accepted after the operator was told of the refusal. That is possible
	// only if its base is a version that does not exist yet, or if it withdraws keys and shared its append
	// with another change.
	if uint64(c.Base) > e.Offset || WithdrawsKeys(c.Operations) {
		next := f.view.mutableCopy()
		next.rememberChange(ref)
		f.view = next
	}
	return Result{Outcome: Refused, Change: ref, Refusal: refusal}
}

// SnapshotMark describes the newest complete snapshot in the log, to schedule the next one.
type SnapshotMark struct {
	// Version is the snapshot's version; zero means that there is no snapshot.
	Version Version `json:"version"`
	// UnixMilli is when the oldest record whose content is only in the log was appended, by the log's
	// clock: the snapshot itself, or an accepted change that the snapshot does not cover.
	UnixMilli int64 `json:"unix_milli"`
}

// The schedule of snapshots, in fractions of the retention time. A snapshot becomes due after at most
// 5/16 of it, which leaves 11/16 to bridge outages of the log.
const (
	snapshotAgeDivisor    = 4
	snapshotSpreadDivisor = 16
)

// SnapshotDue returns when an instance should append a snapshot, by the log's clock, and whether a
// snapshot is scheduled at all. Folding another instance's snapshot postpones the time. retention is
// how long the log keeps records.
func (f *Fold) SnapshotDue(instance string, retention time.Duration) (time.Time, bool) {
	if !f.ready || f.view.version == 0 {
		return time.Time{}, false
	}
	return snapshotDueAt(f.snapshotMark, instance, retention), true
}
