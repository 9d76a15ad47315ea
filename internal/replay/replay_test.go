package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/target"
)

// targetSeed is the seed of the cases that are checked against targets.
const targetSeed = 1

var (
	rausu    = Rausu(targetSeed)
	glenbrae = Glenbrae(targetSeed)

	mu      sync.Mutex
	results = map[string]Result{}
	// workloads holds the generated workloads by case and seed.
	workloads = map[string]*workload{}
)

// resultOf returns the result of a case under one policy. All tests share one run of each.
func resultOf(c Case, policy string) Result {
	mu.Lock()
	defer mu.Unlock()
	if policy != Turmeric { // the baselines and bounds ignore service classes
		c.Name, c.BatchFraction = strings.ReplaceAll(c.Name, " mixed", ""), 0
	}
	key := fmt.Sprint(c.Name, c.Seed, policy)
	r, ok := results[key]
	if !ok {
		w := workloads[c.Name+fmt.Sprint(c.Seed)]
		if w == nil {
			w = generate(c)
			workloads[c.Name+fmt.Sprint(c.Seed)] = w
		}
		r = run(c, w, policy)[0]
		results[key] = r
	}
	return r
}

// checkLoads guards against evictions of adapters that are needed again soon and must be reloaded.
func checkLoads(t *testing.T, c Case, bound float64) {
	t.Helper()
	got := float64(resultOf(c, Turmeric).Loads) / float64(resultOf(c, Clairvoyant).Loads)
	target.Check(t, target.Bound{
		Name: fmt.Sprintf("%s, seed %d: loads over the clairvoyant bound", c.Name, c.Seed), Limit: bound,
	}, got)
}

func TestLoadsSteadyRausu(t *testing.T)    { checkLoads(t, rausu, 1.25) }
func TestLoadsSteadyGlenbrae(t *testing.T) { checkLoads(t, glenbrae, 1.25) }
func TestLoadsShiftRausu(t *testing.T)     { checkLoads(t, rausu.Shifting(), 1.5) }
func TestLoadsShiftGlenbrae(t *testing.T)  { checkLoads(t, glenbrae.Shifting(), 1.5) }

// In the mixed cases, half of the adapters serve requests that may wait.
func TestLoadsSteadyMixedRausu(t *testing.T)    { checkLoads(t, rausu.Mixed(), 1.25) }
func TestLoadsSteadyMixedGlenbrae(t *testing.T) { checkLoads(t, glenbrae.Mixed(), 1.25) }
func TestLoadsShiftMixedRausu(t *testing.T)     { checkLoads(t, rausu.Mixed().Shifting(), 1.5) }
func TestLoadsShiftMixedGlenbrae(t *testing.T)  { checkLoads(t, glenbrae.Mixed().Shifting(), 1.5) }

// TestInteractiveWaits guards against delayed loads of batch requests that hold up interactive requests.
func TestInteractiveWaits(t *testing.T) {
	for _, c := range []Case{rausu, glenbrae} {
		got := resultOf(c.Mixed(), Turmeric).ByClass[config.Interactive].P99.Seconds()
		target.Check(t, target.Bound{
			Name:  fmt.Sprintf("%s, seed %d: p99 wait of interactive requests in s, where half may wait", c.Name, c.Seed),
			Limit: 1.1 * resultOf(c, Turmeric).P99.Seconds(),
		}, got)
	}
}

// TestBoundBelowKnownRates guards against a clairvoyant bound above the number of loads of a policy that does
// not know the future.
func TestBoundBelowKnownRates(t *testing.T) {
	for _, c := range []Case{rausu, glenbrae} {
		if online, bound := resultOf(c, KnownRates).Loads, resultOf(c, Clairvoyant).Loads; online < bound {
			t.Errorf("%s: %d loads, the bound is %d", c.Name, online, bound)
		}
	}
}

// checkStalls guards against routing that makes requests wait for loads.
func checkStalls(t *testing.T, c Case) {
	t.Helper()
	got := float64(resultOf(c, LeastLoaded).Stalls) / float64(resultOf(c, Turmeric).Stalls)
	target.Check(t, target.Bound{
		Name:  fmt.Sprintf("%s, seed %d: stalls of least loaded with LRU over ours", c.Name, c.Seed),
		Limit: 3, AtLeast: true,
	}, got)
}

func TestStallsMixedRausu(t *testing.T)    { checkStalls(t, rausu.Mixed()) }
func TestStallsMixedGlenbrae(t *testing.T) { checkStalls(t, glenbrae.Mixed()) }
func TestStallsRausu(t *testing.T)         { checkStalls(t, rausu) }
func TestStallsGlenbrae(t *testing.T)      { checkStalls(t, glenbrae) }
func TestStallsShiftRausu(t *testing.T)    { checkStalls(t, rausu.Shifting()) }
func TestStallsShiftGlenbrae(t *testing.T) { checkStalls(t, glenbrae.Shifting()) }

// checkEfficiency guards against batch capacity that stays unused while requests wait.
func checkEfficiency(t *testing.T, c Case) {
	t.Helper()
	got := resultOf(c, Turmeric).Efficiency / resultOf(c, Clairvoyant).Efficiency
	target.Check(t, target.Bound{
		Name:  fmt.Sprintf("%s, seed %d: batch efficiency over the all-knowing queue's", c.Name, c.Seed),
		Limit: 0.9, AtLeast: true,
	}, got)
}

