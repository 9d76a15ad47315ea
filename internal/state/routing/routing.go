// Package routing holds the operators' configuration of forwarded routes: which host and path lead to
// which service, what may be repeated, and which workspace a key belongs to.
package routing

import "time"

// Kind says what may be repeated.
type Kind int

const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = iota + 1
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events and may not be repeated, except by resuming.
	Stream
)

// Target is a service with its part of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route leads the requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable streams may continue at another worker after the last event delivered.
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting for its complete answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or a stream's first event, is on time.
	TargetLatency time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is how many workers one attempt of a caller may run on, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Retryable reports whether a request that may have run may be sent to another worker from the start.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model that workers of a service hold.
type Model struct {
	Name string
	// WeightsMB is the size of the weights in megabytes.
	WeightsMB float64
	// Adapters is how many adapters the model has.
	Adapters int
	// AdapterMB is the size of one adapter in megabytes.
	AdapterMB float64
	// LoadTime is how long a load from the weight store takes at full speed.
	LoadTime time.Duration
}

// Engine describes the workers of a service that run models.
type Engine struct {
	// Slots is how many requests one worker runs at once.
	Slots  int
	Models []Model
	// WeightsMB is the memory of one worker for weights and adapters.
	WeightsMB float64
	// AdapterSlots is how many adapters one worker can hold.
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows over all workers.
	LoadsPerSecond float64
}

// Service is a group of workers that answer the same requests.
type Service struct {
	Name string
	// MaxConnections is how many connections one worker accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a tenant with its keys and its rate over all instances.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces that of the route; negative means unset.
	Priority int
	// Rate is in units per second and Burst in units; a Rate of 0 means no limit.
	Rate, Burst float64
	// CountsTokens says that the unit is a token, not a request.
	CountsTokens bool
	// DefaultTokens is what a request without a token count costs when tokens are counted.
	DefaultTokens float64
}

// Limits bound what a caller may send; a value of 0 is not set.
type Limits struct {
	// MaxHeaderBytes counts the request line and all headers.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time to send a request's headers, and IdleTimeout the time that a connection may be idle
	// before it.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration, in full.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// AdapterVersion declares the newest version of an adapter.
type AdapterVersion struct {
	Model, Adapter string
	Version        int64
}
