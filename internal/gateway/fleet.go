package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

const (
	// beatRetry is the time after which a heartbeat that was not acknowledged is sent again.
	beatRetry = 250 * time.Millisecond
	// beatTimeout bounds one append. A heartbeat whose answer is lost is found by the read that follows, and the
	// next one must be sent before the lease of the one before ends.
	beatTimeout = 600 * time.Millisecond
	// startSpread is the time over which instances that start together send their first heartbeat.
	startSpread = 100 * time.Millisecond
	// maxUses bounds the adapters told in one heartbeat; the most used come first.
	maxUses = 300
)

// followFleet sends heartbeats, reads those of the others, and claims workers without a live owner.
func (g *Gateway) followFleet(ctx context.Context) error {
	d := dependency{name: "fleet"}
	next := int64(0)
	// Instances that start together would otherwise call the log service at the same moments. The first heartbeat
	// is sent soon, since nothing is served before it; the second one spreads them out.
	sleep(ctx, time.Duration(rand.Int64N(int64(startSpread))))
	spread := time.Duration(rand.Int64N(int64(g.pace().HeartbeatInterval)))
	for ctx.Err() == nil {
		began := time.Now()
		beatErr := g.beat(ctx)
		var readErr error
		next, readErr = g.readFleet(ctx, next)
		g.observe(&d, errors.Join(beatErr, readErr))
		if readErr == nil && !g.fleetRead.Swap(true) {
			g.log.Info().Int64("end", next).Int("live", g.liveMembers()).Int64("ms", time.Since(began).Milliseconds()).Msg("fleet known")
		}
		// Rates and relays first: after a restart of many instances the log service is busy with claims.
		g.rebalance()
		if readErr == nil {
			next = g.claimFree(ctx, next)
		}
		pause := g.pace().HeartbeatInterval - time.Since(began) - spread
		spread = 0
		if beatErr != nil {
			pause = beatRetry
		}
		g.waitBeat(ctx, pause)
	}
	return ctx.Err()
}

// liveMembers returns how many instances are known that are not silent.
func (g *Gateway) liveMembers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members.Live(g.now(), quota.ReassignDelay))
}

// ackedBeat is the last heartbeat that the log service acknowledged, and what it permits.
type ackedBeat struct {
	sent, lease, spend time.Duration
}

// pace returns how often this instance calls, by the size of the fleet.
func (g *Gateway) pace() quota.Timing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return quota.NewTiming(g.live)
}

// mayOrder reports whether the instance may act as an owner of workers.
func (g *Gateway) mayOrder() bool {
	b := g.acknowledged.Load()
	return b != nil && g.now()-b.sent <= b.lease
}

// maySpend reports whether the instance may spend its part of the rates.
func (g *Gateway) maySpend() bool {
	b := g.acknowledged.Load()
	return b != nil && g.now()-b.sent <= b.spend
}

func (g *Gateway) waitBeat(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, beatRetry))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.wake:
	}
}

// wakeFleet sends the next heartbeat now.
func (g *Gateway) wakeFleet() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Gateway) nextBeat() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beats++
	return g.beats
}

// beat tells the fleet of this instance.
func (g *Gateway) beat(ctx context.Context) error {
	pace := g.pace()
	beat := &fleetlog.Heartbeat{
		Number: g.nextBeat(), Address: g.settings.PeerAddress, DataCentre: g.settings.DataCentre,
		Resigned: g.resigned.Load(), LeaseMS: pace.LeaseDuration.Milliseconds(), MemoryMB: g.settings.MemoryMB,
	}
	sent := g.now()
	g.mu.Lock()
	permits := ackedBeat{sent: sent, lease: pace.LeaseDuration, spend: pace.SpendDuration}
	g.unread[beat.Number] = permits
	beat.Usage = g.takeUses()
	beat.BrokenAttempts, g.broken = g.broken, nil
	g.mu.Unlock()
	data, err := fleetlog.Encode(fleetlog.Record{Instance: g.settings.Instance, Incarnation: g.incarnation, Heartbeat: beat})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if _, err := g.around.Fleet.Append(ctx, data, external.AnyOffset); err != nil {
		return err
	}
	g.acknowledge(permits)
	return nil
}

