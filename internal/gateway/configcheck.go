package gateway

import (
	"context"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/state/findings"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/routing/check"
)

const (
	// maxFindingsLogged bounds the lines on the findings of one version.
	maxFindingsLogged = 20
	// maxLoggedNameBytes bounds the part of an entry's name that is logged.
	maxLoggedNameBytes = 64
)

// configCheck checks the versions of the configuration in the background, one after another. A version that is replaced
// before its check has begun is not checked.
type configCheck struct {
	mu      sync.Mutex
	next    *routing.Config
	running bool
	// history is used by the running check only.
	history check.History
}

// take returns the version to check next, nil if there is none; then the check isn't running any more.
func (k *configCheck) take() *routing.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.next
	k.next, k.running = nil, c != nil
	return c
}

// checkConfig has a configuration that is in force checked, and does not wait for that.
func (g *Gateway) checkConfig(c *routing.Config) {
	k := &g.configCheck
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next = c
	if k.running {
		return
	}
	k.running = true
	g.start("check of the configuration", func(context.Context) {
		failed := true
		defer func() {
			if failed {
				// After a panic, the next version is checked by another task.
				k.mu.Lock()
				k.running = false
				k.mu.Unlock()
			}
		}()
		for c := k.take(); c != nil; c = k.take() {
			g.logFindings(c)
		}
		failed = false
	})
}

// logFindings logs what the check finds in a version and did not find in the previous one.
func (g *Gateway) logFindings(c *routing.Config) {
	added, total := g.configCheck.history.Added(c, maxFindingsLogged)
	for _, f := range added {
		level := zerolog.InfoLevel
		if f.Severity == findings.SeverityError {
			level = zerolog.WarnLevel
		}
		g.log.WithLevel(level).Int64("config", c.Version).Str("severity", string(f.Severity)).Str("kind", string(f.Place.Kind)).
			Str("name", fmt.Sprintf("%.*s", maxLoggedNameBytes, f.Place.Name)).Str("field", string(f.Place.Field)).
			Str("finding", f.Message).Msg("configuration has a finding")
	}
	if more := total - len(added); more > 0 {
		g.log.Info().Int64("config", c.Version).Int("more", more).Msg("configuration has more findings")
	}
}
