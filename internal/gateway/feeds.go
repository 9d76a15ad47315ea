package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

const (
	// configWait is how long a read of the configuration waits for a change. It is short enough for withdrawn keys to
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
	// apply receives the value, whether it is a snapshot, when the read was sent, and whether a read failed since the
	// previous call.
	apply func(v T, snapshot bool, sent time.Duration, afterFailure bool)
	// wait is how long a read of the log service waits for a change, and pause the time between two reads.
	wait, pause time.Duration
}

// follow reads a feed until ctx ends, and loads a new snapshot when the records after its position have expired.
func follow[T any](ctx context.Context, g *Gateway, f feed[T]) error {
	d := dependency{name: f.name}
	r := &topicReader{g: g, topic: f.topic, interval: f.wait + f.pause}
	next, loaded, failed, wait := int64(0), false, false, f.wait
	for ctx.Err() == nil {
		sent, relayed := g.now(), false
		var v T
		var err error
		snapshot := !loaded
		if loaded {
			var records []external.Record
			records, next, sent, relayed, err = r.read(ctx, next, wait)
			if err == nil {
				v = f.decode(records)
			}
		} else {
			var end external.Position
			v, end, err = f.load(ctx)
			next = end.Offset
			g.observeEra(f.name, end.Era)
		}
		if errors.Is(err, external.ErrExpired) {
			loaded = false
			continue
		}
		g.logDependency(&d, err)
		if err != nil {
			failed = true
			sleep(ctx, readRetryDelay)
			// The local state is already stale: read without waiting for a change.
			wait = 0
			continue
		}
		loaded, wait = true, f.wait
		f.apply(v, snapshot, sent, failed)
		failed = false
		if !relayed {
			sleep(ctx, f.pause)
		}
	}
	return ctx.Err()
}

// followConfig keeps the configuration up to date. The version never decreases.
func (g *Gateway) followConfig(ctx context.Context) error {
	return follow(ctx, g, feed[external.Update]{
		name: "config", topic: g.platform.Config.Topic(), wait: configWait,
		load: g.platform.Config.Load, decode: g.platform.Config.Decode,
		apply: func(u external.Update, _ bool, sent time.Duration, _ bool) {
			g.applyUpdate(u)
			g.configRead.Store(int64(sent))
		},
	})
}

// applyUpdate puts a configuration into force if it is newer, and applies new adapter versions.
func (g *Gateway) applyUpdate(u external.Update) {
	now := g.now()
	g.logUnreadable("config", u.Unreadable)
	if u.Config != nil {
		old := g.table.Load()
		if old == nil || u.Config.Version > old.Version {
			t := routing.Compile(*u.Config)
			g.mu.Lock()
			g.setBuckets(t, old == nil, now)
			g.mu.Unlock()
			g.table.Store(t)
			g.log.Info().Int64("config", t.Version).Int("routes", len(u.Config.Routes)).Int("workspaces", len(u.Config.Workspaces)).Msg("configuration in force")
		}
	}
	for _, v := range u.Versions {
		g.applyVersion(v, now)
	}
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
}

// followWorkers keeps the set of workers up to date with the registry.
func (g *Gateway) followWorkers(ctx context.Context) error {
	lastRead := g.now()
	var recovered time.Time
	return follow(ctx, g, feed[[]workers.Entry]{
		name: "workers", topic: g.platform.Workers.Topic(),
		load: g.platform.Workers.Load, decode: g.platform.Workers.Decode,
		apply: func(entries []workers.Entry, snapshot bool, _ time.Duration, afterFailure bool) {
			now := g.now()
			// Losing a relay also causes a gap between reads, but does not make entries expire.
			if afterFailure && now-lastRead > outageThreshold {
				recovered = time.Now()
			}
			lastRead = now
			g.applyEntries(entries, snapshot, recovered)
		},
		pause: g.settings.Bounds.registryReadInterval(),
	})
}

// applyEntries applies entries of the registry. The time recovered is when the log service last responded again after
// an outage, zero if there was none.
func (g *Gateway) applyEntries(entries []workers.Entry, snapshot bool, recovered time.Time) {
	wall, now := time.Now(), g.now()
	g.logUnreadable("workers", unreadableEntries(entries))
	g.mu.Lock()
	changed := false
	if snapshot {
		g.workerRegistry.Replace(entries, recovered, wall)
		changed = true
	}
	for _, e := range entries {
		if !snapshot && g.workerRegistry.Apply(e, recovered, wall) {
			changed = true
			g.logEntry(e)
		}
		if e.Worker != nil {
			g.residency.ApplyEntry(e.Worker, now)
		}
	}
	set, changed := g.publishWorkers(changed, wall)
	next, pending := g.workerRegistry.NextExpiry()
	g.mu.Unlock()
	if pending {
		// Expiry must not depend on the next read of the registry, which may be late or fail.
		time.AfterFunc(next.Sub(wall), g.expireWorkers)
	}
	if changed {
		g.log.Info().Int("workers", len(set.All())).Bool("after_outage", !recovered.IsZero()).Msg("workers changed")
	}
}

// publishWorkers makes the current workers of the registry available for requests, and reports whether they changed.
// The lock is held.
func (g *Gateway) publishWorkers(changed bool, wall time.Time) (*workers.Set, bool) {
	changed = g.workerRegistry.Expire(wall) || changed
	set := g.workerRegistry.Snapshot()
	if changed {
		g.setEjectors(set)
	}
	g.workers.Store(set)
	if changed {
		g.dropLostOwners()
	}
	return set, changed
}

// expireWorkers removes the workers whose entries were not written again after an outage.
func (g *Gateway) expireWorkers() {
	g.mu.Lock()
	set, changed := g.publishWorkers(false, time.Now())
	g.mu.Unlock()
	if changed {
		g.log.Info().Int("workers", len(set.All())).Msg("entries that did not come back are dropped")
	}
}

func (g *Gateway) logEntry(e workers.Entry) {
	l := g.log.Info().Str("worker", e.ID)
	if e.Worker != nil {
		l = l.Str("service", e.Worker.Service).Str("address", e.Worker.Address).Bool("draining", e.Worker.Draining).Int64("born", e.Worker.StartedMilli)
	}
	l.Bool("present", e.Worker != nil).Msg("worker entry")
}
