// Package external defines the interfaces between the gateway and the platform for which it forwards requests:
// the platform's log service and registry of workers, the control interface of workers, and the headers of
// requests and responses. One package implements all of them for one platform.
package external

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/evacuation"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// The errors of the log service.
var (
	// ErrConflict means that the log service did not execute the call since its state differs from what the call expects.
	ErrConflict = trace.CompareFailed("stream does not end at the expected offset")
	// ErrExpired means that the records at the requested offset are no longer kept.
	ErrExpired = trace.NotFound("records at the requested offset have expired")
	// ErrRestored means that the log service was restored while several calls of one operation were made, so that their
	// results do not fit together.
	ErrRestored = trace.CompareFailed("log service was restored during the operation")
	// ErrRefused means that the log service responded that it did not execute the call.
	ErrRefused = trace.ConnectionProblem(nil, "log service refused the call")
)

// CallTimeout is the timeout of a call to the log service, in addition to the time for which the call asks the log service to wait for
// records. A slow log service responds within a few hundred milliseconds. A registry read that gets no response and the read after it
// must both fit into the time within which the gateway must notice that a worker is draining.
const CallTimeout = 600 * time.Millisecond

// Position is a position in a stream or topic. The log service starts a new era when it has been restored from an older
// copy: it then lacks the newest records and assigns their offsets again. An offset names a record only within its era.
type Position struct {
	// Era increases with each restore. It is 0 if the log service does not report eras.
	Era    int64
	Offset int64
}

// Record is a record of a stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	// Era is the era in which the read was answered, also with ErrExpired. It is not set with other errors.
	Era     int64
	Records []Record
	// Next is the offset after the last record. If the read failed with ErrExpired, it is the first offset that is
	// still kept.
	Next int64
	// End is the offset after the last record that the stream contained when it was read. It is not set with an error.
	End int64
}

// More reports whether the stream contained further records when it was read.
func (b Batch) More() bool { return b.End > b.Next }

// Stream is an append-only stream of the log service.
type Stream interface {
	// Topic returns the name of the stream's topic.
	Topic() string
	// Append appends records, all or none, and returns the position of the first; the others follow. After an error other
	// than ErrConflict and ErrRefused, the append may have taken effect or may still take effect.
	Append(ctx context.Context, records ...[]byte) (Position, error)
	// Read returns the records from offset from on. If there are none, it waits for one for at most wait. With
	// ErrExpired it returns the first offset that is still kept as Next.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
}

// Unreadable is a record that could not be decoded and was skipped.
type Unreadable struct {
	// Key is the record's key, empty if it has none.
	Key string
	Err error
}

// Update is a change of the configuration that operators published. Fields are nil if they did not change.
type Update struct {
	Config *routing.Config
	// ConfigUnreadable means that the newest configuration could not be decoded. Config is an older one then, or nil.
	ConfigUnreadable bool
	Versions         []routing.AdapterVersion
	// Evacuations are the records on evacuations of data centres. In a snapshot they are all that are in force.
	Evacuations []evacuation.Record
	// Unreadable lists the records that were skipped, a configuration included; all others are in force.
	Unreadable []Unreadable
}

// KeyedValue is the newest value of a key.
type KeyedValue struct {
	Key   string
	Value []byte
}

// KeyedTopic is a topic of the instances' own that keeps the newest value of each key for good.
type KeyedTopic interface {
	// Newest returns the newest value of each key, and a position at which the topic ended then or earlier.
	Newest(ctx context.Context) ([]KeyedValue, Position, error)
	// Put sets a value if the topic ends at a position. Else the error is ErrConflict. After an error other than ErrConflict and
	// ErrRefused, the value may have been set or may still be set.
	Put(ctx context.Context, key string, value []byte, at Position) error
}

// Log is a read-only client of the log service's topics.
type Log interface {
	// Read returns the records of a topic from offset from on. If there are none, it waits for one for at most wait.
	// With ErrExpired it returns the first offset that is still kept as Next.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}

// ConfigFeed reads the configuration that operators publish.
type ConfigFeed interface {
	// Load returns the configuration in force and the position of the topic from which later changes are read.
	Load(ctx context.Context) (Update, Position, error)
	// Topic returns the name of the topic of changes, and Decode decodes its records.
	Topic() string
	Decode(records []Record) Update
}

// WorkerFeed reads the platform's registry of workers.
type WorkerFeed interface {
	// Load returns all entries and the position of the topic from which later changes are read.
	Load(ctx context.Context) ([]workers.Entry, Position, error)
	// Topic returns the name of the topic of changes, and Decode decodes its records.
	Topic() string
	Decode(records []Record) []workers.Entry
}

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
)

