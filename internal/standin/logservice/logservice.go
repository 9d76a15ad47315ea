// Package logservice stands in for the platform's append-only log service. It keeps streams in
// memory, drops records after a retention time and can be made unavailable, slow or forgetful of
// answers, as the real service is at times.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxRecordBytes bounds one append.
const maxRecordBytes = 4 << 20

// maxWait bounds how long a read waits for a new record.
const maxWait = 30 * time.Second

// Record is the wire form of one record.
type Record struct {
	Offset    uint64 `json:"offset"`
	UnixMilli int64  `json:"unix_ms"`
	Data      []byte `json:"data"`
}

// ReadResponse is the wire form of the answer to a read.
type ReadResponse struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// AppendResponse is the wire form of the answer to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

type stream struct {
	first   uint64
	records []Record
	changed chan struct{}
}

// Service is one log service. It is safe for concurrent use.
type Service struct {
	retention time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	// loseAnswers is how many of the next appends take effect without an answer.
	loseAnswers int
}

// New returns an empty service that keeps records for the retention time.
func New(retention time.Duration) *Service {
	return &Service{retention: retention, streams: map[string]*stream{}}
}

// SetDown makes the service refuse every call, or serve again.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseResponses makes the next n appends take effect and fail all the same.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// Records returns the records of a stream that have not expired, also during an outage.
func (s *Service) Records(name string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.stream(name).records...)
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	return mux
}

// stream returns a stream without its expired records. The caller holds the lock.
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
	lost := s.loseAnswers > 0
	if lost {
		s.loseAnswers--
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
		answer, changed, ok := s.readNow(r.PathValue("stream"), from, limit)
		if !ok {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(answer.Records) > 0 || waitMS == 0 {
			writeJSON(w, answer)
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
	answer := ReadResponse{First: st.first, Next: next}
	start := max(from, st.first)
	if start < next {
		end := min(start+uint64(limit), next)
		answer.Records = append(answer.Records, st.records[start-st.first:end-st.first]...)
	}
	return answer, st.changed, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
