package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/streamversion"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/streams"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

const (
	// streamStepInterval is the time between two checks of the base versions, and streamFirstInterval that before they are known.
	streamStepInterval, streamFirstInterval = 500 * time.Millisecond, 100 * time.Millisecond
	// baseSetDelay is how long after the first start of the fleet the instances that set no base versions read them. Each read is
	// billed.
	baseSetDelay = 2 * time.Second
	// streamReadInterval is how often the records of streams are read while several versions serve, so that the position of this
	// instance does not expire.
	streamReadInterval = 5 * time.Second
	// streamLifeMargin is added to the longest timeout of a stream. It covers wall clocks that differ, by which instances know how old
	// a record is.
	streamLifeMargin = 2500 * time.Millisecond
	// keepMargin is for how much longer records are kept in memory.
	keepMargin = 10 * time.Second
)

// follow keeps the base versions of the services up to date until ctx ends.
func (s *streamVersions) follow(ctx context.Context) error {
	for _, ready := range []<-chan struct{}{s.g.configLoaded.done, s.g.fleetKnown.done} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ready:
		}
	}
	// The relays are chosen once the fleet is known.
	sleep(ctx, streamFirstInterval)
	if _, usesRelay := s.relay(); usesRelay && s.g.settings.FirstStart {
		sleep(ctx, baseSetDelay)
	}
	for ctx.Err() == nil {
		interval := streamStepInterval
		if !s.step(ctx) {
			interval = streamFirstInterval
		}
		sleep(ctx, interval)
	}
	return ctx.Err()
}

// step does what is next about the base versions. It reports whether they were read.
func (s *streamVersions) step(ctx context.Context) bool {
	services, life := s.g.resumableServices()
	maySet, noneAlive := s.g.maySetBases(life)
	now := s.g.now()
	read, mixed := false, false
	set := map[string]string{}
	s.mu.Lock()
	s.life = max(life, s.life)
	s.records.History.Forget(now - s.life - keepMargin)
	for name := range services {
		mixed = mixed || s.bases.Mixed(name, now, s.life)
		switch next, version := s.bases.Next(name, now, s.life, maySet, noneAlive); next {
		case streamversion.Read:
			read = true
		case streamversion.Set:
			set[name] = version
		}
	}
	due := mixed && now-s.lastRead >= streamReadInterval
	s.mu.Unlock()
	for name, version := range set {
		s.setBase(ctx, name, version)
	}
	if read || len(set) > 0 {
		s.readBases(ctx)
	}
	if due && maySet {
		if err := s.refresh(ctx); err != nil {
			s.g.log.Info().Err(err).Msg("records of streams not read")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bases.Known()
}

// observe records the workers of a set, before requests are sent to them.
func (s *streamVersions) observe(set *workers.Set) {
	counts := map[string]map[string]int{}
	for _, w := range set.All() {
		if counts[w.Service] == nil {
			counts[w.Service] = map[string]int{}
		}
		counts[w.Service][w.Software]++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bases.ObserveWorkers(counts, s.g.now())
}

// resumableServices returns the services of routes with resumable streams, and the longest life of such a stream.
func (g *Gateway) resumableServices() (services map[string]bool, life time.Duration) {
	services = map[string]bool{}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == nil {
		return services, 0
	}
	for _, r := range g.config.Routes {
		if r.Kind != routing.Stream || !r.Resumable {
			continue
		}
		timeout := r.Timeout
		if timeout <= 0 {
			timeout = defaultStreamLife
		}
		life = max(life, timeout+streamLifeMargin)
		for _, t := range r.Targets {
			services[t.Service] = true
		}
	}
	return services, life
}

// maySetBases reports whether this instance sets base versions, and whether no stream is alive that began before the log had any.
func (g *Gateway) maySetBases(life time.Duration) (may, noneAlive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	_, usesRelay := g.chooseRelay(now)
	read := time.Duration(g.registryConfirmed.Load())
	may = !usesRelay && read != 0 && now-read < outageThreshold && g.fleetRead.Load()
	since := g.created
	if latest := g.latestEra.Load(); latest != nil {
		since = max(since, latest.seen)
	}
	return may, g.settings.FirstStart && g.restored.IsZero() || now-since > life+streamversion.AbsenceMargin
}

// readBases reads the base versions from the log.
func (s *streamVersions) readBases(ctx context.Context) {
	sent := s.g.now()
	s.mu.Lock()
	s.bases.Asked(sent)
	s.mu.Unlock()
	values, at, err := s.g.platform.StreamBases.Newest(ctx)
	if err != nil {
		s.g.log.Info().Err(err).Msg("base versions not read")
		return
	}
	s.g.observeEra("base versions", at.Era)
	bases := map[string]string{}
	for _, v := range values {
		base, err := streams.DecodeBase(v.Value)
		switch {
		case err != nil:
			s.g.log.Warn().Err(err).Str("service", v.Key).Msg("base version is invalid")
		case base.Era == at.Era:
			bases[v.Key] = base.Version
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bases.ObserveBases(bases, sent)
	s.basesAt = at
}

// setBase sets the base version of a service in the log, unless another instance has set one since the last read.
func (s *streamVersions) setBase(ctx context.Context, service, version string) {
	s.mu.Lock()
	at := s.basesAt
	s.mu.Unlock()
	value, err := streams.Base{Version: version, Era: at.Era}.Encode()
	if err == nil {
		err = s.g.platform.StreamBases.Put(ctx, service, value, at)
	}
	if errors.Is(err, external.ErrConflict) {
		return
	}
	s.g.log.Info().Err(err).Str("service", service).Str("version", version).Int64("era", at.Era).Msg("base version of a service set")
}

// reloadBases makes the base versions count only once they were read again.
func (s *streamVersions) reloadBases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bases.Reload(s.g.now())
}
