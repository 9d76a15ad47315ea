package placement

import (
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Action is what the caller must do with a request.
type Action int

const (
	// Wait means that no engine can take the request yet, but the adapter is already being loaded.
	Wait Action = iota + 1
	// Dispatch means that the request must be sent to Decision.Engine.
	Dispatch
	// NeedLoad means that no usable engine holds the adapter and none is loading it.
	NeedLoad
)

// Decision is the result of Fleet.Decide for one request.
type Decision struct {
	Action Action
	// Engine is the identifier of the selected engine. It is set only for Dispatch.
	Engine string
	// Incarnation is the incarnation of Engine. It tells apart responses of a restarted engine.
	Incarnation string
	// Full reports that Engine's load, as estimated by Engine.Load, reaches the replication threshold.
	Full bool
	// Replicate asks for one more copy of the adapter, because every candidate is full and no copy
	// is being loaded.
	Replicate bool
}

// LoadTarget is the engine on which an adapter should be loaded.
type LoadTarget struct {
	Engine      string
	Incarnation string
	// Victim is the adapter version that must be evicted before the load. The zero Ref means that the
	// engine has a free slot.
	Victim adapter.Ref
}

const (
	// maxCopiesCompared bounds how many copies of one adapter a decision compares.
	maxCopiesCompared = 8
	// maxDrawsPerCandidate bounds the random draws per wanted load candidate, since drawn engines may have
	// no usable slot.
	maxDrawsPerCandidate = 8
)

// Decide selects an engine on which the adapter is resident. If there is none, the caller must load the
// adapter or wait for a load that is already running.
func (f *Fleet) Decide(r Request, now time.Time) Decision {
	f.request = r
	c := f.index[r.Adapter]
	if c == nil {
		return Decision{Action: NeedLoad}
	}
	f.candidates = f.candidates[:0]
	n, first := len(c.slots), 0
	if n > maxCopiesCompared {
		first = f.rnd.IntN(n)
	}
	for i := range min(n, maxCopiesCompared) {
		s := c.slots[(first+i)%n]
		if s.resident {
			f.addCandidate(Candidate{Engine: s.engine, Slot: s}, f.policy.Dispatch)
		}
	}
	best := f.policy.Picker.Pick(f.candidates, f.rnd)
	if best < 0 {
		if c.loading > 0 {
			return Decision{Action: Wait}
		}
		return Decision{Action: NeedLoad}
	}
	e := f.candidates[best].Engine
	d := Decision{Action: Dispatch, Engine: e.spec.ID, Incarnation: e.incarnation, Full: f.isFull(e)}
	d.Replicate = d.Full && c.loading == 0 && !slices.ContainsFunc(f.candidates, func(c Candidate) bool {
		return !f.isFull(c.Engine)
	})
	return d
}

// isFull reports whether the engine's load reaches Policy.ReplicationThreshold of its capacity.
func (f *Fleet) isFull(e *Engine) bool {
	return float64(e.Load()) >= f.policy.ReplicationThreshold*float64(e.spec.Capacity)
}

// addCandidate scores a candidate and appends it to f.candidates if it passes all filters.
func (f *Fleet) addCandidate(c Candidate, scorers []WeightedScorer) {
	f.candidates = append(f.candidates, c)
	p := &f.candidates[len(f.candidates)-1]
	for _, x := range f.policy.Filters {
		if !x.Keep(&f.request, p) {
			f.candidates = f.candidates[:len(f.candidates)-1]
			return
		}
	}
	for _, x := range scorers {
		p.Score += x.Weight * x.Scorer.Score(&f.request, p)
	}
}

// PlaceLoad selects the engine on which to load the adapter. It picks among up to Policy.LoadCandidates
// randomly drawn engines with a free or evictable slot. An engine in avoid, on which the load failed before,
// is used only if no other candidate was found. It reports false when no drawn engine has a usable slot.
func (f *Fleet) PlaceLoad(r Request, avoid []string, now time.Time) (LoadTarget, bool) {
	p := f.pools[r.BaseModel]
	if p == nil || len(p.engines) == 0 {
		return LoadTarget{}, false
	}
	f.request = r
	f.candidates = f.candidates[:0]
	var fallback *Engine
	for range f.policy.LoadCandidates * maxDrawsPerCandidate {
		if len(f.candidates) >= f.policy.LoadCandidates {
			break
		}
		e := p.engines[f.rnd.IntN(len(p.engines))]
		if e.evictableSlots == 0 && len(e.slots) >= e.spec.Slots || e.findSlot(r.Adapter) != nil || f.isCandidate(e) {
			continue
		}
		if slices.Contains(avoid, e.spec.ID) {
			fallback = e
			continue
		}
		f.addLoadCandidate(e, now)
	}
	if len(f.candidates) == 0 && fallback != nil {
		f.addLoadCandidate(fallback, now)
	}
	best := f.policy.Picker.Pick(f.candidates, f.rnd)
	if best < 0 {
		return LoadTarget{}, false
	}
	c := f.candidates[best]
	target := LoadTarget{Engine: c.Engine.spec.ID, Incarnation: c.Engine.incarnation}
	if c.Victim != nil {
		target.Victim = c.Victim.Adapter
	}
	return target, true
}

// HasFreeSlot reports whether one of Policy.LoadCandidates randomly drawn engines has a free slot and does
// not hold the adapter, so that the adapter can be loaded without an eviction.
func (f *Fleet) HasFreeSlot(r Request) bool {
	p := f.pools[r.BaseModel]
	if p == nil || len(p.engines) == 0 {
		return false
	}
	for range f.policy.LoadCandidates {
		e := p.engines[f.rnd.IntN(len(p.engines))]
		if len(e.slots) < e.spec.Slots && e.findSlot(r.Adapter) == nil {
			return true
		}
	}
	return false
}

// isCandidate reports whether the engine is already among the candidates.
func (f *Fleet) isCandidate(e *Engine) bool {
	return slices.ContainsFunc(f.candidates, func(c Candidate) bool { return c.Engine == e })
}

// addLoadCandidate adds the engine as a candidate for a load, with a slot to evict if none is free. It skips
// an engine without a usable slot.
func (f *Fleet) addLoadCandidate(e *Engine, now time.Time) {
	c := Candidate{Engine: e}
	if len(e.slots) >= e.spec.Slots {
		c.Victim, c.VictimValue = f.leastValuable(e, now)
		if c.Victim == nil {
			return
		}
	}
	f.addCandidate(c, f.policy.Load)
}
