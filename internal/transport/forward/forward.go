// Package forward is the reverse proxy for forwarded routes: it admits a request, sends it to a worker and
// returns the worker's response.
//
// Guarantees: a non-retryable request runs at most once; the gateway itself responds with status 408, 421, 429
// or 503 only to requests that have not run and never will; an incomplete response is never terminated like a
// complete one; the caller gets a response as soon as its request is given up.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/coordination/drain"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

const (
	// defaultTimeout applies to routes that have no timeout configured.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes applies while the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxResponseBytes bounds the response to a request without streaming, which is buffered in memory until it
	// is complete.
	maxResponseBytes = 8 << 20
	// freeResponseBytes is the part of a response that does not count towards the memory for responses, so that short
	// responses are forwarded while long ones use it up.
	freeResponseBytes = 64 << 10
	// extraRejections is how many workers may reject a request without running it, in addition to the attempts
	// that the route allows.
	extraRejections = 3
	// attemptLatencyFactor, multiplied by the route's target latency, is how long an idempotent request waits for
	// a worker that does not respond before it is sent to another one, and otherWorkerInterval how long it waits on if
	// there is no other one, or the retry budget is used up.
	attemptLatencyFactor = 2
	otherWorkerInterval  = 100 * time.Millisecond
	// maxHeaderAge is how long before a request is sent its headers, which name the time that is left, may be built.
	maxHeaderAge = 20 * time.Millisecond
	// retryAfter is the Retry-After of refusals whose cause is likely to pass soon.
	retryAfter = 200 * time.Millisecond
	// stopRetryAfter is that of requests to an instance that stops: another one takes them at once.
	stopRetryAfter = 10 * time.Millisecond
)

// codeStopping is the code of errors that a stop of the instance causes, and codeCallerLeft that of requests whose callers closed
// their connections.
const (
	codeStopping   = "stopping"
	codeCallerLeft = "caller_left"
)

// errStopping ends requests that the end of the process would otherwise cut off.
var errStopping = errors.New("the instance stops")

// The causes that end an attempt while its request goes on.
var (
	errRevoked = errors.New("the attempt was revoked")
	errSlow    = errors.New("the worker did not respond in time")
)

var errResponseMemory = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "response_memory_full", "the instance holds as many bytes of responses as it may")

