package replay

import (
	"math"
	"time"
)

// KnownRates names the policy of knownRates in the table.
const KnownRates = "known rates"

// heldAdapter is the state of an adapter that knownRates has loaded.
type heldAdapter struct {
	openSessions float64 // expected number of open sessions at the last request
	lastRequest  time.Duration
}

// knownRates counts the loads of a policy that does not know future requests but knows their
// distribution: the popularity of each adapter without shift or overload, and the length and gaps of
// sessions. A miss evicts the adapter with the lowest expected request rate. All slots of the fleet form
// one cache, no adapter is in use at an eviction, no engine restarts, no load fails and no request
// waits. The result shows what estimates of the next use can achieve without delaying requests.
func knownRates(c Case, w *workload) Result {
	popularity, total := make([]float64, c.Adapters), 0.0
	for a := range popularity {
		popularity[a] = math.Pow(float64(a+1), -c.Skew)
		total += popularity[a]
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
					rate := popularity[a]/total*c.Rate/sessionLength + h.openSessionsAt(r.at)/sessionGap.Seconds()
					if rate < lowest || rate == lowest && a < victim {
						victim, lowest = a, rate
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

// openSessionsAt returns the expected number of open sessions that have another request to send.
func (h heldAdapter) openSessionsAt(now time.Duration) float64 {
	return h.openSessions * math.Exp(-(now-h.lastRequest).Seconds()/sessionGap.Seconds())
}
