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
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
)

// peerLoadWait is how long a peer's request for an adapter waits for the load before the owner responds that the
// adapter is not resident yet.
const peerLoadWait = 1500 * time.Millisecond

// ownerResponseTimeout is the time within which a healthy owner responds: peerLoadWait, a hop between data centres and
// a few scheduling periods of an instance with a fifth of a core.
const ownerResponseTimeout = peerLoadWait + 300*time.Millisecond

// peers is the server for calls from other instances and holds the clients for calls to them.
type peers struct {
	peerpb.UnimplementedPeerServer
	g       *Gateway
	clients *peer.Clients
}

func newPeers(g *Gateway) *peers {
	counted := guard.NewOutbound("to_peers", g.settings.callerLimits().Peers, g.guardMetrics, g.log).Network(g.network)
	clients := peer.NewClients(nil, counted.Dial, func(string) {})
	clients.OnCall = func(method string) { g.metrics.peerCalls.WithLabelValues(method).Inc() }
	return &peers{g: g, clients: clients}
}

// serve starts the listener for peers; stop closes it and the clients.
func (p *peers) serve(address string) (stop func(), err error) {
	l, err := p.g.network.Listen(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l = guard.Limit(l, "from_peers", p.g.settings.callerLimits().PeersAccepted, p.g.guardMetrics, p.g.log)
	s := peer.NewServer(nil, p.g.recordPanic)
	peerpb.RegisterPeerServer(s, p)
	go func() {
		if err := s.Serve(l); err != nil {
			p.g.log.Error().Err(err).Msg("listener for peers failed")
		}
	}()
	return func() { s.Stop(); p.clients.Close() }, nil
}

// adapterVersion returns MODEL/NAME@VERSION.
func adapterVersion(a residency.Adapter, version int64) string {
	return a.String() + "@" + strconv.FormatInt(version, 10)
}

// parseAdapterVersion parses MODEL/NAME@VERSION.
func parseAdapterVersion(s string) (residency.Adapter, int64, error) {
	name, v, _ := strings.Cut(s, "@")
	version, err := strconv.ParseInt(v, 10, 64)
	return parseAdapter(name), version, trace.Wrap(err)
}

// WantAdapter implements peerpb.PeerServer: it makes an adapter resident at a worker that this instance owns.
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
	o, unusable := p.g.owners[w.Key()], p.g.leaving(w) || p.g.evacuated(w)
	p.g.mu.Unlock()
	if o == nil || unusable {
		return &peerpb.WantAdapterResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerLoadWait)
	defer cancel()
	size := requestOfMix(r.PromptTokens, r.OutputTokens, r.Mix)
	size.Share = p.g.shareOf(r.Share)
	l := o.ensureResident(ctx, wantedAdapter{
		adapter: a, version: version, slack: time.Duration(r.SlackMs) * time.Millisecond, reserve: time.Duration(r.ReserveMs) * time.Millisecond,
		size: size, left: time.Duration(r.DeadlineMs) * time.Millisecond,
	})
	out := &peerpb.WantAdapterResponse{Accepted: l.admitted, Ended: l.resident, Resident: l.resident}
	if l.resident {
		out.Place = l.place
	}
	return out, nil
}

// Retire implements peerpb.PeerServer: this instance sends no more requests for the adapter to the worker until the
// owner reports that the adapter is resident again.
func (p *peers) Retire(_ context.Context, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	w, ok := p.g.workers.Load().Get(r.Engine)
	if !ok {
		return &peerpb.RetireResponse{}, nil
	}
	return &peerpb.RetireResponse{InFlight: int64(p.g.markAbsent(w, parseAdapter(r.Adapter)))}, nil
}

// markAbsent marks an adapter as absent at a worker, so that no more requests for it are sent there, and returns how
// many requests of this instance for it are in flight at the worker.
func (g *Gateway) markAbsent(w *workers.Worker, a residency.Adapter) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.residency.Record(w.Key(), a, 0, false, g.now())
	if u := g.usage[workerAdapter{w.ID, a}]; u != nil {
		return u.inFlight
	}
	return 0
}

// retireTimeout bounds the call to a peer before an adapter is unloaded. For a peer that does not respond, the
// requests in flight in its last heartbeat count.
const retireTimeout = 60 * time.Millisecond

// retire makes all instances stop sending requests for an adapter to a worker, and returns how many are in flight.
func (g *Gateway) retire(ctx context.Context, w *workers.Worker, a residency.Adapter) int {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	g.mu.Lock()
	members := g.members.Live(g.now(), quota.TakeoverDelay)
	g.mu.Unlock()
	counts := make(chan int, len(members))
	calls := 0
	for _, m := range members {
		if m.Incarnation == g.incarnation {
			continue
		}
		calls++
		go func() {
			var r *peerpb.RetireResponse
			defer func() { counts <- int(r.GetInFlight()) }()
			var err error
			g.guard("unload at a peer", func() {
				r, err = g.peers.clients.Retire(ctx, m.Heartbeat.Address, &peerpb.RetireRequest{Engine: w.ID, Adapter: a.String()})
			})
			if err != nil {
				g.log.Debug().Err(err).Str("worker", w.ID).Str("peer", m.Instance).Msg("peer not reached before the unload of an adapter")
			}
		}()
	}
	running := g.markAbsent(w, a)
	for range calls {
		running += <-counts
	}
	return running
}

