package replay

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/loadbudget"
	"github.com/turmericworks/turmericworks/internal/coordination/placement"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

const (
	reportInterval = time.Second
	reportDelay    = 400 * time.Millisecond
	// placementRetry is the delay before a load is placed again after no sampled engine had a usable slot.
	placementRetry  = 50 * time.Millisecond
	baseModelName   = "base"
	localDataCentre = "dc-0"
)

// placementDispatcher runs the production placement and load budget. In FCFS mode, it serves loads and
// requests strictly in order of arrival instead of in fair order.
type placementDispatcher struct {
	sim              *sim
	fleet            *placement.Fleet
	popularity       *placement.Popularity
	loadQueue        *loadbudget.Queue
	permits          *loadbudget.PermitPool
	order            Order
	budgetWorkspaces []string // by workspace: its name in the load budget
	waiting          [][]*job // by adapter
	outstanding      []int    // requests in the system by workspace
	adapterIndex     map[string]int
	sequence         uint64
	wakeAt           time.Duration
}

func newPlacementDispatcher(s *sim, fcfs bool) *placementDispatcher {
	rnd := rand.New(rand.NewPCG(s.c.Seed, 3))
	pop := placement.NewPopularity(placement.DefaultPopularity(s.c.Adapters), epoch)
	limits := loadbudget.NewLimits(s.c.Store)
	p := &placementDispatcher{
		sim: s, popularity: pop, order: newFairOrder(len(s.c.Shares)), budgetWorkspaces: s.workload.workspaces,
		fleet:   placement.New(placement.DefaultPolicy(), pop, rnd),
		permits: loadbudget.NewPermitPool("instance-0", limits, limits.Permits, epoch),
		waiting: make([][]*job, s.c.Adapters), outstanding: make([]int, len(s.c.Shares)),
		adapterIndex: map[string]int{},
	}
	cfg := loadbudget.DefaultQueueConfig()
	if fcfs { // one common workspace, whose loads are ordered by age alone
		p.order = arrivalOrder{}
		p.budgetWorkspaces = make([]string, len(s.workload.workspaces))
		cfg.AgeWeight, cfg.MaxBatchWait = 1e9, 0
	}
	p.loadQueue = loadbudget.NewQueue(cfg, rnd)
	for i, a := range s.workload.refs {
		p.adapterIndex[a.Name] = i
	}
	for _, e := range s.engines {
		p.fleet.SetEngine(placement.Spec{
			ID: engineID(e), BaseModel: baseModelName, DataCentre: fmt.Sprintf("dc-%d", e.id%3),
			Slots: s.c.Slots, Capacity: s.c.Batch,
		})
		p.report(e)
		p.pollEngine(e)
	}
	return p
}

func engineID(e *engine) string    { return fmt.Sprintf("engine-%d", e.id) }
func incarnation(e *engine) string { return fmt.Sprintf("run-%d", e.incarnation) }

// pollEngine samples an engine every reportInterval; the report arrives reportDelay later.
func (p *placementDispatcher) pollEngine(e *engine) {
	p.sim.after(reportInterval, func() {
		if e.up {
			r := p.sample(e)
			p.sim.after(reportDelay, func() {
				if r.Incarnation == incarnation(e) && e.up {
					p.fleet.Report(engineID(e), r)
					p.fillEngine(e) // the report may show more free capacity than was estimated
				}
			})
		}
		p.pollEngine(e)
	})
}

func (p *placementDispatcher) report(e *engine) { p.fleet.Report(engineID(e), p.sample(e)) }

func (p *placementDispatcher) sample(e *engine) placement.Report {
	p.sequence++
	r := placement.Report{
		Incarnation: incarnation(e), Sequence: p.sequence,
		Running: len(e.running), Queued: len(e.queue), SampledAt: p.sim.time(),
	}
	for _, a := range sortedAdapters(e) {
		if sl := e.slots[a]; sl.resident {
			r.Resident = append(r.Resident, placement.ReportedSlot{Adapter: p.sim.ref(a), Running: sl.jobs})
		}
	}
	return r
}

