package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/coordination/drain"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

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
