// Package entry is the HTTP server for callers: the OpenAI API, plain services, health checks and metrics.
// It authenticates callers, reads and validates requests and writes the responses; a Runner runs the requests.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
)

// Call is one admitted completion request.
type Call struct {
	// RequestID identifies the caller's request; it is unique across all instances.
	RequestID string
	Workspace string
	// Adapter is the version resolved at admission; it does not change afterwards.
	Adapter adapter.Ref
	// BaseModel, Class and Worth come from the adapter's configuration.
	BaseModel string
	Class     config.Class
	Worth     float64
	Path      string
	Body      []byte
	// PromptParts identify the messages of the prompt without the last one, which belongs to this request alone.
	PromptParts []string
	// Tokens is the number of tokens to reserve: the estimated prompt plus the largest possible output.
	Tokens int
	// Deadline is the time by which the request must be complete.
	Deadline    time.Time
	TraceParent string
}

// ServiceCall is one admitted call of a plain service.
type ServiceCall struct {
	RequestID string
	Workspace string
	RouteName string
	Route     config.Route
	// IdempotencyKey and KeyCreated are the values of the caller's headers. The service never gets them.
	IdempotencyKey string
	KeyCreated     string
	Request        backend.ServiceRequest
	Deadline       time.Time
}

// Runner runs admitted requests. Its errors are of type *verdict.Error.
type Runner interface {
	Complete(ctx context.Context, c Call) (backend.Response, error)
	Stream(ctx context.Context, c Call) (backend.ChunkReader, error)
	CallService(ctx context.Context, c ServiceCall) (backend.ServiceResponse, error)
}

// Options are the dependencies and limits of a Server.
type Options struct {
	// Config returns the configuration in force.
	Config func() *config.View
	Runner Runner
	// Admit returns an error while the instance must not admit requests: without a valid
	// freshness lease, or while it drains.
	Admit func() error
	// Ready returns an error while load balancers should send no requests to the instance.
	Ready func() error
	// AdmitRun returns an error if a request must not be run, which the caller has sent to the end and which lasts until
	// the deadline at most; stream is true if its answer may last until then although it began early.
	AdmitRun func(deadline time.Time, stream bool) error
	// Draining reports whether callers are to close their connections.
	Draining func() bool
	// Record adds an event to the timeline.
	Record func(event.Event)
	// WriteWindow is how long a caller may be stalled in a response, 0 for the least time that callers have.
	WriteWindow time.Duration
	// Responses counts the responses that are held whole for callers. It may be nil.
	Responses *guard.Responses
	// Log gets the panics of handlers.
	Log zerolog.Logger
	// Registry collects the server's metrics.
	Registry *prometheus.Registry
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	inFlight *inFlight
	metrics  *metrics
}

// New returns a server.
func New(o Options) *Server {
	return &Server{opts: o, inFlight: newInFlight(), metrics: newMetrics(o.Registry)}
}

// ConfigChanged cancels the requests in flight whose keys are no longer in the configuration.
func (s *Server) ConfigChanged() {
	view := s.opts.Config()
	s.inFlight.cancelInvalid(func(keyID string) bool {
		_, ok := view.Key(keyID)
		return ok
	})
}

// LeaseLost cancels the requests in flight of callers with a key: without a valid lease the instance
// cannot know whether their keys were withdrawn.
func (s *Server) LeaseLost() {
	s.inFlight.cancelInvalid(func(string) bool { return false })
}

// Stop ends all requests, at the end of a planned stop: those without an answer get an error with the verdict on whether
// they ran, and streams end with an error.
func (s *Server) Stop() { s.inFlight.stop() }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return s.inFlight.len() }

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.wrap("completions", s.completions))
	mux.HandleFunc("POST /v1/completions", s.wrap("completions", s.completions))
	mux.HandleFunc("GET /v1/models", s.wrap("models", s.models))
	mux.HandleFunc("GET /v1/models/{model}", s.wrap("models", s.model))
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE"} {
		mux.HandleFunc(method+" /services/{route}/{rest...}", s.wrap("services", s.service))
		mux.HandleFunc(method+" /services/{route}", s.wrap("services", s.service))
	}
	mux.HandleFunc("GET /healthz", s.ServeHealth)
	mux.HandleFunc("GET /readyz", s.ServeReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.opts.Registry, promhttp.HandlerOpts{}))
	for path, allowed := range map[string]string{
		"/v1/chat/completions": "POST", "/v1/completions": "POST", "/v1/models": "GET, HEAD", "/v1/models/{model}": "GET, HEAD",
		"/services/{route}": serviceMethods, "/services/{route}/{rest...}": serviceMethods,
		"/healthz": "GET, HEAD", "/readyz": "GET, HEAD", "/metrics": "GET, HEAD",
	} {
		mux.HandleFunc(path, s.wrap("unknown", methodNotAllowed(allowed)))
	}
	mux.HandleFunc("/", s.wrap("unknown", notFound))
	return s.checkPathAndSetDeadlines(mux)
}

// serviceMethods are the methods that are forwarded to plain services.
const serviceMethods = "GET, HEAD, POST, PUT, PATCH, DELETE"

// ServeHealth answers that the process runs.
func (s *Server) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// ServeReady answers whether load balancers should send requests to the instance.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.opts.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected and cannot be told.
	_, _ = w.Write([]byte(text))
}
