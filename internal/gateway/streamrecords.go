package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/streamversion"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/streams"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// streamRelayDelay is how long an instance collects records that it sends to a relay, which collects those of others too.
	streamRelayDelay = 20 * time.Millisecond
	// streamAppends is how often an append is made, streamAppendTimeout bounds each, and streamAppendPause is the time between two.
	streamAppends, streamAppendTimeout, streamAppendPause = 4, 350 * time.Millisecond, 50 * time.Millisecond
)

// record appends a start with the next batch.
func (s *streamVersions) record(start streams.Start) *forward.Recording {
	r := forward.NewRecording(start.Version, start.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, waitingStart{start, r})
	if !s.scheduled {
		s.scheduled = true
		delay := streamversion.BatchDelay(int(s.g.liveInstances.Load()))
		if s.relayed.Load() {
			delay = streamRelayDelay
		}
		s.g.start("records of streams", func(ctx context.Context) {
			sleep(ctx, delay)
			s.flush(ctx)
		})
	}
	return r
}

// flush appends the records that wait.
func (s *streamVersions) flush(ctx context.Context) {
	s.appending.Lock()
	defer s.appending.Unlock()
	for {
		s.mu.Lock()
		n := streamversion.BatchSize(len(s.waiting))
		batch := s.waiting[:n:n]
		s.waiting = s.waiting[n:]
		if n == 0 {
			s.scheduled, s.waiting = false, nil
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		starts := make([]streams.Start, n)
		for i, w := range batch {
			starts[i] = w.start
		}
		err := s.append(ctx, starts)
		for _, w := range batch {
			w.recording.Finish(err)
		}
	}
}

// append appends starts, through a relay if there is one that answers in time. One that answers late may append them too, which changes
// nothing.
func (s *streamVersions) append(ctx context.Context, starts []streams.Start) error {
	if p, ok := s.relay(); ok && s.appendThrough(ctx, p, starts) {
		return nil
	}
	return s.appendToLog(ctx, starts)
}

// appendToLog appends starts to the log. An append without an answer is made again: a second record of the same start changes nothing.
func (s *streamVersions) appendToLog(ctx context.Context, starts []streams.Start) error {
	var err error
	for range streamAppends {
		if err = s.appendOnce(ctx, starts); err == nil || ctx.Err() != nil {
			break
		}
		sleep(ctx, streamAppendPause)
	}
	failed := time.Duration(0)
	if err != nil {
		failed = s.g.now()
		s.g.log.Warn().Err(err).Int("streams", len(starts)).Msg("versions of streams not recorded")
	}
	s.g.metrics.streamRecords.WithLabelValues(outcomeOf(err)).Add(float64(len(starts)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendFailed = failed
	return err
}

// appendOnce makes one append.
func (s *streamVersions) appendOnce(ctx context.Context, starts []streams.Start) error {
	data, err := streams.Batch{AtMilli: time.Now().UnixMilli(), Starts: starts}.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, streamAppendTimeout)
	defer cancel()
	at, err := s.g.platform.Streams.Append(ctx, data)
	if err == nil {
		s.g.observeEra("records of streams", at.Era)
	}
	return err
}

// outcomeOf returns the value of the label "outcome" for an error.
func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// found is what is known of the start of a stream.
type found struct {
	// start is nil if there is no record, and completeSince the time since which none is missing.
	start         *streams.Start
	completeSince time.Duration
}

// find returns the record of the stream that an attempt began, from a read of the log that is sent from now on.
func (s *streamVersions) find(ctx context.Context, attempt string) (found, error) {
	if p, ok := s.relay(); ok {
		if f, ok := s.findThrough(ctx, p, attempt); ok {
			return f, nil
		}
	}
	if err := s.refresh(ctx); err != nil {
		return found{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := found{completeSince: s.records.History.CompleteSince()}
	if start, ok := s.records.History.Find(attempt); ok {
		f.start = &start
	}
	return f, nil
}

// refresh reads all records that were appended before the call. Calls that wait share a read.
func (s *streamVersions) refresh(ctx context.Context) error {
	s.mu.Lock()
	wanted := s.readsBegun + 1
	s.mu.Unlock()
	s.reading.Lock()
	defer s.reading.Unlock()
	s.mu.Lock()
	if s.readsDone >= wanted {
		defer s.mu.Unlock()
		return s.readErr
	}
	s.readsBegun++
	read := s.readsBegun
	s.lastRead = s.g.now()
	s.mu.Unlock()
	err := s.readRecords(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsDone, s.readErr = read, err
	return err
}

// readRecords reads the records to their end.
func (s *streamVersions) readRecords(ctx context.Context) error {
	for all := false; !all; {
		s.mu.Lock()
		from := s.records.Next()
		s.mu.Unlock()
		b, err := s.g.platform.Streams.Read(ctx, from.Offset, 0)
		expired := errors.Is(err, external.ErrExpired)
		if err != nil && !expired {
			return err
		}
		s.g.observeEra("records of streams", b.Era)
		next, now := streams.Position{Era: b.Era, Offset: b.Next}, s.g.now()
		s.mu.Lock()
		if expired {
			s.records.Expired(next, now)
			s.mu.Unlock()
			continue
		}
		var invalid []error
		invalid, all = s.records.Add(streams.Read{Next: next, More: b.More(), Records: rawRecords(b.Records), WallMilli: time.Now().UnixMilli()}, now)
		s.mu.Unlock()
		for _, err := range invalid {
			s.g.log.Warn().Err(err).Msg("record of streams is invalid")
		}
	}
	return nil
}
