package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Fleet is one instance's view of the engines: the adapter versions resident on each, their load, and
// whether they take new work. Residency belongs to an incarnation of an engine: when the incarnation
// changes, all slots of the engine are cleared.
type Fleet struct {
	policy     Policy
	popularity *Popularity
	rnd        *rand.Rand
	engines    map[string]*Engine
	index      map[adapter.Ref]*copies
	pools      map[string]*pool
	candidates []Candidate
	request    Request
	// LoadDuration is the time that one load takes. The value of a resident adapter is proportional
	// to it.
	LoadDuration time.Duration
}

// copies holds the slots of one adapter version on all engines.
type copies struct {
	slots   []*Slot
	loading int // number of slots whose load has not completed
	// waiting is the number of this instance's requests that wait to be dispatched to a copy.
	waiting int
}

// pool holds the engines of one base model that take new work, so that engines can be drawn at random.
type pool struct{ engines []*Engine }

// New returns an empty Fleet. The random source is used to draw engines and to break ties.
func New(p Policy, pop *Popularity, rnd *rand.Rand) *Fleet {
	return &Fleet{
		policy: p, popularity: pop, rnd: rnd, LoadDuration: 250 * time.Millisecond,
		engines: map[string]*Engine{}, index: map[adapter.Ref]*copies{}, pools: map[string]*pool{},
		candidates: make([]Candidate, 0, 16),
	}
}

// SetEngine adds an engine or updates its configuration. A new engine takes work only after its first
// report. An engine whose base model changes is replaced by a new one.
func (f *Fleet) SetEngine(s Spec) {
	s.Capacity = max(1, s.Capacity)
	e := f.engines[s.ID]
	if e != nil && e.spec.BaseModel != s.BaseModel {
		f.RemoveEngine(s.ID)
		e = nil
	}
	if e == nil {
		p := f.pools[s.BaseModel]
		if p == nil {
			p = &pool{}
			f.pools[s.BaseModel] = p
		}
		e = &Engine{pool: p, indexInPool: -1}
		f.engines[s.ID] = e
	}
	e.spec, e.role = s, s.Role
}

// RemoveEngine removes an engine and its slots.
func (f *Fleet) RemoveEngine(id string) {
	if e := f.engines[id]; e != nil {
		f.clearSlots(e)
		e.incarnation = ""
		f.updatePool(e)
		delete(f.engines, id)
	}
}

// SetLeaving sets whether an engine is being taken out of service. A leaving engine gets no new work.
func (f *Fleet) SetLeaving(id string, leaving bool) {
	if e := f.engines[id]; e != nil {
		e.leaving = leaving
		f.updatePool(e)
	}
}

// SetEjected sets whether outlier detection has ejected an engine. An ejected engine gets no new work.
func (f *Fleet) SetEjected(id string, ejected bool) {
	if e := f.engines[id]; e != nil {
		e.ejected = ejected
		f.updatePool(e)
	}
}

// SetRole changes an engine's role.
func (f *Fleet) SetRole(id string, r Role) {
	if e := f.engines[id]; e != nil {
		e.role = r
	}
}

// Report applies an engine's report. A report of a new incarnation clears the engine's slots first. A report
// that is not newer than the last one of the same incarnation is ignored. Loads requested or completed after
// SampledAt are kept, and adapters removed after it stay removed, since the report does not include either.
func (f *Fleet) Report(id string, r Report) {
	e := f.engines[id]
	if e == nil || r.Incarnation == "" {
		return
	}
	if r.Incarnation != e.incarnation {
		f.clearSlots(e)
		e.incarnation, e.sequence, e.sinceReport, e.prefixes = r.Incarnation, 0, loadChanges{}, prefixCache{}
		e.selfLeaving, e.removed = false, nil
	}
	if r.Sequence <= e.sequence && e.sequence != 0 {
		return
	}
	e.sequence, e.reportedLoad = r.Sequence, r.Running+r.Queued
	e.sinceReport.dropBefore(r.SampledAt)
	e.selfLeaving = e.selfLeaving || r.Leaving
	f.updatePool(e)
	for _, s := range e.slots {
		s.inReport = false
	}
	for _, rs := range r.Resident {
		s := e.findSlot(rs.Adapter)
		if s == nil && e.removedSince(rs.Adapter, r.SampledAt) {
			continue
		}
		if s == nil {
			s = f.addSlot(e, rs.Adapter, r.SampledAt)
		}
		if s.resident || !s.changedAt.After(r.SampledAt) {
			f.setResident(s, true)
			s.otherInFlight = max(0, rs.Running-s.inFlight)
		}
		s.inReport = true
	}
	for i := len(e.slots) - 1; i >= 0; i-- {
		if s := e.slots[i]; !s.inReport && s.resident && s.inFlight == 0 && !s.changedAt.After(r.SampledAt) {
			f.removeSlot(s)
		}
	}
	e.removed = slices.DeleteFunc(e.removed, func(x removal) bool { return x.at.Before(r.SampledAt) })
	e.recountEvictable()
}

