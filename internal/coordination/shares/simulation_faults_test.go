package shares

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// Fixed values make runs repeatable. The command line overrides both.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "8")
}

// TestLimitUnderFaults guards against spending beyond a workspace's rate and burst, counting parts twice, miscounting
// tokens and spending after a withdrawal, under a mix of faults. The faults are drawn from the simulation's own generator
// because rapid draws small numbers more often.
func TestLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs := map[string][2]int64{"a": {1000 * Microtokens, 3000 * Microtokens}, "b": {50 * Microtokens, 20 * Microtokens}}
		seed := rapid.Uint64().Draw(t, "seed")
		sim := newSimulation(seed, 2+int(seed%5), configs, t.Fatalf)
		sim.run(sim.now + 3*time.Second)
		sim.load(sim.now + 6*time.Second) // overload without faults
		sim.run(sim.now + 6*time.Second)
		for range rapid.IntRange(20, 25).Draw(t, "steps") {
			sim.fault(sim.rng.IntN(18), sim.nodes[sim.rng.IntN(len(sim.nodes))])
			until := sim.now + time.Duration(50+sim.rng.IntN(3000))*time.Millisecond
			sim.load(until)
			sim.run(until)
		}
	})
}

// load schedules more requests than the rates allow until the given time, at least two thirds of them to one instance.
func (sim *simulation) load(until time.Duration) {
	preferred := sim.rng.IntN(len(sim.nodes))
	for at := sim.now; at < until; at += time.Duration(sim.rng.Int64N(int64(40 * time.Millisecond))) {
		index := preferred
		if sim.rng.IntN(3) == 0 {
			index = sim.rng.IntN(len(sim.nodes))
		}
		ws, reserve := "a", 1+sim.rng.Int64N(200*Microtokens)
		if sim.rng.IntN(5) == 0 {
			ws, reserve = "b", 1+sim.rng.Int64N(5*Microtokens)
		}
		spend := reserve
		if sim.rng.IntN(2) == 0 {
			spend = sim.rng.Int64N(reserve + 1)
		}
		sim.at(at, func() {
			for n := sim.nodes[index]; n != nil; n = n.former { // some requests still arrive at withdrawn incarnations
				n.request(ws, reserve, spend, func(Outcome) {})
			}
		})
	}
}

// fault injects a fault, most kinds at the node. The last kinds end the faults of the log, the network and the nodes'
// connections.
func (sim *simulation) fault(kind int, n *node) {
	switch kind {
	case 0, 1: // killed, without (0) or with (1) its host; the platform still lists the instance
		n.dead, n.hostDown = true, kind == 1
	case 2: // restarted in place
		n.dead = true
		sim.nodes[n.index] = sim.start(n.index, "")
	case 3, 4: // paused, possibly for longer than the lease
		n.paused = sim.now + time.Duration(sim.rng.Int64N(int64(kind)*int64(3*time.Second)))
	case 5, 6, 7: // partitioned from the log, the peers or both
		n.logUnreachable, n.peersUnreachable = kind != 6, kind != 5
	case 8, 9:
		sim.logDown = !sim.logDown
	case 10:
		sim.lostAnswerRate = 0.5 - sim.lostAnswerRate
	case 11:
		sim.lossRate, sim.duplicateRate = 0.2-sim.lossRate, 0.3-sim.duplicateRate
	case 12: // messages arrive late and out of order
		sim.maxDelay = 800*time.Millisecond - sim.maxDelay
	case 13:
		n.staleList = !n.staleList
	case 14:
		sim.listed[instance(n.index)] = !sim.listed[instance(n.index)]
	case 15:
		sim.oracle("a")
		sim.configs["a"] = [2]int64{sim.rng.Int64N(2000 * Microtokens), sim.rng.Int64N(6000 * Microtokens)}
		sim.oracle("a")
	default:
		sim.logDown, sim.lossRate, sim.duplicateRate, sim.maxDelay = false, 0, 0, 2*time.Millisecond
		for _, m := range sim.nodes {
			m.logUnreachable, m.peersUnreachable, m.staleList = false, false, false
		}
	}
}
