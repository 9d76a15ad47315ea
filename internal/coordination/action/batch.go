package action

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// envelopeOverhead bounds the bytes that the JSON of an envelope adds to its id, incarnation, kind and
// body.
const envelopeOverhead = 64

// BatchLimits limits one append.
type BatchLimits struct {
	// Records is the largest number of records.
	Records int
	// Bytes is the largest size; a larger record goes alone.
	Bytes int
	// Linger is how long the first record waits for others. It bounds the appends of one instance
	// to one per Linger, unless the other bounds are reached.
	Linger time.Duration
}

// LingerFor returns the linger with which this many instances together make at most perSecond
// appends a second, as long as Records and Bytes are not reached.
func LingerFor(instances int, perSecond float64) time.Duration {
	return time.Duration(float64(instances) / perSecond * float64(time.Second))
}

// Batcher decides which records go into one append. Groups stay whole and in order. It is not safe for
// concurrent use.
type Batcher struct {
	bounds BatchLimits
	batch  []record.Envelope
	bytes  int
	due    time.Time
}

// NewBatcher returns an empty batcher.
func NewBatcher(b BatchLimits) *Batcher { return &Batcher{bounds: b} }

// Size estimates the encoded size of a record from above.
func Size(e record.Envelope) int {
	return len(e.Kind) + len(e.ID) + len(e.Incarnation) + len(e.Body) + envelopeOverhead
}

// Add adds the records of one Append action and returns the batches that must be appended now.
func (b *Batcher) Add(now time.Time, group []record.Envelope) [][]record.Envelope {
	size := 0
	for _, e := range group {
		size += Size(e)
	}
	var out [][]record.Envelope
	if len(b.batch) > 0 && (len(b.batch)+len(group) > b.bounds.Records || b.bytes+size > b.bounds.Bytes) {
		out = append(out, b.flush())
	}
	if len(b.batch) == 0 {
		b.due = now.Add(b.bounds.Linger)
	}
	b.batch = append(b.batch, group...)
	b.bytes += size
	if len(b.batch) >= b.bounds.Records || b.bytes >= b.bounds.Bytes {
		out = append(out, b.flush())
	}
	return out
}

// Due returns when Tick has a batch to return, and whether one waits.
func (b *Batcher) Due() (time.Time, bool) { return b.due, len(b.batch) > 0 }

// Tick returns the batch whose linger is over, or nil.
func (b *Batcher) Tick(now time.Time) []record.Envelope {
	if len(b.batch) == 0 || now.Before(b.due) {
		return nil
	}
	return b.flush()
}

func (b *Batcher) flush() []record.Envelope {
	batch := b.batch
	b.batch, b.bytes = nil, 0
	return batch
}
