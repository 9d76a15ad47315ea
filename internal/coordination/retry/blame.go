package retry

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// KindBlame is the kind of the records by which instances share engine crashes.
const KindBlame record.Kind = "blame"

const (
	// BlameWindow is the longest time between two crashes that put a request to blame, and the
	// time for which it is then refused.
	BlameWindow = 10 * time.Minute
	// crashMemory is how long a crash is kept: a pair BlameWindow apart counts for BlameWindow.
	crashMemory = 2 * BlameWindow
	// maxCrashes bounds the crashes in memory. An engine restarts in seconds at best, so 1024
	// crashes within crashMemory need a fleet in which most engines crash all the time.
	maxCrashes = 1024

	statusUnprocessable = 422
)

var errFingerprint = trace.BadParameter("a fingerprint is not 64 hexadecimal digits")

// EngineRun names one crash: the run of the engine that ended in it.
type EngineRun struct {
	Engine string `json:"engine"`
	// Incarnation is that of the crashed engine run.
	Incarnation string `json:"engine_incarnation"`
}

// BlameRecord is the body of a blame record. The requests that were running on an engine when it
// crashed are its suspects; Cleared are those that ran to the end alone afterwards.
//
// The state is the same whatever the order and number of times in which records are applied: the
// suspects of one crash are joined over the instances, and clearing names the crashes it is about.
type BlameRecord struct {
	Crash EngineRun `json:"crash"`
	// UnixMilli is the time of the crash by its reporter's wall clock.
	UnixMilli int64         `json:"unix_milli"`
	Suspects  []Fingerprint `json:"suspects,omitempty"`
	Cleared   []Fingerprint `json:"cleared,omitempty"`
}

type crash struct {
	at       time.Time
	suspects map[Fingerprint]bool
	cleared  map[Fingerprint]bool
}

func (c *crash) counts(f Fingerprint) bool { return c.suspects[f] && !c.cleared[f] }

type run struct {
	fingerprint Fingerprint
	// alone says that the run started as the only one of this instance on its engine run.
	alone bool
}

type runs map[string]run

// CrashAttributor attributes crashes of engines to requests.
//
// After the first crash every request that ran on the engine is a suspect: it may run again, but only
// alone on an engine, so that suspects are apart from each other and from other requests. A request is
// to blame for two crashes within BlameWindow if it is the only suspect of both; it is then refused for
// BlameWindow. A suspect that runs alone to the end is cleared.
//
// The isolation covers this instance's requests. Requests of other instances on the same engine are
// joined to the crash's suspects by their records.
type CrashAttributor struct {
	crashes map[EngineRun]*crash
	of      map[Fingerprint][]EngineRun
	engines map[EngineRun]runs
}

// NewCrashAttributor returns a Blame that knows no crash.
func NewCrashAttributor() *CrashAttributor {
	return &CrashAttributor{crashes: map[EngineRun]*crash{}, of: map[Fingerprint][]EngineRun{}, engines: map[EngineRun]runs{}}
}

// Check returns the refusal, with verdict not-run, of a request that is to blame, or nil.
func (b *CrashAttributor) Check(f Fingerprint, now time.Time) *verdict.Error {
	until, ok := b.refusedUntil(f)
	if !ok || !now.Before(until) {
		return nil
	}
	return verdict.New(verdict.NotRun, statusUnprocessable, "crashes_engine",
		"this request coincided with two crashes of engines").WithRetryAfter(until.Sub(now))
}

