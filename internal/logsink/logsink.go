// Package logsink writes log lines without blocking the code that logs: lines are collected and written in
// batches, and dropped and counted when too many wait.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// FlushEvery is the time between writes: each write costs a system call.
	FlushEvery = 250 * time.Millisecond
	// MaxWaiting is how many bytes may wait to be written.
	MaxWaiting = 512 << 10
)

// Sink is an io.Writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	done    chan struct{}
	ended   chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It always reports success.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > MaxWaiting {
		s.dropped++
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.ended)
	t := time.NewTicker(FlushEvery)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			s.flush()
			return
		case <-t.C:
			s.flush()
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	batch, dropped := s.waiting, s.dropped
	s.waiting, s.dropped = s.spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped)
	}
	if len(batch) > 0 {
		// A log that cannot be written has no other place to say so.
		_, _ = s.out.Write(batch)
	}
	s.mu.Lock()
	s.spare = batch
	s.mu.Unlock()
}

// Close writes what waits and ends the sink.
func (s *Sink) Close() {
	close(s.done)
	<-s.ended
}
