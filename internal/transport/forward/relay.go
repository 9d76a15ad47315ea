package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

const (
	// chunkBytes is the size in which events are held for a caller that is behind.
	chunkBytes = 8 << 10
	// readAheadBytes is what the second goroutine of a stream holds: its stack and a buffer.
	readAheadBytes = 8<<10 + streamBufferBytes
)

// relay passes one attempt's stream on to the caller. The request's goroutine reads events from the worker and writes them to
// the caller. When a write takes longer than callerlimits.SlowWrite, the caller is behind: a second goroutine reads ahead
// until the caller has got all events, or the stream has ended. It then returns the attempt's place at the worker.
type relay struct {
	call *call
	resp *upstream.Response
	// slow starts the second goroutine.
	slow *time.Timer

	// buf and err, the error that ended the stream, belong to the goroutine that reads.
	buf eventBuffer
	err error

	// changed is sent to when the second goroutine has added events or ended, and room when the caller has read some.
	changed, room chan struct{}

	mu sync.Mutex
	// reading is set while the second goroutine reads, and idle while the request's goroutine waits for it, since the caller has
	// got all events.
	reading, idle, closed bool
	// former is the usage of a buffer whose events are being written while the second goroutine uses another one.
	former *bytebudget.Usage
	// direct are the events in buf that are being written to the caller without a copy.
	direct []byte
	// handed are the events in buf with which the second goroutine has ended.
	handed []byte
	// queue are the chunks of events that wait for the caller, and chunk the one that is being written. Held are the bytes reserved
	// for them and for the second goroutine.
	queue [][]byte
	chunk []byte
	held  int64
	// behindSince is since when the caller is behind, zero if it is not, and behind for how long it was before.
	behindSince time.Time
	behind      time.Duration
}

func newRelay(c *call, resp *upstream.Response) *relay {
	return &relay{
		call: c, resp: resp, changed: make(chan struct{}, 1), room: make(chan struct{}, 1),
		buf: eventBuffer{data: make([]byte, 0, streamBufferBytes), memory: c.server.ResponseMemory.NewUsage(freeResponseBytes)},
	}
}

// next returns the next events for the caller, or the error that ended the stream once there are none. The events are valid
// until write returns.
func (r *relay) next() (events []byte, err error) {
	for {
		r.mu.Lock()
		switch {
		case len(r.queue) > 0:
			r.chunk, r.queue = r.queue[0], r.queue[1:]
			events = r.chunk
		case r.reading:
			r.caughtUp()
			r.idle = true
		case r.handed != nil:
			events, r.handed = r.handed, nil
			r.direct = events
		}
		waiting := r.idle
		r.mu.Unlock()
		switch {
		case events != nil:
			return events, nil
		case waiting:
			signal(r.room)
			<-r.changed
			continue
		}
		events, err = r.read()
		r.mu.Lock()
		r.direct = events
		if err != nil {
			r.caughtUp()
		}
		r.mu.Unlock()
		return events, err
	}
}

// caughtUp records that the caller is not behind any more. The lock is held.
func (r *relay) caughtUp() {
	if !r.behindSince.IsZero() {
		r.behind += time.Since(r.behindSince)
		r.behindSince = time.Time{}
	}
}

// read reads the next events from the worker. An error that comes with events is returned by the next call.
func (r *relay) read() ([]byte, error) {
	for r.err == nil {
		events, err := r.buf.read(r.resp)
		r.err = err
		if len(events) > 0 {
			r.call.eventsArrived()
			return events, nil
		}
		if err == nil && len(r.buf.data) > maxEventBytes {
			r.err = errEventTooLong
		}
	}
	return nil, r.err
}

// write writes the events that next has returned.
func (r *relay) write(events []byte) error {
	r.mu.Lock()
	// Until a resumed stream is known to go on after the last event, its end depends on the events that are written.
	timed := r.direct != nil && !r.call.resuming
	r.mu.Unlock()
	if timed {
		if r.slow == nil {
			r.slow = time.AfterFunc(callerlimits.SlowWrite, r.readAhead)
		} else {
			r.slow.Reset(callerlimits.SlowWrite)
		}
	}
	err := r.call.writeEvents(events)
	if timed {
		r.slow.Stop()
	}
	r.mu.Lock()
	if r.direct != nil {
		r.buf.consume(r.direct)
		r.direct = nil
		if !timed || !r.behindSince.IsZero() {
			// The worker was not read in the meantime: this is no pause of its own.
			r.call.lastEventAt = time.Now()
			r.caughtUp()
		}
	}
	if r.former != nil {
		r.former.Release()
		r.former = nil
	}
	r.free(int64(cap(r.chunk)))
	r.chunk = nil
	r.mu.Unlock()
	signal(r.room)
	if err == nil {
		return nil
	}
	r.call.endCause = r.call.connectionEnd()
	r.close()
	if !r.call.reported {
		r.call.outcome = Abandoned
	}
	return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, codeCallerLeft, "the caller left during the stream")
}

