package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// oracle is a naive reference model: it reads the whole log from the start and keeps the document of
// every version.
type oracle struct {
	version       Version
	rememberedIDs map[string]bool
	accepted      map[string]Version
	// documents holds each version's document as JSON; versionAfter is the version after each offset.
	documents    map[Version]string
	versionAfter []Version
	current      Document
}

func newOracle() *oracle {
	o := &oracle{rememberedIDs: map[string]bool{}, accepted: map[string]Version{}, documents: map[Version]string{}}
	o.current = Document{Workspaces: map[string]Workspace{}, Keys: map[string]Key{}, Adapters: map[string]Adapter{},
		Routes: map[string]Route{}, BackendServers: map[string]BackendServer{}}
	o.documents[0] = mustJSON(o.current)
	return o
}

func (o *oracle) append(offset uint64, batch []record.Envelope) {
	for _, e := range batch {
		var c Change
		if e.Kind != RecordChange || o.rememberedIDs[e.ID] || e.Unmarshal(&c) != nil {
			continue
		}
		withdrawsKeys := true
		for _, op := range c.Operations {
			withdrawsKeys = withdrawsKeys && op.Op == OpDelete && op.Kind == KindKey
		}
		if o.version == Version(offset+1) || c.Base != o.version && !withdrawsKeys {
			o.rememberedIDs[e.ID] = o.rememberedIDs[e.ID] || uint64(c.Base) > offset || withdrawsKeys
			continue
		}
		for _, op := range c.Operations {
			o.apply(op)
		}
		o.version = Version(offset + 1)
		o.rememberedIDs[e.ID], o.accepted[e.ID] = true, o.version
		o.documents[o.version] = mustJSON(o.current)
	}
	o.versionAfter = append(o.versionAfter, o.version)
}

