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

// silenceTimeout is how long a stream may bring no byte. Engines send a comment each second, so a
// longer silence means a connection that something between the two ends has lost track of.
const silenceTimeout = 5 * time.Second

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneData ends a stream cleanly.
const doneData = "[DONE]"

// watchedBody closes the body when it brings no byte for silenceTimeout.
type watchedBody struct {
	io.ReadCloser
	timer *time.Timer
}

func newWatchedBody(body io.ReadCloser, cancel context.CancelFunc) *watchedBody {
	return &watchedBody{ReadCloser: body, timer: time.AfterFunc(silenceTimeout, cancel)}
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.timer.Stop()
	return b.ReadCloser.Close()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(silenceTimeout)
	}
	return n, err
}

type reader struct {
	body   *watchedBody
	cancel context.CancelFunc
	next   func() (sse.Event, error, bool)
	stop   func()
}

func newReader(body io.ReadCloser, cancel context.CancelFunc) *reader {
	w := newWatchedBody(body, cancel)
	next, stop := iter.Pull2(sse.Read(w, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &reader{body: w, cancel: cancel, next: next, stop: stop}
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
