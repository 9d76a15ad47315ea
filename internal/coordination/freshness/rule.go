package freshness

import "time"

// Rule says by which configuration a request may be decided. It answers instances whose reads succeed but lag behind: a backlog that
// takes seconds to read, or reads that are held up on the way.
//
// Guarantee: while the reads of an instance succeed and can be decoded, no request is decided by a configuration that lacks what was
// appended more than Apply ago, and at no time is a route or key said not to exist by such a configuration.
type Rule struct {
	// Apply is the time within which a configuration must be in force; 0 means no bound.
	Apply time.Duration
	// Usual is the age up to which a configuration counts as current without such a bound.
	Usual time.Duration
}

// Decides reports whether a request may be decided by a configuration of the given age. Unavailable says that the last read failed,
// or that the newest configuration cannot be decoded: no instance could do better, so requests are served.
func (r Rule) Decides(age time.Duration, unavailable bool) bool {
	return r.Apply <= 0 || age <= r.Apply || unavailable
}

// MaxAge returns the age up to which a configuration counts as current: it may show that a route or key does not exist, and its
// instance is ready.
func (r Rule) MaxAge() time.Duration {
	if r.Apply <= 0 {
		return r.Usual
	}
	return min(r.Apply, r.Usual)
}

// ReadWait returns how long a read waits for a change, at most longest. A read that is not answered within timeout after its wait has
// failed before the configuration is older than Apply: the read that confirmed it was sent one wait earlier.
func (r Rule) ReadWait(longest, timeout time.Duration) time.Duration {
	if r.Apply <= 0 {
		return longest
	}
	return min(longest, (r.Apply-timeout)/2)
}
