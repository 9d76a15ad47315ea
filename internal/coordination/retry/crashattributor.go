package retry

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// KindBlame is the kind of the log records with which instances share engine crashes.
const KindBlame record.Kind = "blame"

const (
	// BlameWindow is the longest interval between two crashes that are attributed to one request, and
	// how long that request is refused afterwards.
	BlameWindow = 10 * time.Minute
	// crashRetention is how long a crash is kept. Two crashes BlameWindow apart cause a refusal of
	// BlameWindow after the second one, so the first must be kept for twice as long.
	crashRetention = 2 * BlameWindow
	// maxCrashes bounds the number of crashes in memory. An engine takes at least seconds to restart,
	// so 1024 crashes within crashRetention occur only if most engines of a fleet crash repeatedly.
	maxCrashes = 1024

	statusUnprocessable = 422
)

var errFingerprint = trace.BadParameter("fingerprint must be 64 hexadecimal digits")

// EngineRun identifies one run of an engine. A run ends in at most one crash, so it also identifies
// that crash.
type EngineRun struct {
	Engine string `json:"engine"`
	// Incarnation distinguishes the runs of one engine.
	Incarnation string `json:"engine_incarnation"`
}

// BlameRecord is the body of a blame record. Suspects are the requests that were running on the engine
// when it crashed; Cleared are the suspects that later ran alone on an engine and completed.
//
// Applying records is commutative and idempotent: the suspects of a crash are the union of those that
// all instances reported, and a clearing record names the crash to which it applies.
type BlameRecord struct {
	Crash EngineRun `json:"crash"`
	// UnixMilli is the time of the crash according to the reporting instance's wall clock.
	UnixMilli int64         `json:"unix_milli"`
	Suspects  []Fingerprint `json:"suspects,omitempty"`
	Cleared   []Fingerprint `json:"cleared,omitempty"`
}

type crashState struct {
	at       time.Time
	suspects map[Fingerprint]bool
	cleared  map[Fingerprint]bool
}

// isSuspect reports whether the request is a suspect of this crash and has not been cleared.
func (c *crashState) isSuspect(f Fingerprint) bool { return c.suspects[f] && !c.cleared[f] }

// attempt is an attempt that is running on an engine.
type attempt struct {
	fingerprint Fingerprint
	// alone is true while no other request of this instance has shared the engine run with this one.
	alone bool
}

// attempts holds the attempts that are running on one engine run, by ID.
type attempts map[string]attempt

// CrashAttributor attributes engine crashes to requests.
//
// After a crash, every request that was running on the engine is a suspect. A suspect may run again, but
// only alone on an engine, so that suspects are isolated from each other and from other requests. Two
// crashes within BlameWindow are attributed to a request if it is the only suspect that they have in
// common; the request is then refused for BlameWindow. A suspect that runs alone and completes is
// cleared.
//
// The isolation covers only this instance's requests. Requests of other instances on the same engine
// become suspects of the crash through the records of those instances.
type CrashAttributor struct {
	crashes          map[EngineRun]*crashState
	crashesBySuspect map[Fingerprint][]EngineRun
	activeAttempts   map[EngineRun]attempts
}

// NewCrashAttributor returns a CrashAttributor without crashes.
func NewCrashAttributor() *CrashAttributor {
	return &CrashAttributor{crashes: map[EngineRun]*crashState{}, crashesBySuspect: map[Fingerprint][]EngineRun{},
		activeAttempts: map[EngineRun]attempts{}}
}

// Check returns an error with verdict not-run if two crashes are attributed to the request, or nil.
func (a *CrashAttributor) Check(f Fingerprint, now time.Time) *verdict.Error {
	until, ok := a.refusedUntil(f)
	if !ok || !now.Before(until) {
		return nil
	}
	return verdict.New(verdict.NotRun, statusUnprocessable, "crashes_engine",
		"this request coincided with two crashes of engines").WithRetryAfter(until.Sub(now))
}

