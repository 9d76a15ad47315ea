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
	reportEvery = time.Second
	reportLag   = 400 * time.Millisecond
	// postpone is how long a load waits when no drawn engine has a usable slot.
	postpone = 50 * time.Millisecond
	baseName = "base"
	selfDC   = "dc-0"
)

// placed drives the real placement and load budget. With fcfs it serves loads and requests strictly
// in order of arrival instead of fairly.
type placed struct {
	s       *sim
	f       *placement.Fleet
	pop     *placement.Popularity
	q       *loadbudget.Queue
	share   *loadbudget.PermitPool
	order   Order
	spaces  []string // workspace of the load budget by workspace
	waiting [][]*job // by adapter
	active  []int    // requests in the system by workspace
	index   map[string]int
	sampled uint64
	wake    time.Duration
}

func newPlaced(s *sim, fcfs bool) *placed {
	rnd := rand.New(rand.NewPCG(s.c.Seed, 3))
	pop := placement.NewPopularity(placement.DefaultPopularity(s.c.Adapters), epoch)
	limits := loadbudget.NewLimits(s.c.Store)
	p := &placed{
		s: s, pop: pop, order: newFairOrder(len(s.c.Shares)), spaces: s.w.spaces,
		f:       placement.New(placement.DefaultPolicy(), pop, rnd),
		share:   loadbudget.NewPermitPool("instance-0", limits, limits.Permits, epoch),
		waiting: make([][]*job, s.c.Adapters), active: make([]int, len(s.c.Shares)),
		index: map[string]int{},
	}
	cfg := loadbudget.DefaultQueueConfig()
	if fcfs { // age alone orders the loads of one common workspace
		p.order = arrivalOrder{}
		p.spaces = make([]string, len(s.w.spaces))
		cfg.AgeWeight, cfg.MaxBatchWait = 1e9, 0
	}
	p.q = loadbudget.NewQueue(cfg, rnd)
	for i, a := range s.w.refs {
		p.index[a.Name] = i
	}
	for _, e := range s.engines {
		p.f.SetEngine(placement.Spec{
			ID: engineID(e), BaseModel: baseName, DataCentre: fmt.Sprintf("dc-%d", e.id%3),
			Slots: s.c.Slots, Capacity: s.c.Batch,
		})
		p.report(e)
		p.poll(e)
	}
	return p
}

func engineID(e *engine) string    { return fmt.Sprintf("engine-%d", e.id) }
func incarnation(e *engine) string { return fmt.Sprintf("run-%d", e.incarnation) }

// poll samples an engine each second; the report arrives later.
func (p *placed) poll(e *engine) {
	p.s.after(reportEvery, func() {
		if e.up {
			r := p.sample(e)
			p.s.after(reportLag, func() {
				if r.Incarnation == incarnation(e) && e.up {
					p.f.Report(engineID(e), r)
					p.fill(e) // the report may show more room than was estimated
				}
			})
		}
		p.poll(e)
	})
}

func (p *placed) report(e *engine) { p.f.Report(engineID(e), p.sample(e)) }

func (p *placed) sample(e *engine) placement.Report {
	p.sampled++
	r := placement.Report{
		Incarnation: incarnation(e), Sequence: p.sampled,
		Running: len(e.running), Queued: len(e.queue), SampledAt: p.s.time(),
	}
	for _, a := range sortedSlots(e) {
		if sl := e.slots[a]; sl.resident {
			r.Resident = append(r.Resident, placement.ReportedSlot{Adapter: p.s.ref(a), Running: sl.jobs})
		}
	}
	return r
}

func (p *placed) request(a int) placement.Request {
	return placement.Request{Adapter: p.s.ref(a), BaseModel: baseName, DataCentre: selfDC}
}

func (p *placed) arrive(j *job) {
	p.f.Requested(p.s.ref(j.adapter), 1, p.s.time())
	p.order.Arrived(j.space, p.active[j.space] == 0)
	p.active[j.space]++
	p.enqueue(j)
	p.try(j.adapter)
	p.pump()
}

func (p *placed) enqueue(j *job) {
	p.waiting[j.adapter] = append(p.waiting[j.adapter], j)
	p.f.SetWaiting(p.s.ref(j.adapter), len(p.waiting[j.adapter]))
}

// try sends the adapter's waiting requests as far as engines have room, and asks for a load when the
// adapter is resident nowhere or every engine that holds it is full.
func (p *placed) try(a int) { p.tryUpTo(a, len(p.waiting[a])) }

func (p *placed) tryUpTo(a, limit int) {
	for range limit {
		j := p.waiting[a][0]
		d := p.f.Decide(p.request(a), p.s.time())
		if d.Action != placement.Dispatch {
			for _, w := range p.waiting[a] {
				w.stalled = true
			}
			if d.Action == placement.NeedLoad {
				p.want(a)
			}
			return
		}
		if d.Full {
			if d.Replicate && len(p.waiting[a]) >= replicateWaiting {
				p.want(a)
			}
			return
		}
		p.waiting[a] = p.waiting[a][1:]
		p.f.SetWaiting(p.s.ref(a), len(p.waiting[a]))
		p.order.Started(j.space, j.service)
		p.f.Started(d.Engine, p.s.ref(a), p.s.time())
		p.s.send(j, p.s.engines[engineIndex(d.Engine)])
	}
}

