package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event in bytes.
	maxEventBytes = 1 << 20
)

// eventEnd is the blank line that ends a server-sent event.
var eventEnd = []byte("\n\n")

// forwardStream forwards complete events as they arrive. If the stream breaks off in the middle of an event, the
// caller has only complete events, after which another worker can resume.
func (c *call) forwardStream(resp *upstream.Response) error {
	buf := make([]byte, 0, streamBufferBytes)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			end += len(eventEnd)
			if werr := c.writeEvents(resp, buf[:end]); werr != nil {
				return werr
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		switch {
		case err == io.EOF && len(buf) == 0:
			c.outcome = Succeeded
			if !c.headerSent {
				c.sendHeader(resp, -1)
			}
			return nil
		case err == nil && len(buf) > maxEventBytes:
			c.outcome = Broken
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "event_too_long", "an event of the stream is too long")
		case err == io.EOF:
			c.outcome = Broken
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the stream ended in the middle of an event")
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
	}
	if !c.headerSent {
		c.sendHeader(resp, -1)
	} else if len(c.job.Tried) > 0 && c.resumed == 0 {
		c.resumed = len(c.job.Tried)
	}
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.maxPause = max(c.maxPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if id := lastEventID(events); id != "" {
		c.lastEventID = id
	}
	if _, err := c.w.Write(events); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "caller_left", "the caller left during the stream")
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "caller_left", "the caller left during the stream")
	}
	return nil
}

// lastEventID returns the id of the last event that has an id, or the empty string.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte("id:")):
		i = 0
	default:
		return ""
	}
	line := events[i+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
