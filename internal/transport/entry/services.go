package entry

import (
	"net/http"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

const (
	// IdempotencyKeyHeader is the request header with the idempotency key of a call that must not run twice.
	IdempotencyKeyHeader = "Idempotency-Key"
	// KeyCreatedHeader is the request header with the creation time (RFC 3339) of an idempotency key that is
	// not a UUIDv7.
	KeyCreatedHeader = "Idempotency-Key-Created"
)

// service serves /services/{route}/...
func (s *Server) service(w *recorder, r *request) error {
	name := r.PathValue("route")
	route, ok := r.view.Route(name)
	if !ok || !r.caller.mayUse(route.Workspace, route.Open) {
		if r.caller.workspace == "" {
			return errMissingKey
		}
		return verdict.New(verdict.NotRun, http.StatusNotFound, "route_not_found", "the route does not exist in this workspace")
	}
	if len(r.Header.Values(IdempotencyKeyHeader)) > 1 || len(r.Header.Values(KeyCreatedHeader)) > 1 {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "duplicate_idempotency_key",
			"the request has more than one Idempotency-Key or Idempotency-Key-Created header")
	}
	body, err := s.readBody(w, r, 0)
	if err != nil {
		return err
	}
	deadline := r.start.Add(route.Deadline())
	if err := s.opts.AdmitRun(deadline, false); err != nil {
		return err
	}
	s.recordAdmission(r, event.Event{Workspace: route.Workspace, Tokens: int64(max(route.Tokens, 1))})
	response, err := s.opts.Runner.CallService(r.Context(), ServiceCall{
		RequestID: r.id, Workspace: route.Workspace, RouteName: name, Route: *route,
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader), KeyCreated: r.Header.Get(KeyCreatedHeader),
		Request: backend.ServiceRequest{
			ID: r.id, Method: r.Method, Path: "/" + r.PathValue("rest"), Query: r.URL.RawQuery,
			Header: r.Header, Body: body, TraceParent: traceParent(r.Header),
		},
		Deadline: deadline,
	})
	if err != nil {
		return err
	}
	w.verdict = verdict.Ran.String()
	for k, v := range response.Header {
		w.Header()[k] = v
	}
	w.Header().Set(verdict.Header, w.verdict)
	w.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected; the call has run nevertheless.
	_, _ = w.Write(response.Body)
	return nil
}
