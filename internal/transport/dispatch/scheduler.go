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
	// scheduleInterval is the time between two scheduling passes, while requests wait, if no event triggers one earlier.
	scheduleInterval = 50 * time.Millisecond
	// noSlotDelay is the delay before a load is retried for which no engine had a usable slot.
	noSlotDelay = 100 * time.Millisecond
	// maxAdapters is the number of adapter versions whose popularity is tracked.
	maxAdapters = 100_000
	// defaultMaxBatch is the batch size of an engine whose configuration sets none.
	defaultMaxBatch = 32
)

// Loader asks the owner of an engine to load an adapter version on it. Victim is the adapter version that this
// instance prefers to evict for it, or the zero Ref. Load returns when the adapter version is resident, or with the
// reason why it is not. Charged is set if a load was or may have been ordered for this call; it is false if the adapter
// version was already resident or if the load is charged to another instance that waits for it too.
type Loader interface {
	Load(ctx context.Context, engine *fleet.Engine, a, victim adapter.Ref) (charged bool, err error)
}

// LoadBudget limits the loads of the whole fleet.
type LoadBudget interface {
	// TakeLoad takes one load from the budget, or returns false. Settle must be called once with whether the load was
	// charged; if it was not, the load is returned to the budget.
	TakeLoad(now time.Time) (settle func(charged bool), ok bool)
}

// Scheduler queues requests fairly, places them on engines and starts the loads of missing adapter versions. It is safe
// for concurrent use. Its lock is never held during I/O.
type Scheduler struct {
	fleet      *fleet.Registry
	dataCentre string
	loader     Loader
	budget     LoadBudget
	gate       Gate
	ctx        context.Context

	mu           sync.Mutex
	placement    *placement.Fleet
	queue        *fairqueue.Queue
	loadQueue    *loadbudget.Queue
	crashes      *retry.CrashAttributor
	promptParts  *promptParts
	ejectors     map[string]*retry.Ejector // by base model
	down         map[string]bool           // engines whose last report failed
	probing      map[string]bool           // ejected engines that may get one request
	incarnations map[string]string         // by engine
	baseModels   map[string]string         // by engine
	waiters      map[string]*waiter        // by queue ID
	// queued wakes Serve when a request is added to the queue.
	queued chan struct{}
	// waiterCounts counts the waiters by adapter version.
	waiterCounts map[adapter.Ref]int
	// retired holds the slots that are marked as retired in placement. The value is when the gate was first seen to
	// allow the slot again, or zero before that. The first report requested after that time removes the mark: it shows
	// whether the adapter version was evicted.
	retired      map[slotKey]time.Time
	publishCrash func(retry.BlameRecord)
}

// slotKey identifies an adapter version on an engine.
type slotKey struct {
	engine  string
	adapter adapter.Ref
}

// waiter is one attempt that waits for capacity.
type waiter struct {
	call        entry.Call
	fingerprint retry.Fingerprint
	// decision is the last decision of checkFit, which dispatch carries out.
	decision placement.Decision
	result   chan acquireResult
}

// acquireResult is the result of Acquire.
type acquireResult struct {
	reservation Reservation
	err         error
}

// SchedulerOptions are the dependencies and settings of a Scheduler.
type SchedulerOptions struct {
	Fleet      *fleet.Registry
	DataCentre string
	Loader     Loader
	Budget     LoadBudget
	Gate       Gate
	// Queue configures the limits and weights of the queue.
	Queue fairqueue.Settings
	// Publish appends a record about an engine crash to the log. It must not block.
	Publish func(retry.BlameRecord)
	// PublishPromptParts appends a record about parts of prompts to the log. It must not block.
	PublishPromptParts func(retry.PromptPartRecord)
	// Seed seeds the random choices, so that they differ between instances.
	Seed uint64
}

// NewScheduler returns a scheduler without engines.
func NewScheduler(o SchedulerOptions) *Scheduler {
	rnd := rand.New(rand.NewPCG(o.Seed, 0))
	popularity := placement.NewPopularity(placement.DefaultPopularity(maxAdapters), time.Now())
	return &Scheduler{
		fleet: o.Fleet, dataCentre: o.DataCentre, loader: o.Loader, budget: o.Budget, gate: o.Gate,
		publishCrash: o.Publish, ctx: context.Background(),
		placement: placement.New(placement.DefaultPolicy(), popularity, rnd),
		queue:     fairqueue.New(o.Queue), loadQueue: loadbudget.NewQueue(loadbudget.DefaultQueueConfig(), rnd),
		crashes: retry.NewCrashAttributor(), promptParts: newPromptParts(o.PublishPromptParts),
		ejectors: map[string]*retry.Ejector{}, down: map[string]bool{}, probing: map[string]bool{},
		incarnations: map[string]string{}, baseModels: map[string]string{}, waiters: map[string]*waiter{},
		retired: map[slotKey]time.Time{}, waiterCounts: map[adapter.Ref]int{}, queued: make(chan struct{}, 1),
	}
}

