package replay

import (
	"math"
	"time"
)

// KnownRates is the row of the table for knownRates.
const KnownRates = "known rates"

// heldAdapter is one adapter in the slots of knownRates.
type heldAdapter struct {
	openSessions float64 // expected sessions under way at the last request
	lastRequest  time.Duration
}

// knownRates counts the loads of a policy that does not know future requests but is told how they are
// drawn: the popularity of each adapter without shift or overload, and the length and pauses of sessions. On a
// miss it evicts the adapter with the lowest rate of requests expected now. All of the fleet's slots
// are in one place, nothing is in use, no engine restarts, no load fails and no request waits. It shows
// how far estimates of the next use can go without delaying requests.
func knownRates(c Case, w *workload) Result {
	rate, total := make([]float64, c.Adapters), 0.0
	for a := range rate {
		rate[a] = math.Pow(float64(a+1), -c.Skew)
		total += rate[a]
	}
	held := map[int]heldAdapter{}
	loads := 0
	for _, r := range w.requests {
		if _, ok := held[r.adapter]; !ok {
			if r.at >= c.Warmup {
				loads++
			}
			if len(held) >= c.Engines*c.Slots {
				victim, lowest := -1, math.Inf(1)
				for a, h := range held {
					v := rate[a]/total*c.Rate/sessionLength + h.openSessionsAt(r.at)/sessionGap.Seconds()
					if v < lowest || v == lowest && a < victim {
						victim, lowest = a, v
					}
				}
				delete(held, victim)
			}
		}
		held[r.adapter] = heldAdapter{held[r.adapter].openSessionsAt(r.at) + 1 - 1/sessionLength, r.at}
	}
	return Result{
		Policy: KnownRates, Loads: loads, Stalls: -1, Efficiency: math.NaN(), WorstShare: math.NaN(),
	}
}

// openSessionsAt returns the expected sessions under way that have a further request to send.
func (r heldAdapter) openSessionsAt(now time.Duration) float64 {
	return r.openSessions * math.Exp(-(now-r.lastRequest).Seconds()/sessionGap.Seconds())
}
