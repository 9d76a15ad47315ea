package dispatch

import (
	"context"
	"net/http"

	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
)

// stream is one streamed answer over all its attempts. It hands on each position once and in order.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	runner *Runner
	call   entry.Call
	retry  *retry.Call

	place   Place
	held    bool
	request backend.Request
	reader  backend.ChunkReader
	// next is the position of the next chunk to hand on.
	next  int
	usage backend.Usage
}

// open starts attempts until one streams.
func (s *stream) open() error {
	for {
		err := s.openOnce()
		if err == nil {
			return nil
		}
		if s.runner.failed(s.ctx, s.retry, err, false).Action != retry.Retry {
			return giveUp(s.retry, err)
		}
	}
}

func (s *stream) openOnce() error {
	place, err := s.runner.acquire(s.ctx, s.call)
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

// release gives the place back. After a connection failed, the engine is asked for its state first.
func (s *stream) release(err error) {
	if !s.held {
		return
	}
	s.held = false
	s.runner.over(s.place, s.call.Adapter, s.request.ID, err)
	if err != nil && s.ctx.Err() == nil && verdict.FromError(err).Verdict == verdict.MayHaveRun {
		s.runner.probe(s.ctx, s.place.Engine)
	}
	s.place.Release(Outcome{Err: err, Tokens: s.usage.TotalTokens})
}

// Next implements backend.ChunkReader.
func (s *stream) Next() (backend.Chunk, error) {
	for {
		chunk, err := s.reader.Next()
		if err == nil {
			err = s.check(chunk)
		}
		if err != nil {
			if err := s.recover(err); err != nil {
				return backend.Chunk{}, err
			}
			continue
		}
		if chunk.Done {
			s.release(nil)
			return chunk, nil
		}
		if chunk.Usage != nil {
			s.usage = *chunk.Usage
		}
		s.next = chunk.Position + 1
		s.runner.sent(s.retry, s.next)
		return chunk, nil
	}
}

// sent tells the retry state that the answer has begun.
func (r *Runner) sent(c *retry.Call, position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Sent(position)
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
	resumable := verdict.FromError(cause).Code == "stream_broken"
	for {
		d := s.runner.failed(s.ctx, s.retry, cause, resumable)
		switch d.Action {
		case retry.Resume:
			reader, err := s.place.Engine.Client.Resume(s.ctx, s.request, s.next)
			if err == nil {
				s.reader = reader
				return nil
			}
			// An engine that does not know the request has restarted or dropped it.
			resumable = verdict.FromError(err).Verdict != verdict.NotRun || verdict.FromError(err).Code == "engine_unreachable"
		case retry.Retry:
			s.release(cause)
			return s.open()
		default:
			s.release(cause)
			return giveUp(s.retry, cause)
		}
	}
}

// Close implements backend.ChunkReader. It cancels an unfinished request on its engine.
func (s *stream) Close() error {
	defer s.cancel()
	err := s.reader.Close()
	if s.held {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
		defer cancel()
		// An engine that cannot be reached ends the request by itself some time after its reader has
		// left; until it confirms that, the request counts as in flight.
		stopped := Stopped(s.place.Engine.Client.Cancel(ctx, s.request.ID))
		s.held = false
		if stopped {
			s.runner.gate.End(s.place.Engine.ID, s.call.Adapter)
		} else {
			s.runner.gate.Lost(s.place.Engine, s.call.Adapter, s.request.ID)
		}
		s.place.Release(Outcome{Tokens: s.usage.TotalTokens})
	}
	return err
}
