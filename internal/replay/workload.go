// Package replay runs placement, load budget and fair order over a synthetic workload in virtual
// time, next to simpler policies and bounds that know the future.
//
// It models one deciding instance. Reports of engines lag, loads fail, engines restart and the
// weight store is as slow as its limits say.
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

// Case is one workload and fleet.
type Case struct {
	Name    string
	Seed    uint64
	Engines int
	// Slots is the adapters that one engine holds.
	Slots int
	// Batch is the requests that one engine runs at once.
	Batch    int
	Store    config.WeightStore
	Adapters int
	// Skew is the exponent of the Zipf popularity.
	Skew float64
	// Shares are the workspaces' parts of the request rate.
	Shares []float64
	// Rate is requests per second over the fleet.
	Rate float64
	// Overload multiplies the rate of the first workspace; zero means 1.
	Overload float64
	// ShiftPerHour makes that part of the adapters per hour wake or fall idle, at random times of the run.
	ShiftPerHour float64
	// Warmup is not measured; Duration follows it.
	Warmup, Duration time.Duration
	// RestartInterval is the time between restarts of a random engine; zero means none.
	RestartInterval time.Duration
	// LoadFailureRate is the part of loads that fail.
	LoadFailureRate float64
	// BatchFraction is the part of the adapters, in [0, 1], whose requests are of class batch; the requests
	// of the others are interactive.
	BatchFraction float64
}

// Limits of the synthetic requests. Sessions model a crew that sends a few requests for the same
// adapter; bursts model the end of a shift.
const (
	sessionLength   = 3.0
	sessionGap      = 10 * time.Second
	serviceMedian   = 3.0 // seconds
	serviceSpread   = 0.6
	serviceMin      = 0.5
	serviceMax      = 20.0
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

// Rausu returns the steady case of the first deployment.
func Rausu(seed uint64) Case {
	c := baseCase("rausu", seed)
	c.Engines, c.Rate = 9, 8
	c.Store = config.WeightStore{LoadsPerSecond: 3.5, FullSpeed: 1, MaxInFlight: 8}
	return c
}

// Glenbrae returns the steady case of the second deployment.
func Glenbrae(seed uint64) Case {
	c := baseCase("glenbrae", seed)
	c.Engines, c.Rate = 18, 16
	c.Store = config.WeightStore{LoadsPerSecond: 7, FullSpeed: 3, MaxInFlight: 24}
	return c
}

// mixedBatchFraction is the part of the adapters of class batch in the mixed cases.
const mixedBatchFraction = 0.5

// Mixed returns the case with half of the adapters serving requests of class batch, such as shift
// summaries, which may wait.
func (c Case) Mixed() Case {
	c.Name += " mixed"
	c.BatchFraction = mixedBatchFraction
	return c
}

// Shifting returns the case with 39% of the adapters waking or falling idle within the hour.
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

// workload is the requests of a case in order of arrival, and who owns each adapter.
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
		// The workspace that is furthest below its share gets the adapter, so that the rates
		// follow the shares even though the first adapters carry much of the traffic.
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
	changes := drawShifts(c, weights, rnd)
	w.generateArrivals(c, weights, changes, factor, rnd)
	classes := rand.New(rand.NewPCG(c.Seed, 4)) // of its own, so that the arrivals stay the same
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

// popularityShift hands the popularity of one adapter, which falls idle, to another, which wakes.
type popularityShift struct {
	at       time.Duration
	from, to int
}

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

func (w *workload) generateArrivals(c Case, weights []float64, changes []popularityShift, factor float64, rnd *rand.Rand) {
	cum := make([]float64, len(weights))
	sum := func() {
		t := 0.0
		for i, x := range weights {
			t += x
			cum[i] = t
		}
	}
	sum()
	rate := c.Rate * factor / sessionLength
	for t := time.Duration(0); t < w.end; {
		r := rate
		if t%burstInterval < burstDuration && t >= burstInterval {
			r *= burstFactor
		}
		t += time.Duration(rnd.ExpFloat64() / r * float64(time.Second))
		for len(changes) > 0 && changes[0].at <= t {
			weights[changes[0].to], weights[changes[0].from] = weights[changes[0].from], 0
			changes = changes[1:]
			sum()
		}
		a := sort.SearchFloat64s(cum, rnd.Float64()*cum[len(cum)-1])
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
