package dispatch

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/loadbudget"
	"github.com/turmericworks/turmericworks/internal/coordination/placement"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// startLoads starts the loads that are due and within the budget. The caller holds the lock.
func (s *Scheduler) startLoads(now time.Time) {
	for s.loads.Waiting() > 0 {
		l := s.loads.Next(now)
		if l == nil {
			return
		}
		p, ok := s.placeLoad(l, now)
		if !ok {
			s.loads.Postpone(l.Adapter, now.Add(noPlaceDelay))
			continue
		}
		settle, ok := s.budget.TakeLoad(now)
		if !ok {
			s.loads.Postpone(l.Adapter, now.Add(tick))
			return
		}
		s.startLoad(l, p, settle, now)
	}
}

// placeLoad finds a place that is worth the load. The caller holds the lock.
func (s *Scheduler) placeLoad(l *loadbudget.Load, now time.Time) (placement.LoadTarget, bool) {
	r := placement.Request{Adapter: l.Adapter, BaseModel: s.modelOf(l.Adapter), DataCentre: s.dataCentre}
	p, ok := s.place.PlaceLoad(r, l.Avoid, now)
	if !ok {
		return p, false
	}
	replica := s.place.HasUsableCopy(l.Adapter)
	if replica && !s.place.WorthReplicating(r, p, now) {
		s.loads.Loaded(l.Adapter)
		return p, false
	}
	return p, true
}

// modelOf returns the base model of an adapter that a request waits for.
func (s *Scheduler) modelOf(a adapter.Ref) string {
	for _, w := range s.waiters {
		if w.call.Adapter == a {
			return w.call.BaseModel
		}
	}
	return ""
}

// startLoad asks the engine's owner for a load. The caller holds the lock.
func (s *Scheduler) startLoad(l *loadbudget.Load, p placement.LoadTarget, settle func(charged bool), now time.Time) {
	engine := s.fleet.Engine(p.Engine)
	if p.Victim != (adapter.Ref{}) {
		s.place.Removed(p.Engine, p.Incarnation, p.Victim, now)
	}
	if engine == nil || !s.place.LoadStarted(p.Engine, l.Adapter, now) {
		settle(false)
		s.loads.Failed(l.Adapter, p.Engine, now)
		return
	}
	go s.runLoad(engine, p, l.Adapter, settle)
}

// runLoad waits for a load and takes over its result.
func (s *Scheduler) runLoad(engine *fleet.Engine, p placement.LoadTarget, a adapter.Ref, settle func(charged bool)) {
	charged, err := s.loader.Load(s.ctx, engine, a, p.Victim)
	settle(charged)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil && s.place.Loaded(p.Engine, p.Incarnation, a, now):
		s.loads.Loaded(a)
		delete(s.retired, slotKey{p.Engine, a})
		s.place.Unretire(p.Engine, a)
	default:
		s.place.Removed(p.Engine, p.Incarnation, a, now)
		s.loads.Failed(a, p.Engine, now)
	}
	s.pump(now)
}
