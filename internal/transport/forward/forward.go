// Package forward serves callers of forwarded routes: it admits a request, sends it to a worker and returns
// the worker's own answer.
//
// Guarantees: a request that may not be repeated runs at most once; the statuses 408, 421, 429 and 503 of the
// system's own are given only to requests that have not run and never will; an answer that is not complete
// never ends like a complete one; a request that is given up is answered at once.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

const (
	// defaultTimeout applies to a route without a timeout of its own.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes applies while the configuration has no limit of its own.
	defaultBodyBytes = 4 << 20
	// maxAnswerBytes bounds the answer of a plain request, which is kept in memory until it is complete.
	maxAnswerBytes = 8 << 20
	// extraRejections is how many workers may reject a request without running it, beyond the attempts that
	// the route allows.
	extraRejections = 3
	// silencePatience is how many times the route's target latency an idempotent request waits for a silent worker
	// before it is sent to another one.
	silencePatience = 2
	// comeBack is what a caller is told to wait after a refusal that a moment may cure.
	comeBack = 200 * time.Millisecond
)

// Job is one attempt of a caller on its way to a worker.
type Job struct {
	external.Request
	Route     *routing.Route
	Workspace *routing.Workspace
	// Service is the one of the route's services that was drawn for the job.
	Service string
	// Version of the configuration that decided on the request, and ConfigAge how long ago the read that last
	// confirmed it was sent.
	Version   int64
	ConfigAge time.Duration
	Arrived   time.Time
	Deadline  time.Time
	// Tried are the workers that the request was sent to.
	Tried []workers.Key
	// Body and path for the recognition of requests that crash workers.
	Path string
	Body []byte
	// Units were taken from the workspace's rate. Asked is what the request costs of it, Rate this instance's part in
	// units per second, and Tokens what the part had left when the request came.
	Units, Asked, Rate, Tokens float64
	// UnitsFrom is the address of the instance that the units were charged to; empty for this one.
	UnitsFrom string
}

// Lease is a place at a worker for one attempt.
type Lease struct {
	Worker *workers.Worker
	// Version is the adapter version that the worker must hold; 0 accepts any.
	Version int64
	// Done reports the outcome, once.
	Done func(Outcome)
}

// Outcome is how one attempt at a worker ended.
type Outcome int

// The outcomes of attempts.
const (
	// Succeeded: the worker's complete answer was received.
	Succeeded Outcome = iota + 1
	// Failed: the worker answered with a failure of its own after it ran the request.
	Failed
	// Full: the worker rejected the request without running it.
	Full
	// Absent: the worker does not hold what was asked for, or is another one.
	Absent
	// Unreachable: the request could not be sent.
	Unreachable
	// Broken: the answer was missing, cut or not the worker's.
	Broken
	// Abandoned: the caller left, or its time was over.
	Abandoned
)

