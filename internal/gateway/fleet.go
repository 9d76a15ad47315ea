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
	// heartbeatRetryDelay is the time after which a heartbeat that was not acknowledged is sent again.
	heartbeatRetryDelay = 250 * time.Millisecond
	// appendTimeout bounds one append to the fleet's stream. It is short since the next heartbeat must be sent before
	// the lease of the previous one ends; a heartbeat whose response is lost is found by the read that follows.
	appendTimeout = 600 * time.Millisecond
	// startJitter is the range of the random delay before the first heartbeat of instances that start together.
	startJitter = 100 * time.Millisecond
	// missingWorkerDelay is how long after a worker has vanished from the registry its owner still restates the claim. The
	// registry may lack workers for some seconds after an outage.
	missingWorkerDelay = 30 * time.Second
	// shortHistory is the number of records that are read as fast as an offset to start at is found.
	shortHistory = 256
	// historyTail is how many records before its own first one an instance that starts reads to find where to begin. If all
	// are of instances that start as well, it reads historyTailGrowth times as many, up to maxHistoryTail.
	historyTail, historyTailGrowth, maxHistoryTail = 32, 4, 2048
	// maxUsageEntries bounds the usage entries in one heartbeat; the most used adapters come first.
	maxUsageEntries = 300
)

// followFleet sends heartbeats, reads those of the other instances, and claims workers without a live owner.
func (g *Gateway) followFleet(ctx context.Context) error {
	d := dependency{name: "fleet"}
	// Instances that start together would otherwise call the log service at the same moments. The delay before the
	// first heartbeat is short, since nothing is served before it; a larger random offset is applied to the second.
	sleep(ctx, time.Duration(rand.Int64N(int64(startJitter))))
	offset := time.Duration(rand.Int64N(int64(g.timing().HeartbeatInterval)))
	for ctx.Err() == nil {
		start := time.Now()
		sent, sendErr := g.sendHeartbeat(ctx)
		readErr := g.readAfter(ctx, sent)
		g.logDependency(&d, errors.Join(sendErr, readErr))
		if readErr == nil && !g.fleetRead.Swap(true) {
			g.log.Info().Int64("end", g.fleetEnd()).Int("live", g.liveMemberCount()).Int64("ms", time.Since(start).Milliseconds()).Msg("fleet known")
			g.applyLatestHeartbeats()
			g.fleetKnown.set()
		}
		g.releaseWithoutLease()
		// Rates and relays are updated before claims: after a restart of many instances the log service is busy
		// with their claims.
		g.rebalance()
		if readErr == nil {
			g.claimAssigned(ctx)
		}
		pause := g.timing().HeartbeatInterval - time.Since(start) - offset
		offset = 0
		if sendErr != nil {
			pause = heartbeatRetryDelay
		}
		g.waitForHeartbeat(ctx, pause)
	}
	return ctx.Err()
}

// releaseWithoutLease gives up this instance's workers if it could send no orders for longer than others wait for a silent
// owner. Its heartbeats may reach the stream although it gets no answers; while they restate its workers, no other instance claims
// them.
func (g *Gateway) releaseWithoutLease() {
	if g.unchallenged(g.now()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.members.HeldWorkers()
	for worker := range held {
		g.members.Release(worker)
	}
	if len(held) > 0 {
		g.log.Warn().Int("workers", len(held)).Msg("workers given up, since no heartbeat was acknowledged in time")
		g.dropLostOwners()
	}
}

// fleetEnd returns the offset up to which the fleet's stream was read.
func (g *Gateway) fleetEnd() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Next()
}

// liveMemberCount returns the number of instances whose last heartbeat is recent enough to hold shares of the rates.
func (g *Gateway) liveMemberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members.Live(g.now(), quota.ReassignDelay))
}

// sentHeartbeat is when a heartbeat was sent, and for how long after that it permits sending orders (lease) and
// spending shares of the rates (spend).
type sentHeartbeat struct {
	sent, lease, spend time.Duration
}

// timing returns the intervals and leases of heartbeats for the current size of the fleet.
func (g *Gateway) timing() quota.Timing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return quota.NewTiming(g.fleetSize)
}

