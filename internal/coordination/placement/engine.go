package placement

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Spec is what the configuration says of an engine.
type Spec struct {
	ID         string
	BaseModel  string
	DataCentre string
	Role       Role
	// Slots is how many adapters the engine holds at once.
	Slots int
	// Capacity is the engine's batch limit in requests.
	Capacity int
}

// ReportedSlot is one occupied slot of a Report.
type ReportedSlot struct {
	Adapter adapter.Ref
	// Running counts the requests that the adapter served when the report was sampled.
	Running int
}

// Report is an engine's report of itself. It lags.
type Report struct {
	Incarnation string
	// Sequence grows with each report of an incarnation; an older report is ignored.
	Sequence  uint64
	Resident  []ReportedSlot
	Running   int
	Queued    int
	Leaving   bool
	SampledAt time.Time
}

// Slot is one adapter on one engine.
type Slot struct {
	Adapter adapter.Ref
	hash    uint64
	engine  *Engine
	copies  *copies
	at      int // index in copies.slots
	// resident is false while the adapter is being loaded.
	resident bool
	retired  bool
	inFlight int
	// others counts requests of other instances according to the last report.
	others   int
	changed  time.Time // when the slot was last loaded or ordered
	reported bool      // scratch of Report
}

// Engine is one engine as this instance sees it.
type Engine struct {
	spec        Spec
	role        Role
	incarnation string
	sequence    uint64
	leaving     bool // by configuration or the platform's list
	selfLeaving bool // by the engine's own report, until its incarnation changes
	ejected     bool
	slots       []*Slot
	removed     []removal
	idle        int // slots that may be evicted
	pool        *pool
	at          int // index in pool.engines, -1 when unusable
	reported    int
	own         ownLoad
	prefixes    prefixCache
}

// removal remembers an adapter that was removed, until a report that was sampled later arrives, so
// that a lagging report does not bring it back.
type removal struct {
	adapter adapter.Ref
	at      time.Time
}

// removedAfter reports whether the adapter was removed at or after the sample time.
func (e *Engine) removedAfter(a adapter.Ref, sampled time.Time) bool {
	for _, r := range e.removed {
		if r.adapter == a && !r.at.Before(sampled) {
			return true
		}
	}
	return false
}

// Load returns the estimated running and queued requests: the last report plus what this instance
// has dispatched less what it has seen finish since the report was sampled.
func (e *Engine) Load() int { return max(0, e.reported+e.own.since) }

// ID returns the engine's identifier.
func (e *Engine) ID() string { return e.spec.ID }

// evictable reports whether the slot may be given up: resident, without a request in flight.
func (s *Slot) evictable() bool {
	return s.resident && !s.retired && s.inFlight == 0 && s.others == 0
}

const (
	// ownBuckets and ownBucket cover 3.2 s, more than the 2 s after which a report of a polled
	// engine counts as missing. Older changes stay in the sum until the next report.
	ownBuckets = 32
	ownBucket  = 100 * time.Millisecond
)

// ownLoad is the change of this instance's requests in flight on an engine since the last report,
// in buckets of time so that a lagging report removes only what it already counts.
type ownLoad struct {
	since  int
	bucket [ownBuckets]int32
	stamp  [ownBuckets]int64
}

func (o *ownLoad) add(n int, now time.Time) {
	b := now.UnixNano() / int64(ownBucket)
	i := b % ownBuckets
	if o.stamp[i] != b {
		o.stamp[i], o.bucket[i] = b, 0
	}
	o.bucket[i] += int32(n)
	o.since += n
}

// sampled drops the changes up to the sample time. Changes in the bucket of the sample itself count
// as later, which overstates the load for one report at most.
func (o *ownLoad) sampled(t time.Time) {
	b := t.UnixNano() / int64(ownBucket)
	o.since = 0
	for i := range o.bucket {
		if o.stamp[i] < b {
			o.bucket[i] = 0
		}
		o.since += int(o.bucket[i])
	}
}
