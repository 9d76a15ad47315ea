// Package placement decides where a request runs and where an adapter is loaded.
//
// A decision takes filters, which exclude candidates, scorers, which rate the rest, and a picker,
// which chooses one. Candidates come from an index by adapter version and from a bounded number of
// random draws, so the cost of a decision does not depend on the number of engines or adapters.
//
// The types are not safe for concurrent use: the caller serialises events and decisions. They read
// no clock and start no goroutine.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Role says which phase of a request an engine runs.
type Role string

// The roles of engines. An engine with RoleBoth serves requests of every role.
const (
	RoleBoth    Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Request is what a decision needs to know of a request.
type Request struct {
	// Adapter is the adapter version that must run.
	Adapter adapter.Ref
	// BaseModel is the adapter's base model.
	BaseModel string
	// Role is the phase that the engine must run; RoleBoth is served by every engine.
	Role Role
	// Prefix identifies the prompt's prefix; zero means unknown.
	Prefix uint64
	// DataCentre is where the deciding instance runs.
	DataCentre string
}

// Candidate is an engine that is considered for a request.
type Candidate struct {
	Engine *Engine
	// Slot holds the adapter on the engine. It is nil when the candidate is considered for a load.
	Slot *Slot
	// Victim is the slot that a load would replace; nil when the engine has a free slot.
	Victim *Slot
	// VictimValue is Victim's value in expected seconds of loading lost per second, zero when
	// Victim is nil.
	VictimValue float64
	// Score is the weighted sum of the scorers.
	Score float64
}

// Filter excludes candidates that must not get the request.
type Filter interface {
	// Keep reports whether the candidate may be used.
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate. Scores lie in [0, 1]; higher is better.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker chooses among candidates that passed all filters. It returns an index, or -1 when the list
// is empty.
type Picker interface {
	Pick(c []Candidate, rnd *rand.Rand) int
}

// WeightedScorer is a scorer with its weight. Weights need not sum to one.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Policy is the set of rules of a Fleet.
type Policy struct {
	Filters []Filter
	// Dispatch rates the engines on which the adapter is resident.
	Dispatch []WeightedScorer
	// Load rates the engines that could load the adapter.
	Load   []WeightedScorer
	Picker Picker
	// ReplicationThreshold is the part of its capacity, in (0, 1], at which an engine counts as full.
	// When every engine that holds an adapter is full, the adapter is replicated.
	ReplicationThreshold float64
	// MinResidence protects an adapter from eviction after its load, so that two adapters do
	// not evict each other in turn.
	MinResidence time.Duration
	// ReplicaValueFactor scales the value of an adapter's copy while it has others, in [0, 1].
	ReplicaValueFactor float64
	// ReplicationMargin is how many times the value of its victim a further copy must have, so that
	// two adapters of similar value do not replace each other in turn.
	ReplicationMargin float64
	// LoadCandidates is how many engines are compared for a load.
	LoadCandidates int
}

// DefaultPolicy returns the rules used in production.
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
