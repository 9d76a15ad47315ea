package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/protocol/openai"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
)

// bodyTimeout is how long a caller may take to send bodyProgress bytes of its body, at the lowest rate that the limits on callers
// have by default.
const (
	bodyTimeout  = 30 * time.Second
	bodyProgress = callerlimits.DefaultMinRate * int(bodyTimeout/time.Second)
)

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

const (
	// minWriteTimeout is the least time that a caller has to accept writeChunk bytes of its response.
	minWriteTimeout = 10 * time.Second
	writeChunk      = 64 << 10
)

// request is one HTTP request with what wrap determined about it: its identifier, caller and configuration.
type request struct {
	*http.Request
	id     string
	start  time.Time
	caller caller
	view   *config.View
	// admitted is the event of the request's admission, or a zero event before it.
	admitted event.Event
}

// handler serves one request. An error that it returns is written as the response, unless a response
// has already begun.
type handler func(w *recorder, r *request) error

// recorder records the status of the response, for the metrics and so that no second response is
// written after the first has begun.
type recorder struct {
	http.ResponseWriter
	status  int
	verdict string
	// failure is the error that the response carries, or nil.
	failure *verdict.Error
	// draining is Options.Draining.
	draining func() bool
	// timeout is how long the caller may take to accept writeChunk bytes.
	timeout time.Duration
}

