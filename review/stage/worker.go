package stage

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is the place of a worker of a plain service: its process, and the ones that follow after crashes, each with a new ID.
// A process runs a number of requests at once, queues some more, and rejects the rest.
type Worker struct {
	Service, Zone string
	Slots, Queue  int
	// Work is how long a request takes once it runs.
	Work time.Duration
	// Crashes reports whether a request crashes the process that begins to run it; nil if none does.
	Crashes func(r *http.Request) bool
	// RestartAfter is how long after a crash the next process starts, HeartbeatEvery how often it writes its entry, and Expiry
	// how long after its last entry the store removes that.
	RestartAfter, HeartbeatEvery, Expiry time.Duration
	Store                                *Store
	// OnRecord is called for each record.
	OnRecord func(EngineRecord)

	mu     sync.Mutex
	number int
}

// workerProcess is one process of a worker.
type workerProcess struct {
	w           *Worker
	id, address string
	born        int64
	server      *http.Server
	slots       chan struct{}

	mu      sync.Mutex
	waiting int
	dead    bool
}

// Start starts a process.
func (w *Worker) Start() error {
	l, err := Listen()
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.number++
	p := &workerProcess{
		w: w, id: fmt.Sprintf("i-%s-%s-%d", w.Service, w.Zone, w.number), address: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, w.Slots),
	}
	w.mu.Unlock()
	p.server = &http.Server{Handler: p}
	go func() {
		// It ends with the process.
		_ = p.server.Serve(l)
	}()
	go p.report()
	return nil
}

func (p *workerProcess) record(format string, args ...any) {
	p.w.OnRecord(EngineRecord{time.Now(), p.id, fmt.Sprintf(format, args...)})
}

// report writes the worker's entry until the process has crashed, and lets the entry expire then.
func (p *workerProcess) report() {
	for !p.isDead() {
		entry := map[string]any{
			"service": p.w.Service, "address": p.address, "zone": p.w.Zone, "version": "1", "slots": p.w.Slots, "state": "ready",
			"coldRemainingMs": 0, "seq": 0, "born": p.born,
		}
		if err := p.w.Store.Put("keyed.servers", p.id, entry); err != nil {
			p.record("entry not written: %v", err)
		}
		time.Sleep(p.w.HeartbeatEvery)
	}
	time.Sleep(p.w.Expiry)
	if err := p.w.Store.Put("keyed.servers", p.id, nil); err != nil {
		p.record("entry not removed: %v", err)
	}
}

func (p *workerProcess) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// enter takes a place in the worker's queue, if there is one.
func (p *workerProcess) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting >= p.w.Slots+p.w.Queue {
		return false
	}
	p.waiting++
	return true
}

func (p *workerProcess) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

// crash ends the process, which resets its connections; another one starts later.
func (p *workerProcess) crash() {
	p.mu.Lock()
	first := !p.dead
	p.dead = true
	p.mu.Unlock()
	if !first {
		return
	}
	// No error matters to a crashed process.
	_ = p.server.Close()
	time.AfterFunc(p.w.RestartAfter, func() {
		if err := p.w.Start(); err != nil {
			p.record("not restarted: %v", err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (p *workerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, callPrefix) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !p.enter() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	select {
	case p.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-p.slots }()
	p.record("runs %s %s", attempt, r.URL.Path)
	if p.w.Crashes != nil && p.w.Crashes(r) {
		p.record("CRASH by %s %s", attempt, r.URL.Path)
		p.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(p.w.Work)
	if p.isDead() {
		panic(http.ErrAbortHandler)
	}
	body := []byte("done " + attempt)
	w.Header().Set("X-Server-Stamp", "stamp-"+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A caller that has left gets no answer.
	_, _ = w.Write(body)
}
