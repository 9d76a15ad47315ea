// Package logservice simulates the platform's append-only log service. It keeps streams in memory and
// drops records after a retention time. Like the real service, it can be unavailable, and it can lose the
// responses to appends that took effect.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxRecordBytes bounds the size of one record.
const maxRecordBytes = 4 << 20

// maxWait bounds how long a read waits for a new record, whatever wait_ms says.
const maxWait = 30 * time.Second

// Record is a record on the wire.
type Record struct {
	Offset    uint64 `json:"offset"`
	UnixMilli int64  `json:"unix_ms"`
	Data      []byte `json:"data"`
}

// ReadResponse is the response to a read on the wire.
type ReadResponse struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// AppendResponse is the response to an append on the wire.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

type stream struct {
	first   uint64
	records []Record
	changed chan struct{}
}

// Service is a simulated log service. It is safe for concurrent use.
type Service struct {
	retention time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	// loseResponses is the number of following appends that take effect but return an error.
	loseResponses int
}

// New returns a service without records that keeps each record for the retention time.
func New(retention time.Duration) *Service {
	return &Service{retention: retention, streams: map[string]*stream{}}
}

// SetDown sets whether the service refuses every call.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseResponses makes the next n appends take effect but return a gateway timeout.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = n
}

// Records returns the records of a stream that have not expired. It also works while the service is down.
func (s *Service) Records(name string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.stream(name).records...)
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	return mux
}

// stream drops the expired records of a stream, which it creates if needed, and returns it. The caller
// holds the lock.
func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	oldest := time.Now().Add(-s.retention).UnixMilli()
	n := 0
	for n < len(st.records) && st.records[n].UnixMilli < oldest {
		n++
	}
	st.first += uint64(n)
	st.records = st.records[n:]
	return st
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "reading the record", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	st := s.stream(r.PathValue("stream"))
	offset := st.first + uint64(len(st.records))
	st.records = append(st.records, Record{Offset: offset, UnixMilli: time.Now().UnixMilli(), Data: data})
	close(st.changed)
	st.changed = make(chan struct{})
	lost := s.loseResponses > 0
	if lost {
		s.loseResponses--
	}
	s.mu.Unlock()
	if lost {
		http.Error(w, "gateway timeout", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, AppendResponse{Offset: offset})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	waitMS, err3 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil || err3 != nil || limit <= 0 {
		http.Error(w, "from, max and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		response, changed, ok := s.readNow(r.PathValue("stream"), from, limit)
		if !ok {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(response.Records) > 0 || waitMS == 0 {
			writeJSON(w, response)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) readNow(name string, from uint64, limit int) (ReadResponse, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ReadResponse{}, nil, false
	}
	st := s.stream(name)
	next := st.first + uint64(len(st.records))
	response := ReadResponse{First: st.first, Next: next}
	start := max(from, st.first)
	if start < next {
		end := min(start+uint64(limit), next)
		response.Records = append(response.Records, st.records[start-st.first:end-st.first]...)
	}
	return response, st.changed, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(v)
}
