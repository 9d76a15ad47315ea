// Package engine stands in for a model engine: it batches continuously, holds adapters in a few
// slots, loads them from a weight store, streams, resumes and cancels, and can crash, freeze or
// restart as real engines do. It generates text that names the adapter version and the request.
package engine

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/standin/weightstore"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// resumeGrace is how long a request without a reader runs on, waiting for its stream to be resumed.
const resumeGrace = 5 * time.Second

// Options describe one engine.
type Options struct {
	// Slots is how many adapters fit at once.
	Slots int
	// MaxBatch is how many requests run at once.
	MaxBatch int
	// Prefill is the time before the first token.
	Prefill time.Duration
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// CrashMarker, when not empty, crashes the engine when it runs a prompt that contains it.
	CrashMarker string
	// OnStart, when not nil, is called without delay when a request begins to run.
	OnStart func(StartedRequest)
	// Store is where adapters come from; nil loads at once.
	Store *weightstore.Store
}

// orderError is a refused order, with its HTTP status.
type orderError struct {
	status int
	code   string
}

func (e *orderError) Error() string { return e.code }

// StartedRequest tells of a request that began to run.
type StartedRequest struct {
	// ID is the attempt's id.
	ID      string
	Adapter adapter.Ref
	Prompt  string
	// Submitted is when the request reached the engine.
	Submitted time.Time
	Started   time.Time
}

type run struct {
	id       string
	ref      adapter.Ref
	priority backend.Priority
	arrival  uint64
	at       time.Time
	text     string
	prompt   int
	max      int
	crash    bool
	tokens   []string
	finished bool
	failed   bool
	readers  int
	changed  chan struct{}
	cancel   context.CancelFunc
	start    chan struct{}
}

// Engine is one engine. It is safe for concurrent use.
type Engine struct {
	opts Options

	mu          sync.Mutex
	incarnation string
	sequence    uint64
	fence       uint64
	slots       map[adapter.Ref]bool // true once loaded
	runs        map[string]*run
	queue       []*run
	running     int
	arrivals    uint64
	leaving     bool
	events      []backend.CacheEvent
	evictedBusy int
	failing     bool
	crashes     int
	life        context.Context
	end         context.CancelFunc
}

// New returns an engine without adapters.
func New(o Options) *Engine {
	e := &Engine{opts: o}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
	return e
}

// restart empties the engine. The caller holds the lock.
func (e *Engine) restart() {
	if e.end != nil {
		e.end()
	}
	for _, r := range e.runs {
		r.failed = true
		r.cancel()
		r.wake()
	}
	e.incarnation = uuid.NewString()
	e.sequence = 0
	e.slots = map[adapter.Ref]bool{}
	e.runs = map[string]*run{}
	e.queue = nil
	e.running = 0
	e.life, e.end = context.WithCancel(context.Background())
}

// Crash ends every running request and restarts the engine without adapters.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.restart()
}

// Crashes counts the crashes.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Resident counts the adapters that are loaded.
func (e *Engine) Resident() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, loaded := range e.slots {
		if loaded {
			n++
		}
	}
	return n
}

// SetLeaving announces that the engine is about to stop.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFailing makes the engine answer every completion with an internal error, or serve again.
func (e *Engine) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// EvictedBusy counts evictions of an adapter that was serving a request. It must stay zero.
func (e *Engine) EvictedBusy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evictedBusy
}

// Running counts the requests that run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// wake tells the readers of a run that it changed. The caller holds the engine's lock.
func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// submit queues a request, or says why it is refused.
func (e *Engine) submit(id string, ref adapter.Ref, p backend.Priority, prompt string, maxTokens int) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing {
		return nil, &orderError{status: 500, code: "internal"}
	}
	if !e.slots[ref] {
		return nil, &orderError{status: 404, code: "adapter_not_resident"}
	}
	if e.runs[id] != nil {
		return nil, &orderError{status: 409, code: "request_exists"}
	}
	ctx, cancel := context.WithCancel(e.life)
	r := &run{
		id: id, ref: ref, priority: p, arrival: e.arrivals, at: time.Now(), text: prompt, prompt: len(prompt)/4 + 1, max: maxTokens,
		crash:   e.opts.CrashMarker != "" && strings.Contains(prompt, e.opts.CrashMarker),
		changed: make(chan struct{}), cancel: cancel, start: make(chan struct{}), readers: 1,
	}
	e.arrivals++
	e.runs[id] = r
	e.queue = append(e.queue, r)
	e.admit()
	e.recordPrefix(ref, prompt)
	go e.generate(ctx, r)
	return r, nil
}

