// Package forward is the reverse proxy for forwarded routes: it admits a request, sends it to a worker and
// returns the worker's response.
//
// Guarantees: a non-retryable request runs at most once; the gateway itself responds with status 408, 421, 429
// or 503 only to requests that have not run and never will; an incomplete response is never terminated like a
// complete one; the caller gets a response as soon as its request is given up.
package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
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
	// lastSoftware is the software version of the last worker.
	lastSoftware string
	outcome      Outcome
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
	c.lastWorker, c.lastSoftware = reservation.Worker.ID, reservation.Worker.Software
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
