package relay

import "time"

const (
	// batchWindow is how long a record waits for those of other instances, and urgentWindow how long an urgent one does. Each
	// batch costs two calls to the log service; the window is a small part of a lease.
	batchWindow  = 600 * time.Millisecond
	urgentWindow = 40 * time.Millisecond
	// maxBatchBytes bounds the records of one append.
	maxBatchBytes = 1 << 20
)

// MaxBatchDelay is how long a record waits at most before it is appended.
const MaxBatchDelay = batchWindow

// Batch decides when the records that a relay appends for other instances are appended. The zero value is empty.
type Batch struct {
	count, bytes int
	due          time.Duration
}

// Add adds a record and returns when the batch is to be appended.
func (b *Batch) Add(size int, urgent bool, now time.Duration) (due time.Duration) {
	window := batchWindow
	if urgent {
		window = urgentWindow
	}
	if b.count == 0 || now+window < b.due {
		b.due = now + window
	}
	b.count++
	b.bytes += size
	if b.bytes >= maxBatchBytes {
		b.due = now
	}
	return b.due
}

// Take empties the batch if it is due.
func (b *Batch) Take(now time.Duration) bool {
	if b.count == 0 || now < b.due {
		return false
	}
	*b = Batch{}
	return true
}
