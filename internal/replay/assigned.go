package replay

import (
	"slices"
	"time"
)

// assigned is a family of baselines that choose an engine at arrival. Each engine serves its own
// queue in order of arrival, skips requests whose adapter is being loaded, and evicts the idle
// adapter that was used least recently.
type assigned struct {
	s      *sim
	choose func(j *job) *engine
	queues [][]*job      // by engine
	needed []map[int]int // by engine, queued requests by adapter
	next   int
}

func newAssigned(s *sim, choose func(a *assigned, j *job) *engine) *assigned {
	a := &assigned{s: s, queues: make([][]*job, len(s.engines))}
	for range s.engines {
		a.needed = append(a.needed, map[int]int{})
	}
	a.choose = func(j *job) *engine { return choose(a, j) }
	return a
}

func sortedSlots(e *engine) []int {
	out := make([]int, 0, len(e.slots))
	for a := range e.slots {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func (a *assigned) load(e *engine) int { return len(e.running) + len(a.queues[e.id]) }

func (a *assigned) leastLoaded(among []*engine) *engine {
	var best *engine
	for _, e := range among {
		if e.up && (best == nil || a.load(e) < a.load(best)) {
			best = e
		}
	}
	if best == nil {
		best = among[0]
	}
	return best
}

// roundRobin takes the engines in turn.
func roundRobin(a *assigned, _ *job) *engine {
	for range a.s.engines {
		a.next++
		if e := a.s.engines[a.next%len(a.s.engines)]; e.up {
			return e
		}
	}
	return a.s.engines[0]
}

// leastLoaded takes the engine with the fewest requests, whatever it holds.
func leastLoaded(a *assigned, _ *job) *engine { return a.leastLoaded(a.s.engines) }

// residentFirst takes the least loaded engine that holds the adapter, or else the least loaded.
func residentFirst(a *assigned, j *job) *engine { return a.residentFirst(j, a.s.engines) }

func (a *assigned) residentFirst(j *job, among []*engine) *engine {
	var holders []*engine
	for _, e := range among {
		if e.up && e.slots[j.adapter] != nil {
			holders = append(holders, e)
		}
	}
	if len(holders) > 0 {
		return a.leastLoaded(holders)
	}
	return a.leastLoaded(among)
}

// staticSplit gives each workspace engines of its own in proportion to its share, at least one.
func staticSplit(a *assigned, j *job) *engine {
	return a.residentFirst(j, splitEngines(a.s)[j.space])
}

func splitEngines(s *sim) [][]*engine {
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

func (a *assigned) arrive(j *job) {
	e := a.choose(j)
	a.queues[e.id] = append(a.queues[e.id], j)
	a.needed[e.id][j.adapter]++
	a.serve(e)
}

func (a *assigned) serve(e *engine) {
	if !e.up {
		return
	}
	q := a.queues[e.id]
	keep, room := q[:0], true
	for i, j := range q {
		if !room && len(e.running) >= a.s.c.Batch { // nothing further can start or be loaded
			keep = append(keep, q[i:]...)
			break
		}
		sl := e.slots[j.adapter]
		switch {
		case sl == nil:
			j.stalled = true
			if room = room && a.makeRoom(e); room {
				a.s.load(e, j.adapter)
			}
		case !sl.resident:
			j.stalled = true
		case len(e.running) < a.s.c.Batch:
			a.needed[e.id][j.adapter]--
			a.s.send(j, e)
			continue
		}
		keep = append(keep, j)
	}
	a.queues[e.id] = keep
}

// makeRoom frees a slot by least recent use. Adapters that queued requests need are kept.
func (a *assigned) makeRoom(e *engine) bool {
	if len(e.slots) < a.s.c.Slots {
		return true
	}
	victim, used := -1, time.Duration(0)
	for _, id := range sortedSlots(e) {
		sl := e.slots[id]
		if sl.resident && sl.jobs == 0 && a.needed[e.id][id] == 0 && (victim < 0 || sl.used < used) {
			victim, used = id, sl.used
		}
	}
	if victim < 0 {
		return false
	}
	a.s.evict(e, victim)
	return true
}

func (a *assigned) finished(_ *job, e *engine)      { a.serve(e) }
func (a *assigned) loaded(e *engine, _ int, _ bool) { a.serve(e) }
func (a *assigned) recovered(e *engine)             { a.serve(e) }

func (a *assigned) restarted(e *engine, lost []*job) {
	waiting := append(lost, a.queues[e.id]...)
	a.queues[e.id] = nil
	clear(a.needed[e.id])
	for _, j := range waiting {
		a.arrive(j)
	}
}
