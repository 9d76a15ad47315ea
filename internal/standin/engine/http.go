package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 8 << 20

// pingInterval is the interval of SSE comments in a stream without new tokens. They let readers tell a
// slow stream from a dead connection.
const pingInterval = time.Second

// defaultMaxTokens is the output length of a request that sets no limit.
const defaultMaxTokens = 16

type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

type orderBody struct {
	Name    string `json:"lora_name"`
	Version string `json:"lora_version"`
	Fence   uint64 `json:"fence"`
	IfIdle  bool   `json:"if_idle"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	mux.HandleFunc("GET /v1/requests/{id}", e.serveState)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.serveLoad)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.serveUnload)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, e.status()) })
	mux.HandleFunc("GET /v1/cache_events", e.serveEvents)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	var o *refusalError
	if !errors.As(err, &o) {
		o = &refusalError{status: 500, code: "internal"}
	}
	writeJSON(w, o.status, map[string]any{"error": map[string]string{"code": o.code, "message": o.code}})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var b completionBody
	if err == nil {
		err = json.Unmarshal(body, &b)
	}
	if err != nil {
		writeError(w, &refusalError{status: 400, code: "bad_body"})
		return
	}
	tokens := max(b.MaxTokens, b.MaxCompletionTokens)
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Request-Priority"))
	prompt := string(b.Prompt) + string(b.Messages)
	req, err := e.submit(r.Header.Get("X-Request-Id"), adapter.Parse(b.Model), backend.Priority(priority), prompt, tokens)
	if err != nil {
		writeError(w, err)
		return
	}
	chat := strings.Contains(r.URL.Path, "chat")
	if b.Stream {
		e.stream(w, r, req, 0, chat)
		return
	}
	defer e.detach(req)
	text, ok := e.wait(r, req)
	if !ok {
		// A crash closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, 200, completionResponse(req, text, chat))
}

// wait waits for a request to finish and returns its text, or false if it failed or the caller disconnected.
func (e *Engine) wait(r *http.Request, req *request) (string, bool) {
	for {
		e.mu.Lock()
		changed, finished, failed, text := req.changed, req.finished, req.failed, strings.Join(req.tokens, "")
		e.mu.Unlock()
		if failed {
			return "", false
		}
		if finished {
			return text, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return "", false
		}
	}
}

func usage(r *request, completion int) backend.Usage {
	return backend.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: completion, TotalTokens: r.promptTokens + completion,
	}
}

func completionResponse(r *request, text string, chat bool) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	return map[string]any{
		"id": r.id, "object": object, "created": time.Now().Unix(), "model": r.ref.String(),
		"choices": []any{choice}, "usage": usage(r, len(r.tokens)),
	}
}

func chunkResponse(r *request, text string, chat bool) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]string{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	return map[string]any{
		"id": r.id, "object": object, "created": time.Now().Unix(), "model": r.ref.String(), "choices": []any{choice},
	}
}

// stream writes a request's events from a position on. Event ids are positions.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *request, from int, chat bool) {
	defer e.detach(req)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	position := from
	for {
		e.mu.Lock()
		changed, finished, failed, tokens := req.changed, req.finished, req.failed, req.tokens
		e.mu.Unlock()
		if failed {
			panic(http.ErrAbortHandler)
		}
		for ; position < len(tokens); position++ {
			writeEvent(w, position, chunkResponse(req, tokens[position], chat))
		}
		if finished {
			e.finishStream(w, req, position, chat)
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ping.C:
			_, _ = io.WriteString(w, ": ping\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) finishStream(w io.Writer, req *request, position int, chat bool) {
	last := chunkResponse(req, "", chat)
	last["choices"] = []any{map[string]any{"index": 0, "finish_reason": "stop", "delta": map[string]string{}, "text": ""}}
	last["usage"] = usage(req, len(req.tokens))
	writeEvent(w, position, last)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func writeEvent(w io.Writer, position int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", position, data)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	req := e.requests[r.PathValue("id")]
	if req != nil {
		req.readers++
	}
	e.mu.Unlock()
	if req == nil || err != nil || from < 0 {
		if req != nil {
			e.detach(req)
		}
		writeError(w, &refusalError{status: 404, code: "request_unknown"})
		return
	}
	e.stream(w, r, req, from, r.URL.Query().Get("chat") == "true")
}

// serveState reports whether a known request is finished.
func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	req := e.requests[r.PathValue("id")]
	finished := req != nil && req.finished
	e.mu.Unlock()
	if req == nil {
		writeError(w, &refusalError{status: 404, code: "request_unknown"})
		return
	}
	writeJSON(w, 200, map[string]bool{"finished": finished})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancelRequest(r.PathValue("id")) {
		writeError(w, &refusalError{status: 404, code: "request_unknown"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readOrder(w http.ResponseWriter, r *http.Request) (backend.Order, error) {
	var b orderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
		return backend.Order{}, &refusalError{status: 400, code: "bad_body"}
	}
	return backend.Order{Adapter: adapter.Ref{Name: b.Name, Version: b.Version}, Fence: b.Fence, IfIdle: b.IfIdle}, nil
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(w, r)
	if err == nil {
		err = e.load(r.Context(), o)
	}
	writeOrderResult(w, err)
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(w, r)
	if err == nil {
		err = e.evict(o)
	}
	writeOrderResult(w, err)
}

func writeOrderResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, 200, map[string]string{"status": "ok"})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	var out []backend.CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > after {
			out = append(out, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, 200, out)
}
