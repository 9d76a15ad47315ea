package entry

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// errBodyMemoryFull refuses a body while the memory for request bodies is used up.
var errBodyMemoryFull = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "body_memory_full",
	"the instance holds as many request bodies as it may").WithRetryAfter(time.Second)

var errBadPath = verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_path",
	"the path has empty or dot segments, an encoded slash, a backslash or control characters")

// badPath reports whether different programs could interpret a path differently. The router would
// redirect some of these paths, and decode others to a path outside the route that they seem to name.
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

// writeTimeout returns how long a caller may take to accept writeChunk bytes of its response.
func (s *Server) writeTimeout() time.Duration { return max(minWriteTimeout, s.opts.WriteWindow) }

// checkPathAndSetDeadlines refuses bad paths and sets the connection's read and write deadlines for one request.
func (s *Server) checkPathAndSetDeadlines(next http.Handler) http.Handler {
	refuse := s.wrap("unknown", func(*recorder, *request) error { return errBadPath })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// Responses that are not written through a recorder must end by this deadline. A recorder renews it
		// before each write.
		_ = control.SetWriteDeadline(time.Now().Add(s.writeTimeout()))
		if r.ContentLength != 0 {
			// net/http reads a body to the end even if no handler reads it. Without a deadline, a slow
			// sender could hold the connection for any length of time. readBody clears the deadline.
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		if badPath(r.URL) {
			refuse(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// methodNotAllowed returns a handler for requests whose path is known but does not take their method.
func methodNotAllowed(allowed string) handler {
	return func(w *recorder, _ *request) error {
		w.Header().Set("Allow", allowed)
		return verdict.New(verdict.NotRun, http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method")
	}
}

// traceParent returns the trace context for outgoing calls: a child of the caller's if that is valid, and
// an empty string otherwise.
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
	// An all-zero span identifier is not valid.
	binary.BigEndian.PutUint64(id[:], rand.Uint64()|1)
	return t.Child(id).String()
}
