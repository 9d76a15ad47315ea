// Package instancelist stands in for the platform's list of instances, which lags behind the truth.
package instancelist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/platform"
)

// List is a list whose readers see each change after a lag. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	versions []version
}

type version struct {
	at        time.Time
	instances []platform.Instance
}

// New returns an empty list with the given lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set replaces the true list; readers see it after the lag. The first list is seen at once.
func (l *List) Set(instances []platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(l.lag)
	if len(l.versions) == 0 {
		at = time.Now()
	}
	l.versions = append(l.versions, version{at: at, instances: append([]platform.Instance(nil), instances...)})
}

// Instances returns what readers see now.
func (l *List) Instances() []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].at.After(now) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[0].instances
}

// Handler returns the HTTP interface: GET reads the lagging list and PUT replaces the true one.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has gone; there is nobody to tell.
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
