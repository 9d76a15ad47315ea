package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// errKeyWithdrawn is the cancellation cause of a request whose key was withdrawn, or could no longer be checked,
// while the request ran.
var errKeyWithdrawn = verdict.New(verdict.MayHaveRun, http.StatusUnauthorized, "key_withdrawn",
	"the key was withdrawn while the request ran")

// ErrDraining refuses new work during a planned stop, and requests that have not run at its end.
var ErrDraining = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "draining",
	"the instance is stopping; send the request again, to any instance").WithRetryAfter(time.Second)

// errStopped is the cancellation cause of a request that is still being served at the end of a planned stop.
var errStopped = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "stopped", "the instance stopped before the answer")

// inFlight tracks the requests being served, so that those with a withdrawn key and those at the end of a planned stop can
// be cancelled.
type inFlight struct {
	mu       sync.Mutex
	nextID   uint64
	requests map[uint64]inFlightRequest
	// stopped is set once requests are no longer served.
	stopped bool
}

type inFlightRequest struct {
	// keyID is empty for callers without a key.
	keyID  string
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight { return &inFlight{requests: map[uint64]inFlightRequest{}} }

// add registers a request and returns the function that removes it.
func (f *inFlight) add(ctx context.Context, keyID string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextID
	f.nextID++
	f.requests[id] = inFlightRequest{keyID: keyID, cancel: cancel}
	if f.stopped {
		cancel(errStopped)
	}
	return ctx, func() {
		f.mu.Lock()
		delete(f.requests, id)
		f.mu.Unlock()
		cancel(nil)
	}
}

// cancelInvalid cancels the requests whose key is not valid. Requests without a key go on.
func (f *inFlight) cancelInvalid(valid func(keyID string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		if r.keyID != "" && !valid(r.keyID) {
			r.cancel(errKeyWithdrawn)
		}
	}
}

// stop cancels all requests, also later ones.
func (f *inFlight) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, r := range f.requests {
		r.cancel(errStopped)
	}
}

func (f *inFlight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}
