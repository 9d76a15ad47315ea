package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
)

const (
	// maxConfigPeers is how many instances are asked for the configuration that they have in force.
	maxConfigPeers = 3
	// peerConfigTimeout bounds the calls, which are made at the same time.
	peerConfigTimeout = 700 * time.Millisecond
	// maxConfigRounds bounds how often an instance asks if none answers, and configRoundInterval is the time between: after
	// an outage it takes a heartbeat until the instances know each other again.
	maxConfigRounds     = 5
	configRoundInterval = time.Second
	// maxPeerSilence is how old the heartbeats of the instances asked may be if there are no live ones.
	maxPeerSilence = time.Minute
)

// inForce is what an instance has in force, as JSON in GetConfigurationResponse. Config is nil if the receiver has it.
type inForce struct {
	Config   *routing.Config
	Versions []routing.AdapterVersion
	// Evacuations are sent for withdrawn evacuations too, so that what was withdrawn is not put into force again.
	Evacuations []evacuationInForce
}

// followPeerConfig asks other instances for the configuration that they have in force, once the instance has read the
// configuration and the fleet's stream, and again after each restore of the log service: a restored log service may lack
// the newest configuration until it is written again. While an evacuation is carried over from an earlier era, it asks at intervals.
func (g *Gateway) followPeerConfig(ctx context.Context) error {
	for _, ready := range []<-chan struct{}{g.configLoaded.done, g.fleetKnown.done} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ready:
		}
	}
	level := zerolog.InfoLevel
	for round := 1; ; round++ {
		era := g.knownEra()
		answered := g.askPeersForConfig(ctx, level)
		g.recordPeersAsked(era)
		var again <-chan time.Time
		if d := g.askPeersAgain(answered, round); d > 0 {
			again = time.After(d)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.askPeers:
			round, level = 0, zerolog.InfoLevel
		case <-again:
			// Only the first rounds follow a change.
			if answered || round >= maxConfigRounds {
				level = zerolog.DebugLevel
			}
		}
	}
}

// askPeersAgain returns after which time followPeerConfig asks again after a number of rounds, 0 if it waits for a request.
func (g *Gateway) askPeersAgain(answered bool, rounds int) (d time.Duration) {
	if !answered && rounds < maxConfigRounds {
		return configRoundInterval
	}
	g.locked(func() { d = g.evacuations.AskAgain() })
	return d
}

// recordPeersAsked records that other instances were asked in an era. Answers from before a restore say nothing about what
// the log service has lost in it; those of the round that it requests do.
func (g *Gateway) recordPeersAsked(era int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.knownEra() == era {
		g.peersAsked.Store(true)
	}
}

// requestPeerConfig makes followPeerConfig ask again.
func (g *Gateway) requestPeerConfig() {
	select {
	case g.askPeers <- struct{}{}:
	default:
	}
}

// configPeers returns the instances to ask. They differ between instances, so that the calls spread.
func (g *Gateway) configPeers() []peerInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	isSelf := func(m fleetlog.Member) bool { return m.Instance == g.settings.Instance }
	members := slices.DeleteFunc(g.members.Live(g.now(), quota.TakeoverDelay), isSelf)
	if len(members) == 0 {
		silence := func(time.Duration) time.Duration { return maxPeerSilence }
		members = slices.DeleteFunc(g.members.Live(g.now(), silence), isSelf)
	}
	byName := map[string]peerInstance{}
	var others []rendezvous.Member
	for _, m := range members {
		byName[m.Instance] = peerInstance{m.Instance, m.Incarnation, m.Heartbeat.Address}
		others = append(others, rendezvous.Member{Name: m.Instance})
	}
	var peers []peerInstance
	for _, name := range rendezvous.Pick(g.settings.Instance, others, maxConfigPeers) {
		peers = append(peers, byName[name])
	}
	return peers
}

// askPeersForConfig applies what other instances have in force if it is newer, and reports whether any answered. It logs that at
// the given level.
func (g *Gateway) askPeersForConfig(ctx context.Context, level zerolog.Level) bool {
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	peers := g.configPeers()
	start := g.now()
	done := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			ok := false
			defer func() { done <- ok }()
			g.guard("configuration of a peer", func() { ok = g.askPeerForConfig(ctx, p) })
		}()
	}
	answered := 0
	for range peers {
		if <-done {
			answered++
		}
	}
	g.log.WithLevel(level).Int("asked", len(peers)).Int("answered", answered).Int64("ms", (g.now() - start).Milliseconds()).Msg("peers asked for their configuration")
	return answered > 0
}

// askPeerForConfig asks one instance and reports whether it answered.
func (g *Gateway) askPeerForConfig(ctx context.Context, p peerInstance) bool {
	version, start := g.configVersion(), g.now()
	r, err := g.peers.clients.GetConfiguration(ctx, p.address, &peerpb.GetConfigurationRequest{Version: version})
	if err != nil {
		g.log.Info().Err(err).Str("peer", p.instance).Msg("peer not reached for its configuration")
		return false
	}
	var u inForce
	if err := json.Unmarshal(r.Update, &u); err != nil {
		g.log.Warn().Err(err).Str("peer", p.instance).Msg("configuration of a peer is invalid")
		return false
	}
	if u.Config != nil && u.Config.Version > version {
		g.log.Info().Str("peer", p.instance).Int64("config", u.Config.Version).Int64("before", version).Msg("configuration of a peer is newer")
	}
	g.mergeEvacuations(u.Evacuations, p.instance)
	g.applyUpdate(external.Update{Config: u.Config, Versions: u.Versions}, origin{"instance", start})
	return true
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (g *Gateway) configVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// GetConfiguration implements peerpb.PeerServer: it returns the configuration, the adapter versions and the evacuations in force.
func (p *peers) GetConfiguration(_ context.Context, r *peerpb.GetConfigurationRequest) (*peerpb.GetConfigurationResponse, error) {
	u, version := p.g.updateInForce(r.Version)
	data, err := json.Marshal(u)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &peerpb.GetConfigurationResponse{Version: version, Update: data}, nil
}

// updateInForce returns the version of the configuration in force, the configuration itself if it is newer than known, the
// newest versions of adapters and the evacuations.
func (g *Gateway) updateInForce(known int64) (u inForce, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config != nil {
		version = g.config.Version
		if version > known {
			u.Config = g.config
		}
	}
	for a, v := range g.versions {
		u.Versions = append(u.Versions, routing.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: v.version})
	}
	u.Evacuations = g.evacuationsInForce()
	return u, version
}
