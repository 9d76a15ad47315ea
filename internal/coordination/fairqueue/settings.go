package fairqueue

import (
	"math"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Settings holds the limits and preferences of a Queue. Zero fields take the defaults.
type Settings struct {
	// MaxPerWorkspace is the maximum number of waiting requests per workspace. Default 1024.
	MaxPerWorkspace int
	// MaxTotal is the maximum total number of waiting requests. Default 8192.
	MaxTotal int
	// AgeingInterval is the waiting time after which a request moves up one class. Default 30 s.
	AgeingInterval time.Duration
	// DeadlineMargin is subtracted from each deadline to absorb errors in the rate estimate.
	// Default 250 ms.
	DeadlineMargin time.Duration
	// ResidentWindow is how far, in tokens divided by worth weight, a resident adapter may run ahead
	// of the other adapters of its workspace. Default 4096.
	ResidentWindow float64
	// MaxRemoteLead is how far, in tokens, service on other instances may move a workspace's virtual
	// time ahead of the system virtual time. Default 200,000. The limit keeps the end of a network
	// partition from blocking a workspace for long.
	MaxRemoteLead float64
	// Policy weights the preference for the worst-served workspace and the effect of worth. The zero
	// Policy means {1, 1}.
	Policy config.Policy
}

const (
	defaultMaxPerWorkspace = 1024
	defaultMaxTotal        = 8192
	defaultAgeingInterval  = 30 * time.Second
	defaultDeadlineMargin  = 250 * time.Millisecond
	defaultResidentWindow  = 4096
	defaultMaxRemoteLead   = 200_000
)

func (s Settings) withDefaults() Settings {
	if s.MaxPerWorkspace <= 0 {
		s.MaxPerWorkspace = defaultMaxPerWorkspace
	}
	if s.MaxTotal <= 0 {
		s.MaxTotal = defaultMaxTotal
	}
	if s.AgeingInterval <= 0 {
		s.AgeingInterval = defaultAgeingInterval
	}
	if s.DeadlineMargin <= 0 {
		s.DeadlineMargin = defaultDeadlineMargin
	}
	if s.ResidentWindow <= 0 {
		s.ResidentWindow = defaultResidentWindow
	}
	if s.MaxRemoteLead <= 0 {
		s.MaxRemoteLead = defaultMaxRemoteLead
	}
	if s.Policy == (config.Policy{}) {
		s.Policy = config.Policy{WorstServed: 1, Worth: 1}
	}
	return s
}

// worthWeight returns a flow's weight within its workspace: worth to the power of Policy.Worth. An
// exponent of 0 ignores worth; 1 makes shares proportional to it.
func (s Settings) worthWeight(worth float64) float64 {
	if worth <= 0 {
		return 1
	}
	return math.Pow(worth, s.Policy.Worth)
}

// classRank returns the rank of a service class; 0 is the most urgent.
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

// agedRank returns a class rank after ageing. Every waiting request eventually reaches rank 0, where
// only the shares by worth matter, so no class starves another.
func (s Settings) agedRank(rank int, arrived, now time.Time) int {
	if rank == 0 {
		return 0
	}
	return max(0, rank-max(0, int(now.Sub(arrived)/s.AgeingInterval)))
}
