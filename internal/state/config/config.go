// Package config defines the configuration that operators publish: its types, its validation and the
// fold that computes the accepted configuration from log records.
package config

import (
	"time"
)

// Version is a version of the configuration: the offset of the accepted change plus one. Zero is the
// empty configuration.
type Version uint64

// Document is a complete configuration. Maps are keyed by the object's ID.
type Document struct {
	Fleet          Fleet                    `json:"fleet"`
	Workspaces     map[string]Workspace     `json:"workspaces"`
	Keys           map[string]Key           `json:"keys"`
	Adapters       map[string]Adapter       `json:"adapters"`
	Routes         map[string]Route         `json:"routes"`
	BackendServers map[string]BackendServer `json:"backend_servers"`
}

// Fleet holds fleet-wide settings.
type Fleet struct {
	// WeightStore holds the weight store's limits, which all instances share.
	WeightStore WeightStore `json:"weight_store"`
	// Policy weighs the scheduling objectives against each other.
	Policy Policy `json:"policy"`
}

// WeightStore describes the limits of the weight store.
type WeightStore struct {
	// LoadsPerSecond is the maximum rate of adapter loads.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// FullSpeed is how many concurrent loads run at full speed.
	FullSpeed int `json:"full_speed"`
	// MaxInFlight is how many loads may be in flight before each slows down in proportion.
	MaxInFlight int `json:"max_in_flight"`
}

// Policy weighs the scheduling objectives against each other. The values need not add up to one.
type Policy struct {
	// WorstServed is the weight of how far a workspace lags behind its fair share.
	WorstServed float64 `json:"worst_served"`
	// Worth is the exponent of worth within a workspace: 0 ignores worth, 1 shares in proportion to it.
	Worth float64 `json:"worth"`
}

// Workspace is a customer. It owns keys, adapters and routes; rate limits and fairness apply per workspace.
type Workspace struct {
	// TokensPerSecond is the fleet-wide rate limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// BurstTokens is the fleet-wide burst size.
	BurstTokens float64 `json:"burst_tokens"`
	// Weight is the workspace's weight in fair queueing; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is the stored form of an API key.
type Key struct {
	Workspace string `json:"workspace"`
	// Hash is the SHA-256 of the secret, in hexadecimal.
	Hash string `json:"hash"`
}

// Adapter is a LoRA adapter and its versions.
type Adapter struct {
	Workspace string `json:"workspace"`
	BaseModel string `json:"base_model"`
	// Versions lists the versions that callers may request.
	Versions []string `json:"versions"`
	// Default is the version used when a request names none.
	Default string `json:"default"`
	// Open lets callers of every workspace use the adapter, without a key.
	Open bool `json:"open,omitempty"`
	// Class is the service class of the adapter's requests; empty means "standard".
	Class Class `json:"class,omitempty"`
	// DeadlineSeconds is how long a request may take in total; zero means the default of 300 s.
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty"`
	// Worth is the value of a completed request to the customer; zero means 1.
	Worth float64 `json:"worth,omitempty"`
}

// Class is a service class, which sets a request's queueing priority.
type Class string

// The service classes, from the most to the least urgent.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Route directs calls to a service that is not a model engine.
type Route struct {
	Workspace string `json:"workspace"`
	// Service is the service name that backend servers declare.
	Service string `json:"service"`
	// NonIdempotent marks calls that run at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Open lets every caller use the route, without a key.
	Open bool `json:"open,omitempty"`
	// Tokens is what one call consumes of the workspace's rate limit; zero means 1.
	Tokens int `json:"tokens,omitempty"`
	// DeadlineSeconds is how long a call may take; zero means the default of 30 s.
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty"`
}

// BackendKind is the kind of a backend server.
type BackendKind string

// The kinds of backend server.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// BackendServer is a model engine or another service.
type BackendServer struct {
	Kind BackendKind `json:"kind"`
	// URL is the base URL.
	URL        string `json:"url"`
	DataCentre string `json:"data_centre"`
	// BaseModel is set for engines only.
	BaseModel string `json:"base_model,omitempty"`
	// Service is set for services only.
	Service string `json:"service,omitempty"`
	// Slots is how many adapters the engine can hold at once.
	Slots int `json:"slots,omitempty"`
	// MaxBatch is how many requests the engine runs concurrently; zero means 32.
	MaxBatch int `json:"max_batch,omitempty"`
	// ChecksFence means that the engine rejects orders with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// EvictsOnlyIdle means that the engine can evict an adapter only while it is idle.
	EvictsOnlyIdle bool `json:"evicts_only_idle,omitempty"`
	// Leaving means that the backend server gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// defaultCompletionDeadline is the deadline of requests to an adapter that sets none.
const defaultCompletionDeadline = 300 * time.Second

// defaultServiceDeadline is the deadline of calls on a route that sets none.
const defaultServiceDeadline = 30 * time.Second

// Deadline returns how long a request to the adapter may take.
func (a Adapter) Deadline() time.Duration {
	if a.DeadlineSeconds > 0 {
		return time.Duration(a.DeadlineSeconds * float64(time.Second))
	}
	return defaultCompletionDeadline
}

// Deadline returns how long a call on the route may take.
func (r Route) Deadline() time.Duration {
	if r.DeadlineSeconds > 0 {
		return time.Duration(r.DeadlineSeconds * float64(time.Second))
	}
	return defaultServiceDeadline
}
