// Package entry is the HTTP server that callers speak to: the OpenAI interface, plain services, health
// and metrics. It authenticates, reads and checks requests, and answers; decisions are elsewhere.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

// Call is one admitted completion request.
type Call struct {
	// RequestID is unique per request of a caller, over all instances.
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
	// Tokens is the largest use: the estimated prompt and the largest output.
	Tokens int
	// Deadline is when the caller's time is over.
	Deadline    time.Time
	TraceParent string
}

// ServiceCall is one admitted call of a plain service.
type ServiceCall struct {
	RequestID string
	Workspace string
	RouteName string
	Route     config.Route
	// IdempotencyKey and KeyCreated are the caller's; they never reach the service.
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

// Options are what a Server needs.
type Options struct {
	// Config returns the configuration in force.
	Config func() *config.View
	Runner Runner
	// Admit returns an error while the instance must not admit requests: without a valid
	// freshness lease, or while it drains.
	Admit func() error
	// Ready returns an error while the balancer should send nothing.
	Ready func() error
	// Record adds an event to the timeline.
	Record func(event.Event)
	// Registry collects the server's metrics.
	Registry *prometheus.Registry
	// MaxBodyMemory bounds the bytes of all request bodies in memory.
	MaxBodyMemory int64
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opts    Options
	calls   *inFlight
	metrics *metrics
	bodies  bodyBudget
}

// New returns a server.
func New(o Options) *Server {
	return &Server{opts: o, calls: newInFlight(), metrics: newMetrics(o.Registry), bodies: bodyBudget{limit: o.MaxBodyMemory}}
}

// ConfigChanged stops the requests in flight of keys that are no longer in the configuration.
func (s *Server) ConfigChanged() {
	view := s.opts.Config()
	s.calls.withdraw(func(keyID string) bool {
		_, ok := view.Key(keyID)
		return ok
	})
}

// LeaseLost stops the requests in flight of callers with a key: without a valid lease the instance
// cannot know whether their keys were withdrawn.
func (s *Server) LeaseLost() {
	s.calls.withdraw(func(string) bool { return false })
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return s.calls.len() }

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.guard("completions", s.completions))
	mux.HandleFunc("POST /v1/completions", s.guard("completions", s.completions))
	mux.HandleFunc("GET /v1/models", s.guard("models", s.models))
	mux.HandleFunc("GET /v1/models/{model}", s.guard("models", s.model))
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE"} {
		mux.HandleFunc(method+" /services/{route}/{rest...}", s.guard("services", s.service))
		mux.HandleFunc(method+" /services/{route}", s.guard("services", s.service))
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.opts.Registry, promhttp.HandlerOpts{}))
	for path, allowed := range map[string]string{
		"/v1/chat/completions": "POST", "/v1/completions": "POST", "/v1/models": "GET, HEAD", "/v1/models/{model}": "GET, HEAD",
		"/services/{route}": serviceMethods, "/services/{route}/{rest...}": serviceMethods,
		"/healthz": "GET, HEAD", "/readyz": "GET, HEAD", "/metrics": "GET, HEAD",
	} {
		mux.HandleFunc(path, s.guard("unknown", methodNotAllowed(allowed)))
	}
	mux.HandleFunc("/", s.guard("unknown", notFound))
	return s.checked(mux)
}

// serviceMethods are the methods that plain services get.
const serviceMethods = "GET, HEAD, POST, PUT, PATCH, DELETE"

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.opts.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the client has gone; there is nobody to tell.
	_, _ = w.Write([]byte(text))
}
