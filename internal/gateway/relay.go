package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/coordination/freshness"
	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/relay"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
)

// relayMargin is how much longer than the interval of a relay's reads an instance waits for the relay's response before
// it reads the log service itself. It is short so that a draining worker is known within its bound even if the relay
// has just been lost.
const relayMargin = 300 * time.Millisecond

// maxRelayInterval is the longest interval of a relay's reads for which the calls that wait for them end before CallTimeout.
const maxRelayInterval = peer.CallTimeout - relayMargin - 200*time.Millisecond

// relayedTopic holds the records of a topic that this instance has read from the log service, for other instances.
type relayedTopic struct {
	mu     sync.Mutex
	buffer relay.Buffer
	// changed is closed and replaced at each read that was added.
	changed chan struct{}
}

// add records a successful read from an offset on, and wakes the calls that wait for it.
func (t *relayedTopic) add(from int64, b external.Batch, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer.Add(from, rawRecords(b.Records), freshness.Read{Era: b.Era, Next: b.Next, End: b.End, Sent: sent})
	t.wakeReaders()
}

// startEra drops the records of earlier eras, and wakes the calls that wait for more of them.
func (t *relayedTopic) startEra(era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer.StartEra(era)
	t.wakeReaders()
}

// wakeReaders wakes the waiting calls. The topic's lock is held.
func (t *relayedTopic) wakeReaders() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// read returns the records from an offset of an era on, after a read with a number above seen was added. ok is false if
// the buffer does not reach back to the offset or has another era, or if ctx ends.
func (t *relayedTopic) read(ctx context.Context, era, from int64, seen uint64) (a relay.Answer, ok bool) {
	for {
		t.mu.Lock()
		a, ok, behind := t.buffer.Read(era, from, seen)
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

// next returns the offset after the buffered records, or that of a position if none of its era are buffered.
func (t *relayedTopic) next(at external.Position) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buffer.Next(at.Era, at.Offset)
}

// until returns the records from an offset of an era on, if they reach beyond a position.
func (t *relayedTopic) until(era, from int64, at external.Position) (records [][]byte, next int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok, _ := t.buffer.Read(era, from, 0)
	if !ok || era != at.Era || a.Next <= at.Offset {
		return nil, 0, false
	}
	return a.Records, a.Next, true
}

// topic returns the records of a topic that this instance has read. The lock is held.
func (g *Gateway) topic(name string) *relayedTopic {
	t := g.topics[name]
	if t == nil {
		t = &relayedTopic{changed: make(chan struct{})}
		t.buffer.StartEra(g.knownEra())
		g.topics[name] = t
	}
	return t
}

// setRelays chooses the instances that read the log service for the others among the live ones that have not resigned.
// The lock is held.
func (g *Gateway) setRelays(now time.Duration) {
	byName := map[string]peerInstance{}
	var candidates []relay.Candidate
	for _, m := range g.members.Live(now, quota.TakeoverDelay) {
		if !m.Heartbeat.Resigned {
			byName[m.Instance] = peerInstance{m.Instance, m.Incarnation, m.Heartbeat.Address}
			candidates = append(candidates, relay.Candidate{
				Member: rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB}, DataCentre: m.Heartbeat.DataCentre,
			})
		}
	}
	relays := relay.Relays(candidates)
	g.relays = g.relays[:0:0]
	for _, name := range relay.Preference(g.settings.Instance, g.settings.DataCentre, relays) {
		g.relays = append(g.relays, byName[name])
	}
	g.relaysForOthers = len(relays) < len(candidates)
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
	// behind is true if the last read of the log service did not reach the end of the topic. The next read then goes to the
	// log service again: if it waited for one silent relay after the other, with one read between, records could come faster.
	behind bool
}

// reading is the outcome of one successful read.
type reading struct {
	records []external.Record
	// next is the position after the records.
	next external.Position
	// end is the offset after the last record that the topic had when the read was answered, and sent when the read was sent to
	// the log service. A relay may have read the records before.
	end  int64
	sent time.Duration
	// relayed is true if a relay responded. A relay responds at the interval of its reads, so that the caller need not
	// wait between two reads.
	relayed bool
}

