package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// errWithdrawn is the cause of a request's end when its key was withdrawn while it ran.
var errWithdrawn = verdict.New(verdict.MayHaveRun, http.StatusUnauthorized, "key_withdrawn",
	"the key was withdrawn while the request ran")

// inFlight holds the requests being served, so that those of a withdrawn key can be stopped.
type inFlight struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]entryCall
}

type entryCall struct {
	// keyID is empty for callers without a key.
	keyID  string
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight { return &inFlight{calls: map[uint64]entryCall{}} }

// add registers a request and returns the function that removes it.
func (f *inFlight) add(ctx context.Context, keyID string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.next
	f.next++
	f.calls[n] = entryCall{keyID: keyID, cancel: cancel}
	return ctx, func() {
		f.mu.Lock()
		delete(f.calls, n)
		f.mu.Unlock()
		cancel(nil)
	}
}

// withdraw stops the requests whose key is not valid.
func (f *inFlight) withdraw(valid func(keyID string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if c.keyID != "" && !valid(c.keyID) {
			c.cancel(errWithdrawn)
		}
	}
}

func (f *inFlight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}
