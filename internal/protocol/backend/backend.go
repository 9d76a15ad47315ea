// Package backend defines what the system asks of backend servers: model engines and plain
// services. Each interface has one adapter package.
package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Priority orders requests within an engine's batch; higher runs first.
type Priority int

// Request is one completion request for an engine. It holds nothing of the caller's credentials.
type Request struct {
	// ID is unique per attempt, so that a late answer of an earlier attempt cannot be mistaken.
	ID string
	// Path is the interface path: /v1/chat/completions or /v1/completions.
	Path string
	// Adapter is the adapter version that must run.
	Adapter adapter.Ref
	// Body is the JSON body with model set to Adapter.
	Body []byte
	// Priority is passed to the engine.
	Priority Priority
	// TraceParent is the W3C trace context of the request, or empty.
	TraceParent string
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Response is the whole answer to a request that was not streamed.
type Response struct {
	// Adapter is the adapter version that the engine says it ran.
	Adapter adapter.Ref
	Status  int
	Body    []byte
	Usage   Usage
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// Position counts events of this answer from zero.
	Position int
	// Adapter is the adapter version that the engine says it ran.
	Adapter adapter.Ref
	// Data is the JSON of the event, as received.
	Data []byte
	// Usage is set on the event that carries it.
	Usage *Usage
	// Done marks the clean end of the answer; Data is then empty.
	Done bool
}

// ChunkReader reads a streamed answer. Close cancels what is left of it.
type ChunkReader interface {
	// Next returns the next chunk. An error before a Done chunk means a broken stream.
	Next() (Chunk, error)
	Close() error
}

// Order tells an engine to load or evict an adapter version.
type Order struct {
	Adapter adapter.Ref
	// Fence is the offset of the owner's claim. Some engines refuse a smaller one.
	Fence uint64
	// IfIdle asks for an eviction only if the adapter serves no request.
	IfIdle bool
}

// ResidentAdapter is one occupied slot.
type ResidentAdapter struct {
	Adapter adapter.Ref
	// Running counts the requests that the adapter serves now.
	Running int
}

// Status is an engine's report of itself. It lags.
type Status struct {
	// Incarnation changes with each restart; a restart empties all slots.
	Incarnation string
	// Sequence grows with each report of an incarnation.
	Sequence  uint64
	Slots     int
	Resident  []ResidentAdapter
	Running   int
	Queued    int
	Leaving   bool
	SampledAt time.Time
}

// CacheEvent says that an engine stored or dropped a prompt prefix. Events come late and with gaps.
type CacheEvent struct {
	Sequence uint64
	Adapter  adapter.Ref
	// PrefixHash identifies a prompt prefix.
	PrefixHash uint64
	Stored     bool
}

// Engine is a model engine. Errors are of type *verdict.Error and say whether the request may have run.
type Engine interface {
	Complete(ctx context.Context, r Request) (Response, error)
	Stream(ctx context.Context, r Request) (ChunkReader, error)
	// Resume continues a broken stream at a position.
	Resume(ctx context.Context, r Request, from int) (ChunkReader, error)
	Cancel(ctx context.Context, requestID string) error
	Load(ctx context.Context, o Order) error
	Evict(ctx context.Context, o Order) error
	Status(ctx context.Context) (Status, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID     string
	Method string
	// Path begins with a slash and is not escaped.
	Path        string
	Query       string
	Header      http.Header
	Body        []byte
	TraceParent string
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service beside the engines.
type Service interface {
	Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error)
}
