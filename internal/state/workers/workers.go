// Package workers folds the registry entries of the platform into the set of backend servers that may
// get requests.
package workers

import (
	"slices"
	"strings"
	"time"
)

// LoadedModel is a model that a worker holds, with its adapters.
type LoadedModel struct {
	Name    string
	Version int64
	// Adapters are names with their versions.
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter in a place of a worker.
type LoadedAdapter struct {
	Name    string
	Version int64
}

// Worker is one incarnation of a backend server, as it describes itself.
type Worker struct {
	ID      string
	Service string
	Address string
	// DataCentre is where the worker runs.
	DataCentre string
	// StartedMilli is the start of this incarnation in Unix milliseconds. A worker may start again under the ID
	// that it had; it then holds nothing of before.
	StartedMilli int64
	Slots        int
	Draining     bool
	// Seq is the number of orders that the worker had accepted.
	Seq    int64
	Models []LoadedModel
}

// Key identifies an incarnation of a worker.
type Key struct {
	ID           string
	StartedMilli int64
}

// Key returns the identity of the incarnation.
func (w *Worker) Key() Key { return Key{ID: w.ID, StartedMilli: w.StartedMilli} }

// Entry is one change of the registry. A nil Worker means that the entry was removed or names no worker.
type Entry struct {
	ID     string
	Worker *Worker
}

// absenceGrace is how long a worker whose entry vanished while the registry was unreachable stays in use:
// such entries are back within two seconds of the registry's return, by the platform's pages.
const absenceGrace = 2 * time.Second

type known struct {
	worker *Worker
	// goneAt is when an entry that expired during an outage is dropped; zero while the entry stands.
	goneAt time.Time
}

// Registry holds the workers. It is not safe for concurrent use.
type Registry struct {
	workers map[string]*known
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{workers: map[string]*known{}} }

// Apply applies one change. The entry of a worker that is removed shortly after the registry's return from an outage
// may only have expired, so the worker stays until the time within which live ones are back is over, and not longer.
// The return is zero if there was no outage. It reports whether the set of usable workers changed.
func (r *Registry) Apply(e Entry, returned, now time.Time) bool {
	old := r.workers[e.ID]
	if e.Worker != nil {
		r.workers[e.ID] = &known{worker: e.Worker}
		return old == nil || changed(old.worker, e.Worker)
	}
	if old == nil {
		return false
	}
	if gone := returned.Add(absenceGrace); !returned.IsZero() && now.Before(gone) && !old.worker.Draining {
		old.goneAt = gone
		return false
	}
	delete(r.workers, e.ID)
	return true
}

// Replace sets the whole registry, as read from a snapshot of it.
func (r *Registry) Replace(entries []Entry, returned, now time.Time) {
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = e.Worker != nil
		r.Apply(e, returned, now)
	}
	for id := range r.workers {
		if !present[id] {
			r.Apply(Entry{ID: id}, returned, now)
		}
	}
}

// NextExpiry returns when Expire next has something to drop, and false if nothing is kept beyond its entry.
func (r *Registry) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, k := range r.workers {
		if !k.goneAt.IsZero() && (next.IsZero() || k.goneAt.Before(next)) {
			next = k.goneAt
		}
	}
	return next, !next.IsZero()
}

// Expire drops workers whose grace is over and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	dropped := false
	for id, k := range r.workers {
		if !k.goneAt.IsZero() && !now.Before(k.goneAt) {
			delete(r.workers, id)
			dropped = true
		}
	}
	return dropped
}

func changed(a, b *Worker) bool {
	return a.StartedMilli != b.StartedMilli || a.Address != b.Address || a.Service != b.Service || a.Draining != b.Draining
}

// Set is an immutable view of the workers.
type Set struct {
	all       []*Worker
	byID      map[string]*Worker
	byService map[string][]*Worker
}

// Snapshot returns a view of the workers, sorted by ID.
func (r *Registry) Snapshot() *Set {
	s := &Set{byID: map[string]*Worker{}, byService: map[string][]*Worker{}}
	for _, k := range r.workers {
		s.all = append(s.all, k.worker)
		s.byID[k.worker.ID] = k.worker
	}
	slices.SortFunc(s.all, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	for _, w := range s.all {
		if !w.Draining {
			s.byService[w.Service] = append(s.byService[w.Service], w)
		}
	}
	return s
}

// All returns all workers, draining ones included.
func (s *Set) All() []*Worker { return s.all }

// Get returns a worker by its ID.
func (s *Set) Get(id string) (*Worker, bool) {
	w, ok := s.byID[id]
	return w, ok
}

// Ready returns the workers of a service that may get new work.
func (s *Set) Ready(service string) []*Worker { return s.byService[service] }