// PrefixEvent applies a prefix cache event. Events of any but the engine's current incarnation are ignored.
func (f *Fleet) PrefixEvent(id, incarnation string, ev PrefixEvent) {
	if e := f.engines[id]; e != nil && e.incarnation == incarnation {
		e.prefixes.apply(ev)
	}
}

// Started records that this instance dispatched a request to an engine.
func (f *Fleet) Started(id string, a adapter.Ref, now time.Time) { f.addInFlight(id, a, 1, now) }

// Finished records that a request dispatched by this instance ended.
func (f *Fleet) Finished(id string, a adapter.Ref, now time.Time) { f.addInFlight(id, a, -1, now) }

func (f *Fleet) addInFlight(id string, a adapter.Ref, n int, now time.Time) {
	e := f.engines[id]
	if e == nil {
		return
	}
	s := e.findSlot(a)
	if s == nil { // the engine restarted while the request was running
		return
	}
	s.inFlight = max(0, s.inFlight+n)
	e.sinceReport.add(n, now)
	e.recountEvictable()
}

// Retire marks an adapter on an engine as about to be evicted, so that it gets no new requests. It returns the
// number of this instance's requests in flight for it; the caller answers the engine's owner once there are none.
func (f *Fleet) Retire(id string, a adapter.Ref) int { return f.setRetired(id, a, true) }

// Unretire undoes Retire.
func (f *Fleet) Unretire(id string, a adapter.Ref) { f.setRetired(id, a, false) }

func (f *Fleet) setRetired(id string, a adapter.Ref, retired bool) int {
	if e := f.engines[id]; e != nil {
		if s := e.findSlot(a); s != nil {
			s.retired = retired
			e.recountEvictable()
			return s.inFlight
		}
	}
	return 0
}

// LoadStarted reserves a slot for an adapter whose load has been requested. It reports false when the engine
// is unknown, has not reported yet, has no free slot, or already holds the adapter.
func (f *Fleet) LoadStarted(id string, a adapter.Ref, now time.Time) bool {
	e := f.engines[id]
	if e == nil || e.incarnation == "" || len(e.slots) >= e.spec.Slots || e.findSlot(a) != nil {
		return false
	}
	f.addSlot(e, a, now)
	return true
}

// Loaded marks an adapter as resident after its load. It reports false when the adapter has no slot on the
// engine or incarnation is no longer the engine's current one.
func (f *Fleet) Loaded(id, incarnation string, a adapter.Ref, now time.Time) bool {
	e := f.engines[id]
	if e == nil || e.incarnation != incarnation {
		return false
	}
	s := e.findSlot(a)
	if s == nil {
		return false
	}
	f.setResident(s, true)
	s.changedAt = now
	e.recountEvictable()
	return true
}

// Removed frees the slot of an adapter that was evicted or whose load failed.
func (f *Fleet) Removed(id, incarnation string, a adapter.Ref, now time.Time) {
	if e := f.engines[id]; e != nil && e.incarnation == incarnation {
		if s := e.findSlot(a); s != nil {
			f.removeSlot(s)
			e.removed = append(e.removed, removal{a, now})
			e.recountEvictable()
		}
	}
}

// Requested adds n requests to the popularity of an adapter.
func (f *Fleet) Requested(a adapter.Ref, n float64, now time.Time) { f.popularity.Add(a, n, now) }

