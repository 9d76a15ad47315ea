// Package weightstore simulates the rate-limited store from which engines load adapters.
package weightstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Limits bound the speed of a store.
type Limits struct {
	// LoadTime is the duration of one load at full speed.
	LoadTime time.Duration
	// MaxInFlight is the number of concurrent loads up to which each runs at full speed. With more, all
	// loads become proportionally slower.
	MaxInFlight int
}

// progressInterval is how often a load recomputes its progress, because its speed changes with the number of
// concurrent loads.
const progressInterval = 25 * time.Millisecond

// Store is a simulated weight store. It is safe for concurrent use.
type Store struct {
	limits Limits

	mu       sync.Mutex
	inFlight int
	loads    int
	failNext int
}

// ErrLoad is the error of a load that FailNext made fail.
var ErrLoad = errors.New("simulated load failure")

// New returns a store without loads in flight.
func New(l Limits) *Store { return &Store{limits: l} }

// Load simulates the fetch of one adapter. It returns when the adapter would be fetched, at once with ErrLoad if
// FailNext made it fail, or when the context ends.
func (s *Store) Load(ctx context.Context) error {
	s.mu.Lock()
	s.inFlight++
	s.loads++
	failing := s.failNext > 0
	if failing {
		s.failNext--
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
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for remaining > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			remaining -= time.Duration(float64(progressInterval) / s.slowdown())
		}
	}
	return nil
}

// FailNext makes the next n loads fail.
func (s *Store) FailNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failNext = n
}

// slowdown returns the factor by which the loads in flight slow each other down.
func (s *Store) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight <= s.limits.MaxInFlight {
		return 1
	}
	return float64(s.inFlight) / float64(s.limits.MaxInFlight)
}

// Loads returns the number of loads started so far.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}
