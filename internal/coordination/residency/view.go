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

// View is this instance's view of which adapters are resident at which workers. It is built from the workers' own
// entries and from the outcomes of orders and requests. It may be stale: a worker rejects a request for an adapter
// that is not resident.
type View struct {
	observed map[workers.Key]map[Adapter]observation
}

// NewView returns an empty view.
func NewView() *View { return &View{observed: map[workers.Key]map[Adapter]observation{}} }

// ApplyEntry applies a worker's own entry, received at now.
func (v *View) ApplyEntry(w *workers.Worker, now time.Duration) {
	observed := map[Adapter]observation{}
	for _, m := range w.Models {
		observed[Adapter{Model: m.Name}] = observation{version: m.Version, present: true, seen: now - maxEntryAge}
		for _, a := range m.Adapters {
			observed[Adapter{Model: m.Name, Name: a.Name}] =
				observation{version: a.Version, present: true, seen: now - maxEntryAge}
		}
	}
	for a, previous := range v.observed[w.Key()] {
		if previous.seen > now-maxEntryAge {
			observed[a] = previous
		}
	}
	v.observed[w.Key()] = observed
}

// Record stores that an adapter was found resident or absent at now.
func (v *View) Record(k workers.Key, a Adapter, version int64, present bool, now time.Duration) {
	if v.observed[k] == nil {
		v.observed[k] = map[Adapter]observation{}
	}
	v.observed[k][a] = observation{version: version, present: present, seen: now}
}

// Holds reports whether the adapter was last seen resident at the worker in at least the given version.
func (v *View) Holds(k workers.Key, a Adapter, version int64) bool {
	o, ok := v.observed[k][a]
	return ok && o.present && o.version >= version
}

// Version returns the version of the adapter that was last seen at the worker.
func (v *View) Version(k workers.Key, a Adapter) int64 { return v.observed[k][a].version }

// Retain drops the workers for which keep returns false.
func (v *View) Retain(keep func(workers.Key) bool) {
	for k := range v.observed {
		if !keep(k) {
			delete(v.observed, k)
		}
	}
}
