package drain

import (
	"math"
	"slices"
	"time"
)

const (
	// keptDurations is the number of durations that are kept for each route, and minDurations how many are needed to tell the
	// usual one.
	keptDurations = 64
	minDurations  = 8
	// usualShare is the share of requests that end within the usual duration.
	usualShare = 0.95
	// maxRoutes bounds the routes whose durations are kept.
	maxRoutes = 4096
)

// Durations holds how long the latest requests of each route took. It is not safe for concurrent use. The zero value is empty.
type Durations struct {
	routes map[string]*latest
}

// latest is a ring of the latest durations.
type latest struct {
	list []time.Duration
	next int
}

// Record adds the duration of a request that was served.
func (d *Durations) Record(route string, t time.Duration) {
	l := d.routes[route]
	if l == nil {
		if d.routes == nil || len(d.routes) == maxRoutes {
			d.routes = map[string]*latest{}
		}
		l = &latest{}
		d.routes[route] = l
	}
	if len(l.list) < keptDurations {
		l.list = append(l.list, t)
		return
	}
	l.list[l.next] = t
	l.next = (l.next + 1) % keptDurations
}

// Usual returns the time within which nearly all of the latest requests of a route ended, 0 if there were too few.
func (d *Durations) Usual(route string) time.Duration {
	l := d.routes[route]
	if l == nil || len(l.list) < minDurations {
		return 0
	}
	sorted := slices.Sorted(slices.Values(l.list))
	return sorted[int(math.Ceil(usualShare*float64(len(sorted))))-1]
}
