package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
)

// peerWait is how long an owner lets a peer wait for an adapter before it answers that the load goes on.
const peerWait = 1500 * time.Millisecond

// ownerAnswer is the time within which an owner that is well has answered: peerWait, a hop between data centres and a
// few scheduling periods of an instance with a fifth of a core.
const ownerAnswer = peerWait + 300*time.Millisecond

// peers asks the owners of workers for adapters, and answers as one.
type peers struct {
	peerpb.UnimplementedPeerServer
	g       *Gateway
	clients *peer.Clients
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, clients: peer.NewClients(nil, g.network.Dial, func(string) {})}
}

func (p *peers) serve(address string) (stop func(), err error) {
	l, err := p.g.network.Listen(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := peer.NewServer(nil)
	peerpb.RegisterPeerServer(s, p)
	go func() {
		if err := s.Serve(l); err != nil {
			p.g.log.Error().Err(err).Msg("the listener for peers ended")
		}
	}()
	return func() { s.Stop(); p.clients.Close() }, nil
}

// adapterVersion is MODEL/NAME@VERSION.
func adapterVersion(a residency.Adapter, version int64) string {
	return a.String() + "@" + strconv.FormatInt(version, 10)
}

func parseAdapterVersion(s string) (residency.Adapter, int64, error) {
	name, v, _ := strings.Cut(s, "@")
	version, err := strconv.ParseInt(v, 10, 64)
	return parseAdapter(name), version, trace.Wrap(err)
}

// WantAdapter implements peerpb.PeerServer.
func (p *peers) WantAdapter(ctx context.Context, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	a, version, err := parseAdapterVersion(r.Adapter)
	if err != nil {
		return nil, err
	}
	w, ok := p.g.workers.Load().Get(r.Engine)
	if !ok {
		return &peerpb.WantAdapterResponse{}, nil
	}
	p.g.mu.Lock()
	o := p.g.owners[w.Key()]
	p.g.mu.Unlock()
	if o == nil {
		return &peerpb.WantAdapterResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerWait)
	defer cancel()
	resident, admitted := o.ensure(ctx, a, version, time.Duration(r.SlackMs)*time.Millisecond)
	return &peerpb.WantAdapterResponse{Accepted: admitted, Ended: resident, Resident: resident}, nil
}

// Retire implements peerpb.PeerServer: this instance sends no further request for the adapter to the worker before
// the owner says that it is resident.
func (p *peers) Retire(_ context.Context, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	w, ok := p.g.workers.Load().Get(r.Engine)
	if !ok {
		return &peerpb.RetireResponse{}, nil
	}
	return &peerpb.RetireResponse{InFlight: int64(p.g.stopSending(w, parseAdapter(r.Adapter)))}, nil
}

// stopSending marks an adapter as absent and returns how many requests for it run at the worker.
func (g *Gateway) stopSending(w *workers.Worker, a residency.Adapter) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beliefs.Record(w.Key(), a, 0, false, g.now())
	if u := g.uses[useKey{w.ID, a}]; u != nil {
		return u.running
	}
	return 0
}

// retireTimeout bounds the question to a peer whether it uses an adapter. A peer that does not answer is judged by
// its last heartbeat.
const retireTimeout = 60 * time.Millisecond

// retire has all instances stop sending requests for an adapter and returns how many run.
func (g *Gateway) retire(ctx context.Context, w *workers.Worker, a residency.Adapter) int {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	g.mu.Lock()
	members := g.members.Live(g.now(), quota.TakeoverDelay)
	g.mu.Unlock()
	counts := make(chan int, len(members))
	asked := 0
	for _, m := range members {
		if m.Incarnation == g.incarnation {
			continue
		}
		asked++
		go func() {
			r, err := g.peers.clients.Retire(ctx, m.Heartbeat.Address, &peerpb.RetireRequest{Engine: w.ID, Adapter: a.String()})
			counts <- int(r.GetInFlight())
			if err != nil {
				g.log.Debug().Err(err).Str("worker", w.ID).Str("peer", m.Instance).Msg("peer not asked about an adapter")
			}
		}()
	}
	running := g.stopSending(w, a)
	for range asked {
		running += <-counts
	}
	return running
}

// missPause is how long an instance that could not be reached is not asked again for the same purpose.
const missPause = 2 * time.Second

// purpose is what an instance is asked for. One that is slow at one purpose may still serve another.
type purpose int

const (
	asOwner purpose = iota
	asHolder
	asRelay
)

// missKey names an instance by its incarnation, and what it was asked for.
type missKey struct {
	purpose     purpose
	incarnation string
}

func (g *Gateway) miss(p purpose, incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.missed[missKey{p, incarnation}] = g.now()
}

// missedLately reports whether an instance should not be asked yet. The lock is held.
func (g *Gateway) missedLately(p purpose, incarnation string, now time.Duration) bool {
	missed, ok := g.missed[missKey{p, incarnation}]
	return ok && now-missed <= missPause
}

// orderable reports whether a worker has an owner that can be asked to load. The lock is held.
func (g *Gateway) orderable(w *workers.Worker) bool {
	if g.owners[w.Key()] != nil {
		return g.mayOrder()
	}
	claim := g.members.Owner(w.ID)
	m, ok := g.members.Member(claim.Incarnation)
	now := g.now()
	if !ok || m.Heartbeat.Resigned || claim.Incarnation == g.incarnation || now-m.LastHeard > quota.TakeoverDelay(m.Lease()) {
		return false
	}
	return !g.missedLately(asOwner, claim.Incarnation, now)
}

// ensure has the worker's owner make the adapter resident, and reports whether it is. The slack is that of
// owner.ensure.
func (g *Gateway) ensure(ctx context.Context, w *workers.Worker, a residency.Adapter, version int64, slack time.Duration) bool {
	g.mu.Lock()
	own := g.owners[w.Key()]
	claim := g.members.Owner(w.ID)
	member, alive := g.members.Member(claim.Incarnation)
	g.mu.Unlock()
	var resident, admitted bool
	began := g.now()
	defer func() {
		if !resident {
			g.log.Info().Str("worker", w.ID).Str("owner", claim.Instance).Str("adapter", a.String()).Int64("version", version).
				Bool("owner_alive", alive).Bool("admitted", admitted).Int64("slack_ms", slack.Milliseconds()).Int64("ms", (g.now() - began).Milliseconds()).Msg("adapter not loaded in time")
		}
	}()
	switch {
	case own != nil:
		resident, admitted = own.ensure(ctx, a, version, slack)
	case !alive:
		return false
	default:
		r, err := g.peers.clients.WantAdapter(ctx, member.Heartbeat.Address, &peerpb.WantAdapterRequest{
			Engine: w.ID, Adapter: adapterVersion(a, version), FromIncarnation: g.incarnation, Waiting: 1,
			SlackMs: slack.Milliseconds(),
		})
		if err != nil {
			// The caller may have left, or its time be over, while the owner is well.
			if ctx.Err() == nil || g.now()-began >= ownerAnswer {
				g.miss(asOwner, claim.Incarnation)
				g.log.Info().Err(err).Str("worker", w.ID).Str("owner", claim.Instance).Str("adapter", a.String()).Msg("owner not reached")
			}
			return false
		}
		resident, admitted = r.Resident, r.Accepted
	}
	if resident {
		g.mu.Lock()
		g.beliefs.Record(w.Key(), a, max(version, 1), true, g.now())
		g.mu.Unlock()
	}
	return resident
}
