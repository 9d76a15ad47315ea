package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function to be run at a virtual time. Events of the same time run in the order in which
// they were made.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// job is a request on its way.
type job struct {
	request
	id          int
	engine      int // -1 while the job waits
	started     time.Duration
	completions int
	stalled     bool
}

// engine is an engine as it really is.
type engine struct {
	id          int
	incarnation int
	up          bool
	slots       map[int]*slot // by adapter
	running     []*job
	queue       []*job // sent by the dispatcher beyond the batch limit
}

type slot struct {
	resident bool
	jobs     int
	lastUsed time.Duration
}

// dispatcher is the policy under test.
type dispatcher interface {
	arrived(j *job)
	finished(j *job, e *engine)
	loaded(e *engine, a int, ok bool)
	restarted(e *engine, lost []*job)
	recovered(e *engine)
}

// sim is the world: engines, weight store, clock and measurements.
type sim struct {
	c          Case
	workload   *workload
	now        time.Duration
	events     eventHeap
	seq        int
	engines    []*engine
	jobs       []*job
	faultRand  *rand.Rand
	dispatcher dispatcher

	nextLoadStart time.Duration // when the store may start the next load beyond its burst
	loadsInFlight int

	loads                      int
	inSystem, running, up      int
	accountedUntil             time.Duration
	usedSeconds, usableSeconds float64   // seat-seconds used and usable while measured
	servedSeconds              []float64 // seat-seconds by workspace while measured
	runningByWorkspace         []int     // running requests by workspace
	errors                     []string
	lastRemoval                map[int]removal // by adapter
	loadsByCause               [causeCount]int // loads while measured
}

func newSim(c Case, w *workload) *sim {
	s := &sim{
		c: c, workload: w, up: c.Engines, servedSeconds: make([]float64, len(c.Shares)), runningByWorkspace: make([]int, len(c.Shares)),
		lastRemoval: map[int]removal{},
		faultRand:   rand.New(rand.NewPCG(c.Seed, 2)),
	}
	for i := range c.Engines {
		s.engines = append(s.engines, &engine{id: i, up: true, slots: map[int]*slot{}})
	}
	return s
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

// accountUsage adds the seat-seconds since the last event. A seat is usable when an engine is up and a
// request is in the system to take it.
func (s *sim) accountUsage() {
	from, to := max(s.accountedUntil, s.c.Warmup), min(s.now, s.workload.end)
	s.accountedUntil = s.now
	if to <= from {
		return
	}
	dt := (to - from).Seconds()
	s.usedSeconds += dt * float64(s.running)
	s.usableSeconds += dt * float64(min(s.inSystem, s.up*s.c.Batch))
	for space, n := range s.runningByWorkspace {
		s.servedSeconds[space] += dt * float64(n)
	}
}

// run plays the whole workload and drains it.
func (s *sim) run(d dispatcher) {
	s.dispatcher = d
	for i, r := range s.workload.requests {
		j := &job{request: r, id: i, engine: -1}
		s.jobs = append(s.jobs, j)
		s.seq++
		s.events = append(s.events, event{r.at, s.seq, func() { s.inSystem++; s.dispatcher.arrived(j) }})
	}
	heap.Init(&s.events)
	if s.c.RestartInterval > 0 {
		s.after(s.c.RestartInterval, s.restart)
	}
	limit := s.workload.end * 20 // a policy that has not drained by then has lost requests
	for len(s.events) > 0 && s.now < limit && (s.inSystem > 0 || s.now < s.workload.end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.accountUsage()
		e.run()
	}
}

// submit hands a job to an engine, which must hold the adapter.
func (s *sim) submit(j *job, e *engine) {
	sl := e.slots[j.adapter]
	if !e.up || sl == nil || !sl.resident {
		s.errors = append(s.errors, "a request was sent to an engine without its adapter")
		return
	}
	sl.jobs++
	sl.lastUsed = s.now
	j.engine = e.id
	e.queue = append(e.queue, j)
	s.startQueued(e)
}

// startQueued starts queued jobs while the batch has room.
func (s *sim) startQueued(e *engine) {
	for len(e.queue) > 0 && len(e.running) < s.c.Batch {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, j)
		s.running++
		s.runningByWorkspace[j.workspace]++
		j.started = s.now
		incarnation := e.incarnation
		s.after(j.service, func() {
			if e.incarnation == incarnation {
				s.finish(j, e)
			}
		})
	}
}

