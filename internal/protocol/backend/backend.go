// Package backend defines the interfaces of backend servers, which are model engines and plain services. One
// package implements each of them.
package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Priority is the priority of a request on an engine. Queued requests with a higher value start first.
type Priority int

// Request is one completion request for an engine. It contains no credentials of the caller.
type Request struct {
	// ID is unique per attempt, so that a late response to an earlier attempt is not taken for the current one.
	ID string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Adapter is the adapter version that must serve the request.
	Adapter adapter.Ref
	// Body is the JSON body; its field model is Adapter.
	Body []byte
	// Priority is sent to the engine.
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

// Response is the complete response to a request without streaming.
type Response struct {
	// Adapter is the adapter version that the engine says it ran.
	Adapter adapter.Ref
	Status  int
	Body    []byte
	Usage   Usage
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// Position is the index of the event in the response, from zero.
	Position int
	// Adapter is the adapter version that the engine says it ran.
	Adapter adapter.Ref
	// Data is the JSON of the event, as received.
	Data []byte
	// Usage is nil for events without usage.
	Usage *Usage
	// Done marks the regular end of the response; Data is then empty.
	Done bool
}

// ChunkReader reads a streamed response. Close cancels the rest of it.
type ChunkReader interface {
	// Next returns the next chunk. An error before a Done chunk means that the stream broke.
	Next() (Chunk, error)
	Close() error
}

// Order tells an engine to load or evict an adapter version.
type Order struct {
	Adapter adapter.Ref
	// Fence is the fencing token: the offset of the owner's claim. Some engines refuse one that is smaller than
	// the largest that they have seen.
	Fence uint64
	// IfIdle makes the engine refuse to evict an adapter that is serving requests.
	IfIdle bool
}

// ResidentAdapter is an adapter that occupies a slot.
type ResidentAdapter struct {
	Adapter adapter.Ref
	// Running is the number of requests that the adapter is serving.
	Running int
}

// Status is an engine's report of its own state. It may be out of date when it arrives.
type Status struct {
	// Incarnation changes with each restart; a restart empties all slots.
	Incarnation string
	// Sequence increases with each report of an incarnation.
	Sequence  uint64
	Slots     int
	Resident  []ResidentAdapter
	Running   int
	Queued    int
	Leaving   bool
	SampledAt time.Time
}

// CacheEvent says that an engine stored or dropped a prompt prefix. Events arrive late, and some are lost.
type CacheEvent struct {
	Sequence uint64
	Adapter  adapter.Ref
	// PrefixHash identifies the prompt prefix.
	PrefixHash uint64
	Stored     bool
}

// Engine is a client of a model engine. Errors are of type *verdict.Error and say whether the request may have run.
type Engine interface {
	Complete(ctx context.Context, r Request) (Response, error)
	Stream(ctx context.Context, r Request) (ChunkReader, error)
	// Resume continues a broken stream from the chunk at position from.
	Resume(ctx context.Context, r Request, from int) (ChunkReader, error)
	Cancel(ctx context.Context, requestID string) error
	Load(ctx context.Context, o Order) error
	Evict(ctx context.Context, o Order) error
	Status(ctx context.Context) (Status, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// ServiceRequest is a call of a plain service.
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

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a client of a plain service.
type Service interface {
	Call(ctx context.Context, r ServiceRequest) (ServiceResponse, error)
}
