// Package enginehttp is the HTTP client of model engines. It is the only package that knows their wire
// format.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

const (
	// controlTimeout bounds control calls, to which the engine responds immediately.
	controlTimeout = 2 * time.Second
	// loadTimeout bounds an adapter load, which may wait for the weight store.
	loadTimeout = 60 * time.Second
	// maxResponseBytes is the largest size of a response that is not streamed.
	maxResponseBytes = 32 << 20
	// maxErrorBytes is the largest part of a refusal that is read, of which only the code is needed.
	maxErrorBytes = 64 << 10
)

// Engine is a client of one engine.
type Engine struct {
	base   string
	client *http.Client
	// fresh sends each request on a new connection.
	fresh *http.Client
	// namesRequests is set once an answer has named its request. From then on, none may name another one.
	namesRequests atomic.Bool
}

// New returns a client for the engine at base.
func New(base string, rt http.RoundTripper) *Engine {
	return &Engine{base: base, client: &http.Client{Transport: rt}, fresh: &http.Client{Transport: network.WithoutKeepAlive(rt)}}
}

var _ backend.Engine = (*Engine)(nil)

// requestHeader builds the header of an outgoing request from scratch, so that no header of the caller
// reaches the engine.
func requestHeader(r backend.Request) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", r.ID)
	h.Set("X-Request-Priority", strconv.Itoa(int(r.Priority)))
	if r.TraceParent != "" {
		h.Set("Traceparent", r.TraceParent)
	}
	return h
}

// send sends one request. The verdict of its error tells whether the request may have run: without a
// connection it has not.
func (e *Engine) send(ctx context.Context, method, path string, h http.Header, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusBadGateway, "engine_address", "the engine's address is not valid")
	}
	req.Header = h
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	resp, err := e.client.Do(req)
	if err == nil {
		if err := network.CheckFinalStatus(resp.StatusCode); err != nil {
			_ = resp.Body.Close() // the response is not used
			return nil, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_invalid", "the engine's answer is not valid")
		}
		return resp, nil
	}
	if errors.Is(err, guard.ErrNoDescriptor) {
		return nil, guard.RefuseFull(err)
	}
	v := verdict.NotRun
	if connected.Load() {
		v = verdict.MayHaveRun
	}
	return nil, verdict.Wrap(err, v, http.StatusBadGateway, "engine_unreachable", "the connection to the engine failed")
}

// CodeNotResident is the error code of a request whose adapter is not loaded on the engine.
const CodeNotResident = "adapter_not_resident"

// statusError returns the error for a response with an error status. With a status below 500, or with 503, the
// engine has refused the request before running it. After any other status the request may have run.
func statusError(resp *http.Response, body []byte) error {
	var b struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// A body that is not JSON leaves the code empty.
	_ = json.Unmarshal(body, &b)
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeNotResident, "the engine does not hold the adapter")
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "engine_busy", "the engine refused the request")
	case resp.StatusCode < http.StatusInternalServerError:
		return verdict.New(verdict.NotRun, resp.StatusCode, "engine_refused", "the engine refused the request: "+b.Error.Code)
	default:
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "engine_failed", "the engine failed")
	}
}

// Complete implements backend.Engine.
func (e *Engine) Complete(ctx context.Context, r backend.Request) (backend.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := e.monitor(ctx, r.ID, cancel)
	resp, err := e.send(guard.ForRequest(ctx), http.MethodPost, r.Path, requestHeader(r), r.Body)
	if m.stop() {
		return backend.Response{}, errSilent
	}
	if err != nil {
		return backend.Response{}, err
	}
	timed := newIdleTimeoutBody(resp.Body, cancel)
	defer func() { _ = timed.Close() }()
	var body []byte
	if resp.StatusCode != http.StatusOK {
		body, err = io.ReadAll(io.LimitReader(timed, maxErrorBytes))
	} else {
		body, err = guard.ReadResponse(ctx, timed, maxResponseBytes)
	}
	switch {
	case errors.Is(err, guard.ErrResponseMemory):
		return backend.Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "response_memory_full",
			"there was no memory for the engine's answer until the request ended")
	case err != nil:
		return backend.Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_cut", "the engine's answer was cut off")
	case resp.StatusCode != http.StatusOK:
		return backend.Response{}, statusError(resp, body)
	}
	response, id, err := decodeResponse(body)
	if err == nil {
		err = e.checkRequestID(id, r.ID)
	}
	if err != nil {
		return backend.Response{}, err
	}
	return response, nil
}

// errWrongRequest means that the engine has sent another request's answer.
var errWrongRequest = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "wrong_request",
	"the engine answered another request; its answer was dropped")