func (o *oracle) apply(op Operation) {
	var a Adapter
	var k Key
	switch {
	case op.Kind == KindKey && op.Op == OpDelete:
		delete(o.current.Keys, op.ID)
	case op.Kind == KindKey:
		_ = json.Unmarshal(op.Value, &k)
		o.current.Keys[op.ID] = k
	case op.Op == OpDelete:
		delete(o.current.Adapters, op.ID)
	default:
		_ = json.Unmarshal(op.Value, &a)
		o.current.Adapters[op.ID] = a
	}
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// machine runs several folds on one log with retention, retried appends and delayed snapshots.
type machine struct {
	oracle          *oracle
	log             [][]record.Envelope
	firstRetained   uint64
	folds           []*Fold
	highestVersions []Version
	results         map[string]Result
	// pendingChunks holds snapshot records that were created but not yet appended.
	pendingChunks []record.Envelope
	idCount       int
	// digests holds the first digest of every view seen.
	digests map[*View]string
}

func newMachine() *machine {
	m := &machine{oracle: newOracle(), results: map[string]Result{}, digests: map[*View]string{}}
	for range 3 {
		m.folds = append(m.folds, NewFold())
	}
	m.highestVersions = make([]Version, len(m.folds))
	return m
}

func (m *machine) append(batch ...record.Envelope) {
	m.oracle.append(uint64(len(m.log)), batch)
	m.log = append(m.log, batch)
}

func (m *machine) drawFold(t *rapid.T) (int, *Fold) {
	i := rapid.IntRange(0, len(m.folds)-1).Draw(t, "fold")
	return i, m.folds[i]
}

func (m *machine) newChange(t *rapid.T, kind Kind, del bool) record.Envelope {
	m.idCount++
	id := fmt.Sprint(kind, rapid.IntRange(0, 2).Draw(t, "object"))
	op := NewDelete(kind, id)
	if !del {
		var value any = Key{Workspace: "w", Hash: fmt.Sprint(m.idCount)}
		if kind == KindAdapter {
			value = Adapter{Workspace: rapid.SampledFrom([]string{"w", "x"}).Draw(t, "owner"),
				Versions: []string{"1"}, Default: "1", Worth: float64(m.idCount)}
		}
		op, _ = NewPut(kind, id, value)
	}
	base := rapid.SampledFrom([]Version{m.oracle.version, m.oracle.version, m.folds[0].View().Version(),
		Version(len(m.log) + 1)}).Draw(t, "base")
	e, _ := NewChange(fmt.Sprint("c", m.idCount), "i", Change{Base: base, Operations: []Operation{op}, Author: "a"})
	return e
}

func (m *machine) read(t *rapid.T, i int, upTo int) {
	f := m.folds[i]
	f.SkipTo(m.firstRetained)
	for n := 0; n < upTo && f.Next() < uint64(len(m.log)); n++ {
		offset := f.Next()
		data, _ := record.Encode(m.log[offset])
		entries, err := record.Decode(offset, int64(offset), data)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range entries {
			r := f.Apply(e)
			for _, r := range append(r.Replayed, r) {
				m.checkResult(t, r)
			}
		}
		f.Advance(offset + 1)
	}
}

func (m *machine) checkResult(t *rapid.T, r Result) {
	want := m.oracle.accepted[r.Change.ID]
	switch {
	case r.Outcome == Accepted || r.Outcome == Duplicate:
		if r.Change.Version != want {
			t.Fatalf("change %s: version %d, want %d", r.Change.ID, r.Change.Version, want)
		}
	case r.Outcome == Refused:
		if want != 0 || r.Refusal.Theirs.Version != r.Refusal.Current {
			t.Fatalf("change %s, accepted as version %d, was refused: %+v", r.Change.ID, want, r.Refusal)
		}
	case r.Outcome == Malformed:
		t.Fatalf("malformed: %v", r.Err)
	}
}

// checkFolds compares each fold with the oracle, and every view seen so far with its first digest.
func (m *machine) checkFolds(t *rapid.T) {
	for i, f := range m.folds {
		v := f.View()
		if v.Version() < m.highestVersions[i] {
			t.Fatalf("fold %d reverted from version %d to %d", i, m.highestVersions[i], v.Version())
		}
		m.highestVersions[i] = v.Version()
		if _, ok := m.digests[v]; !ok {
			m.digests[v] = digest(v)
		}
		if got, want := mustJSON(v.Document()), m.oracle.documents[v.Version()]; got != want {
			t.Fatalf("version %d holds %s, want %s", v.Version(), got, want)
		}
		if n := f.Next(); f.Ready() && n > 0 && v.Version() != m.oracle.versionAfter[n-1] {
			t.Fatalf("fold %d at offset %d has version %d, want %d", i, n, v.Version(), m.oracle.versionAfter[n-1])
		}
		for _, w := range []string{"w", "x"} {
			names := maps.Collect(v.AdaptersOf(w))
			for name, a := range v.Adapters() {
				if (a.Workspace == w) != (names[name] == a) {
					t.Fatalf("adapter %s is listed wrongly under workspace %s", name, w)
				}
			}
		}
	}
	for v, first := range m.digests {
		if digest(v) != first {
			t.Fatalf("the view of version %d was modified", v.Version())
		}
	}
}

// digest returns a view's content and its index of adapters by workspace as a string.
func digest(v *View) string {
	return mustJSON(v.Document()) + mustJSON(maps.Collect(v.AdaptersOf("w"))) + mustJSON(maps.Collect(v.AdaptersOf("x")))
}

// TestFoldMatchesOracle guards against a fold that reverts, diverges between instances, accepts a duplicate or
// a change with a stale base, or becomes ready with changes missing.
func TestFoldMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		publish := func(kind Kind, del bool) func(*rapid.T) {
			return func(t *rapid.T) { m.append(m.newChange(t, kind, del)) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"":               m.checkFolds,
			"put adapter":    publish(KindAdapter, false),
			"delete adapter": publish(KindAdapter, true),
			"put key":        publish(KindKey, false),
			"withdraw key":   publish(KindKey, true),
			"two at once":    func(t *rapid.T) { m.append(m.newChange(t, KindKey, true), m.newChange(t, KindKey, true)) },
			"lost response":  m.repeatAppend,
			"read":           func(t *rapid.T) { i, _ := m.drawFold(t); m.read(t, i, rapid.IntRange(1, 8).Draw(t, "n")) },
			"read one":       func(t *rapid.T) { i, _ := m.drawFold(t); m.read(t, i, 1) },
			"follow": func(t *rapid.T) {
				i, _ := m.drawFold(t)
				m.append(m.newChange(t, KindAdapter, false))
				m.read(t, i, len(m.log))
			},
			"take snapshot": m.takeSnapshot,
			"append chunk":  m.appendPendingChunk,
			"retention": func(t *rapid.T) {
				m.firstRetained = min(m.firstRetained+rapid.Uint64Range(0, 4).Draw(t, "dropped"), uint64(len(m.log)))
			},
			"restart":    m.restart,
			"peer state": m.importPeerState,
		})
	})
}

