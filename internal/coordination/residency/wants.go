package residency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// activeWant is how long ago a want was renewed if somebody still waits for it.
	activeWant = 500 * time.Millisecond
	// wantLife is how long a wish for an adapter stands without being renewed and with nobody waiting.
	wantLife = 4 * time.Second
	// longestQueue is the expected wait from which an owner takes no further wants that are late already: the
	// request is better served by another worker, or told to come back.
	longestQueue = 800 * time.Millisecond
)

// want is an adapter that is to be made resident.
type want struct {
	adapter        Adapter
	version        int64
	since, renewed time.Duration
	// dues are, for each waiting request, when the adapter must be resident for the request to be on time.
	dues []time.Duration
}

// onTime counts the waiting requests that are on time if the load begins now, and returns the earliest of their
// times.
func (w *want) onTime(now, loadTime time.Duration) (n int, first time.Duration) {
	for _, due := range w.dues {
		if due < now+loadTime {
			continue
		}
		if n++; n == 1 || due < first {
			first = due
		}
	}
	return n, first
}

func (w *want) active(now time.Duration) bool { return len(w.dues) > 0 || now-w.renewed <= activeWant }

// rank is the place of a want in the order of loads: first those that serve the most requests on time, the most
// urgent first; then those for which requests wait that are late already. Loads are slow beside the target, so an
// order by age would make all requests late when there are more misses than loads.
type rank struct {
	onTime, waiting int
	active          bool
	first, since    time.Duration
}

func (w *want) rank(now, loadTime time.Duration) rank {
	n, first := w.onTime(now, loadTime)
	return rank{onTime: n, waiting: len(w.dues), active: w.active(now), first: first, since: w.since}
}

func compareRanks(x, y rank) int {
	switch {
	case x.onTime != y.onTime:
		return y.onTime - x.onTime
	case x.onTime > 0:
		return cmp.Compare(x.first, y.first)
	case x.active != y.active:
		if x.active {
			return -1
		}
		return 1
	case x.waiting != y.waiting:
		return y.waiting - x.waiting
	default:
		return cmp.Compare(x.since, y.since)
	}
}

// Want asks for an adapter in at least the version. Orders always name the version that they load: a repeated one
// without a version that is carried out late would replace the adapter once a newer version is declared.
func (o *Owner) Want(a Adapter, version int64, now time.Duration) {
	o.want(a, version, now)
}

func (o *Owner) want(a Adapter, version int64, now time.Duration) *want {
	version = max(version, firstVersion)
	if s := o.slots[a]; s != nil {
		s.lastUse = now
		s.retired = false
	}
	for _, w := range o.wants {
		if w.adapter == a {
			w.version, w.renewed = max(w.version, version), now
			return w
		}
	}
	w := &want{adapter: a, version: version, since: now, renewed: now}
	o.wants = append(o.wants, w)
	return w
}

// AddWaiter asks for an adapter on behalf of a request that is on time if the adapter is resident by due, until Leave.
func (o *Owner) AddWaiter(a Adapter, version int64, due, now time.Duration) {
	w := o.want(a, version, now)
	w.dues = append(w.dues, due)
}

// RemoveWaiter ends a Join with the same due.
func (o *Owner) RemoveWaiter(a Adapter, due time.Duration) {
	for _, w := range o.wants {
		if w.adapter != a {
			continue
		}
		if i := slices.Index(w.dues, due); i >= 0 {
			w.dues = slices.Delete(w.dues, i, i+1)
		}
	}
}

// Admits reports whether a request should wait here for the adapter: when it is on its way or wanted already; when it
// can be resident by due; or, for a request that is late wherever it goes, with a due of 0, when not too many are
// waited for.
func (o *Owner) Admits(a Adapter, version int64, due, now time.Duration) bool {
	if _, ok := o.Holds(a, version); ok || o.Wanted(a) {
		return true
	}
	onTime, active, loading := 0, 0, 0
	for _, w := range o.wants {
		if n, _ := w.onTime(now, o.loadTime); n > 0 {
			onTime++
		}
		if w.active(now) {
			active++
		}
	}
	for _, s := range o.slots {
		if s.state == Loading {
			loading++
		}
	}
	if due == 0 {
		return o.queueTime(active) <= longestQueue
	}
	queued := max(0, onTime+loading+1-o.transitLimit())
	return !o.blocked && now+o.queueTime(queued)+o.loadTime <= due
}

// queueTime returns how long the number of loads take, beside each other as far as allowed.
func (o *Owner) queueTime(loads int) time.Duration {
	return o.loadTime * time.Duration(loads) / time.Duration(o.transitLimit())
}

// Wanted reports whether the adapter is wanted or on its way.
func (o *Owner) Wanted(a Adapter) bool {
	s := o.slots[a]
	return s != nil && s.state == Loading || o.wanted(a)
}

func (o *Owner) wanted(a Adapter) bool {
	return slices.ContainsFunc(o.wants, func(w *want) bool { return w.adapter == a })
}

// pruneWants drops wants that are fulfilled or forgotten, and sorts the others.
func (o *Owner) pruneWants(now time.Duration) {
	o.wants = slices.DeleteFunc(o.wants, func(w *want) bool {
		// What waits for longer than a request would is a version to be loaded before it is due; the worker may have
		// dropped the adapter meanwhile.
		w.dues = slices.DeleteFunc(w.dues, func(due time.Duration) bool { return due > 0 && now-due > wantLife })
		s := o.slots[w.adapter]
		return len(w.dues) == 0 && now-w.renewed > wantLife || s != nil && s.state == Resident && s.version >= w.version
	})
	ranks := make(map[*want]rank, len(o.wants))
	for _, w := range o.wants {
		ranks[w] = w.rank(now, o.loadTime)
	}
	slices.SortStableFunc(o.wants, func(x, y *want) int { return compareRanks(ranks[x], ranks[y]) })
}
