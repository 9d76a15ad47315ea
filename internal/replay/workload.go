// Package replay simulates placement, load budget and fair order on a synthetic workload in virtual
// time, and compares them with simpler policies and with bounds that know the future.
//
// It models a single instance that makes all decisions. Engine reports arrive late, loads fail, engines
// restart, and the weight store is as slow as its limits allow.
package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Case is the parameters of one workload and fleet.
type Case struct {
	Name    string
	Seed    uint64
	Engines int
	// Slots is the number of adapters that one engine can hold.
	Slots int
	// Batch is the number of requests that one engine runs concurrently.
	Batch    int
	Store    config.WeightStore
	Adapters int
	// Skew is the exponent of the Zipf distribution of adapter popularity.
	Skew float64
	// Shares are the workspaces' fractions of the request rate.
	Shares []float64
	// Rate is the requests per second of the whole fleet, without overload.
	Rate float64
	// Overload multiplies the rate of the first workspace; zero means 1.
	Overload float64
	// ShiftPerHour is the fraction of the adapters that become active or idle per hour, at random times
	// of the run.
	ShiftPerHour float64
	// Warmup is the time before the measured period, whose length is Duration.
	Warmup, Duration time.Duration
	// RestartInterval is the time between restarts of a random engine; zero means none.
	RestartInterval time.Duration
	// LoadFailureRate is the fraction of loads that fail.
	LoadFailureRate float64
	// BatchFraction is the fraction of the adapters, in [0, 1], whose requests are of class batch; the requests
	// of the others are interactive.
	BatchFraction float64
}

// Parameters of the synthetic workload. Sessions model a group of users that sends a few requests for
// the same adapter; bursts model the end of a work shift.
const (
	sessionLength   = 3.0
	sessionGap      = 10 * time.Second
	serviceMedian   = 3.0  // seconds
	serviceSpread   = 0.6  // standard deviation of the logarithm
	serviceMin      = 0.5  // seconds
	serviceMax      = 20.0 // seconds
	burstInterval   = 10 * time.Minute
	burstDuration   = 30 * time.Second
	burstFactor     = 2.0
	loadDuration    = 250 * time.Millisecond
	restartDuration = 10 * time.Second
	shiftPerHour    = 0.39
	overloadFactor  = 5
)

func baseCase(name string, seed uint64) Case {
	return Case{
		Name: name, Seed: seed, Slots: 8, Batch: 8, Adapters: 3000, Skew: 1.1,
		Shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
		Warmup: 15 * time.Minute, Duration: 30 * time.Minute,
		RestartInterval: 7 * time.Minute, LoadFailureRate: 0.02,
	}
}

// Rausu returns the case of the first deployment, without a shift of popularity or overload.
func Rausu(seed uint64) Case {
	c := baseCase("rausu", seed)
	c.Engines, c.Rate = 9, 8
	c.Store = config.WeightStore{LoadsPerSecond: 3.5, FullSpeed: 1, MaxInFlight: 8}
	return c
}

// Glenbrae returns the case of the second deployment, without a shift of popularity or overload.
func Glenbrae(seed uint64) Case {
	c := baseCase("glenbrae", seed)
	c.Engines, c.Rate = 18, 16
	c.Store = config.WeightStore{LoadsPerSecond: 7, FullSpeed: 3, MaxInFlight: 24}
	return c
}

// mixedBatchFraction is the fraction of the adapters of class batch in the mixed cases.
const mixedBatchFraction = 0.5

// Mixed returns the case with half of the adapters serving requests of class batch, which may wait, such
// as summaries of work shifts.
func (c Case) Mixed() Case {
	c.Name += " mixed"
	c.BatchFraction = mixedBatchFraction
	return c
}

// Shifting returns the case with 39% of the adapters becoming active or idle within an hour.
func (c Case) Shifting() Case {
	c.Name += " shift"
	c.ShiftPerHour = shiftPerHour
	return c
}

// Overloaded returns the case with the first workspace at five times its rate. It is shorter, since
// the backlog must drain within the run to show that no request is lost.
func (c Case) Overloaded() Case {
	c.Name += " overload"
	c.Overload = overloadFactor
	c.Warmup, c.Duration = 2*time.Minute, 10*time.Minute
	return c
}

// request is one request of the workload.
type request struct {
	at        time.Duration
	adapter   int
	workspace int
	service   time.Duration
	class     config.Class
}

