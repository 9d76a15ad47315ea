package entry

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// errOverloaded refuses a body for which there is no memory now.
var errOverloaded = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "body_memory_full",
	"the instance holds as many request bodies as it may").WithRetryAfter(time.Second)

// bodyBudget counts the bytes of request bodies in memory. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// take reports whether n more bytes may be held, and counts them if so.
func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// budgetReader counts the bytes of a body as they arrive: a caller who announces a large body and sends
// none of it takes no memory from others.
type budgetReader struct {
	io.Reader
	budget *bodyBudget
	held   *int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.budget.take(int64(n)) {
		return 0, errOverloaded
	}
	*r.held += int64(n)
	return n, err
}

var errBadPath = verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_path",
	"the path has empty or dot segments, an encoded slash, a backslash or control characters")

// badPath reports whether different programs could read a path differently. The router would answer some
// of these paths with a redirect, and decode others to a path that the caller's route does not show.
func badPath(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") {
		return true
	}
	for _, c := range []byte(u.Path) {
		if c < ' ' || c == 0x7f || c == '\\' {
			return true
		}
	}
	segments := strings.Split(u.EscapedPath()[1:], "/")
	for i, escaped := range segments {
		s, err := url.PathUnescape(escaped)
		if err != nil || s == "." || s == ".." || strings.Contains(s, "/") || s == "" && i < len(segments)-1 {
			return true
		}
	}
	return false
}

// checked refuses bad paths and sets the time limits of a connection for one request.
func (s *Server) checked(next http.Handler) http.Handler {
	refuse := s.guard("unknown", func(*recorder, *request) error { return errBadPath })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// Answers that do not pass a recorder, which sets it anew for each write, must end by then.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if r.ContentLength != 0 {
			// Without a deadline, a body that no handler reads would hold its connection for as
			// long as its sender likes, because net/http reads it to the end. readBody clears it.
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		if badPath(r.URL) {
			refuse(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// methodNotAllowed answers requests to a known path with an unknown method.
func methodNotAllowed(allowed string) handler {
	return func(w *recorder, _ *request) error {
		w.Header().Set("Allow", allowed)
		return verdict.New(verdict.NotRun, http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method")
	}
}

// traceParent returns the trace context for outgoing calls: a child of the caller's if that is valid, and
// nothing otherwise.
func traceParent(h http.Header) string {
	values := h.Values("Traceparent")
	if len(values) != 1 {
		return ""
	}
	t, err := event.ParseTraceParent(values[0])
	if err != nil {
		return ""
	}
	var id [8]byte
	// An identifier of zeros is not valid.
	binary.BigEndian.PutUint64(id[:], rand.Uint64()|1)
	return t.Child(id).String()
}