func (s *sim) finish(j *job, e *engine) {
	for i, o := range e.running {
		if o == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	s.running--
	s.runningByWorkspace[j.workspace]--
	s.inSystem--
	j.completions++
	e.slots[j.adapter].jobs--
	s.startQueued(e)
	s.dispatcher.finished(j, e)
}

// startLoad orders an adapter on an engine. The store starts loads at its rate, with a burst of the number
// it runs at full speed, and each startLoad takes longer in proportion to the excess in flight.
func (s *sim) startLoad(e *engine, a int) {
	if len(e.slots) >= s.c.Slots || e.slots[a] != nil {
		s.errors = append(s.errors, "a load was ordered on an engine without a free slot")
		return
	}
	if s.now >= s.c.Warmup && s.now < s.workload.end {
		s.loads++
		s.loadsByCause[s.loadCause(a)]++
	}
	e.slots[a] = &slot{lastUsed: s.now}
	s.loadsInFlight++
	gap := time.Duration(float64(time.Second) / s.c.Store.LoadsPerSecond)
	burst := time.Duration(max(1, s.c.Store.FullSpeed)-1) * gap
	start := max(s.now, s.nextLoadStart-burst)
	s.nextLoadStart = max(s.now, s.nextLoadStart) + gap
	takes := time.Duration(float64(loadDuration) * max(1, float64(s.loadsInFlight)/float64(s.c.Store.MaxInFlight)))
	failed := s.faultRand.Float64() < s.c.LoadFailureRate
	incarnation := e.incarnation
	s.after(start+takes-s.now, func() {
		s.loadsInFlight--
		if e.incarnation != incarnation {
			s.dispatcher.loaded(e, a, false)
			return
		}
		if failed {
			delete(e.slots, a)
			s.lastRemoval[a] = removal{AfterFailure, s.now}
		} else {
			e.slots[a].resident, e.slots[a].lastUsed = true, s.now
		}
		s.dispatcher.loaded(e, a, !failed)
	})
}

// evict removes an idle adapter.
func (s *sim) evict(e *engine, a int) {
	if sl := e.slots[a]; sl == nil || !sl.resident || sl.jobs > 0 {
		s.errors = append(s.errors, "an adapter was evicted while it was loading or in use")
		return
	}
	s.lastRemoval[a] = removal{ReusedLater, e.slots[a].lastUsed}
	delete(e.slots, a)
}

// restart stops a random engine: its requests are lost on it and its slots are empty afterwards.
func (s *sim) restart() {
	e := s.engines[s.faultRand.IntN(len(s.engines))]
	if e.up && s.now < s.workload.end {
		lost := append(append([]*job{}, e.running...), e.queue...)
		s.running -= len(e.running)
		for _, j := range e.running {
			s.runningByWorkspace[j.workspace]--
		}
		for a, sl := range e.slots {
			s.lastRemoval[a] = removal{AfterRestart, sl.lastUsed}
		}
		e.running, e.queue, e.slots, e.up = nil, nil, map[int]*slot{}, false
		e.incarnation++
		s.up--
		for _, j := range lost {
			j.engine = -1
		}
		s.dispatcher.restarted(e, lost)
		s.after(restartDuration, func() {
			e.up = true
			s.up++
			s.dispatcher.recovered(e)
		})
	}
	s.after(s.c.RestartInterval, s.restart)
}

func (s *sim) ref(a int) adapter.Ref { return s.workload.refs[a] }
