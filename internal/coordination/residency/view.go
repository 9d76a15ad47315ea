package residency

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// maxEntryAge is how old the adapter list in a worker's entry may be when the entry arrives. The outcome of an
// order or a request learned within that time takes precedence over the list.
const maxEntryAge = 2500 * time.Millisecond

// observation is the last known state of one adapter at one worker.
type observation struct {
	version int64
	// present is false for an adapter known to be absent.
	present bool
	seen    time.Duration
}

// holdings is what is known of one incarnation of a worker.
type holdings struct {
	// seq is the number of orders that the worker had accepted by its latest entry.
	seq      int64
	adapters map[Adapter]observation
}

// View is this instance's view of which adapters are resident at which workers. It is built from the workers' own
// entries and from the outcomes of orders and requests. It may be stale: a worker rejects a request for an adapter
// that is not resident.
type View struct {
	workers map[workers.Key]*holdings
}

// NewView returns an empty view.
func NewView() *View { return &View{workers: map[workers.Key]*holdings{}} }

// at returns what is known of an incarnation and creates it if necessary.
func (v *View) at(k workers.Key) *holdings {
	if v.workers[k] == nil {
		v.workers[k] = &holdings{adapters: map[Adapter]observation{}}
	}
	return v.workers[k]
}

// ApplyEntry applies a worker's own entry, received at now. It returns false if the entry is older than one that was
// applied before, as in a registry that was restored from an older copy; the entry then has no effect.
func (v *View) ApplyEntry(w *workers.Worker, now time.Duration) bool {
	held := v.at(w.Key())
	if w.Seq < held.seq {
		return false
	}
	adapters := map[Adapter]observation{}
	for _, m := range w.Models {
		adapters[Adapter{Model: m.Name}] = observation{version: m.Version, present: true, seen: now - maxEntryAge}
		for _, a := range m.Adapters {
			adapters[Adapter{Model: m.Name, Name: a.Name}] =
				observation{version: a.Version, present: true, seen: now - maxEntryAge}
		}
	}
	for a, previous := range held.adapters {
		if previous.seen > now-maxEntryAge {
			adapters[a] = previous
		}
	}
	held.seq, held.adapters = w.Seq, adapters
	return true
}

// Record stores that an adapter was found resident or absent at now.
func (v *View) Record(k workers.Key, a Adapter, version int64, present bool, now time.Duration) {
	v.at(k).adapters[a] = observation{version: version, present: present, seen: now}
}

// Holds reports whether the adapter was last seen resident at the worker in at least the given version.
func (v *View) Holds(k workers.Key, a Adapter, version int64) bool {
	o, ok := v.observation(k, a)
	return ok && o.present && o.version >= version
}

// Version returns the version of the adapter that was last seen at the worker.
func (v *View) Version(k workers.Key, a Adapter) int64 {
	o, _ := v.observation(k, a)
	return o.version
}

func (v *View) observation(k workers.Key, a Adapter) (observation, bool) {
	held := v.workers[k]
	if held == nil {
		return observation{}, false
	}
	o, ok := held.adapters[a]
	return o, ok
}

// Retain drops the workers for which keep returns false.
func (v *View) Retain(keep func(workers.Key) bool) {
	for k := range v.workers {
		if !keep(k) {
			delete(v.workers, k)
		}
	}
}
