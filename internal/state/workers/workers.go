// Package workers maintains the set of backend servers that may receive requests, from the entries of the platform's
// registry.
package workers

import (
	"slices"
	"strings"
	"time"
)

// LoadedModel is a model that a worker has loaded, with its adapters.
type LoadedModel struct {
	Name     string
	Version  int64
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that occupies an adapter slot of a worker.
type LoadedAdapter struct {
	Name    string
	Version int64
}

// Worker is one incarnation of a backend server, as described by its registry entry.
type Worker struct {
	ID      string
	Service string
	Address string
	// DataCentre is the data centre in which the worker runs.
	DataCentre string
	// StartedMilli is the start of this incarnation in Unix milliseconds. A worker may restart under the same ID; it
	// then has none of the models and adapters that it had loaded before.
	StartedMilli int64
	Slots        int
	Draining     bool
	// Seq is the number of orders that the worker has accepted.
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

// Entry is one change in the registry. A nil Worker means that the entry was removed, unless Unreadable is set.
type Entry struct {
	ID     string
	Worker *Worker
	// Unreadable says why the entry does not describe a worker, although it was not removed: another writer may have
	// appended it. The ID is empty if the entry has no readable one.
	Unreadable error
}

// expiryGrace is how long after the registry's recovery a worker stays in use whose entry expired during the outage.
// Live workers restore their entries within two seconds of the recovery.
const expiryGrace = 2 * time.Second

type registered struct {
	worker *Worker
	// removeAt is when a worker whose entry expired during an outage is removed; zero while the entry exists.
	removeAt time.Time
}

// Registry holds the workers by ID. It is not safe for concurrent use.
type Registry struct {
	workers map[string]*registered
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{workers: map[string]*registered{}} }

// Apply applies one change and reports whether the set of usable workers changed. recovered is when the registry
// recovered from its latest outage, zero if there was none. An entry that is removed shortly after that may only have
// expired, so its worker stays until expiryGrace after the recovery, unless it was draining. An unreadable entry says
// nothing about the worker with its ID, whose earlier entry remains in force.
func (r *Registry) Apply(e Entry, recovered, now time.Time) bool {
	if e.Unreadable != nil {
		return false
	}
	old := r.workers[e.ID]
	if e.Worker != nil {
		r.workers[e.ID] = &registered{worker: e.Worker}
		return old == nil || changed(old.worker, e.Worker)
	}
	if old == nil {
		return false
	}
	if end := recovered.Add(expiryGrace); !recovered.IsZero() && now.Before(end) && !old.worker.Draining {
		old.removeAt = end
		return false
	}
	delete(r.workers, e.ID)
	return true
}

// Replace applies a snapshot of the whole registry: workers without an entry in it are removed as in Apply. A worker whose
// entry is unreadable there may have been removed before; it stays until expiryGrace from now, within which a live one
// writes its entry again.
func (r *Registry) Replace(entries []Entry, recovered, now time.Time) {
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = e.Worker != nil || e.Unreadable != nil
		if reg := r.workers[e.ID]; reg != nil && e.Unreadable != nil && reg.removeAt.IsZero() {
			reg.removeAt = now.Add(expiryGrace)
		}
		r.Apply(e, recovered, now)
	}
	for id := range r.workers {
		if !present[id] {
			r.Apply(Entry{ID: id}, recovered, now)
		}
	}
}

// NextExpiry returns when Expire next removes a worker, and false if every worker has an entry.
func (r *Registry) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, reg := range r.workers {
		if !reg.removeAt.IsZero() && (next.IsZero() || reg.removeAt.Before(next)) {
			next = reg.removeAt
		}
	}
	return next, !next.IsZero()
}

// Expire removes the workers whose grace period is over and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	removed := false
	for id, reg := range r.workers {
		if !reg.removeAt.IsZero() && !now.Before(reg.removeAt) {
			delete(r.workers, id)
			removed = true
		}
	}
	return removed
}

// changed reports whether two descriptions of a worker differ in what decides where requests are sent.
func changed(a, b *Worker) bool {
	return a.StartedMilli != b.StartedMilli || a.Address != b.Address || a.Service != b.Service || a.Draining != b.Draining
}

// Set is an immutable snapshot of the workers.
type Set struct {
	all       []*Worker
	byID      map[string]*Worker
	byService map[string][]*Worker
}

// Snapshot returns the current workers, sorted by ID.
func (r *Registry) Snapshot() *Set {
	s := &Set{byID: map[string]*Worker{}, byService: map[string][]*Worker{}}
	for _, reg := range r.workers {
		s.all = append(s.all, reg.worker)
		s.byID[reg.worker.ID] = reg.worker
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

// Ready returns the workers of a service that may receive new requests, those that are not draining.
func (s *Set) Ready(service string) []*Worker { return s.byService[service] }
