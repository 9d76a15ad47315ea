// Package engine simulates a model engine with continuous batching. It holds adapters in a fixed number of
// slots, loads them from a weight store, and streams, resumes and cancels requests. It can be made to fail,
// crash and restart. Each generated token names the adapter version and the request.
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

// resumeGrace is how long a request without a reader keeps running so that its stream can be resumed, and how
// long the result of a finished request can be read.
const resumeGrace = 5 * time.Second

// Options configure an engine.
type Options struct {
	// Slots is the number of adapters that can be resident at once.
	Slots int
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// Prefill is the time before the first token.
	Prefill time.Duration
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders whose fencing token is older than the newest it has seen.
	ChecksFence bool
	// CrashMarker, if not empty, makes the engine crash when it runs a prompt that contains it.
	CrashMarker string
	// OnStart, if not nil, is called synchronously, with the engine locked, when a request begins to run.
	OnStart func(StartedRequest)
	// Store supplies the adapters; if nil, loads complete at once.
	Store *weightstore.Store
}

// refusalError is the refusal of a request or an order, with its HTTP status and error code.
type refusalError struct {
	status int
	code   string
}

func (e *refusalError) Error() string { return e.code }

// StartedRequest describes a request that began to run.
type StartedRequest struct {
	// ID identifies the attempt.
	ID      string
	Adapter adapter.Ref
	Prompt  string
	// Submitted is when the request reached the engine.
	Submitted time.Time
	Started   time.Time
}

// request is a completion request and its output so far.
type request struct {
	id           string
	ref          adapter.Ref
	priority     backend.Priority
	arrival      uint64
	submitted    time.Time
	prompt       string
	promptTokens int
	maxTokens    int
	crashes      bool
	tokens       []string
	finished     bool
	failed       bool
	readers      int
	changed      chan struct{}
	cancel       context.CancelFunc
	started      chan struct{}
}

// Engine is a simulated engine. It is safe for concurrent use.
type Engine struct {
	opts Options

	mu          sync.Mutex
	incarnation string
	sequence    uint64
	fence       uint64
	slots       map[adapter.Ref]bool // true if loaded, false while loading
	requests    map[string]*request
	queue       []*request
	running     int
	nextArrival uint64
	leaving     bool
	events      []backend.CacheEvent
	evictedBusy int
	failing     bool
	crashes     int
	ctx         context.Context
	cancel      context.CancelFunc
}

// New returns an engine without resident adapters.
func New(o Options) *Engine {
	e := &Engine{opts: o}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
	return e
}

// restart ends all requests, empties the slots and begins a new incarnation. The caller holds the lock.
func (e *Engine) restart() {
	if e.cancel != nil {
		e.cancel()
	}
	for _, r := range e.requests {
		r.failed = true
		r.cancel()
		r.notify()
	}
	e.incarnation = uuid.NewString()
	e.sequence = 0
	e.slots = map[adapter.Ref]bool{}
	e.requests = map[string]*request{}
	e.queue = nil
	e.running = 0
	e.ctx, e.cancel = context.WithCancel(context.Background())
}

// Crash ends all requests and restarts the engine without resident adapters.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.restart()
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Resident returns the number of loaded adapters.
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

// SetLeaving sets whether the engine's status announces that it is about to stop.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFailing sets whether the engine answers every completion with an internal error.
func (e *Engine) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// EvictedBusy returns the number of evictions of an adapter that had unfinished requests. It must stay zero,
// because instances evict only idle adapters.
func (e *Engine) EvictedBusy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evictedBusy
}

// Running returns the number of requests that are running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// notify wakes the readers of a request after a change. The caller holds the engine's lock.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// submit queues a request. A refusal is a *refusalError.
func (e *Engine) submit(id string, ref adapter.Ref, p backend.Priority, prompt string, maxTokens int) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing {
		return nil, &refusalError{status: 500, code: "internal"}
	}
	if !e.slots[ref] {
		return nil, &refusalError{status: 404, code: "adapter_not_resident"}
	}
	if e.requests[id] != nil {
		return nil, &refusalError{status: 409, code: "request_exists"}
	}
	ctx, cancel := context.WithCancel(e.ctx)
	r := &request{
		id: id, ref: ref, priority: p, arrival: e.nextArrival, submitted: time.Now(),
		prompt: prompt, promptTokens: len(prompt)/4 + 1, maxTokens: maxTokens,
		crashes: e.opts.CrashMarker != "" && strings.Contains(prompt, e.opts.CrashMarker),
		changed: make(chan struct{}), cancel: cancel, started: make(chan struct{}), readers: 1,
	}
	e.nextArrival++
	e.requests[id] = r
	e.queue = append(e.queue, r)
	e.startQueued()
	e.recordPrefix(ref, prompt)
	go e.generate(ctx, r)
	return r, nil
}

