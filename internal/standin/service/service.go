// Package service stands in for a plain service beside the engines: harvest lots and print orders.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 1 << 20

// Entry is one executed action.
type Entry struct {
	Number int    `json:"number"`
	Body   string `json:"body"`
	// TraceParent and At tell which call of a caller was executed, and when.
	TraceParent string    `json:"-"`
	At          time.Time `json:"-"`
}

// Service executes every POST that reaches it, also a repeated one, so that a doubled call shows. It
// is safe for concurrent use.
type Service struct {
	delay time.Duration

	mu      sync.Mutex
	entries []Entry
	headers []http.Header
}

// New returns a service that takes delay for each call.
func New(delay time.Duration) *Service { return &Service{delay: delay} }

// Entries returns the executed actions.
func (s *Service) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.entries...)
}

// Headers returns the headers of all calls, for checks that no key reached the service.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

// Handler returns the HTTP interface: POST executes an action, GET counts the executed ones.
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
			// A failed write means that the client has gone; the action stays executed.
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