// Job is one request of a caller, with all its attempts at workers.
type Job struct {
	external.Request
	Route     *routing.Route
	Workspace *routing.Workspace
	// Service is the service that the request is sent to, one of those of its route.
	Service string
	// Config is the version of the configuration by which the request is decided until its end, nil if there was none, and
	// ConfigAge the time since the read that last confirmed that version was sent.
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
	// Answering reports that the first event of a stream has arrived. It is called at most once.
	Answering func()
	// Done reports the outcome of the attempt. It must be called exactly once.
	Done func(Outcome)
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

// Server is the HTTP handler for callers.
type Server struct {
	Headers   external.Headers
	Admission Admission
	Placement Placement
	Pool      *upstream.Pool
	Metrics   Metrics
	// ResponseMemory bounds the bytes of all responses that are held in memory until they are complete, or until their callers
	// have read them.
	ResponseMemory *bytebudget.Budget
	// Unread bounds the part of them that is held for callers that are behind.
	Unread callerlimits.Unread
	Log    zerolog.Logger
	// stop is set while the server drains.
	stop atomic.Pointer[stopPeriod]

	mu sync.Mutex
	// calls are the requests that are being served.
	calls map[*call]struct{}
	// durations are those of the requests that were served.
	durations drain.Durations
}

// stopPeriod is when the server began to drain, and when it cuts off the requests that it still serves.
type stopPeriod struct{ began, ends time.Time }

// Drain makes the server ask callers to close their connections, and refuse requests that would be cut off at the time ends.
func (s *Server) Drain(ends time.Time) { s.stop.Store(&stopPeriod{time.Now(), ends}) }

// RefuseWaiting ends the requests that were sent to no worker and would probably be cut off. They have not run.
func (s *Server) RefuseWaiting() {
	s.cancelCalls(func(p progress) bool {
		return !p.sent && !s.accepts(p.limit)
	})
}

// EndUnanswered ends all requests whose answers have not begun, so that their callers get a complete error before the server
// is closed. It returns their number.
func (s *Server) EndUnanswered() int {
	return s.cancelCalls(func(progress) bool { return true })
}

// cancelCalls cancels the calls that are chosen among those whose answers have not begun, and returns their number.
func (s *Server) cancelCalls(choose func(p progress) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.calls {
		if p := &c.progress; !p.begun && !p.canceled && p.cancel != nil && choose(*p) {
			p.canceled = true
			p.cancel(errStopping)
			n++
		}
	}
	return n
}

// timeLimit is what limits the duration of a request.
type timeLimit struct {
	Route    string
	Deadline time.Time
	// Stream and Repeatable are as in drain.Request.
	Stream, Repeatable bool
}

// accepts reports whether a request is taken or sent, although the server may be draining. The lock is held.
func (s *Server) accepts(l timeLimit) bool {
	stop := s.stop.Load()
	if stop == nil {
		return true
	}
	r := drain.Request{Timeout: time.Until(l.Deadline), Usual: s.durations.Usual(l.Route), Stream: l.Stream, Repeatable: l.Repeatable}
	return drain.Accepts(r, time.Since(stop.began), time.Until(stop.ends))
}

// recordDuration records how long a request took that was answered with success or ended by its deadline.
func (s *Server) recordDuration(route string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.Record(route, d)
}

func stoppingError() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeStopping, "the instance stops before the answer would be complete").WithRetryAfter(stopRetryAfter)
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// ReportCutOff logs and counts the requests in flight as ones that the end of the process cuts off.
func (s *Server) ReportCutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		s.Log.Warn().Str("request", c.job.ID).Str("route", c.progress.limit.Route).Str("worker", c.progress.worker).Bool("begun", c.progress.begun).
			Int64("ms", time.Since(c.job.Arrived).Milliseconds()).Msg("request cut off")
		s.Metrics.Unfinished(c.progress.begun, CauseExit)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &Job{
		Request: s.Headers.ParseRequest(r.Header), Arrived: time.Now(), Method: r.Method, URI: r.RequestURI, CallerHost: hostOf(r.RemoteAddr),
	}
	c := &call{server: s, job: j, w: w, r: r}
	s.add(c)
	defer s.remove(c)
	c.finish(c.serveOrRecover())
}

// hostOf returns an address without its port.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

func (s *Server) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[*call]struct{}{}
	}
	s.calls[c] = struct{}{}
}

func (s *Server) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// call is the serving of one job: its exchange with the caller and the state of its attempts.
type call struct {
	server *Server
	job    *Job
	w      http.ResponseWriter
	r      *http.Request

	// progress is guarded by the server's lock.
	progress progress

	status     int
	headerSent bool
	attempts   int
	lastWorker string
	outcome    Outcome
	// reservation is that of the current attempt, and answering is set once the attempt's first event has arrived.
	reservation Reservation
	answering   bool
	// reported is set once the outcome of the current attempt was reported.
	reported bool
	// revoked reports whether the current attempt was revoked.
	revoked func() bool
	// attemptCtx is the context of the current attempt, and abort ends it.
	attemptCtx context.Context
	abort      func()
	// awaiting is set until the answer of the current attempt begins to arrive, or the attempt is ended because its worker is
	// slow; nil if the attempt is not ended for that.
	awaiting *atomic.Bool
	// retryTaken is set when the current attempt was ended early and has taken the next one from the retry budget.
	retryTaken atomic.Bool
	verdict    verdict.Verdict
	// endCause is set if the request ended before its answer was complete.
	endCause endCause
	// resumed is the number of attempts after which the stream was first resumed; 0 if it was not.
	resumed     int
	lastEventID string
	// lastUnnamed is set if the last event that the caller has got has no id, so that the stream cannot be resumed after it.
	lastUnnamed bool
	// resuming is set while the caller has got events of earlier attempts, and the current one has sent no event yet that
	// is known to follow them.
	resuming bool
	// placedAfter and firstByteAfter are the times from the arrival to the first placement on a worker and to the
	// first byte sent to the caller, and maxPause is the longest time between two events of a stream; zero if that
	// did not happen.
	placedAfter, firstByteAfter, maxPause time.Duration
	// lastEventAt is when the last event of a worker arrived. It and maxPause belong to the goroutine that reads from the worker.
	lastEventAt time.Time
	// behind is for how long events were waiting for the caller, unread the most bytes that were held for it, and stopped is set
	// if reading from a worker stopped at a limit.
	behind  time.Duration
	unread  int64
	stopped bool
}

