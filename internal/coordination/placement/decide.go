package placement

import (
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Action is what a decision asks the caller to do.
type Action int

const (
	// Wait means that no engine can take the request now and a load is already under way.
	Wait Action = iota + 1
	// Dispatch means that the request runs on Decision.Engine.
	Dispatch
	// NeedLoad means that the adapter is resident nowhere usable and must be loaded.
	NeedLoad
)

// Decision is the answer for one request.
type Decision struct {
	Action Action
	// Engine is set for Dispatch.
	Engine string
	// Incarnation is the engine's, so that an answer of a later run can be told apart.
	Incarnation string
	// Full says that Engine has no free place in its batch by the corrected load.
	Full bool
	// Replicate asks for one more copy: every engine that holds the adapter is full.
	Replicate bool
}

// LoadTarget is where an adapter should be loaded.
type LoadTarget struct {
	Engine      string
	Incarnation string
	// Victim is the adapter version to evict first. The zero Ref means that a slot is free.
	Victim adapter.Ref
}

const (
	// residentSample bounds how many copies of a hot adapter are compared.
	residentSample = 8
	// drawsPerCandidate bounds the random draws spent to find one engine with a usable slot.
	drawsPerCandidate = 8
)

// Decide chooses an engine among those where the adapter is resident, or asks for a load.
func (f *Fleet) Decide(r Request, now time.Time) Decision {
	f.req = r
	c := f.index[r.Adapter]
	if c == nil {
		return Decision{Action: NeedLoad}
	}
	f.scratch = f.scratch[:0]
	n, from := len(c.slots), 0
	if n > residentSample {
		from = f.rnd.IntN(n)
	}
	for i := range min(n, residentSample) {
		s := c.slots[(from+i)%n]
		if s.resident {
			f.consider(Candidate{Engine: s.engine, Slot: s}, f.policy.Dispatch)
		}
	}
	best := f.policy.Picker.Pick(f.scratch, f.rnd)
	if best < 0 {
		if c.loading > 0 {
			return Decision{Action: Wait}
		}
		return Decision{Action: NeedLoad}
	}
	e := f.scratch[best].Engine
	d := Decision{Action: Dispatch, Engine: e.spec.ID, Incarnation: e.incarnation, Full: f.full(e)}
	d.Replicate = d.Full && c.loading == 0 && !slices.ContainsFunc(f.scratch, func(c Candidate) bool {
		return !f.full(c.Engine)
	})
	return d
}

func (f *Fleet) full(e *Engine) bool {
	return float64(e.Load()) >= f.policy.ReplicationThreshold*float64(e.spec.Capacity)
}

// consider adds a candidate that passes all filters to the scratch list, with its score.
func (f *Fleet) consider(c Candidate, scorers []WeightedScorer) {
	f.scratch = append(f.scratch, c)
	p := &f.scratch[len(f.scratch)-1]
	for _, x := range f.policy.Filters {
		if !x.Keep(&f.req, p) {
			f.scratch = f.scratch[:len(f.scratch)-1]
			return
		}
	}
	for _, x := range scorers {
		p.Score += x.Weight * x.Scorer.Score(&f.req, p)
	}
}

// PlaceLoad chooses where to load the adapter: the best of a few randomly drawn engines with a free
// or evictable slot. Engines in avoid, which failed the load before, are used only when nothing else
// was drawn. It reports false when no drawn engine has a usable slot.
func (f *Fleet) PlaceLoad(r Request, avoid []string, now time.Time) (LoadTarget, bool) {
	p := f.pools[r.BaseModel]
	if p == nil || len(p.engines) == 0 {
		return LoadTarget{}, false
	}
	f.req = r
	f.scratch = f.scratch[:0]
	var fallback *Engine
	for range f.policy.LoadCandidates * drawsPerCandidate {
		if len(f.scratch) >= f.policy.LoadCandidates {
			break
		}
		e := p.engines[f.rnd.IntN(len(p.engines))]
		if e.idle == 0 && len(e.slots) >= e.spec.Slots || e.find(r.Adapter) != nil || f.drawn(e) {
			continue
		}
		if slices.Contains(avoid, e.spec.ID) {
			fallback = e
			continue
		}
		f.considerLoad(e, now)
	}
	if len(f.scratch) == 0 && fallback != nil {
		f.considerLoad(fallback, now)
	}
	best := f.policy.Picker.Pick(f.scratch, f.rnd)
	if best < 0 {
		return LoadTarget{}, false
	}
	c := f.scratch[best]
	out := LoadTarget{Engine: c.Engine.spec.ID, Incarnation: c.Engine.incarnation}
	if c.Victim != nil {
		out.Victim = c.Victim.Adapter
	}
	return out, true
}

// HasFreeSlot reports whether one of a few randomly drawn engines has a free slot for the adapter, so that
// its load would evict nothing.
func (f *Fleet) HasFreeSlot(r Request) bool {
	p := f.pools[r.BaseModel]
	if p == nil || len(p.engines) == 0 {
		return false
	}
	for range f.policy.LoadCandidates {
		e := p.engines[f.rnd.IntN(len(p.engines))]
		if len(e.slots) < e.spec.Slots && e.find(r.Adapter) == nil {
			return true
		}
	}
	return false
}

func (f *Fleet) drawn(e *Engine) bool {
	return slices.ContainsFunc(f.scratch, func(c Candidate) bool { return c.Engine == e })
}

func (f *Fleet) considerLoad(e *Engine, now time.Time) {
	c := Candidate{Engine: e}
	if len(e.slots) >= e.spec.Slots {
		c.Victim, c.VictimValue = f.victim(e, now)
		if c.Victim == nil {
			return
		}
	}
	f.consider(c, f.policy.Load)
}
