package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/coordination/relay"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// fleetRelayTimeout bounds the call that appends a record through a relay. The instance then appends it itself, well within
// the lease of its previous heartbeat.
const fleetRelayTimeout = relay.MaxBatchDelay + 700*time.Millisecond

// fleetAppend is the outcome of an append to the fleet's stream.
type fleetAppend struct {
	position external.Position
	// from is the offset from which the stream was read after the append, and batch what was read up to its end. Batch is
	// nil if the stream is still to be read.
	from  int64
	batch *external.Batch
}

// fleetRelay appends records of this and other instances to the fleet's stream together, and reads the stream for them.
type fleetRelay struct {
	g *Gateway

	mu      sync.Mutex
	batch   relay.Batch
	waiting []waitingAppend
}

// waitingAppend is a record that waits for its append. Done receives the outcome and has room for it.
type waitingAppend struct {
	record []byte
	done   chan appendOutcome
}

type appendOutcome struct {
	position external.Position
	err      error
}

// append appends a record with the next batch. When it returns without an error, the stream was read up to the record, unless
// that read failed.
func (r *fleetRelay) append(ctx context.Context, record []byte, urgent bool) (external.Position, error) {
	w := waitingAppend{record: record, done: make(chan appendOutcome, 1)}
	r.mu.Lock()
	r.waiting = append(r.waiting, w)
	now := r.g.now()
	due := r.batch.Add(len(record), urgent, now)
	r.mu.Unlock()
	r.g.start("relayed append", func(ctx context.Context) {
		if sleep(ctx, due-now) {
			r.flush(ctx)
		}
	})
	select {
	case o := <-w.done:
		return o.position, o.err
	case <-ctx.Done():
		return external.Position{}, trace.Wrap(ctx.Err())
	}
}