// Serve schedules waiting requests until the context ends. It implements suture.Service.
func (s *Scheduler) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	t := time.NewTimer(scheduleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.queued:
		case <-t.C:
		}
		s.mu.Lock()
		s.schedule(time.Now())
		if len(s.waiters) > 0 {
			t.Reset(scheduleInterval)
		}
		s.mu.Unlock()
	}
}

// Configure applies the engines, weights and policy of a configuration.
func (s *Scheduler) Configure(v *config.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPolicy(v.Fleet().Policy)
	for id, w := range v.Workspaces() {
		s.queue.SetWeight(id, max(w.Weight, 1))
		s.loadQueue.SetWeight(id, max(w.Weight, 1))
	}
	byModel := map[string][]string{}
	baseModels := map[string]string{}
	for id, b := range v.BackendServers() {
		if b.Kind != config.KindEngine {
			continue
		}
		capacity := b.MaxBatch
		if capacity == 0 {
			capacity = defaultMaxBatch
		}
		s.placement.SetEngine(placement.Spec{
			ID: id, BaseModel: b.BaseModel, DataCentre: b.DataCentre, Slots: b.Slots, Capacity: capacity,
		})
		s.placement.SetLeaving(id, b.Leaving)
		baseModels[id] = b.BaseModel
		byModel[b.BaseModel] = append(byModel[b.BaseModel], id)
	}
	for id := range s.baseModels {
		if _, ok := baseModels[id]; !ok {
			s.placement.RemoveEngine(id)
		}
	}
	s.baseModels = baseModels
	for model, ids := range byModel {
		if s.ejectors[model] == nil {
			s.ejectors[model] = retry.NewEjector(retry.EjectorSettings{})
		}
		s.ejectors[model].SetServers(ids)
	}
}

// HandleReport applies an engine's report. After a failed status request the engine is not used until one succeeds.
func (s *Scheduler) HandleReport(r fleet.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.down[r.EngineID] = r.Err != nil
	if r.Err == nil {
		s.updateIncarnation(r.EngineID, r.Status.Incarnation, now)
		s.placement.Report(r.EngineID, placementReport(r.Status))
		s.clearRetired(r.EngineID, r.RequestedAt, now)
	}
	if e := s.ejectors[s.baseModels[r.EngineID]]; r.Err == nil && e != nil && e.TryProbe(r.EngineID, now) {
		// The next request that fits is sent to the ejected engine; its outcome decides whether the engine returns.
		s.probing[r.EngineID] = true
	}
	s.updateEjected(r.EngineID)
	s.schedule(now)
}

// ForgetPeer removes the state of an instance whose membership has ended.
func (s *Scheduler) ForgetPeer(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RemovePeer(incarnation)
}

// updateIncarnation records the incarnation of an engine. A change means that the engine crashed or was restarted. The
// caller holds the lock.
func (s *Scheduler) updateIncarnation(engine, incarnation string, now time.Time) {
	old := s.incarnations[engine]
	s.incarnations[engine] = incarnation
	if old == "" || old == incarnation {
		return
	}
	run := retry.EngineRun{Engine: engine, Incarnation: old}
	ids, rec := s.crashes.Crashed(run, now)
	if rec != nil && s.publishCrash != nil {
		s.publishCrash(*rec)
	}
	s.promptParts.crashed(run, ids)
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

// updateEjected tells the placement whether an engine is out of use. The caller holds the lock.
func (s *Scheduler) updateEjected(engine string) {
	e := s.ejectors[s.baseModels[engine]]
	ejected := e != nil && !e.Usable(engine) && !s.probing[engine]
	s.placement.SetEjected(engine, s.down[engine] || ejected)
}

// MergeBlame applies a record about an engine crash that was read from the log.
func (s *Scheduler) MergeBlame(rec retry.BlameRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Merge(rec, time.Now())
}

// MergePromptParts applies a record about parts of prompts that another instance has appended to the log.
func (s *Scheduler) MergePromptParts(rec retry.PromptPartRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promptParts.merge(rec)
}

// LocalService returns, for each workspace, the service that this instance has given to it since its start, divided by
// the workspace's weight. Heartbeats carry it to the peers.
func (s *Scheduler) LocalService() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.LocalService()
}

