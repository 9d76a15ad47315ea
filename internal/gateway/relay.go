package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/relay"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// relayMargin is how much longer than the interval of a relay's reads an instance waits for the relay's response before
// it reads the log service itself. It is short so that a draining worker is known within its bound even if the relay
// has just been lost.
const relayMargin = 300 * time.Millisecond

// relayedTopic holds the records of a topic that this instance has read from the log service, for other instances.
type relayedTopic struct {
	mu     sync.Mutex
	buffer relay.Buffer
	// changed is closed and replaced at each read that was added.
	changed chan struct{}
}

// add records a successful read, and wakes the calls that wait for it.
func (t *relayedTopic) add(from int64, records [][]byte, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer.Add(from, records, sent)
	close(t.changed)
	t.changed = make(chan struct{})
}

// read returns the records from an offset on, after a read with a number above seen was added. ok is false if the
// buffer does not reach back to the offset, or if ctx ends.
func (t *relayedTopic) read(ctx context.Context, from int64, seen uint64) (a relay.Answer, ok bool) {
	for {
		t.mu.Lock()
		a, ok, behind := t.buffer.Read(from, seen)
		changed := t.changed
		t.mu.Unlock()
		if ok || behind {
			return a, ok
		}
		select {
		case <-ctx.Done():
			return a, false
		case <-changed:
		}
	}
}

// topic returns the records of a topic that this instance has read. The lock is held.
func (g *Gateway) topic(name string) *relayedTopic {
	t := g.topics[name]
	if t == nil {
		t = &relayedTopic{changed: make(chan struct{})}
		g.topics[name] = t
	}
	return t
}

// setRelays chooses the instances that read the log service for the others among the live ones that have not resigned.
// The lock is held.
func (g *Gateway) setRelays(now time.Duration) {
	byName := map[string]peerInstance{}
	var names []rendezvous.Member
	for _, m := range g.members.Live(now, quota.TakeoverDelay) {
		if !m.Heartbeat.Resigned {
			byName[m.Instance] = peerInstance{m.Instance, m.Incarnation, m.Heartbeat.Address}
			names = append(names, rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB})
		}
	}
	g.relays = g.relays[:0:0]
	for _, name := range relay.Preference(g.settings.Instance, relay.Relays(names)) {
		g.relays = append(g.relays, byName[name])
	}
}

// chooseRelay returns the relay to read from; none if this instance reads the log service itself. The lock is held.
func (g *Gateway) chooseRelay(now time.Duration) (peerInstance, bool) {
	if slices.ContainsFunc(g.relays, func(p peerInstance) bool { return p.incarnation == g.incarnation }) {
		return peerInstance{}, false
	}
	for _, p := range g.relays {
		if !g.recentlyUnreachable(roleRelay, p.incarnation, now) {
			return p, true
		}
	}
	return peerInstance{}, false
}

// topicReader reads one topic: from a relay, or else from the log service.
type topicReader struct {
	g     *Gateway
	topic string
	// interval is the time between two reads of a relay.
	interval time.Duration
	// relay is the incarnation of the relay that was asked last, and seen the number of the read in its last response.
	relay string
	seen  uint64
}

// read returns the records from an offset on, the offset after them, the time at which the read that confirmed them was
// sent to the log service, and whether a relay responded. A relay responds at the interval of its reads, so that the
// caller need not wait between two reads.
func (r *topicReader) read(ctx context.Context, from int64, wait time.Duration) (records []external.Record, next int64, sent time.Duration, relayed bool, err error) {
	g := r.g
	g.mu.Lock()
	p, ok := g.chooseRelay(g.now())
	topic := g.topic(r.topic)
	g.mu.Unlock()
	if ok {
		start := g.now()
		if records, next, sent, ok = r.readFromRelay(ctx, p, from); ok {
			return records, next, sent, true, nil
		}
		if g.now()-start >= r.interval {
			// The local state became stale while the relay did not respond: read without waiting for a change.
			wait = 0
		}
	}
	sent = g.now()
	b, err := g.platform.Log.Read(ctx, r.topic, from, wait)
	g.observeEra(r.topic, b.Era)
	if err == nil {
		raw := make([][]byte, len(b.Records))
		for i, rec := range b.Records {
			raw[i] = rec.Data
		}
		topic.add(from, raw, sent)
	}
	return b.Records, b.Next, sent, false, err
}

// readFromRelay reads the topic from a relay.
func (r *topicReader) readFromRelay(ctx context.Context, p peerInstance, from int64) (records []external.Record, next int64, sent time.Duration, ok bool) {
	if r.relay != p.incarnation {
		r.relay, r.seen = p.incarnation, 0
	}
	g := r.g
	callSent := g.now()
	callCtx, cancel := context.WithTimeout(ctx, r.interval+relayMargin)
	defer cancel()
	a, err := g.peers.clients.ReadLog(callCtx, p.address, &peerpb.ReadLogRequest{Topic: r.topic, From: from, Seen: r.seen})
	if err != nil {
		g.markUnreachable(roleRelay, p.incarnation)
		g.log.Info().Err(err).Str("topic", r.topic).Str("relay", p.instance).Msg("relay of the log service not reached")
		return nil, 0, 0, false
	}
	age := time.Duration(a.AgeMs) * time.Millisecond
	if !a.Relayed || age > r.interval+relayMargin {
		return nil, 0, 0, false
	}
	r.seen = a.Reads
	for i, data := range a.Records {
		records = append(records, external.Record{Offset: from + int64(i), Data: data})
	}
	// The relay responded at the earliest WaitedMs after the call was sent, which gives a lower bound for the time of
	// its read.
	return records, a.Next, callSent + time.Duration(a.WaitedMs)*time.Millisecond - age, true
}

// ReadLog implements peerpb.PeerServer: it returns the records that this instance has read as a relay.
func (p *peers) ReadLog(ctx context.Context, r *peerpb.ReadLogRequest) (*peerpb.ReadLogResponse, error) {
	g := p.g
	start := g.now()
	g.mu.Lock()
	_, usesRelay := g.chooseRelay(start)
	topic := g.topic(r.Topic)
	g.mu.Unlock()
	if usesRelay {
		// An instance that reads from a relay itself does not pass its records on.
		return &peerpb.ReadLogResponse{}, nil
	}
	a, ok := topic.read(ctx, r.From, r.Seen)
	if !ok {
		return &peerpb.ReadLogResponse{}, ctx.Err()
	}
	now := g.now()
	return &peerpb.ReadLogResponse{
		Relayed: true, Records: a.Records, Next: a.Next, Reads: a.Reads,
		AgeMs: (now - a.Sent + time.Millisecond - 1).Milliseconds(), WaitedMs: (now - start).Milliseconds(),
	}, nil
}
