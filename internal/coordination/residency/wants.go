package residency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// activeWindow is how long after its last renewal a want without waiting requests still counts as active.
	activeWindow = 500 * time.Millisecond
	// wantExpiry is how long after its last renewal a want without waiting requests is kept. A deadline is dropped the
	// same time after it has passed.
	wantExpiry = 4 * time.Second
	// maxQueueTime is the expected wait above which an owner admits no further requests that are late already:
	// another worker serves such a request sooner, or the caller should retry later.
	maxQueueTime = 800 * time.Millisecond
)

const (
	// MaxResponseReserve is the part of a request's target latency that is reserved for its response once its adapter is
	// resident: the time to the first event of most prompts on a worker under load.
	MaxResponseReserve = 250 * time.Millisecond
	// minResponseReserve is that part of a target latency so short that a load would not fit beside MaxResponseReserve.
	minResponseReserve = 100 * time.Millisecond
	// loadAllowance is how long a load may take at the weight store's usual speed, with a margin for its polls.
	loadAllowance = 350 * time.Millisecond
)

// ResponseReserve returns the part of a target latency that is reserved for the response once the adapter is resident.
//
// It handles demand for rare adapters with a target of half a second: with the whole reserve no load would ever be on time, so
// that each request would be declined by several owners before one loads its adapter.
func ResponseReserve(target time.Duration) time.Duration {
	return min(MaxResponseReserve, max(minResponseReserve, target-loadAllowance))
}

// want is an adapter that is to be made resident.
type want struct {
	adapter          Adapter
	version          int64
	created, renewed time.Duration
	// deadlines holds, for each waiting request, when the adapter must be resident for the request to be on time.
	deadlines []time.Duration
}

// onTime counts the waiting requests that are on time if the load starts now, and returns the earliest of their
// deadlines.
func (w *want) onTime(now, loadTime time.Duration) (n int, first time.Duration) {
	for _, deadline := range w.deadlines {
		if deadline < now+loadTime {
			continue
		}
		if n++; n == 1 || deadline < first {
			first = deadline
		}
	}
	return n, first
}

func (w *want) active(now time.Duration) bool {
	return len(w.deadlines) > 0 || now-w.renewed <= activeWindow
}

// rank is the sort key of a want in the order of loads: first the wants that serve the most requests on time, by
// earliest deadline among equals; then those whose waiting requests are all late. Loads take long compared with the
// latency target, so loading in order of age would make all requests late when there are more misses than loads.
type rank struct {
	onTime, waiting int
	active          bool
	first, created  time.Duration
}

func (w *want) rank(now, loadTime time.Duration) rank {
	n, first := w.onTime(now, loadTime)
	return rank{onTime: n, waiting: len(w.deadlines), active: w.active(now), first: first, created: w.created}
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
		return cmp.Compare(x.created, y.created)
	}
}

// Want asks for an adapter in at least the version. Orders always name the version that they load: a repeated order
// without a version that takes effect late would replace the adapter once a newer version is declared.
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
	w := &want{adapter: a, version: version, created: now, renewed: now}
	o.wants = append(o.wants, w)
	return w
}

// AddWaiter asks for an adapter on behalf of a request, until RemoveWaiter. The request is on time if the adapter is
// resident by the deadline.
func (o *Owner) AddWaiter(a Adapter, version int64, deadline, now time.Duration) {
	w := o.want(a, version, now)
	w.deadlines = append(w.deadlines, deadline)
}

// RemoveWaiter undoes an AddWaiter with the same deadline.
func (o *Owner) RemoveWaiter(a Adapter, deadline time.Duration) {
	for _, w := range o.wants {
		if w.adapter != a {
			continue
		}
		if i := slices.Index(w.deadlines, deadline); i >= 0 {
			w.deadlines = slices.Delete(w.deadlines, i, i+1)
		}
	}
}

// Admits reports whether a request should wait at this worker for the adapter. It should if the adapter is resident,
// loading or wanted already, or can be resident by the deadline. A request that is late at any worker has a deadline
// of 0 and is admitted while the expected wait is at most maxQueueTime.
func (o *Owner) Admits(a Adapter, version int64, deadline, now time.Duration) bool {
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
	if deadline == 0 {
		return o.queueTime(active) <= maxQueueTime
	}
	queued := max(0, onTime+loading+1-o.loadLimit())
	return !o.blocked && now+o.queueTime(queued)+o.loadTime <= deadline
}

// ReadyAt returns when the adapter is expected to be resident for a request that waits for it from now on.
func (o *Owner) ReadyAt(a Adapter, version int64, now time.Duration) time.Duration {
	if _, ok := o.Holds(a, version); ok {
		return now
	}
	if s := o.slots[a]; s != nil && s.state == Loading {
		return max(now, s.since+o.loadTime)
	}
	return now + o.loadTime
}

// queueTime returns how long the given number of loads take with as many in parallel as loadLimit allows.
func (o *Owner) queueTime(loads int) time.Duration {
	return o.loadTime * time.Duration(loads) / time.Duration(o.loadLimit())
}

// Wanted reports whether the adapter is wanted or loading.
func (o *Owner) Wanted(a Adapter) bool {
	s := o.slots[a]
	return s != nil && s.state == Loading || o.wanted(a)
}

func (o *Owner) wanted(a Adapter) bool {
	return slices.ContainsFunc(o.wants, func(w *want) bool { return w.adapter == a })
}

// pruneWants drops wants that are fulfilled or expired, and sorts the others by rank.
func (o *Owner) pruneWants(now time.Duration) {
	o.wants = slices.DeleteFunc(o.wants, func(w *want) bool {
		// No request waits this long after its deadline. Such a deadline was added to load a new version ahead of time;
		// nobody removes it, and the worker may have dropped the adapter since.
		w.deadlines = slices.DeleteFunc(w.deadlines, func(deadline time.Duration) bool {
			return deadline > 0 && now-deadline > wantExpiry
		})
		s := o.slots[w.adapter]
		return len(w.deadlines) == 0 && now-w.renewed > wantExpiry || s != nil && s.state == Resident && s.version >= w.version
	})
	ranks := make(map[*want]rank, len(o.wants))
	for _, w := range o.wants {
		ranks[w] = w.rank(now, o.loadTime)
	}
	slices.SortStableFunc(o.wants, func(x, y *want) int { return compareRanks(ranks[x], ranks[y]) })
}
