package gateway

import "time"

// observedEra is an era of the log service and when a response first named it.
type observedEra struct {
	era  int64
	seen time.Duration
}

// unknownEra is the era before the first response of the log service.
const unknownEra = -1

// knownEra returns the latest era of the log service that a response named, or unknownEra.
func (g *Gateway) knownEra() int64 {
	if latest := g.latestEra.Load(); latest != nil {
		return latest.era
	}
	return unknownEra
}

// observeEra records the era that a response of the log service named. A new one is logged: records that were
// acknowledged before may be lost, and their offsets are assigned again. A heartbeat is then sent at once, which restates
// this instance's workers, and other instances are asked for the configuration that they have in force. The lock must not
// be held.
func (g *Gateway) observeEra(call string, era int64) {
	if era <= g.knownEra() {
		return
	}
	g.mu.Lock()
	known := g.knownEra()
	if era > known {
		g.latestEra.Store(&observedEra{era: era, seen: g.now()})
		if known != unknownEra {
			g.restored = time.Now()
		}
		for _, t := range g.topics {
			t.startEra(era)
		}
	}
	g.mu.Unlock()
	if era <= known {
		return
	}
	g.metrics.logEra.Set(float64(era))
	if known == unknownEra {
		return
	}
	g.log.Warn().Str("call", call).Int64("era", era).Int64("before", known).Msg("log service restored from a copy")
	if !g.configFresh(maxConfigAge) {
		// The restored log service may lack a configuration that this instance has not read.
		g.peersAsked.Store(false)
	}
	g.requestPeerConfig()
	g.requestHeartbeat()
}
