package placement

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Spec is the configuration of an engine.
type Spec struct {
	ID         string
	BaseModel  string
	DataCentre string
	Role       Role
	// Slots is the number of adapters that the engine can hold at once.
	Slots int
	// Capacity is the engine's maximum batch size in requests.
	Capacity int
}

// ReportedSlot is an adapter that a Report lists as resident.
type ReportedSlot struct {
	Adapter adapter.Ref
	// Running is the number of requests that used the adapter when the report was sampled.
	Running int
}

// Report is the state of an engine as the engine itself reported it. It describes the engine at
// SampledAt, which lies in the past when the report arrives.
type Report struct {
	Incarnation string
	// Sequence increases with each report of an incarnation. A report that is not newer than the
	// last one applied is ignored.
	Sequence  uint64
	Resident  []ReportedSlot
	Running   int
	Queued    int
	Leaving   bool
	SampledAt time.Time
}

// Slot is an adapter that is resident on an engine or being loaded there.
type Slot struct {
	Adapter       adapter.Ref
	hash          uint64
	engine        *Engine
	copies        *copies
	indexInCopies int // index in copies.slots
	// resident is false while the adapter is being loaded.
	resident bool
	retired  bool
	inFlight int
	// otherInFlight is the number of requests dispatched by other instances, as of the last report.
	otherInFlight int
	changedAt     time.Time // when the load was last requested or completed
	inReport      bool      // whether the report being applied lists the adapter
}

// Engine is the state of one engine as known to this instance.
type Engine struct {
	spec           Spec
	role           Role
	incarnation    string
	sequence       uint64
	leaving        bool // set by the configuration or the platform's list
	selfLeaving    bool // set by the engine's own report, until its incarnation changes
	ejected        bool
	slots          []*Slot
	removed        []removal
	evictableSlots int // number of slots that may be evicted
	pool           *pool
	indexInPool    int // index in pool.engines, -1 while the engine takes no new work
	reportedLoad   int
	sinceReport    loadChanges
	prefixes       prefixCache
}

// removal records that an adapter was removed from an engine. It is kept until a report that was sampled
// later arrives, so that an older report does not add the adapter again.
type removal struct {
	adapter adapter.Ref
	at      time.Time
}

// removedSince reports whether the adapter was removed at or after the sample time.
func (e *Engine) removedSince(a adapter.Ref, sampledAt time.Time) bool {
	for _, r := range e.removed {
		if r.adapter == a && !r.at.Before(sampledAt) {
			return true
		}
	}
	return false
}

// Load estimates the number of running and queued requests: the last reported number, plus the requests
// that this instance has dispatched and minus those that have finished since the report was sampled.
func (e *Engine) Load() int { return max(0, e.reportedLoad+e.sinceReport.total) }

// ID returns the engine's identifier.
func (e *Engine) ID() string { return e.spec.ID }

// evictable reports whether the slot may be evicted: its adapter is resident, has no requests in flight and
// is not retired already.
func (s *Slot) evictable() bool {
	return s.resident && !s.retired && s.inFlight == 0 && s.otherInFlight == 0
}

const (
	// changeBuckets and bucketDuration cover 3.2 s, more than the 2 s after which the report of a polled
	// engine counts as missing. Older changes stay in the total until the next report.
	changeBuckets  = 32
	bucketDuration = 100 * time.Millisecond
)

// loadChanges is how much the number of this instance's requests in flight on an engine has changed since
// the last report was sampled. Changes are kept in time buckets, so that a report that arrives late removes only
// the changes that it already includes.
type loadChanges struct {
	total       int
	buckets     [changeBuckets]int32
	bucketTimes [changeBuckets]int64
}

func (c *loadChanges) add(n int, now time.Time) {
	b := now.UnixNano() / int64(bucketDuration)
	i := b % changeBuckets
	if c.bucketTimes[i] != b {
		c.bucketTimes[i], c.buckets[i] = b, 0
	}
	c.buckets[i] += int32(n)
	c.total += n
}

// dropBefore drops the changes in buckets before that of the sample time t. Changes in the bucket of t itself
// are kept, which can overstate the load until the next report.
func (c *loadChanges) dropBefore(t time.Time) {
	b := t.UnixNano() / int64(bucketDuration)
	c.total = 0
	for i := range c.buckets {
		if c.bucketTimes[i] < b {
			c.buckets[i] = 0
		}
		c.total += int(c.buckets[i])
	}
}
