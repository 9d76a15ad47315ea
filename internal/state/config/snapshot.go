package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// RecordSnapshot is the record kind of one chunk of a snapshot.
const RecordSnapshot record.Kind = "config_snapshot"

// chunkBytes is the size at which a snapshot's chunk is closed; a chunk exceeds it by less than one
// object. It keeps appends small enough for a log that serves several hundred a second.
const chunkBytes = 256 << 10

// Limits on incomplete snapshots, so that chunks of writers that died do not fill the memory.
const (
	maxPartialSnapshots = 8
	maxChunks           = 4096
)

// State is a whole configuration with what a fold needs to go on from it.
type State struct {
	Version Version `json:"version"`
	// Next is the offset up to which records were folded; it is at least Version.
	Next uint64    `json:"next"`
	Last ChangeRef `json:"last"`
	// Recent are the remembered changes from the oldest on.
	Recent []ChangeRef  `json:"recent"`
	Mark   SnapshotMark `json:"mark"`
	// Operations put every object.
	Operations []Operation `json:"operations"`
}

// snapshotChunk is the body of a config_snapshot record: a part of a State's lists.
type snapshotChunk struct {
	// Snapshot is the same in all chunks of a snapshot and unique to it.
	Snapshot string `json:"snapshot"`
	Index    int    `json:"index"`
	Count    int    `json:"count"`
	State
}

// partialSnapshot collects the chunks of one snapshot.
type partialSnapshot struct {
	chunks   []*snapshotChunk
	received int
	// lastOffset orders assemblies by their newest chunk.
	lastOffset uint64
}

// Capture is a fold's state at one moment. It is immutable, so the encoding of a large state can run
// beside the fold: at 93,000 adapters it takes about half a second.
type Capture struct {
	view *View
	next uint64
	mark SnapshotMark
}

// Capture returns the fold's state in constant time. It fails while the fold is not ready.
func (f *Fold) Capture() (Capture, error) {
	if !f.ready {
		return Capture{}, trace.CompareFailed("the configuration is not complete yet")
	}
	return Capture{view: f.view, next: f.next, mark: f.snapshotMark}, nil
}

// Export returns the state for a peer that starts. It fails if a value cannot be encoded.
func (c Capture) Export() ([]byte, error) {
	s, err := c.state()
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(s)
	return b, trace.Wrap(err)
}

// Import takes over a peer's exported state if it is newer than the fold's own and covers the records
// that the fold missed. It returns whether it did, with the results of buffered changes. A state
// that cannot be decoded is an error and changes nothing.
func (f *Fold) Import(data []byte) (bool, []Result, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return false, nil, trace.BadParameter("decoding a peer's configuration: %v", err)
	}
	return f.restore(s)
}

// Snapshot returns the records of a snapshot, to be appended one by one. The id must be unique. It fails
// if a value cannot be encoded.
func (c Capture) Snapshot(id, incarnation string) ([]record.Envelope, error) {
	s, err := c.state()
	if err != nil {
		return nil, err
	}
	parts := splitIntoChunks(s.Operations)
	envelopes := make([]record.Envelope, len(parts))
	for i, ops := range parts {
		body := snapshotChunk{Snapshot: id, Index: i, Count: len(parts), State: State{
			Version: s.Version, Next: s.Next, Last: s.Last, Operations: ops,
		}}
		if i == 0 {
			body.Recent = s.Recent
		}
		envelopes[i], err = record.New(RecordSnapshot, fmt.Sprintf("%s/%d", id, i), incarnation, body)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return envelopes, nil
}

// splitIntoChunks cuts operations into chunks; there is at least one.
func splitIntoChunks(ops []Operation) [][]Operation {
	var parts [][]Operation
	start, size := 0, 0
	for i, o := range ops {
		size += len(o.Value) + len(o.ID)
		if size >= chunkBytes {
			parts = append(parts, ops[start:i+1])
			start, size = i+1, 0
		}
	}
	if start < len(ops) || len(parts) == 0 {
		parts = append(parts, ops[start:])
	}
	return parts
}

func (c Capture) state() (State, error) {
	ops, err := Diff(Document{}, c.view.Document())
	if err != nil {
		return State{}, trace.Wrap(err)
	}
	return State{
		Version: c.view.version, Next: c.next, Last: c.view.last, Recent: slices.Collect(c.view.recentChanges()),
		Mark: c.mark, Operations: ops,
	}, nil
}

// applyChunk folds one applyChunk and, when it completes a snapshot, the snapshot.
func (f *Fold) applyChunk(e record.Entry) Result {
	var c snapshotChunk
	if err := e.Unmarshal(&c); err != nil {
		return Result{Outcome: Malformed, Change: ChangeRef{ID: e.ID}, Err: trace.Wrap(err)}
	}
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return Result{Outcome: Malformed, Err: trace.BadParameter("chunk %d of %d", c.Index, c.Count)}
	}
	if c.Next > e.Offset || uint64(c.Version) > c.Next {
		return Result{Outcome: Malformed, Err: trace.BadParameter("the snapshot at offset %d claims to cover version %d and offset %d",
			e.Offset, c.Version, c.Next)}
	}
	if f.ready {
		// A ready fold only needs to know that the snapshot is complete.
		c.Operations, c.Recent = nil, nil
	}
	chunks := f.addChunk(e.Offset, &c)
	if chunks == nil {
		return Result{Outcome: Ignored}
	}
	whole := chunks[0].State
	for _, part := range chunks[1:] {
		if part.Version != whole.Version || part.Next != whole.Next {
			return Result{Outcome: Malformed, Err: trace.BadParameter("snapshot %q mixes versions", c.Snapshot)}
		}
		whole.Operations = append(whole.Operations, part.Operations...)
	}
	var replayed []Result
	if !f.ready {
		var err error
		if _, replayed, err = f.restore(whole); err != nil {
			return Result{Outcome: Malformed, Err: err}
		}
	}
	f.updateSnapshotMark(whole, e.UnixMilli)
	return Result{Outcome: Ignored, Replayed: replayed}
}

