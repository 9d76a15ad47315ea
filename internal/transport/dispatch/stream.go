package dispatch

import (
	"context"
	"net/http"

	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
)

// stream is one streamed response over all its attempts. It returns each position exactly once and in order.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	runner *Runner
	call   entry.Call
	retry  *retry.Call

	reservation Reservation
	// reserved is set until reservation is released.
	reserved bool
	request  backend.Request
	reader   backend.ChunkReader
	// nextPosition is the position of the next chunk to return.
	nextPosition int
	usage        backend.Usage
}

// open starts attempts until one opens a stream.
func (s *stream) open() error {
	for {
		err := s.openOnce()
		if err == nil {
			return nil
		}
		if s.runner.afterFailure(s.ctx, s.retry, err, false).Action != retry.Retry {
			return finalError(s.retry, err)
		}
	}
}

func (s *stream) openOnce() error {
	reservation, err := s.runner.acquire(s.ctx, s.call)
	if err != nil {
		return err
	}
	s.reservation, s.reserved = reservation, true
	s.request = newRequest(s.call)
	s.reader, err = reservation.Engine.Client.Stream(s.ctx, s.request)
	if err != nil {
		s.release(err)
	}
	return err
}

// release releases the reservation, once. After a failed connection it first requests the engine's status.
func (s *stream) release(err error) {
	if !s.reserved {
		return
	}
	s.reserved = false
	s.runner.attemptEnded(s.reservation, s.call.Adapter, s.request.ID, err)
	if err != nil && s.ctx.Err() == nil && verdict.FromError(err).Verdict == verdict.MayHaveRun {
		s.runner.probe(s.ctx, s.reservation.Engine)
	}
	s.reservation.Release(Outcome{Err: err, Tokens: s.usage.TotalTokens})
}

// Next implements backend.ChunkReader.
func (s *stream) Next() (backend.Chunk, error) {
	for {
		chunk, err := s.reader.Next()
		if err == nil {
			err = s.checkChunk(chunk)
		}
		if err != nil {
			if err := s.recoverStream(err); err != nil {
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
		if s.nextPosition == 0 {
			s.reservation.Answering()
		}
		s.nextPosition = chunk.Position + 1
		s.runner.markSent(s.retry, s.nextPosition)
		return chunk, nil
	}
}

// markSent records in the retry state that chunks before a position have been returned.
func (r *Runner) markSent(c *retry.Call, position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Sent(position)
}

// checkChunk returns an error for a chunk that is out of order or comes from another adapter version.
func (s *stream) checkChunk(chunk backend.Chunk) error {
	if chunk.Done {
		return nil
	}
	if chunk.Adapter != s.call.Adapter {
		return errWrongAdapter
	}
	if chunk.Position != s.nextPosition {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "stream_out_of_order", "the engine's stream skipped or repeated an event")
	}
	return nil
}

// recoverStream continues a broken stream: it resumes at its position on the same engine, or restarts if no chunk has
// been returned yet.
func (s *stream) recoverStream(cause error) error {
	_ = s.reader.Close()
	resumable := verdict.FromError(cause).Code == "stream_broken"
	for {
		d := s.runner.afterFailure(s.ctx, s.retry, cause, resumable)
		switch d.Action {
		case retry.Resume:
			reader, err := s.reservation.Engine.Client.Resume(s.ctx, s.request, s.nextPosition)
			if err == nil {
				s.reader = reader
				return nil
			}
			// An engine that does not know the request has restarted or has dropped the request.
			resumable = verdict.FromError(err).Verdict != verdict.NotRun || verdict.FromError(err).Code == "engine_unreachable"
		case retry.Retry:
			s.release(cause)
			return s.open()
		default:
			s.release(cause)
			return finalError(s.retry, cause)
		}
	}
}

// Close implements backend.ChunkReader. It cancels the request on its engine if it has not ended.
func (s *stream) Close() error {
	defer s.cancel()
	err := s.reader.Close()
	if s.reserved {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
		defer cancel()
		// An engine that cannot be reached stops the request by itself some time after its reader has disconnected.
		// Until the engine confirms that, the request counts as in flight.
		confirmed := CancelConfirmed(s.reservation.Engine.Client.Cancel(ctx, s.request.ID))
		s.reserved = false
		if confirmed {
			s.runner.gate.End(s.reservation.Engine.ID, s.call.Adapter)
		} else {
			s.runner.gate.EndUnconfirmed(s.reservation.Engine, s.call.Adapter, s.request.ID)
		}
		s.reservation.Release(Outcome{Tokens: s.usage.TotalTokens})
	}
	return err
}
