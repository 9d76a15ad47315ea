package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/coordination/fairqueue"
	"github.com/turmericworks/turmericworks/internal/coordination/loadbudget"
	"github.com/turmericworks/turmericworks/internal/coordination/placement"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

const (
	// tick is how often waiting requests and loads are looked at without an event.
	tick = 50 * time.Millisecond
	// noPlaceDelay is the pause before a load for which no engine has a usable slot is tried again.
	noPlaceDelay = 100 * time.Millisecond
	// maxAdapters is how many adapter versions popularity is kept for.
	maxAdapters = 100_000
	// defaultMaxBatch is the batch of an engine whose configuration names none.
	defaultMaxBatch = 32
)

// Loader has an adapter loaded on an engine by the engine's owner. Victim is what would be evicted for it
// by this instance's choice, or the zero Ref. Load returns when the adapter is resident, or with the
// reason why it is not. Charged says that a load was or may have been ordered for this call; it is false
// if the adapter was resident or if the load is charged to another instance that waits for it too.
type Loader interface {
	Load(ctx context.Context, engine *fleet.Engine, a, victim adapter.Ref) (charged bool, err error)
}

// LoadBudget bounds the loads of the whole fleet.
type LoadBudget interface {
	// TakeLoad takes the permission for one load, or returns false. Settle must be called once with
	// whether the load was charged; if not, the permission is given back.
	TakeLoad(now time.Time) (settle func(charged bool), ok bool)
}

// Scheduler finds places for requests: it queues them fairly, places them on engines and has missing
// adapters loaded. It is safe for concurrent use. Its lock is never held during I/O.
type Scheduler struct {
	fleet      *fleet.Registry
	dataCentre string
	loader     Loader
	budget     LoadBudget
	gate       Gate
	ctx        context.Context

	mu      sync.Mutex
	place   *placement.Fleet
	queue   *fairqueue.Queue
	loads   *loadbudget.Queue
	blame   *retry.CrashAttributor
	ejector map[string]*retry.Ejector // by base model
	down    map[string]bool           // engines whose last report failed
	probing map[string]bool           // ejected engines that may get one request
	runs    map[string]string         // engine to incarnation
	models  map[string]string         // engine to base model
	waiters map[string]*waiter
	// queued wakes Serve when a request begins to wait.
	queued chan struct{}
	// waiting counts the waiters by adapter version.
	waiting map[adapter.Ref]int
	// retired holds what is marked as retired in place. The value is when the gate was seen to permit it
	// again, or zero; the mark is lifted by the next report, which shows whether it was evicted.
	retired map[slotKey]time.Time
	publish func(retry.BlameRecord)
}

// slotKey names an adapter version on an engine.
type slotKey struct {
	engine  string
	adapter adapter.Ref
}

// waiter is one attempt that waits for a place.
type waiter struct {
	call        entry.Call
	fingerprint retry.Fingerprint
	// decision is the last one of fit, which dispatch carries out.
	decision placement.Decision
	result   chan acquired
}

type acquired struct {
	place Place
	err   error
}

// SchedulerOptions are what a Scheduler needs.
type SchedulerOptions struct {
	Fleet      *fleet.Registry
	DataCentre string
	Loader     Loader
	Budget     LoadBudget
	Gate       Gate
	// Queue bounds and weighs the queue.
	Queue fairqueue.Settings
	// Publish appends a record about an engine crash to the log. It must not block.
	Publish func(retry.BlameRecord)
	// Seed makes random draws differ between instances.
	Seed uint64
}

// NewScheduler returns a scheduler without engines.
func NewScheduler(o SchedulerOptions) *Scheduler {
	rnd := rand.New(rand.NewPCG(o.Seed, 0))
	pop := placement.NewPopularity(placement.DefaultPopularity(maxAdapters), time.Now())
	return &Scheduler{
		fleet: o.Fleet, dataCentre: o.DataCentre, loader: o.Loader, budget: o.Budget, gate: o.Gate, publish: o.Publish,
		ctx: context.Background(), place: placement.New(placement.DefaultPolicy(), pop, rnd), queue: fairqueue.New(o.Queue),
		loads: loadbudget.NewQueue(loadbudget.DefaultQueueConfig(), rnd), blame: retry.NewCrashAttributor(),
		ejector: map[string]*retry.Ejector{}, down: map[string]bool{}, probing: map[string]bool{}, runs: map[string]string{},
		models: map[string]string{}, waiters: map[string]*waiter{}, retired: map[slotKey]time.Time{}, waiting: map[adapter.Ref]int{}, queued: make(chan struct{}, 1),
	}
}