// replicateWaiting is how many requests must wait for a full adapter before it gets another copy.
const replicateWaiting = 2

func engineIndex(id string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(id, "engine-"))
	return i
}

func (p *placed) want(a int) {
	ref := p.s.ref(a)
	p.q.Enqueue(ref, p.spaces[p.s.w.owner[a]], len(p.waiting[a]), p.pop.Rate(ref, p.s.time()), p.due(a), p.s.time())
}

// rank orders the first waiting requests of adapters within a workspace: by arrival, for class batch by
// the time until which it may wait.
func (p *placed) rank(a int) time.Duration {
	j := p.waiting[a][0]
	return p.q.Due(j.class, epoch.Add(j.at), time.Time{}).Sub(epoch)
}

// due returns when the first of the adapter's waiting requests wants its load to start.
func (p *placed) due(a int) time.Time {
	due := p.s.time()
	for _, j := range p.waiting[a] {
		if at := p.q.Due(j.class, epoch.Add(j.at), time.Time{}); at.Before(due) || j == p.waiting[a][0] {
			due = at
		}
	}
	if due.After(p.s.time()) && p.f.HasFreeSlot(p.request(a)) {
		return p.s.time() // the load evicts nothing
	}
	return due
}

// pump starts loads while permits are free, and plans the next attempt.
func (p *placed) pump() {
	now := p.s.time()
	for p.share.Available(now) > 0 {
		l := p.q.Next(now)
		if l == nil {
			break
		}
		a := p.index[l.Adapter.Name]
		if len(p.waiting[a]) == 0 { // served meanwhile by another copy
			p.q.Loaded(l.Adapter)
			continue
		}
		place, ok := p.f.PlaceLoad(p.request(a), l.Avoid, now)
		if !ok {
			p.q.Postpone(l.Adapter, now.Add(postpone))
			continue
		}
		if p.resident(l.Adapter) && !p.f.WorthReplicating(p.request(a), place, now) {
			p.q.Loaded(l.Adapter)
			continue
		}
		p.share.Acquire(now)
		e := p.s.engines[engineIndex(place.Engine)]
		if place.Victim.Name != "" {
			p.s.evict(e, p.index[place.Victim.Name])
			p.f.Removed(place.Engine, place.Incarnation, place.Victim, now)
		}
		p.f.LoadStarted(place.Engine, l.Adapter, now)
		p.s.load(e, a)
	}
	p.planWake()
}

// resident reports whether an engine that takes new work holds the adapter.
func (p *placed) resident(a adapter.Ref) bool {
	return p.f.Decide(p.request(p.index[a.Name]), p.s.time()).Action == placement.Dispatch
}

// planWake calls pump again when the next permit is ready.
func (p *placed) planWake() {
	if p.q.Waiting() == 0 {
		return
	}
	at := p.s.now + postpone
	if t, ok := p.share.NextReady(); ok {
		at = max(at, t.Sub(epoch))
	}
	if p.wake > p.s.now && p.wake <= at {
		return
	}
	p.wake = at
	p.s.after(at-p.s.now, p.pump)
}

func (p *placed) finished(j *job, e *engine) {
	p.active[j.space]--
	p.f.Finished(engineID(e), p.s.ref(j.adapter), p.s.time())
	p.fill(e)
	p.pump()
}

// fill gives the engine's free places to waiting requests of its adapters in fair order.
func (p *placed) fill(e *engine) {
	blocked := map[int]bool{}
	for len(e.running) < p.s.c.Batch {
		best := -1
		for _, a := range sortedSlots(e) {
			if !e.slots[a].resident || len(p.waiting[a]) == 0 || blocked[a] {
				continue
			}
			if best < 0 || p.order.Less(p.s.w.owner[a], p.s.w.owner[best], p.rank(a), p.rank(best)) {
				best = a
			}
		}
		if best < 0 {
			return
		}
		n := len(p.waiting[best])
		p.tryUpTo(best, 1) // one at a time, so that the order decides anew
		if len(p.waiting[best]) == n {
			blocked[best] = true
		}
	}
}

func (p *placed) loaded(e *engine, a int, ok bool) {
	now := p.s.time()
	p.share.Release(now)
	ref := p.s.ref(a)
	if ok {
		p.f.Loaded(engineID(e), incarnation(e), ref, now)
		p.q.Loaded(ref)
	} else {
		p.f.Removed(engineID(e), incarnation(e), ref, now)
		p.q.Failed(ref, engineID(e), now)
	}
	p.fill(e)
	p.pump()
}

// restarted returns the lost requests to the front of their queues. The engine is known to be down
// at once, since its connections break.
func (p *placed) restarted(e *engine, lost []*job) {
	p.f.SetEjected(engineID(e), true)
	for _, j := range lost {
		p.enqueue(j)
	}
	p.tryAll()
}

func (p *placed) recovered(e *engine) {
	p.f.SetEjected(engineID(e), false)
	p.report(e)
	p.tryAll()
}

func (p *placed) tryAll() {
	for a := range p.waiting {
		p.try(a)
	}
	p.pump()
}