// refusedUntil looks for two crashes within BlameWindow that share no suspect but f.
func (b *CrashAttributor) refusedUntil(f Fingerprint) (time.Time, bool) {
	list := b.of[f]
	var until time.Time
	for i, first := range list {
		for _, second := range list[:i] {
			one, two := b.crashes[first], b.crashes[second]
			if !one.counts(f) || !two.counts(f) || one.at.Sub(two.at).Abs() > BlameWindow {
				continue
			}
			end := later(one.at, two.at).Add(BlameWindow)
			if end.After(until) && onlyCommon(one, two, f) {
				until = end
			}
		}
	}
	return until, !until.IsZero()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func onlyCommon(one, two *crash, f Fingerprint) bool {
	if len(two.suspects) < len(one.suspects) {
		one, two = two, one
	}
	for s := range one.suspects {
		if s != f && one.counts(s) && two.counts(s) {
			return false
		}
	}
	return true
}

// Suspect reports whether a request coincided with a crash in the last BlameWindow and was not cleared.
func (b *CrashAttributor) Suspect(f Fingerprint, now time.Time) bool {
	for _, k := range b.of[f] {
		if c := b.crashes[k]; c.counts(f) && now.Before(c.at.Add(BlameWindow)) {
			return true
		}
	}
	return false
}

// MayStart reports whether a request may start on an engine run now: a suspect only where nothing of
// this instance runs, and nothing where a suspect runs alone.
func (b *CrashAttributor) MayStart(f Fingerprint, engine EngineRun, now time.Time) bool {
	on := b.engines[engine]
	if len(on) == 0 {
		return true
	}
	if b.Suspect(f, now) {
		return false
	}
	for _, r := range on {
		if r.alone && b.Suspect(r.fingerprint, now) {
			return false
		}
	}
	return true
}

// Started records a run on an engine run. The id is unique per attempt.
func (b *CrashAttributor) Started(id string, f Fingerprint, engine EngineRun) {
	on := b.engines[engine]
	if on == nil {
		on = runs{}
		b.engines[engine] = on
	}
	for other, r := range on {
		r.alone = false
		on[other] = r
	}
	on[id] = run{fingerprint: f, alone: len(on) == 0}
}

// Finished records the end of a run without a crash. complete says that it ran to its end. The records
// clear a suspect and are to be appended to the log.
func (b *CrashAttributor) Finished(id string, engine EngineRun, complete bool) []BlameRecord {
	on := b.engines[engine]
	r, ok := on[id]
	if !ok {
		return nil
	}
	delete(on, id)
	if len(on) == 0 {
		delete(b.engines, engine)
	}
	if !complete || !r.alone {
		return nil
	}
	var cleared []BlameRecord
	for _, k := range b.of[r.fingerprint] {
		c := b.crashes[k]
		if !c.counts(r.fingerprint) {
			continue
		}
		c.cleared[r.fingerprint] = true
		cleared = append(cleared, BlameRecord{Crash: k, UnixMilli: c.at.UnixMilli(), Cleared: []Fingerprint{r.fingerprint}})
	}
	return cleared
}

// Crashed records the crash of an engine run. It returns the ids of the runs that it ended, in order,
// and the record for the log; there is none when nothing ran. Whether a run may be repeated is decided
// by Call.Failed and Check.
func (b *CrashAttributor) Crashed(engine EngineRun, now time.Time) (ids []string, rec *BlameRecord) {
	on := b.engines[engine]
	if len(on) == 0 {
		return nil, nil
	}
	delete(b.engines, engine)
	rec = &BlameRecord{Crash: engine, UnixMilli: now.UnixMilli()}
	for id, r := range on {
		ids = append(ids, id)
		rec.Suspects = append(rec.Suspects, r.fingerprint)
	}
	slices.Sort(ids)
	slices.SortFunc(rec.Suspects, func(x, y Fingerprint) int { return slices.Compare(x[:], y[:]) })
	rec.Suspects = slices.Compact(rec.Suspects)
	b.Merge(*rec, now)
	return ids, rec
}

// Apply folds one log record. Records of other kinds are ignored.
func (b *CrashAttributor) Apply(e record.Entry, now time.Time) error {
	if e.Kind != KindBlame {
		return nil
	}
	var rec BlameRecord
	if err := e.Unmarshal(&rec); err != nil {
		return trace.Wrap(err)
	}
	b.Merge(rec, now)
	return nil
}

// Merge adds a record, from the log or from a peer's heartbeat. Records older than the memory are
// ignored, and a time in the future counts as now, so that a wrong clock cannot extend a refusal.
func (b *CrashAttributor) Merge(rec BlameRecord, now time.Time) {
	b.Expire(now)
	at := time.UnixMilli(rec.UnixMilli)
	if at.After(now) {
		at = now
	}
	if now.Sub(at) >= crashMemory {
		return
	}
	c := b.crashes[rec.Crash]
	if c == nil {
		if len(b.crashes) >= maxCrashes {
			b.drop(b.oldest())
		}
		c = &crash{at: at, suspects: map[Fingerprint]bool{}, cleared: map[Fingerprint]bool{}}
		b.crashes[rec.Crash] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, f := range rec.Suspects {
		if !c.suspects[f] {
			c.suspects[f] = true
			b.of[f] = append(b.of[f], rec.Crash)
		}
	}
	for _, f := range rec.Cleared {
		c.cleared[f] = true
	}
}

// Expire drops crashes that no longer count.
func (b *CrashAttributor) Expire(now time.Time) {
	for k, c := range b.crashes {
		if now.Sub(c.at) >= crashMemory {
			b.drop(k)
		}
	}
}

func (b *CrashAttributor) oldest() EngineRun {
	var oldest EngineRun
	var at time.Time
	for k, c := range b.crashes {
		if at.IsZero() || c.at.Before(at) || c.at.Equal(at) && compareCrash(k, oldest) < 0 {
			oldest, at = k, c.at
		}
	}
	return oldest
}

func compareCrash(a, b EngineRun) int {
	return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (b *CrashAttributor) drop(k EngineRun) {
	for f := range b.crashes[k].suspects {
		b.of[f] = slices.DeleteFunc(b.of[f], func(o EngineRun) bool { return o == k })
		if len(b.of[f]) == 0 {
			delete(b.of, f)
		}
	}
	delete(b.crashes, k)
}

// Records returns the whole state as records, in order, for heartbeats and for control snapshots.
func (b *CrashAttributor) Records() []BlameRecord {
	list := make([]BlameRecord, 0, len(b.crashes))
	for k, c := range b.crashes {
		list = append(list, BlameRecord{Crash: k, UnixMilli: c.at.UnixMilli(),
			Suspects: sorted(c.suspects), Cleared: sorted(c.cleared)})
	}
	slices.SortFunc(list, func(x, y BlameRecord) int { return compareCrash(x.Crash, y.Crash) })
	return list
}

func sorted(set map[Fingerprint]bool) []Fingerprint {
	var list []Fingerprint
	for f := range set {
		list = append(list, f)
	}
	slices.SortFunc(list, func(x, y Fingerprint) int { return slices.Compare(x[:], y[:]) })
	return list
}
