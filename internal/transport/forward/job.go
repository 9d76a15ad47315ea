package forward

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// Job is one request of a caller, with all its attempts at workers.
type Job struct {
	external.Request
	Route     *routing.Route
	Workspace *routing.Workspace
	// Service is the service that the request is sent to, one of those of its route.
	Service string
	// Config is the version of the configuration by which the request is decided until its end, nil if there was none, and
	// ConfigAge the time since all that operators had published was known to be in force.
	Config    *routing.Table
	ConfigAge time.Duration
	Arrived   time.Time
	Deadline  time.Time
	// Tried lists the workers of the attempts so far.
	Tried []workers.Key
	// Placed is how the job's latest worker was chosen, empty if that is not recorded.
	Placed Placed
	// OverShare is how many workers had no place for the job because its workspace held more than its share.
	OverShare int
	// Method, URI (the path and the query), Body and CallerHost identify a request that crashes workers. CallerHost is the
	// host, without a port, from which the request came.
	Method, URI, CallerHost string
	Body                    []byte
	// ChargedUnits is what was taken from the workspace's rate, and Cost what the request costs. ShareRate is this
	// instance's share of the rate in units per second, and ShareTokens what was left of the share when the request
	// arrived.
	ChargedUnits, Cost, ShareRate, ShareTokens float64
	// ChargedTo is the address of the instance whose share was charged; empty for this instance.
	ChargedTo string
	// StreamVersion is the software version of the workers at which the job's stream goes on, nil before it has begun.
	StreamVersion *string
	// Recording is the latest record of the version on which the stream begins, nil if there is none.
	Recording *Recording
	// Held is how long the job has waited for room at workers.
	Held time.Duration
}

// Priority returns the priority of the job: its workspace's, if that has one, else its route's.
func (j *Job) Priority() int {
	if j.Workspace != nil && j.Workspace.Priority >= 0 {
		return j.Workspace.Priority
	}
	return j.Route.Priority
}

// Placed is how a worker was chosen for a job, or why none was.
type Placed struct {
	// How is a short name of the reason.
	How string
	// Questions is how many questions were asked for the attempt.
	Questions int
	// Wait is the expected wait at the worker.
	Wait time.Duration
}

// Reservation is capacity reserved on a worker for one attempt.
type Reservation struct {
	Worker *workers.Worker
	// AdapterVersion is the adapter version that the worker must hold; 0 accepts any.
	AdapterVersion int64
	// Sending is called before the request is sent. The function that it is given ends the attempt: the worker then drops
	// the request if it has not begun to run it.
	Sending func(revoke func())
	// Confirm is called when a connection is open, before the request is sent on it. If it returns an error, which carries
	// the verdict NotRun, the request is not sent there.
	Confirm func() error
	// Answered reports the headers of the worker's response. It is called for each response, before its body is read.
	Answered func(r external.WorkerResponse)
	// Begin is called when the first event of a stream has arrived, before anything is passed on. It may wait. After an error, nothing of
	// the attempt is passed on.
	Begin func(ctx context.Context) error
	// Answering reports that the first event of a stream has arrived. It is called at most once.
	Answering func()
	// Done reports the outcome of the attempt. It must be called exactly once.
	Done func(Outcome)
}

// Recording is the record of the software version on which a stream begins.
type Recording struct {
	Version string
	// Number counts the records of the attempt.
	Number int64
	done   chan struct{}
	err    error
}

// NewRecording returns a record that is still to be appended.
func NewRecording(version string, number int64) *Recording {
	return &Recording{Version: version, Number: number, done: make(chan struct{})}
}

// Finish sets the outcome of the append. It is called once. After an error, the append may have taken effect or may still do.
func (r *Recording) Finish(err error) {
	r.err = err
	close(r.done)
}

// Failed reports whether the append has failed.
func (r *Recording) Failed() bool {
	select {
	case <-r.done:
		return r.err != nil
	default:
		return false
	}
}

// Wait waits for the outcome of the append, at most until ctx ends.
func (r *Recording) Wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Outcome is how one attempt at a worker ended.
type Outcome int

// The outcomes of attempts.
const (
	// Succeeded: the worker's complete response was received.
	Succeeded Outcome = iota + 1
	// Failed: the worker ran the request and responded with an error.
	Failed
	// Rejected: the worker rejected the request without running it.
	Rejected
	// Misdirected: the worker does not hold the requested adapter version, or another worker has its address.
	Misdirected
	// Unreachable: the request could not be sent.
	Unreachable
	// Broken: the response was missing, truncated or not from the worker.
	Broken
	// Interrupted: a stream broke off after its first event.
	Interrupted
	// Withheld: the request was not sent, because another worker was chosen, or the worker takes no requests any more.
	Withheld
	// Abandoned: the caller disconnected, its deadline passed, or the attempt was revoked.
	Abandoned
)

var outcomeNames = map[Outcome]string{
	Succeeded: "succeeded", Failed: "failed", Rejected: "full", Misdirected: "absent", Unreachable: "unreachable",
	Broken: "broken", Interrupted: "interrupted", Withheld: "withheld", Abandoned: "abandoned",
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Admission decides which requests are served. Implementations must be safe for concurrent use.
type Admission interface {
	// Admit sets the job's route, workspace and charge, or returns an error with a verdict.
	Admit(j *Job, host, path string) error
	// Refund returns the charged units of a request that did not run.
	Refund(j *Job)
	// TakeRetry takes one further attempt for the job from the fleet's retry budget. It returns false if the budget
	// does not allow one.
	TakeRetry(j *Job) bool
	// Limits returns the limits in force for callers; a value of 0 means not set.
	Limits() routing.Limits
}

// Placement chooses workers. Implementations must be safe for concurrent use.
type Placement interface {
	// Place waits, at most until the job's deadline, for a worker that can serve the job. Errors carry a verdict.
	Place(ctx context.Context, j *Job) (Reservation, error)
	// HasOther reports whether a worker of the service that is not among those tried takes requests.
	HasOther(service string, tried []workers.Key) bool
}

// Metrics records requests and attempts. Implementations must be safe for concurrent use.
type Metrics interface {
	Request(route *routing.Route, status int, v verdict.Verdict, duration time.Duration)
	Attempt(o Outcome)
	// Unfinished records a request whose caller got no complete answer. Begun says whether the answer had begun, and cause is
	// the code of the error, or CauseExit.
	Unfinished(begun bool, cause string)
	// Behind records a stream whose caller read more slowly than its workers responded. Stopped says whether reading from a
	// worker stopped at a limit for that.
	Behind(stopped bool)
}

// CauseExit is the cause of an unfinished answer that the end of the process cut off.
const CauseExit = "exit"
