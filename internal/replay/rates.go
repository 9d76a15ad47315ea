package replay

import (
	"math"
	"time"
)

// KnownRates is the row of the table for knownRates.
const KnownRates = "known rates"

// resident is one adapter in the slots of knownRates.
type resident struct {
	sessions float64 // expected sessions under way at the last request
	last     time.Duration
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
	held := map[int]resident{}
	loads := 0
	for _, r := range w.requests {
		if _, ok := held[r.adapter]; !ok {
			if r.at >= c.Warmup {
				loads++
			}
			if len(held) >= c.Engines*c.Slots {
				victim, lowest := -1, math.Inf(1)
				for a, h := range held {
					v := rate[a]/total*c.Rate/sessionLength + h.at(r.at)/sessionGap.Seconds()
					if v < lowest || v == lowest && a < victim {
						victim, lowest = a, v
					}
				}
				delete(held, victim)
			}
		}
		held[r.adapter] = resident{held[r.adapter].at(r.at) + 1 - 1/sessionLength, r.at}
	}
	return Result{
		Policy: KnownRates, Loads: loads, Stalls: -1, Efficiency: math.NaN(), WorstShare: math.NaN(),
	}
}

// at returns the expected sessions under way that have a further request to send.
func (r resident) at(now time.Duration) float64 {
	return r.sessions * math.Exp(-(now-r.last).Seconds()/sessionGap.Seconds())
}
