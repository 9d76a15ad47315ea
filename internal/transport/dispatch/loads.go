package dispatch

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/loadbudget"
	"github.com/turmericworks/turmericworks/internal/coordination/placement"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// startLoads starts the loads that are due, as far as the load budget allows. The caller holds the lock.
func (s *Scheduler) startLoads(now time.Time) {
	for s.loadQueue.Waiting() > 0 {
		l := s.loadQueue.Next(now)
		if l == nil {
			return
		}
		target, ok := s.findLoadTarget(l, now)
		if !ok {
			s.loadQueue.Postpone(l.Adapter, now.Add(noSlotDelay))
			continue
		}
		settle, ok := s.budget.TakeLoad(now)
		if !ok {
			s.loadQueue.Postpone(l.Adapter, now.Add(scheduleInterval))
			return
		}
		s.startLoad(l, target, settle, now)
	}
}

// findLoadTarget returns the engine to load an adapter on, and false if there is none that is worth the load. The
// caller holds the lock.
func (s *Scheduler) findLoadTarget(l *loadbudget.Load, now time.Time) (placement.LoadTarget, bool) {
	r := placement.Request{Adapter: l.Adapter, BaseModel: s.baseModel(l.Adapter), DataCentre: s.dataCentre}
	target, ok := s.placement.PlaceLoad(r, l.Avoid, now)
	if !ok {
		return target, false
	}
	replica := s.placement.HasUsableCopy(l.Adapter)
	if replica && !s.placement.WorthReplicating(r, target, now) {
		s.loadQueue.Loaded(l.Adapter)
		return target, false
	}
	return target, true
}

// baseModel returns the base model of an adapter that a request waits for, or the empty string. The caller holds the
// lock.
func (s *Scheduler) baseModel(a adapter.Ref) string {
	for _, w := range s.waiters {
		if w.call.Adapter == a {
			return w.call.BaseModel
		}
	}
	return ""
}

// startLoad requests a load from the owner of the target engine. The caller holds the lock.
func (s *Scheduler) startLoad(l *loadbudget.Load, target placement.LoadTarget, settle func(charged bool),
	now time.Time,
) {
	engine := s.fleet.Engine(target.Engine)
	if target.Victim != (adapter.Ref{}) {
		s.placement.Removed(target.Engine, target.Incarnation, target.Victim, now)
	}
	if engine == nil || !s.placement.LoadStarted(target.Engine, l.Adapter, now) {
		settle(false)
		s.loadQueue.Failed(l.Adapter, target.Engine, now)
		return
	}
	go s.runLoad(engine, target, l.Adapter, settle)
}

// runLoad waits for a load to end and applies its result.
func (s *Scheduler) runLoad(engine *fleet.Engine, target placement.LoadTarget, a adapter.Ref,
	settle func(charged bool),
) {
	charged, err := s.loader.Load(s.ctx, engine, a, target.Victim)
	settle(charged)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil && s.placement.Loaded(target.Engine, target.Incarnation, a, now):
		s.loadQueue.Loaded(a)
		delete(s.retired, slotKey{target.Engine, a})
		s.placement.Unretire(target.Engine, a)
	default:
		s.placement.Removed(target.Engine, target.Incarnation, a, now)
		s.loadQueue.Failed(a, target.Engine, now)
	}
	s.schedule(now)
}