// MergePeerService applies the LocalService of a peer.
func (s *Scheduler) MergePeerService(incarnation string, service map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.MergePeer(incarnation, service)
}

// Acquire implements Router.
func (s *Scheduler) Acquire(ctx context.Context, c entry.Call) (Reservation, error) {
	w := &waiter{
		call: c, fingerprint: retry.NewFingerprint(c.Workspace, c.Adapter, c.Path, c.Body),
		result: make(chan acquireResult, 1),
	}
	id := uuid.NewString()
	if err := s.enqueue(id, w); err != nil {
		return Reservation{}, err
	}
	select {
	case r := <-w.result:
		return r.reservation, r.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := s.queue.Cancel(id)
	if waiting {
		s.removeWaiter(id)
	}
	s.mu.Unlock()
	if !waiting {
		// The wait ended at the same moment. If it ended with a reservation, that is released unused.
		if r := <-w.result; r.err == nil {
			r.reservation.Release(Outcome{Err: errUnused})
		}
	}
	return Reservation{}, verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusGatewayTimeout, "deadline", "the request ended while it waited for an engine")
}

var errUnused = verdict.New(verdict.NotRun, http.StatusGatewayTimeout, "deadline", "the reservation was not used")

func (s *Scheduler) enqueue(id string, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.crashes.Check(w.fingerprint, now); err != nil {
		return err
	}
	if err := s.promptParts.check(w.call.PromptParts); err != nil {
		return err
	}
	s.placement.Requested(w.call.Adapter, 1, now)
	displaced, err := s.queue.Enqueue(fairqueue.Request{
		ID: id, Workspace: w.call.Workspace, Adapter: w.call.Adapter, Class: w.call.Class, Worth: w.call.Worth,
		Tokens: float64(w.call.Tokens), Arrived: now, Deadline: w.call.Deadline,
	}, now)
	if err != nil {
		return err
	}
	s.waiters[id] = w
	s.addWaiters(w.call.Adapter, 1)
	select {
	case s.queued <- struct{}{}:
	default:
	}
	if displaced != nil {
		s.finishWait(displaced.ID, acquireResult{err: fairqueue.DisplacedError()})
	}
	s.schedule(now)
	return nil
}

// finishWait ends the wait of a request with a result. The caller holds the lock.
func (s *Scheduler) finishWait(id string, r acquireResult) {
	if w := s.waiters[id]; w != nil {
		w.result <- r
		s.removeWaiter(id)
	}
}

// removeWaiter removes a waiter, and cancels the load of its adapter version if no other request waits for it. The
// caller holds the lock.
func (s *Scheduler) removeWaiter(id string) {
	w := s.waiters[id]
	delete(s.waiters, id)
	s.addWaiters(w.call.Adapter, -1)
}

// addWaiters changes the number of waiters of an adapter version. The caller holds the lock.
func (s *Scheduler) addWaiters(a adapter.Ref, n int) {
	s.waiterCounts[a] += n
	s.placement.SetWaiting(a, s.waiterCounts[a])
	if s.waiterCounts[a] == 0 {
		delete(s.waiterCounts, a)
		s.loadQueue.Cancel(a)
	}
}

