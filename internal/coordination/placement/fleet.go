package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Fleet is one instance's view of the engines: which adapter versions are resident where, how
// loaded the engines are, and which take new work. Residency is keyed by the engine's incarnation: a
// new incarnation empties the engine's slots.
type Fleet struct {
	policy  Policy
	pop     *Popularity
	rnd     *rand.Rand
	engines map[string]*Engine
	index   map[adapter.Ref]*copies
	pools   map[string]*pool
	scratch []Candidate
	req     Request
	// LoadDuration is the duration of one load, which scales the value of adapters.
	LoadDuration time.Duration
}

// copies lists the slots of one adapter version.
type copies struct {
	slots   []*Slot
	loading int
	// waiting counts this instance's requests that wait for a place at one of the engines.
	waiting int
}

// pool lists the engines of one base model that take new work, for random draws.
type pool struct{ engines []*Engine }

// New returns an empty Fleet. The random source breaks ties and draws engines.
func New(p Policy, pop *Popularity, rnd *rand.Rand) *Fleet {
	return &Fleet{
		policy: p, pop: pop, rnd: rnd, LoadDuration: 250 * time.Millisecond,
		engines: map[string]*Engine{}, index: map[adapter.Ref]*copies{}, pools: map[string]*pool{},
		scratch: make([]Candidate, 0, 16),
	}
}

// SetEngine adds an engine or changes its configuration. It becomes usable with its first report.
// A different base model counts as a new engine.
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
		e = &Engine{pool: p, at: -1}
		f.engines[s.ID] = e
	}
	e.spec, e.role = s, s.Role
}

// RemoveEngine forgets an engine and its residency.
func (f *Fleet) RemoveEngine(id string) {
	if e := f.engines[id]; e != nil {
		f.empty(e)
		e.incarnation = ""
		f.usable(e)
		delete(f.engines, id)
	}
}

// SetLeaving takes an engine out of use for new work, or back into it, at once.
func (f *Fleet) SetLeaving(id string, leaving bool) {
	if e := f.engines[id]; e != nil {
		e.leaving = leaving
		f.usable(e)
	}
}

// SetEjected applies the decision of outlier detection.
func (f *Fleet) SetEjected(id string, ejected bool) {
	if e := f.engines[id]; e != nil {
		e.ejected = ejected
		f.usable(e)
	}
}

// SetRole applies a change of an engine's role.
func (f *Fleet) SetRole(id string, r Role) {
	if e := f.engines[id]; e != nil {
		e.role = r
	}
}

// Report applies an engine's report. A report of a new incarnation empties the slots first. A report
// that is older than the last one is ignored. Slots that this instance ordered after the sample are
// kept as they are, and adapters removed after it stay removed, since the report cannot know of
// either.
func (f *Fleet) Report(id string, r Report) {
	e := f.engines[id]
	if e == nil || r.Incarnation == "" {
		return
	}
	if r.Incarnation != e.incarnation {
		f.empty(e)
		e.incarnation, e.sequence, e.own, e.prefixes = r.Incarnation, 0, ownLoad{}, prefixCache{}
		e.selfLeaving, e.removed = false, nil
	}
	if r.Sequence <= e.sequence && e.sequence != 0 {
		return
	}
	e.sequence, e.reported = r.Sequence, r.Running+r.Queued
	e.own.sampled(r.SampledAt)
	e.selfLeaving = e.selfLeaving || r.Leaving
	f.usable(e)
	for _, s := range e.slots {
		s.reported = false
	}
	for _, rs := range r.Resident {
		s := e.find(rs.Adapter)
		if s == nil && e.removedAfter(rs.Adapter, r.SampledAt) {
			continue
		}
		if s == nil {
			s = f.add(e, rs.Adapter, r.SampledAt)
		}
		if s.resident || !s.changed.After(r.SampledAt) {
			f.setResident(s, true)
			s.others = max(0, rs.Running-s.inFlight)
		}
		s.reported = true
	}
	for i := len(e.slots) - 1; i >= 0; i-- {
		if s := e.slots[i]; !s.reported && s.resident && s.inFlight == 0 && !s.changed.After(r.SampledAt) {
			f.drop(s)
		}
	}
	e.removed = slices.DeleteFunc(e.removed, func(x removal) bool { return x.at.Before(r.SampledAt) })
	e.recount()
}

// PrefixEvent applies a cache event of an incarnation; events of another incarnation are ignored.
func (f *Fleet) PrefixEvent(id, incarnation string, ev PrefixEvent) {
	if e := f.engines[id]; e != nil && e.incarnation == incarnation {
		e.prefixes.apply(ev)
	}
}

// Started counts a request that this instance dispatched.
func (f *Fleet) Started(id string, a adapter.Ref, now time.Time) { f.inFlight(id, a, 1, now) }

// Finished counts the end of a request that this instance dispatched.
func (f *Fleet) Finished(id string, a adapter.Ref, now time.Time) { f.inFlight(id, a, -1, now) }

func (f *Fleet) inFlight(id string, a adapter.Ref, n int, now time.Time) {
	e := f.engines[id]
	if e == nil {
		return
	}
	s := e.find(a)
	if s == nil { // the engine restarted while the request ran
		return
	}
	s.inFlight = max(0, s.inFlight+n)
	e.own.add(n, now)
	e.recount()
}