func (p *placementDispatcher) placementRequest(a int) placement.Request {
	return placement.Request{Adapter: p.sim.ref(a), BaseModel: baseModelName, DataCentre: localDataCentre}
}

func (p *placementDispatcher) arrived(j *job) {
	p.fleet.Requested(p.sim.ref(j.adapter), 1, p.sim.time())
	p.order.Arrived(j.workspace, p.outstanding[j.workspace] == 0)
	p.outstanding[j.workspace]++
	p.enqueue(j)
	p.dispatchWaiting(j.adapter)
	p.startLoads()
}

func (p *placementDispatcher) enqueue(j *job) {
	p.waiting[j.adapter] = append(p.waiting[j.adapter], j)
	p.fleet.SetWaiting(p.sim.ref(j.adapter), len(p.waiting[j.adapter]))
}

// dispatchWaiting sends the adapter's waiting requests to engines that have capacity. It requests a load
// when the adapter is resident nowhere or every engine that has it is full.
func (p *placementDispatcher) dispatchWaiting(a int) { p.dispatchUpTo(a, len(p.waiting[a])) }

func (p *placementDispatcher) dispatchUpTo(a, limit int) {
	for range limit {
		j := p.waiting[a][0]
		d := p.fleet.Decide(p.placementRequest(a), p.sim.time())
		if d.Action != placement.Dispatch {
			for _, w := range p.waiting[a] {
				w.stalled = true
			}
			if d.Action == placement.NeedLoad {
				p.requestLoad(a)
			}
			return
		}
		if d.Full {
			if d.Replicate && len(p.waiting[a]) >= minWaitingToReplicate {
				p.requestLoad(a)
			}
			return
		}
		p.waiting[a] = p.waiting[a][1:]
		p.fleet.SetWaiting(p.sim.ref(a), len(p.waiting[a]))
		p.order.Started(j.workspace, j.service)
		p.fleet.Started(d.Engine, p.sim.ref(a), p.sim.time())
		p.sim.submit(j, p.sim.engines[engineIndex(d.Engine)])
	}
}

// minWaitingToReplicate is how many requests must wait for an adapter whose engines are all full before
// another replica of it is loaded.
const minWaitingToReplicate = 2

func engineIndex(id string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(id, "engine-"))
	return i
}

func (p *placementDispatcher) requestLoad(a int) {
	ref := p.sim.ref(a)
	p.loadQueue.Enqueue(ref, p.budgetWorkspaces[p.sim.workload.owner[a]], len(p.waiting[a]),
		p.popularity.Rate(ref, p.sim.time()), p.loadDue(a), p.sim.time())
}

// startDue returns the due time of the adapter's first waiting request: its arrival, or for class batch the
// time until which it may wait. It orders the adapters of one workspace.
func (p *placementDispatcher) startDue(a int) time.Duration {
	j := p.waiting[a][0]
	return p.loadQueue.Due(j.class, epoch.Add(j.at), time.Time{}).Sub(epoch)
}

// loadDue returns the earliest time by which a waiting request of the adapter needs the load to start.
func (p *placementDispatcher) loadDue(a int) time.Time {
	due := p.sim.time()
	for _, j := range p.waiting[a] {
		if at := p.loadQueue.Due(j.class, epoch.Add(j.at), time.Time{}); at.Before(due) || j == p.waiting[a][0] {
			due = at
		}
	}
	if due.After(p.sim.time()) && p.fleet.HasFreeSlot(p.placementRequest(a)) {
		return p.sim.time() // the load evicts nothing
	}
	return due
}