// schedule expires and dispatches queued requests and starts loads. The caller holds the lock.
func (s *Scheduler) schedule(now time.Time) {
	for _, expired := range s.queue.Expire(now) {
		s.finishWait(expired.ID, acquireResult{err: fairqueue.ExpiredError()})
	}
	for {
		r, ok := s.queue.Next(now, func(r *fairqueue.Request) fairqueue.Fit { return s.checkFit(r, now) })
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

// checkFit reports whether a request can be dispatched now, and queues a load if its adapter version is missing or
// needs a replica. The caller holds the lock.
func (s *Scheduler) checkFit(r *fairqueue.Request, now time.Time) fairqueue.Fit {
	w := s.waiters[r.ID]
	if w == nil {
		return fairqueue.Blocked
	}
	d := s.decide(w, now)
	w.decision = d
	if d.Action == placement.NeedLoad || d.Replicate {
		due := s.loadQueue.Due(r.Class, r.Arrived, r.Deadline)
		if due.After(now) && s.placement.HasFreeSlot(s.placementRequest(&w.call)) {
			due = now // a load into a free slot evicts nothing
		}
		s.loadQueue.Enqueue(r.Adapter, r.Workspace, s.waiterCounts[r.Adapter], 0, due, now)
	}
	if d.Action != placement.Dispatch || d.Full {
		return fairqueue.Blocked
	}
	if !s.crashes.MayStart(w.fingerprint, retry.EngineRun{Engine: d.Engine, Incarnation: d.Incarnation}, now) {
		return fairqueue.Blocked
	}
	return fairqueue.Resident
}

// decide chooses an engine where the request's adapter version is not retired. The caller holds the lock.
func (s *Scheduler) decide(w *waiter, now time.Time) placement.Decision {
	for {
		d := s.placement.Decide(s.placementRequest(&w.call), now)
		k := slotKey{d.Engine, w.call.Adapter}
		if d.Action != placement.Dispatch {
			return d
		}
		if s.gate.Retired(k.engine, k.adapter) {
			s.markRetired(k)
		} else if _, marked := s.retired[k]; !marked {
			return d
		}
		// A report sampled before the eviction may have added the slot again without the mark.
		s.placement.Retire(k.engine, k.adapter)
	}
}

// Retire records that the owner of an engine is about to evict an adapter version. No request is placed on that slot
// until the eviction is over and a report requested after that has arrived, since the adapter version may be gone.
func (s *Scheduler) Retire(engine string, a adapter.Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markRetired(slotKey{engine, a})
}

// markRetired marks a slot as retired. The caller holds the lock.
func (s *Scheduler) markRetired(k slotKey) {
	s.retired[k] = time.Time{}
	s.placement.Retire(k.engine, k.adapter)
}

// clearRetired removes the marks of those retired slots of an engine that the gate allowed again before the report was
// requested. The caller holds the lock.
func (s *Scheduler) clearRetired(engine string, requestedAt, now time.Time) {
	for k, allowedSince := range s.retired {
		switch {
		case k.engine != engine:
		case s.gate.Retired(k.engine, k.adapter):
			s.retired[k] = time.Time{}
		case allowedSince.IsZero():
			s.retired[k] = now
		case requestedAt.After(allowedSince):
			delete(s.retired, k)
			s.placement.Unretire(k.engine, k.adapter)
		}
	}
}

// PickVictim chooses which of the candidates to evict from an engine that this instance owns.
func (s *Scheduler) PickVictim(engine string, candidates []adapter.Ref, preferred adapter.Ref) (adapter.Ref, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placement.ChooseVictim(engine, candidates, preferred, time.Now())
}

// dispatch reserves capacity for a request that checkFit accepted. The caller holds the lock.
func (s *Scheduler) dispatch(r fairqueue.Request, now time.Time) {
	w := s.waiters[r.ID]
	d := w.decision
	engine := s.fleet.Engine(d.Engine)
	if engine == nil {
		s.queue.Complete(r.ID, 0, now)
		s.finishWait(r.ID, acquireResult{err: errNoEngine})
		return
	}
	if err := s.promptParts.check(w.call.PromptParts); err != nil {
		s.queue.Complete(r.ID, 0, now)
		s.finishWait(r.ID, acquireResult{err: err})
		return
	}
	run := retry.EngineRun{Engine: d.Engine, Incarnation: d.Incarnation}
	s.placement.Started(d.Engine, r.Adapter, now)
	if s.probing[d.Engine] {
		delete(s.probing, d.Engine)
		s.updateEjected(d.Engine)
	}
	s.crashes.Started(r.ID, w.fingerprint, run)
	s.promptParts.attemptStarted(r.ID, w.call.PromptParts)
	var once sync.Once
	release := func(o Outcome) { once.Do(func() { s.release(r, run, o) }) }
	s.finishWait(r.ID, acquireResult{reservation: Reservation{Engine: engine, Release: release, Answering: func() { s.answering(r.ID) }}})
}

// answering records that an attempt began to be answered.
func (s *Scheduler) answering(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promptParts.answering(id)
}

// release returns the capacity of an ended attempt and records its outcome.
func (s *Scheduler) release(r fairqueue.Request, run retry.EngineRun, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.queue.Complete(r.ID, float64(o.Tokens), now)
	s.placement.Finished(run.Engine, r.Adapter, now)
	s.promptParts.attemptEnded(r.ID, o.Err == nil)
	for _, rec := range s.crashes.Finished(r.ID, run, o.Err == nil) {
		if s.publishCrash != nil {
			s.publishCrash(rec)
		}
	}
	if e := s.ejectors[s.baseModels[run.Engine]]; e != nil && !o.refused() {
		e.RecordResult(run.Engine, o.Err == nil, now)
		s.updateEjected(run.Engine)
	}
	s.schedule(now)
}

var errNoEngine = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_engine", "no engine can take the request now").
	WithRetryAfter(retryAfter)
