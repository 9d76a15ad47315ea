package workerload

import (
	"maps"
	"time"
)

// Mixture describes the prompts of a service whose routes bring prompts of very different sizes. The zero value means that
// they don't.
type Mixture struct {
	// ShortTarget is the smallest target latency of the routes with short prompts.
	ShortTarget time.Duration
	// Short and Long are the usual numbers of tokens of a short prompt and of a long one.
	Short, Long int64
}

// isLong reports whether a prompt of a number of tokens counts as long: it is nearer to the long ones, by factor.
func (m Mixture) isLong(tokens int64) bool {
	return m.Long > 0 && float64(tokens)*float64(tokens) >= float64(m.Short)*float64(m.Long)
}

const (
	// mixtureFactor is how many times longer the usual prompt of one route must be than that of another.
	mixtureFactor = 4
	// mixtureSeen is the number of requests of a route from which its usual prompt is known.
	mixtureSeen = 2
	// sizeWeight is the weight of one request in the usual size of a route's prompts.
	sizeWeight = 0.02
	// medianStep is by which part one answer moves a median, once a hundred are known.
	medianStep = 0.01
	// hintsSeen is the number of answers of a route from which its hints are corrected.
	hintsSeen = 8
)

// routeSizes is what is known of the prompts of a route.
type routeSizes struct {
	target time.Duration
	tokens float64
	seen   int
	// perToken is the median time that answers took for each token that their callers had expected.
	perToken median
}

// median follows the median of values above 0.
type median struct {
	value float64
	seen  int
}

// add moves the median by a factor, whatever the distance of the value, since hints are often far off.
func (m *median) add(x float64) {
	m.seen++
	switch step := 1 + max(medianStep, 1/float64(m.seen)); {
	case m.seen == 1:
		m.value = x
	case x > m.value:
		m.value *= step
	default:
		m.value /= step
	}
}

// Mix learns the sizes of the prompts that the routes of one service bring. It answers a load of many short prompts with a few long
// ones.
type Mix struct {
	routes map[string]*routeSizes
	// perToken is the median over the answers of all routes.
	perToken median
}

// NewMix returns the mix of a service of which nothing is known.
func NewMix() *Mix { return &Mix{routes: map[string]*routeSizes{}} }

// Arrived records a request of a route with a target latency.
func (m *Mix) Arrived(route string, prompt int64, target time.Duration) {
	r := m.routes[route]
	if r == nil {
		r = &routeSizes{}
		m.routes[route] = r
	}
	r.seen++
	r.target = target
	r.tokens += max(sizeWeight, 1/float64(r.seen)) * (float64(prompt) - r.tokens)
}

// Retain forgets the routes that are no longer configured.
func (m *Mix) Retain(configured func(route string) bool) {
	maps.DeleteFunc(m.routes, func(route string, _ *routeSizes) bool { return !configured(route) })
}

// Mixture returns the mixture of the routes' prompts, the zero value if they differ little.
func (m *Mix) Mixture() Mixture {
	short, long := 0.0, 0.0
	for _, r := range m.routes {
		if r.seen < mixtureSeen || r.tokens < 1 {
			continue
		}
		long = max(long, r.tokens)
		if short == 0 || r.tokens < short {
			short = r.tokens
		}
	}
	if short == 0 || long < mixtureFactor*short {
		return Mixture{}
	}
	out := Mixture{Short: int64(short), Long: int64(long)}
	for _, r := range m.routes {
		if r.seen >= mixtureSeen && !out.isLong(int64(r.tokens)) && (out.ShortTarget == 0 || r.target < out.ShortTarget) {
			out.ShortTarget = r.target
		}
	}
	return out
}

// Answered records how long an answer of a route took from its first event to its end, for which its caller had expected a number of
// tokens.
func (m *Mix) Answered(route string, hint int64, took time.Duration) {
	r := m.routes[route]
	if r == nil || hint <= 0 || took <= 0 {
		return
	}
	r.perToken.add(took.Seconds() / float64(hint))
	m.perToken.add(took.Seconds() / float64(hint))
}

// Expected returns the expected tokens of an answer of a route whose caller expects a number of tokens and allows a maximum, 0 if only
// the maximum is known. Workers do not report the tokens of an answer, only its duration is seen. Hints are right at the median over
// all routes; by how much those of a route are off shows in the time per token compared with that of all.
func (m *Mix) Expected(route string, hint, maximum int64) int64 {
	if hint <= 0 || maximum <= 0 {
		return 0
	}
	expected := float64(min(hint, maxPartTokens))
	if r := m.routes[route]; r != nil && r.perToken.seen >= hintsSeen {
		expected *= r.perToken.value / m.perToken.value
	}
	return min(max(1, int64(expected)), maximum)
}
