// Package logsink writes log lines without blocking the code that logs: lines are buffered and written in
// batches. When the buffer is full, lines are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// FlushInterval is the time between writes. Lines are written in batches because each write costs a
	// system call.
	FlushInterval = 250 * time.Millisecond
	// MaxPendingBytes is the size of the buffer.
	MaxPendingBytes = 512 << 10
)

// Sink is an io.Writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte // the written buffer, reused after the next flush
	dropped int
	closing chan struct{}
	closed  chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, closing: make(chan struct{}), closed: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It reports success even if it drops the line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > MaxPendingBytes {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.closed)
	t := time.NewTicker(FlushInterval)
	defer t.Stop()
	for {
		select {
		case <-s.closing:
			s.flush()
			return
		case <-t.C:
			s.flush()
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	batch, dropped := s.pending, s.dropped
	s.pending, s.dropped = s.spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped)
	}
	if len(batch) > 0 {
		// A failed write of the log cannot be logged.
		_, _ = s.out.Write(batch)
	}
	s.mu.Lock()
	s.spare = batch
	s.mu.Unlock()
}

// Close writes the buffered lines and stops the sink.
func (s *Sink) Close() {
	close(s.closing)
	<-s.closed
}