// checkRequestID returns an error for an answer that names another request: a second copy of an earlier answer, which came
// late on a connection that is in use again. Engines that never name the request of X-Request-Id are not checked.
func (e *Engine) checkRequestID(answered, requestID string) error {
	switch {
	case strings.Contains(answered, requestID):
		e.namesRequests.Store(true)
		return nil
	case answered == "" || !e.namesRequests.Load():
		return nil
	}
	// The answer to this request may still come on the connection, which is idle now.
	e.client.CloseIdleConnections()
	return errWrongRequest
}

// decodeResponse decodes the body of a response with status 200. It also returns the identifier in the response.
func decodeResponse(body []byte) (response backend.Response, id string, err error) {
	var b struct {
		ID    string        `json:"id"`
		Model string        `json:"model"`
		Usage backend.Usage `json:"usage"`
	}
	err = json.Unmarshal(body, &b)
	if err == nil {
		err = checkUsage(b.Usage)
	}
	if err != nil {
		return backend.Response{}, "", verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_invalid", "the engine's answer is not valid")
	}
	return backend.Response{Adapter: adapter.Parse(b.Model), Status: http.StatusOK, Body: body, Usage: b.Usage}, b.ID, nil
}

// maxUsageTokens is more tokens than any request can use. A larger or a negative usage would distort the
// workspace's share of the queue.
const maxUsageTokens = 1 << 31

func checkUsage(u backend.Usage) error {
	if min(u.PromptTokens, u.CompletionTokens, u.TotalTokens) < 0 || max(u.PromptTokens, u.CompletionTokens, u.TotalTokens) > maxUsageTokens {
		return trace.BadParameter("the token usage is out of range")
	}
	return nil
}

// Stream implements backend.Engine.
func (e *Engine) Stream(ctx context.Context, r backend.Request) (backend.ChunkReader, error) {
	return e.openStream(guard.ForRequest(ctx), r.ID, http.MethodPost, r.Path, requestHeader(r), r.Body)
}

// Resume implements backend.Engine.
func (e *Engine) Resume(ctx context.Context, r backend.Request, from int) (backend.ChunkReader, error) {
	path := fmt.Sprintf("/v1/requests/%s/stream?from=%d&chat=%t", r.ID, from, strings.Contains(r.Path, "chat"))
	return e.openStream(ctx, r.ID, http.MethodGet, path, http.Header{}, nil)
}

func (e *Engine) openStream(ctx context.Context, requestID, method, path string, h http.Header, body []byte) (backend.ChunkReader, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.send(ctx, method, path, h, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, statusError(resp, data)
	}
	reader := newReader(resp.Body, cancel)
	reader.checkID = func(answered string) error { return e.checkRequestID(answered, requestID) }
	return reader, nil
}

// Cancel implements backend.Engine. Cancelling a request that has ended is no error.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	return e.control(ctx, controlTimeout, http.MethodDelete, "/v1/requests/"+requestID, nil, nil)
}

type orderBody struct {
	Name    string `json:"lora_name"`
	Version string `json:"lora_version"`
	Fence   uint64 `json:"fence"`
	IfIdle  bool   `json:"if_idle,omitempty"`
}

// Load implements backend.Engine.
func (e *Engine) Load(ctx context.Context, o backend.Order) error {
	b := orderBody{Name: o.Adapter.Name, Version: o.Adapter.Version, Fence: o.Fence}
	return e.control(ctx, loadTimeout, http.MethodPost, "/v1/load_lora_adapter", b, nil)
}

// Evict implements backend.Engine.
func (e *Engine) Evict(ctx context.Context, o backend.Order) error {
	b := orderBody{Name: o.Adapter.Name, Version: o.Adapter.Version, Fence: o.Fence, IfIdle: o.IfIdle}
	return e.control(ctx, controlTimeout, http.MethodPost, "/v1/unload_lora_adapter", b, nil)
}

// Status implements backend.Engine.
func (e *Engine) Status(ctx context.Context) (backend.Status, error) {
	var s backend.Status
	err := e.control(ctx, controlTimeout, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// CacheEvents implements backend.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]backend.CacheEvent, error) {
	var events []backend.CacheEvent
	err := e.control(ctx, controlTimeout, http.MethodGet, fmt.Sprintf("/v1/cache_events?after=%d", after), nil, &events)
	return events, err
}

// control makes one call to the engine's control API and decodes the JSON response into result, unless result
// is nil.
func (e *Engine) control(ctx context.Context, timeout time.Duration, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return trace.Wrap(err)
		}
	}
	resp, err := e.send(ctx, method, path, http.Header{"Content-Type": {"application/json"}}, data)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_cut", "the engine's answer was cut off")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp, data)
	}
	if result == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, result))
}