// SetWaiting sets how many of this instance's requests wait for an adapter. The last copy of such an adapter
// is not evicted, so that it stays resident from its load until the requests are dispatched.
func (f *Fleet) SetWaiting(a adapter.Ref, n int) {
	if c := f.index[a]; c != nil || n > 0 {
		f.copiesOf(a).waiting = n
		f.dropIfUnused(a)
	}
}

// copiesOf returns the index entry of an adapter version and creates it if there is none.
func (f *Fleet) copiesOf(a adapter.Ref) *copies {
	c := f.index[a]
	if c == nil {
		c = &copies{}
		f.index[a] = c
	}
	return c
}

// dropIfUnused deletes the index entry of an adapter version without slots and waiting requests.
func (f *Fleet) dropIfUnused(a adapter.Ref) {
	if c := f.index[a]; len(c.slots) == 0 && c.waiting == 0 {
		delete(f.index, a)
	}
}

// Resident appends the identifiers of the engines on which the adapter is resident to dst.
func (f *Fleet) Resident(dst []string, a adapter.Ref) []string {
	if c := f.index[a]; c != nil {
		for _, s := range c.slots {
			if s.resident {
				dst = append(dst, s.engine.spec.ID)
			}
		}
	}
	return dst
}

// HasUsableCopy reports whether the adapter is resident on an engine that takes new work. A copy on a leaving or
// ejected engine can serve no request, so a load that replaces it does not count as replication.
func (f *Fleet) HasUsableCopy(a adapter.Ref) bool {
	if c := f.index[a]; c != nil {
		for _, s := range c.slots {
			if s.resident && s.engine.indexInPool >= 0 {
				return true
			}
		}
	}
	return false
}

// addSlot adds a slot for an adapter that is not resident yet.
func (f *Fleet) addSlot(e *Engine, a adapter.Ref, now time.Time) *Slot {
	c := f.copiesOf(a)
	s := &Slot{Adapter: a, hash: hashRef(a), engine: e, copies: c, indexInCopies: len(c.slots), changedAt: now}
	c.slots = append(c.slots, s)
	c.loading++
	e.slots = append(e.slots, s)
	return s
}

func (f *Fleet) setResident(s *Slot, resident bool) {
	if s.resident != resident {
		s.resident = resident
		s.copies.loading--
	}
}

// removeSlot removes the slot from its engine and from the index.
func (f *Fleet) removeSlot(s *Slot) {
	c, e := s.copies, s.engine
	last := c.slots[len(c.slots)-1]
	c.slots[s.indexInCopies], last.indexInCopies = last, s.indexInCopies
	c.slots = c.slots[:len(c.slots)-1]
	if !s.resident {
		c.loading--
	}
	f.dropIfUnused(s.Adapter)
	for i, o := range e.slots {
		if o == s {
			e.slots = append(e.slots[:i], e.slots[i+1:]...)
			break
		}
	}
}

func (f *Fleet) clearSlots(e *Engine) {
	for len(e.slots) > 0 {
		f.removeSlot(e.slots[len(e.slots)-1])
	}
	e.evictableSlots, e.reportedLoad = 0, 0
}

// updatePool adds the engine to its pool or removes it, depending on whether it takes new work.
func (f *Fleet) updatePool(e *Engine) {
	p, ok := e.pool, e.incarnation != "" && !e.leaving && !e.selfLeaving && !e.ejected
	switch {
	case ok && e.indexInPool < 0:
		e.indexInPool = len(p.engines)
		p.engines = append(p.engines, e)
	case !ok && e.indexInPool >= 0:
		last := p.engines[len(p.engines)-1]
		p.engines[e.indexInPool], last.indexInPool = last, e.indexInPool
		p.engines = p.engines[:len(p.engines)-1]
		e.indexInPool = -1
	}
}

// findSlot returns the slot of the adapter, or nil.
func (e *Engine) findSlot(a adapter.Ref) *Slot {
	for _, s := range e.slots {
		if s.Adapter == a {
			return s
		}
	}
	return nil
}

// recountEvictable updates evictableSlots after a change of a slot.
func (e *Engine) recountEvictable() {
	e.evictableSlots = 0
	for _, s := range e.slots {
		if s.evictable() {
			e.evictableSlots++
		}
	}
}
