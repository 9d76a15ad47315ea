package forward

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event in bytes.
	maxEventBytes = 1 << 20
)

var errEventTooLong = trace.LimitExceeded("an event is longer than %d bytes", maxEventBytes)

var errRevokedBegun = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "revoked", "the attempt was ended when its answer began")

// eventEnd is the blank line that ends a server-sent event, and eventEndCR one whose line ends with a carriage return and a line
// feed.
var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\n\r\n")
)

// lastEventEnd returns the length of the part of b that ends with the last end of an event, 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, e := range [][]byte{eventEnd, eventEndCR} {
		if i := bytes.LastIndex(b, e); i >= 0 {
			end = max(end, i+len(e))
		}
	}
	return end
}

// eventBuffer collects the bytes of a stream until they are complete events.
type eventBuffer struct {
	data []byte
	// searched is the number of leading bytes that contain no end of an event.
	searched int
	memory   *bytebudget.Usage
}

// read reads once from r. It returns the complete events in the buffer, which are valid until the next call.
func (b *eventBuffer) read(r io.Reader) (events []byte, err error) {
	if len(b.data) == cap(b.data) {
		b.data = append(b.data, 0)[:len(b.data)]
		if !b.memory.Add(int64(cap(b.data) - len(b.data))) {
			return nil, bytebudget.ErrExhausted
		}
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	// The first bytes of an end may have been the last ones of the read before.
	from := max(0, b.searched-len(eventEndCR)+1)
	b.searched = len(b.data)
	end := lastEventEnd(b.data[from:])
	if end == 0 {
		return nil, err
	}
	return b.data[:from+end], err
}

// consume removes events that read has returned.
func (b *eventBuffer) consume(events []byte) {
	b.data = b.data[:copy(b.data, b.data[len(events):])]
	b.searched = len(b.data)
}

// isEventStream reports whether a response is a stream of events. If the type is not said, it is the given one.
func isEventStream(resp *upstream.Response, unsaid bool) bool {
	if resp.StatusCode == http.StatusNoContent {
		return false
	}
	contentType := resp.Header.Get("Content-Type")
	if contentType == "" {
		return unsaid
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// followsID reports whether the event with an id comes after the event with the id last. Ids that are not numbers have no
// order: they only must differ.
func followsID(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, errLast := strconv.ParseUint(last, 10, 64)
	if err != nil || errLast != nil {
		return id != last
	}
	return n > m
}

// forwardStream forwards complete events as they arrive. If the stream breaks off in the middle of an event, the
// caller has only complete events, after which another worker can resume.
func (c *call) forwardStream(resp *upstream.Response) error {
	r := newRelay(c, resp)
	defer r.close()
	for {
		events, err := r.next()
		if err != nil {
			c.behind += r.behind
			if r.behind > 0 {
				// The time in which the caller read the rest is no pause of a worker.
				c.lastEventAt = time.Now()
			}
			outcome, err := c.streamEnd(resp, err, len(r.buf.data))
			if !c.reported {
				c.outcome = outcome
			}
			if err == nil && !c.headerSent {
				// The whole answer is there, as in forwardBuffered.
				c.beginAnswer()
				c.sendHeader(resp, -1)
			}
			return err
		}
		if err := c.checkResumed(events); err != nil {
			c.outcome = Broken
			return err
		}
		if err := c.beginEvents(resp, events); err != nil {
			return err
		}
		if err := r.write(events); err != nil {
			c.behind += r.behind
			return err
		}
	}
}

// streamEnd returns the outcome of a stream that ended with err, and the error for the caller, which is nil if the stream is
// complete. Rest is the length of the incomplete event at its end.
func (c *call) streamEnd(resp *upstream.Response, err error, rest int) (Outcome, error) {
	switch {
	case err == io.EOF && rest == 0:
		// A body that ends with its connection looks complete if it is cut after an event.
		if c.resuming && resp.EndsWithConnection() {
			return Broken, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "not_resumed", "the connection ended before a further event")
		}
		return Succeeded, nil
	case errors.Is(err, errEventTooLong):
		return Broken, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "event_too_long", "an event of the stream is too long")
	case err == io.EOF:
		return Broken, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the stream ended in the middle of an event")
	case errors.Is(err, bytebudget.ErrExhausted):
		return Broken, errResponseMemory
	default:
		return Broken, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the stream was cut")
	}
}

// beginEvents prepares the caller's answer for complete events, which are written next.
func (c *call) beginEvents(resp *upstream.Response, events []byte) error {
	if !c.answering {
		if err := c.reservation.Begin(c.attemptCtx); err != nil {
			c.outcome = Abandoned
			return err
		}
		c.answering = true
		c.reservation.Answering()
		// It cannot be revoked from here on. If it was, its connection is closed, and the caller would get a cut stream.
		if c.revoked() {
			return errRevokedBegun
		}
	}
	if !c.headerSent {
		if !c.beginAnswer() {
			return verdict.Wrap(errStopping, verdict.MayHaveRun, http.StatusBadGateway, codeStopping, "the instance stopped before an answer came")
		}
		c.sendHeader(resp, -1)
	} else if len(c.job.Tried) > 0 && c.resumed == 0 {
		c.resumed = len(c.job.Tried)
	}
	for _, id := range eventIDs(events) {
		c.lastUnnamed = id == ""
		if id != "" {
			c.lastEventID = id
		}
	}
	return nil
}

// eventsArrived records that a worker has sent events.
func (c *call) eventsArrived() {
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.maxPause = max(c.maxPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// writeEvents writes complete events to the caller.
func (c *call) writeEvents(events []byte) error {
	_, err := c.w.Write(events)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	return err
}

// checkResumed returns an error if the first event of a resumed stream does not follow the last one that the caller has
// got: the worker began the stream again.
func (c *call) checkResumed(events []byte) error {
	if !c.resuming {
		return nil
	}
	ids := eventIDs(events)
	if len(ids) == 0 {
		return nil
	}
	if !followsID(ids[0], c.lastEventID) || ids[0] == "" {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "not_resumed", "the backend server did not go on after the last event")
	}
	c.resuming = false
	return nil
}

// idField begins the line of an event that has its id.
var idField = []byte("id:")

// eventIDs returns the id of each event, the empty string for one that has none. Comments are no events.
func eventIDs(events []byte) []string {
	var ids []string
	id, isEvent := "", false
	for line := range bytes.Lines(events) {
		switch {
		case len(bytes.TrimSpace(line)) == 0:
			if isEvent {
				ids = append(ids, id)
			}
			id, isEvent = "", false
		case line[0] != ':':
			isEvent = true
			if value, ok := bytes.CutPrefix(line, idField); ok {
				id = string(bytes.TrimSpace(value))
			}
		}
	}
	return ids
}