// read returns the records from a position on. It returns external.ErrRestored if the log service was restored since the
// position was valid.
func (r *topicReader) read(ctx context.Context, at external.Position, wait time.Duration) (reading, error) {
	g := r.g
	g.mu.Lock()
	p, ok := g.chooseRelay(g.now())
	g.mu.Unlock()
	if ok && !r.behind {
		start := g.now()
		if got, ok := r.readFromRelay(ctx, p, at); ok {
			if err := g.checkEra(r.topic, at.Era, got.next.Era); err != nil {
				return reading{}, err
			}
			return got, nil
		}
		if g.now()-start >= r.interval {
			// The local state became stale while the relay did not respond: read without waiting for a change.
			wait = 0
		}
	}
	return r.readFromLog(ctx, at, wait)
}

// readFromLog reads the topic from the log service.
func (r *topicReader) readFromLog(ctx context.Context, at external.Position, wait time.Duration) (reading, error) {
	g := r.g
	sent := g.now()
	b, err := g.platform.Log.Read(ctx, r.topic, at.Offset, wait)
	if err == nil || errors.Is(err, external.ErrExpired) {
		g.observeEra(r.topic, b.Era)
	}
	if err == nil {
		err = g.checkEra(r.topic, at.Era, b.Era)
	}
	if err != nil {
		return reading{}, err
	}
	g.mu.Lock()
	topic := g.topic(r.topic)
	g.mu.Unlock()
	topic.add(at.Offset, b, sent)
	r.behind = b.More()
	return reading{records: b.Records, next: external.Position{Era: b.Era, Offset: b.Next}, end: b.End, sent: sent}, nil
}

// errOldAnswer means that the log service answered in an earlier era than before.
var errOldAnswer = trace.CompareFailed("answer of the log service is older than its latest restore")

// checkEra returns nil if an answer of one era may be used by a reader whose position is of another.
func (g *Gateway) checkEra(topic string, position, answer int64) error {
	known := g.knownEra()
	switch relay.Judge(position, answer, known) {
	case relay.LoadAgain:
		return external.ErrRestored
	case relay.Ignore:
		g.log.Warn().Str("topic", topic).Int64("era", answer).Int64("known", known).Msg("answer of an earlier era ignored")
		return errOldAnswer
	default:
		return nil
	}
}

// readFromRelay reads the topic from a relay. ok is false if the relay does not respond in time, lacks the records, or
// has seen another era of the log service.
func (r *topicReader) readFromRelay(ctx context.Context, p peerInstance, at external.Position) (got reading, ok bool) {
	if r.relay != p.incarnation {
		r.relay, r.seen = p.incarnation, 0
	}
	g := r.g
	callSent := g.now()
	callCtx, cancel := context.WithTimeout(ctx, r.interval+relayMargin)
	defer cancel()
	a, err := g.peers.clients.ReadLog(callCtx, p.address, &peerpb.ReadLogRequest{Topic: r.topic, Era: at.Era, From: at.Offset, Seen: r.seen})
	if err != nil {
		g.markUnreachable(roleRelay, p.incarnation)
		g.log.Info().Err(err).Str("topic", r.topic).Str("relay", p.instance).Msg("relay of the log service not reached")
		return reading{}, false
	}
	age := time.Duration(a.AgeMs) * time.Millisecond
	// An instance of an earlier release does not say where the topic ends.
	if !a.Relayed || a.Era != at.Era || age > r.interval+relayMargin || a.End < a.Next {
		return reading{}, false
	}
	r.seen = a.Reads
	for i, data := range a.Records {
		got.records = append(got.records, external.Record{Offset: at.Offset + int64(i), Data: data})
	}
	// The relay responded at the earliest WaitedMs after the call was sent, which gives a lower bound for the time of
	// its read.
	got.sent = callSent + time.Duration(a.WaitedMs)*time.Millisecond - age
	got.next, got.end, got.relayed = external.Position{Era: a.Era, Offset: a.Next}, a.End, true
	return got, true
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
	a, ok := topic.read(ctx, r.Era, r.From, r.Seen)
	if !ok {
		return &peerpb.ReadLogResponse{}, ctx.Err()
	}
	now := g.now()
	return &peerpb.ReadLogResponse{
		Relayed: true, Era: r.Era, Records: a.Records, Next: a.Next, End: a.End, Reads: a.Reads,
		AgeMs: (now - a.Sent + time.Millisecond - 1).Milliseconds(), WaitedMs: (now - start).Milliseconds(),
	}, nil
}
