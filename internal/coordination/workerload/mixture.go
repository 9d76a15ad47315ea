package workerload

import (
	"maps"
	"math/bits"
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
	// outcomeWeight is the weight of one request in the share of a group that was served: the latest fifty or so count.
	outcomeWeight = 0.02
	// groupSeen is the number of requests of a group from which its share is known.
	groupSeen = 8
	// owedShare of the share of all requests is what a group is served at least. The bounds are a quarter for a kind and a
	// half for the largest requests of a kind; the rest covers the error of an instance that sees few of them.
	owedShare = 0.75
	// maxGroups bounds the groups of which the served share is kept.
	maxGroups = 4096
)

// routeSizes is what is known of the prompts of a route.
type routeSizes struct {
	target time.Duration
	tokens float64
	seen   int
}

// served is the share of a group of requests that was served.
type served struct {
	share float64
	seen  int
}

func (s *served) record(ok bool) {
	s.seen++
	x := 0.0
	if ok {
		x = 1
	}
	s.share += max(outcomeWeight, 1/float64(s.seen)) * (x - s.share)
}

// Mix learns the sizes of the prompts that the routes of one service bring, and which groups of requests are served less than
// the others. It answers a load of many short prompts with a few long ones.
type Mix struct {
	routes map[string]*routeSizes
	groups map[string]*served
	all    served
}

// NewMix returns the mix of a service of which nothing is known.
func NewMix() *Mix { return &Mix{routes: map[string]*routeSizes{}, groups: map[string]*served{}} }

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

// Group is what a request has in common with others that must not be served much less than the rest.
type Group struct {
	Route, Workspace string
	Prompt           int64
}

// keys returns the names of the groups: the route, the route's prompts of about the same size, and the workspace.
func (g Group) keys() [3]string {
	size := string(rune('a' + bits.Len64(uint64(max(0, g.Prompt)))))
	return [3]string{"r" + g.Route, "s" + size + g.Route, "w" + g.Workspace}
}

// Ended records whether a request was served.
func (m *Mix) Ended(g Group, ok bool) {
	m.all.record(ok)
	for _, k := range g.keys() {
		s := m.groups[k]
		if s == nil {
			if len(m.groups) >= maxGroups {
				// Groups that still send requests are known again after a few.
				clear(m.groups)
			}
			s = &served{}
			m.groups[k] = s
		}
		s.record(ok)
	}
}

// Owed reports whether a group of the request was served so much less than all requests that it goes before the others.
func (m *Mix) Owed(g Group) bool {
	for _, k := range g.keys() {
		if s := m.groups[k]; s != nil && s.seen >= groupSeen && s.share < owedShare*m.all.share {
			return true
		}
	}
	return false
}