// startLoads starts loads while permits are available, and schedules the next attempt.
func (p *placementDispatcher) startLoads() {
	now := p.sim.time()
	for p.permits.Available(now) > 0 {
		l := p.loadQueue.Next(now)
		if l == nil {
			break
		}
		a := p.adapterIndex[l.Adapter.Name]
		if len(p.waiting[a]) == 0 { // served by another replica in the meantime
			p.loadQueue.Loaded(l.Adapter)
			continue
		}
		place, ok := p.fleet.PlaceLoad(p.placementRequest(a), l.Avoid, now)
		if !ok {
			p.loadQueue.Postpone(l.Adapter, now.Add(placementRetry))
			continue
		}
		if p.hasReplica(l.Adapter) && !p.fleet.WorthReplicating(p.placementRequest(a), place, now) {
			p.loadQueue.Loaded(l.Adapter)
			continue
		}
		p.permits.Acquire(now)
		e := p.sim.engines[engineIndex(place.Engine)]
		if place.Victim.Name != "" {
			p.sim.evict(e, p.adapterIndex[place.Victim.Name])
			p.fleet.Removed(place.Engine, place.Incarnation, place.Victim, now)
		}
		p.fleet.LoadStarted(place.Engine, l.Adapter, now)
		p.sim.startLoad(e, a)
	}
	p.scheduleWake()
}

// hasReplica reports whether the adapter is resident on an engine that takes new work.
func (p *placementDispatcher) hasReplica(a adapter.Ref) bool {
	return p.fleet.Decide(p.placementRequest(p.adapterIndex[a.Name]), p.sim.time()).Action == placement.Dispatch
}

// scheduleWake schedules startLoads for when the next permit is available, but not before placementRetry.
func (p *placementDispatcher) scheduleWake() {
	if p.loadQueue.Waiting() == 0 {
		return
	}
	at := p.sim.now + placementRetry
	if t, ok := p.permits.NextReady(); ok {
		at = max(at, t.Sub(epoch))
	}
	if p.wakeAt > p.sim.now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	p.sim.after(at-p.sim.now, p.startLoads)
}

func (p *placementDispatcher) finished(j *job, e *engine) {
	p.outstanding[j.workspace]--
	p.fleet.Finished(engineID(e), p.sim.ref(j.adapter), p.sim.time())
	p.fillEngine(e)
	p.startLoads()
}

// fillEngine uses the engine's free capacity for waiting requests of its adapters, in fair order.
func (p *placementDispatcher) fillEngine(e *engine) {
	blocked := map[int]bool{}
	for len(e.running) < p.sim.c.Batch {
		best := -1
		for _, a := range sortedAdapters(e) {
			if !e.slots[a].resident || len(p.waiting[a]) == 0 || blocked[a] {
				continue
			}
			if best < 0 || p.order.Less(p.sim.workload.owner[a], p.sim.workload.owner[best], p.startDue(a), p.startDue(best)) {
				best = a
			}
		}
		if best < 0 {
			return
		}
		n := len(p.waiting[best])
		p.dispatchUpTo(best, 1) // one at a time, because each start changes the order
		if len(p.waiting[best]) == n {
			blocked[best] = true
		}
	}
}

func (p *placementDispatcher) loaded(e *engine, a int, ok bool) {
	now := p.sim.time()
	p.permits.Release(now)
	ref := p.sim.ref(a)
	if ok {
		p.fleet.Loaded(engineID(e), incarnation(e), ref, now)
		p.loadQueue.Loaded(ref)
	} else {
		p.fleet.Removed(engineID(e), incarnation(e), ref, now)
		p.loadQueue.Failed(ref, engineID(e), now)
	}
	p.fillEngine(e)
	p.startLoads()
}

// restarted puts the lost requests back into their queues. The engine is ejected at once, because its
// broken connections show that it is down.
func (p *placementDispatcher) restarted(e *engine, lost []*job) {
	p.fleet.SetEjected(engineID(e), true)
	for _, j := range lost {
		p.enqueue(j)
	}
	p.dispatchAll()
}

func (p *placementDispatcher) recovered(e *engine) {
	p.fleet.SetEjected(engineID(e), false)
	p.report(e)
	p.dispatchAll()
}

func (p *placementDispatcher) dispatchAll() {
	for a := range p.waiting {
		p.dispatchWaiting(a)
	}
	p.startLoads()
}
