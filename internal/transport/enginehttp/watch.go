package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// An answer that is not streamed brings no byte before its end, so that nothing on its connection tells a
// slow request from a silent connection. While it is awaited, the engine is asked for the request's state
// on new connections.
const (
	// probeInterval is the time between two questions. Most requests end before the first.
	probeInterval = 3 * time.Second
	// probeTimeout bounds one question.
	probeTimeout = time.Second
	// confirmDelay is the pause before a bad state is asked for again, because the answer may just be
	// on its way.
	confirmDelay = time.Second
	// badStates is how many bad states in a row mean a silent connection.
	badStates = 2
)

// CodeSilent is the code of the error when the connection of a request went silent.
const CodeSilent = "engine_silent"

// codeRequestUnknown is the engine's code for a request that it does not know. An engine that does not
// offer the question answers 404 without it.
const codeRequestUnknown = "request_unknown"

var errSilent = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, CodeSilent, "the connection to the engine went silent")

// watch looks after one request until it is stopped.
type watch struct {
	end    context.CancelFunc
	silent atomic.Bool
}

// watch starts to look after a request. It calls cancel when the request's connection has gone silent.
func (e *Engine) watch(ctx context.Context, id string, cancel context.CancelFunc) *watch {
	ctx, end := context.WithCancel(ctx)
	w := &watch{end: end}
	go func() {
		if e.goneSilent(ctx, id) {
			w.silent.Store(true)
			cancel()
		}
	}()
	return w
}

// stop ends the watch and reports whether the connection had gone silent.
func (w *watch) stop() bool {
	w.end()
	return w.silent.Load()
}

// goneSilent returns true when the engine does not know the request or has finished it, although no answer
// came, and false when the watch ends or the engine does not offer the question.
func (e *Engine) goneSilent(ctx context.Context, id string) bool {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	for bad := 0; bad < badStates; {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		running, offered := e.requestRunning(ctx, id)
		switch {
		case !offered:
			return false
		case running:
			bad = 0
			t.Reset(probeInterval)
		default:
			bad++
			t.Reset(confirmDelay)
		}
	}
	return ctx.Err() == nil
}

// requestRunning asks for a request's state. An engine that cannot be reached counts as one that does not
// run the request.
func (e *Engine) requestRunning(ctx context.Context, id string) (running, offered bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/v1/requests/"+id, nil)
	if err != nil {
		return false, false
	}
	resp, err := e.fresh.Do(req)
	if err != nil {
		return false, true
	}
	defer func() { _ = resp.Body.Close() }()
	var b struct {
		Finished bool `json:"finished"`
		Error    struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		return !b.Finished, true
	case resp.StatusCode == http.StatusNotFound:
		return false, err == nil && b.Error.Code == codeRequestUnknown
	default:
		return false, resp.StatusCode != http.StatusMethodNotAllowed
	}
}
