package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPending is how many adapters may be on their way to a worker at the same time.
const maxPending = 4

// EngineSize is what the workers of an engine hold, as the configuration says it.
type EngineSize struct {
	Model                                string
	ModelMB, WeightsMB, AdapterMB        float64
	AdapterSlots, Slots, MemoryTokens    int
	ModelLoad, AdapterLoad, EventGap     time.Duration
	Events                               int
	RestartAfter, HeartbeatEvery, Expiry time.Duration
}

// EngineRecord is something that an engine worker has seen.
type EngineRecord struct {
	At     time.Time
	Worker string
	What   string
}

// Engine is the place of a worker of an engine: its process, and the ones that follow after crashes, each with a new ID. A
// worker that is ordered to load more than it holds crashes.
type Engine struct {
	Size    EngineSize
	Service string
	Zone    string
	Store   *Store
	// Crashes reports whether a request crashes the process that begins to run it, right after its first event, or before it if
	// CrashesAtOnce is set. It is nil if none does.
	Crashes       func(r *http.Request) bool
	CrashesAtOnce bool
	// OnRecord is called for each record.
	OnRecord func(EngineRecord)

	mu sync.Mutex
	// number counts the processes.
	number  int
	process *engineProcess
	// overloads are the orders that loaded more than the worker holds.
	overloads []string
}

// engineProcess is one process of a worker.
type engineProcess struct {
	e       *Engine
	id      string
	address string
	born    int64
	server  *http.Server

	mu sync.Mutex
	// dead is set once the process has crashed.
	dead     bool
	seq      int64
	fence    int64
	hasModel bool
	busy     bool
	adapters map[string]int64
	pending  map[string]int64
	running  map[string]int
}

// Start starts the first process, which holds the model.
func (e *Engine) Start() error { return e.startProcess(true) }

func (e *Engine) startProcess(hasModel bool) error {
	l, err := Listen()
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.number++
	p := &engineProcess{
		e: e, id: fmt.Sprintf("i-%s-%d", e.Zone, e.number), address: l.Addr().String(), born: time.Now().UnixMilli(), hasModel: hasModel,
		adapters: map[string]int64{}, pending: map[string]int64{}, running: map[string]int{},
	}
	e.process = p
	e.mu.Unlock()
	p.server = &http.Server{Handler: p}
	go func() {
		// It ends with the process.
		_ = p.server.Serve(l)
	}()
	go p.report()
	return nil
}

// Overloads returns the orders that loaded more than the worker holds.
func (e *Engine) Overloads() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.overloads...)
}

// Address returns the address of the worker's process.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.address
}

func (p *engineProcess) record(format string, args ...any) {
	p.e.OnRecord(EngineRecord{time.Now(), p.id, fmt.Sprintf(format, args...)})
}

// report writes the worker's entry until the process has crashed, and lets the entry expire then.
func (p *engineProcess) report() {
	for {
		p.mu.Lock()
		dead, entry := p.dead, p.entry()
		p.mu.Unlock()
		if dead {
			break
		}
		if err := p.e.Store.Put("keyed.servers", p.id, entry); err != nil {
			p.record("entry not written: %v", err)
		}
		time.Sleep(p.e.Size.HeartbeatEvery)
	}
	time.Sleep(p.e.Size.Expiry)
	if err := p.e.Store.Put("keyed.servers", p.id, nil); err != nil {
		p.record("entry not removed: %v", err)
	}
}

// entry returns the worker's record in the store. The lock is held.
func (p *engineProcess) entry() map[string]any {
	return map[string]any{
		"service": p.e.Service, "address": p.address, "zone": p.e.Zone, "version": "1", "slots": p.e.Size.Slots, "state": "ready",
		"coldRemainingMs": 0, "seq": p.seq, "born": p.born, "stage": "colocated", "models": p.models(),
	}
}

// models returns what the worker holds. The lock is held.
func (p *engineProcess) models() []map[string]any {
	if !p.hasModel {
		return []map[string]any{}
	}
	names := []string{}
	for name, version := range p.adapters {
		names = append(names, name+"@"+strconv.FormatInt(version, 10))
	}
	return []map[string]any{{"name": p.e.Size.Model, "version": 1, "adapters": names}}
}

// ServeHTTP implements http.Handler.
func (p *engineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == callPrefix+"report":
		p.mu.Lock()
		pending := []string{}
		for name, version := range p.pending {
			pending = append(pending, p.e.Size.Model+"/"+name+"@"+strconv.FormatInt(version, 10))
		}
		body := map[string]any{
			"stage": "colocated", "models": p.models(), "busy": p.busy, "seq": p.seq, "queued": 0, "running": len(p.running), "kvUsed": 0,
			"kvTotal": p.e.Size.MemoryTokens, "handles": 0, "pending": pending,
		}
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, body)
	case r.URL.Path == callPrefix+"order":
		p.order(w, r)
	case strings.HasPrefix(r.URL.Path, callPrefix):
		w.WriteHeader(http.StatusNotFound)
	default:
		p.generate(w, r)
	}
}