// admit starts queued requests while the batch has room. The caller holds the lock.
func (e *Engine) admit() {
	sort.SliceStable(e.queue, func(i, j int) bool {
		a, b := e.queue[i], e.queue[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.arrival < b.arrival
	})
	for len(e.queue) > 0 && e.running < e.opts.MaxBatch {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(r.start)
		if e.opts.OnStart != nil {
			e.opts.OnStart(StartedRequest{ID: r.id, Adapter: r.ref, Prompt: r.text, Submitted: r.at, Started: time.Now()})
		}
	}
}

// generate produces a run's tokens one by one.
func (e *Engine) generate(ctx context.Context, r *run) {
	select {
	case <-r.start:
	case <-ctx.Done():
		e.finish(r, false, true)
		return
	}
	if r.crash {
		e.Crash()
		return
	}
	delay := e.opts.Prefill
	for i := range r.max {
		t := time.NewTimer(delay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			e.finish(r, true, true)
			return
		}
		delay = e.opts.TokenTime
		e.mu.Lock()
		r.tokens = append(r.tokens, fmt.Sprintf("%s/%s/%d ", r.ref, r.id, i))
		r.wake()
		e.mu.Unlock()
	}
	e.finish(r, true, false)
}

// finish ends a run and lets its result be read for the grace time.
func (e *Engine) finish(r *run, started, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.id] != r {
		return
	}
	if started {
		e.running--
	} else {
		e.queue = remove(e.queue, r)
	}
	r.finished, r.failed = true, failed
	r.wake()
	e.admit()
	time.AfterFunc(resumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	})
}

func remove(queue []*run, r *run) []*run {
	for i, q := range queue {
		if q == r {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// detach notes that a reader left, and cancels a run that nobody resumes.
func (e *Engine) detach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.finished {
		return
	}
	time.AfterFunc(resumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.readers == 0 && !r.finished {
			r.cancel()
		}
	})
}

// cancelRun ends a request by id.
func (e *Engine) cancelRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r != nil {
		r.cancel()
	}
	return r != nil
}

// checkFence refuses an order of a former owner. The caller holds the lock.
func (e *Engine) checkFence(fence uint64) error {
	if e.opts.ChecksFence && fence < e.fence {
		return &orderError{status: 412, code: "old_fence"}
	}
	e.fence = max(e.fence, fence)
	return nil
}

// load makes an adapter resident.
func (e *Engine) load(ctx context.Context, o backend.Order) error {
	e.mu.Lock()
	if err := e.checkFence(o.Fence); err != nil {
		e.mu.Unlock()
		return err
	}
	if o.Adapter == (adapter.Ref{}) {
		e.mu.Unlock()
		return nil
	}
	if _, ok := e.slots[o.Adapter]; ok {
		e.mu.Unlock()
		return nil
	}
	if len(e.slots) >= e.opts.Slots {
		e.mu.Unlock()
		return &orderError{status: 409, code: "no_free_slot"}
	}
	e.slots[o.Adapter] = false
	incarnation := e.incarnation
	e.mu.Unlock()

	err := e.fetch(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return &orderError{status: 503, code: "restarted"}
	}
	if err != nil {
		delete(e.slots, o.Adapter)
		return &orderError{status: 503, code: "load_failed"}
	}
	e.slots[o.Adapter] = true
	return nil
}

func (e *Engine) fetch(ctx context.Context) error {
	if e.opts.Store == nil {
		return nil
	}
	return e.opts.Store.Load(ctx)
}

// evict frees an adapter's slot, also when it serves a request, unless asked to spare busy ones.
func (e *Engine) evict(o backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o.Fence); err != nil {
		return err
	}
	busy := e.busy(o.Adapter)
	if busy > 0 && o.IfIdle {
		return &orderError{status: 409, code: "adapter_busy"}
	}
	if busy > 0 {
		e.evictedBusy++
	}
	delete(e.slots, o.Adapter)
	return nil
}

// busy counts an adapter's unfinished requests. The caller holds the lock.
func (e *Engine) busy(ref adapter.Ref) int {
	n := 0
	for _, r := range e.runs {
		if r.ref == ref && !r.finished {
			n++
		}
	}
	return n
}

// status reports the engine's state.
func (e *Engine) status() backend.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	s := backend.Status{
		Incarnation: e.incarnation, Sequence: e.sequence, Slots: e.opts.Slots, Running: e.running,
		Queued: len(e.queue), Leaving: e.leaving, SampledAt: time.Now(),
	}
	for ref, loaded := range e.slots {
		if loaded {
			s.Resident = append(s.Resident, backend.ResidentAdapter{Adapter: ref, Running: e.busy(ref)})
		}
	}
	sort.Slice(s.Resident, func(i, j int) bool {
		return s.Resident[i].Adapter.String() < s.Resident[j].Adapter.String()
	})
	return s
}

// Slots of the cache event history; older events are lost, as with a real engine.
const maxEvents = 1024

// prefixBytes is how much of a prompt identifies its cached prefix.
const prefixBytes = 256

// recordPrefix notes that the prompt's prefix is now cached. The caller holds the lock.
func (e *Engine) recordPrefix(ref adapter.Ref, prompt string) {
	var hash uint64 = 14695981039346656037
	for i := 0; i < len(prompt) && i < prefixBytes; i++ {
		hash = (hash ^ uint64(prompt[i])) * 1099511628211
	}
	next := uint64(1)
	if n := len(e.events); n > 0 {
		next = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, backend.CacheEvent{Sequence: next, Adapter: ref, PrefixHash: hash, Stored: true})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}
