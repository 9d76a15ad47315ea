package config

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// RecordChange is the record kind of a configuration change, whose body is a Change.
const RecordChange record.Kind = "config_change"

// Change is the body of a config_change record. The envelope's id identifies the change.
type Change struct {
	// Base is the version that the operations were made for.
	Base       Version     `json:"base"`
	Operations []Operation `json:"operations"`
	// Author names the operator.
	Author string `json:"author"`
}

// NewChange returns the log record of a change. A repeated append must keep the id, and an append
// must hold one change only: the version is its offset plus one, so a second change is refused.
func NewChange(id, incarnation string, c Change) (record.Envelope, error) {
	return record.New(RecordChange, id, incarnation, c)
}

// Outcome says what the fold made of a record.
type Outcome int

// The outcomes of a record.
const (
	// Ignored means that the record changes nothing: it is a snapshot, of another kind, or was
	// folded before.
	Ignored Outcome = iota
	// Accepted means that the change made Result.Version.
	Accepted
	// Refused means that Result.Refusal says why the change has no effect.
	Refused
	// Duplicate means that an earlier record has the same id; Result repeats the earlier outcome's
	// version, which is zero if that record was refused.
	Duplicate
	// Buffered means that the outcome follows once a snapshot or a peer's state is there.
	Buffered
	// Malformed means that the body could not be decoded or applied; it has no effect.
	Malformed
)

// Result tells what the fold made of one record.
type Result struct {
	Outcome Outcome
	// Change identifies the change; its version is set if it was accepted.
	Change ChangeRef
	// Refusal is set on refused changes.
	Refusal *Refusal
	// Err is set on malformed records.
	Err error
	// Replayed holds the results of changes that were buffered until this record.
	Replayed []Result
}

// Refusal names both sides of a conflict.
type Refusal struct {
	// Base is the version that the refused change was made for.
	Base Version `json:"base"`
	// Current is the version that was in force.
	Current Version `json:"current"`
	// Theirs is the change that made the current version.
	Theirs ChangeRef `json:"theirs"`
}

// Fold computes the configuration from the records of the stream "config". It has no clock and no
// lock: one goroutine feeds it, and its views may be read by all.
//
// The reader calls Apply for each record of an offset and then Advance. Records may be read again.
type Fold struct {
	view *View
	// next is the offset of the first record that is not folded.
	next uint64
	// contiguousFrom is the offset since which all records were read.
	contiguousFrom uint64
	// ready is false while records before from are missing.
	ready            bool
	buffered         []record.Entry
	partialSnapshots map[string]*partialSnapshot
	// snapshotMark is the newest snapshot seen.
	snapshotMark SnapshotMark
}

// NewFold returns the fold of an empty log.
func NewFold() *Fold {
	return &Fold{view: NewView(), ready: true, partialSnapshots: map[string]*partialSnapshot{}}
}

// View returns the newest complete version.
func (f *Fold) View() *View { return f.view }

// Next returns the offset of the record to read next.
func (f *Fold) Next() uint64 { return f.next }

// Ready reports whether the view reflects all records before Next. It is false after records were
// missed, until a snapshot or a peer's state replaces them.
func (f *Fold) Ready() bool { return f.ready }

// SkipTo tells the fold that the log keeps no record before first. If records are missing, the fold
// buffers changes until it has a state that covers them; its view stays at the old version.
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

// Apply folds one record. A record after a gap has the effect of Skip.
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

// applyChange accepts a applyChange if and only if its base is the current version or it only withdraws keys,
// and its id is new. The result depends on the state and the record alone, so every instance gets
// the same one.
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
		return Result{Outcome: Malformed, Err: trace.BadParameter("a change without an id")}
	}
	ref.Author = c.Author
	made := Version(e.Offset + 1)
	// A second change in the append that made the current version cannot get a version of its own.
	if made <= f.view.version || c.Base != f.view.version && !WithdrawsKeys(c.Operations) {
		return f.refuseChange(e, c, ref)
	}
	next := f.view.mutableCopy()
	for _, o := range c.Operations {
		if err := next.apply(o); err != nil {
			return Result{Outcome: Malformed, Change: ref, Err: err}
		}
	}
	ref.Version = made
	next.version, next.last = made, ref
	next.rememberChange(ref)
	f.view = next
	if f.snapshotMark.UnixMilli == 0 {
		f.snapshotMark.UnixMilli = e.UnixMilli
	}
	return Result{Outcome: Accepted, Change: ref}
}

func (f *Fold) refuseChange(e record.Entry, c Change, ref ChangeRef) Result {
	refusal := &Refusal{Base: c.Base, Current: f.view.version, Theirs: f.view.last}
	// A repeated append must not be accepted after the operator was told of the refusal. It could be
	// only with a base that does not exist yet, or as a withdrawal that shared its append with
	// another change.
	if uint64(c.Base) > e.Offset || WithdrawsKeys(c.Operations) {
		next := f.view.mutableCopy()
		next.rememberChange(ref)
		f.view = next
	}
	return Result{Outcome: Refused, Change: ref, Refusal: refusal}
}

// SnapshotMark tells of the newest snapshot in the log.
type SnapshotMark struct {
	// Version is the snapshot's version; zero means that there is none.
	Version Version `json:"version"`
	// UnixMilli is the age of the oldest record that only the log holds, by the log's clock: the
	// snapshot's own append, or an accepted change that the snapshot does not cover.
	UnixMilli int64 `json:"unix_milli"`
}

// The schedule of snapshots in fractions of the retention time. A snapshot is appended after at most
// 5/16 of it, which leaves eleven sixteenths for outages of the log.
const (
	snapshotAgeDivisor    = 4
	snapshotSpreadDivisor = 16
)

// SnapshotDue returns when an instance should append a snapshot, by the log's clock, and whether one
// will be due at all. The time moves on when another instance's snapshot is folded first. Retention
// is how long the log keeps records.
func (f *Fold) SnapshotDue(instance string, retention time.Duration) (time.Time, bool) {
	if !f.ready || f.view.version == 0 {
		return time.Time{}, false
	}
	return snapshotDueAt(f.snapshotMark, instance, retention), true
}