type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int64  `json:"version"`
	Precondition *int64 `json:"precondition"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
}

func (p *engineProcess) order(w http.ResponseWriter, r *http.Request) {
	var o order
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil || o.Holder == "" || o.FencingToken == 0 || o.Model != p.e.Size.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	status := p.carryOut(o)
	seq, overload := p.seq, status == statusCrash
	p.mu.Unlock()
	p.record("order %s %s/%s@%d of %s fence %d: %d, seq %d", o.Operation, o.Model, o.Adapter, o.Version, o.Holder, o.FencingToken, status, seq)
	if overload {
		p.crash(o)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// statusCrash stands for an order that crashes the worker.
const statusCrash = 0

// carryOut carries an order out and returns the status of its answer. The lock is held.
func (p *engineProcess) carryOut(o order) int {
	switch {
	case p.dead:
		return http.StatusServiceUnavailable
	case o.FencingToken < p.fence:
		return http.StatusPreconditionFailed
	}
	p.fence = o.FencingToken
	if p.holds(o) {
		return http.StatusOK
	}
	if _, loading := p.pending[o.Adapter]; loading && o.Operation == "load" {
		return http.StatusAccepted
	}
	if p.busy || o.Precondition != nil && *o.Precondition != p.seq || len(p.pending) >= maxPending {
		return http.StatusConflict
	}
	switch {
	case o.Operation == "load" && o.Adapter == "":
		p.seq++
		p.busy = true
		p.after(p.e.Size.ModelLoad, func() { p.busy, p.hasModel = false, true })
		return http.StatusAccepted
	case o.Operation == "load" && p.hasModel:
		p.seq++
		p.pending[o.Adapter] = max(1, o.Version)
		if p.overloaded() {
			return statusCrash
		}
		p.after(p.e.Size.AdapterLoad, func() {
			p.adapters[o.Adapter] = p.pending[o.Adapter]
			delete(p.pending, o.Adapter)
		})
		return http.StatusAccepted
	case o.Operation == "unload" && o.Adapter != "" && p.running[o.Adapter] == 0:
		p.seq++
		delete(p.adapters, o.Adapter)
		return http.StatusOK
	}
	return http.StatusConflict
}

// holds reports whether what an order asks for holds already. The lock is held.
func (p *engineProcess) holds(o order) bool {
	version, held := p.adapters[o.Adapter]
	_, loading := p.pending[o.Adapter]
	switch {
	case o.Operation == "load" && o.Adapter == "":
		return p.hasModel
	case o.Operation == "load":
		return held && version >= o.Version
	default:
		return o.Adapter != "" && !held && !loading
	}
}

// held returns the adapters that the worker holds or loads, and the megabytes of all weights. The lock is held.
func (p *engineProcess) held() (adapters int, mb float64) {
	adapters = len(p.adapters)
	for name := range p.pending {
		if _, replaced := p.adapters[name]; !replaced {
			adapters++
		}
	}
	return adapters, p.e.Size.ModelMB + float64(adapters)*p.e.Size.AdapterMB
}

// overloaded reports whether the worker has been ordered to load more than it holds. The lock is held.
func (p *engineProcess) overloaded() bool {
	adapters, mb := p.held()
	return adapters > p.e.Size.AdapterSlots || mb > p.e.Size.WeightsMB
}

// after calls f with the lock held after some time, unless the process has crashed by then.
func (p *engineProcess) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.dead {
			f()
		}
	})
}

// crash ends the process since an order loads more than it holds.
func (p *engineProcess) crash(o order) {
	p.mu.Lock()
	adapters, mb := p.held()
	what := fmt.Sprintf("%s: the order to load %s/%s by %s makes %d adapters and %.0f MB; the worker holds %d adapters and %.0f MB",
		p.id, o.Model, o.Adapter, o.Holder, adapters, mb, p.e.Size.AdapterSlots, p.e.Size.WeightsMB)
	p.mu.Unlock()
	p.record("CRASH %s", what)
	p.e.mu.Lock()
	p.e.overloads = append(p.e.overloads, what)
	p.e.mu.Unlock()
	p.end()
}

// end ends the process; another one starts later, empty.
func (p *engineProcess) end() {
	p.mu.Lock()
	first := !p.dead
	p.dead = true
	p.mu.Unlock()
	if !first {
		return
	}
	// The connections are reset; no error matters to a crashed process.
	_ = p.server.Close()
	time.AfterFunc(p.e.Size.RestartAfter, func() {
		if err := p.e.startProcess(false); err != nil {
			p.record("not restarted: %v", err)
		}
	})
}

func (p *engineProcess) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// generate answers a request with a stream of events.
func (p *engineProcess) generate(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	p.mu.Lock()
	version, held := p.adapters[adapter]
	expected := r.Header.Get("X-Expect-Version")
	ok := !p.dead && p.hasModel && model == p.e.Size.Model && (adapter == "" || held) && (expected == "" || expected == strconv.FormatInt(version, 10))
	if ok {
		p.running[adapter]++
	}
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.record("run %s %s", attempt, r.Header.Get("X-Model"))
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running[adapter]--
	}()
	w.Header().Set("X-Server-Stamp", "stamp-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	if p.e.CrashesAtOnce && p.crashedBy(r) {
		panic(http.ErrAbortHandler)
	}
	for n := 1; n <= p.e.Size.Events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(p.e.Size.EventGap):
		}
		if n == 1 && !p.e.CrashesAtOnce {
			p.crashedBy(r)
		}
		if p.isDead() {
			panic(http.ErrAbortHandler)
		}
	}
}

// crashedBy ends the process if a request that it runs crashes it, and reports whether it does.
func (p *engineProcess) crashedBy(r *http.Request) bool {
	if p.e.Crashes == nil || !p.e.Crashes(r) {
		return false
	}
	p.mu.Lock()
	others := -1
	for _, n := range p.running {
		others += n
	}
	p.mu.Unlock()
	p.record("CRASH by %s; %d others were running", r.Header.Get("X-Attempt-Id"), others)
	p.end()
	return true
}