// workload holds the requests of a case in order of arrival, and the owner of each adapter.
type workload struct {
	requests   []request
	refs       []adapter.Ref
	owner      []int // workspace of each adapter
	workspaces []string
	end        time.Duration
}

func generate(c Case) *workload {
	rnd := rand.New(rand.NewPCG(c.Seed, 1))
	w := &workload{owner: make([]int, c.Adapters), end: c.Warmup + c.Duration}
	weights := make([]float64, c.Adapters)
	total := 0.0
	assigned := make([]float64, len(c.Shares))
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -c.Skew)
		total += weights[i]
		w.refs = append(w.refs, adapter.Ref{Name: fmt.Sprintf("adapter-%05d", i), Version: "1"})
		// The adapter goes to the workspace that is furthest below its share, so that the request rates
		// follow the shares although the first adapters receive much of the traffic.
		best := 0
		for s, share := range c.Shares {
			if assigned[s]/share < assigned[best]/c.Shares[best] {
				best = s
			}
		}
		assigned[best] += weights[i]
		w.owner[i] = best
	}
	for s := range c.Shares {
		w.workspaces = append(w.workspaces, fmt.Sprintf("workspace-%d", s))
	}
	factor := 1.0
	if c.Overload > 0 {
		for i, s := range w.owner {
			if s == 0 {
				weights[i] *= c.Overload
				factor += weights[i] * (c.Overload - 1) / c.Overload / total
			}
		}
	}
	shifts := drawShifts(c, weights, rnd)
	w.generateArrivals(c, weights, shifts, factor, rnd)
	// A separate generator, so that the arrivals do not depend on BatchFraction.
	classes := rand.New(rand.NewPCG(c.Seed, 4))
	class := make([]config.Class, c.Adapters)
	for a := range class {
		class[a] = config.Interactive
		if classes.Float64() < c.BatchFraction {
			class[a] = config.Batch
		}
	}
	for i := range w.requests {
		w.requests[i].class = class[w.requests[i].adapter]
	}
	slices.SortStableFunc(w.requests, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return w
}

// popularityShift moves the popularity of one adapter, which becomes idle, to another, which becomes active.
type popularityShift struct {
	at       time.Duration
	from, to int
}

// drawShifts draws the popularity shifts of a run. It sets the weight of each adapter that becomes active
// later to zero.
func drawShifts(c Case, weights []float64, rnd *rand.Rand) []popularityShift {
	n := int(c.ShiftPerHour * c.Duration.Hours() * float64(c.Adapters))
	chosen := rnd.Perm(c.Adapters)[:n/2*2]
	var out []popularityShift
	for i := 0; i < len(chosen); i += 2 {
		weights[chosen[i+1]] = 0
		at := c.Warmup + time.Duration(rnd.Float64()*float64(c.Duration))
		out = append(out, popularityShift{at, chosen[i], chosen[i+1]})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

func (w *workload) generateArrivals(c Case, weights []float64, shifts []popularityShift, factor float64, rnd *rand.Rand) {
	cumulative := make([]float64, len(weights))
	accumulate := func() {
		t := 0.0
		for i, x := range weights {
			t += x
			cumulative[i] = t
		}
	}
	accumulate()
	rate := c.Rate * factor / sessionLength
	for t := time.Duration(0); t < w.end; {
		r := rate
		if t%burstInterval < burstDuration && t >= burstInterval {
			r *= burstFactor
		}
		t += time.Duration(rnd.ExpFloat64() / r * float64(time.Second))
		for len(shifts) > 0 && shifts[0].at <= t {
			weights[shifts[0].to], weights[shifts[0].from] = weights[shifts[0].from], 0
			shifts = shifts[1:]
			accumulate()
		}
		a := sort.SearchFloat64s(cumulative, rnd.Float64()*cumulative[len(cumulative)-1])
		for at := t; at < w.end; {
			s := min(serviceMax, max(serviceMin, serviceMedian*math.Exp(serviceSpread*rnd.NormFloat64())))
			w.requests = append(w.requests, request{
				at: at, adapter: a, workspace: w.owner[a], service: time.Duration(s * float64(time.Second)),
			})
			if rnd.Float64() < 1/sessionLength {
				break
			}
			at += time.Duration(rnd.ExpFloat64() * float64(sessionGap))
		}
	}
}
