package residency

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// entryLag is how much older than its arrival a worker's own list of adapters may be. What was learned by an
// order within that time is newer than the list.
const entryLag = 2500 * time.Millisecond

type belief struct {
	version int64
	// present is false for an adapter known to be absent.
	present bool
	learned time.Duration
}

// View are what this instance believes to be resident, from the workers' own entries and from the outcomes
// of orders and requests. A belief may be wrong: the worker rejects a request for what it does not hold.
type View struct {
	held map[workers.Key]map[Adapter]belief
}

// NewView returns an empty set.
func NewView() *View { return &View{held: map[workers.Key]map[Adapter]belief{}} }

// ApplyEntry applies a worker's own entry, received at now.
func (b *View) ApplyEntry(w *workers.Worker, now time.Duration) {
	held := map[Adapter]belief{}
	for _, m := range w.Models {
		held[Adapter{Model: m.Name}] = belief{version: m.Version, present: true, learned: now - entryLag}
		for _, a := range m.Adapters {
			held[Adapter{Model: m.Name, Name: a.Name}] = belief{version: a.Version, present: true, learned: now - entryLag}
		}
	}
	for a, was := range b.held[w.Key()] {
		if was.learned > now-entryLag {
			held[a] = was
		}
	}
	b.held[w.Key()] = held
}

// Record records that an adapter is, or is not, resident.
func (b *View) Record(k workers.Key, a Adapter, version int64, present bool, now time.Duration) {
	if b.held[k] == nil {
		b.held[k] = map[Adapter]belief{}
	}
	b.held[k][a] = belief{version: version, present: present, learned: now}
}

// Holds reports whether the worker is believed to hold the adapter in at least the version.
func (b *View) Holds(k workers.Key, a Adapter, version int64) bool {
	h, ok := b.held[k][a]
	return ok && h.present && h.version >= version
}

// Version returns the version that the worker is believed to hold.
func (b *View) Version(k workers.Key, a Adapter) int64 { return b.held[k][a].version }

// Retain drops workers that exist no more.
func (b *View) Retain(keep func(workers.Key) bool) {
	for k := range b.held {
		if !keep(k) {
			delete(b.held, k)
		}
	}
}
