package residency

import "time"

// placedRequest is a request that has a place at the worker.
type placedRequest struct {
	adapter Adapter
	expires time.Duration
}

// PlaceGiven records that a request for an adapter has a place at the worker until PlaceEnded, or until it expires. The
// adapter is not evicted meanwhile.
//
// The owner of a worker thereby knows which adapters are in use without asking all instances before each eviction. It handles
// load of this kind: a fleet of a hundred instances in front of workers with few adapter slots, where each of the hundred
// evictions a second would cost a call to each instance.
func (o *Owner) PlaceGiven(place uint64, a Adapter, expires, now time.Duration) {
	if now-o.placedChecked >= placedCheckInterval {
		o.placedChecked = now
		o.dropExpiredPlaces(now)
	}
	o.placed[place] = placedRequest{a, expires}
	o.touch(a, now)
}

// PlaceEnded records the end of a request that had a place.
func (o *Owner) PlaceEnded(place uint64, now time.Duration) {
	if p, ok := o.placed[place]; ok {
		delete(o.placed, place)
		o.touch(p.adapter, now)
	}
}

// Placed returns the number of requests for an adapter that have a place.
func (o *Owner) Placed(a Adapter, now time.Duration) int {
	n := 0
	for _, p := range o.placed {
		if p.adapter == a && now < p.expires {
			n++
		}
	}
	return n
}

// placedCheckInterval is how often places are dropped whose end was not reported.
const placedCheckInterval = time.Second

func (o *Owner) dropExpiredPlaces(now time.Duration) {
	for place, p := range o.placed {
		if now >= p.expires {
			delete(o.placed, place)
		}
	}
}

// Absent reports whether requests for an adapter must not be sent to the worker: it does not hold the adapter in at least the
// version, or is about to unload it. It returns false while the worker's state is not known.
func (o *Owner) Absent(a Adapter, version int64) bool {
	if a.Name == "" || !o.synced {
		return false
	}
	_, holds := o.Holds(a, version)
	return !holds
}

// touch records a use of an adapter.
func (o *Owner) touch(a Adapter, now time.Duration) {
	if s := o.slots[a]; s != nil {
		s.lastUse = max(s.lastUse, now)
	}
}

// SetPlacesKnown sets whether nearly all requests for adapters have places, so that an adapter can be evicted soon after its last
// use. While all slots are in use, a longer hold delays loads.
func (o *Owner) SetPlacesKnown(known bool) { o.placesKnown = known }

// hold returns for how long after its last use an adapter is not evicted.
func (o *Owner) hold() time.Duration {
	if o.placesKnown {
		return placedHold
	}
	return evictionHold
}
