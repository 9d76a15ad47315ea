// Package tail follows one stream of the log and appends to it.
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
	// readLimit is the largest number of records in one read.
	readLimit = 500
	// longPoll is how long a read at the tail waits for a record. It is well below the freshness
	// lease, so that each answer renews the lease in time.
	longPoll = 500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed read, which doubles. The last is well
	// below the time in which a configuration must be in force after an outage.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
)

// Handlers are what a tail reports. The functions are called in stream order from one goroutine.
type Handlers struct {
	// Records gets decoded records.
	Records func(entries []record.Entry, next uint64)
	// Gap is called when records between the wanted offset and first were dropped by retention.
	Gap func(first uint64)
	// AtTail is called when a read that was asked at the given time reached the tail.
	AtTail func(asked time.Time, next uint64)
	// Unavailable is called when a read failed.
	Unavailable func(err error)
}

// Tail follows one stream. It is safe for concurrent use.
type Tail struct {
	log    platform.Log
	stream platform.Stream
	events Handlers

	mu   sync.Mutex
	next uint64
	// moved is closed when next grows.
	moved chan struct{}
}

// New returns a tail that starts at the given offset.
func New(log platform.Log, s platform.Stream, from uint64, e Handlers) *Tail {
	return &Tail{log: log, stream: s, events: e, next: from, moved: make(chan struct{})}
}

// Next returns the offset up to which records were handed on.
func (t *Tail) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// SkipTo moves the tail forward after state up to an offset came from a peer.
func (t *Tail) SkipTo(offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(offset)
}

// advance moves the tail forward. The caller holds the lock.
func (t *Tail) advance(offset uint64) {
	if offset <= t.next {
		return
	}
	t.next = offset
	close(t.moved)
	t.moved = make(chan struct{})
}

// WaitFor waits until the records before an offset were handed on.
func (t *Tail) WaitFor(ctx context.Context, offset uint64) error {
	for {
		t.mu.Lock()
		next, moved := t.next, t.moved
		t.mu.Unlock()
		if next >= offset {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// Serve follows the stream until the context ends. It implements suture.Service.
func (t *Tail) Serve(ctx context.Context) error {
	delay := firstRetry
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if err == nil || ctx.Err() != nil {
			delay = firstRetry
			continue
		}
		t.events.Unavailable(err)
		pause(ctx, delay)
		delay = min(2*delay, lastRetry)
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readOnce reads and hands on one batch. A read that waits at the tail proves freshness only as of the
// time when it was asked.
func (t *Tail) readOnce(ctx context.Context) error {
	asked := time.Now()
	from := t.Next()
	batch, err := t.log.Read(ctx, t.stream, from, readLimit, longPoll)
	if err != nil {
		return trace.Wrap(err)
	}
	if batch.First > from {
		t.events.Gap(batch.First)
	}
	next := max(from, batch.First)
	var entries []record.Entry
	for _, r := range batch.Records {
		next = r.Offset + 1
		decoded, err := record.Decode(r.Offset, r.Time.UnixMilli(), r.Data)
		if err != nil {
			// A record that nobody can decode is skipped by every instance alike.
			continue
		}
		entries = append(entries, decoded...)
	}
	t.events.Records(entries, next)
	t.mu.Lock()
	t.advance(next)
	t.mu.Unlock()
	if next >= batch.Next {
		t.events.AtTail(asked, next)
	}
	return nil
}

// Append adds records as one append. After an error they may or may not be in the log.
func (t *Tail) Append(ctx context.Context, batch []record.Envelope) (uint64, error) {
	data, err := record.Encode(batch)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return t.log.Append(ctx, t.stream, data)
}
