package action

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// envelopeOverhead is an upper bound on the bytes that the JSON encoding of an envelope adds to its ID,
// incarnation, kind and body.
const envelopeOverhead = 64

// BatchLimits holds the limits of one append.
type BatchLimits struct {
	// Records is the maximum number of records.
	Records int
	// Bytes is the maximum size. A larger group of records is appended on its own.
	Bytes int
	// Linger is how long the first record of a batch waits for more records. It limits an instance to
	// one append per Linger, unless one of the other limits is reached.
	Linger time.Duration
}

// LingerFor returns the Linger with which the given number of instances together make at most perSecond
// appends per second, as long as Records and Bytes are not reached.
func LingerFor(instances int, perSecond float64) time.Duration {
	return time.Duration(float64(instances) / perSecond * float64(time.Second))
}

// Batcher combines groups of records into appends. It neither splits nor reorders groups. It is not safe
// for concurrent use.
type Batcher struct {
	limits  BatchLimits
	batch   []record.Envelope
	bytes   int
	flushAt time.Time
}

// NewBatcher returns an empty batcher.
func NewBatcher(limits BatchLimits) *Batcher { return &Batcher{limits: limits} }

// Size returns an upper bound on the encoded size of a record.
func Size(e record.Envelope) int {
	return len(e.Kind) + len(e.ID) + len(e.Incarnation) + len(e.Body) + envelopeOverhead
}

// Add adds the records of one Append action. It returns the batches that must be appended now.
func (b *Batcher) Add(now time.Time, group []record.Envelope) [][]record.Envelope {
	size := 0
	for _, e := range group {
		size += Size(e)
	}
	var out [][]record.Envelope
	if len(b.batch) > 0 && (len(b.batch)+len(group) > b.limits.Records || b.bytes+size > b.limits.Bytes) {
		out = append(out, b.flush())
	}
	if len(b.batch) == 0 {
		b.flushAt = now.Add(b.limits.Linger)
	}
	b.batch = append(b.batch, group...)
	b.bytes += size
	if len(b.batch) >= b.limits.Records || b.bytes >= b.limits.Bytes {
		out = append(out, b.flush())
	}
	return out
}

// Due returns when Tick will return a batch, and whether one is pending.
func (b *Batcher) Due() (time.Time, bool) { return b.flushAt, len(b.batch) > 0 }

// Tick returns the pending batch if its Linger has elapsed, or nil.
func (b *Batcher) Tick(now time.Time) []record.Envelope {
	if len(b.batch) == 0 || now.Before(b.flushAt) {
		return nil
	}
	return b.flush()
}

func (b *Batcher) flush() []record.Envelope {
	batch := b.batch
	b.batch, b.bytes = nil, 0
	return batch
}