var outcomeNames = map[Outcome]string{
	Succeeded: "succeeded", Failed: "failed", Full: "full", Absent: "absent", Unreachable: "unreachable",
	Broken: "broken", Abandoned: "abandoned",
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Admission decides which requests may go on. Implementations must be safe for concurrent use.
type Admission interface {
	// Admit fills in the route, the workspace and the units, or returns an error with a verdict.
	Admit(j *Job, host, path string) error
	// Refund returns the units of a request that did not run.
	Refund(j *Job)
	// Extra takes one extra attempt for the job from the fleet's budget.
	Extra(j *Job) bool
	// Spare reports whether Extra would succeed now.
	Spare(j *Job) bool
	// Limits are those in force for callers; a value of 0 is not set.
	Limits() routing.Limits
}

// Placement chooses workers. Implementations must be safe for concurrent use.
type Placement interface {
	// Place waits until a worker can serve the job, within the job's deadline. Errors carry a verdict.
	Place(ctx context.Context, j *Job) (Lease, error)
}

// Metrics counts what happens to requests. Implementations must be safe for concurrent use.
type Metrics interface {
	Request(route *routing.Route, status int, v verdict.Verdict, took time.Duration)
	Attempt(o Outcome)
}

// Server is the HTTP handler for callers.
type Server struct {
	Headers   external.Headers
	Admission Admission
	Placement Placement
	Pool      *upstream.Pool
	Metrics   Metrics
	Log       zerolog.Logger
	// Draining makes the server ask callers to close their connections.
	Draining atomic.Bool
	inFlight atomic.Int64
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	j := &Job{Request: s.Headers.Request(r.Header), Arrived: time.Now(), Path: r.URL.Path}
	if s.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{server: s, job: j, w: w, r: r}
	err := c.serve()
	c.finish(err)
}

// call is one request of a caller.
type call struct {
	server *Server
	job    *Job
	w      http.ResponseWriter
	r      *http.Request

	status   int
	started  bool
	attempts int
	last     string
	outcome  Outcome
	verdict  verdict.Verdict
	resumed  int
	lastID   string
	// placed and first are the times from the arrival to the first sending to a worker and to the first byte for the
	// caller, and pause the longest time between two events of a stream; zero if it did not come to that.
	placed, first, pause time.Duration
	// eventAt is when the last event was passed on.
	eventAt time.Time
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
	wait := c.job.Route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if d := c.job.Request.Deadline; d > 0 {
		wait = min(wait, d)
	}
	c.job.Deadline = c.job.Arrived.Add(wait)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.job.Deadline)
	defer cancel()
	return c.run(ctx)
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
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_long", "the body is longer than allowed")
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_incomplete", "the body did not arrive whole")
	}
	c.job.Body = body
	return nil
}

// run sends the request to workers until one answers or no further attempt is allowed.
func (c *call) run(ctx context.Context) error {
	ran := 0
	for rejections := 0; ; {
		err := c.attempt(ctx)
		if err == nil {
			return nil
		}
		v := verdict.FromError(err)
		if c.stop(ctx) {
			return c.timedOut(v, ran > 0)
		}
		if v.Verdict != verdict.NotRun {
			ran++
			if !c.mayRepeat() || ran >= c.job.Route.MaxAttempts {
				return err
			}
		} else {
			rejections++
			if c.outcome == 0 || rejections > extraRejections {
				return c.asRun(v, ran > 0)
			}
		}
		// A request that could not be sent has not arrived, and costs nothing of the budget.
		if c.outcome != Unreachable && !c.server.Admission.Extra(c.job) {
			return c.asRun(v, ran > 0)
		}
	}
}

// mayRepeat reports whether the request may run again: from its start, or a stream after its last event.
func (c *call) mayRepeat() bool { return c.job.Route.Retryable() }

// stop reports whether the caller left or its time is over. The connection's own deadline may end a read before
// ctx ends.
func (c *call) stop(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(c.job.Deadline)
}

// asRun turns a refusal into one that promises nothing if an earlier attempt may have run.
func (c *call) asRun(v *verdict.Error, ran bool) *verdict.Error {
	if !ran || v.Verdict != verdict.NotRun {
		return v
	}
	return verdict.Wrap(v, verdict.MayHaveRun, http.StatusBadGateway, v.Code, v.Message)
}

func (c *call) timedOut(v *verdict.Error, ran bool) error {
	if c.r.Context().Err() != nil {
		// Nobody gets the answer; the log must not call it a time-out.
		return verdict.Wrap(v, c.asRun(v, ran).Verdict, http.StatusGatewayTimeout, "caller_left", "the caller left before its answer")
	}
	if v.Verdict == verdict.NotRun && !ran {
		return verdict.Wrap(v, verdict.NotRun, http.StatusServiceUnavailable, "timed_out_unsent", "no backend server took the request in time").WithRetryAfter(comeBack)
	}
	return verdict.Wrap(v, verdict.MayHaveRun, http.StatusGatewayTimeout, "timed_out", "no complete answer came in time")
}