// repeatAppend appends an earlier batch again, like a writer that retries after a lost response.
func (m *machine) repeatAppend(t *rapid.T) {
	if len(m.log) > 0 {
		m.append(rapid.SampledFrom(m.log).Draw(t, "again")...)
	}
}

func (m *machine) takeSnapshot(t *rapid.T) {
	_, f := m.drawFold(t)
	m.idCount++
	if !f.Ready() {
		return
	}
	e, err := mustCapture(f).Snapshot(fmt.Sprint("s", m.idCount), "i")
	if err != nil {
		t.Fatal(err)
	}
	m.pendingChunks = append(m.pendingChunks, e...)
}

func (m *machine) appendPendingChunk(t *rapid.T) {
	if len(m.pendingChunks) > 0 {
		i := rapid.IntRange(0, len(m.pendingChunks)-1).Draw(t, "late")
		m.append(m.pendingChunks[i])
		m.pendingChunks = append(m.pendingChunks[:i:i], m.pendingChunks[i+1:]...)
	}
}

func (m *machine) restart(t *rapid.T) {
	i, _ := m.drawFold(t)
	m.folds[i], m.highestVersions[i] = NewFold(), 0
	m.folds[i].SkipTo(m.firstRetained)
}

func (m *machine) importPeerState(t *rapid.T) {
	_, from := m.drawFold(t)
	_, to := m.drawFold(t)
	if !from.Ready() {
		return
	}
	data, err := mustCapture(from).Export()
	if err != nil {
		t.Fatal(err)
	}
	_, results, err := to.Import(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		m.checkResult(t, r)
	}
}

// TestSnapshotInChunks guards against a snapshot of several chunks that is restored incompletely, and against
// a new fold that becomes ready with only some of the chunks.
func TestSnapshotInChunks(t *testing.T) {
	f, restored := foldWithAdapters(5000), NewFold()
	records, err := mustCapture(f).Snapshot("s", "i")
	if err != nil || len(records) < 3 {
		t.Fatalf("%d chunks, %v", len(records), err)
	}
	restored.SkipTo(f.Next())
	for i, e := range records {
		if restored.Ready() {
			t.Fatalf("ready after %d of %d chunks", i, len(records))
		}
		offset := f.Next() + uint64(i)
		restored.Apply(record.Entry{Offset: offset, Envelope: e})
		restored.Advance(offset + 1)
	}
	if !restored.Ready() || mustJSON(restored.View().Document()) != mustJSON(f.View().Document()) {
		t.Fatal("the restored configuration differs")
	}
	if _, ok := restored.View().RecentChange("first"); !ok {
		t.Fatal("the snapshot lost the ids of earlier changes")
	}
}

