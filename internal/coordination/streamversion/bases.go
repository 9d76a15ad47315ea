// Package streamversion decides on which software version of its workers a stream may go on, and what has to be recorded for that. It
// answers services in which workers of several software versions serve side by side, in any proportion and for any time, while
// instances and workers are lost. The base version of a service is the one on which streams begin without a record; the log has it.
//
// Guarantee: if an instance begins a resumable stream without a record, the base version of its service in the log is the version on
// which it began, and stays so for the life of the stream.
package streamversion

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// AbsenceMargin is how much longer than the life of a stream no worker of the base version must have been seen before another
	// version becomes the base. It covers instances that learn late that workers have left.
	AbsenceMargin = 10 * time.Second
	// settleTime is how long after workers of the base version have returned the base is read again before it counts. Others may
	// have replaced it before they learned of the return, in a call without an answer that takes effect seconds later.
	settleTime = 8 * time.Second
	// readInterval is the least time between two reads of the bases.
	readInterval = 2 * time.Second
)

// Step is what an instance does next about the base version of a service.
type Step int

// The steps.
const (
	// Nothing is to be done.
	Nothing Step = iota
	// Read the bases from the log.
	Read
	// Set the base to the version that Next returns, unless the log has changed since it was read.
	Set
)

// service is what is known of one service.
type service struct {
	// base is empty, and set false, if the log has none.
	base string
	set  bool
	// read is when the read that brought the base was sent, 0 before the first, and wanted the time from which a read must have been
	// sent for the base to count.
	read, wanted time.Duration
	// seen is when workers of each version were last seen, count how many there are, and observed is true once they were counted.
	seen     map[string]time.Duration
	count    map[string]int
	observed bool
	// sawBase is true if this instance has seen workers of the base version.
	sawBase bool
}

// Bases are the base versions of all services. It is not safe for concurrent use.
type Bases struct {
	services map[string]*service
	// asked is when the last read was sent, and known is true once one was answered.
	asked time.Duration
	known bool
}

// NewBases returns bases of which nothing is known.
func NewBases() *Bases { return &Bases{services: map[string]*service{}} }

func (b *Bases) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{seen: map[string]time.Duration{}}
		b.services[name] = s
	}
	return s
}

// ObserveWorkers records how many workers of each version each service has now, before requests are sent to them. If workers of a base
// version have returned, it may have been replaced meanwhile, and counts only once it was read again.
func (b *Bases) ObserveWorkers(counts map[string]map[string]int, now time.Duration) {
	for name := range counts {
		b.service(name)
	}
	for name, s := range b.services {
		s.observe(counts[name], now)
	}
}

// observe records how many workers of each version the service has.
func (s *service) observe(count map[string]int, now time.Duration) {
	if s.observed && s.set && s.count[s.base] == 0 && count[s.base] > 0 && (!s.sawBase || now-s.seen[s.base] > AbsenceMargin) {
		s.wanted = now + settleTime
	}
	for _, versions := range []map[string]int{s.count, count} {
		for version := range versions {
			s.seen[version] = now
		}
	}
	s.count, s.observed = count, true
	switch {
	case !s.set:
	case count[s.base] > 0:
		s.sawBase = true
	case s.seen[s.base] == 0:
		// They may have left just before this instance started.
		s.seen[s.base] = now
	}
}

// Reload makes the bases count only once they were read again. It is called after a time in which the instance did not learn of changes
// of the workers.
func (b *Bases) Reload(now time.Duration) {
	for _, s := range b.services {
		s.wanted = max(s.wanted, now)
	}
}

// ObserveBases records the bases that the log has, by service, from a read that was sent at a time.
func (b *Bases) ObserveBases(bases map[string]string, sent time.Duration) {
	b.known = true
	for name := range bases {
		b.service(name)
	}
	for name, s := range b.services {
		if base, ok := bases[name]; ok != s.set || base != s.base {
			s.base, s.set = base, ok
			s.sawBase = s.count[base] > 0
		}
		s.read = max(s.read, sent)
	}
}

// Known reports whether the bases were read.
func (b *Bases) Known() bool { return b.known }

// Asked records that a read of the bases is sent.
func (b *Bases) Asked(now time.Duration) { b.asked = now }

// Base returns the base version of a service. ok is false if none counts now.
func (b *Bases) Base(name string) (version string, ok bool) {
	s := b.services[name]
	if s == nil || !s.set || s.read == 0 || s.read < s.wanted {
		return "", false
	}
	return s.base, true
}

// Mixed reports whether workers of several versions of a service were seen within the life of a stream.
func (b *Bases) Mixed(name string, now, life time.Duration) bool {
	s := b.services[name]
	if s == nil {
		return false
	}
	n := 0
	for _, seen := range s.seen {
		if now-seen <= life {
			n++
		}
	}
	return n > 1
}

// Next returns what to do about the base of a service. Life is the longest life of a stream. MaySet says that this instance sets
// bases, and noneAlive that no stream is alive which began before the log had any base.
func (b *Bases) Next(name string, now, life time.Duration, maySet, noneAlive bool) (Step, string) {
	s := b.services[name]
	if s == nil || len(s.count) == 0 {
		return Nothing, ""
	}
	read := Nothing
	if now-b.asked >= readInterval || b.asked < s.wanted && s.wanted <= now {
		read = Read
	}
	switch {
	case s.read == 0 || s.read < s.wanted && s.wanted <= now:
		return read, ""
	case s.read < s.wanted:
		return Nothing, ""
	}
	absent := s.set && s.count[s.base] == 0 && now-s.seen[s.base] > life+AbsenceMargin
	switch {
	case s.set && !absent:
		return Nothing, ""
	case !s.set && !noneAlive || !maySet || now-s.read > readInterval:
		// Another instance may have set it.
		return read, ""
	default:
		return Set, s.mostWorkers()
	}
}

// mostWorkers returns the version with the most workers.
func (s *service) mostWorkers() string {
	versions := slices.SortedFunc(maps.Keys(s.count), func(x, y string) int {
		return cmp.Or(cmp.Compare(s.count[y], s.count[x]), cmp.Compare(y, x))
	})
	return versions[0]
}
