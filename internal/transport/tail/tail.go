// Package tail follows a stream of the log and appends to it.
package tail

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

const (
	// readLimit is the maximum number of records in one read.
	readLimit = 500
	// longPollTimeout is how long a read at the end of the stream waits for a record. It is well below the duration of
	// the freshness lease, so that each response renews the lease in time.
	longPollTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read, which doubles with each failure. The maximum
	// is well below the time in which a configuration must be in force after an outage.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

// Handlers are the callbacks of a Tail. They are called in stream order from one goroutine.
type Handlers struct {
	// Records is called with the decoded entries of a batch and the offset after its last record.
	Records func(entries []record.Entry, next uint64)
	// Gap is called when the records between the next offset to read and first have been deleted by retention.
	Gap func(first uint64)
	// AtTail is called when a read reached the end of the stream. Its request was sent at requestedAt.
	AtTail func(requestedAt time.Time, next uint64)
	// Unavailable is called when a read has failed.
	Unavailable func(err error)
}

// Tail follows a stream of the log. It is safe for concurrent use.
type Tail struct {
	log      platform.Log
	stream   platform.Stream
	handlers Handlers

	mu sync.Mutex
	// next is the offset of the next record to read.
	next uint64
	// advanced is closed and replaced when next grows.
	advanced chan struct{}
}

// New returns a tail that starts at the given offset.
func New(log platform.Log, s platform.Stream, from uint64, h Handlers) *Tail {
	return &Tail{log: log, stream: s, handlers: h, next: from, advanced: make(chan struct{})}
}

// Next returns the offset before which all records have been passed to the handlers.
func (t *Tail) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// SkipTo advances the tail to an offset, after the state up to that offset was received from a peer.
func (t *Tail) SkipTo(offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(offset)
}

// advance raises next to an offset and wakes the waiters. The caller holds the lock.
func (t *Tail) advance(offset uint64) {
	if offset <= t.next {
		return
	}
	t.next = offset
	close(t.advanced)
	t.advanced = make(chan struct{})
}

// WaitFor waits until all records before an offset have been passed to the handlers.
func (t *Tail) WaitFor(ctx context.Context, offset uint64) error {
	for {
		t.mu.Lock()
		next, advanced := t.next, t.advanced
		t.mu.Unlock()
		if next >= offset {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// Serve follows the stream until the context ends. It implements suture.Service.
func (t *Tail) Serve(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if err == nil || ctx.Err() != nil {
			delay = minRetryDelay
			continue
		}
		t.handlers.Unavailable(err)
		sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readOnce reads one batch and passes it to the handlers. A long poll at the end of the stream proves that the state is
// fresh only as of the time of the request, not of the response.
func (t *Tail) readOnce(ctx context.Context) error {
	requestedAt := time.Now()
	from := t.Next()
	batch, err := t.log.Read(ctx, t.stream, from, readLimit, longPollTimeout)
	if err != nil {
		return trace.Wrap(err)
	}
	if batch.First > from {
		t.handlers.Gap(batch.First)
	}
	next := max(from, batch.First)
	var entries []record.Entry
	for _, r := range batch.Records {
		next = r.Offset + 1
		decoded, err := record.Decode(r.Offset, r.Time.UnixMilli(), r.Data)
		if err != nil {
			// Every instance skips a record that cannot be decoded, so their states stay the same.
			continue
		}
		entries = append(entries, decoded...)
	}
	t.handlers.Records(entries, next)
	t.mu.Lock()
	t.advance(next)
	t.mu.Unlock()
	if next >= batch.Next {
		t.handlers.AtTail(requestedAt, next)
	}
	return nil
}

// Append appends the records as one log record. After an error they may or may not be in the log.
func (t *Tail) Append(ctx context.Context, batch []record.Envelope) (uint64, error) {
	data, err := record.Encode(batch)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return t.log.Append(ctx, t.stream, data)
}