// Serve looks at waiting requests until the context ends. It implements suture.Service.
func (s *Scheduler) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	t := time.NewTimer(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.queued:
		case <-t.C:
		}
		s.mu.Lock()
		s.pump(time.Now())
		if len(s.waiters) > 0 {
			t.Reset(tick)
		}
		s.mu.Unlock()
	}
}

// Configure takes over the engines, weights and policy of a configuration.
func (s *Scheduler) Configure(v *config.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPolicy(v.Fleet().Policy)
	for id, w := range v.Workspaces() {
		s.queue.SetWeight(id, max(w.Weight, 1))
		s.loads.SetWeight(id, max(w.Weight, 1))
	}
	byModel := map[string][]string{}
	models := map[string]string{}
	for id, b := range v.BackendServers() {
		if b.Kind != config.KindEngine {
			continue
		}
		capacity := b.MaxBatch
		if capacity == 0 {
			capacity = defaultMaxBatch
		}
		s.place.SetEngine(placement.Spec{
			ID: id, BaseModel: b.BaseModel, DataCentre: b.DataCentre, Slots: b.Slots, Capacity: capacity,
		})
		s.place.SetLeaving(id, b.Leaving)
		models[id] = b.BaseModel
		byModel[b.BaseModel] = append(byModel[b.BaseModel], id)
	}
	for id := range s.models {
		if _, ok := models[id]; !ok {
			s.place.RemoveEngine(id)
		}
	}
	s.models = models
	for model, ids := range byModel {
		if s.ejector[model] == nil {
			s.ejector[model] = retry.NewEjector(retry.EjectorSettings{})
		}
		s.ejector[model].SetServers(ids)
	}
}

// HandleReport takes over an engine's report. A failed one takes the engine out of use until the next good
// one.
func (s *Scheduler) HandleReport(r fleet.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.down[r.EngineID] = r.Err != nil
	if r.Err == nil {
		s.newRun(r.EngineID, r.Status.Incarnation, now)
		s.place.Report(r.EngineID, placementReport(r.Status))
		s.unretire(r.EngineID, r.RequestedAt, now)
	}
	if e := s.ejector[s.models[r.EngineID]]; r.Err == nil && e != nil && e.TryProbe(r.EngineID, now) {
		// The next request that fits goes to the engine; its outcome decides about the return.
		s.probing[r.EngineID] = true
	}
	s.updateEjected(r.EngineID)
	s.pump(now)
}

// ForgetPeer drops what is kept about an instance whose membership has ended.
func (s *Scheduler) ForgetPeer(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RemovePeer(incarnation)
}

// newRun notes the incarnation of an engine; another one than before means a crash or a restart.
func (s *Scheduler) newRun(engine, incarnation string, now time.Time) {
	old := s.runs[engine]
	s.runs[engine] = incarnation
	if old == "" || old == incarnation {
		return
	}
	if _, rec := s.blame.Crashed(retry.EngineRun{Engine: engine, Incarnation: old}, now); rec != nil && s.publish != nil {
		s.publish(*rec)
	}
}

func placementReport(st backend.Status) placement.Report {
	r := placement.Report{
		Incarnation: st.Incarnation, Sequence: st.Sequence, Running: st.Running, Queued: st.Queued,
		Leaving: st.Leaving, SampledAt: st.SampledAt,
	}
	for _, a := range st.Resident {
		r.Resident = append(r.Resident, placement.ReportedSlot{Adapter: a.Adapter, Running: a.Running})
	}
	return r
}

// updateEjected applies ejection to the placement. The caller holds the lock.
func (s *Scheduler) updateEjected(engine string) {
	e := s.ejector[s.models[engine]]
	ejected := e != nil && !e.Usable(engine) && !s.probing[engine]
	s.place.SetEjected(engine, s.down[engine] || ejected)
}

