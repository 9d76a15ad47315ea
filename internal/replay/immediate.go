package replay

import (
	"slices"
	"time"
)

// immediateDispatcher implements the baselines that choose an engine as soon as a request arrives. Each
// engine serves its own queue in order of arrival, skips requests whose adapter is still loading, and
// evicts the least recently used idle adapter.
type immediateDispatcher struct {
	sim             *sim
	chooseEngine    func(j *job) *engine
	queues          [][]*job      // by engine
	queuedByAdapter []map[int]int // by engine: number of queued requests by adapter
	next            int
}

func newImmediateDispatcher(s *sim, choose func(a *immediateDispatcher, j *job) *engine) *immediateDispatcher {
	a := &immediateDispatcher{sim: s, queues: make([][]*job, len(s.engines))}
	for range s.engines {
		a.queuedByAdapter = append(a.queuedByAdapter, map[int]int{})
	}
	a.chooseEngine = func(j *job) *engine { return choose(a, j) }
	return a
}

func sortedAdapters(e *engine) []int {
	out := make([]int, 0, len(e.slots))
	for a := range e.slots {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func (a *immediateDispatcher) outstanding(e *engine) int { return len(e.running) + len(a.queues[e.id]) }

func (a *immediateDispatcher) leastLoaded(candidates []*engine) *engine {
	var best *engine
	for _, e := range candidates {
		if e.up && (best == nil || a.outstanding(e) < a.outstanding(best)) {
			best = e
		}
	}
	if best == nil {
		best = candidates[0]
	}
	return best
}

// roundRobin chooses the engines in turn and skips those that are down.
func roundRobin(a *immediateDispatcher, _ *job) *engine {
	for range a.sim.engines {
		a.next++
		if e := a.sim.engines[a.next%len(a.sim.engines)]; e.up {
			return e
		}
	}
	return a.sim.engines[0]
}

// leastLoaded chooses the engine with the fewest running and queued requests, whichever adapters it has.
func leastLoaded(a *immediateDispatcher, _ *job) *engine { return a.leastLoaded(a.sim.engines) }

// residentFirst chooses the least loaded of the engines that have or are loading the adapter, or the
// least loaded engine if there is none.
func residentFirst(a *immediateDispatcher, j *job) *engine { return a.residentFirst(j, a.sim.engines) }

func (a *immediateDispatcher) residentFirst(j *job, candidates []*engine) *engine {
	var holders []*engine
	for _, e := range candidates {
		if e.up && e.slots[j.adapter] != nil {
			holders = append(holders, e)
		}
	}
	if len(holders) > 0 {
		return a.leastLoaded(holders)
	}
	return a.leastLoaded(candidates)
}

// staticSplit reserves engines for each workspace in proportion to its share of the request rate, at
// least one, and applies residentFirst among them.
func staticSplit(a *immediateDispatcher, j *job) *engine {
	return a.residentFirst(j, partitionEngines(a.sim)[j.workspace])
}

func partitionEngines(s *sim) [][]*engine {
	left, out, from := len(s.engines), make([][]*engine, len(s.c.Shares)), 0
	for i, share := range s.c.Shares {
		n := max(1, int(share*float64(len(s.engines))))
		n = min(n, left-(len(s.c.Shares)-1-i))
		if i == len(s.c.Shares)-1 {
			n = left
		}
		out[i] = s.engines[from : from+n]
		from, left = from+n, left-n
	}
	return out
}

func (a *immediateDispatcher) arrived(j *job) {
	e := a.chooseEngine(j)
	a.queues[e.id] = append(a.queues[e.id], j)
	a.queuedByAdapter[e.id][j.adapter]++
	a.startQueued(e)
}

func (a *immediateDispatcher) startQueued(e *engine) {
	if !e.up {
		return
	}
	q := a.queues[e.id]
	keep, room := q[:0], true
	for i, j := range q {
		if !room && len(e.running) >= a.sim.c.Batch { // no further request can start and no further load
			keep = append(keep, q[i:]...)
			break
		}
		sl := e.slots[j.adapter]
		switch {
		case sl == nil:
			j.stalled = true
			if room = room && a.makeRoom(e); room {
				a.sim.startLoad(e, j.adapter)
			}
		case !sl.resident:
			j.stalled = true
		case len(e.running) < a.sim.c.Batch:
			a.queuedByAdapter[e.id][j.adapter]--
			a.sim.submit(j, e)
			continue
		}
		keep = append(keep, j)
	}
	a.queues[e.id] = keep
}

// makeRoom evicts the least recently used adapter if the engine has no free slot, and reports whether
// there is one. Adapters with running or queued requests are not evicted.
func (a *immediateDispatcher) makeRoom(e *engine) bool {
	if len(e.slots) < a.sim.c.Slots {
		return true
	}
	victim, used := -1, time.Duration(0)
	for _, id := range sortedAdapters(e) {
		sl := e.slots[id]
		if sl.resident && sl.jobs == 0 && a.queuedByAdapter[e.id][id] == 0 && (victim < 0 || sl.lastUsed < used) {
			victim, used = id, sl.lastUsed
		}
	}
	if victim < 0 {
		return false
	}
	a.sim.evict(e, victim)
	return true
}

func (a *immediateDispatcher) finished(_ *job, e *engine)      { a.startQueued(e) }
func (a *immediateDispatcher) loaded(e *engine, _ int, _ bool) { a.startQueued(e) }
func (a *immediateDispatcher) recovered(e *engine)             { a.startQueued(e) }

func (a *immediateDispatcher) restarted(e *engine, lost []*job) {
	waiting := append(lost, a.queues[e.id]...)
	a.queues[e.id] = nil
	clear(a.queuedByAdapter[e.id])
	for _, j := range waiting {
		a.arrived(j)
	}
}