// acknowledge records that a heartbeat is in the stream.
func (g *Gateway) acknowledge(b ackedBeat) {
	if last := g.acknowledged.Load(); last == nil || last.sent < b.sent {
		g.acknowledged.Store(&b)
	}
}

// readBack records that this instance's heartbeat was read from the stream, also when the answer to its append was
// lost. The lock is held.
func (g *Gateway) readBack(number int64) {
	if b, ok := g.unread[number]; ok {
		g.acknowledge(b)
	}
	for n := range g.unread {
		if n <= number {
			delete(g.unread, n)
		}
	}
}

// takeUses returns the uses since the last heartbeat, the most frequent first.
func (g *Gateway) takeUses() []fleetlog.Usage {
	uses := make([]fleetlog.Usage, 0, len(g.uses))
	for k, u := range g.uses {
		uses = append(uses, fleetlog.Usage{Worker: k.worker, Adapter: k.adapter.String(), Count: u.count, InFlight: u.running})
		if u.running == 0 {
			delete(g.uses, k)
		} else {
			u.count = 0
		}
	}
	slices.SortFunc(uses, func(a, b fleetlog.Usage) int { return b.Count + b.InFlight - a.Count - a.InFlight })
	return uses[:min(len(uses), maxUses)]
}

// readFleet reads the stream to its end and applies it.
func (g *Gateway) readFleet(ctx context.Context, next int64) (int64, error) {
	for {
		b, err := g.around.Fleet.Read(ctx, next, 0)
		if errors.Is(err, external.ErrExpired) {
			next = b.Next
			continue
		}
		if err != nil {
			return next, err
		}
		g.applyFleet(b.Records)
		next = b.Next
		if !b.More || len(b.Records) == 0 {
			return next, nil
		}
	}
}

func (g *Gateway) applyFleet(records []external.Record) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		rec, err := fleetlog.Decode(r.Data)
		if err != nil {
			g.log.Warn().Err(err).Int64("offset", r.Offset).Msg("fleet record ignored")
			continue
		}
		beat := g.members.Apply(r.Offset, rec, now)
		if beat == nil {
			continue
		}
		if rec.Incarnation == g.incarnation {
			g.readBack(beat.Number)
			continue
		}
		g.applyUses(rec.Incarnation, beat.Usage, now)
		for _, b := range beat.BrokenAttempts {
			g.crashes.Add(b, now)
		}
	}
	g.dropLostOwners()
	live := map[string]bool{g.incarnation: true}
	for _, m := range g.members.Live(now, quota.ReassignDelay) {
		live[m.Incarnation] = true
	}
	for _, o := range g.owners {
		o.retainInstances(func(incarnation string) bool { return live[incarnation] })
	}
}

// applyUses records what another instance told of its requests. The lock is held.
func (g *Gateway) applyUses(incarnation string, uses []fleetlog.Usage, now time.Duration) {
	running := map[string]map[residency.Adapter]int{}
	for _, u := range uses {
		a := parseAdapter(u.Adapter)
		if u.Count > 0 {
			g.countUse(u.Worker, a, float64(u.Count), now)
		}
		if running[u.Worker] == nil {
			running[u.Worker] = map[residency.Adapter]int{}
		}
		running[u.Worker][a] = u.InFlight
	}
	for k, o := range g.owners {
		o.running(incarnation, running[k.ID], now)
	}
}

func parseAdapter(s string) residency.Adapter {
	model, name, _ := strings.Cut(s, "/")
	return residency.Adapter{Model: model, Name: name}
}

// countUse records requests for an adapter at a worker. The lock is held.
func (g *Gateway) countUse(worker string, a residency.Adapter, n float64, now time.Duration) {
	g.popularity.Add(a, n, now)
	w, ok := g.workers.Load().Get(worker)
	if !ok {
		return
	}
	if o := g.owners[w.Key()]; o != nil {
		o.used(a, n, now)
	}
}

