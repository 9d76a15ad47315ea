package fairqueue

import (
	"math"
	"time"
)

// shareRate returns the workspace's fair share of the service rate, in tokens per second, given the
// currently backlogged workspaces. It is 0 while the service rate is unknown.
func (q *Queue) shareRate(w *workspace) float64 {
	total := q.totalWeight
	if w.waiting == 0 {
		total += w.weight
	}
	return q.rate.tokensPerSecond * w.weight / total
}

// maxDelay returns the longest time by which a workspace's next dispatch may lag its fair share: the
// time to serve the running request, one request of each other backlogged workspace, and the tokens
// by which w is ahead of workspaces with a lower virtual time.
func (q *Queue) maxDelay(w *workspace) time.Duration {
	if q.rate.tokensPerSecond <= 0 {
		return 0
	}
	tokens := 0.0
	if len(q.running) > 0 {
		tokens = w.largestRequest
	}
	for _, o := range q.backlogged {
		if o != w {
			tokens += o.largestRequest + max(0, w.virtualTime-o.virtualTime)*o.weight
		}
	}
	return seconds(tokens / q.rate.tokensPerSecond)
}

// checkDeadlines rejects a request if, with the workspace's requests served in deadline order at its
// share of the service rate, the request would miss its own deadline or make a previously accepted
// request miss its deadline.
func (q *Queue) checkDeadlines(w *workspace, it *item, now time.Time) error {
	if it.latestDispatch.IsZero() {
		return nil
	}
	if it.latestDispatch.Before(now) {
		return rejection(statusServiceUnavailable, "deadline_unmet", "the deadline is too close", 0)
	}
	rate := q.shareRate(w)
	if rate <= 0 {
		return nil
	}
	start := now.Add(q.maxDelay(w))
	// The new request is dispatched after all requests with earlier deadlines. Its own service time
	// is already subtracted in latestDispatch.
	ahead := 0.0
	inserted := false
	for _, o := range w.byLatestDispatch {
		if !inserted && it.latestDispatch.Before(o.latestDispatch) {
			inserted = true
			if missesDeadline(it, ahead, rate, start) {
				return deadlineError(it, ahead, rate, start)
			}
		}
		if inserted && !missesDeadline(o, ahead, rate, start) && missesDeadline(o, ahead+it.Tokens, rate, start) {
			return deadlineError(o, ahead+it.Tokens, rate, start)
		}
		ahead += o.Tokens
	}
	if !inserted && missesDeadline(it, ahead, rate, start) {
		return deadlineError(it, ahead, rate, start)
	}
	return nil
}

// missesDeadline reports whether a request would be dispatched too late if the given number of tokens
// is served before it, beginning at start.
func missesDeadline(it *item, ahead, rate float64, start time.Time) bool {
	return start.Add(seconds(ahead / rate)).After(it.latestDispatch)
}

func deadlineError(it *item, ahead, rate float64, start time.Time) error {
	wait := start.Add(seconds(ahead / rate)).Sub(it.latestDispatch)
	return rejection(statusServiceUnavailable, "deadline_unmet",
		"the deadline cannot be met at the present rate of service", max(wait, time.Second))
}

// rateTolerance is the largest relative change of a workspace's rate that does not cause urgentAt to
// be recomputed.
const rateTolerance = 0.01

// urgent reports whether the workspace must switch to deadline order now: for some request, the latest
// dispatch time minus the time to serve the requests before it has passed.
func (q *Queue) urgent(w *workspace, now time.Time) bool {
	if len(w.byLatestDispatch) == 0 {
		return false
	}
	rate := q.shareRate(w)
	if w.urgentStale || w.urgentSizeVersion != q.sizeVersion || math.Abs(rate-w.urgentRate) > rateTolerance*w.urgentRate {
		w.urgentStale, w.urgentSizeVersion, w.urgentRate = false, q.sizeVersion, rate
		w.setUrgentAt(rate, q.maxDelay(w))
	}
	return !now.Before(w.urgentAt)
}

func (w *workspace) setUrgentAt(rate float64, delay time.Duration) {
	ahead := 0.0
	if rate > 0 {
		// One more request may be dispatched out of deadline order before urgentAt.
		ahead = w.largestRequest
	}
	for i, it := range w.byLatestDispatch {
		at := it.latestDispatch.Add(-delay)
		if rate > 0 {
			at = at.Add(-seconds(ahead / rate))
		}
		if i == 0 || at.Before(w.urgentAt) {
			w.urgentAt = at
		}
		ahead += it.Tokens
	}
}

// maxSeconds prevents overflow in conversions to time.Duration.
const maxSeconds = 365 * 24 * 3600

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// rateWindow is the time constant, in busy time, of the moving average of the service rate. It spans
// some tens of requests, so that one long request has little effect on the estimate.
const rateWindow = 20 * time.Second

// rateEstimate estimates the service rate: reserved tokens of completed requests per second of busy
// time. Idle time does not count. It counts reserved instead of used tokens because only the
// reservations of the waiting requests are known.
type rateEstimate struct {
	tokensPerSecond float64
	fixed           bool
	tokens          float64
	busy            time.Duration
	last            time.Time
}

// minBusyTime is the busy time required before the first estimate. An estimate from fewer samples
// would reject requests wrongly.
const minBusyTime = 2 * time.Second

// advanceTo accounts for the time since the last event; busy says whether requests ran during it.
func (e *rateEstimate) advanceTo(now time.Time, busy bool) {
	if busy && now.After(e.last) {
		d := now.Sub(e.last)
		decay := float64(rateWindow) / float64(rateWindow+d)
		e.tokens *= decay
		e.busy = time.Duration(float64(e.busy+d) * decay)
	}
	if now.After(e.last) {
		e.last = now
	}
}

func (e *rateEstimate) addCompleted(tokens float64) {
	e.tokens += tokens
	if !e.fixed && e.busy >= minBusyTime {
		e.tokensPerSecond = e.tokens / e.busy.Seconds()
	}
}

// SetServiceRate fixes the service rate of this instance, in tokens per second. Zero reverts to the
// estimate from completed requests.
func (q *Queue) SetServiceRate(tokensPerSecond float64) {
	q.rate.fixed = tokensPerSecond > 0
	q.rate.tokensPerSecond = tokensPerSecond
}

// ServiceRate returns the current service rate in tokens per second. Zero means that the rate is not
// known yet; until then no request is rejected for missing its deadline at this rate.
func (q *Queue) ServiceRate() float64 { return q.rate.tokensPerSecond }
