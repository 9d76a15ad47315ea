package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/freshness"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

const (
	// configWait is the longest time for which a read of the configuration waits for a change. It is short enough for withdrawn keys to
	// be known within seconds; shorter waits would cost more, since every read is billed.
	configWait = time.Second
	// maxConfigAge is the maximum age of the configuration while the log service responds. It covers two waits:
	// the last successful read was sent before it waited, and the next one is still waiting.
	maxConfigAge = 2*configWait + 700*time.Millisecond
	// readRetryDelay is the time before a failed read is retried.
	readRetryDelay = 100 * time.Millisecond
	// outageThreshold is the time without a successful read of the registry after which a missing entry may have
	// expired only because its worker could not renew it.
	outageThreshold = 2 * time.Second
)

// configRule returns the rule on the age of the configuration.
func (g *Gateway) configRule() freshness.Rule {
	return freshness.Rule{Apply: g.settings.Bounds.configApply(), Usual: maxConfigAge}
}

// change says how the value of a feed was read.
type change struct {
	snapshot bool
	// era is the era of the log service in which the value was read, and next the offset after its records.
	era, next int64
	// confirmed is the time as of which the feed is known with this value, 0 if there is none.
	confirmed time.Duration
	// behind is true if the feed has records that are still to be read.
	behind bool
	// afterFailure is true if a read failed since the previous value.
	afterFailure bool
	// undecodable is true if the newest record that replaces all earlier ones could not be decoded.
	undecodable bool
	// sent is when the read was sent to the log service, and relayed is true if a relay answered it.
	sent    time.Duration
	relayed bool
}

// origin says where an update came from, for the log.
type origin struct {
	source string
	// sent is when its read was sent to the log service.
	sent time.Duration
}

// origin returns the origin of a value that was read with c.
func (c change) origin() origin {
	switch {
	case c.snapshot:
		return origin{"snapshot", c.sent}
	case c.relayed:
		return origin{"relay", c.sent}
	default:
		return origin{"log", c.sent}
	}
}

// dependency is the state of a feed, for the log messages when it is lost and regained.
type dependency struct {
	name string
	lost bool
}

// logDependency logs when the outcome of a read shows that a feed was lost or regained.
func (g *Gateway) logDependency(d *dependency, err error) {
	switch {
	case err != nil && !d.lost:
		g.log.Warn().Err(err).Str("dependency", d.name).Msg("dependency lost")
	case err == nil && d.lost:
		g.log.Info().Str("dependency", d.name).Msg("dependency regained")
	}
	d.lost = err != nil
}

// feed is a topic of the log service that is loaded once as a snapshot and then read incrementally.
type feed[T any] struct {
	name, topic string
	load        func(ctx context.Context) (T, external.Position, error)
	decode      func(records []external.Record) T
	// content says whether a value could be decoded, for the freshness of the feed. It is nil if records that cannot be decoded do not
	// matter, since each concerns one key only.
	content func(v T) freshness.Content
	// apply receives the value and how it was read.
	apply func(v T, c change)
	// failed, if set, is called after each read that failed.
	failed func()
	// wait is how long a read of the log service waits for a change, and pause the time between two reads.
	wait, pause time.Duration
}

// follow reads a feed until ctx ends, and loads a new snapshot when the records after its position have expired, or when
// the log service was restored, so that the position names another record.
func follow[T any](ctx context.Context, g *Gateway, f feed[T]) error {
	d, status := dependency{name: f.name}, feedStatus{name: f.name}
	r := &topicReader{g: g, topic: f.topic, interval: f.wait + f.pause}
	var at external.Position
	var known freshness.Tracker
	loaded, failed, wait := false, false, f.wait
	for ctx.Err() == nil {
		snapshot := !loaded
		v, got, err := f.read(ctx, r, at, snapshot, wait)
		if !snapshot && (errors.Is(err, external.ErrExpired) || errors.Is(err, external.ErrRestored)) {
			g.log.Info().Err(err).Str("feed", f.name).Int64("era", at.Era).Int64("offset", at.Offset).Msg("feed loaded again")
			loaded = false
			continue
		}
		g.logDependency(&d, err)
		if err != nil {
			failed = true
			if f.failed != nil {
				f.failed()
			}
			sleep(ctx, readRetryDelay)
			// The local state is already stale: read without waiting for a change.
			wait = 0
			continue
		}
		at, loaded, wait = got.next, true, f.wait
		known.Observe(freshness.Read{Era: at.Era, Next: at.Offset, End: got.end, Sent: got.sent, Content: f.contentOf(v, snapshot)})
		g.reportFeed(&status, &known)
		lag, _ := known.Behind()
		f.apply(v, change{
			snapshot: snapshot, era: at.Era, next: at.Offset, confirmed: known.Confirmed(), behind: lag > 0, afterFailure: failed,
			undecodable: known.Undecodable(), sent: got.sent, relayed: got.relayed,
		})
		failed = false
		if !got.relayed && lag == 0 {
			sleep(ctx, f.pause)
		}
	}
	return ctx.Err()
}

