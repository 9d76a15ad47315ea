package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// overdraftShare is the share of the quota slack by which the holders of a rate may together overdraw it, so that a
	// request is not refused although another holder has enough tokens.
	overdraftShare = 0.5
	// spendTotalTimeout is the time after which no further holder is asked for one request. Callers give up a request
	// that is not read within a second, and can send it to another instance sooner if it is refused early.
	spendTotalTimeout = 400 * time.Millisecond
	// maxSpentWait is the maximum time for which a holder that has spent its share is skipped; units may be refunded to
	// it in the meantime.
	maxSpentWait = 500 * time.Millisecond
	// spendTimeout bounds the call to one holder. A hop between data centres takes a few milliseconds, but an
	// instance with a fifth of a core may be delayed for most of a scheduling period of 100 ms.
	spendTimeout = 150 * time.Millisecond
	// microtokensPerUnit is the number of microtokens, in which messages between instances count, in one unit of a rate.
	microtokensPerUnit = 1e6
	// rateUnknown is the refusal code of an instance that holds no share of a rate, or may not spend it.
	rateUnknown = "rate_unknown"
)

// peerInstance is an instance that others call as a holder of a rate or as a relay.
type peerInstance struct{ instance, incarnation, address string }

// rateMembers returns the instances among which rates are divided, and sets fleetSize. An instance without recent
// heartbeats keeps its share until it may no longer spend it. The lock is held.
func (g *Gateway) rateMembers(now time.Duration) []fleetlog.Member {
	if !g.fleetRead.Load() {
		return nil
	}
	members := g.members.Live(now, quota.ReassignDelay)
	g.fleetSize = max(1, len(members))
	g.liveInstances.Store(int64(g.fleetSize))
	return members
}

// setHolders sets the holders of a workspace's rate, and returns this instance's share of it. The lock is held.
func (g *Gateway) setHolders(workspace string, members []fleetlog.Member) float64 {
	byName := make(map[string]fleetlog.Member, len(members))
	names := make([]rendezvous.Member, 0, len(members))
	for _, m := range members {
		byName[m.Instance] = m
		names = append(names, rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB})
	}
	share := 0.0
	var list []peerInstance
	for k := range g.spentUntil {
		if k.workspace == workspace && !slices.ContainsFunc(members, func(m fleetlog.Member) bool { return m.Incarnation == k.incarnation }) {
			delete(g.spentUntil, k)
		}
	}
	holders := quota.Holders(workspace, names)
	for _, name := range holders {
		m := byName[name]
		list = append(list, peerInstance{name, m.Incarnation, m.Heartbeat.Address})
		if m.Incarnation == g.incarnation {
			share = 1 / float64(len(holders))
		}
	}
	g.rateHolders[workspace] = list
	return share
}

// spendOwn charges units to this instance's share. If the instance has no share or may not spend it, known is false.
// The lock is held.
func (g *Gateway) spendOwn(workspace string, units float64, now time.Duration) (wait time.Duration, taken, known bool) {
	b := g.buckets[workspace]
	holds := slices.ContainsFunc(g.rateHolders[workspace], func(h peerInstance) bool { return h.incarnation == g.incarnation })
	if b == nil || !holds || !g.maySpend() {
		return notReadyRetryAfter, false, false
	}
	wait, taken = b.Take(units, g.settings.Bounds.QuotaSlack*overdraftShare/float64(len(g.rateHolders[workspace])), now)
	return wait, taken, true
}

// chargeUnits charges the request to its workspace's rate: to this instance's share, or else to another holder's.
func (g *Gateway) chargeUnits(w *routing.Workspace, j *forward.Job) error {
	if w.Rate <= 0 {
		return nil
	}
	j.Cost = 1
	if w.CountsTokens {
		j.Cost = w.DefaultTokens
		if j.HasTokens {
			j.Cost = float64(j.PromptTokens + j.OutputTokens)
		}
	}
	now := g.now()
	var wait, spentWait time.Duration
	var taken, known bool
	var others []peerInstance
	g.locked(func() {
		if b := g.buckets[w.Name]; b != nil {
			j.ShareRate, j.ShareTokens = b.Level(now)
		}
		wait, taken, known = g.spendOwn(w.Name, j.Cost, now)
		others, spentWait = g.otherHolders(w.Name, now)
	})
	if !taken && spentWait > 0 && (!known || spentWait < wait) {
		wait, known = spentWait, true
	}
	for _, h := range others {
		if taken || g.now()-now > spendTotalTimeout {
			break
		}
		holderWait, ok, holderKnown := g.spendRemote(h, w.Name, j.Cost)
		if !holderKnown {
			continue
		}
		if !known || holderWait < wait {
			wait = holderWait
		}
		taken, known = ok, true
		if ok {
			j.ChargedTo = h.address
		}
	}
	switch {
	case !known:
		return refuse(http.StatusServiceUnavailable, rateUnknown, "no holder of the workspace's rate was reached", g.unreadyRetryAfter())
	case !taken:
		return refuse(http.StatusTooManyRequests, "over_rate", "the workspace is over its rate", wait)
	}
	j.ChargedUnits = j.Cost
	return nil
}