func TestBatchEfficiencyRausu(t *testing.T)            { checkEfficiency(t, rausu) }
func TestBatchEfficiencyGlenbrae(t *testing.T)         { checkEfficiency(t, glenbrae) }
func TestBatchEfficiencyShiftRausu(t *testing.T)       { checkEfficiency(t, rausu.Shifting()) }
func TestBatchEfficiencyShiftGlenbrae(t *testing.T)    { checkEfficiency(t, glenbrae.Shifting()) }
func TestBatchEfficiencyMixedRausu(t *testing.T)       { checkEfficiency(t, rausu.Mixed()) }
func TestBatchEfficiencyMixedGlenbrae(t *testing.T)    { checkEfficiency(t, glenbrae.Mixed()) }
func TestBatchEfficiencyOverloadMixed(t *testing.T)    { checkEfficiency(t, rausu.Mixed().Overloaded()) }
func TestBatchEfficiencyOverloadRausu(t *testing.T)    { checkEfficiency(t, rausu.Overloaded()) }
func TestBatchEfficiencyOverloadGlenbrae(t *testing.T) { checkEfficiency(t, glenbrae.Overloaded()) }

// TestBatchEfficiencyHotAdapter guards against an adapter that needs several engines but gets only one,
// which is full: at this skew the most popular adapter receives 44% of the requests.
func TestBatchEfficiencyHotAdapter(t *testing.T) {
	c := glenbrae
	c.Name, c.Skew, c.Duration = "glenbrae hot", 1.6, 10*time.Minute
	checkEfficiency(t, c)
}

// checkWorstServed guards against one workspace at five times its rate starving another.
func checkWorstServed(t *testing.T, c Case) {
	t.Helper()
	target.Check(t, target.Bound{
		Name:  fmt.Sprintf("%s, seed %d: worst-served workspace's part of its fair share", c.Name, c.Seed),
		Limit: 0.9, AtLeast: true,
	}, resultOf(c, Turmeric).WorstShare)
}

func TestWorstServedRausu(t *testing.T)    { checkWorstServed(t, rausu.Overloaded()) }
func TestWorstServedMixed(t *testing.T)    { checkWorstServed(t, rausu.Mixed().Overloaded()) }
func TestWorstServedGlenbrae(t *testing.T) { checkWorstServed(t, glenbrae.Overloaded()) }

// TestNoRequestLostOrDuplicated guards against requests that are lost after a failed load, an eviction
// or an engine restart, against requests that run twice, and against evictions of an adapter in use.
func TestNoRequestLostOrDuplicated(t *testing.T) {
	for seed := uint64(targetSeed); seed <= 3; seed++ {
		for _, c := range []Case{Rausu(seed), Glenbrae(seed), Rausu(seed).Mixed()} {
			for _, c := range []Case{c, c.Shifting(), c.Overloaded()} {
				if seed > targetSeed { // shorter runs, with more frequent restarts and the same failure rate
					c.Warmup, c.Duration, c.RestartInterval = time.Minute, 4*time.Minute, time.Minute
				}
				r := resultOf(c, Turmeric)
				if r.Lost+r.Duplicated+len(r.Errors) > 0 || r.Requests == 0 {
					t.Errorf("%s seed %d: %d requests, %d lost, %d duplicated, errors %v",
						c.Name, seed, r.Requests, r.Lost, r.Duplicated, r.Errors)
				}
			}
		}
	}
}

// TestBaselinesFinish guards against a baseline that drops requests, which would distort the comparison.
func TestBaselinesFinish(t *testing.T) {
	c := rausu
	c.Warmup, c.Duration, c.RestartInterval = time.Minute, 2*time.Minute, time.Minute
	for _, r := range Run(c) {
		if r.Lost+r.Duplicated+len(r.Errors) > 0 {
			t.Errorf("%s: %d lost, %d duplicated, errors %v", r.Policy, r.Lost, r.Duplicated, r.Errors)
		}
	}
}

// TestClairvoyantLoads guards against a bound that is too low or too high, with a sequence solved by hand.
func TestClairvoyantLoads(t *testing.T) {
	Convey("With two slots, a b c a b needs four loads", t, func() {
		w := &workload{}
		for _, a := range []int{0, 1, 2, 0, 1} {
			w.requests = append(w.requests, request{adapter: a})
		}
		So(clairvoyantLoads(Case{Engines: 1, Slots: 2, Adapters: 3}, w), ShouldEqual, 4)
	})
}

// TestWorstShare guards against a fairness measure that counts a workspace's own low demand as unfairness.
func TestWorstShare(t *testing.T) {
	Convey("A workspace whose demand is met has its fair share", t, func() {
		So(worstShare([]float64{1, 100}, []float64{1, 9}), ShouldEqual, 1)
	})
	Convey("A starved workspace is measured against an equal share", t, func() {
		So(worstShare([]float64{50, 50}, []float64{2, 8}), ShouldAlmostEqual, 0.4)
	})
}

// TestPlot guards against a plot that cannot be written, such as that of a policy whose efficiency is not defined.
func TestPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "table.png")
	err := Plot(file, []Table{{Case: rausu, Results: []Result{{Policy: Turmeric, Loads: 2}, {Policy: Clairvoyant, Loads: 1}, knownRates(rausu, &workload{})}}})
	if err != nil {
		t.Fatal(err)
	}
	if st, err := os.Stat(file); err != nil || st.Size() == 0 {
		t.Fatalf("the plot is empty: %v", err)
	}
}