// maySendOrders reports whether the last heartbeat that was acknowledged before the fleet's stream was read to its end
// still permits orders to owned workers. After a lease has ended, the read shows the claims of others before the next
// order.
func (g *Gateway) maySendOrders() bool {
	h := g.orderLease.Load()
	return h != nil && g.now()-h.sent <= h.lease
}

// unchallenged reports whether no other instance could have claimed this instance's workers until the given time.
func (g *Gateway) unchallenged(until time.Duration) bool {
	h := g.orderLease.Load()
	return h != nil && until-h.sent < quota.TakeoverDelay(h.lease)
}

// maySpend reports whether the last acknowledged heartbeat still permits spending the instance's shares of the rates.
func (g *Gateway) maySpend() bool {
	h := g.acknowledged.Load()
	return h != nil && g.now()-h.sent <= h.spend
}

// waitForHeartbeat waits until the next heartbeat is due or requested.
func (g *Gateway) waitForHeartbeat(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, heartbeatRetryDelay))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.wake:
	}
}

// requestHeartbeat makes followFleet send the next heartbeat without waiting for the interval.
func (g *Gateway) requestHeartbeat() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// nextHeartbeatNumber returns the number of the next heartbeat.
func (g *Gateway) nextHeartbeatNumber() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastHeartbeatNumber++
	return g.lastHeartbeatNumber
}

// sendHeartbeat appends a heartbeat of this instance to the fleet's stream.
func (g *Gateway) sendHeartbeat(ctx context.Context) (fleetAppend, error) {
	timing := g.timing()
	heartbeat := &fleetlog.Heartbeat{
		Number: g.nextHeartbeatNumber(), New: g.acknowledged.Load() == nil, Address: g.settings.PeerAddress, DataCentre: g.settings.DataCentre,
		Resigned: g.resigned.Load(), LeaseMS: timing.LeaseDuration.Milliseconds(), MemoryMB: g.settings.MemoryMB,
	}
	sent := g.now()
	started, unchallenged := g.orderLease.Load() != nil, g.unchallenged(sent)
	pending := sentHeartbeat{sent: sent, lease: timing.LeaseDuration, spend: timing.SpendDuration}
	g.locked(func() {
		g.unconfirmed[heartbeat.Number] = pending
		if !heartbeat.Resigned {
			heartbeat.Owned = g.members.HeldWorkers()
		}
		// An instance that gets no answers cannot claim what is assigned to it.
		heartbeat.Paused = g.members.Paused(sent) || started && !unchallenged
		if heartbeat.Era = g.members.Era(); heartbeat.Era > 0 {
			heartbeat.EraAgeMS = g.members.EraAge(sent).Milliseconds()
		}
		heartbeat.StartAt = g.members.StartAt(sent)
		heartbeat.Usage = g.takeUsage()
		heartbeat.BrokenAttempts = g.takeBrokenAttempts()
		heartbeat.CrashRefusals = g.crashRefusalRecords()
		heartbeat.WorkerLimits = g.workerLimitRecords()
	})
	data, err := fleetlog.Encode(fleetlog.Record{Instance: g.settings.Instance, Incarnation: g.incarnation, Heartbeat: heartbeat})
	if err != nil {
		return fleetAppend{}, err
	}
	appended, err := g.appendFleet(ctx, data, false)
	if err != nil {
		return fleetAppend{}, err
	}
	g.acknowledge(pending)
	if !g.fleetRead.Load() {
		g.skipHistory(ctx, appended.position)
	}
	return appended, nil
}

