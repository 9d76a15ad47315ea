package quota

import "time"

// tenureMargin is added to the longest lease of another instance before an instance meters requests to cold workers. It covers
// what that one has reserved ahead (MaxColdWait and ColdDelay), the time of an append and the difference between the rates of the
// clocks.
const tenureMargin = 2 * time.Second

// resignDelay is for how long after an instance has resigned its successor does not meter requests to cold workers. What the
// instance has reserved ahead is sent or void then.
const resignDelay = MaxColdWait + maxColdDelay

// CountsAsColdHolder reports whether an instance is among those of which one is the holder of a cold worker, given whether and when
// it was read to have resigned. One that has resigned still counts for a time, in which it does not meter, so that its successor
// does not permit requests on top of those that the instance has reserved ahead. It handles planned stops of instances while
// requests wait for cold workers.
func CountsAsColdHolder(resigned bool, at, now time.Duration) bool {
	return !resigned || now-at <= resignDelay
}

// Place is an instance's place among the live instances.
type Place struct{ Rank, Count int }

// Tenure says whether an instance may meter the requests to cold workers on behalf of all, and whether it knows its part of the
// requests that are sent without a meter. While the fleet changes, instances have different views of who meters; a tenure
// ensures that two of them never meter at once. It handles instances that join while others are cut off from the fleet's stream:
// an instance that is cut off stops within its lease, which is before others stop counting it as live, and one that joins, or
// was silent for longer than its lease, begins only when the leases have ended of all that may not have read its heartbeats.
type Tenure struct {
	held bool
	// since is when the unbroken series of heartbeats began, and last when the latest one was sent.
	since, last time.Duration
	lease       time.Duration
	era         int64
	place       Place
}

// Renewal is a heartbeat of this instance that is in the fleet's stream, which was then read to its end.
type Renewal struct {
	Sent, Lease time.Duration
	// Era is the era of the log service.
	Era int64
	// Place is the instance's place among those that may act.
	Place Place
}

// Renew applies a heartbeat.
func (t *Tenure) Renew(r Renewal, now time.Duration) {
	if !t.held || t.era != r.Era || r.Sent-t.last > t.lease {
		t.since = now
	}
	t.held, t.era, t.last, t.lease, t.place = true, r.Era, max(t.last, r.Sent), r.Lease, r.Place
}

// Break ends the tenure, since records of the fleet's stream are missing. The next heartbeat begins another.
func (t *Tenure) Break() { t.held = false }

// MayMeter reports whether the instance may meter requests to cold workers, given the shortest and the longest lease of the
// live instances.
func (t *Tenure) MayMeter(shortest, longest, now time.Duration) bool {
	return t.held && now-t.last <= min(shortest, t.lease) && now-t.since >= max(longest, t.lease)+tenureMargin
}

// Place returns the instance's place in the fleet. It returns false for one that has just started, and does not know all others,
// and for one that the others may no longer count.
func (t *Tenure) Place(now time.Duration) (Place, bool) {
	return t.place, t.held && t.place.Count > 0 && now-t.since >= minHeartbeatInterval && now-t.last <= 2*t.lease
}