// attempt places the request and sends it once. The outcome is zero if no worker was found.
func (c *call) attempt(ctx context.Context) error {
	c.outcome = 0
	lease, err := c.server.Placement.Place(ctx, c.job)
	if err != nil {
		return err
	}
	if c.attempts++; c.attempts == 1 {
		c.placed = time.Since(c.job.Arrived)
	}
	c.last = lease.Worker.ID
	err = c.send(ctx, lease)
	if c.outcome == 0 {
		c.outcome = Broken
	}
	if c.outcome != Succeeded && c.stop(ctx) {
		c.outcome = Abandoned
	}
	c.job.Tried = append(c.job.Tried, lease.Worker.Key())
	lease.Done(c.outcome)
	c.server.Metrics.Attempt(c.outcome)
	return err
}

func (c *call) send(ctx context.Context, lease Lease) error {
	workspace := ""
	priority := c.job.Route.Priority
	if c.job.Workspace != nil {
		workspace = c.job.Workspace.Name
		if c.job.Workspace.Priority >= 0 {
			priority = c.job.Workspace.Priority
		}
	}
	left := time.Until(c.job.Deadline)
	header := c.server.Headers.Outgoing(c.r.Header, external.Outgoing{
		Deadline: left, WorkerID: lease.Worker.ID, Workspace: workspace, Version: lease.Version,
		Priority: priority, LastEventID: c.lastID,
	})
	options := upstream.Options{Deadline: c.attemptDeadline()}
	if !c.job.Route.Retryable() {
		options.MaxIdle = upstream.UnrepeatableIdle
	}
	match := func(h http.Header) bool {
		return c.server.Headers.Answer(0, h).ID == c.job.ID
	}
	answer, err := c.server.Pool.Send(ctx, lease.Worker, upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.job.Body,
	}, match, options)
	if err != nil {
		c.outcome = Broken
		if verdict.FromError(err).Verdict == verdict.NotRun {
			c.outcome = Unreachable
		}
		return err
	}
	defer answer.Close()
	return c.receive(answer)
}

// attemptDeadline is when the wait for a worker ends. An idempotent request leaves time for a further attempt if the
// route and the budget allow one: the worker may hang.
func (c *call) attemptDeadline() time.Time {
	r := c.job.Route
	further := r.Kind == routing.Idempotent && r.TargetLatency > 0 && len(c.job.Tried)+1 < r.MaxAttempts
	early := time.Now().Add(silencePatience * r.TargetLatency)
	if further && early.Before(c.job.Deadline) && c.server.Admission.Spare(c.job) {
		return early
	}
	return c.job.Deadline
}

// receive judges a worker's answer and passes it on.
func (c *call) receive(a *upstream.Answer) error {
	said := c.server.Headers.Answer(a.StatusCode, a.Header)
	success := a.StatusCode/100 == 2
	switch {
	case said.NotRun:
		c.outcome = Full
		if said.OtherWorker {
			c.outcome = Absent
		}
		// The body is read so that the connection can be kept; the worker's word stands without it.
		if _, err := a.ReadAll(maxAnswerBytes); err != nil {
			c.server.Log.Debug().Err(err).Str("request", c.job.ID).Msg("the body of a rejection was cut")
		}
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "worker_rejected", "the backend server did not take the request").WithRetryAfter(comeBack)
	case success && !said.Signed:
		c.outcome = Broken
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "unsigned_answer", "the answer is not the backend server's own")
	case success && c.job.Route.Kind == routing.Stream:
		return c.stream(a)
	default:
		return c.whole(a, success)
	}
}