// holderShare identifies a holder's share of a workspace's rate.
type holderShare struct{ workspace, incarnation string }

// otherHolders returns the other holders to ask, in random order. Holders that have spent their shares are skipped;
// spentWait is the shortest time until one of them is asked again, zero if there are none. The lock is held.
func (g *Gateway) otherHolders(workspace string, now time.Duration) (list []peerInstance, spentWait time.Duration) {
	for _, h := range g.rateHolders[workspace] {
		if h.incarnation == g.incarnation || g.recentlyUnreachable(roleHolder, h.incarnation, now) {
			continue
		}
		if left := g.spentUntil[holderShare{workspace, h.incarnation}] - now; left > 0 {
			if spentWait == 0 || left < spentWait {
				spentWait = left
			}
			continue
		}
		list = append(list, h)
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list, spentWait
}

// spendRemote charges units to another holder's share. If the holder was not reached, has no share or may not spend it,
// known is false. If the response is lost, that holder may have been charged, and the next holder is charged as well: the
// workspace then gets less than its rate, never more.
func (g *Gateway) spendRemote(h peerInstance, workspace string, units float64) (wait time.Duration, taken, known bool) {
	ctx, cancel := context.WithTimeout(g.lifetime, spendTimeout)
	defer cancel()
	r, err := g.peers.clients.Spend(ctx, h.address, &peerpb.SpendRequest{Workspace: workspace, Microtokens: int64(units * microtokensPerUnit)})
	if err != nil {
		g.markUnreachable(roleHolder, h.incarnation)
		g.log.Info().Err(err).Str("workspace", workspace).Str("holder", h.instance).Msg("holder of a rate not reached")
		return 0, false, false
	}
	wait = time.Duration(r.WaitMs) * time.Millisecond
	if wait > 0 {
		g.mu.Lock()
		g.spentUntil[holderShare{workspace, h.incarnation}] = g.now() + min(wait, maxSpentWait)
		g.mu.Unlock()
	}
	return wait, r.Refusal == "", r.Refusal != rateUnknown
}

// Spend implements peerpb.PeerServer: it charges units to this instance's share for a request at another instance.
// Negative units are a refund.
func (p *peers) Spend(_ context.Context, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	units := float64(r.Microtokens) / microtokensPerUnit
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if units < 0 {
		if b := p.g.buckets[r.Workspace]; b != nil {
			b.Refund(-units)
		}
		return &peerpb.SpendResponse{}, nil
	}
	wait, taken, known := p.g.spendOwn(r.Workspace, units, p.g.now())
	switch {
	case !known:
		return &peerpb.SpendResponse{Refusal: rateUnknown}, nil
	case !taken:
		return &peerpb.SpendResponse{Refusal: "over_rate", WaitMs: wait.Milliseconds()}, nil
	}
	return &peerpb.SpendResponse{}, nil
}

// Refund implements forward.Admission.
func (m *admission) Refund(j *forward.Job) {
	g := (*Gateway)(m)
	if j.ChargedTo == "" {
		g.mu.Lock()
		defer g.mu.Unlock()
		if b := g.buckets[j.Workspace.Name]; b != nil {
			b.Refund(j.ChargedUnits)
		}
		return
	}
	g.start("refund", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, spendTimeout)
		defer cancel()
		refund := &peerpb.SpendRequest{Workspace: j.Workspace.Name, Microtokens: -int64(j.ChargedUnits * microtokensPerUnit)}
		if _, err := g.peers.clients.Spend(ctx, j.ChargedTo, refund); err != nil {
			// The units are lost: the workspace gets less than its rate, never more.
			g.log.Debug().Err(err).Str("request", j.ID).Msg("refund of units failed")
		}
	})
}