// contentOf returns the content of a value that was read. A snapshot replaces all that was read before.
func (f *feed[T]) contentOf(v T, snapshot bool) freshness.Content {
	content := freshness.Unchanged
	if f.content != nil {
		content = f.content(v)
	}
	if snapshot && content == freshness.Unchanged {
		return freshness.Decoded
	}
	return content
}

// read loads a snapshot, or reads the changes from a position on.
func (f *feed[T]) read(ctx context.Context, r *topicReader, at external.Position, snapshot bool, wait time.Duration) (v T, got reading, err error) {
	if snapshot {
		got.sent = r.g.now()
		var end external.Position
		if v, end, err = f.load(ctx); err != nil {
			return v, got, err
		}
		r.g.observeEra(f.name, end.Era)
		if err = r.g.checkEra(f.topic, end.Era, end.Era); err != nil {
			return v, got, err
		}
		// The snapshot may take several reads. It has all that was in the topic when the first one was sent.
		got.next, got.end = end, end.Offset
		return v, got, nil
	}
	if err = r.g.checkEra(f.topic, at.Era, at.Era); err != nil {
		return v, got, err
	}
	if got, err = r.read(ctx, at, wait); err != nil {
		return v, got, err
	}
	return f.decode(got.records), got, nil
}

// followConfig keeps the configuration up to date. The version never decreases.
func (g *Gateway) followConfig(ctx context.Context) error {
	return follow(ctx, g, feed[external.Update]{
		name: "config", topic: g.platform.Config.Topic(), wait: g.configRule().ReadWait(configWait, external.CallTimeout),
		failed: func() { g.configUnavailable.Store(true) },
		load:   g.platform.Config.Load, decode: g.platform.Config.Decode,
		content: func(u external.Update) freshness.Content {
			switch {
			case u.ConfigUnreadable:
				return freshness.Undecodable
			case u.Config != nil:
				return freshness.Decoded
			default:
				return freshness.Unchanged
			}
		},
		apply: func(u external.Update, c change) {
			// Evacuations apply first: a request that is sent from now on must not miss what was read.
			g.applyEvacuations(u.Evacuations, c)
			g.applyUpdate(u, c.origin())
			g.configConfirmed.Store(int64(c.confirmed))
			g.configUnavailable.Store(c.undecodable)
			g.configLoaded.set()
		},
	})
}

// applyUpdate puts a configuration into force if it is newer, and applies new adapter versions. It is safe for
// concurrent use. The log says how long ago the configuration was read, how long it took to put it into force, and the age of the
// one before.
func (g *Gateway) applyUpdate(u external.Update, from origin) {
	now, before := g.now(), time.Duration(g.configConfirmed.Load())
	g.logUnreadable("config", u.Unreadable)
	if u.Config != nil && g.applyConfig(u.Config, now) {
		g.log.Info().Int64("config", u.Config.Version).Int("routes", len(u.Config.Routes)).Int("workspaces", len(u.Config.Workspaces)).
			Str("source", from.source).Int64("read_ms", (now-from.sent).Milliseconds()).Int64("apply_ms", (g.now()-now).Milliseconds()).
			Int64("age_ms", (now - before).Milliseconds()).Msg("configuration in force")
		g.checkConfig(u.Config)
	}
	for _, v := range u.Versions {
		g.applyVersion(v, now)
	}
}

// applyConfig puts a configuration into force and reports whether it is newer.
func (g *Gateway) applyConfig(c *routing.Config, now time.Duration) bool {
	if old := g.table.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	t := routing.Compile(*c)
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	if old != nil && c.Version <= old.Version {
		return false
	}
	// What other instances have in force at the start is not new to the fleet.
	g.setBuckets(t, old == nil || !g.peersAsked.Load(), now)
	g.config = c
	g.table.Store(t)
	g.applyColdRates(now)
	for _, m := range g.mixes {
		m.Retain(func(route string) bool {
			return slices.ContainsFunc(c.Routes, func(r routing.Route) bool { return r.Name == route })
		})
	}
	return true
}

// applyVersion records a new adapter version and lets the workers that this instance owns load it.
func (g *Gateway) applyVersion(v routing.AdapterVersion, now time.Duration) {
	a := residency.Adapter{Model: v.Model, Name: v.Adapter}
	g.mu.Lock()
	old := g.versions[a]
	if v.Version > old.version {
		g.versions[a] = requiredVersion{version: v.Version, learned: now}
	}
	owners := g.listOwners()
	g.mu.Unlock()
	if v.Version <= old.version {
		return
	}
	g.log.Info().Str("adapter", a.String()).Int64("version", v.Version).Int64("before", old.version).Msg("adapter version in force")
	for _, o := range owners {
		o.loadNewVersion(a, v.Version)
	}
	g.start("end of old adapter versions", func(ctx context.Context) {
		if sleep(ctx, g.settings.Bounds.oldVersionBegin()) {
			g.revokeOldVersions(a, v.Version)
		}
	})
}

