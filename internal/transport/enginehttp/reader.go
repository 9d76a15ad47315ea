package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// idleTimeout is how long a body may deliver no bytes. Engines send a comment on a stream every second, so a
// longer pause means that the state of the connection was lost between its two ends.
const idleTimeout = 5 * time.Second

// maxEventBytes is the largest size of one event of a stream.
const maxEventBytes = 1 << 20

// doneData is the data of the event that marks the end of a complete stream.
const doneData = "[DONE]"

// idleTimeoutBody cancels its request when the body delivers no bytes for idleTimeout.
type idleTimeoutBody struct {
	io.ReadCloser
	timer *time.Timer
}

func newIdleTimeoutBody(body io.ReadCloser, cancel context.CancelFunc) *idleTimeoutBody {
	return &idleTimeoutBody{ReadCloser: body, timer: time.AfterFunc(idleTimeout, cancel)}
}

// Close implements io.Closer.
func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	return b.ReadCloser.Close()
}

// Pause implements guard.Pausable.
func (b *idleTimeoutBody) Pause() { b.timer.Stop() }

// Resume implements guard.Pausable.
func (b *idleTimeoutBody) Resume() { b.timer.Reset(idleTimeout) }

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(idleTimeout)
	}
	return n, err
}

// reader decodes the events of a streamed response. It implements backend.ChunkReader.
type reader struct {
	body   *idleTimeoutBody
	cancel context.CancelFunc
	next   func() (sse.Event, error, bool)
	stop   func()
	// checkID returns an error for an event that names another request. It may be nil.
	checkID func(answered string) error
}

func newReader(body io.ReadCloser, cancel context.CancelFunc) *reader {
	timed := newIdleTimeoutBody(body, cancel)
	next, stop := iter.Pull2(sse.Read(timed, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &reader{body: timed, cancel: cancel, next: next, stop: stop}
}

// Next implements backend.ChunkReader.
func (r *reader) Next() (backend.Chunk, error) {
	event, err, ok := r.next()
	if err != nil || !ok {
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return backend.Chunk{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "stream_broken", "the engine's stream broke off")
	}
	if event.Data == doneData {
		return backend.Chunk{Done: true}, nil
	}
	position, err := strconv.Atoi(event.LastEventID)
	var b struct {
		ID    string         `json:"id"`
		Model string         `json:"model"`
		Usage *backend.Usage `json:"usage"`
	}
	if err == nil {
		err = json.Unmarshal([]byte(event.Data), &b)
	}
	if err == nil && b.Usage != nil {
		err = checkUsage(*b.Usage)
	}
	if err != nil {
		return backend.Chunk{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_invalid", "an event of the engine's stream is not valid")
	}
	if r.checkID != nil {
		if err := r.checkID(b.ID); err != nil {
			return backend.Chunk{}, err
		}
	}
	return backend.Chunk{
		Position: position, Adapter: adapter.Parse(b.Model), Data: []byte(event.Data), Usage: b.Usage,
	}, nil
}

// Close implements backend.ChunkReader.
func (r *reader) Close() error {
	r.cancel()
	r.stop()
	return r.body.Close()
}