// TestSnapshotSchedule guards against changes that retention removes from the log before a snapshot covers
// them, and against all instances appending a snapshot at once.
func TestSnapshotSchedule(t *testing.T) {
	const retention, step, instances, hours = 64 * time.Hour, 2 * time.Hour, 5, 240
	rapid.Check(t, func(t *rapid.T) {
		type appended struct {
			at       time.Time
			envelope record.Envelope
		}
		var log []appended
		now, snapshots, first := time.UnixMilli(1), 0, 0
		folds := make([]*Fold, instances)
		for i := range folds {
			folds[i] = NewFold()
		}
		read := func(f *Fold) {
			f.SkipTo(uint64(first))
			for f.Next() < uint64(len(log)) {
				o := f.Next()
				f.Apply(record.Entry{Offset: o, UnixMilli: log[o].at.UnixMilli(), Envelope: log[o].envelope})
				f.Advance(o + 1)
			}
		}
		var delayed []record.Envelope
		for hour := 0; hour < hours; hour += 2 {
			now = now.Add(step)
			if hour == 0 || rapid.IntRange(0, 9).Draw(t, "publish") == 0 {
				op, _ := NewPut(KindWorkspace, "w", Workspace{Weight: float64(hour)})
				e, _ := NewChange(fmt.Sprint(hour), "i", Change{Base: folds[0].View().Version(), Operations: []Operation{op}})
				log = append(log, appended{now, e})
			}
			if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
				// A paused instance appends its old snapshot much later.
				for _, e := range delayed {
					log = append(log, appended{now, e})
				}
				delayed, _ = mustCapture(folds[0]).Snapshot(fmt.Sprint("late", hour), "i")
			}
			for i, f := range folds {
				read(f)
				due, ok := f.SnapshotDue(fmt.Sprint("instance", i), retention)
				if !ok || now.Before(due) {
					continue
				}
				records, err := mustCapture(f).Snapshot(fmt.Sprint(i, "/", hour), "i")
				if err != nil {
					t.Fatal(err)
				}
				log = append(log, appended{now, records[0]})
				snapshots++
			}
			for first < len(log) && now.Sub(log[first].at) > retention {
				first++
			}
			if hour%8 != 0 {
				continue
			}
			fresh := NewFold()
			if read(fresh); !fresh.Ready() {
				t.Fatalf("hour %d: the retained log has no snapshot that a new instance can restore", hour)
			}
		}
		if snapshots > hours*4/64+2 {
			t.Fatalf("too many snapshots: %d in %d h", snapshots, hours)
		}
	})
}

// TestSnapshotDue guards against all instances appending a snapshot at once, and against a late snapshot that
// postpones the next one until retention has removed a change that it does not cover.
func TestSnapshotDue(t *testing.T) {
	const hour = int64(time.Hour / time.Millisecond)
	const retention, instances, buckets = 64 * time.Hour, 860, 8
	f := foldWithAdapters(1)
	quarter, spread := time.UnixMilli(1).Add(retention/4), retention/16
	var counts [buckets]int
	for i := range instances {
		due, ok := f.SnapshotDue(fmt.Sprint("instance", i), retention)
		delay := due.Sub(quarter)
		if !ok || delay < 0 || delay >= spread {
			t.Fatalf("instance %d: delay %v is out of range", i, delay)
		}
		counts[int(delay*buckets/spread)]++
	}
	for _, n := range counts {
		if n > 2*instances/buckets {
			t.Errorf("uneven delays; instances per eighth of the spread: %v", counts)
		}
	}
	late, err := mustCapture(f).Snapshot("late", "i")
	if err != nil {
		t.Fatal(err)
	}
	e, _ := NewChange("second", "i", Change{Base: 1, Operations: []Operation{NewDelete(KindAdapter, "drying-note-00000")}})
	f.Apply(record.Entry{Offset: 1, UnixMilli: 2 * hour, Envelope: e})
	f.Advance(2)
	f.Apply(record.Entry{Offset: 2, UnixMilli: 50 * hour, Envelope: late[0]})
	if due, _ := f.SnapshotDue("instance", retention); due.After(time.UnixMilli(2 * hour).Add(retention/4 + spread)) {
		t.Errorf("after a late snapshot the next one is due at %v", due.Sub(time.UnixMilli(0)))
	}
}

// TestRecentChangesAreBounded guards against an unbounded number of remembered changes, and against forgetting
// them too early.
func TestRecentChangesAreBounded(t *testing.T) {
	v := NewView().mutableCopy()
	for i := range maxRecentChanges + 5 {
		v.rememberChange(ChangeRef{ID: fmt.Sprint(i)})
	}
	_, newKept := v.RecentChange("5")
	if _, oldKept := v.RecentChange("4"); oldKept || !newKept || v.changesByID.tree.Len() != maxRecentChanges {
		t.Fatal("the wrong changes are remembered")
	}
}

