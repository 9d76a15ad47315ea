package replay

import "time"

// LoadCause is the reason why an adapter had to be loaded.
type LoadCause int

// Load causes in the order in which they are printed. The four Reused causes are loads after an eviction
// and differ in the time since the adapter was last used.
const (
	FirstUse LoadCause = iota
	ReusedWithin10s
	ReusedWithin1m
	ReusedWithin10m
	ReusedLater
	AfterRestart
	AdditionalReplica
	AfterFailure
	causeCount
)

var causeNames = [causeCount]string{
	"first use", "evicted, gap < 10 s", "gap < 1 min", "gap < 10 min", "longer gap", "restart", "copy", "failure",
}

// removal records why an adapter was last removed from an engine.
type removal struct {
	cause    LoadCause // ReusedLater for every eviction
	lastUsed time.Duration
}

// loadCause returns why adapter a needs a load now.
func (s *sim) loadCause(a int) LoadCause {
	for _, e := range s.engines {
		if e.slots[a] != nil {
			return AdditionalReplica
		}
	}
	last, ok := s.lastRemoval[a]
	switch gap := s.now - last.lastUsed; {
	case !ok:
		return FirstUse
	case last.cause != ReusedLater:
		return last.cause
	case gap < 10*time.Second:
		return ReusedWithin10s
	case gap < time.Minute:
		return ReusedWithin1m
	case gap < 10*time.Minute:
		return ReusedWithin10m
	}
	return ReusedLater
}
