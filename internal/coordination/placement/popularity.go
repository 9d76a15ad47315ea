package placement

import (
	"math"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// ways is the associativity of the popularity table: the number of entries per set.
const ways = 8

// Popularity estimates the request rate of each adapter version with two exponentially decaying counters:
// a slow one for the long-term rate and a fast one for current bursts.
//
// It is a set-associative table of fixed size, with 24 bytes per entry: 3 MB for 93,000 adapters. When a
// set is full, the entry with the lowest rate is replaced, so memory is bounded and only the least popular
// adapters lose their counts.
type Popularity struct {
	sets                       [][ways]popularityEntry
	mask                       uint64
	slowHalfLife, fastHalfLife float64 // in seconds
	fastWeight                 float64
	start                      time.Time
}

type popularityEntry struct {
	hash       uint64
	slow, fast float32
	last       float32 // last update, in seconds since start
}

// PopularityConfig configures the size and decay of a Popularity.
type PopularityConfig struct {
	// Adapters is the expected number of adapter versions.
	Adapters int
	// SlowHalfLife and FastHalfLife are the half-lives of the two counters.
	SlowHalfLife, FastHalfLife time.Duration
	// FastWeight is the weight, in [0, 1], of the fast counter's rate in the estimate. The slow counter has
	// the rest.
	FastWeight float64
}

// DefaultPopularity returns the settings used in production. The slow half-life is short enough to follow a
// change of popularity of 39% of the adapters within an hour. The fast one is long enough to span the pauses
// between the requests of one caller.
func DefaultPopularity(adapters int) PopularityConfig {
	return PopularityConfig{Adapters: adapters, SlowHalfLife: 10 * time.Minute, FastHalfLife: 7 * time.Second, FastWeight: 0.7}
}

// NewPopularity returns an empty table. Times passed to its methods must not precede start by more than a
// clock step.
func NewPopularity(c PopularityConfig, start time.Time) *Popularity {
	n := uint64(1)
	for n*ways*3/4 < uint64(c.Adapters) { // at most three quarters full, so that few sets overflow
		n *= 2
	}
	return &Popularity{
		sets: make([][ways]popularityEntry, n), mask: n - 1, start: start,
		slowHalfLife: c.SlowHalfLife.Seconds(), fastHalfLife: c.FastHalfLife.Seconds(), fastWeight: c.FastWeight,
	}
}

// hashRef returns a hash of the name and version, based on FNV-1a. It is the same on every instance.
func hashRef(a adapter.Ref) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(a.Name); i++ {
		h = (h ^ uint64(a.Name[i])) * 1099511628211
	}
	h *= 1099511628211
	for i := 0; i < len(a.Version); i++ {
		h = (h ^ uint64(a.Version[i])) * 1099511628211
	}
	return h ^ h>>29
}

// Add adds n requests for the adapter.
func (p *Popularity) Add(a adapter.Ref, n float64, now time.Time) {
	h, t := hashRef(a), now.Sub(p.start).Seconds()
	set := &p.sets[h&p.mask]
	index, lowest := -1, math.Inf(1)
	for i := range set {
		if set[i].hash == h {
			index = i
			break
		}
		if r := p.entryRate(&set[i], t); r < lowest {
			index, lowest = i, r
		}
	}
	e := &set[index]
	if e.hash != h {
		*e = popularityEntry{hash: h, last: float32(t)}
	}
	dt := max(0, t-float64(e.last))
	e.slow = float32(float64(e.slow)*math.Exp2(-dt/p.slowHalfLife) + n)
	e.fast = float32(float64(e.fast)*math.Exp2(-dt/p.fastHalfLife) + n)
	e.last = float32(t)
}

// Rate returns the estimated requests per second for the adapter.
func (p *Popularity) Rate(a adapter.Ref, now time.Time) float64 {
	return p.rateOfHash(hashRef(a), now)
}

func (p *Popularity) rateOfHash(h uint64, now time.Time) float64 {
	set := &p.sets[h&p.mask]
	for i := range set {
		if set[i].hash == h {
			return p.entryRate(&set[i], now.Sub(p.start).Seconds())
		}
	}
	return 0
}

// entryRate converts the decayed counters to requests per second. A counter with half-life H that counts r
// requests per second converges to r*H/ln 2.
func (p *Popularity) entryRate(e *popularityEntry, t float64) float64 {
	if e.hash == 0 {
		return 0
	}
	dt := max(0, t-float64(e.last))
	slow := float64(e.slow) * math.Exp2(-dt/p.slowHalfLife) * math.Ln2 / p.slowHalfLife
	fast := float64(e.fast) * math.Exp2(-dt/p.fastHalfLife) * math.Ln2 / p.fastHalfLife
	return (1-p.fastWeight)*slow + p.fastWeight*fast
}
