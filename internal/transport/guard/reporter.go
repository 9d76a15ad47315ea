package guard

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// reporter counts and logs the bounds that are enforced. It is safe for concurrent use.
type reporter struct {
	name    string
	metrics *Metrics
	log     zerolog.Logger
	created time.Time

	mu sync.Mutex
	// lastLog is the time of the last log line, and unlogged the number of enforcements since, by bound.
	lastLog  time.Duration
	unlogged map[Bound]int
}

func newReporter(name string, m *Metrics, log zerolog.Logger) *reporter {
	return &reporter{name: name, metrics: m, log: log, created: time.Now(), lastLog: -logInterval, unlogged: map[Bound]int{}}
}

// now returns the time since the creation of the reporter.
func (r *reporter) now() time.Duration { return time.Since(r.created) }

// enforce counts and logs a bound.
func (r *reporter) enforce(b Bound) {
	r.metrics.enforced.WithLabelValues(r.name, string(b)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[b]++
	if now := r.now(); now-r.lastLog >= logInterval {
		e := r.log.Warn().Str("listener", r.name)
		for b, n := range r.unlogged {
			e.Int(string(b), n)
		}
		e.Msg("bounds on callers enforced, by number")
		r.lastLog, r.unlogged = now, map[Bound]int{}
	}
}
