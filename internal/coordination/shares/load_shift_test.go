package shares

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
)

// loadTest sends Poisson traffic at 90% of each workspace's rate to 7 instances. Of the requests that a central bucket
// admits, it compares how many the shares refuse and how many an equal static split of the rate refuses.
type loadTest struct {
	sim     *simulation
	central map[string]*centralBucket
	static  map[string][]*centralBucket
	// withinRate counts the requests that the central bucket admits; of these, refusedByShares and refusedByStatic count
	// the ones that the shares and the static split refuse.
	withinRate, refusedByShares, refusedByStatic int
}

const loadTestInstances = 7

func newLoadTest(t *testing.T) *loadTest {
	configs := map[string][2]int64{}
	lt := &loadTest{central: map[string]*centralBucket{}, static: map[string][]*centralBucket{}}
	for i := range 5 {
		configs[fmt.Sprintf("w%d", i)] = [2]int64{10_000 * Microtokens, 20_000 * Microtokens}
	}
	lt.sim = newSimulation(1, loadTestInstances, configs, t.Fatalf)
	lt.sim.run(lt.sim.now + 5*time.Second)
	for ws, c := range configs {
		rate, burst := float64(c[0]), float64(c[1])
		lt.central[ws] = &centralBucket{burst, rate, burst, lt.sim.now}
		for range loadTestInstances {
			lt.static[ws] = append(lt.static[ws], &centralBucket{
				burst / loadTestInstances, rate / loadTestInstances, burst / loadTestInstances, lt.sim.now,
			})
		}
	}
	return lt
}

// run sends traffic for the duration. It counts refusals if count is set; choose returns the instance for each request.
// Requests reserve 50 to 250 tokens and use all of them.
func (lt *loadTest) run(d time.Duration, count bool, choose func(ws string) int) {
	sim := lt.sim
	until := sim.now + d
	for _, ws := range slices.Sorted(maps.Keys(lt.central)) {
		var next func()
		next = func() {
			if sim.now >= until {
				return
			}
			sim.at(sim.now+time.Duration(sim.rng.ExpFloat64()*float64(time.Second)*150/9000), next)
			lt.request(ws, choose(ws), (50+sim.rng.Int64N(201))*Microtokens, count)
		}
		sim.at(sim.now, next)
	}
	sim.run(until + time.Second)
}

func (lt *loadTest) request(ws string, index int, microtokens int64, count bool) {
	sim := lt.sim
	central, static := lt.central[ws].admit(sim.now, microtokens), lt.static[ws][index].admit(sim.now, microtokens)
	n := sim.nodes[index]
	if n.dead {
		return // the load balancer's connection is refused, whatever the shares are
	}
	n.request(ws, microtokens, microtokens, func(out Outcome) {
		if !central || !count {
			return
		}
		lt.withinRate++
		if out != Granted {
			lt.refusedByShares++
		}
		if !static {
			lt.refusedByStatic++
		}
	})
}

func (lt *loadTest) report(t *testing.T) (shares, static float64) {
	shares, static = float64(lt.refusedByShares)/float64(lt.withinRate), float64(lt.refusedByStatic)/float64(lt.withinRate)
	t.Logf("%d requests within the rate: %.4f%% wrongly refused, %.4f%% with an equal static split",
		lt.withinRate, 100*shares, 100*static)
	return shares, static
}

// TestEvenLoad guards against wrong refusals while load is even and nothing fails.
func TestEvenLoad(t *testing.T) {
	Convey("Under even load no request within the rate is refused", t, func() {
		lt := newLoadTest(t)
		lt.run(30*time.Second, true, func(string) int { return lt.sim.rng.IntN(loadTestInstances) })
		lt.report(t)
		So(lt.withinRate, ShouldBeGreaterThan, 5000)
		So(lt.refusedByShares, ShouldEqual, 0)
	})
}

// TestWorkspaceMoved guards against shares that do not follow when the load balancer moves a workspace to one instance.
func TestWorkspaceMoved(t *testing.T) {
	Convey("From 2 s after the move of a workspace, less than 0.1% of the requests within the rate are refused", t, func() {
		lt := newLoadTest(t)
		anyInstance := func(string) int { return lt.sim.rng.IntN(loadTestInstances) }
		lt.run(10*time.Second, false, anyInstance)
		chooseMoved := func(ws string) int {
			if ws == "w0" {
				return 3
			}
			return anyInstance(ws)
		}
		lt.run(2*time.Second, false, chooseMoved)
		lt.run(20*time.Second, true, chooseMoved)
		shares, static := lt.report(t)
		So(shares, ShouldBeLessThan, 0.001)
		So(static, ShouldBeGreaterThan, shares)
	})
}

// TestInstanceKilled guards against refusals while the shares of a killed instance are not settled yet.
func TestInstanceKilled(t *testing.T) {
	Convey("After an instance is killed, less than 1% of the requests within the rate are refused", t, func() {
		lt := newLoadTest(t)
		lt.run(10*time.Second, false, func(string) int { return lt.sim.rng.IntN(loadTestInstances) })
		lt.sim.nodes[4].dead = true
		lt.run(20*time.Second, true, func(string) int { return (5 + lt.sim.rng.IntN(loadTestInstances-1)) % loadTestInstances })
		shares, static := lt.report(t)
		So(shares, ShouldBeLessThan, 0.01)
		So(static, ShouldBeGreaterThan, shares)
	})
}

// TestAccrual guards against rounding that creates tokens or loses more than one microtoken per bucket.
func TestAccrual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rate, left, now := 1+rng.Int64N(MaxMicrotokens/100), ledger.TotalParts, time.Duration(0)
		var sum int64
		for i := range 7 {
			b := bucket{parts: rng.Int64N(left + 1)}
			if i == 6 {
				b.parts = left
			}
			left -= b.parts
			b.configure(rate, MaxMicrotokens)
			b.accrue(0)
			for now = 0; now < 10*time.Second; {
				now = min(now+time.Duration(rng.Int64N(int64(time.Second))), 10*time.Second)
				b.accrue(now)
			}
			sum += b.audit.Accrued
		}
		if sum > 10*rate || sum < 10*rate-7 {
			t.Fatalf("accrued %d of %d", sum, 10*rate)
		}
	})
}

// TestMalformedPeerReports guards against a malformed report of one peer that stops transfers to the other peers.
func TestMalformedPeerReports(t *testing.T) {
	Convey("Numbers out of range are limited to valid ones", t, func() {
		for _, bad := range []float64{math.NaN(), math.Inf(-1), -1} {
			m, _ := newFleet(3, 1)
			m.RecordPeerReports(time.Second, "m0001", []Report{{Workspace: "workspace-00", Demand: bad, Free: math.MinInt64, Parts: math.MinInt64}})
			m.RecordPeerReports(time.Second, "m0002", []Report{{Workspace: "workspace-00", Demand: 1e9}})
			out := m.Rebalance(time.Second)
			So(out[len(out)-1].To, ShouldEqual, "m0002")
		}
	})
}