// skipHistory lets the first read of the fleet's stream begin at an offset from which on the stream has all that matters,
// if one of the records before this instance's own one names such an offset. The whole history takes an instance with a
// small link seconds to read. If it fails, the stream is read from its first record.
func (g *Gateway) skipHistory(ctx context.Context, own external.Position) {
	if g.fleetEnd() > 0 || own.Offset <= shortHistory {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for n := int64(historyTail); ; n *= historyTailGrowth {
		from := max(0, own.Offset-n)
		start, err := g.findStart(ctx, from, own)
		if err != nil {
			g.log.Info().Err(err).Int64("from", from).Msg("end of the fleet's stream not read before its history")
			return
		}
		if start > 0 {
			g.mu.Lock()
			g.members.Start(own.Era, start, g.now())
			g.mu.Unlock()
			g.log.Info().Int64("from", start).Int64("end", own.Offset).Msg("history of the fleet's stream skipped")
			return
		}
		if from == 0 || n >= maxHistoryTail {
			return
		}
	}
}

// findStart returns the offset at which the records between two offsets permit to begin, 0 if none of them does.
func (g *Gateway) findStart(ctx context.Context, from int64, end external.Position) (int64, error) {
	for start := int64(0); ; {
		b, err := g.platform.Fleet.Read(ctx, from, 0)
		if err != nil {
			return 0, err
		}
		if b.Era != end.Era {
			return 0, external.ErrRestored
		}
		for _, r := range b.Records {
			if rec, err := fleetlog.Decode(r.Data); err == nil {
				start = max(start, fleetlog.StartOffset(b.Era, r.Offset, rec))
			}
		}
		if start > 0 || b.Next >= end.Offset || b.Next == from {
			return start, nil
		}
		from = b.Next
	}
}

// acknowledge records that the stream contains a heartbeat.
func (g *Gateway) acknowledge(h sentHeartbeat) {
	if last := g.acknowledged.Load(); last == nil || last.sent < h.sent {
		g.acknowledged.Store(&h)
	}
}

// confirmHeartbeat records that one of this instance's own heartbeats was read from the stream. It covers appends
// whose response was lost. The lock is held.
func (g *Gateway) confirmHeartbeat(number int64) {
	if h, ok := g.unconfirmed[number]; ok {
		g.acknowledge(h)
	}
	for n := range g.unconfirmed {
		if n <= number {
			delete(g.unconfirmed, n)
		}
	}
}

// takeUsage returns and resets the usage since the last heartbeat, the most used adapters first. The lock is held.
func (g *Gateway) takeUsage() []fleetlog.Usage {
	entries := make([]fleetlog.Usage, 0, len(g.usage))
	for k, u := range g.usage {
		entries = append(entries, fleetlog.Usage{Worker: k.worker, Adapter: k.adapter.String(), Count: u.count, InFlight: u.inFlight})
		if u.inFlight == 0 {
			delete(g.usage, k)
		} else {
			u.count = 0
		}
	}
	slices.SortFunc(entries, func(a, b fleetlog.Usage) int { return b.Count + b.InFlight - a.Count - a.InFlight })
	return entries[:min(len(entries), maxUsageEntries)]
}

// readAfter applies what was read of the fleet's stream after an append, or else reads the stream to its end.
func (g *Gateway) readAfter(ctx context.Context, a fleetAppend) error {
	if a.batch == nil || a.from != g.fleetEnd() || a.batch.Era != g.latestEra.Load().era || !g.observeFleetEra(a.batch.Era, g.latestEra.Load().seen) {
		return g.readFleet(ctx)
	}
	g.applyFleet(a.batch.Records, a.batch.Next, true)
	g.renewTenure()
	return nil
}

// readFleet reads the fleet's stream to its end and applies the records.
func (g *Gateway) readFleet(ctx context.Context) error {
	for {
		from := g.fleetEnd()
		sent := g.now()
		b, err := g.platform.Fleet.Read(ctx, from, 0)
		expired := errors.Is(err, external.ErrExpired)
		if err != nil && !expired {
			return err
		}
		g.observeEra("fleet", b.Era)
		latest := g.latestEra.Load()
		if b.Era < latest.era {
			return external.ErrRestored
		}
		if !g.observeFleetEra(b.Era, latest.seen) {
			continue
		}
		if expired {
			if b.Next == from {
				return err
			}
			g.skipFleet(from, b.Next)
			continue
		}
		g.fleetTopic().add(from, b, sent)
		end := !b.More()
		g.applyFleet(b.Records, b.Next, end)
		if end {
			g.renewTenure()
			return nil
		}
	}
}

// observeFleetEra reports whether the result of a read of the fleet's stream in an era that was first seen at the time
// seen is to be applied. With a new era, the stream is to be read again.
func (g *Gateway) observeFleetEra(era int64, seen time.Duration) bool {
	unchallenged := g.unchallenged(seen)
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.members.Era()
	if g.members.Observe(era, seen, unchallenged) {
		return true
	}
	g.log.Warn().Int64("era", era).Int64("before", before).Bool("unchallenged", unchallenged).Int("owned", len(g.members.HeldWorkers())).
		Msg("fleet's stream read again after a restore")
	return false
}

// skipFleet continues to read the fleet's stream after records that are no longer kept.
func (g *Gateway) skipFleet(from, first int64) {
	now := g.now()
	unchallenged := g.unchallenged(now)
	g.log.Warn().Int64("from", from).Int64("first", first).Bool("unchallenged", unchallenged).Msg("records of the fleet have expired")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Skip(first, now, unchallenged)
	g.tenure.Break()
}

// applyFleet applies records of the fleet's stream, which end at the offset next. End is set if it is the stream's end.
func (g *Gateway) applyFleet(records []external.Record, next int64, end bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.members.Advance(next, end, now)
	for _, r := range records {
		rec, err := fleetlog.Decode(r.Data)
		if err != nil {
			g.log.Warn().Err(err).Int64("offset", r.Offset).Msg("fleet record ignored")
			continue
		}
		heartbeat := g.members.Apply(r.Offset, rec, now)
		if heartbeat == nil {
			continue
		}
		if rec.Incarnation == g.incarnation {
			g.confirmHeartbeat(heartbeat.Number)
			continue
		}
		g.applyUsage(rec.Incarnation, heartbeat.Usage, now)
		if g.fleetRead.Load() {
			g.applyCrashRecords(rec.Instance, heartbeat)
			g.learnLimits(heartbeat)
		}
	}
	g.decideCrashes()
	g.dropLostOwners()
	live := map[string]bool{g.incarnation: true}
	for _, m := range g.members.Live(now, quota.ReassignDelay) {
		live[m.Incarnation] = true
	}
	for _, o := range g.owners {
		o.retainInstances(func(incarnation string) bool { return live[incarnation] })
	}
}

// applyLatestHeartbeats applies to a started instance what the members' latest heartbeats say of crashes and limits. Earlier
// heartbeats are out of date, and broken attempts are left out: this instance has not seen the answers that cleared them.
func (g *Gateway) applyLatestHeartbeats() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members.Live(g.now(), quota.TakeoverDelay) {
		if m.Incarnation != g.incarnation {
			g.adoptCrashRefusals(m.Instance, &m.Heartbeat)
			g.learnLimits(&m.Heartbeat)
		}
	}
}