// progress is how far the serving of a request has come.
type progress struct {
	limit timeLimit
	// worker is the worker of the last attempt, empty if there was none.
	worker string
	// sent is set once the request was sent to a worker, and begun once the caller's answer has begun.
	sent, begun bool
	// cancel ends the call, nil before the request was taken, and canceled is set once the server has called it.
	cancel   context.CancelCauseFunc
	canceled bool
}

// serveOrRecover serves the request. A panic becomes an error, so that the caller gets an answer: net/http would close the
// connection without one.
func (c *call) serveOrRecover() (err error) {
	defer func() {
		if p := recover(); p != nil {
			c.logPanic(p)
			err = verdict.New(verdict.MayHaveRun, http.StatusInternalServerError, "panic", "the instance failed")
		}
	}()
	return c.serve()
}

func (c *call) logPanic(p any) {
	c.server.Log.Error().Str("request", c.job.ID).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("serving a request failed with a panic")
}

func (c *call) serve() error {
	limits := c.server.Admission.Limits()
	if limits.MaxHeaderBytes > 0 && headerBytes(c.r) > limits.MaxHeaderBytes {
		return verdict.New(verdict.NotRun, http.StatusRequestHeaderFieldsTooLarge, "header_too_long", "the header is longer than allowed")
	}
	if err := c.server.Admission.Admit(c.job, c.r.Host, c.r.URL.Path); err != nil {
		return err
	}
	if err := c.readBody(limits.MaxBodyBytes); err != nil {
		return err
	}
	timeout := c.job.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if d := c.job.Request.Deadline; d > 0 {
		timeout = min(timeout, d)
	}
	c.job.Deadline = c.job.Arrived.Add(timeout)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.job.Deadline)
	defer cancel()
	ctx, cancelCall := context.WithCancelCause(ctx)
	defer cancelCall(nil)
	if !c.register(cancelCall) {
		return stoppingError()
	}
	return c.run(ctx)
}

// register lets the server cancel the call from now on. It returns false if the server does not take the request.
func (c *call) register(cancel context.CancelCauseFunc) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	r := c.job.Route
	c.progress.limit = timeLimit{Route: r.Name, Deadline: c.job.Deadline, Stream: r.Kind == routing.Stream, Repeatable: r.Retryable()}
	c.progress.cancel = cancel
	return c.server.accepts(c.progress.limit)
}

// beginSending records that the request is sent to a worker. It returns false if it must not be sent any more.
func (c *call) beginSending(worker string) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.maySend() {
		return false
	}
	c.progress.sent, c.progress.worker = true, worker
	return true
}

// waitAgain records that the attempts so far have not reached a worker.
func (c *call) waitAgain() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.progress.sent = false
}

// maySendAgain reports whether a further attempt would be sent now.
func (c *call) maySendAgain() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.maySend()
}

// maySend reports whether the request may be sent to a worker. The server's lock is held.
func (c *call) maySend() bool {
	return !c.progress.canceled && (c.progress.begun || c.server.accepts(c.progress.limit))
}

// beginAnswer records that the caller's answer begins. It returns false if the server has canceled the call.
func (c *call) beginAnswer() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.progress.begun = true
	return !c.progress.canceled
}

// headerBytes returns the size of the request line and the headers.
func headerBytes(r *http.Request) int {
	const lineEnd, separators = len("\r\n"), len("  ")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + lineEnd
	if r.Host != "" {
		size += len("Host: ") + len(r.Host) + lineEnd
	}
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(": ") + len(v) + lineEnd
		}
	}
	return size
}

func (c *call) readBody(limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	tooLongErr := verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_long", "the body is longer than allowed")
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return tooLongErr
	}
	key := ""
	if c.job.Workspace != nil {
		key = c.job.Workspace.Name
	}
	body, err := guard.ReadBody(c.r.Context(), http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, key, 0)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return tooLongErr
	case errors.Is(err, guard.ErrBodyMemory):
		// The rest of the body is not read.
		c.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "body_memory_full", "the instance holds as many bytes of bodies as it may").WithRetryAfter(time.Second)
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_incomplete", "the body did not arrive whole")
	}
	c.job.Body = body
	return nil
}