// Order tells a worker to load or unload a model, or an adapter of a loaded model.
type Order struct {
	Kind  OrderKind
	Model string
	// Adapter is empty if the order applies to the model itself.
	Adapter string
	// Version is the adapter version to load; 0 means the newest version.
	Version int64
	// Seq is a precondition: the number of orders that the worker has accepted before this one. An order that
	// arrives after the worker has accepted others has no effect.
	Seq int64
	// Holder identifies the owner, and Fence is its fencing token.
	Holder string
	Fence  int64
	// Confirm, if set, is called when a connection is open, right before the order is sent on it. If it returns an error, the
	// order is not sent.
	Confirm func() error
}

// OrderResult is the result of an order.
type OrderResult int

// The results of orders.
const (
	// OrderUnknown means that there was no response: the order may have been executed or may still be.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the worker is executing the order.
	OrderAccepted
	// OrderSatisfied means that the worker was already in the ordered state, or reached it immediately.
	OrderSatisfied
	// OrderConflict means that the worker has accepted another number of orders than Seq, or is busy.
	OrderConflict
	// OrderFenced means that the worker has accepted an order of a later owner.
	OrderFenced
	// OrderWrongWorker means that the address belongs to another worker.
	OrderWrongWorker
	// OrderRejected means that the worker rejected the order as invalid.
	OrderRejected
)

// Report is a worker's report of its own state, some hundred milliseconds old.
type Report struct {
	Models []workers.LoadedModel
	// Pending holds the adapters that the worker is still loading.
	Pending []PendingAdapter
	// Seq is the number of orders that the worker has accepted.
	Seq int64
	// StartedMilli is when the worker started, in Unix milliseconds.
	StartedMilli int64
	Busy         bool
}

// PendingAdapter is an adapter that a worker is still loading.
type PendingAdapter struct {
	Model, Name string
	Version     int64
}

// WorkerControl sends orders to workers and reads their reports.
type WorkerControl interface {
	Report(ctx context.Context, w *workers.Worker) (Report, error)
	// Order sends an order. Every failure shows in the result; the error adds the cause.
	Order(ctx context.Context, w *workers.Worker, o Order) (OrderResult, error)
}

// PromptPart is a part of a prompt prefix that requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request holds the values of the headers of a caller's request.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Deadline is how long the caller waits for the response, or zero if the request does not say.
	Deadline time.Duration
	Key      string
	Model    string
	// Adapter is empty if the request is for the base model.
	Adapter string
	// HasTokens says that the request gives PromptTokens and OutputTokens.
	HasTokens    bool
	PromptTokens int64
	OutputTokens int64
	// LengthHint is the number of output tokens that the caller expects, 0 if the request does not say.
	LengthHint  int64
	Prefix      []PromptPart
	LastEventID string
	// Resumes is the ID of the attempt whose answer began the stream that the caller wants to go on, empty if the request does not
	// name it.
	Resumes string
}

// WorkerRequest holds the values of the headers that the system sets on a request to a worker.
type WorkerRequest struct {
	// Deadline is the time that remains.
	Deadline  time.Duration
	WorkerID  string
	Workspace string
	// Version is the adapter version that must serve the request; 0 accepts any.
	Version int64
	// Priority ranges from 0, the most urgent, to 9; if negative, no priority is sent.
	Priority int
	// LastEventID, if not empty, resumes a stream after that event.
	LastEventID string
}

// WorkerResponse holds the values of the headers of a worker's response.
type WorkerResponse struct {
	// ID is the ID of the attempt that the response belongs to.
	ID string
	// Signed says that the response carries the worker's signature.
	Signed bool
	// NotRun says that, according to the worker, it did not run the request.
	NotRun bool
	// Misdirected says that the address belongs to another worker, or that the worker has another version loaded.
	Misdirected bool
	// Limit is the number of requests per second that the worker takes from all instances together, if Limited is true.
	// A response without a limit ends an earlier one.
	Limit   float64
	Limited bool
	// Backoff is for how long the worker wants no further requests from this instance, as it said in a response with status
	// 503; 0 if it did not say.
	Backoff time.Duration
	// Leaving says that the worker leaves. It takes no further requests; those that it runs it runs to their end.
	Leaving bool
}

// Headers converts the headers of requests and responses between callers, the system and workers.
type Headers interface {
	// ParseRequest returns the values of the headers of a caller's request.
	ParseRequest(h http.Header) Request
	// WorkerHeaders returns the headers to send to a worker: those of the caller without hop-by-hop headers and
	// without headers that only the system may set, and those of r.
	WorkerHeaders(caller http.Header, r WorkerRequest) http.Header
	// ParseResponse returns the values of the headers of a worker's response.
	ParseResponse(status int, h http.Header) WorkerResponse
	// CallerHeaders returns the headers of a worker's response that are sent to the caller, without those that concern
	// only the exchange between the system and the worker.
	CallerHeaders(worker http.Header) http.Header
}