// unreachableBackoff is how long an instance that could not be reached is not called again in the same role.
const unreachableBackoff = 2 * time.Second

// peerRole is the role in which an instance is called. An instance that is slow in one role may still respond in
// another.
type peerRole int

const (
	roleOwner peerRole = iota
	roleHolder
	roleRelay
	// roleAdmission is that of an owner which is asked for the load of its worker.
	roleAdmission
	// roleKeeper is that of the keeper of a plain service's worker.
	roleKeeper
)

// peerCall identifies an instance by its incarnation, and the role in which it is called.
type peerCall struct {
	role        peerRole
	incarnation string
}

// markUnreachable records a failed call to an instance.
func (g *Gateway) markUnreachable(role peerRole, incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable[peerCall{role, incarnation}] = g.now()
}

// recentlyUnreachable reports whether a call to an instance failed within unreachableBackoff. The lock is held.
func (g *Gateway) recentlyUnreachable(role peerRole, incarnation string, now time.Duration) bool {
	failed, ok := g.unreachable[peerCall{role, incarnation}]
	return ok && now-failed <= unreachableBackoff
}

// hasReachableOwner reports whether a worker has an owner that can be asked to load an adapter. The lock is held.
func (g *Gateway) hasReachableOwner(w *workers.Worker) bool {
	if g.owners[w.Key()] != nil {
		return g.maySendOrders()
	}
	claim := g.members.Owner(w.ID)
	m, ok := g.members.Member(claim.Incarnation)
	now := g.now()
	if !ok || m.Heartbeat.Resigned || claim.Incarnation == g.incarnation || now-m.LastHeard > quota.TakeoverDelay(m.Lease()) {
		return false
	}
	return !g.recentlyUnreachable(roleOwner, claim.Incarnation, now)
}

// ensureResident asks the worker's owner to make the adapter resident, and reports whether it is. The request then has a
// place at the worker, if the owner gave one.
func (g *Gateway) ensureResident(ctx context.Context, w *workers.Worker, want wantedAdapter) (p workerPlace, resident bool) {
	g.mu.Lock()
	own := g.owners[w.Key()]
	claim := g.members.Owner(w.ID)
	member, alive := g.members.Member(claim.Incarnation)
	unusable := g.leaving(w) || g.evacuated(w)
	g.mu.Unlock()
	var l loadedAdapter
	start := g.now()
	p = workerPlace{worker: w, owner: peerInstance{claim.Instance, claim.Incarnation, member.Heartbeat.Address}, asked: start}
	defer func() {
		if !l.resident {
			g.log.Info().Str("worker", w.ID).Str("owner", claim.Instance).Str("adapter", want.adapter.String()).Int64("version", want.version).
				Bool("owner_alive", alive).Bool("admitted", l.admitted).Int64("slack_ms", want.slack.Milliseconds()).Int64("ms", (g.now() - start).Milliseconds()).Msg("adapter not loaded in time")
		}
	}()
	switch {
	case unusable:
		return p, false
	case own != nil:
		l = own.ensureResident(ctx, want)
		p.owner = peerInstance{incarnation: g.incarnation}
	case !alive:
		return p, false
	default:
		r, err := g.peers.clients.WantAdapter(ctx, member.Heartbeat.Address, &peerpb.WantAdapterRequest{
			Engine: w.ID, Adapter: adapterVersion(want.adapter, want.version), FromIncarnation: g.incarnation, Waiting: 1,
			SlackMs: want.slack.Milliseconds(), ReserveMs: want.reserve.Milliseconds(), PromptTokens: want.size.Prompt, OutputTokens: want.size.Output, DeadlineMs: want.left.Milliseconds(), Mix: requestMix(want.size),
			Share: shareMessage(want.size.Share),
		})
		if err != nil {
			// The call may have failed because the caller left or its deadline passed. The owner counts as unreachable
			// only if ctx is still valid or the owner had enough time to respond.
			if ctx.Err() == nil || g.now()-start >= ownerResponseTimeout {
				g.markUnreachable(roleOwner, claim.Incarnation)
				g.log.Info().Err(err).Str("worker", w.ID).Str("owner", claim.Instance).Str("adapter", want.adapter.String()).Msg("owner not reached")
			}
			return p, false
		}
		l = loadedAdapter{resident: r.Resident, admitted: r.Accepted, place: r.Place}
	}
	if l.resident {
		g.mu.Lock()
		g.residency.Record(w.Key(), want.adapter, max(want.version, 1), true, g.now())
		g.mu.Unlock()
		p.number = l.place
	}
	return p, l.resident
}