// run sends the request to workers until one responds or no further attempt is allowed.
func (c *call) run(ctx context.Context) error {
	ranAttempts := 0
	for rejections := 0; ; {
		err := c.attempt(ctx)
		if err == nil {
			return nil
		}
		v := verdict.FromError(err)
		if c.expired(ctx) {
			return c.endedEarly(ctx, v, ranAttempts > 0)
		}
		if c.endCause != notEnded {
			return err
		}
		if v.Verdict != verdict.NotRun {
			ranAttempts++
			if !c.retryable() || ranAttempts >= c.job.Route.MaxAttempts {
				return err
			}
		} else {
			if ranAttempts == 0 {
				c.waitAgain()
			}
			rejections++
			if errors.Is(err, guard.ErrNoDescriptor) {
				return c.combineVerdicts(v, ranAttempts > 0)
			}
			if c.outcome == 0 || rejections > extraRejections {
				return c.combineVerdicts(v, ranAttempts > 0)
			}
		}
		// An attempt that could not be sent put no load on a worker, so it takes nothing from the retry budget.
		if c.outcome != Unreachable && c.outcome != Withheld && !c.retryTaken.Swap(false) && !c.server.Admission.TakeRetry(c.job) {
			return c.combineVerdicts(v, ranAttempts > 0)
		}
	}
}

// retryable reports whether the request may be sent again, either from its start or, for a stream, from its last event.
func (c *call) retryable() bool {
	return c.job.Route.Retryable() && !c.lastUnnamed
}

// expired reports whether the caller disconnected, its deadline passed, or the server ended the call. The connection's own
// deadline may end a read before ctx ends.
func (c *call) expired(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(c.job.Deadline)
}

// combineVerdicts turns the verdict of the last attempt into that of all attempts: a NotRun verdict becomes MayHaveRun
// if an earlier attempt may have run.
func (c *call) combineVerdicts(v *verdict.Error, ran bool) *verdict.Error {
	if !ran || v.Verdict != verdict.NotRun {
		return v
	}
	return verdict.Wrap(v, verdict.MayHaveRun, http.StatusBadGateway, v.Code, v.Message)
}

// attempt places the request and sends it once. It leaves outcome zero if no worker was found.
func (c *call) attempt(ctx context.Context) error {
	c.outcome = 0
	reservation, err := c.server.Placement.Place(ctx, c.job)
	if err != nil {
		return err
	}
	if !c.beginSending(reservation.Worker.ID) {
		reservation.Done(Withheld)
		return stoppingError()
	}
	if c.attempts++; c.attempts == 1 {
		c.placedAfter = time.Since(c.job.Arrived)
	}
	c.lastWorker = reservation.Worker.ID
	c.reservation, c.answering, c.resuming, c.reported = reservation, false, c.headerSent, false
	attemptCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	c.attemptCtx, c.abort = attemptCtx, func() { end(nil) }
	c.revoked = func() bool { return context.Cause(attemptCtx) == errRevoked }
	reservation.Sending(func() { end(errRevoked) })
	defer c.endIfSlow(attemptCtx, end)()
	err = c.send(attemptCtx, reservation)
	if c.outcome == 0 {
		c.outcome = Broken
	}
	if err != nil && ctx.Err() == nil && c.revoked() {
		c.outcome = Abandoned
		err = verdict.Wrap(err, verdict.FromError(err).Verdict, http.StatusBadGateway, "revoked", "the attempt was ended before its answer began")
	}
	if !c.reported {
		c.report(ctx)
	}
	c.job.Tried = append(c.job.Tried, reservation.Worker.Key())
	return err
}

// report reports the outcome of the current attempt, whose context or that of its request is given. It is called once for each.
func (c *call) report(ctx context.Context) {
	if c.outcome == Broken && c.answering {
		c.outcome = Interrupted
	}
	if c.outcome != Succeeded && c.expired(ctx) {
		c.outcome = Abandoned
	}
	c.reported = true
	c.reservation.Done(c.outcome)
	c.server.Metrics.Attempt(c.outcome)
}