// TestMalformedRecords guards against a malformed record that changes the state or stops the fold.
func TestMalformedRecords(t *testing.T) {
	f := foldWithAdapters(1)
	before := f.View()
	for i, body := range []string{`{`, `{"base":1,"operations":[{"op":"put","kind":"adapter","id":"a","value":7}]}`,
		`{"base":1,"operations":[{"op":"put","kind":"fleet","id":"x","value":{}}]}`,
		`{"base":1,"operations":[{"op":"drop","kind":"adapter","id":"a"}]}`} {
		e := record.Envelope{Kind: RecordChange, ID: fmt.Sprint("m", i), Body: json.RawMessage(body)}
		if r := f.Apply(record.Entry{Offset: f.Next(), Envelope: e}); r.Outcome != Malformed || r.Err == nil {
			t.Errorf("%s: %+v", body, r)
		}
		f.Advance(f.Next() + 1)
	}
	if f.View() != before {
		t.Error("a malformed record changed the view")
	}
	if _, _, err := f.Import([]byte(`{"version":9,"next":3}`)); err == nil || !strings.Contains(err.Error(), "covers") {
		t.Errorf("a state that covers less than its version was not refused: %v", err)
	}
}

// foldWithAdapters returns a fold of one change that puts n adapters in five workspaces.
func foldWithAdapters(n int) *Fold {
	var ops []Operation
	for i := range n {
		o, _ := NewPut(KindAdapter, fmt.Sprintf("drying-note-%05d", i), Adapter{
			Workspace: fmt.Sprint("crew-", i%5), BaseModel: "kelp-base-8b", Versions: []string{"v1", "v2"}, Default: "v2",
			Class: Batch, DeadlineSeconds: 3600, Worth: 2})
		ops = append(ops, o)
	}
	e, err := NewChange("first", "i", Change{Operations: ops, Author: "a"})
	if err != nil {
		panic(err)
	}
	f := NewFold()
	if r := f.Apply(record.Entry{Envelope: e, UnixMilli: 1}); r.Outcome != Accepted {
		panic(r.Err)
	}
	f.Advance(1)
	return f
}

// mustCapture returns the capture of a fold that must be ready.
func mustCapture(f *Fold) Capture {
	c, err := f.Capture()
	if err != nil {
		panic(err)
	}
	return c
}

// TestForgottenChangeIsNotReportedAsRefused guards against telling an operator that a change was refused
// although the state that was restored in place of the missing records may contain it.
func TestForgottenChangeIsNotReportedAsRefused(t *testing.T) {
	f := NewFold()
	f.SkipTo(2)
	e, _ := NewChange("old", "i", Change{Base: 1, Operations: []Operation{NewDelete(KindAdapter, "a")}})
	if r := f.Apply(record.Entry{Offset: 2, Envelope: e}); r.Outcome != Buffered {
		t.Fatalf("%+v", r)
	}
	f.Advance(3)
	used, results, err := f.Import([]byte(`{"version":7,"next":9}`))
	if !used || err != nil || len(results) != 0 || f.View().Version() != 7 || f.Next() != 9 {
		t.Errorf("%v, %v, %v, next %d", used, results, err, f.Next())
	}
	if used, _, _ := f.Import([]byte(`{"version":5,"next":20}`)); used || f.View().Version() != 7 {
		t.Error("an older state was restored")
	}
}

// TestViewsAreSafeForConcurrentUse guards, under the race detector, against readers and checks of a view that
// race with a change being applied.
func TestViewsAreSafeForConcurrentUse(t *testing.T) {
	f := foldWithAdapters(200)
	v := f.View()
	want := mustJSON(v.Document())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				put, _ := NewPut(KindAdapter, "drying-note-00007", Adapter{Workspace: "x", Versions: []string{"1"}})
				_ = v.CheckOperations([]Operation{put, NewDelete(KindWorkspace, "crew-1")})
				v.Resolve("drying-note-00001@v1")
			}
		})
	}
	for i := range 100 {
		e, _ := NewChange(fmt.Sprint("d", i), "i", Change{Base: f.View().Version(),
			Operations: []Operation{NewDelete(KindAdapter, fmt.Sprintf("drying-note-%05d", i))}})
		if r := f.Apply(record.Entry{Offset: f.Next(), Envelope: e}); r.Outcome != Accepted {
			t.Fatalf("%+v", r)
		}
		f.Advance(f.Next() + 1)
	}
	wg.Wait()
	if mustJSON(v.Document()) != want || f.View().AdapterCount() != 100 {
		t.Error("a change modified an earlier view")
	}
}
