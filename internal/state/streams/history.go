package streams

import (
	"math"
	"time"
)

// kept is an entry of a history, in the order of the log.
type kept struct {
	attempt string
	at      time.Duration
}

// History is what was read of the records. It is not safe for concurrent use. Times are those of one clock of the caller.
type History struct {
	starts map[string]Start
	order  []kept
	// completeSince is the time since which no appended record is missing.
	completeSince time.Duration
}

// NewHistory returns the history of an empty log.
func NewHistory() *History {
	return &History{starts: map[string]Start{}, completeSince: math.MinInt64}
}

// Add adds the starts of a batch that was appended at a time.
func (h *History) Add(starts []Start, at time.Duration) {
	for _, s := range starts {
		if old, ok := h.starts[s.Attempt]; !ok || s.Number >= old.Number {
			h.starts[s.Attempt] = s
		}
		h.order = append(h.order, kept{s.Attempt, at})
	}
}

// Missing records that records were lost which may have been appended up to a time.
func (h *History) Missing(until time.Duration) { h.completeSince = max(h.completeSince, until) }

// CompleteSince returns the time since which no appended record is missing, the least duration if none ever was.
func (h *History) CompleteSince() time.Duration { return h.completeSince }

// maxComplete bounds the answers of CompleteFor.
const maxComplete = 24 * time.Hour

// CompleteFor returns for how long until now no appended record is missing, at most a day.
func (h *History) CompleteFor(now time.Duration) time.Duration {
	if h.completeSince <= now-maxComplete {
		return maxComplete
	}
	return max(0, now-h.completeSince)
}

// Find returns the start of the stream that an attempt began, if it is recorded.
func (h *History) Find(attempt string) (Start, bool) {
	s, ok := h.starts[attempt]
	return s, ok
}

// Forget removes the records that were appended before a time.
func (h *History) Forget(before time.Duration) {
	n := 0
	for ; n < len(h.order) && h.order[n].at < before; n++ {
	}
	for _, k := range h.order[:n] {
		delete(h.starts, k.attempt)
	}
	h.order = append(h.order[:0], h.order[n:]...)
}