// applyUsage records the usage that another instance reported. The lock is held.
func (g *Gateway) applyUsage(incarnation string, entries []fleetlog.Usage, now time.Duration) {
	running := map[string]map[residency.Adapter]int{}
	for _, u := range entries {
		a := parseAdapter(u.Adapter)
		if u.Count > 0 {
			g.recordUse(u.Worker, a, float64(u.Count), now)
		}
		if running[u.Worker] == nil {
			running[u.Worker] = map[residency.Adapter]int{}
		}
		running[u.Worker][a] = u.InFlight
	}
	for k, o := range g.owners {
		o.setRunning(incarnation, running[k.ID], now)
	}
}

// parseAdapter parses MODEL/NAME.
func parseAdapter(s string) residency.Adapter {
	model, name, _ := strings.Cut(s, "/")
	return residency.Adapter{Model: model, Name: name}
}

// recordUse records requests for an adapter at a worker. The lock is held.
func (g *Gateway) recordUse(worker string, a residency.Adapter, n float64, now time.Duration) {
	g.popularity.Add(a, n, now)
	w, ok := g.workers.Load().Get(worker)
	if !ok {
		return
	}
	if o := g.owners[w.Key()]; o != nil {
		o.recordUse(a, n, now)
	}
}

// engineWorkers returns the workers of engine services by id, without draining and leaving ones.
func (g *Gateway) engineWorkers() map[string]*workers.Worker {
	t := g.table.Load()
	out := map[string]*workers.Worker{}
	if t == nil {
		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.workers.Load().All() {
		if s, ok := t.Service(w.Service); ok && s.Engine != nil && !w.Draining && !g.leaving(w) {
			out[w.ID] = w
		}
	}
	return out
}

// claimAssigned claims the workers without a live owner that are assigned to this instance, and starts the owners of the
// workers for which it may act.
func (g *Gateway) claimAssigned(ctx context.Context) {
	if !g.maySendOrders() || g.resigned.Load() {
		return
	}
	engines := g.engineWorkers()
	ids := make([]string, 0, len(engines))
	for id := range engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var claim *fleetlog.Claim
	g.locked(func() { claim = g.members.Claim(ids, g.now(), quota.TakeoverDelay) })
	// In a later era than the one in which the stream was read, a claim has no use.
	if claim != nil && claim.Era == g.latestEra.Load().era {
		if err := g.claim(ctx, claim); err != nil {
			g.log.Info().Err(err).Int("workers", len(claim.Workers)).Msg("claim of workers failed")
		}
	}
	g.startOwners(engines)
}

// claim appends a claim and reads the stream up to its outcome.
func (g *Gateway) claim(ctx context.Context, c *fleetlog.Claim) error {
	data, err := fleetlog.Encode(fleetlog.Record{Instance: g.settings.Instance, Incarnation: g.incarnation, Claim: c})
	if err != nil {
		return err
	}
	appended, err := g.appendFleet(ctx, data, true)
	if err != nil {
		return err
	}
	return g.readAfter(ctx, appended)
}

// startOwners starts an owner for each worker for which this instance may act.
func (g *Gateway) startOwners(engines map[string]*workers.Worker) {
	t := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, w := range engines {
		fence, held := g.members.Held(id)
		if !held || g.owners[w.Key()] != nil {
			continue
		}
		s, ok := t.Service(w.Service)
		if !ok || s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		o := g.newOwner(w, s.Engine, fence)
		o.setPaused(g.evacuated(w))
		g.owners[w.Key()] = o
		g.log.Info().Str("worker", id).Int64("born", w.StartedMilli).Int64("fence", fence).Msg("worker owned")
	}
}

// dropLostOwners stops the owners of workers that this instance no longer owns. The lock is held.
func (g *Gateway) dropLostOwners() {
	set := g.workers.Load()
	for k, o := range g.owners {
		w, ok := set.Get(k.ID)
		fence, held := g.members.Held(k.ID)
		if ok && w.Key() == k && !w.Draining && held && fence == o.fence && !o.isStopped() {
			continue
		}
		o.stop()
		delete(g.owners, k)
		g.log.Info().Str("worker", k.ID).Int64("fence", o.fence).Bool("present", ok).Msg("worker given up")
	}
}

// releaseMissing gives up the claims of workers that have been missing from the registry for missingWorkerDelay. The lock
// is held.
func (g *Gateway) releaseMissing(now time.Duration) {
	set := g.workers.Load()
	missing := map[string]time.Duration{}
	for id := range g.members.HeldWorkers() {
		if _, ok := set.Get(id); ok {
			continue
		}
		since, known := g.missingSince[id]
		if !known {
			since = now
		}
		if now-since >= missingWorkerDelay {
			g.members.Release(id)
			continue
		}
		missing[id] = since
	}
	g.missingSince = missing
}

// fenceRefused records that a worker refused an order of this instance since it had seen a higher fence.
func (g *Gateway) fenceRefused(worker string, fence int64) {
	g.log.Warn().Str("worker", worker).Int64("fence", fence).Msg("fence refused by worker")
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Refused(worker, fence, now)
}

// listOwners returns the owners of this instance's workers. The lock is held.
func (g *Gateway) listOwners() []*owner {
	out := make([]*owner, 0, len(g.owners))
	for _, o := range g.owners {
		out = append(out, o)
	}
	return out
}

// rebalance recomputes this instance's shares of the workspaces' rates and of the retry budgets, and the relays.
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

// setBuckets sets the rates and bursts of the buckets from the configuration and this instance's shares. firstConfig is
// set for the first configuration since the instance started. The lock is held.
func (g *Gateway) setBuckets(t *routing.Table, firstConfig bool, now time.Duration) {
	members := g.rateMembers(now)
	for _, w := range t.Workspaces() {
		share := g.setHolders(w.Name, members)
		b := g.buckets[w.Name]
		if b == nil {
			// Buckets start full only at the first start of the fleet or for a new workspace.
			full := g.settings.FirstStart || !firstConfig
			b = quota.NewBucket(w.Rate*share, w.Burst, full, now)
			g.buckets[w.Name] = b
		}
		b.Set(w.Rate*share, w.Burst*share, now)
	}
}
