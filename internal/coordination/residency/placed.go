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
// The owner of a worker thereby knows which adapters are in use without asking all instances before each eviction. It answers
// load of this kind: a fleet of a hundred instances in front of workers with few adapter slots, where each of the hundred
// evictions a second would cost a call to each instance.
func (o *Owner) PlaceGiven(place uint64, a Adapter, expires, now time.Duration) {
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
	for place, p := range o.placed {
		switch {
		case now >= p.expires:
			delete(o.placed, place)
		case p.adapter == a:
			n++
		}
	}
	return n
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

// SetPlacesKnown sets whether all requests for adapters but few have places that name the adapter. An adapter can then be evicted
// soon after its last use: with as many adapters in use as there are slots, each moment of waiting is missing for a load.
func (o *Owner) SetPlacesKnown(known bool) { o.placesKnown = known }

// hold returns for how long after its last use an adapter is not evicted.
func (o *Owner) hold() time.Duration {
	if o.placesKnown {
		return placedHold
	}
	return evictionHold
}