// workerHeader returns the headers of the request to the worker of a reservation, with the time that is left now.
func (c *call) workerHeader(reservation Reservation) http.Header {
	workspace := ""
	if c.job.Workspace != nil {
		workspace = c.job.Workspace.Name
	}
	return c.server.Headers.WorkerHeaders(c.r.Header, external.WorkerRequest{
		Deadline: time.Until(c.job.Deadline), WorkerID: reservation.Worker.ID, Workspace: workspace, Version: reservation.AdapterVersion,
		Priority: c.job.Priority(), LastEventID: c.lastEventID,
	})
}

func (c *call) send(ctx context.Context, reservation Reservation) error {
	header, built := c.workerHeader(reservation), time.Now()
	options := upstream.Options{Deadline: c.job.Deadline, BeforeSend: func() error {
		err := reservation.Confirm()
		if err != nil {
			c.outcome = Withheld
		}
		if time.Since(built) > maxHeaderAge {
			maps.Copy(header, c.workerHeader(reservation))
		}
		return err
	}}
	if !c.job.Route.Retryable() {
		options.MaxIdle = upstream.NonRetryableMaxIdle
	}
	match := func(h http.Header) bool {
		return c.server.Headers.ParseResponse(0, h).ID == c.job.ID
	}
	resp, err := c.server.Pool.Send(ctx, reservation.Worker, upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.job.Body,
	}, match, options)
	if errors.Is(err, guard.ErrNoDescriptor) {
		// The cause is in this process. It tells nothing about the worker.
		c.outcome = Withheld
	}
	if c.outcome == Withheld {
		return err
	}
	if err != nil {
		c.outcome = Broken
		if verdict.FromError(err).Verdict == verdict.NotRun {
			c.outcome = Unreachable
		}
		return err
	}
	defer resp.Close()
	return c.receive(resp)
}

// endIfSlow ends an attempt at an idempotent request whose worker has not begun to respond, once another worker can take the
// request, and the retry budget and a stop of the server allow that: the worker may hang, but it may also be slow and the
// only one.
// The function that it returns stops the wait.
func (c *call) endIfSlow(ctx context.Context, end context.CancelCauseFunc) (stop func() bool) {
	r := c.job.Route
	early := time.Now().Add(attemptLatencyFactor * r.TargetLatency)
	c.awaiting = nil
	if r.Kind != routing.Idempotent || r.TargetLatency <= 0 || len(c.job.Tried)+1 >= r.MaxAttempts || !early.Before(c.job.Deadline) {
		return func() bool { return false }
	}
	tried := append(slices.Clone(c.job.Tried), c.reservation.Worker.Key())
	awaiting := &atomic.Bool{}
	awaiting.Store(true)
	c.awaiting = awaiting
	return time.AfterFunc(time.Until(early), func() {
		defer func() {
			if p := recover(); p != nil {
				c.logPanic(p)
			}
		}()
		for ctx.Err() == nil && awaiting.Load() {
			if c.maySendAgain() && c.server.Placement.HasOther(c.job.Service, tried) && c.server.Admission.TakeRetry(c.job) {
				// The answer may have begun since the last check.
				if awaiting.CompareAndSwap(true, false) {
					c.retryTaken.Store(true)
					end(errSlow)
				}
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(otherWorkerInterval):
			}
		}
	}).Stop
}

// receive classifies a worker's response and forwards it to the caller.
func (c *call) receive(resp *upstream.Response) error {
	info := c.server.Headers.ParseResponse(resp.StatusCode, resp.Header)
	c.reservation.Answered(info)
	if c.awaiting != nil {
		c.awaiting.Store(false)
	}
	success := resp.StatusCode/100 == 2
	switch {
	case info.NotRun:
		c.outcome = Rejected
		if info.Misdirected {
			c.outcome = Misdirected
		}
		// The headers show the rejection; its body does not matter.
		resp.Discard()
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "worker_rejected", "the backend server did not take the request").WithRetryAfter(retryAfter)
	case !info.Signed && (success || verdict.IsPromise(resp.StatusCode)):
		c.outcome = Broken
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "unsigned_answer", "the answer is not the backend server's own")
	case success && c.job.Route.Kind == routing.Stream && isEventStream(resp, !c.headerSent):
		return c.forwardStream(resp)
	default:
		return c.forwardBuffered(resp, success)
	}
}

