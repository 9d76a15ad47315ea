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

// A response that is not streamed delivers no bytes before the request has run, so its connection does not show
// whether the request is slow or the connection has stopped responding. While the response is awaited, probes on
// new connections therefore ask the engine for the request's state.
const (
	// probeInterval is the time between two probes. Most requests end before the first.
	probeInterval = 3 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// confirmDelay is the pause before the next probe after one that found the request not running,
	// because the response may just be arriving.
	confirmDelay = time.Second
	// maxNotRunning is how many probes in a row must find the request not running for its connection to
	// count as silent.
	maxNotRunning = 2
)

// CodeSilent is the error code of a request whose connection has stopped responding without being closed.
const CodeSilent = "engine_silent"

// codeRequestUnknown is the engine's code for a request that it does not know. An engine that does not
// support probes responds with 404 without this code.
const codeRequestUnknown = "request_unknown"

var errSilent = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, CodeSilent, "the connection to the engine went silent")

// monitor probes the state of one request until it is stopped.
type monitor struct {
	end    context.CancelFunc
	silent atomic.Bool
}

// monitor starts to monitor a request. It calls cancel if the request's connection has gone silent.
func (e *Engine) monitor(ctx context.Context, id string, cancel context.CancelFunc) *monitor {
	ctx, end := context.WithCancel(ctx)
	m := &monitor{end: end}
	go func() {
		if e.detectSilence(ctx, id) {
			m.silent.Store(true)
			cancel()
		}
	}()
	return m
}

// stop ends the probes and reports whether the connection had gone silent.
func (m *monitor) stop() bool {
	m.end()
	return m.silent.Load()
}

// detectSilence returns true when probes have found that the engine does not know the request, has finished it or
// cannot be reached, although no response has arrived. It returns false when the monitor is stopped or the engine
// does not support probes.
func (e *Engine) detectSilence(ctx context.Context, id string) bool {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	for notRunning := 0; notRunning < maxNotRunning; {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		running, supported := e.requestRunning(ctx, id)
		switch {
		case !supported:
			return false
		case running:
			notRunning = 0
			t.Reset(probeInterval)
		default:
			notRunning++
			t.Reset(confirmDelay)
		}
	}
	return ctx.Err() == nil
}

// requestRunning makes one probe. It reports whether the engine runs the request and whether it supports probes.
// An engine that cannot be reached counts as one that does not run the request.
func (e *Engine) requestRunning(ctx context.Context, id string) (running, supported bool) {
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
