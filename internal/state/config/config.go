// Package config holds the configuration that operators publish: its types, its checks and the fold
// that turns log records into the one accepted configuration.
package config

import (
	"time"
)

// Version is a version of the configuration: the offset of the accepted change plus one. Zero is the
// empty configuration.
type Version uint64

// Document is a whole configuration. Maps are keyed by the object's id.
type Document struct {
	Fleet          Fleet                    `json:"fleet"`
	Workspaces     map[string]Workspace     `json:"workspaces"`
	Keys           map[string]Key           `json:"keys"`
	Adapters       map[string]Adapter       `json:"adapters"`
	Routes         map[string]Route         `json:"routes"`
	BackendServers map[string]BackendServer `json:"backend_servers"`
}

// Fleet holds the settings that concern the whole fleet.
type Fleet struct {
	// WeightStore is the weight store's limits, shared by all instances.
	WeightStore WeightStore `json:"weight_store"`
	// Policy weighs what the users measure.
	Policy Policy `json:"policy"`
}

// WeightStore describes the limits of the weight store.
type WeightStore struct {
	// LoadsPerSecond is the largest rate of adapter loads.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// FullSpeed is how many loads run at full speed at once.
	FullSpeed int `json:"full_speed"`
	// MaxInFlight is how many loads may be in flight before each becomes proportionally slower.
	MaxInFlight int `json:"max_in_flight"`
}

// Policy weighs the measures against each other. The sum need not be one.
type Policy struct {
	// WorstServed raises the weight of the workspace that was served least of its share.
	WorstServed float64 `json:"worst_served"`
	// Worth raises the weight of a request's worth.
	Worth float64 `json:"worth"`
}

// Workspace is a customer: the owner of keys, adapters and routes and the unit of rates and fairness.
type Workspace struct {
	// TokensPerSecond is the rate over the whole fleet.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// BurstTokens is the burst over the whole fleet.
	BurstTokens float64 `json:"burst_tokens"`
	// Weight is the share in fair queueing; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is the stored form of a caller's key.
type Key struct {
	Workspace string `json:"workspace"`
	// Hash is the SHA-256 of the secret, in hexadecimal.
	Hash string `json:"hash"`
}

// Adapter is a LoRA adapter with its versions.
type Adapter struct {
	Workspace string `json:"workspace"`
	BaseModel string `json:"base_model"`
	// Versions are the versions that callers may ask for.
	Versions []string `json:"versions"`
	// Default is the version that a bare name takes.
	Default string `json:"default"`
	// Open lets callers of every workspace use the adapter, without a key.
	Open bool `json:"open,omitempty"`
	// Class is the service class of the adapter's requests; empty means "standard".
	Class Class `json:"class,omitempty"`
	// DeadlineSeconds is how long a request may take in all; zero means the default of 300 s.
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty"`
	// Worth is what a completed request is worth to the customer; zero means 1.
	Worth float64 `json:"worth,omitempty"`
}

// Class says how a request is queued.
type Class string

// The service classes, from the most to the least urgent.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Route leads calls to a plain service.
type Route struct {
	Workspace string `json:"workspace"`
	// Service is the service name that backend servers carry.
	Service string `json:"service"`
	// NonIdempotent marks calls that run at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Open lets every caller use the route, without a key.
	Open bool `json:"open,omitempty"`
	// Tokens is the charge of one call against the workspace's rate; zero means 1.
	Tokens int `json:"tokens,omitempty"`
	// DeadlineSeconds is how long a call may take; zero means the default of 30 s.
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty"`
}

// BackendKind says what a backend server is.
type BackendKind string

// The kinds of backend server.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// BackendServer is a model engine or a plain service.
type BackendServer struct {
	Kind BackendKind `json:"kind"`
	// URL is the base address.
	URL        string `json:"url"`
	DataCentre string `json:"data_centre"`
	// BaseModel is set on engines.
	BaseModel string `json:"base_model,omitempty"`
	// Service is set on plain services.
	Service string `json:"service,omitempty"`
	// Slots is how many adapters the engine holds at once.
	Slots int `json:"slots,omitempty"`
	// MaxBatch is how many requests the engine runs at once; zero means 32.
	MaxBatch int `json:"max_batch,omitempty"`
	// ChecksFence says that the engine refuses an order with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// EvictsOnlyIdle says that the engine can evict an adapter only if it is idle.
	EvictsOnlyIdle bool `json:"evicts_only_idle,omitempty"`
	// Leaving takes the backend server out of use for new work.
	Leaving bool `json:"leaving,omitempty"`
}

// defaultCompletionDeadline is the largest duration of a completion request that sets none.
const defaultCompletionDeadline = 300 * time.Second

// defaultServiceDeadline is the largest duration of a service call whose route sets none.
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