// startQueued starts queued requests while the batch has room. The caller holds the lock.
func (e *Engine) startQueued() {
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
		close(r.started)
		if e.opts.OnStart != nil {
			e.opts.OnStart(StartedRequest{
				ID: r.id, Adapter: r.ref, Prompt: r.prompt, Submitted: r.submitted, Started: time.Now(),
			})
		}
	}
}

// generate produces a request's tokens one by one.
func (e *Engine) generate(ctx context.Context, r *request) {
	select {
	case <-r.started:
	case <-ctx.Done():
		e.finish(r, false, true)
		return
	}
	if r.crashes {
		e.Crash()
		return
	}
	delay := e.opts.Prefill
	for i := range r.maxTokens {
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
		r.notify()
		e.mu.Unlock()
	}
	e.finish(r, true, false)
}

// finish ends a request, and forgets it after resumeGrace.
func (e *Engine) finish(r *request, started, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests[r.id] != r {
		return
	}
	if started {
		e.running--
	} else {
		e.queue = remove(e.queue, r)
	}
	r.finished, r.failed = true, failed
	r.notify()
	e.startQueued()
	time.AfterFunc(resumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.requests[r.id] == r {
			delete(e.requests, r.id)
		}
	})
}

func remove(queue []*request, r *request) []*request {
	for i, q := range queue {
		if q == r {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// detach removes a reader, and cancels a request that has no reader and is not resumed within resumeGrace.
func (e *Engine) detach(r *request) {
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

// cancelRequest cancels a request and reports whether its id was known.
func (e *Engine) cancelRequest(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.requests[id]
	if r != nil {
		r.cancel()
	}
	return r != nil
}

// checkFence refuses an order of a former owner if ChecksFence is set. The caller holds the lock.
func (e *Engine) checkFence(fence uint64) error {
	if e.opts.ChecksFence && fence < e.fence {
		return &refusalError{status: 412, code: "old_fence"}
	}
	e.fence = max(e.fence, fence)
	return nil
}

// load makes an adapter resident. An order without an adapter only announces the owner's fencing token.
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
		return &refusalError{status: 409, code: "no_free_slot"}
	}
	e.slots[o.Adapter] = false
	incarnation := e.incarnation
	e.mu.Unlock()

	err := e.fetch(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return &refusalError{status: 503, code: "restarted"}
	}
	if err != nil {
		delete(e.slots, o.Adapter)
		return &refusalError{status: 503, code: "load_failed"}
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

// evict frees an adapter's slot, even if the adapter has unfinished requests, unless IfIdle is set.
func (e *Engine) evict(o backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o.Fence); err != nil {
		return err
	}
	unfinished := e.unfinished(o.Adapter)
	if unfinished > 0 && o.IfIdle {
		return &refusalError{status: 409, code: "adapter_busy"}
	}
	if unfinished > 0 {
		e.evictedBusy++
	}
	delete(e.slots, o.Adapter)
	return nil
}

// unfinished returns the number of an adapter's unfinished requests. The caller holds the lock.
func (e *Engine) unfinished(ref adapter.Ref) int {
	n := 0
	for _, r := range e.requests {
		if r.ref == ref && !r.finished {
			n++
		}
	}
	return n
}

// status returns the engine's report of its state.
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
			s.Resident = append(s.Resident, backend.ResidentAdapter{Adapter: ref, Running: e.unfinished(ref)})
		}
	}
	sort.Slice(s.Resident, func(i, j int) bool {
		return s.Resident[i].Adapter.String() < s.Resident[j].Adapter.String()
	})
	return s
}

// maxEvents bounds the history of cache events; older events are lost, as with a real engine.
const maxEvents = 1024

// prefixBytes is the length of the prompt prefix that is hashed.
const prefixBytes = 256

// recordPrefix records a cache event for the prompt's prefix, identified by its FNV-1a hash. The caller
// holds the lock.
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
