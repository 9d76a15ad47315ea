package replay

import "time"

// Cause says why an adapter had to be loaded.
type Cause int

// The causes in the order of the table. The four kinds of reload after an eviction differ in the time
// since the adapter last served a request.
const (
	FirstUse Cause = iota
	ReusedWithin10s
	ReusedWithin1m
	ReusedWithin10m
	ReusedLater
	AfterRestart
	FurtherCopy
	AfterFailure
	causes
)

var causeNames = [causes]string{
	"first use", "evicted, gap < 10 s", "gap < 1 min", "gap < 10 min", "longer gap", "restart", "copy", "failure",
}

// departure is how an adapter last left an engine.
type departure struct {
	cause Cause // ReusedLater for any eviction
	used  time.Duration
}

// cause returns why an adapter is loaded now.
func (s *sim) cause(a int) Cause {
	for _, e := range s.engines {
		if e.slots[a] != nil {
			return FurtherCopy
		}
	}
	d, ok := s.departed[a]
	switch gap := s.now - d.used; {
	case !ok:
		return FirstUse
	case d.cause != ReusedLater:
		return d.cause
	case gap < 10*time.Second:
		return ReusedWithin10s
	case gap < time.Minute:
		return ReusedWithin1m
	case gap < 10*time.Minute:
		return ReusedWithin10m
	}
	return ReusedLater
}