// refusedUntil returns the end of the refusal if two crashes within BlameWindow have f as their only
// common suspect.
func (a *CrashAttributor) refusedUntil(f Fingerprint) (time.Time, bool) {
	list := a.crashesBySuspect[f]
	var until time.Time
	for i, first := range list {
		for _, second := range list[:i] {
			one, two := a.crashes[first], a.crashes[second]
			if !one.isSuspect(f) || !two.isSuspect(f) || one.at.Sub(two.at).Abs() > BlameWindow {
				continue
			}
			end := later(one.at, two.at).Add(BlameWindow)
			if end.After(until) && onlyCommonSuspect(one, two, f) {
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

func onlyCommonSuspect(one, two *crashState, f Fingerprint) bool {
	if len(two.suspects) < len(one.suspects) {
		one, two = two, one
	}
	for s := range one.suspects {
		if s != f && one.isSuspect(s) && two.isSuspect(s) {
			return false
		}
	}
	return true
}

// Suspect reports whether the request was running during a crash within the last BlameWindow and has not
// been cleared of it.
func (a *CrashAttributor) Suspect(f Fingerprint, now time.Time) bool {
	for _, k := range a.crashesBySuspect[f] {
		if c := a.crashes[k]; c.isSuspect(f) && now.Before(c.at.Add(BlameWindow)) {
			return true
		}
	}
	return false
}

// MayStart reports whether a request may start on an engine run now. A suspect may start only if no
// request of this instance is running there, and no request may start where a suspect is running alone.
func (a *CrashAttributor) MayStart(f Fingerprint, engine EngineRun, now time.Time) bool {
	active := a.activeAttempts[engine]
	if len(active) == 0 {
		return true
	}
	if a.Suspect(f, now) {
		return false
	}
	for _, r := range active {
		if r.alone && a.Suspect(r.fingerprint, now) {
			return false
		}
	}
	return true
}

// Started records that a request started on an engine run. The id is unique per attempt.
func (a *CrashAttributor) Started(id string, f Fingerprint, engine EngineRun) {
	active := a.activeAttempts[engine]
	if active == nil {
		active = attempts{}
		a.activeAttempts[engine] = active
	}
	for other, r := range active {
		r.alone = false
		active[other] = r
	}
	active[id] = attempt{fingerprint: f, alone: len(active) == 0}
}

// Finished records that a request ended without an engine crash; complete says that it ran to completion.
// The returned records clear a suspect; the caller appends them to the log.
func (a *CrashAttributor) Finished(id string, engine EngineRun, complete bool) []BlameRecord {
	active := a.activeAttempts[engine]
	r, ok := active[id]
	if !ok {
		return nil
	}
	delete(active, id)
	if len(active) == 0 {
		delete(a.activeAttempts, engine)
	}
	if !complete || !r.alone {
		return nil
	}
	var cleared []BlameRecord
	for _, k := range a.crashesBySuspect[r.fingerprint] {
		c := a.crashes[k]
		if !c.isSuspect(r.fingerprint) {
			continue
		}
		c.cleared[r.fingerprint] = true
		cleared = append(cleared, BlameRecord{Crash: k, UnixMilli: c.at.UnixMilli(), Cleared: []Fingerprint{r.fingerprint}})
	}
	return cleared
}

// Crashed records the crash of an engine run. It returns the sorted ids of the attempts that were running
// there and the record for the log, which is nil if nothing was running. Call.Failed and Check decide
// whether a request may be retried.
func (a *CrashAttributor) Crashed(engine EngineRun, now time.Time) (ids []string, rec *BlameRecord) {
	active := a.activeAttempts[engine]
	if len(active) == 0 {
		return nil, nil
	}
	delete(a.activeAttempts, engine)
	rec = &BlameRecord{Crash: engine, UnixMilli: now.UnixMilli()}
	for id, r := range active {
		ids = append(ids, id)
		rec.Suspects = append(rec.Suspects, r.fingerprint)
	}
	slices.Sort(ids)
	slices.SortFunc(rec.Suspects, func(x, y Fingerprint) int { return slices.Compare(x[:], y[:]) })
	rec.Suspects = slices.Compact(rec.Suspects)
	a.Merge(*rec, now)
	return ids, rec
}

// Apply applies one log record. Records of other kinds are ignored.
func (a *CrashAttributor) Apply(e record.Entry, now time.Time) error {
	if e.Kind != KindBlame {
		return nil
	}
	var rec BlameRecord
	if err := e.Unmarshal(&rec); err != nil {
		return trace.Wrap(err)
	}
	a.Merge(rec, now)
	return nil
}

// Merge adds a record from the log or from a peer's heartbeat. Records older than crashRetention are
// ignored. A time in the future is treated as now, so that a wrong clock cannot extend a refusal.
func (a *CrashAttributor) Merge(rec BlameRecord, now time.Time) {
	a.Expire(now)
	at := time.UnixMilli(rec.UnixMilli)
	if at.After(now) {
		at = now
	}
	if now.Sub(at) >= crashRetention {
		return
	}
	c := a.crashes[rec.Crash]
	if c == nil {
		if len(a.crashes) >= maxCrashes {
			a.drop(a.oldest())
		}
		c = &crashState{at: at, suspects: map[Fingerprint]bool{}, cleared: map[Fingerprint]bool{}}
		a.crashes[rec.Crash] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, f := range rec.Suspects {
		if !c.suspects[f] {
			c.suspects[f] = true
			a.crashesBySuspect[f] = append(a.crashesBySuspect[f], rec.Crash)
		}
	}
	for _, f := range rec.Cleared {
		c.cleared[f] = true
	}
}

// Expire removes crashes that are older than crashRetention.
func (a *CrashAttributor) Expire(now time.Time) {
	for k, c := range a.crashes {
		if now.Sub(c.at) >= crashRetention {
			a.drop(k)
		}
	}
}

func (a *CrashAttributor) oldest() EngineRun {
	var oldest EngineRun
	var at time.Time
	for k, c := range a.crashes {
		if at.IsZero() || c.at.Before(at) || c.at.Equal(at) && compareEngineRuns(k, oldest) < 0 {
			oldest, at = k, c.at
		}
	}
	return oldest
}

func compareEngineRuns(a, b EngineRun) int {
	return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (a *CrashAttributor) drop(k EngineRun) {
	for f := range a.crashes[k].suspects {
		a.crashesBySuspect[f] = slices.DeleteFunc(a.crashesBySuspect[f], func(o EngineRun) bool { return o == k })
		if len(a.crashesBySuspect[f]) == 0 {
			delete(a.crashesBySuspect, f)
		}
	}
	delete(a.crashes, k)
}

// Records returns the whole state as records, sorted by engine run, for heartbeats and control snapshots.
func (a *CrashAttributor) Records() []BlameRecord {
	list := make([]BlameRecord, 0, len(a.crashes))
	for k, c := range a.crashes {
		list = append(list, BlameRecord{Crash: k, UnixMilli: c.at.UnixMilli(),
			Suspects: sortedFingerprints(c.suspects), Cleared: sortedFingerprints(c.cleared)})
	}
	slices.SortFunc(list, func(x, y BlameRecord) int { return compareEngineRuns(x.Crash, y.Crash) })
	return list
}

func sortedFingerprints(set map[Fingerprint]bool) []Fingerprint {
	var list []Fingerprint
	for f := range set {
		list = append(list, f)
	}
	slices.SortFunc(list, func(x, y Fingerprint) int { return slices.Compare(x[:], y[:]) })
	return list
}