// Retire marks the adapter as about to be evicted on the engine and returns this instance's requests
// in flight there; the caller answers the owner when none is left.
func (f *Fleet) Retire(id string, a adapter.Ref) int { return f.setRetired(id, a, true) }

// Unretire takes back Retire.
func (f *Fleet) Unretire(id string, a adapter.Ref) { f.setRetired(id, a, false) }

func (f *Fleet) setRetired(id string, a adapter.Ref, retired bool) int {
	if e := f.engines[id]; e != nil {
		if s := e.find(a); s != nil {
			s.retired = retired
			e.recount()
			return s.inFlight
		}
	}
	return 0
}

// LoadStarted takes a slot for an adapter that was ordered. It reports false when the engine has no
// free slot or already holds the adapter.
func (f *Fleet) LoadStarted(id string, a adapter.Ref, now time.Time) bool {
	e := f.engines[id]
	if e == nil || e.incarnation == "" || len(e.slots) >= e.spec.Slots || e.find(a) != nil {
		return false
	}
	f.add(e, a, now)
	return true
}

// Loaded marks an ordered adapter as resident. It reports false when the engine's incarnation is not
// the one that got the order.
func (f *Fleet) Loaded(id, incarnation string, a adapter.Ref, now time.Time) bool {
	e := f.engines[id]
	if e == nil || e.incarnation != incarnation {
		return false
	}
	s := e.find(a)
	if s == nil {
		return false
	}
	f.setResident(s, true)
	s.changed = now
	e.recount()
	return true
}

// Removed drops an adapter that was evicted or whose load failed.
func (f *Fleet) Removed(id, incarnation string, a adapter.Ref, now time.Time) {
	if e := f.engines[id]; e != nil && e.incarnation == incarnation {
		if s := e.find(a); s != nil {
			f.drop(s)
			e.removed = append(e.removed, removal{a, now})
			e.recount()
		}
	}
}

// Requested counts requests for the popularity of adapters.
func (f *Fleet) Requested(a adapter.Ref, n float64, now time.Time) { f.pop.Add(a, n, now) }

// SetWaiting tells how many of this instance's requests wait for the adapter, so that its last copy is
// not evicted between its load and their dispatch.
func (f *Fleet) SetWaiting(a adapter.Ref, n int) {
	if c := f.index[a]; c != nil || n > 0 {
		f.copiesOf(a).waiting = n
		f.forget(a)
	}
}

// copiesOf returns the index entry of an adapter version and makes it when there is none.
func (f *Fleet) copiesOf(a adapter.Ref) *copies {
	c := f.index[a]
	if c == nil {
		c = &copies{}
		f.index[a] = c
	}
	return c
}

// forget drops an index entry that holds nothing.
func (f *Fleet) forget(a adapter.Ref) {
	if c := f.index[a]; len(c.slots) == 0 && c.waiting == 0 {
		delete(f.index, a)
	}
}

// Resident appends the engines on which the adapter is resident to dst.
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

// HasUsableCopy reports whether an engine in use holds the adapter. A copy on an engine that is leaving or
// ejected serves nobody, so a load that replaces it is no further copy.
func (f *Fleet) HasUsableCopy(a adapter.Ref) bool {
	if c := f.index[a]; c != nil {
		for _, s := range c.slots {
			if s.resident && s.engine.at >= 0 {
				return true
			}
		}
	}
	return false
}

func (f *Fleet) add(e *Engine, a adapter.Ref, now time.Time) *Slot {
	c := f.copiesOf(a)
	s := &Slot{Adapter: a, hash: hashRef(a), engine: e, copies: c, at: len(c.slots), changed: now}
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

func (f *Fleet) drop(s *Slot) {
	c, e := s.copies, s.engine
	last := c.slots[len(c.slots)-1]
	c.slots[s.at], last.at = last, s.at
	c.slots = c.slots[:len(c.slots)-1]
	if !s.resident {
		c.loading--
	}
	f.forget(s.Adapter)
	for i, o := range e.slots {
		if o == s {
			e.slots = append(e.slots[:i], e.slots[i+1:]...)
			break
		}
	}
}

func (f *Fleet) empty(e *Engine) {
	for len(e.slots) > 0 {
		f.drop(e.slots[len(e.slots)-1])
	}
	e.idle, e.reported = 0, 0
}

// usable keeps the pool of drawable engines up to date.
func (f *Fleet) usable(e *Engine) {
	p, ok := e.pool, e.incarnation != "" && !e.leaving && !e.selfLeaving && !e.ejected
	switch {
	case ok && e.at < 0:
		e.at = len(p.engines)
		p.engines = append(p.engines, e)
	case !ok && e.at >= 0:
		last := p.engines[len(p.engines)-1]
		p.engines[e.at], last.at = last, e.at
		p.engines = p.engines[:len(p.engines)-1]
		e.at = -1
	}
}

func (e *Engine) find(a adapter.Ref) *Slot {
	for _, s := range e.slots {
		if s.Adapter == a {
			return s
		}
	}
	return nil
}

func (e *Engine) recount() {
	e.idle = 0
	for _, s := range e.slots {
		if s.evictable() {
			e.idle++
		}
	}
}
