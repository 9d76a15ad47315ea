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

func newImmediateDispatcher(s *sim, choose func(d *immediateDispatcher, j *job) *engine) *immediateDispatcher {
	d := &immediateDispatcher{sim: s, queues: make([][]*job, len(s.engines))}
	for range s.engines {
		d.queuedByAdapter = append(d.queuedByAdapter, map[int]int{})
	}
	d.chooseEngine = func(j *job) *engine { return choose(d, j) }
	return d
}

func sortedAdapters(e *engine) []int {
	out := make([]int, 0, len(e.slots))
	for a := range e.slots {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func (d *immediateDispatcher) outstanding(e *engine) int { return len(e.running) + len(d.queues[e.id]) }

func (d *immediateDispatcher) leastLoaded(candidates []*engine) *engine {
	var best *engine
	for _, e := range candidates {
		if e.up && (best == nil || d.outstanding(e) < d.outstanding(best)) {
			best = e
		}
	}
	if best == nil {
		best = candidates[0]
	}
	return best
}

// roundRobin chooses the engines in turn and skips those that are down.
func roundRobin(d *immediateDispatcher, _ *job) *engine {
	for range d.sim.engines {
		d.next++
		if e := d.sim.engines[d.next%len(d.sim.engines)]; e.up {
			return e
		}
	}
	return d.sim.engines[0]
}

// leastLoaded chooses the engine with the fewest running and queued requests, whichever adapters it has.
func leastLoaded(d *immediateDispatcher, _ *job) *engine { return d.leastLoaded(d.sim.engines) }

// residentFirst chooses the least loaded of the engines that have or are loading the adapter, or the
// least loaded engine if there is none.
func residentFirst(d *immediateDispatcher, j *job) *engine { return d.residentFirst(j, d.sim.engines) }

func (d *immediateDispatcher) residentFirst(j *job, candidates []*engine) *engine {
	var holders []*engine
	for _, e := range candidates {
		if e.up && e.slots[j.adapter] != nil {
			holders = append(holders, e)
		}
	}
	if len(holders) > 0 {
		return d.leastLoaded(holders)
	}
	return d.leastLoaded(candidates)
}

// staticSplit reserves engines for each workspace in proportion to its share of the request rate, at
// least one, and applies residentFirst among them.
func staticSplit(d *immediateDispatcher, j *job) *engine {
	return d.residentFirst(j, partitionEngines(d.sim)[j.workspace])
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

func (d *immediateDispatcher) arrived(j *job) {
	e := d.chooseEngine(j)
	d.queues[e.id] = append(d.queues[e.id], j)
	d.queuedByAdapter[e.id][j.adapter]++
	d.startQueued(e)
}

func (d *immediateDispatcher) startQueued(e *engine) {
	if !e.up {
		return
	}
	q := d.queues[e.id]
	keep, room := q[:0], true
	for i, j := range q {
		if !room && len(e.running) >= d.sim.c.Batch { // no further request can start and no further load
			keep = append(keep, q[i:]...)
			break
		}
		sl := e.slots[j.adapter]
		switch {
		case sl == nil:
			j.stalled = true
			if room = room && d.makeRoom(e); room {
				d.sim.startLoad(e, j.adapter)
			}
		case !sl.resident:
			j.stalled = true
		case len(e.running) < d.sim.c.Batch:
			d.queuedByAdapter[e.id][j.adapter]--
			d.sim.submit(j, e)
			continue
		}
		keep = append(keep, j)
	}
	d.queues[e.id] = keep
}

// makeRoom evicts the least recently used adapter if the engine has no free slot, and reports whether
// there is one. Adapters with running or queued requests are not evicted.
func (d *immediateDispatcher) makeRoom(e *engine) bool {
	if len(e.slots) < d.sim.c.Slots {
		return true
	}
	victim, used := -1, time.Duration(0)
	for _, id := range sortedAdapters(e) {
		sl := e.slots[id]
		if sl.resident && sl.jobs == 0 && d.queuedByAdapter[e.id][id] == 0 && (victim < 0 || sl.lastUsed < used) {
			victim, used = id, sl.lastUsed
		}
	}
	if victim < 0 {
		return false
	}
	d.sim.evict(e, victim)
	return true
}

func (d *immediateDispatcher) finished(_ *job, e *engine)      { d.startQueued(e) }
func (d *immediateDispatcher) loaded(e *engine, _ int, _ bool) { d.startQueued(e) }
func (d *immediateDispatcher) recovered(e *engine)             { d.startQueued(e) }

func (d *immediateDispatcher) restarted(e *engine, lost []*job) {
	waiting := append(lost, d.queues[e.id]...)
	d.queues[e.id] = nil
	clear(d.queuedByAdapter[e.id])
	for _, j := range waiting {
		d.arrived(j)
	}
}