// readAhead reads from the worker while the caller is behind. It is called when a write takes long.
func (r *relay) readAhead() {
	r.mu.Lock()
	if r.closed || r.direct == nil || r.call.reported {
		r.mu.Unlock()
		return
	}
	r.behindSince = time.Now().Add(-callerlimits.SlowWrite)
	// Without memory for it, the worker is not read while the caller is behind.
	rest, memory := r.buf.data[len(r.direct):], r.call.server.ResponseMemory.NewUsage(freeResponseBytes)
	size := max(streamBufferBytes, len(rest))
	if !memory.Add(int64(size-streamBufferBytes)) || !r.reserve(readAheadBytes) {
		memory.Release()
		r.call.stopped = true
		r.mu.Unlock()
		return
	}
	// The events that are being written stay in the former buffer.
	r.former, r.direct, r.reading = r.buf.memory, nil, true
	r.buf = eventBuffer{data: append(make([]byte, 0, size), rest...), searched: len(rest), memory: memory}
	r.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			r.call.logPanic(p)
			r.end(nil, verdict.New(verdict.MayHaveRun, http.StatusInternalServerError, "panic", "the instance failed"))
		}
	}()
	for {
		events, err := r.read()
		if err != nil {
			r.finish(nil, err)
			return
		}
		if !r.pass(events) {
			return
		}
	}
}

// pass adds events to those that wait for the caller, and waits for room if there is none. It returns false if the second
// goroutine has to end: the caller has got all events before, or the attempt has ended.
func (r *relay) pass(events []byte) bool {
	if r.err != nil {
		r.finish(events, r.err)
		return false
	}
	for {
		r.mu.Lock()
		if r.idle {
			r.mu.Unlock()
			r.end(events, nil)
			return false
		}
		held := r.hold(events)
		r.mu.Unlock()
		if held {
			r.buf.consume(events)
			signal(r.changed)
			return true
		}
		r.call.stopped = true
		select {
		case <-r.room:
			// The worker was not read in the meantime: this is no pause of its own.
			r.call.lastEventAt = time.Now()
		case <-r.call.attemptCtx.Done():
			r.finish(events, context.Cause(r.call.attemptCtx))
			return false
		}
	}
}

// hold copies events to the queue if they may be held. The lock is held.
func (r *relay) hold(events []byte) bool {
	if last := len(r.queue) - 1; last >= 0 && cap(r.queue[last])-len(r.queue[last]) >= len(events) {
		r.queue[last] = append(r.queue[last], events...)
		return true
	}
	size := chunkBytes
	if len(events) > chunkBytes/4 {
		// Long events of similar length would leave up to half of each chunk unused.
		size = len(events)
	}
	if !r.reserve(int64(size)) {
		return false
	}
	r.queue = append(r.queue, append(make([]byte, 0, size), events...))
	return true
}

// reserve counts n more bytes that are held since the caller is behind, if that is allowed. The lock is held.
func (r *relay) reserve(n int64) bool {
	memory := r.call.server.ResponseMemory
	if !r.call.server.Unread.MayHold(r.held, memory.Used(), n) || !memory.Reserve(n) {
		return false
	}
	r.held += n
	r.call.unread = max(r.call.unread, r.held)
	return true
}

// free returns reserved bytes. The lock is held.
func (r *relay) free(n int64) {
	r.held -= n
	r.call.server.ResponseMemory.Free(n)
}

// finish reports the attempt, whose stream has ended with err, while the caller may still be reading. Events are as in end.
func (r *relay) finish(events []byte, err error) {
	c := r.call
	c.outcome, _ = c.streamEnd(r.resp, err, len(r.buf.data)-len(events))
	r.resp.Close()
	c.report(c.attemptCtx)
	r.end(events, err)
}

// end ends the second goroutine. Events are those in buf that were not added to the queue, nil if there are none.
func (r *relay) end(events []byte, err error) {
	r.mu.Lock()
	r.handed, r.err = events, err
	r.reading, r.idle = false, false
	r.free(readAheadBytes)
	r.mu.Unlock()
	signal(r.changed)
}

// close ends the attempt if it is still being read, and returns the memory.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.caughtUp()
	for r.reading {
		r.mu.Unlock()
		r.call.abort()
		<-r.changed
		r.mu.Lock()
	}
	if r.former != nil {
		r.former.Release()
	}
	// The second goroutine has ended, so that all that is held are chunks.
	r.free(r.held)
	r.queue, r.chunk = nil, nil
	r.mu.Unlock()
	r.buf.memory.Release()
}

// signal wakes the goroutine that waits on a channel, or the next one that does.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
