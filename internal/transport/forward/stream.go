package forward

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event in bytes.
	maxEventBytes = 1 << 20
)

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

// endsWithConnection reports whether only the end of the connection ends the response's body, so that a body that was
// cut after an event looks complete.
func endsWithConnection(resp *upstream.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
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
	buf := eventBuffer{data: make([]byte, 0, streamBufferBytes), memory: c.server.ResponseMemory.NewUsage(freeResponseBytes)}
	defer buf.memory.Release()
	for {
		events, err := buf.read(resp)
		if len(events) > 0 {
			if err := c.checkResumed(events); err != nil {
				c.outcome = Broken
				return err
			}
			if werr := c.writeEvents(resp, events); werr != nil {
				return werr
			}
			buf.consume(events)
		}
		switch {
		case err == io.EOF && len(buf.data) == 0:
			if c.resuming && endsWithConnection(resp) {
				c.outcome = Broken
				return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "not_resumed", "the connection ended before a further event")
			}
			c.outcome = Succeeded
			if !c.headerSent {
				// The whole answer is there, as in forwardBuffered.
				c.beginAnswer()
				c.sendHeader(resp, -1)
			}
			return nil
		case err == nil && len(buf.data) > maxEventBytes:
			c.outcome = Broken
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "event_too_long", "an event of the stream is too long")
		case err == io.EOF:
			c.outcome = Broken
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the stream ended in the middle of an event")
		case errors.Is(err, bytebudget.ErrExhausted):
			c.outcome = Broken
			return errResponseMemory
		case err != nil:
			c.outcome = Broken
			return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the stream was cut")
		}
	}
}

// writeEvents writes complete events to the caller.
func (c *call) writeEvents(resp *upstream.Response, events []byte) error {
	if !c.answering {
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
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.maxPause = max(c.maxPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	for _, id := range eventIDs(events) {
		c.lastUnnamed = id == ""
		if id != "" {
			c.lastEventID = id
		}
	}
	_, err := c.w.Write(events)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if err != nil {
		c.endCause = c.connectionEnd()
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, codeCallerLeft, "the caller left during the stream")
	}
	return nil
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