// whole passes on an answer after its last byte has been read, so that a cut answer is never passed on.
func (c *call) whole(a *upstream.Answer, success bool) error {
	body, err := a.ReadAll(maxAnswerBytes)
	if err != nil {
		c.outcome = Broken
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the backend server's answer was cut")
	}
	c.outcome = Succeeded
	if !success {
		c.outcome = Failed
		if a.StatusCode >= http.StatusInternalServerError && c.canTryAgain() {
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "worker_failed", "the backend server failed")
		}
	}
	if c.started {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "not_resumed", "the stream could not be resumed")
	}
	c.start(a, len(body))
	if _, err := c.w.Write(body); err != nil {
		c.verdict = verdict.Ran
		return nil
	}
	return nil
}

// canTryAgain reports whether a failure that the worker answered with may be replaced by another attempt.
func (c *call) canTryAgain() bool {
	return c.mayRepeat() && len(c.job.Tried)+1 < c.job.Route.MaxAttempts && time.Until(c.job.Deadline) > 0
}

// start sends the status and headers; length is negative for a stream.
func (c *call) start(a *upstream.Answer, length int) {
	h := c.w.Header()
	for k, v := range c.server.Headers.Returned(a.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		// The library must not guess a type that the worker did not send.
		h["Content-Type"] = nil
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	c.status, c.started, c.verdict = a.StatusCode, true, verdict.Ran
	c.first = time.Since(c.job.Arrived)
	c.w.WriteHeader(a.StatusCode)
}

// refusal is the body of an answer of the system's own.
type refusal struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// finish answers a request that failed and logs the outcome. An answer that began and was not completed is
// cut, so that it cannot look complete.
func (c *call) finish(err error) {
	took := time.Since(c.job.Arrived)
	if err != nil {
		v := verdict.FromError(err)
		c.verdict = v.Verdict
		if v.Verdict == verdict.NotRun && c.job.Units > 0 {
			c.server.Admission.Refund(c.job)
		}
		if !c.started {
			c.refuse(v)
		}
	}
	c.log(err, took)
	if c.job.Route != nil {
		c.server.Metrics.Request(c.job.Route, c.status, c.verdict, took)
	}
	if err != nil && c.started {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) refuse(v *verdict.Error) {
	c.status = v.Status
	h := c.w.Header()
	h.Set(verdict.Header, v.Verdict.String())
	h.Set("Content-Type", "application/json")
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', 3, 64))
	}
	var body refusal
	body.Error.Code, body.Error.Message, body.Error.Verdict = v.Code, v.Message, v.Verdict.String()
	// A refusal always has a JSON form.
	data, _ := json.Marshal(body)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	c.w.WriteHeader(v.Status)
	if _, err := c.w.Write(data); err != nil {
		c.server.Log.Debug().Err(err).Str("request", c.job.ID).Msg("the caller left before its refusal")
	}
}

func (c *call) log(err error, took time.Duration) {
	e := c.server.Log.Info()
	if err != nil {
		e = c.server.Log.Warn().Str("error", err.Error()).Str("code", verdict.FromError(err).Code)
	}
	e = e.Str("request", c.job.ID).Int64("config", c.job.Version).Int64("config_age_ms", c.job.ConfigAge.Milliseconds()).Int("status", c.status).
		Stringer("verdict", c.verdict).Int("attempts", c.attempts).Str("worker", c.last).
		Int64("placed_ms", c.placed.Milliseconds()).Int64("first_ms", c.first.Milliseconds()).Int64("pause_ms", c.pause.Milliseconds()).
		Int64("ms", took.Milliseconds()).Bool("caller_left", c.r.Context().Err() != nil)
	if c.job.Route != nil {
		e = e.Str("route", c.job.Route.Name)
	}
	if c.job.Workspace != nil {
		e = e.Str("workspace", c.job.Workspace.Name).Float64("units", c.job.Asked).Float64("part_rate", c.job.Rate).Float64("part_tokens", c.job.Tokens).Str("units_from", c.job.UnitsFrom)
	}
	if c.job.Adapter != "" {
		e = e.Str("adapter", c.job.Adapter)
	}
	if c.outcome != 0 {
		e = e.Stringer("outcome", c.outcome)
	}
	e.Int("resumed", c.resumed).Msg("request")
}
