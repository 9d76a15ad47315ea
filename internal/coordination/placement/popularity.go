package placement

import (
	"math"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// ways is the number of entries in a set of the popularity table.
const ways = 8

// Popularity estimates the request rate of each adapter version with two exponentially decayed
// counters: a slow one for the long-run rate and a fast one for a burst that is under way.
//
// It is a set-associative table of fixed size: 24 bytes per entry, 3 MB for 93,000 adapters. When a
// set is full, the entry with the lowest rate is replaced, so memory stays bounded and only the
// least popular adapters are forgotten.
type Popularity struct {
	sets       [][ways]popEntry
	mask       uint64
	slow, fast float64 // half-lives in seconds
	fastWeight float64
	start      time.Time
}

type popEntry struct {
	hash       uint64
	slow, fast float32
	last       float32 // seconds since start
}

// PopularityConfig sets a Popularity's size and decay.
type PopularityConfig struct {
	// Adapters is the expected number of adapter versions.
	Adapters int
	// SlowHalfLife and FastHalfLife are the half-lives of the two counters.
	SlowHalfLife, FastHalfLife time.Duration
	// FastWeight is the part of the fast counter's rate in the estimate, in [0, 1].
	FastWeight float64
}

// DefaultPopularity returns the settings used in production. The slow half-life follows a shift of 39%
// of the adapters within an hour; the fast one covers the pauses within a caller's run of requests.
func DefaultPopularity(adapters int) PopularityConfig {
	return PopularityConfig{Adapters: adapters, SlowHalfLife: 10 * time.Minute, FastHalfLife: 7 * time.Second, FastWeight: 0.7}
}

// NewPopularity returns an empty table. Times passed later must not precede start by more than a
// clock step.
func NewPopularity(c PopularityConfig, start time.Time) *Popularity {
	n := uint64(1)
	for n*ways*3/4 < uint64(c.Adapters) { // at most three quarters full, so that few sets overflow
		n *= 2
	}
	return &Popularity{
		sets: make([][ways]popEntry, n), mask: n - 1, start: start,
		slow: c.SlowHalfLife.Seconds(), fast: c.FastHalfLife.Seconds(), fastWeight: c.FastWeight,
	}
}

// hashRef is FNV-1a over both parts of the reference. It is the same on every instance.
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

// Add counts n requests for the adapter.
func (p *Popularity) Add(a adapter.Ref, n float64, now time.Time) {
	h, t := hashRef(a), now.Sub(p.start).Seconds()
	set := &p.sets[h&p.mask]
	at, lowest := -1, math.Inf(1)
	for i := range set {
		if set[i].hash == h {
			at = i
			break
		}
		if r := p.rate(&set[i], t); r < lowest {
			at, lowest = i, r
		}
	}
	e := &set[at]
	if e.hash != h {
		*e = popEntry{hash: h, last: float32(t)}
	}
	dt := max(0, t-float64(e.last))
	e.slow = float32(float64(e.slow)*math.Exp2(-dt/p.slow) + n)
	e.fast = float32(float64(e.fast)*math.Exp2(-dt/p.fast) + n)
	e.last = float32(t)
}

// Rate returns the estimated requests per second for the adapter.
func (p *Popularity) Rate(a adapter.Ref, now time.Time) float64 {
	return p.rateOf(hashRef(a), now)
}

func (p *Popularity) rateOf(h uint64, now time.Time) float64 {
	set := &p.sets[h&p.mask]
	for i := range set {
		if set[i].hash == h {
			return p.rate(&set[i], now.Sub(p.start).Seconds())
		}
	}
	return 0
}

// rate converts decayed counts to requests per second: a counter with half-life H that sees r
// requests per second settles at r*H/ln 2.
func (p *Popularity) rate(e *popEntry, t float64) float64 {
	if e.hash == 0 {
		return 0
	}
	dt := max(0, t-float64(e.last))
	slow := float64(e.slow) * math.Exp2(-dt/p.slow) * math.Ln2 / p.slow
	fast := float64(e.fast) * math.Exp2(-dt/p.fast) * math.Ln2 / p.fast
	return (1-p.fastWeight)*slow + p.fastWeight*fast
}
