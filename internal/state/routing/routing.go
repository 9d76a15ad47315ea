// Package routing holds the operators' configuration of forwarded routes: which service handles a host and path, which
// requests may be retried, and which workspace a key belongs to.
package routing

import (
	"slices"
	"time"
)

// Kind says which requests of a route may be retried.
type Kind int

const (
	// NonIdempotent requests are executed at most once for each attempt of a caller.
	NonIdempotent Kind = iota + 1
	// Idempotent requests may be executed more than once.
	Idempotent
	// Stream requests get a stream of events as their response. They may not be retried, only resumed.
	Stream
)

// Target is a service that receives a part of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route forwards the requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable streams may continue at another worker after the last delivered event.
	Resumable bool
	// Timeout is the longest time that a caller waits for the complete response.
	Timeout time.Duration
	// TargetLatency is the time within which a response, or the first event of a stream, should be delivered.
	TargetLatency time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the largest number of workers to which one attempt of a caller may be sent, at least 1.
	MaxAttempts int
	// Public routes do not require a key.
	Public bool
}

// Retryable reports whether a request that may have been executed may be sent to another worker from the beginning.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model that the workers of a service serve.
type Model struct {
	Name string
	// WeightsMB is the size of the weights in megabytes.
	WeightsMB float64
	// Adapters is the number of adapters of the model.
	Adapters int
	// AdapterMB is the size of one adapter in megabytes.
	AdapterMB float64
	// LoadTime is the duration of a load from the weight store at full speed.
	LoadTime time.Duration
}

// Engine describes the workers of a service that runs models.
type Engine struct {
	// Slots is the number of requests that one worker runs concurrently.
	Slots int
	// MemoryTokens is the number of tokens of running requests and cached prompts that one worker holds; 0 if it is not known.
	MemoryTokens int64
	Models       []Model
	// WeightsMB is the memory of one worker for weights and adapters, in megabytes.
	WeightsMB float64
	// AdapterSlots is the number of adapters that one worker can have loaded.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads that the weight store permits to all workers together.
	LoadsPerSecond float64
}

// AdapterRoom returns how many adapters of a model one worker can have loaded beside the models that it holds, by its slots and its
// memory. It is negative if the model itself does not fit beside them. What has an unknown size is not counted.
func (e *Engine) AdapterRoom(model string, holds []string) int {
	used, adapterMB := 0.0, 0.0
	for i, m := range e.Models {
		if slices.IndexFunc(e.Models, func(other Model) bool { return other.Name == m.Name }) < i {
			continue
		}
		if m.Name == model {
			adapterMB = m.AdapterMB
		}
		if m.Name == model || slices.Contains(holds, m.Name) {
			used += m.WeightsMB
		}
	}
	switch {
	case e.WeightsMB <= 0:
		return e.AdapterSlots
	case used > e.WeightsMB:
		return -1
	case adapterMB <= 0:
		return e.AdapterSlots
	}
	n := int((e.WeightsMB - used) / adapterMB)
	if used+float64(n)*adapterMB > e.WeightsMB {
		// The quotient was rounded up.
		n--
	}
	return min(e.AdapterSlots, n)
}

// Service is a group of workers that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one worker accepts from all callers together.
	MaxConnections int
	// ColdStart is how long a worker is cold after its start, and ColdRate the requests per second that a cold worker accepts
	// from all instances together. A ColdRate of 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a tenant with its keys and its rate limit over all instances.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of the route; a negative value is not set.
	Priority int
	// Rate is in units per second and Burst in units. A Rate of 0 means no limit.
	Rate, Burst float64
	// CountsTokens is true if the unit is a token, not a request.
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not state its token count, if tokens are counted.
	DefaultTokens float64
}

// Limits bound what a caller may send; a value of 0 is not set.
type Limits struct {
	// MaxHeaderBytes counts the request line and all headers.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time in which a caller sends the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection may be idle between requests.
	IdleTimeout time.Duration
}

// Config is one complete version of the operators' configuration.
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
