package shares

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// Fixed, so that a run can be repeated; the command line overrides both.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "8")
}

// TestNoFaultBreaksTheLimit guards against spending beyond a workspace's rate and burst, counting parts twice, losing
// track of tokens and spending after a withdrawal, under mixed faults. The faults come from the seed and not
// from rapid, which draws small numbers more often.
func TestNoFaultBreaksTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs := map[string][2]int64{"a": {1000 * Microtokens, 3000 * Microtokens}, "b": {50 * Microtokens, 20 * Microtokens}}
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWorld(seed, 2+int(seed%5), configs, t.Fatalf)
		w.run(w.now + 3*time.Second)
		w.load(w.now + 6*time.Second) // more than the rate, without faults
		w.run(w.now + 6*time.Second)
		for range rapid.IntRange(20, 25).Draw(t, "steps") {
			w.fault(w.rng.IntN(18), w.nodes[w.rng.IntN(len(w.nodes))])
			until := w.now + time.Duration(50+w.rng.IntN(3000))*time.Millisecond
			w.load(until)
			w.run(until)
		}
	})
}

// load sends more requests than the rates allow until the time, two thirds of them to one instance.
func (w *world) load(until time.Duration) {
	favourite := w.rng.IntN(len(w.nodes))
	for at := w.now; at < until; at += time.Duration(w.rng.Int64N(int64(40 * time.Millisecond))) {
		slot := favourite
		if w.rng.IntN(3) == 0 {
			slot = w.rng.IntN(len(w.nodes))
		}
		ws, reserve := "a", 1+w.rng.Int64N(200*Microtokens)
		if w.rng.IntN(5) == 0 {
			ws, reserve = "b", 1+w.rng.Int64N(5*Microtokens)
		}
		spend := reserve
		if w.rng.IntN(2) == 0 {
			spend = w.rng.Int64N(reserve + 1)
		}
		w.at(at, func() {
			for n := w.nodes[slot]; n != nil; n = n.former { // some are still routed to withdrawn incarnations
				n.request(ws, reserve, spend, func(Outcome) {})
			}
		})
	}
}

func (w *world) fault(kind int, n *node) {
	switch kind {
	case 0, 1: // killed, its host gone or not; the platform's list keeps it
		n.dead, n.hostGone = true, kind == 1
	case 2: // restarted in place
		n.dead = true
		w.nodes[n.slot] = w.start(n.slot, "")
	case 3, 4: // paused, beyond the lease or not
		n.paused = w.now + time.Duration(w.rng.Int64N(int64(kind)*int64(3*time.Second)))
	case 5, 6, 7: // cut off from the log, the peers or both
		n.cutLog, n.cutPeers = kind != 6, kind != 5
	case 8, 9:
		w.logDown = !w.logDown
	case 10:
		w.loseAnswer = 0.5 - w.loseAnswer
	case 11:
		w.loss, w.dup = 0.2-w.loss, 0.3-w.dup
	case 12: // messages cross and arrive late
		w.slow = 800*time.Millisecond - w.slow
	case 13:
		n.stale = !n.stale
	case 14:
		w.listed[instance(n.slot)] = !w.listed[instance(n.slot)]
	case 15:
		w.limit("a")
		w.configs["a"] = [2]int64{w.rng.Int64N(2000 * Microtokens), w.rng.Int64N(6000 * Microtokens)}
		w.limit("a")
	default:
		w.logDown, w.loss, w.dup, w.slow = false, 0, 0, 2*time.Millisecond
		for _, m := range w.nodes {
			m.cutLog, m.cutPeers, m.stale = false, false, false
		}
	}
}
