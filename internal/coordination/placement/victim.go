package placement

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// victim returns the engine's least valuable slot that may be evicted, and its value. An adapter in
// use, or the last copy of one that requests wait for, is never chosen. An adapter loaded within MinResidence is chosen only when there is no other.
func (f *Fleet) victim(e *Engine, now time.Time) (*Slot, float64) {
	var best, young *Slot
	var bestValue, youngValue float64
	for _, s := range e.slots {
		if !s.evictable() || s.copies.waiting > 0 && len(s.copies.slots)-s.copies.loading == 1 {
			continue
		}
		v := f.value(s, now)
		if now.Sub(s.changed) < f.policy.MinResidence {
			if young == nil || v < youngValue {
				young, youngValue = s, v
			}
			continue
		}
		if best == nil || v < bestValue {
			best, bestValue = s, v
		}
	}
	if best == nil {
		return young, youngValue
	}
	return best, bestValue
}

// ChooseVictim returns the preferred one of the candidates for an eviction from an engine if it may be
// evicted, and else the least valuable one that may. A candidate that no report has shown on the engine
// yet is valued by its request rate.
func (f *Fleet) ChooseVictim(id string, candidates []adapter.Ref, preferred adapter.Ref, now time.Time) (adapter.Ref, bool) {
	e := f.engines[id]
	if e == nil {
		return adapter.Ref{}, false
	}
	var best adapter.Ref
	var bestValue float64
	for _, a := range candidates {
		v := f.pop.Rate(a, now) * f.LoadDuration.Seconds()
		if s := e.find(a); s != nil {
			if !s.evictable() || s.copies.waiting > 0 && len(s.copies.slots)-s.copies.loading == 1 {
				continue
			}
			v = f.value(s, now)
		}
		if a == preferred {
			return a, true
		}
		if best == (adapter.Ref{}) || v < bestValue {
			best, bestValue = a, v
		}
	}
	return best, best != adapter.Ref{}
}

// value is the expected loading time per second that keeping the slot saves: the adapter's rate
// times the cost of a load, reduced while other copies would take its requests.
func (f *Fleet) value(s *Slot, now time.Time) float64 {
	v := f.pop.rateOf(s.hash, now) * f.LoadDuration.Seconds()
	if n := len(s.copies.slots) - s.copies.loading; n > 1 {
		v *= f.policy.ReplicaValueFactor / float64(n)
	}
	return v
}

// WorthReplicating reports whether a further copy of the adapter is worth the eviction of the
// place's victim: it must exceed the victim's value by Policy.ReplicateMargin.
func (f *Fleet) WorthReplicating(r Request, p LoadTarget, now time.Time) bool {
	e := f.engines[p.Engine]
	if e == nil {
		return false
	}
	s := e.find(p.Victim)
	if s == nil {
		return true
	}
	return f.pop.Rate(r.Adapter, now)*f.LoadDuration.Seconds() > f.policy.ReplicationMargin*f.value(s, now)
}