// MergeBlame takes over a record about an engine crash from the log.
func (s *Scheduler) MergeBlame(rec retry.BlameRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blame.Merge(rec, time.Now())
}

// VirtualTimes returns the service by this instance, for heartbeats.
func (s *Scheduler) VirtualTimes() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.LocalService()
}

// MergeVirtualTimes counts the service of a peer.
func (s *Scheduler) MergeVirtualTimes(incarnation string, times map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.MergePeer(incarnation, times)
}

// Acquire implements Router.
func (s *Scheduler) Acquire(ctx context.Context, c entry.Call) (Place, error) {
	w := &waiter{
		call: c, fingerprint: retry.NewFingerprint(c.Workspace, c.Adapter, c.Path, c.Body), result: make(chan acquired, 1),
	}
	id := uuid.NewString()
	if err := s.enqueue(id, w); err != nil {
		return Place{}, err
	}
	select {
	case r := <-w.result:
		return r.place, r.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := s.queue.Cancel(id)
	if waiting {
		s.forget(id)
	}
	s.mu.Unlock()
	if !waiting {
		// The place was given at the same moment; it is returned unused.
		if r := <-w.result; r.err == nil {
			r.place.Release(Outcome{Err: errUnused})
		}
	}
	return Place{}, verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusGatewayTimeout, "deadline", "the request ended while it waited for an engine")
}

var errUnused = verdict.New(verdict.NotRun, http.StatusGatewayTimeout, "deadline", "the place was not used")

func (s *Scheduler) enqueue(id string, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.blame.Check(w.fingerprint, now); err != nil {
		return err
	}
	s.place.Requested(w.call.Adapter, 1, now)
	displaced, err := s.queue.Enqueue(fairqueue.Request{
		ID: id, Workspace: w.call.Workspace, Adapter: w.call.Adapter, Class: w.call.Class, Worth: w.call.Worth,
		Tokens: float64(w.call.Tokens), Arrived: now, Deadline: w.call.Deadline,
	}, now)
	if err != nil {
		return err
	}
	s.waiters[id] = w
	s.countWaiting(w.call.Adapter, 1)
	select {
	case s.queued <- struct{}{}:
	default:
	}
	if displaced != nil {
		s.answer(displaced.ID, acquired{err: fairqueue.DisplacedError()})
	}
	s.pump(now)
	return nil
}

// answer ends the wait of a request. The caller holds the lock.
func (s *Scheduler) answer(id string, r acquired) {
	if w := s.waiters[id]; w != nil {
		w.result <- r
		s.forget(id)
	}
}

// forget drops a waiter, and the load that nobody else waits for. The caller holds the lock.
func (s *Scheduler) forget(id string) {
	w := s.waiters[id]
	delete(s.waiters, id)
	s.countWaiting(w.call.Adapter, -1)
}

// countWaiting counts the waiters of an adapter. The caller holds the lock.
func (s *Scheduler) countWaiting(a adapter.Ref, n int) {
	s.waiting[a] += n
	s.place.SetWaiting(a, s.waiting[a])
	if s.waiting[a] == 0 {
		delete(s.waiting, a)
		s.loads.Cancel(a)
	}
}

// pump dispatches what can be dispatched and starts loads. The caller holds the lock.
func (s *Scheduler) pump(now time.Time) {
	for _, late := range s.queue.Expire(now) {
		s.answer(late.ID, acquired{err: fairqueue.ExpiredError()})
	}
	for {
		r, ok := s.queue.Next(now, func(r *fairqueue.Request) fairqueue.Fit { return s.fit(r, now) })
		if !ok {
			break
		}
		s.dispatch(r, now)
	}
	s.startLoads(now)
}

func (s *Scheduler) placementRequest(c *entry.Call) placement.Request {
	return placement.Request{Adapter: c.Adapter, BaseModel: c.BaseModel, DataCentre: s.dataCentre}
}

