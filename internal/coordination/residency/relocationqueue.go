package residency

import "time"

// RelocationQueue holds the relocations that one instance has still to begin, which it begins one after the other. It handles
// evacuations in quick succession: the relocations of a later one, which are decided by all that are in force, replace those that
// are left of an earlier one, so that the loads of both together keep to the rate and the limit of one in flight.
type RelocationQueue struct {
	list    []Relocation
	begin   time.Duration
	running bool
}

// Replace puts relocations in place of those that are left, and reports whether the instance has to begin with them. Otherwise it
// goes on by Next.
func (q *RelocationQueue) Replace(list []Relocation, now time.Duration) (start bool) {
	q.list, q.begin = list, now
	if q.running || len(list) == 0 {
		return false
	}
	q.running = true
	return true
}

// Next returns the next relocation if it may begin now, or how long to wait before the next call. If ok is false, none is left, and
// the instance ends.
func (q *RelocationQueue) Next(now time.Duration) (r Relocation, wait time.Duration, ok bool) {
	if len(q.list) == 0 {
		q.running = false
		return Relocation{}, 0, false
	}
	if wait = q.list[0].Wait - (now - q.begin); wait > 0 {
		return Relocation{}, wait, true
	}
	r, q.list = q.list[0], q.list[1:]
	return r, 0, true
}

// Stop drops what is left.
func (q *RelocationQueue) Stop() { q.list, q.running = nil, false }