// flush appends the batch if it is due, reads the stream to its end and wakes those who wait.
func (r *fleetRelay) flush(ctx context.Context) {
	r.mu.Lock()
	if !r.batch.Take(r.g.now()) {
		r.mu.Unlock()
		return
	}
	waiting := r.waiting
	r.waiting = nil
	r.mu.Unlock()
	records := make([][]byte, len(waiting))
	for i, w := range waiting {
		records[i] = w.record
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	first, err := r.g.platform.Fleet.Append(appendCtx, records...)
	cancel()
	if err == nil {
		r.g.observeEra("append", first.Era)
		if err := r.read(ctx, first); err != nil {
			r.g.log.Info().Err(err).Int("records", len(records)).Msg("fleet's stream not read for other instances")
		}
	}
	for i, w := range waiting {
		w.done <- appendOutcome{external.Position{Era: first.Era, Offset: first.Offset + int64(i)}, err}
	}
}

// read reads the fleet's stream to its end, from what is buffered of it or else from a position on.
func (r *fleetRelay) read(ctx context.Context, at external.Position) error {
	topic := r.g.fleetTopic()
	for from := topic.next(at); ; {
		sent := r.g.now()
		b, err := r.g.platform.Fleet.Read(ctx, from, 0)
		if errors.Is(err, external.ErrExpired) && from < at.Offset {
			from = at.Offset
			continue
		}
		if err != nil {
			return err
		}
		if b.Era != at.Era {
			return external.ErrRestored
		}
		topic.add(from, b, sent)
		if !b.More() {
			return nil
		}
		from = b.Next
	}
}

// fleetTopic returns the buffer of the fleet's stream.
func (g *Gateway) fleetTopic() *relayedTopic {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.topic(g.platform.Fleet.Topic())
}

// rawRecords returns the contents of records.
func rawRecords(records []external.Record) [][]byte {
	raw := make([][]byte, len(records))
	for i, rec := range records {
		raw[i] = rec.Data
	}
	return raw
}

// fleetRoute says how this instance appends to the fleet's stream: through another instance, as a relay with the records of
// others, or else alone.
func (g *Gateway) fleetRoute() (through peerInstance, other, relays bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.relaysForOthers {
		return peerInstance{}, false, false
	}
	if slices.ContainsFunc(g.relays, func(p peerInstance) bool { return p.incarnation == g.incarnation }) {
		return peerInstance{}, false, true
	}
	through, other = g.chooseRelay(g.now())
	return through, other, false
}

// appendFleet appends a record to the fleet's stream, through a relay if there is one that answers in time.
func (g *Gateway) appendFleet(ctx context.Context, record []byte, urgent bool) (fleetAppend, error) {
	through, other, relays := g.fleetRoute()
	if other {
		if a, ok := g.appendThrough(ctx, through, record, urgent); ok {
			return a, nil
		}
	}
	if relays {
		return g.appendAsRelay(ctx, record, urgent)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	p, err := g.platform.Fleet.Append(ctx, record)
	if err != nil {
		return fleetAppend{}, err
	}
	g.observeEra("append", p.Era)
	return fleetAppend{position: p}, nil
}

// appendThrough appends a record through a relay. ok is false if the relay does not answer in time or appends no records of
// others. The record may then be appended later; that of a heartbeat has a number by which it is recognised, and a claim
// that is appended late has no effect.
func (g *Gateway) appendThrough(ctx context.Context, p peerInstance, record []byte, urgent bool) (a fleetAppend, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, fleetRelayTimeout)
	defer cancel()
	era, from := g.fleetPosition()
	r, err := g.peers.clients.AppendFleet(ctx, p.address, &peerpb.AppendFleetRequest{Record: record, Era: era, From: from, Urgent: urgent})
	if err != nil || !r.Appended {
		g.markUnreachable(roleRelay, p.incarnation)
		g.log.Info().Err(err).Str("relay", p.instance).Msg("fleet record not appended by a relay")
		return fleetAppend{}, false
	}
	g.observeEra("relayed append", r.Era)
	a = fleetAppend{position: external.Position{Era: r.Era, Offset: r.Offset}, from: from}
	if r.Complete && r.Era == era {
		a.batch = &external.Batch{Era: r.Era, Next: r.Next}
		for i, data := range r.Records {
			a.batch.Records = append(a.batch.Records, external.Record{Offset: from + int64(i), Data: data})
		}
	}
	return a, true
}

// appendAsRelay appends a record together with those of other instances.
func (g *Gateway) appendAsRelay(ctx context.Context, record []byte, urgent bool) (fleetAppend, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetRelayTimeout)
	defer cancel()
	p, err := g.fleetRelay.append(ctx, record, urgent)
	if err != nil {
		return fleetAppend{}, err
	}
	era, from := g.fleetPosition()
	a := fleetAppend{position: p, from: from}
	if records, next, ok := g.fleetTopic().until(era, from, p); ok {
		a.batch = &external.Batch{Era: era, Next: next}
		for i, data := range records {
			a.batch.Records = append(a.batch.Records, external.Record{Offset: from + int64(i), Data: data})
		}
	}
	return a, nil
}

// fleetPosition returns the position up to which this instance has read the fleet's stream.
func (g *Gateway) fleetPosition() (era, next int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Era(), g.members.Next()
}

// AppendFleet implements peerpb.PeerServer: it appends a record of another instance to the fleet's stream if this instance is
// a relay.
func (p *peers) AppendFleet(ctx context.Context, r *peerpb.AppendFleetRequest) (*peerpb.AppendFleetResponse, error) {
	g := p.g
	if _, _, relays := g.fleetRoute(); !relays || g.stopping.Load() {
		return &peerpb.AppendFleetResponse{}, nil
	}
	at, err := g.fleetRelay.append(ctx, r.Record, r.Urgent)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := &peerpb.AppendFleetResponse{Appended: true, Era: at.Era, Offset: at.Offset}
	out.Records, out.Next, out.Complete = g.fleetTopic().until(r.Era, r.From, at)
	return out, nil
}
