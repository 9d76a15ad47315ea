package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/protocol/openai"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// AdapterHeader is the response header that names the adapter version that a request ran on.
const AdapterHeader = "Turmeric-Adapter"

// completions serves /v1/chat/completions and /v1/completions.
// parseCopies is how often the bytes of a completion's body are held besides the body: in its fields, in the parts of its
// prompt, and in the body with the model's name replaced.
const parseCopies = 4

func (s *Server) completions(w *recorder, r *request) error {
	body, err := s.readBody(w, r, parseCopies)
	if err != nil {
		return err
	}
	parsed, err := openai.Parse(body)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "invalid_body", err.Error())
	}
	call, err := admit(r, parsed, body)
	if err != nil {
		return err
	}
	if err := s.opts.AdmitRun(call.Deadline, parsed.Stream); err != nil {
		return err
	}
	s.recordAdmission(r, event.Event{
		Workspace: call.Workspace, Adapter: call.Adapter.Name, Version: call.Adapter.Version, Tokens: int64(call.Tokens),
	})
	if parsed.Stream {
		return s.stream(w, r, call)
	}
	response, err := s.opts.Runner.Complete(r.Context(), call)
	if err != nil {
		return err
	}
	w.verdict = verdict.Ran.String()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, w.verdict)
	h.Set(AdapterHeader, response.Adapter.String())
	w.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected; the request has run nevertheless.
	_, _ = w.Write(response.Body)
	return nil
}

// admit resolves the adapter version, checks that the caller may use it and builds the call.
func admit(r *request, parsed openai.Request, body []byte) (Call, error) {
	ref, a, ok := r.view.Resolve(parsed.Model)
	if !ok || !r.caller.mayUse(a.Workspace, a.Open) {
		if r.caller.workspace == "" {
			return Call{}, errMissingKey
		}
		// Missing adapters and adapters of other workspaces get the same response, which does not reveal
		// which names exist.
		return Call{}, verdict.New(verdict.NotRun, http.StatusNotFound, "model_not_found",
			"the adapter or its version does not exist in this workspace")
	}
	body, err := openai.SetModel(body, ref.String())
	if err != nil {
		return Call{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "invalid_body", "the body is not a JSON object")
	}
	return Call{
		RequestID: r.id, Workspace: a.Workspace, Adapter: ref, BaseModel: a.BaseModel, Class: a.Class,
		Worth: a.Worth, Path: r.URL.Path, Body: body, PromptParts: parsed.PromptParts(), Tokens: parsed.ReservedTokens(),
		Deadline: r.start.Add(a.Deadline()), TraceParent: traceParent(r.Header),
	}, nil
}

// stream forwards a streamed response. After the first byte has been sent, an error is reported as an error
// event, so that a broken stream never looks complete.
func (s *Server) stream(w *recorder, r *request, call Call) error {
	chunks, err := s.opts.Runner.Stream(r.Context(), call)
	if err != nil {
		return err
	}
	defer func() { _ = chunks.Close() }()
	first, err := chunks.Next()
	if err != nil {
		return err
	}
	s.metrics.firstToken.Observe(time.Since(r.start).Seconds())
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(AdapterHeader, call.Adapter.String())
	w.WriteHeader(http.StatusOK)
	if err := s.copyStream(w, r, chunks, first); err != nil {
		err = s.streamError(r, err)
		w.failure = verdict.FromError(err)
		w.verdict = w.failure.Verdict.String()
		s.metrics.brokenStreams.Inc()
		// A failed write means that the caller has disconnected; the connection then ends without the
		// end marker of the stream.
		_ = writeEvent(w, openai.EncodeError(verdict.FromError(err)))
		return nil
	}
	w.verdict = verdict.Ran.String()
	return nil
}

// streamError returns the error to report for a stream that failed with err: err itself, or the error of a
// cancelled request if the request's context has ended.
func (s *Server) streamError(r *request, err error) error {
	if r.Context().Err() == nil {
		return err
	}
	return s.cancelled(r, err)
}

func (s *Server) copyStream(w *recorder, r *request, chunks backend.ChunkReader, chunk backend.Chunk) error {
	for {
		if r.Context().Err() != nil {
			return verdict.Wrap(r.Context().Err(), verdict.MayHaveRun, http.StatusBadGateway, "caller_gone", "the request ended before its answer")
		}
		data := chunk.Data
		if chunk.Done {
			data = []byte("[DONE]")
		}
		if err := writeEvent(w, data); err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "caller_gone", "the caller does not read its answer")
		}
		if chunk.Done {
			return nil
		}
		var err error
		if chunk, err = chunks.Next(); err != nil {
			return err
		}
	}
}

// writeEvent writes one server-sent event.
func writeEvent(w *recorder, data []byte) error {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if _, err := w.Write(buf); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// models lists the adapters that the caller may use, and each of their versions as name@version.
func (s *Server) models(w *recorder, r *request) error {
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for name, a := range r.view.Adapters() {
		if r.caller.mayUse(a.Workspace, a.Open) {
			list.Data = append(list.Data, modelOf(name, a))
			for _, v := range a.Versions {
				list.Data = append(list.Data, modelOf(name+"@"+v, a))
			}
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return writeJSON(w, list)
}

func (s *Server) model(w *recorder, r *request) error {
	name := r.PathValue("model")
	_, a, ok := r.view.Resolve(name)
	if !ok || !r.caller.mayUse(a.Workspace, a.Open) {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "model_not_found", "the adapter or its version does not exist in this workspace")
	}
	return writeJSON(w, modelOf(name, a))
}

func modelOf(id string, a *config.Adapter) openai.Model {
	return openai.Model{ID: id, Object: "model", OwnedBy: a.Workspace}
}

func writeJSON(w *recorder, v any) error {
	w.verdict = verdict.Ran.String()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
	return nil
}
