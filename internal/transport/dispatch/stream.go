package dispatch

import (
	"context"
	"net/http"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
)

// maxResumes bounds how often one attempt's stream is resumed.
const maxResumes = 3

// stream is one streamed answer over all its attempts. It hands on each position once and in order.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	runner *Runner
	call   entry.Call

	attempt int
	resumes int
	avoid   []string
	place   Place
	held    bool
	request backend.Request
	reader  backend.ChunkReader
	// next is the position of the next chunk to hand on.
	next int
}

// open starts attempts until one streams.
func (s *stream) open() error {
	for {
		s.attempt++
		s.resumes = 0
		err := s.openOnce()
		if err == nil {
			return nil
		}
		if !s.mayRetry(err) {
			return err
		}
	}
}

func (s *stream) openOnce() error {
	place, err := s.runner.router.Acquire(s.ctx, s.call, s.avoid)
	if err != nil {
		return err
	}
	s.place, s.held = place, true
	s.request = request(s.call)
	s.reader, err = place.Engine.Client.Stream(s.ctx, s.request)
	if err != nil {
		s.release(err)
	}
	return err
}

func (s *stream) mayRetry(err error) bool {
	return s.ctx.Err() == nil && s.runner.retrier.Retry(s.call, s.attempt, verdict.Of(err), s.next > 0)
}

// release gives the place back and remembers the engine of a failed attempt.
func (s *stream) release(err error) {
	if !s.held {
		return
	}
	s.held = false
	s.place.Release(err)
	if err != nil {
		s.avoid = append(s.avoid, s.place.Engine.ID)
	}
}

// Next implements backend.ChunkReader.
func (s *stream) Next() (backend.Chunk, error) {
	for {
		chunk, err := s.reader.Next()
		if err == nil {
			err = s.check(chunk)
		}
		if err == nil {
			if chunk.Done {
				s.release(nil)
				return chunk, nil
			}
			s.next = chunk.Position + 1
			return chunk, nil
		}
		if err := s.recover(err); err != nil {
			return backend.Chunk{}, err
		}
	}
}

// check refuses a chunk of another adapter version or out of order.
func (s *stream) check(chunk backend.Chunk) error {
	if chunk.Done {
		return nil
	}
	if chunk.Adapter != s.call.Adapter {
		return errWrongAdapter
	}
	if chunk.Position != s.next {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "stream_out_of_order", "the engine's stream skipped or repeated an event")
	}
	return nil
}

// recover continues after a broken stream: at its position on the same engine, or from the start when
// nothing was handed on.
func (s *stream) recover(cause error) error {
	_ = s.reader.Close()
	for s.ctx.Err() == nil && s.resumes < maxResumes && cause != errWrongAdapter {
		s.resumes++
		reader, err := s.place.Engine.Client.Resume(s.ctx, s.request, s.next)
		if err == nil {
			s.reader = reader
			return nil
		}
		if verdict.Of(err).Verdict == verdict.NotRun {
			break
		}
	}
	s.release(cause)
	if s.next > 0 || !s.mayRetry(cause) {
		return cause
	}
	return s.open()
}

// Close implements backend.ChunkReader. It cancels an unfinished request on its engine.
func (s *stream) Close() error {
	defer s.cancel()
	err := s.reader.Close()
	if s.held {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
		defer cancel()
		// An engine that cannot be reached ends the request by itself when its reader has left.
		_ = s.place.Engine.Client.Cancel(ctx, s.request.ID)
		s.release(nil)
	}
	return err
}
