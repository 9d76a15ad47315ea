package placement

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// leastValuable returns the least valuable slot of the engine that may be evicted, and its value. It never returns
// an adapter in use or the last copy of an adapter that requests wait for. An adapter loaded within
// Policy.MinResidence is returned only when there is no other.
func (f *Fleet) leastValuable(e *Engine, now time.Time) (*Slot, float64) {
	var best, recent *Slot
	var bestValue, recentValue float64
	for _, s := range e.slots {
		if !s.evictable() || s.copies.waiting > 0 && len(s.copies.slots)-s.copies.loading == 1 {
			continue
		}
		v := f.slotValue(s, now)
		if now.Sub(s.changedAt) < f.policy.MinResidence {
			if recent == nil || v < recentValue {
				recent, recentValue = s, v
			}
			continue
		}
		if best == nil || v < bestValue {
			best, bestValue = s, v
		}
	}
	if best == nil {
		return recent, recentValue
	}
	return best, bestValue
}

// ChooseVictim returns the preferred candidate for eviction from an engine if it is among the candidates and may be
// evicted, and otherwise the least valuable candidate that may. A candidate that is not known to be on the engine
// is valued by its request rate. It reports false when no candidate may be evicted.
func (f *Fleet) ChooseVictim(id string, candidates []adapter.Ref, preferred adapter.Ref, now time.Time) (adapter.Ref, bool) {
	e := f.engines[id]
	if e == nil {
		return adapter.Ref{}, false
	}
	var best adapter.Ref
	var bestValue float64
	for _, a := range candidates {
		v := f.popularity.Rate(a, now) * f.LoadDuration.Seconds()
		if s := e.findSlot(a); s != nil {
			if !s.evictable() || s.copies.waiting > 0 && len(s.copies.slots)-s.copies.loading == 1 {
				continue
			}
			v = f.slotValue(s, now)
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

// slotValue is the expected loading time per second that keeping the slot saves: the adapter's request rate
// times the duration of a load, reduced if other copies could serve its requests.
func (f *Fleet) slotValue(s *Slot, now time.Time) float64 {
	v := f.popularity.rateOfHash(s.hash, now) * f.LoadDuration.Seconds()
	if n := len(s.copies.slots) - s.copies.loading; n > 1 {
		v *= f.policy.ReplicaValueFactor / float64(n)
	}
	return v
}

// WorthReplicating reports whether an additional copy of the adapter justifies evicting the target's victim: its
// value must exceed that of the victim by the factor Policy.ReplicationMargin. It reports true when there is no
// victim on the engine.
func (f *Fleet) WorthReplicating(r Request, target LoadTarget, now time.Time) bool {
	e := f.engines[target.Engine]
	if e == nil {
		return false
	}
	s := e.findSlot(target.Victim)
	if s == nil {
		return true
	}
	return f.popularity.Rate(r.Adapter, now)*f.LoadDuration.Seconds() > f.policy.ReplicationMargin*f.slotValue(s, now)
}