// WriteHeader implements http.ResponseWriter. While the instance drains, also a request that arrived before is answered
// with the advice to close the connection.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
		if r.draining() {
			r.Header().Set("Connection", "close")
		}
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. Each writeChunk bytes must be accepted within the timeout.
func (r *recorder) Write(p []byte) (int, error) {
	control := http.NewResponseController(r.ResponseWriter)
	written := 0
	for {
		_ = control.SetWriteDeadline(time.Now().Add(r.timeout))
		n, err := r.ResponseWriter.Write(p[written:min(written+writeChunk, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Unwrap returns the underlying writer, which http.ResponseController needs.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// wrap returns a handler that does what every request needs around h: it assigns an ID, authenticates the
// caller, registers the request for cancellation, writes the error response and records metrics and events.
func (s *Server) wrap(kind string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, hr *http.Request) {
		rec := &recorder{ResponseWriter: w, draining: s.opts.Draining, timeout: s.writeTimeout()}
		r := &request{Request: hr, id: uuid.NewString(), start: time.Now()}
		rec.Header().Set("X-Request-Id", r.id)
		panicked, err := s.serveOrRecover(rec, r, h)
		begun := rec.status != 0
		if err != nil {
			s.writeError(rec, r, err)
		}
		s.metrics.observe(kind, rec.status, rec.verdict, r.start)
		if rec.failure != nil {
			s.metrics.failures.WithLabelValues(rec.failure.Code).Inc()
		}
		s.recordEnd(rec, r, err)
		if panicked && begun {
			// The end of the handler would make the answer look complete.
			panic(http.ErrAbortHandler)
		}
	}
}

// serveOrRecover serves the request. A panic becomes an error, so that the caller gets an answer: net/http would close the
// connection. Only what was not given to the Runner has certainly not run.
func (s *Server) serveOrRecover(rec *recorder, r *request, h handler) (panicked bool, err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		s.opts.Log.Error().Str("request", r.id).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("serving a request failed with a panic")
		v := verdict.MayHaveRun
		if r.admitted.Kind == "" {
			v = verdict.NotRun
		}
		panicked, err = true, verdict.New(v, http.StatusInternalServerError, "panic", "the instance failed")
	}()
	return false, s.serve(rec, r, h)
}

// recordEnd adds the end of a request to the timeline. It leaves out requests that succeeded without
// admission: they only read the instance's own state.
func (s *Server) recordEnd(rec *recorder, r *request, err error) {
	if r.admitted.Kind == "" && err == nil {
		return
	}
	e := r.admitted
	if e.Workspace == "" {
		e.Workspace = r.caller.workspace
	}
	e.Kind, e.RequestID, e.Duration = event.Settled, r.id, time.Since(r.start)
	e.Verdict = event.Verdict(verdict.Ran)
	if rec.failure != nil {
		e.Verdict, e.Code = event.Verdict(rec.failure.Verdict), rec.failure.Code
	}
	s.opts.Record(e)
}

// recordAdmission adds the admission of a request to the timeline.
func (s *Server) recordAdmission(r *request, e event.Event) {
	e.Kind, e.RequestID = event.Admission, r.id
	r.admitted = e
	s.opts.Record(e)
}

func (s *Server) serve(rec *recorder, r *request, h handler) error {
	if err := s.opts.Admit(); err != nil {
		return err
	}
	r.view = s.opts.Config()
	c, err := authenticate(r.view, r.Header)
	if err != nil {
		return err
	}
	r.caller = c
	ctx, done := s.inFlight.add(r.Context(), c.keyID)
	defer done()
	// ConfigChanged misses a key that is withdrawn after authenticate and before the request is registered.
	if _, ok := s.opts.Config().Key(c.keyID); c.keyID != "" && !ok {
		return errInvalidKey
	}
	if c.keyInURLOrHeader(r.Request) {
		return errKeyInRequest
	}
	ctx, held := s.opts.Responses.Begin(ctx)
	defer held.Release()
	r.Request = r.WithContext(ctx)
	err = h(rec, r)
	if err != nil && ctx.Err() != nil {
		return s.cancelled(r, err)
	}
	return err
}

// cancelled returns the error of a request whose context has ended. It keeps err's verdict on whether the
// request ran.
func (s *Server) cancelled(r *request, err error) error {
	e := verdict.FromError(err)
	var out verdict.Error
	switch cause := context.Cause(r.Context()); {
	case errors.Is(cause, errKeyWithdrawn):
		s.metrics.withdrawn.Inc()
		out = *errKeyWithdrawn
	case errors.Is(cause, errStopped) && e.Verdict == verdict.NotRun:
		return ErrDraining
	case errors.Is(cause, errStopped):
		out = *errStopped
	default:
		return e
	}
	out.Verdict = e.Verdict
	return &out
}

// writeError writes an error as the response. It ignores a failed write, which means that the caller has
// disconnected.
func (s *Server) writeError(w *recorder, _ *request, err error) {
	e := verdict.FromError(err)
	w.verdict, w.failure = e.Verdict.String(), e
	if w.status != 0 {
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	switch e.Status {
	case http.StatusUnauthorized, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge, http.StatusRequestTimeout:
		h.Set("Connection", "close")
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(openai.EncodeError(e))
}

var errBodyTooLarge = verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large",
	"the body is larger than "+strconv.Itoa(openai.MaxBodyBytes)+" bytes")

// progressReader reads a body and renews the connection's read deadline after each bodyProgress bytes, unless the request has ended.
type progressReader struct {
	io.ReadCloser
	ctx     context.Context
	control *http.ResponseController
	read    int
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b)
	if p.read += n; p.read < bodyProgress || err != nil {
		return n, err
	}
	p.read = 0
	// An error means that the connection is closed, which the next read reports.
	_ = p.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	if p.ctx.Err() != nil {
		// The request may have ended just before, and its deadline must stay in force.
		_ = p.control.SetReadDeadline(aLongTimeAgo)
	}
	return n, nil
}

// readBody reads a body of at most openai.MaxBodyBytes bytes, each bodyProgress bytes of it within bodyTimeout.
// The memory for it, and for further copies that parsing makes, is counted until the request ends.
func (s *Server) readBody(w *recorder, r *request, copies int) ([]byte, error) {
	if r.ContentLength > openai.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	control := http.NewResponseController(w.ResponseWriter)
	// A request that is cancelled does not wait for the rest of its body. An error of SetReadDeadline means that the connection is
	// closed, which the read reports.
	stop := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(aLongTimeAgo) })
	limited := http.MaxBytesReader(w.ResponseWriter, &progressReader{ReadCloser: r.Body, ctx: r.Context(), control: control}, openai.MaxBodyBytes)
	body, err := guard.ReadBody(r.Context(), limited, r.ContentLength, r.caller.keyID, copies)
	if stop() && err == nil {
		// If the deadline stayed set, it would cancel the request's context when it passes.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.Is(err, guard.ErrBodyMemory):
		return nil, errBodyMemoryFull
	case err == nil && r.caller.keyInBody(body):
		return nil, errKeyInRequest
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, errBodyTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusRequestTimeout, "body_timeout", "the body did not arrive in time")
	default:
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_unreadable", "the body could not be read")
	}
}

func notFound(_ *recorder, _ *request) error {
	return verdict.New(verdict.NotRun, http.StatusNotFound, "not_found", "there is no such path or method")
}
