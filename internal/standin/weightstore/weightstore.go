// Package weightstore stands in for the rate-limited store from which engines load adapters.
package weightstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Limits are the store's limits.
type Limits struct {
	// LoadTime is how long one load takes at full speed.
	LoadTime time.Duration
	// MaxInFlight is how many loads may be in flight before each becomes proportionally slower.
	MaxInFlight int
}

// step is how often a load's progress is recomputed while others come and go.
const step = 25 * time.Millisecond

// Store is one weight store. It is safe for concurrent use.
type Store struct {
	limits Limits

	mu       sync.Mutex
	inFlight int
	loads    int
	fail     int
}

// ErrLoad is the result of a load that was made to fail.
var ErrLoad = errors.New("the adapter could not be read")

// New returns an idle store.
func New(l Limits) *Store { return &Store{limits: l} }

// Load blocks for as long as fetching one adapter takes.
func (s *Store) Load(ctx context.Context) error {
	s.mu.Lock()
	s.inFlight++
	s.loads++
	failing := s.fail > 0
	if failing {
		s.fail--
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	if failing {
		return ErrLoad
	}
	remaining := s.limits.LoadTime
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for remaining > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			remaining -= time.Duration(float64(step) / s.slowdown())
		}
	}
	return nil
}

// FailNext makes the next n loads fail.
func (s *Store) FailNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = n
}

// slowdown is how many times slower a load runs with the loads now in flight.
func (s *Store) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight <= s.limits.MaxInFlight {
		return 1
	}
	return float64(s.inFlight) / float64(s.limits.MaxInFlight)
}

// Loads returns how many loads were started.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}
