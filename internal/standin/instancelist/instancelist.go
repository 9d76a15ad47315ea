// Package instancelist simulates the platform's list of instances, which shows changes with a delay.
package instancelist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/platform"
)

// List is a list of instances whose readers see each change after a lag. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	versions []version
}

// version is the content of the list from a time on.
type version struct {
	visibleFrom time.Time
	instances   []platform.Instance
}

// New returns an empty list with the given lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set replaces the list. Readers see the new list after the lag; the first list is visible at once.
func (l *List) Set(instances []platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleFrom := time.Now().Add(l.lag)
	if len(l.versions) == 0 {
		visibleFrom = time.Now()
	}
	l.versions = append(l.versions, version{
		visibleFrom: visibleFrom, instances: append([]platform.Instance(nil), instances...),
	})
}

// Instances returns the list that readers see now.
func (l *List) Instances() []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].visibleFrom.After(now) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[0].instances
}

// Handler returns the HTTP interface: GET returns Instances and PUT calls Set.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the client has disconnected, so the error is ignored.
		_ = json.NewEncoder(w).Encode(l.Instances())
	})
	mux.HandleFunc("PUT /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		var instances []platform.Instance
		if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(instances)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
