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
	// Software is the version of the worker's software, which has no order. What workers of two versions write does not fit together.
	Software string
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
	// ColdRemaining is how much longer the worker stays cold, as the entry says it: it may be negative, or longer than any
	// worker of the service is cold. ColdUnreadable is set if the entry has a cold time that is not a number.
	ColdRemaining  time.Duration
	ColdUnreadable bool
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

// expiryGrace is how long after the registry's recovery a worker stays in use whose entry expired during the outage, or was
// lost in a restore.
// Live workers restore their entries within two seconds of the recovery.
const expiryGrace = 2 * time.Second

type registered struct {
	worker *Worker
	// removeAt is when a worker whose entry expired during an outage is removed; zero while the entry exists.
	removeAt time.Time
}

// Registry holds the workers by ID. It is not safe for concurrent use.
type Registry struct {
	workers    map[string]*registered
	era        int64
	departures departures
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{workers: map[string]*registered{}, departures: departures{byKey: map[Key]*departure{}}}
}

// StartEra sets the era of the log from which later entries are read. It rises when the log was restored from an older
// copy, which lacks the newest entries and has some that were removed or replaced since.
func (r *Registry) StartEra(era int64) { r.era = max(r.era, era) }

// Apply applies one change and reports whether the set of usable workers changed. recovered is when the registry
// recovered from its latest outage or restore, zero if there was none. An entry that is removed shortly after that may only
// have expired, so its worker stays until expiryGrace after the recovery, unless it was draining. An incarnation that
// was draining never becomes usable again; one whose entry was removed does by a later entry. An unreadable entry says nothing
// about the worker with its ID, whose earlier entry remains in force.
func (r *Registry) Apply(e Entry, recovered, now time.Time) bool {
	switch {
	case e.Unreadable != nil:
		return false
	case e.Worker == nil:
		return r.remove(e.ID, recovered, now)
	case r.departures.outdated(e.Worker):
		r.departures.ignore(e.Worker.Key())
		return false
	default:
		return r.put(e.Worker)
	}
}

// put registers a worker.
func (r *Registry) put(w *Worker) bool {
	old := r.workers[w.ID]
	if old != nil && old.worker.Key() != w.Key() {
		r.departures.remove(old.worker, r.era)
	}
	if w.Draining {
		r.departures.drain(w)
	} else {
		delete(r.departures.byKey, w.Key())
	}
	r.workers[w.ID] = &registered{worker: w}
	return old == nil || changed(old.worker, w)
}

// remove applies the removal of an entry.
func (r *Registry) remove(id string, recovered, now time.Time) bool {
	old := r.workers[id]
	if old == nil {
		return false
	}
	r.departures.remove(old.worker, r.era)
	if end := recovered.Add(expiryGrace); !recovered.IsZero() && now.Before(end) && !old.worker.Draining {
		if old.removeAt.IsZero() {
			old.removeAt = end
		}
		return false
	}
	delete(r.workers, id)
	return true
}

// Replace applies a snapshot of the whole registry: workers without an entry in it are removed as in Apply. An incarnation
// that was removed in an earlier era is not added again by a snapshot, only by a later entry. A worker whose entry is
// unreadable there may have been removed before; it stays until expiryGrace from now, within which a live one writes its entry
// again.
func (r *Registry) Replace(entries []Entry, recovered, now time.Time) {
	present := map[string]bool{}
	for _, e := range entries {
		switch {
		case e.Unreadable != nil:
			present[e.ID] = true
			if reg := r.workers[e.ID]; reg != nil && reg.removeAt.IsZero() {
				reg.removeAt = now.Add(expiryGrace)
			}
		case e.Worker == nil:
		case r.departures.outdatedInSnapshot(e.Worker, r.era):
			r.departures.ignore(e.Worker.Key())
			old := r.workers[e.ID]
			present[e.ID] = old != nil && old.worker.Key() == e.Worker.Key()
		default:
			r.put(e.Worker)
			present[e.ID] = true
		}
	}
	for id := range r.workers {
		if !present[id] {
			r.remove(id, recovered, now)
		}
	}
}

// TakeIgnored returns the incarnations of which entries were ignored since the last call, because they were older than
// what had been seen of them. It returns each departure of an incarnation once.
func (r *Registry) TakeIgnored() []Key {
	ignored := r.departures.ignored
	r.departures.ignored = nil
	return ignored
}

// Recovered returns when the registry recovered from its latest outage or restore, zero if there was none, after a read that was
// applied now. While reads that follow one another do not reach the end of the registry, the recovery is not over: the entries that
// workers have written again may be among those that are still to be read, so that no worker expires for lack of one.
func (r *Registry) Recovered(recovered, now time.Time, behind bool) time.Time {
	if !behind || recovered.IsZero() || !now.Before(recovered.Add(expiryGrace)) {
		return recovered
	}
	for _, reg := range r.workers {
		if !reg.removeAt.IsZero() {
			reg.removeAt = now.Add(expiryGrace)
		}
	}
	return now
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
	return a.StartedMilli != b.StartedMilli || a.Address != b.Address || a.Service != b.Service || a.Software != b.Software || a.Draining != b.Draining
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
