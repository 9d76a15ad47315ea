// Package service simulates a plain service, such as one for harvest lots or print orders.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 1 << 20

// Entry records one executed action.
type Entry struct {
	Number int    `json:"number"`
	Body   string `json:"body"`
	// TraceParent is the Traceparent header, which identifies the caller's call, and At is the time of execution.
	TraceParent string    `json:"-"`
	At          time.Time `json:"-"`
}

// Service executes every POST that reaches it, including repeated ones, so that tests detect duplicate
// calls. It is safe for concurrent use.
type Service struct {
	delay time.Duration

	mu      sync.Mutex
	entries []Entry
	headers []http.Header
}

// New returns a service whose calls each take delay.
func New(delay time.Duration) *Service { return &Service{delay: delay} }

// Entries returns the executed actions, oldest first.
func (s *Service) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.entries...)
}

// Headers returns the headers of all calls, so that tests can check that no key reached the service.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

// Handler returns the HTTP interface: POST executes an action, and other methods return the number of executed
// actions.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "reading the body", http.StatusBadRequest)
			return
		}
		wait(r, s.delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.headers = append(s.headers, r.Header.Clone())
		w.Header().Set("Content-Type", "application/json")
		if r.Method == http.MethodPost {
			e := Entry{Number: len(s.entries) + 1, Body: string(body), TraceParent: r.Header.Get("Traceparent"), At: time.Now()}
			s.entries = append(s.entries, e)
			w.WriteHeader(http.StatusCreated)
			// A write fails only if the client has disconnected; the action counts as executed all the same.
			_ = json.NewEncoder(w).Encode(e)
			return
		}
		_, _ = fmt.Fprintf(w, `{"path":%q,"executed":%d}`+"\n", r.URL.Path, len(s.entries))
	})
}

func wait(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
