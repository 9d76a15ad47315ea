package fairqueue

import (
	"math"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Settings bound the queue and weigh its preferences. Zero fields take the defaults.
type Settings struct {
	// MaxPerWorkspace is how many requests of one workspace may wait. Default 1024.
	MaxPerWorkspace int
	// MaxTotal is how many requests may wait in all. Default 8192.
	MaxTotal int
	// AgeingInterval is the waiting time that raises a request by one class. Default 30 s.
	AgeingInterval time.Duration
	// DeadlineMargin is subtracted from each deadline to absorb errors of the rate estimate.
	// Default 250 ms.
	DeadlineMargin time.Duration
	// ResidentWindow is how far, in tokens by worth, an adapter that needs no load may run ahead of
	// the other adapters of its workspace. Default 4096.
	ResidentWindow float64
	// MaxRemoteLead is how far, in tokens, service on other instances may put a workspace
	// behind the least served one. Default 200,000, so that a partition that heals cannot block a
	// workspace for long.
	MaxRemoteLead float64
	// Policy weighs the worst-served workspace and worth. The zero Policy means {1, 1}.
	Policy config.Policy
}

const (
	defaultMaxPerWorkspace = 1024
	defaultMaxTotal        = 8192
	defaultAgeStep         = 30 * time.Second
	defaultDeadlineMargin  = 250 * time.Millisecond
	defaultBatchWindow     = 4096
	defaultMaxDebt         = 200_000
)

func (s Settings) withDefaults() Settings {
	if s.MaxPerWorkspace <= 0 {
		s.MaxPerWorkspace = defaultMaxPerWorkspace
	}
	if s.MaxTotal <= 0 {
		s.MaxTotal = defaultMaxTotal
	}
	if s.AgeingInterval <= 0 {
		s.AgeingInterval = defaultAgeStep
	}
	if s.DeadlineMargin <= 0 {
		s.DeadlineMargin = defaultDeadlineMargin
	}
	if s.ResidentWindow <= 0 {
		s.ResidentWindow = defaultBatchWindow
	}
	if s.MaxRemoteLead <= 0 {
		s.MaxRemoteLead = defaultMaxDebt
	}
	if s.Policy == (config.Policy{}) {
		s.Policy = config.Policy{WorstServed: 1, Worth: 1}
	}
	return s
}

// worthWeight returns a flow's weight within its workspace. Policy.Worth is the exponent: 0 ignores
// worth, 1 shares in proportion to it.
func (s Settings) worthWeight(worth float64) float64 {
	if worth <= 0 {
		return 1
	}
	return math.Pow(worth, s.Policy.Worth)
}

// classRank orders the service classes; the smallest rank is the most urgent.
func classRank(c config.Class) int {
	switch c {
	case config.Interactive:
		return 0
	case config.Batch:
		return 2
	default:
		return 1
	}
}

// agedRank returns a class rank after ageing. Every request reaches rank 0 in time, where only the shares
// by worth count, so no class starves another.
func (s Settings) agedRank(rank int, arrived, now time.Time) int {
	if rank == 0 {
		return 0
	}
	return max(0, rank-max(0, int(now.Sub(arrived)/s.AgeingInterval)))
}
