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

// relayPatience is how much longer than the time between a relay's reads an instance waits for its answer before it
// reads for itself: a leaving worker must be known within its bound, also when the relay has just been lost.
const relayPatience = 300 * time.Millisecond

// relayedTopic is what this instance has read of a topic.
type relayedTopic struct {
	mu      sync.Mutex
	buffer  relay.Buffer
	changed chan struct{}
}

func (t *relayedTopic) add(from int64, records [][]byte, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer.Add(from, records, sent)
	close(t.changed)
	t.changed = make(chan struct{})
}

// read waits for an answer.
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

// topicOf returns what this instance has read of a topic. The lock is held.
func (g *Gateway) topicOf(name string) *relayedTopic {
	t := g.topics[name]
	if t == nil {
		t = &relayedTopic{changed: make(chan struct{})}
		g.topics[name] = t
	}
	return t
}

// setRelays sets the instances that read the log service for the others: live ones that do not leave. The lock is held.
func (g *Gateway) setRelays(now time.Duration) {
	byName := map[string]holder{}
	var names []rendezvous.Member
	for _, m := range g.members.Live(now, quota.TakeoverDelay) {
		if !m.Heartbeat.Resigned {
			byName[m.Instance] = holder{m.Instance, m.Incarnation, m.Heartbeat.Address}
			names = append(names, rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB})
		}
	}
	g.relays = g.relays[:0:0]
	for _, name := range relay.Preference(g.settings.Instance, relay.Relays(names)) {
		g.relays = append(g.relays, byName[name])
	}
}

// relayOf returns the relay to ask; none if this instance reads for itself. The lock is held.
func (g *Gateway) relayOf(now time.Duration) (holder, bool) {
	if slices.ContainsFunc(g.relays, func(h holder) bool { return h.incarnation == g.incarnation }) {
		return holder{}, false
	}
	for _, h := range g.relays {
		if !g.missedLately(asRelay, h.incarnation, now) {
			return h, true
		}
	}
	return holder{}, false
}

// reader reads one topic: from a relay, or else from the log service.
type reader struct {
	g     *Gateway
	topic string
	// interval is the time between the reads of a relay.
	interval time.Duration
	// relay is the incarnation that was asked last, and seen the number of its last answer.
	relay string
	seen  uint64
}

// read returns the records from an offset on, the offset after them, when the read that confirms them was sent to the
// log service, and whether a relay answered, which paces its answers itself.
func (r *reader) read(ctx context.Context, from int64, wait time.Duration) (records []external.Record, next int64, sent time.Duration, relayed bool, err error) {
	g := r.g
	g.mu.Lock()
	h, ok := g.relayOf(g.now())
	topic := g.topicOf(r.topic)
	g.mu.Unlock()
	if ok {
		asked := g.now()
		if records, next, sent, ok = r.ask(ctx, h, from); ok {
			return records, next, sent, true, nil
		}
		if g.now()-asked >= r.interval {
			// What is known has aged while the relay was asked; a read that waits would let it age further.
			wait = 0
		}
	}
	sent = g.now()
	b, err := g.around.Log.Read(ctx, r.topic, from, wait)
	if err == nil {
		raw := make([][]byte, len(b.Records))
		for i, rec := range b.Records {
			raw[i] = rec.Data
		}
		topic.add(from, raw, sent)
	}
	return b.Records, b.Next, sent, false, err
}

// ask reads from a relay.
func (r *reader) ask(ctx context.Context, h holder, from int64) (records []external.Record, next int64, sent time.Duration, ok bool) {
	if r.relay != h.incarnation {
		r.relay, r.seen = h.incarnation, 0
	}
	g := r.g
	asked := g.now()
	callCtx, cancel := context.WithTimeout(ctx, r.interval+relayPatience)
	defer cancel()
	a, err := g.peers.clients.ReadLog(callCtx, h.address, &peerpb.ReadLogRequest{Topic: r.topic, From: from, Seen: r.seen})
	if err != nil {
		g.miss(asRelay, h.incarnation)
		g.log.Info().Err(err).Str("topic", r.topic).Str("relay", h.instance).Msg("relay of the log service not reached")
		return nil, 0, 0, false
	}
	age := time.Duration(a.AgeMs) * time.Millisecond
	if !a.Relayed || age > r.interval+relayPatience {
		return nil, 0, 0, false
	}
	r.seen = a.Reads
	for i, data := range a.Records {
		records = append(records, external.Record{Offset: from + int64(i), Data: data})
	}
	// The answer left the relay no earlier than it waited after it was asked for.
	return records, a.Next, asked + time.Duration(a.WaitedMs)*time.Millisecond - age, true
}

// ReadLog implements peerpb.PeerServer.
func (p *peers) ReadLog(ctx context.Context, r *peerpb.ReadLogRequest) (*peerpb.ReadLogResponse, error) {
	g := p.g
	began := g.now()
	g.mu.Lock()
	_, asks := g.relayOf(began)
	topic := g.topicOf(r.Topic)
	g.mu.Unlock()
	if asks {
		// An instance that asks a relay itself does not pass on what it heard.
		return &peerpb.ReadLogResponse{}, nil
	}
	a, ok := topic.read(ctx, r.From, r.Seen)
	if !ok {
		return &peerpb.ReadLogResponse{}, ctx.Err()
	}
	now := g.now()
	return &peerpb.ReadLogResponse{
		Relayed: true, Records: a.Records, Next: a.Next, Reads: a.Reads,
		AgeMs: (now - a.Sent + time.Millisecond - 1).Milliseconds(), WaitedMs: (now - began).Milliseconds(),
	}, nil
}
