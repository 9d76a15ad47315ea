package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function that runs at a virtual time. Events with the same time run in the order in which
// they were scheduled.
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

// job is a request in the simulation.
type job struct {
	request
	id          int
	engine      int // -1 while the job is on no engine
	started     time.Duration
	completions int
	stalled     bool
}

// engine is the actual state of a simulated engine.
type engine struct {
	id          int
	incarnation int
	up          bool
	slots       map[int]*slot // by adapter
	running     []*job
	queue       []*job // submitted beyond the batch limit
}

type slot struct {
	resident bool
	jobs     int // running and queued on the engine
	lastUsed time.Duration
}

// dispatcher is the policy under test. The simulation calls each method after the event of that name.
type dispatcher interface {
	arrived(j *job)
	finished(j *job, e *engine)
	loaded(e *engine, a int, ok bool)
	restarted(e *engine, lost []*job)
	recovered(e *engine)
}

// sim is the simulation: engines, weight store, clock and measurements.
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

	nextLoadStart time.Duration // when the store may start the next load once its burst is used up
	loadsInFlight int

	loads                      int
	inSystem, running, up      int
	accountedUntil             time.Duration
	usedSeconds, usableSeconds float64   // request-seconds run, and that could have run, while measured
	servedSeconds              []float64 // request-seconds run by workspace while measured
	runningByWorkspace         []int     // running requests by workspace
	errors                     []string
	lastRemoval                map[int]removal // by adapter
	loadsByCause               [causeCount]int // loads while measured
}

func newSim(c Case, w *workload) *sim {
	s := &sim{
		c: c, workload: w, up: c.Engines,
		servedSeconds: make([]float64, len(c.Shares)), runningByWorkspace: make([]int, len(c.Shares)),
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

// accountUsage adds the request-seconds since the last event that fall into the measured period. The usable
// ones are those of all requests in the system, up to the batch limits of the engines that are up.
func (s *sim) accountUsage() {
	from, to := max(s.accountedUntil, s.c.Warmup), min(s.now, s.workload.end)
	s.accountedUntil = s.now
	if to <= from {
		return
	}
	dt := (to - from).Seconds()
	s.usedSeconds += dt * float64(s.running)
	s.usableSeconds += dt * float64(min(s.inSystem, s.up*s.c.Batch))
	for workspace, n := range s.runningByWorkspace {
		s.servedSeconds[workspace] += dt * float64(n)
	}
}

// run simulates the whole workload until no request is left.
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
	limit := s.workload.end * 20 // a policy with unfinished requests at this time has lost them
	for len(s.events) > 0 && s.now < limit && (s.inSystem > 0 || s.now < s.workload.end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.accountUsage()
		e.run()
	}
}

// submit sends a job to an engine, on which the adapter must be resident.
func (s *sim) submit(j *job, e *engine) {
	sl := e.slots[j.adapter]
	if !e.up || sl == nil || !sl.resident {
		s.errors = append(s.errors, "request submitted to an engine on which its adapter is not resident")
		return
	}
	sl.jobs++
	sl.lastUsed = s.now
	j.engine = e.id
	e.queue = append(e.queue, j)
	s.startQueued(e)
}

// startQueued starts queued jobs while the engine runs fewer than its batch limit.
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

// startLoad starts a load of adapter a on an engine. The weight store starts loads at LoadsPerSecond with
// a burst of FullSpeed loads. With more than MaxInFlight loads in flight, a load takes longer in
// proportion to their number.
func (s *sim) startLoad(e *engine, a int) {
	if len(e.slots) >= s.c.Slots || e.slots[a] != nil {
		s.errors = append(s.errors, "load started without a free slot or for an adapter that has one")
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

// evict removes an idle adapter from an engine.
func (s *sim) evict(e *engine, a int) {
	if sl := e.slots[a]; sl == nil || !sl.resident || sl.jobs > 0 {
		s.errors = append(s.errors, "eviction of an adapter that is absent, loading or in use")
		return
	}
	s.lastRemoval[a] = removal{ReusedLater, e.slots[a].lastUsed}
	delete(e.slots, a)
}

// restart restarts a random engine. Its running and queued requests go back to the dispatcher, and its
// slots are empty afterwards.
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
