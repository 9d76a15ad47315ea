// Package reach decides whether an instance can be reached by the others, from the calls that they failed to make to it and
// from those that it received.
//
// It handles owners of workers whose heartbeats reach the log service while no other instance reaches them: their leases stay
// valid, so that without this decision nobody loads adapters at their workers.
package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minFailing is for how long after a failed call no call to an address must have succeeded before it is reported, so that a
	// call that is late on a busy machine is not. A second failed call is not required: an instance that cannot reach any relay
	// takes 8 to 10 s to come back to the first of them.
	minFailing = 2 * time.Second
	// failureTTL is how long after its last failed call an address is reported. Relays are tried every few seconds.
	failureTTL = 10 * time.Second
	// maxReported bounds the addresses in one report: it covers all relays and the owners of a deployment's workers in use.
	maxReported = 32
	// maxSilence is for how long an instance that others report must have received no call before it counts as cut off.
	maxSilence = 5 * time.Second
	// minReporters is the number of other instances that must report an instance: one alone may itself be cut off. In a large
	// fleet it is minReporterShare of the others. An instance reports only those that it calls, and with eight relays an eighth of
	// the fleet calls a certain one.
	minReporters     = 2
	minReporterShare = 0.1
)

// series is a series of failed calls without a successful one in between.
type series struct{ first, last time.Duration }

// Calls records the outcomes of an instance's calls to the others, by their addresses. It is not safe for concurrent use.
type Calls struct{ failing map[string]series }

// NewCalls returns an empty record.
func NewCalls() *Calls { return &Calls{failing: map[string]series{}} }

// Failed records a call that got no answer.
func (c *Calls) Failed(address string, now time.Duration) {
	s, ok := c.failing[address]
	if !ok || now-s.last > failureTTL {
		s.first = now
	}
	s.last = now
	c.failing[address] = s
}

// Reached records a call that was answered.
func (c *Calls) Reached(address string) { delete(c.failing, address) }

// Order sorts instances in place: first those whose latest call did not fail within failureTTL, in their previous order, then
// the others, the longer ago that was the earlier. Each is then tried in turn, while the same few would be tried again and again
// if only a short back-off followed a failure.
func Order[T any](c *Calls, list []T, address func(T) string, now time.Duration) {
	failure := func(x T) time.Duration {
		s, ok := c.failing[address(x)]
		if !ok || now-s.last > failureTTL {
			return -1
		}
		return s.last
	}
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(failure(a), failure(b)) })
}

// Unreachable returns the addresses to which a call failed at least minFailing ago and none has succeeded since, those that have
// failed for longest first, and drops outdated failures.
func (c *Calls) Unreachable(now time.Duration) []string {
	var out []string
	for address, s := range c.failing {
		switch {
		case now-s.last > failureTTL:
			delete(c.failing, address)
		case now-s.first >= minFailing:
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.failing[a].first, c.failing[b].first), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxReported)]
}

// CutOff reports whether an instance is cut off from the others: enough of them report it, and it has received no call for
// maxSilence. One that any other reaches is not cut off, so that a few instances whose own calls fail take no owner out of
// service.
func CutOff(reporters, others int, silence time.Duration) bool {
	return reporters >= minReporters && float64(reporters) >= minReporterShare*float64(others) && silence >= maxSilence
}
