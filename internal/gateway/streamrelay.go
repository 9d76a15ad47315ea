package gateway

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/streams"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// streamRelayTimeout bounds a call that records or finds streams through a relay. The instance then calls the log service itself.
const streamRelayTimeout = 700 * time.Millisecond

// relay returns the relay through which this instance records and finds streams, if it uses one.
func (s *streamVersions) relay() (peerInstance, bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	p, ok := s.g.chooseRelay(s.g.now())
	s.relayed.Store(ok)
	return p, ok
}

// appendThrough appends starts through a relay and reports whether it did that.
func (s *streamVersions) appendThrough(ctx context.Context, p peerInstance, starts []streams.Start) bool {
	ctx, cancel := context.WithTimeout(ctx, streamRelayTimeout)
	defer cancel()
	r, err := s.g.peers.clients.RecordStreams(ctx, p.address, &peerpb.RecordStreamsRequest{Starts: startMessages(starts)})
	if err != nil {
		if ctx.Err() != nil {
			s.g.markUnreachable(roleRelay, p.incarnation)
		}
		s.g.log.Info().Err(err).Str("relay", p.instance).Int("streams", len(starts)).Msg("streams not recorded by a relay")
		return false
	}
	return r.Recorded
}

// startMessages returns the messages for starts.
func startMessages(starts []streams.Start) []*peerpb.StreamStart {
	out := make([]*peerpb.StreamStart, len(starts))
	for i, s := range starts {
		out[i] = &peerpb.StreamStart{Attempt: s.Attempt, Service: s.Service, Version: s.Version, Number: s.Number}
	}
	return out
}

// startOf returns the start of a message.
func startOf(m *peerpb.StreamStart) streams.Start {
	return streams.Start{Attempt: m.Attempt, Service: m.Service, Version: m.Version, Number: m.Number}
}

// RecordStreams implements peerpb.PeerServer.
func (p *peers) RecordStreams(ctx context.Context, r *peerpb.RecordStreamsRequest) (*peerpb.RecordStreamsResponse, error) {
	s := p.g.streams
	if _, usesRelay := s.relay(); usesRelay {
		return &peerpb.RecordStreamsResponse{}, nil
	}
	recordings := make([]*forward.Recording, len(r.Starts))
	for i, m := range r.Starts {
		recordings[i] = s.record(startOf(m))
	}
	for _, recording := range recordings {
		if err := recording.Wait(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &peerpb.RecordStreamsResponse{Recorded: true}, nil
}

// findThrough asks a relay for the record of a stream. ok is false if it does not answer in time, or is no relay.
func (s *streamVersions) findThrough(ctx context.Context, p peerInstance, attempt string) (f found, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, streamRelayTimeout)
	defer cancel()
	r, err := s.g.peers.clients.FindStreams(ctx, p.address, &peerpb.FindStreamsRequest{Attempts: []string{attempt}})
	if err != nil {
		if ctx.Err() != nil {
			s.g.markUnreachable(roleRelay, p.incarnation)
		}
		s.g.log.Info().Err(err).Str("relay", p.instance).Msg("stream not found by a relay")
		return found{}, false
	}
	for _, m := range r.Starts {
		start := startOf(m)
		f.start = &start
	}
	f.completeSince = s.g.now() - time.Duration(r.CompleteMs)*time.Millisecond
	return f, r.Read
}

// FindStreams implements peerpb.PeerServer.
func (p *peers) FindStreams(ctx context.Context, r *peerpb.FindStreamsRequest) (*peerpb.FindStreamsResponse, error) {
	s := p.g.streams
	if _, usesRelay := s.relay(); usesRelay {
		return &peerpb.FindStreamsResponse{}, nil
	}
	if err := s.refresh(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &peerpb.FindStreamsResponse{Read: true, CompleteMs: s.records.History.CompleteFor(p.g.now()).Milliseconds()}
	for _, attempt := range r.Attempts {
		if start, ok := s.records.History.Find(attempt); ok {
			out.Starts = append(out.Starts, startMessages([]streams.Start{start})...)
		}
	}
	return out, nil
}