// followWorkers keeps the set of workers up to date with the registry.
func (g *Gateway) followWorkers(ctx context.Context) error {
	lastRead := g.now()
	var recovered time.Time
	return follow(ctx, g, feed[[]workers.Entry]{
		name: "workers", topic: g.platform.Workers.Topic(),
		load: g.platform.Workers.Load, decode: g.platform.Workers.Decode,
		apply: func(entries []workers.Entry, c change) {
			now := g.now()
			// Losing a relay also causes a gap between reads, but does not make entries expire.
			if c.afterFailure && now-lastRead > outageThreshold {
				recovered = time.Now()
			}
			if again := c.snapshot && g.registryConfirmed.Load() != 0; again || c.afterFailure && now-lastRead > outageThreshold {
				g.streams.reloadBases()
			}
			lastRead = now
			g.registryConfirmed.Store(int64(c.confirmed))
			recovered = g.applyEntries(entries, c, recovered)
		},
		pause: g.settings.Bounds.registryReadInterval(),
	})
}

// applyEntries applies entries of the registry. The time recovered is when the log service last responded again after
// an outage, zero if there was none. It returns the time of the latest outage or restore.
func (g *Gateway) applyEntries(entries []workers.Entry, c change, recovered time.Time) time.Time {
	wall, now := time.Now(), g.now()
	g.logUnreadable("workers", unreadableEntries(entries))
	var set *workers.Set
	var next time.Time
	var ignored []workers.Key
	changed, pending := false, false
	g.locked(func() {
		if g.restored.After(recovered) {
			recovered = g.restored
		}
		recovered = g.workerRegistry.Recovered(recovered, wall, c.behind)
		g.workerRegistry.StartEra(c.era)
		if c.snapshot {
			g.workerRegistry.Replace(entries, recovered, wall)
			changed = true
		}
		for _, e := range entries {
			if !c.snapshot && g.workerRegistry.Apply(e, recovered, wall) {
				changed = true
				g.logEntry(e)
			}
			if e.Worker != nil && !g.residency.ApplyEntry(e.Worker, now) {
				g.log.Info().Str("worker", e.ID).Int64("seq", e.Worker.Seq).Int64("era", c.era).Msg("older list of adapters ignored")
			}
		}
		set, changed = g.publishWorkers(changed, wall)
		g.reportColdEntries(entries, set, c.snapshot, now)
		next, pending = g.workerRegistry.NextExpiry()
		ignored = g.workerRegistry.TakeIgnored()
	})
	for _, k := range ignored {
		g.log.Info().Str("worker", k.ID).Int64("born", k.StartedMilli).Int64("era", c.era).Bool("snapshot", c.snapshot).Msg("restored entry ignored")
	}
	if pending {
		// Expiry must not depend on the next read of the registry, which may be late or fail.
		time.AfterFunc(next.Sub(wall), func() { g.guard("expiry of workers", g.expireWorkers) })
	}
	if c.snapshot {
		g.reportUnknownDataCentres()
	}
	if changed {
		g.log.Info().Int("workers", len(set.All())).Bool("after_outage", !recovered.IsZero()).Msg("workers changed")
	}
	return recovered
}

// publishWorkers makes the current workers of the registry available for requests, and reports whether they changed.
// The lock is held.
func (g *Gateway) publishWorkers(changed bool, wall time.Time) (*workers.Set, bool) {
	changed = g.workerRegistry.Expire(wall) || changed
	set := g.workerRegistry.Snapshot()
	if changed {
		g.setEjectors(set)
	}
	g.streams.observe(set)
	g.workers.Store(set)
	if changed {
		g.dropLostOwners()
	}
	return set, changed
}

// expireWorkers removes the workers whose entries were not written again after an outage.
func (g *Gateway) expireWorkers() {
	var set *workers.Set
	changed := false
	g.locked(func() { set, changed = g.publishWorkers(false, time.Now()) })
	if changed {
		g.log.Info().Int("workers", len(set.All())).Msg("entries that did not come back are dropped")
	}
}

func (g *Gateway) logEntry(e workers.Entry) {
	l := g.log.Info().Str("worker", e.ID)
	if e.Worker != nil {
		l = l.Str("service", e.Worker.Service).Str("address", e.Worker.Address).Str("software", e.Worker.Software).Bool("draining", e.Worker.Draining).Int64("born", e.Worker.StartedMilli)
	}
	l.Bool("present", e.Worker != nil).Msg("worker entry")
}
