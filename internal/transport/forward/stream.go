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
	streamBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

var eventEnd = []byte("\n\n")

// stream passes on complete events as they arrive. A stream that breaks off in the middle of an event leaves
// the caller at an event's end, from which another worker can go on.
func (c *call) stream(a *upstream.Response) error {
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := a.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			end += len(eventEnd)
			if werr := c.events(a, buf[:end]); werr != nil {
				return werr
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		switch {
		case err == io.EOF && len(buf) == 0:
			c.outcome = Succeeded
			if !c.started {
				c.start(a, -1)
			}
			return nil
		case err == nil && len(buf) > maxEvent:
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

// events writes complete events to the caller.
func (c *call) events(a *upstream.Response, events []byte) error {
	if !c.started {
		c.start(a, -1)
	} else if len(c.job.Tried) > 0 && c.resumed == 0 {
		c.resumed = len(c.job.Tried)
	}
	now := time.Now()
	if !c.eventAt.IsZero() {
		c.pause = max(c.pause, now.Sub(c.eventAt))
	}
	c.eventAt = now
	if id := lastEventID(events); id != "" {
		c.lastID = id
	}
	if _, err := c.w.Write(events); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "caller_left", "the caller left during the stream")
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "caller_left", "the caller left during the stream")
	}
	return nil
}

// lastEventID returns the id of the last event that has one.
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
