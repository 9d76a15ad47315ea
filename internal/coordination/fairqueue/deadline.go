package fairqueue

import (
	"math"
	"time"
)

// shareRate returns the tokens per second that fairness gives a workspace while the present
// workspaces are backlogged, or 0 while the service rate is unknown.
func (q *Queue) shareRate(w *workspace) float64 {
	total := q.totalWeight
	if w.waiting == 0 {
		total += w.weight
	}
	return q.rate.tokensPerSecond * w.weight / total
}

// maxDelay returns the longest time by which a workspace's next service may lag its share: one request of
// each other backlogged workspace and one that runs, and the service that others are due because the
// workspace is ahead of them.
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
			tokens += o.largestRequest + max(0, w.virtual-o.virtual)*o.weight
		}
	}
	return seconds(tokens / q.rate.tokensPerSecond)
}

// checkDeadlines refuses a request whose deadline cannot be met at the workspace's share of the service
// rate, in deadline order, or whose service would make one accepted earlier miss its deadline.
func (q *Queue) checkDeadlines(w *workspace, it *item, now time.Time) error {
	if it.latestDispatch.IsZero() {
		return nil
	}
	if it.latestDispatch.Before(now) {
		return refuse(statusServiceUnavailable, "deadline_unmet", "the deadline is too close", 0)
	}
	rate := q.shareRate(w)
	if rate <= 0 {
		return nil
	}
	first := now.Add(q.maxDelay(w))
	// The new request is dispatched once those with earlier deadlines are served; its own
	// service time is part of latest.
	ahead := 0.0
	placed := false
	for _, o := range w.byLatestDispatch {
		if !placed && it.latestDispatch.Before(o.latestDispatch) {
			placed = true
			if missesDeadline(it, ahead, rate, first) {
				return deadlineError(it, ahead, rate, first)
			}
		}
		if placed && !missesDeadline(o, ahead, rate, first) && missesDeadline(o, ahead+it.Tokens, rate, first) {
			return deadlineError(o, ahead+it.Tokens, rate, first)
		}
		ahead += o.Tokens
	}
	if !placed && missesDeadline(it, ahead, rate, first) {
		return deadlineError(it, ahead, rate, first)
	}
	return nil
}

// missesDeadline reports whether a request is too missesDeadline behind a number of tokens served from first on.
func missesDeadline(it *item, ahead, rate float64, first time.Time) bool {
	return first.Add(seconds(ahead / rate)).After(it.latestDispatch)
}

func deadlineError(it *item, ahead, rate float64, first time.Time) error {
	wait := first.Add(seconds(ahead / rate)).Sub(it.latestDispatch)
	return refuse(statusServiceUnavailable, "deadline_unmet",
		"the deadline cannot be met at the present rate of service", max(wait, time.Second))
}

// rateTolerance is the relative change of a workspace's rate that is ignored in urgentAt.
const rateTolerance = 0.01

// urgent reports whether requests must be taken in deadline order now: the earliest latest dispatch
// time, less the service that is due before it, is past.
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
		// One more request may be taken out of deadline order before urgentAt.
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

// maxSeconds keeps conversions to time.Duration from overflowing.
const maxSeconds = 365 * 24 * 3600

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// rateWindow is the busy time over which the service rate is averaged. It spans some tens of
// requests, so one long request does not move the estimate by much.
const rateWindow = 20 * time.Second

// rateEstimate measures reserved tokens settled per second of busy time. Idle time does not count.
// Reservations are the unit because the waiting requests are known by their reservations only.
type rateEstimate struct {
	tokensPerSecond float64
	fixed           bool
	tokens          float64
	busy            time.Duration
	last            time.Time
}

// minBusyTime is the busy time before the first estimate: fewer samples would refuse requests wrongly.
const minBusyTime = 2 * time.Second

// advanceTo accounts for the time since the last event, in which requests ran or none did.
func (e *rateEstimate) advanceTo(now time.Time, busy bool) {
	if busy && now.After(e.last) {
		d := now.Sub(e.last)
		keep := float64(rateWindow) / float64(rateWindow+d)
		e.tokens *= keep
		e.busy = time.Duration(float64(e.busy+d) * keep)
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

// SetServiceRate fixes the service rate of this instance in tokens per second; zero returns to the
// estimate from settled requests.
func (q *Queue) SetServiceRate(tokensPerSecond float64) {
	q.rate.fixed = tokensPerSecond > 0
	q.rate.tokensPerSecond = tokensPerSecond
}

// ServiceRate returns the service rate in use, in tokens per second; zero means that it is not known yet and
// no request is refused for its deadline.
func (q *Queue) ServiceRate() float64 { return q.rate.tokensPerSecond }