// engineWorkers returns the workers of engine services, draining ones excluded.
func (g *Gateway) engineWorkers() map[string]*workers.Worker {
	t := g.table.Load()
	out := map[string]*workers.Worker{}
	if t == nil {
		return out
	}
	for _, w := range g.workers.Load().All() {
		if s, ok := t.Service(w.Service); ok && s.Engine != nil && !w.Draining {
			out[w.ID] = w
		}
	}
	return out
}

// claimFree claims the workers that fall to this instance and returns the position after the claims.
func (g *Gateway) claimFree(ctx context.Context, next int64) int64 {
	if !g.mayOrder() || g.resigned.Load() {
		return next
	}
	engines := g.engineWorkers()
	ids := make([]string, 0, len(engines))
	for id := range engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	g.mu.Lock()
	claim := &fleetlog.Claim{Workers: map[string]int64{}}
	for id, to := range g.members.Assignments(ids, g.now(), quota.TakeoverDelay) {
		if to == g.incarnation {
			claim.Workers[id] = g.members.Owner(id).Fence
		}
	}
	g.mu.Unlock()
	if len(claim.Workers) > 0 {
		var err error
		if next, err = g.claim(ctx, claim, next); err != nil {
			g.log.Info().Err(err).Int("workers", len(claim.Workers)).Msg("claim not made")
		}
	}
	g.startOwners(engines)
	return next
}

// claim appends a claim and reads what became of it.
func (g *Gateway) claim(ctx context.Context, c *fleetlog.Claim, next int64) (int64, error) {
	data, err := fleetlog.Encode(fleetlog.Record{Instance: g.settings.Instance, Incarnation: g.incarnation, Claim: c})
	if err != nil {
		return next, err
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if _, err := g.around.Fleet.Append(ctx, data, external.AnyOffset); err != nil {
		return next, err
	}
	return g.readFleet(ctx, next)
}

// startOwners starts giving orders to the workers that this instance owns.
func (g *Gateway) startOwners(engines map[string]*workers.Worker) {
	t := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, w := range engines {
		claim := g.members.Owner(id)
		if claim.Incarnation != g.incarnation || g.owners[w.Key()] != nil {
			continue
		}
		s, ok := t.Service(w.Service)
		if !ok || s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		g.owners[w.Key()] = g.newOwner(w, s.Engine, claim.Fence)
		g.log.Info().Str("worker", id).Int64("born", w.StartedMilli).Int64("fence", claim.Fence).Msg("worker owned")
	}
}

// dropLostOwners stops the orders to workers that this instance owns no more. The lock is held.
func (g *Gateway) dropLostOwners() {
	set := g.workers.Load()
	for k, o := range g.owners {
		w, ok := set.Get(k.ID)
		claim := g.members.Owner(k.ID)
		if ok && w.Key() == k && !w.Draining && claim.Incarnation == g.incarnation && claim.Fence == o.fence && !o.dead() {
			continue
		}
		o.stop()
		delete(g.owners, k)
		g.log.Info().Str("worker", k.ID).Int64("fence", o.fence).Bool("present", ok).Msg("worker given up")
	}
}

func (g *Gateway) ownersLocked() []*owner {
	out := make([]*owner, 0, len(g.owners))
	for _, o := range g.owners {
		out = append(out, o)
	}
	return out
}

// rebalance sets this instance's part of each workspace's rate and of the retry budgets.
func (g *Gateway) rebalance() {
	t := g.table.Load()
	if t == nil {
		return
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setBuckets(t, false, now)
	g.setRelays(now)
	for _, b := range g.budgets {
		b.SetSlack(g.retrySlack())
	}
}

// setBuckets brings the buckets in line with the table. The lock is held.
func (g *Gateway) setBuckets(t *routing.Table, first bool, now time.Duration) {
	members := g.rateMembers(now)
	for _, w := range t.Workspaces() {
		part := g.setHolders(w.Name, members)
		b := g.buckets[w.Name]
		if b == nil {
			// Only the very first buckets of the fleet, or those of a new workspace, start full.
			full := g.settings.FirstStart || !first
			b = quota.NewBucket(w.Rate*part, w.Burst, full, now)
			g.buckets[w.Name] = b
		}
		b.Set(w.Rate*part, w.Burst*part, now)
	}
}
