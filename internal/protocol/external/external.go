// Package external states what the system needs of its surroundings when it forwards requests for a
// platform: the platform's log and registry, the control interface of workers, and the headers of requests.
// One package implements all of it for one platform.
package external

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// Errors of the log.
var (
	// ErrConflict means that a conditional append found another end and appended nothing.
	ErrConflict = trace.CompareFailed("the stream does not end at the given offset")
	// ErrExpired means that records were asked for that are no longer kept.
	ErrExpired = trace.NotFound("the records have expired")
	// ErrRefused means that the log answered that nothing was done.
	ErrRefused = trace.ConnectionProblem(nil, "the log service refused the call")
)

// AnyOffset makes an append unconditional.
const AnyOffset = -1

// Record is one record of a stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is what one read of a stream returned.
type Batch struct {
	Records []Record
	// Next is the offset after the last record, or the first offset that is kept if the read failed with ErrExpired.
	Next int64
	// More says that the stream held further records when it was read.
	More bool
}

// Stream is an append-only stream of the log service.
type Stream interface {
	// Append adds a record if the stream ends at the offset at, or at any offset with AnyOffset, and returns
	// the record's offset. After an error other than ErrConflict and ErrRefused the append may have happened
	// or may still happen.
	Append(ctx context.Context, record []byte, at int64) (int64, error)
	// Read returns the records from an offset on. It waits up to wait for one. ErrExpired comes with the first offset
	// that is kept.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
}

// Update is a change of what operators published. Fields are nil where nothing changed.
type Update struct {
	Config   *routing.Config
	Versions []routing.AdapterVersion
}

// Log reads topics of the log service.
type Log interface {
	// Read returns the records of a topic from an offset on. It waits up to wait for one. ErrExpired comes with the
	// first offset that is kept.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}

// ConfigFeed reads what operators publish.
type ConfigFeed interface {
	// Load reads all that is in force, and the offset of the topic to go on from.
	Load(ctx context.Context) (Update, int64, error)
	// Topic is where changes are published, and Decode what records of it say.
	Topic() string
	Decode(records []Record) (Update, error)
}

// WorkerFeed reads the registry of workers.
type WorkerFeed interface {
	// Load reads all entries, and the offset of the topic to go on from.
	Load(ctx context.Context) ([]workers.Entry, int64, error)
	// Topic is where entries change, and Decode what records of it say.
	Topic() string
	Decode(records []Record) ([]workers.Entry, error)
}

// OrderKind is what a worker is ordered to do.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
)

// Order tells a worker to load or unload a model, or an adapter of a model that it holds.
type Order struct {
	Kind  OrderKind
	Model string
	// Adapter is empty for an order about the model itself.
	Adapter string
	// Version is the adapter version to load; 0 means the newest.
	Version int64
	// Seq is the number of orders that the worker must have accepted for this one to be carried out. A late
	// order whose number has passed has no effect.
	Seq int64
	// Holder and Fence identify the owner.
	Holder string
	Fence  int64
}

// OrderResult is a worker's answer to an order.
type OrderResult int

// The results of orders.
const (
	// OrderUnknown means that no answer came: the order may be carried out, also later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderSatisfied means that what was ordered already holds, or was done at once.
	OrderSatisfied
	// OrderConflict means that the worker is at another number of orders, or busy.
	OrderConflict
	// OrderFenced means that a later owner has given orders.
	OrderFenced
	// OrderWrongWorker means that another worker has the address.
	OrderWrongWorker
	// OrderRejected means that the worker does not know such an order.
	OrderRejected
)

// Report is what a worker says of itself, as of some hundred milliseconds ago.
type Report struct {
	Models []workers.LoadedModel
	// Pending are adapters on their way to the worker, by model.
	Pending []PendingAdapter
	Seq     int64
	StartedMilli    int64
	Busy    bool
}

// PendingAdapter is an adapter on its way to a worker.
type PendingAdapter struct {
	Model, Name string
	Version     int64
}

// WorkerControl gives orders to workers and reads their reports.
type WorkerControl interface {
	Report(ctx context.Context, w *workers.Worker) (Report, error)
	// Order never returns an error that is not also told by the result.
	Order(ctx context.Context, w *workers.Worker, o Order) (OrderResult, error)
}

// PromptPart is one part of a prompt that may be shared between requests.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request is what the headers of a caller's request say.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// Deadline is how long the caller will wait; zero if it does not say.
	Deadline time.Duration
	Key      string
	Model    string
	// Adapter is empty for requests to the base model.
	Adapter      string
	HasTokens    bool
	PromptTokens int64
	OutputTokens int64
	Prefix       []PromptPart
	LastEventID  string
}

// WorkerRequest is what the system adds to a request that it sends to a worker.
type WorkerRequest struct {
	// Deadline is the time left.
	Deadline  time.Duration
	WorkerID  string
	Workspace string
	// Version is the adapter version that must serve the request; 0 accepts any.
	Version int64
	// Priority is from 0, the most urgent, to 9; negative leaves it unset.
	Priority int
	// LastEventID resumes a stream after that event.
	LastEventID string
}

// WorkerResponse is what the headers of a worker's answer say.
type WorkerResponse struct {
	// ID is the attempt that the answer belongs to.
	ID string
	// Signed says that the answer carries the worker's signature.
	Signed bool
	// NotRun is the worker's word that it did not run the request.
	NotRun bool
	// Misdirected says that the address belongs to another worker, or that it holds another version.
	Misdirected bool
}

// Headers reads and writes the headers by which callers, the system and workers speak.
type Headers interface {
	ParseRequest(h http.Header) Request
	// WorkerHeaders returns the headers to send to a worker: those of the caller that are not for one
	// connection and not the system's own to set, with those of o.
	WorkerHeaders(caller http.Header, o WorkerRequest) http.Header
	ParseResponse(status int, h http.Header) WorkerResponse
	// CallerHeaders returns the headers of a worker's answer that go to the caller.
	CallerHeaders(worker http.Header) http.Header
}
