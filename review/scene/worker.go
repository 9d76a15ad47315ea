package scene

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HeartbeatInterval is the time between two entries of a worker.
const HeartbeatInterval = 1200 * time.Millisecond

const workerSlots = 6

// Run is a request that a worker ran.
type Run struct {
	Worker, Service string
	Attempt         string
	Path            string
	Tenant          string
	At              time.Time
}

// Worker is a sound worker of a plain service.
type Worker struct {
	ID, Service, Zone string
	Address           string
	// Work is how long a request takes.
	Work time.Duration
	// AnswerBytes is the least length of an answer.
	AnswerBytes int

	store  *Store
	server *http.Server
	born   int64
	mu     sync.Mutex
	state  string
	ended  bool
	runs   []Run
}

// NewWorker starts a worker on a free port of a loopback address. It writes its entry at intervals.
func NewWorker(store *Store, host, id, service, zone string, work time.Duration) (*Worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Work: work,
		store: store, born: time.Now().UnixMilli(), state: "ready",
	}
	w.server = serve(l, w)
	go func() {
		for !w.hasEnded() {
			if _, err := store.Put(WorkerTopic, w.ID, w.entry()); err != nil {
				return
			}
			time.Sleep(HeartbeatInterval)
		}
	}()
	return w, nil
}

func (w *Worker) hasEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// Drain reports that the worker drains, and returns when the store has accepted that.
func (w *Worker) Drain() (time.Time, error) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	return w.store.Put(WorkerTopic, w.ID, w.entry())
}

// Exit ends the worker: its entry is removed, and its connections and its port are closed.
func (w *Worker) Exit() error {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.store.Remove(WorkerTopic, w.ID)
	return w.server.Close()
}

// entry returns the worker's entry, with all fields.
func (w *Worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": workerSlots,
		"state": w.state, "coldRemainingMs": 0, "seq": 0, "born": w.born, "models": []any{},
	}
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Instance-Id", w.ID)
	if attempt != "" {
		rw.Header().Set("X-Attempt-Id", attempt)
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.ID {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if attempt == "" {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{w.ID, w.Service, attempt, r.URL.Path, r.Header.Get("X-Tenant"), time.Now()})
	n := len(w.runs)
	w.mu.Unlock()
	time.Sleep(w.Work)
	rw.Header().Set("X-Server-Stamp", w.ID+"."+strconv.Itoa(n))
	answer := "done by " + w.ID + " of " + w.Service + "\n"
	_, _ = io.WriteString(rw, answer+strings.Repeat(".", max(0, w.AnswerBytes-len(answer))))
}

// Stranger is a server that is no worker of the platform. It answers all requests and knows none of the platform's headers.
type Stranger struct {
	Address string

	mu   sync.Mutex
	runs []Run
}

// NewStranger starts a server on a free port of a loopback address.
func NewStranger(host string) (*Stranger, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &Stranger{Address: l.Addr().String()}
	serve(l, s)
	return s, nil
}

// Runs returns the requests that the server ran.
func (s *Stranger) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *Stranger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Attempt: r.Header.Get("X-Attempt-Id"), Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant"), At: time.Now()})
	s.mu.Unlock()
	_, _ = io.WriteString(w, "done\n")
}
