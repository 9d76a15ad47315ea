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

// trial sends Poisson traffic at 90% of each workspace's rate to 7 instances and compares the refusals of requests that
// a central bucket admits with those of an equal static split.
type trial struct {
	w       *world
	central map[string]*limit
	static  map[string][]*limit
	// Requests that the central bucket admits, and of these the ones that the shares and the static split refuse.
	within, refused, refusedEven int
}

const trialInstances = 7

func newTrial(t *testing.T) *trial {
	configs := map[string][2]int64{}
	tr := &trial{central: map[string]*limit{}, static: map[string][]*limit{}}
	for i := range 5 {
		configs[fmt.Sprintf("w%d", i)] = [2]int64{10_000 * Microtokens, 20_000 * Microtokens}
	}
	tr.w = newWorld(1, trialInstances, configs, t.Fatalf)
	tr.w.run(tr.w.now + 5*time.Second)
	for ws, c := range configs {
		rate, burst := float64(c[0]), float64(c[1])
		tr.central[ws] = &limit{burst, rate, burst, tr.w.now}
		for range trialInstances {
			tr.static[ws] = append(tr.static[ws], &limit{burst / trialInstances, rate / trialInstances, burst / trialInstances, tr.w.now})
		}
	}
	return tr
}

// run sends traffic for the duration; choose names the instance for each request. Requests reserve 50 to 250 tokens and
// use all of them.
func (tr *trial) run(d time.Duration, count bool, choose func(ws string) int) {
	w := tr.w
	until := w.now + d
	for _, ws := range slices.Sorted(maps.Keys(tr.central)) {
		var next func()
		next = func() {
			if w.now >= until {
				return
			}
			w.at(w.now+time.Duration(w.rng.ExpFloat64()*float64(time.Second)*150/9000), next)
			tr.request(ws, choose(ws), (50+w.rng.Int64N(201))*Microtokens, count)
		}
		w.at(w.now, next)
	}
	w.run(until + time.Second)
}

func (tr *trial) request(ws string, slot int, micro int64, count bool) {
	w := tr.w
	central, even := tr.central[ws].admit(w.now, micro), tr.static[ws][slot].admit(w.now, micro)
	n := w.nodes[slot]
	if n.dead {
		return // the balancer's connection is refused, which no share can answer
	}
	n.request(ws, micro, micro, func(out Outcome) {
		if !central || !count {
			return
		}
		tr.within++
		if out != Granted {
			tr.refused++
		}
		if !even {
			tr.refusedEven++
		}
	})
}

func (tr *trial) report(t *testing.T) (shares, even float64) {
	shares, even = float64(tr.refused)/float64(tr.within), float64(tr.refusedEven)/float64(tr.within)
	t.Logf("%d requests within rate: wrongly refused %.4f%%, by an equal static split %.4f%%", tr.within, 100*shares, 100*even)
	return shares, even
}

// TestEvenLoad guards against wrongful refusals when nothing happens.
func TestEvenLoad(t *testing.T) {
	Convey("Under even load no request within the rate is refused", t, func() {
		tr := newTrial(t)
		tr.run(30*time.Second, true, func(string) int { return tr.w.rng.IntN(trialInstances) })
		tr.report(t)
		So(tr.within, ShouldBeGreaterThan, 5000)
		So(tr.refused, ShouldEqual, 0)
	})
}

// TestWorkspaceMoves guards against shares that stay behind when the balancer moves a workspace.
func TestWorkspaceMoves(t *testing.T) {
	Convey("2 s after a whole workspace moved, under 0.1% within the rate are refused", t, func() {
		tr := newTrial(t)
		spread := func(string) int { return tr.w.rng.IntN(trialInstances) }
		tr.run(10*time.Second, false, spread)
		moved := func(ws string) int {
			if ws == "w0" {
				return 3
			}
			return spread(ws)
		}
		tr.run(2*time.Second, false, moved)
		tr.run(20*time.Second, true, moved)
		shares, even := tr.report(t)
		So(shares, ShouldBeLessThan, 0.001)
		So(even, ShouldBeGreaterThan, shares)
	})
}

// TestInstanceDies guards against refusals while the share of a killed instance waits for its settlement.
func TestInstanceDies(t *testing.T) {
	Convey("While an instance dies, under 1% within the rate are refused", t, func() {
		tr := newTrial(t)
		tr.run(10*time.Second, false, func(string) int { return tr.w.rng.IntN(trialInstances) })
		tr.w.nodes[4].dead = true
		tr.run(20*time.Second, true, func(string) int { return (5 + tr.w.rng.IntN(trialInstances-1)) % trialInstances })
		shares, even := tr.report(t)
		So(shares, ShouldBeLessThan, 0.01)
		So(even, ShouldBeGreaterThan, shares)
	})
}

// TestAccrual guards against rounding that creates tokens or loses more than one microtoken per bucket.
func TestAccrual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rate, left, now := 1+rng.Int64N(MaxMicrotokens/100), ledger.Whole, time.Duration(0)
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

// TestPeerStatements guards against a peer's malformed report that stops the moves between all the others.
func TestPeerStatements(t *testing.T) {
	Convey("Numbers out of range are bounded", t, func() {
		for _, bad := range []float64{math.NaN(), math.Inf(-1), -1} {
			m, _ := fleet(3, 1)
			m.RecordPeerReports(time.Second, "m0001", []Report{{Workspace: "workspace-00", Demand: bad, Free: math.MinInt64, Parts: math.MinInt64}})
			m.RecordPeerReports(time.Second, "m0002", []Report{{Workspace: "workspace-00", Demand: 1e9}})
			out := m.Rebalance(time.Second)
			So(out[len(out)-1].To, ShouldEqual, "m0002")
		}
	})
}