// forwardBuffered forwards a response after its last byte has been read, so that a truncated response never reaches
// the caller.
func (c *call) forwardBuffered(resp *upstream.Response, success bool) error {
	memory := c.server.ResponseMemory.NewUsage(freeResponseBytes)
	defer memory.Release()
	body, err := resp.ReadAll(maxResponseBytes, memory)
	if errors.Is(err, bytebudget.ErrExhausted) {
		c.outcome = Broken
		return errResponseMemory
	}
	if err != nil {
		c.outcome = Broken
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the backend server's answer was cut")
	}
	c.outcome = Succeeded
	if !success {
		c.outcome = Failed
		if resp.StatusCode >= http.StatusInternalServerError && c.canRetryNow() {
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "worker_failed", "the backend server failed")
		}
	}
	if c.headerSent {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "not_resumed", "the stream could not be resumed")
	}
	if c.job.Route.Kind == routing.Stream {
		c.reservation.Answering()
	}
	// The whole answer is there, so that it is sent even if the server has canceled the call.
	c.beginAnswer()
	c.sendHeader(resp, len(body))
	if _, err := c.w.Write(body); err != nil {
		c.verdict = verdict.Ran
		return nil
	}
	return nil
}

// canRetryNow reports whether the request may be sent again instead of forwarding the worker's error.
func (c *call) canRetryNow() bool {
	return c.retryable() && len(c.job.Tried)+1 < c.job.Route.MaxAttempts && time.Until(c.job.Deadline) > 0
}

// sendHeader sends the status and headers to the caller, after beginAnswer. A negative length stands for a stream.
func (c *call) sendHeader(resp *upstream.Response, length int) {
	h := c.w.Header()
	for k, v := range c.server.Headers.CallerHeaders(resp.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		// net/http must not guess a content type that the worker did not send.
		h["Content-Type"] = nil
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	c.announceClose()
	c.status, c.headerSent, c.verdict = resp.StatusCode, true, verdict.Ran
	c.firstByteAfter = time.Since(c.job.Arrived)
	c.w.WriteHeader(resp.StatusCode)
}

// announceClose asks the caller to close its connection if the server is draining. It is called when the response begins:
// the request may have arrived before the server began to drain.
func (c *call) announceClose() {
	if c.server.stop.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}

// errorBody is the body of an error response that the gateway itself gives.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// finish sends an error response if the request failed, and logs the request. If a response has begun but is not
// complete, finish aborts the connection, so that the response cannot look complete.
func (c *call) finish(err error) {
	duration := time.Since(c.job.Arrived)
	if err != nil {
		v := verdict.FromError(err)
		c.verdict = v.Verdict
		if v.Verdict == verdict.NotRun && c.job.ChargedUnits > 0 {
			c.server.Admission.Refund(c.job)
		}
	}
	state := c.answerState(err)
	if err != nil && !c.headerSent {
		c.sendError(verdict.FromError(err))
	}
	c.log(err, state, duration)
	if c.behind > 0 {
		c.server.Metrics.Behind(c.stopped)
	}
	if state == brokenOff || state == noAnswer {
		c.server.Metrics.Unfinished(c.headerSent, verdict.FromError(err).Code)
	}
	if c.job.Route != nil {
		c.server.Metrics.Request(c.job.Route, c.status, c.verdict, duration)
	}
	if success := err == nil && c.status/100 == 2; success || c.outcome == Abandoned && !time.Now().Before(c.job.Deadline) {
		c.server.recordDuration(c.job.Route.Name, duration)
	}
	if err != nil && c.headerSent {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) sendError(v *verdict.Error) {
	c.status = v.Status
	h := c.w.Header()
	h.Set(verdict.Header, v.Verdict.String())
	h.Set("Content-Type", "application/json")
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', 3, 64))
	}
	var body errorBody
	body.Error.Code, body.Error.Message, body.Error.Verdict = v.Code, v.Message, v.Verdict.String()
	// Marshalling a struct of strings cannot fail.
	data, _ := json.Marshal(body)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	c.announceClose()
	c.w.WriteHeader(v.Status)
	if _, err := c.w.Write(data); err != nil {
		c.server.Log.Debug().Err(err).Str("request", c.job.ID).Msg("caller disconnected before it received the error response")
	}
}
