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
	// configWait is how long a read of the configuration waits for a change. Withdrawn keys must be known
	// within seconds; each read is priced.
	configWait = time.Second
	// configAge is how old the configuration is at most while the log service answers: the last answered read
	// was sent before it waited, and the next one is still waiting.
	configAge = 2*configWait + 700*time.Millisecond
	// retryPause is the time before a failed read is tried again.
	retryPause = 100 * time.Millisecond
	// outage is the time without an answered read of the registry after which vanished entries may only
	// have expired.
	outage = 2 * time.Second
)

// dependency logs when a feed is lost and regained.
type dependency struct {
	name string
	lost bool
}

func (g *Gateway) observe(d *dependency, err error) {
	switch {
	case err != nil && !d.lost:
		g.log.Warn().Err(err).Str("dependency", d.name).Msg("dependency lost")
	case err == nil && d.lost:
		g.log.Info().Str("dependency", d.name).Msg("dependency regained")
	}
	d.lost = err != nil
}

// feed is a topic of the log service that is loaded once and then followed.
type feed[T any] struct {
	name, topic string
	load        func(ctx context.Context) (T, int64, error)
	decode      func(records []external.Record) (T, error)
	// apply gets what was read, whether it is a load, when the read was sent, and whether the log service failed to
	// answer since the read before.
	apply func(v T, snapshot bool, sent time.Duration, afterFailure bool)
	// wait is how long a read of the log service waits for a change, and pause the time between such reads.
	wait, pause time.Duration
}

// follow reads a feed until ctx ends, and loads it anew when its history has expired.
func follow[T any](ctx context.Context, g *Gateway, f feed[T]) error {
	d := dependency{name: f.name}
	r := &reader{g: g, topic: f.topic, interval: f.wait + f.pause}
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
				v, err = f.decode(records)
			}
		} else {
			v, next, err = f.load(ctx)
		}
		if errors.Is(err, external.ErrExpired) {
			loaded = false
			continue
		}
		g.observe(&d, err)
		if err != nil {
			failed = true
			sleep(ctx, retryPause)
			// What is known has aged meanwhile; a read that waits would let it age further.
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

// followConfig keeps the configuration in force. Versions never go back.
func (g *Gateway) followConfig(ctx context.Context) error {
	return follow(ctx, g, feed[external.Update]{
		name: "config", topic: g.around.Config.Topic(), wait: configWait,
		load: g.around.Config.Load, decode: g.around.Config.Decode,
		apply: func(u external.Update, _ bool, sent time.Duration, _ bool) {
			g.applyUpdate(u)
			g.configRead.Store(int64(sent))
		},
	})
}

func (g *Gateway) applyUpdate(u external.Update) {
	now := g.now()
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
		g.declare(v, now)
	}
}

// declare records a new adapter version and has the workers of this instance load it.
func (g *Gateway) declare(v routing.AdapterVersion, now time.Duration) {
	a := residency.Adapter{Model: v.Model, Name: v.Adapter}
	g.mu.Lock()
	old := g.versions[a]
	if v.Version > old.version {
		g.versions[a] = declared{version: v.Version, learned: now}
	}
	owners := g.ownersLocked()
	g.mu.Unlock()
	if v.Version <= old.version {
		return
	}
	g.log.Info().Str("adapter", a.String()).Int64("version", v.Version).Int64("before", old.version).Msg("adapter version in force")
	for _, o := range owners {
		o.refresh(a, v.Version)
	}
}

// followWorkers keeps the set of workers.
func (g *Gateway) followWorkers(ctx context.Context) error {
	answered := g.now()
	var returned time.Time
	return follow(ctx, g, feed[[]workers.Entry]{
		name: "workers", topic: g.around.Workers.Topic(),
		load: g.around.Workers.Load, decode: g.around.Workers.Decode,
		apply: func(entries []workers.Entry, snapshot bool, _ time.Duration, afterFailure bool) {
			now := g.now()
			// A lost relay also leaves a gap, but no entry expires for that.
			if afterFailure && now-answered > outage {
				returned = time.Now()
			}
			answered = now
			g.applyEntries(entries, snapshot, returned)
		},
		pause: g.settings.Bounds.workersEvery(),
	})
}

func (g *Gateway) applyEntries(entries []workers.Entry, snapshot bool, returned time.Time) {
	wall, now := time.Now(), g.now()
	g.mu.Lock()
	changed := false
	if snapshot {
		g.known.Replace(entries, returned, wall)
		changed = true
	}
	for _, e := range entries {
		if !snapshot && g.known.Apply(e, returned, wall) {
			changed = true
			g.logEntry(e)
		}
		if e.Worker != nil {
			g.beliefs.ApplyEntry(e.Worker, now)
		}
	}
	set, changed := g.publishWorkers(changed, wall)
	next, pending := g.known.NextExpiry()
	g.mu.Unlock()
	if pending {
		// The next read of the registry may be late or lost.
		time.AfterFunc(next.Sub(wall), g.expireWorkers)
	}
	if changed {
		g.log.Info().Int("workers", len(set.All())).Bool("after_outage", !returned.IsZero()).Msg("workers changed")
	}
}

// publishWorkers makes the registry's workers the ones in use, and reports whether they changed. The lock is held.
func (g *Gateway) publishWorkers(changed bool, wall time.Time) (*workers.Set, bool) {
	changed = g.known.Expire(wall) || changed
	set := g.known.Snapshot()
	if changed {
		g.setEjectors(set)
	}
	g.workers.Store(set)
	if changed {
		g.dropLostOwners()
	}
	return set, changed
}

// expireWorkers drops the workers whose entries did not come back after an outage.
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
