// Package servicehttp is the HTTP client of plain services. It is the only package that knows their wire
// format.
package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// maxResponseBytes is the largest size of a response body.
const maxResponseBytes = 8 << 20

// forwardedHeaders are the headers of the caller's request that are forwarded to the service. Authorization,
// cookies and Idempotency-Key are not among them: the first two are credentials, and net/http repeats a request
// with the third on its own when a connection breaks.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// returnedHeaders are the headers of the service's response that are returned to the caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Location", "Retry-After"}

// Service is a client of one plain service.
type Service struct {
	base   string
	client *http.Client
}

// New returns a client for the service at base. The client does not follow redirects, since that would repeat
// the call. Each call has its own connection: on one that was used before, net/http sends some calls again when it breaks, and
// a late second copy of an earlier answer would be taken for the answer to the next call, which nothing in it identifies.
func New(base string, rt http.RoundTripper) *Service {
	return &Service{base: base, client: &http.Client{
		Transport:     network.WithoutKeepAlive(rt),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

var _ backend.Service = (*Service)(nil)

// Call implements backend.Service. It sends the request at most once.
func (s *Service) Call(ctx context.Context, r backend.ServiceRequest) (backend.ServiceResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The path is escaped again: a decoded "?", "#" or "%" must not change what the service sees.
	target := url.URL{Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(guard.ForRequest(ctx), r.Method, s.base+target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return backend.ServiceResponse{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "bad_path", "the path is not valid")
	}
	req.GetBody = nil
	req.Header = selectHeaders(r.Header, forwardedHeaders)
	req.Header.Set("X-Request-Id", r.ID)
	if r.TraceParent != "" {
		req.Header.Set("Traceparent", r.TraceParent)
	}
	resp, err := s.client.Do(req)
	if errors.Is(err, guard.ErrNoDescriptor) {
		return backend.ServiceResponse{}, guard.RefuseFull(err)
	}
	if err != nil {
		v := verdict.NotRun
		if connected.Load() {
			v = verdict.MayHaveRun
		}
		return backend.ServiceResponse{}, verdict.Wrap(err, v, http.StatusBadGateway, "service_unreachable", "the connection to the service failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := network.CheckFinalStatus(resp.StatusCode); err != nil {
		return backend.ServiceResponse{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_invalid", "the service's answer is not valid")
	}
	body, err := guard.ReadResponse(ctx, resp.Body, maxResponseBytes+1)
	if errors.Is(err, guard.ErrResponseMemory) {
		return backend.ServiceResponse{}, verdict.Wrap(err, verdict.Ran, http.StatusBadGateway, "response_memory_full",
			"the service ran the call, but there was no memory for its answer until the call ended")
	}
	if err != nil || len(body) > maxResponseBytes {
		return backend.ServiceResponse{}, verdict.New(verdict.Ran, http.StatusBadGateway, "answer_cut", "the service ran the call, but its answer was cut off")
	}
	return backend.ServiceResponse{Status: resp.StatusCode, Header: selectHeaders(resp.Header, returnedHeaders), Body: body}, nil
}

func selectHeaders(h http.Header, names []string) http.Header {
	out := http.Header{}
	for _, name := range names {
		if v := h.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = append([]string(nil), v...)
		}
	}
	return out
}
