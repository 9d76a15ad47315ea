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
	// debtShare is the part of the quota's slack that the holders of a rate may together be in debt with: a request
	// must not be refused because its tokens lie at another holder.
	debtShare = 0.5
	// spendPatience bounds the questions for one request together. Callers give up a request that is not read within
	// a second, and one that waits is better sent elsewhere.
	spendPatience = 400 * time.Millisecond
	// longestSpent is how long a holder that has spent its part is left out at most; others may have given units back.
	longestSpent = 500 * time.Millisecond
	// spendTimeout bounds the question to one holder. A hop between data centres takes a few milliseconds, but an
	// instance with a fifth of a core may be held up for most of a scheduling period of 100 ms.
	spendTimeout = 150 * time.Millisecond
	// microtokens is the unit of messages between instances.
	microtokens = 1e6
	// rateUnknown is the refusal of an instance that holds no part of a rate, or may not spend it.
	rateUnknown = "rate_unknown"
)

// holder is an instance that holds a part of a workspace's rate.
type holder struct{ instance, incarnation, address string }

// rateMembers returns the instances among which rates are divided. One that is silent keeps its part until it can no
// longer spend it. The lock is held.
func (g *Gateway) rateMembers(now time.Duration) []fleetlog.Member {
	if !g.fleetRead.Load() {
		return nil
	}
	members := g.members.Live(now, quota.ReassignDelay)
	g.live = max(1, len(members))
	return members
}

// setHolders sets who holds parts of a workspace's rate, and returns this instance's part. The lock is held.
func (g *Gateway) setHolders(workspace string, members []fleetlog.Member) float64 {
	byName := make(map[string]fleetlog.Member, len(members))
	names := make([]rendezvous.Member, 0, len(members))
	for _, m := range members {
		byName[m.Instance] = m
		names = append(names, rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB})
	}
	part := 0.0
	var list []holder
	for k := range g.spent {
		if k.workspace == workspace && !slices.ContainsFunc(members, func(m fleetlog.Member) bool { return m.Incarnation == k.incarnation }) {
			delete(g.spent, k)
		}
	}
	held := quota.Holders(workspace, names)
	for _, name := range held {
		m := byName[name]
		list = append(list, holder{name, m.Incarnation, m.Heartbeat.Address})
		if m.Incarnation == g.incarnation {
			part = 1 / float64(len(held))
		}
	}
	g.rateHolders[workspace] = list
	return part
}

// spendOwn takes units from this instance's part. Without a part, or out of touch with the fleet, known is false. The
// lock is held.
func (g *Gateway) spendOwn(workspace string, units float64, now time.Duration) (wait time.Duration, taken, known bool) {
	b := g.buckets[workspace]
	holds := slices.ContainsFunc(g.rateHolders[workspace], func(h holder) bool { return h.incarnation == g.incarnation })
	if b == nil || !holds || !g.maySpend() {
		return notYet, false, false
	}
	wait, taken = b.Take(units, g.settings.Bounds.QuotaSlack*debtShare/float64(len(g.rateHolders[workspace])), now)
	return wait, taken, true
}

// takeUnits charges the request to its workspace's rate: to this instance's part, or else to another holder.
func (g *Gateway) takeUnits(w *routing.Workspace, j *forward.Job) error {
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
	g.mu.Lock()
	if b := g.buckets[w.Name]; b != nil {
		j.ShareRate, j.ShareTokens = b.Level(now)
	}
	wait, taken, known := g.spendOwn(w.Name, j.Cost, now)
	others, spentWait := g.otherHolders(w.Name, now)
	g.mu.Unlock()
	if !taken && spentWait > 0 && (!known || spentWait < wait) {
		wait, known = spentWait, true
	}
	for _, h := range others {
		if taken || g.now()-now > spendPatience {
			break
		}
		hisWait, ok, answered := g.spendAt(h, w.Name, j.Cost)
		if !answered {
			continue
		}
		if !known || hisWait < wait {
			wait = hisWait
		}
		taken, known = ok, true
		if ok {
			j.ChargedTo = h.address
		}
	}
	switch {
	case !known:
		return refuse(http.StatusServiceUnavailable, rateUnknown, "no holder of the workspace's rate was reached", notYet)
	case !taken:
		return refuse(http.StatusTooManyRequests, "over_rate", "the workspace is over its rate", wait)
	}
	j.ChargedUnits = j.Cost
	return nil
}

// spentKey names a holder's part of a workspace's rate.
type spentKey struct{ workspace, incarnation string }

// otherHolders returns the holders to ask, in random order, and how long those take that are left out since they have
// spent their part, zero if there are none. The lock is held.
func (g *Gateway) otherHolders(workspace string, now time.Duration) (list []holder, spentWait time.Duration) {
	for _, h := range g.rateHolders[workspace] {
		if h.incarnation == g.incarnation || g.missedLately(asHolder, h.incarnation, now) {
			continue
		}
		if left := g.spent[spentKey{workspace, h.incarnation}] - now; left > 0 {
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

// spendAt asks another holder for units. If its answer is lost, it may have spent them, and the next holder is charged
// too: the workspace gets less than its rate then, never more.
func (g *Gateway) spendAt(h holder, workspace string, units float64) (wait time.Duration, taken, answered bool) {
	ctx, cancel := context.WithTimeout(g.lifetime, spendTimeout)
	defer cancel()
	r, err := g.peers.clients.Spend(ctx, h.address, &peerpb.SpendRequest{Workspace: workspace, Microtokens: int64(units * microtokens)})
	if err != nil {
		g.miss(asHolder, h.incarnation)
		g.log.Info().Err(err).Str("workspace", workspace).Str("holder", h.instance).Msg("holder of a rate not reached")
		return 0, false, false
	}
	wait = time.Duration(r.WaitMs) * time.Millisecond
	if wait > 0 {
		g.mu.Lock()
		g.spent[spentKey{workspace, h.incarnation}] = g.now() + min(wait, longestSpent)
		g.mu.Unlock()
	}
	return wait, r.Refusal == "", r.Refusal != rateUnknown
}

// Spend implements peerpb.PeerServer: it charges a request at another instance to this instance's part.
func (p *peers) Spend(_ context.Context, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	units := float64(r.Microtokens) / microtokens
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
	g.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, spendTimeout)
		defer cancel()
		back := &peerpb.SpendRequest{Workspace: j.Workspace.Name, Microtokens: -int64(j.ChargedUnits * microtokens)}
		if _, err := g.peers.clients.Spend(ctx, j.ChargedTo, back); err != nil {
			// The workspace has fewer tokens than it could; nothing is served beyond the rate.
			g.log.Debug().Err(err).Str("request", j.ID).Msg("units not given back")
		}
	})
}
