package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// errKeyWithdrawn is the cancellation cause of a request whose key was withdrawn, or could no longer be checked,
// while the request ran.
var errKeyWithdrawn = verdict.New(verdict.MayHaveRun, http.StatusUnauthorized, "key_withdrawn",
	"the key was withdrawn while the request ran")

// inFlight tracks the requests being served, so that those with a withdrawn key can be cancelled.
type inFlight struct {
	mu       sync.Mutex
	nextID   uint64
	requests map[uint64]inFlightRequest
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

func (f *inFlight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}
