// Package placement selects the engine that runs a request and the engine that loads an adapter.
//
// A decision applies filters, which exclude candidates, then scorers, which rate the remaining ones, and a
// picker, which chooses one. Candidates come from an index by adapter version and from a bounded number of
// random draws, so the cost of a decision does not depend on the number of engines or adapters.
//
// The types are not safe for concurrent use: the caller must serialise events and decisions. They neither
// read the clock nor start goroutines.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Role is the phase of a request that an engine runs.
type Role string

// Roles of engines. An engine with RoleBoth runs all phases.
const (
	RoleBoth    Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// Adapter is the adapter version that the request uses.
	Adapter adapter.Ref
	// BaseModel is the adapter's base model.
	BaseModel string
	// Role is the phase that the engine must run. RoleBoth allows every engine.
	Role Role
	// Prefix identifies the prefix of the prompt. Zero means unknown.
	Prefix uint64
	// DataCentre is the data centre of the deciding instance.
	DataCentre string
}

// Candidate is an engine that is considered for a request or a load.
type Candidate struct {
	Engine *Engine
	// Slot is the adapter's slot on the engine. It is nil for a load.
	Slot *Slot
	// Victim is the slot that a load would evict. It is nil when the engine has a free slot.
	Victim *Slot
	// VictimValue is the expected loading time, in seconds per second, that keeping Victim saves.
	// It is zero when Victim is nil.
	VictimValue float64
	// Score is the weighted sum of the scorers' results.
	Score float64
}

// Filter excludes candidates that must not be used.
type Filter interface {
	// Keep reports whether the candidate may be used.
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate. Scores are in [0, 1], and higher is better.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker chooses one of the candidates that passed all filters. Pick returns its index, or -1 when there is
// none.
type Picker interface {
	Pick(c []Candidate, rnd *rand.Rand) int
}

// WeightedScorer is a scorer and its weight. Weights need not sum to 1.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Policy configures how a Fleet makes decisions.
type Policy struct {
	Filters []Filter
	// Dispatch scores the engines on which the adapter is resident.
	Dispatch []WeightedScorer
	// Load scores the engines that could load the adapter.
	Load   []WeightedScorer
	Picker Picker
	// ReplicationThreshold is the fraction of its capacity, in (0, 1], at which an engine counts as full.
	// When all engines that could serve an adapter are full, the adapter is replicated.
	ReplicationThreshold float64
	// MinResidence is how long after its load an adapter is evicted only if no other can be, so that two
	// adapters do not repeatedly evict each other.
	MinResidence time.Duration
	// ReplicaValueFactor scales the value of a copy while the adapter has other copies. It is in [0, 1].
	ReplicaValueFactor float64
	// ReplicationMargin is the factor by which the value of an additional copy must exceed that of its
	// victim, so that two adapters of similar value do not repeatedly evict each other.
	ReplicationMargin float64
	// LoadCandidates is the number of engines that are compared for a load.
	LoadCandidates int
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{
		Filters: []Filter{Live{}, Leaving{}, Ejected{}, Model{}, Retired{}, RoleMatch{}},
		Dispatch: []WeightedScorer{
			{Residency{}, 1}, {FreeCapacity{}, 2}, {Load{}, 1}, {Prefix{}, 0.3}, {Distance{}, 0.2},
		},
		Load: []WeightedScorer{
			{EvictionCost{}, 4}, {Load{}, 0.5}, {Distance{}, 0.1},
		},
		Picker:               MaxScore{},
		ReplicationThreshold: 1,
		MinResidence:         2 * time.Second,
		ReplicaValueFactor:   0.1,
		ReplicationMargin:    1.5,
		LoadCandidates:       2,
	}
}