// addChunk adds a chunk to its snapshot and returns all chunks once they are there.
func (f *Fold) addChunk(offset uint64, c *snapshotChunk) []*snapshotChunk {
	a, ok := f.partialSnapshots[c.Snapshot]
	if !ok || len(a.chunks) != c.Count {
		a = &partialSnapshot{chunks: make([]*snapshotChunk, c.Count)}
		f.partialSnapshots[c.Snapshot] = a
	}
	a.lastOffset = offset
	if a.chunks[c.Index] == nil {
		a.chunks[c.Index] = c
		a.received++
	}
	if a.received == c.Count {
		delete(f.partialSnapshots, c.Snapshot)
		return a.chunks
	}
	if len(f.partialSnapshots) > maxPartialSnapshots {
		oldest := ""
		for id, other := range f.partialSnapshots {
			if oldest == "" || other.lastOffset < f.partialSnapshots[oldest].lastOffset {
				oldest = id
			}
		}
		delete(f.partialSnapshots, oldest)
	}
	return nil
}

// restore replaces the state with s unless that would lose anything: s must not be older than the
// view, and a fold with missing records takes only a state that covers them.
func (f *Fold) restore(s State) (bool, []Result, error) {
	covers := s.Version >= f.view.version && s.Next >= f.contiguousFrom
	newer := s.Version > f.view.version && s.Next >= f.next
	if uint64(s.Version) > s.Next {
		return false, nil, trace.BadParameter("state at version %d covers only offset %d", s.Version, s.Next)
	}
	if f.ready && !newer || !covers {
		return false, nil, nil
	}
	if s.Version > f.view.version {
		v, err := s.buildView()
		if err != nil {
			return false, nil, err
		}
		f.view = v
	}
	if s.Mark.Version > f.snapshotMark.Version || f.snapshotMark.UnixMilli == 0 {
		f.snapshotMark = s.Mark
	}
	f.ready = true
	f.next = max(f.next, s.Next)
	return true, f.replayBuffered(), nil
}

// replayBuffered applies the changes that were buffered and are not part of the state.
func (f *Fold) replayBuffered() []Result {
	entries, covered := f.buffered, uint64(f.view.version)
	f.buffered = nil
	var results []Result
	for _, e := range entries {
		if e.Offset >= covered {
			results = append(results, f.applyChange(e))
		} else if c, ok := f.view.RecentChange(e.ID); ok {
			// The state holds the change's outcome.
			results = append(results, Result{Outcome: Duplicate, Change: c})
		}
	}
	return results
}

// buildView builds the state's buildView.
func (s State) buildView() (*View, error) {
	v := NewView().mutableCopy()
	for _, o := range s.Operations {
		if err := v.apply(o); err != nil {
			return nil, trace.Wrap(err, "applying a snapshot of version %d", s.Version)
		}
	}
	for _, c := range s.Recent {
		v.rememberChange(c)
	}
	v.version, v.last = s.Version, s.Last
	return v, nil
}

// updateSnapshotMark notes a complete snapshot for the schedule. A late snapshot does not cover changes that are as
// old as itself, so its time is that of the first change after it.
func (f *Fold) updateSnapshotMark(s State, unixMilli int64) {
	if !f.ready || s.Version < f.snapshotMark.Version || s.Version > f.view.version {
		return
	}
	first := s.Version == f.view.version
	known := first
	for c := range f.view.recentChanges() {
		known = known || c.Version == s.Version
		if c.Version > s.Version && !first {
			unixMilli = min(unixMilli, c.UnixMilli)
			first = true
		}
	}
	// Without the snapshot's own change among the recent ones, the first change after it may be
	// forgotten and older than those.
	if known {
		f.snapshotMark = SnapshotMark{Version: s.Version, UnixMilli: max(unixMilli, f.snapshotMark.UnixMilli)}
	}
}

// snapshotDueAt is a quarter of the retention time after the mark, plus a delay of up to a sixteenth of
// it that differs between instances, so that they do not all append at once.
func snapshotDueAt(m SnapshotMark, instance string, retention time.Duration) time.Time {
	due := time.UnixMilli(m.UnixMilli).Add(retention / snapshotAgeDivisor)
	spread := uint64(retention / snapshotSpreadDivisor)
	if spread == 0 {
		return due
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", instance, m.Version))
	return due.Add(time.Duration(binary.BigEndian.Uint64(sum[:]) % spread))
}