// fit says whether a request can start now, and asks for a load when its adapter is missing.
func (s *Scheduler) fit(r *fairqueue.Request, now time.Time) fairqueue.Fit {
	w := s.waiters[r.ID]
	if w == nil {
		return fairqueue.Blocked
	}
	d := s.decide(w, now)
	w.decision = d
	if d.Action == placement.NeedLoad || d.Replicate {
		due := s.loads.Due(r.Class, r.Arrived, r.Deadline)
		if due.After(now) && s.place.HasFreeSlot(s.placementRequest(&w.call)) {
			due = now // the load evicts nothing
		}
		s.loads.Enqueue(r.Adapter, r.Workspace, s.waiting[r.Adapter], 0, due, now)
	}
	if d.Action != placement.Dispatch || d.Full {
		return fairqueue.Blocked
	}
	if !s.blame.MayStart(w.fingerprint, retry.EngineRun{Engine: d.Engine, Incarnation: d.Incarnation}, now) {
		return fairqueue.Blocked
	}
	return fairqueue.Resident
}

// decide places a request where its adapter version is not retired. The caller holds the lock.
func (s *Scheduler) decide(w *waiter, now time.Time) placement.Decision {
	for {
		d := s.place.Decide(s.placementRequest(&w.call), now)
		k := slotKey{d.Engine, w.call.Adapter}
		if d.Action != placement.Dispatch {
			return d
		}
		if s.gate.Retired(k.engine, k.adapter) {
			s.markRetired(k)
		} else if _, marked := s.retired[k]; !marked {
			return d
		}
		// A report that was sampled before the eviction may have added the slot again without its mark.
		s.place.Retire(k.engine, k.adapter)
	}
}

// Retire notes that the owner of an engine is about to evict an adapter version. Until a report that was
// asked for after the end of that, no request is placed there: the adapter version may be gone.
func (s *Scheduler) Retire(engine string, a adapter.Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markRetired(slotKey{engine, a})
}

// markRetired marks a slot as retired. The caller holds the lock.
func (s *Scheduler) markRetired(k slotKey) {
	s.retired[k] = time.Time{}
	s.place.Retire(k.engine, k.adapter)
}

// unretire takes back an engine's marks that a report, asked for at the given time, is newer than. The
// caller holds the lock.
func (s *Scheduler) unretire(engine string, asked, now time.Time) {
	for k, since := range s.retired {
		switch {
		case k.engine != engine:
		case s.gate.Retired(k.engine, k.adapter):
			s.retired[k] = time.Time{}
		case since.IsZero():
			s.retired[k] = now
		case asked.After(since):
			delete(s.retired, k)
			s.place.Unretire(k.engine, k.adapter)
		}
	}
}

// PickVictim chooses among the candidates for an eviction from an engine that this instance owns.
func (s *Scheduler) PickVictim(engine string, candidates []adapter.Ref, preferred adapter.Ref) (adapter.Ref, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place.ChooseVictim(engine, candidates, preferred, time.Now())
}

// dispatch gives a place to a request that fit accepted. The caller holds the lock.
func (s *Scheduler) dispatch(r fairqueue.Request, now time.Time) {
	w := s.waiters[r.ID]
	d := w.decision
	engine := s.fleet.Engine(d.Engine)
	if engine == nil {
		s.queue.Complete(r.ID, 0, now)
		s.answer(r.ID, acquired{err: errNoEngine})
		return
	}
	run := retry.EngineRun{Engine: d.Engine, Incarnation: d.Incarnation}
	s.place.Started(d.Engine, r.Adapter, now)
	if s.probing[d.Engine] {
		delete(s.probing, d.Engine)
		s.updateEjected(d.Engine)
	}
	s.blame.Started(r.ID, w.fingerprint, run)
	var once sync.Once
	release := func(o Outcome) { once.Do(func() { s.release(r, run, o) }) }
	s.answer(r.ID, acquired{place: Place{Engine: engine, Release: release}})
}

// release takes a place back.
func (s *Scheduler) release(r fairqueue.Request, run retry.EngineRun, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.queue.Complete(r.ID, float64(o.Tokens), now)
	s.place.Finished(run.Engine, r.Adapter, now)
	for _, rec := range s.blame.Finished(r.ID, run, o.Err == nil) {
		if s.publish != nil {
			s.publish(rec)
		}
	}
	if e := s.ejector[s.models[run.Engine]]; e != nil && !o.refused() {
		e.RecordResult(run.Engine, o.Err == nil, now)
		s.updateEjected(run.Engine)
	}
	s.pump(now)
}

var errNoEngine = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_engine", "no engine can take the request now").
	WithRetryAfter(retryAfter)
