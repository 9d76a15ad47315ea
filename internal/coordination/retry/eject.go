package retry

import (
	"slices"
	"time"
)

// EjectorSettings control the ejection of failing backend servers. Zero fields take the defaults.
type EjectorSettings struct {
	// ConsecutiveFailures is the number of failures in a row after which a server is ejected. Default 5.
	ConsecutiveFailures int
	// InitialEjection is the length of the first ejection; each consecutive one is twice as long. Default 1 s.
	InitialEjection time.Duration
	// MaxEjection limits the length of an ejection. Default 60 s.
	MaxEjection time.Duration
	// BackoffResetAfter is how long a readmitted server must stay in service until its next ejection has
	// length InitialEjection again. Default 5 min.
	BackoffResetAfter time.Duration
}

func (s EjectorSettings) withDefaults() EjectorSettings {
	if s.ConsecutiveFailures <= 0 {
		s.ConsecutiveFailures = 5
	}
	if s.InitialEjection <= 0 {
		s.InitialEjection = time.Second
	}
	if s.MaxEjection <= 0 {
		s.MaxEjection = time.Minute
	}
	if s.BackoffResetAfter <= 0 {
		s.BackoffResetAfter = 5 * time.Minute
	}
	return s
}

// probeTimeout is how long the outcome of a probe is awaited. After it another probe is permitted, so that a
// server whose probe was never reported can still be readmitted.
const probeTimeout = 30 * time.Second

type server struct {
	name     string
	failures int
	// ejections counts consecutive ejections for the exponential back-off.
	ejections int
	ejected   bool
	// probeAfter is the earliest time of the next probe.
	probeAfter   time.Time
	probing      bool
	probeStarted time.Time
	readmittedAt time.Time
}

// Ejector tracks the backend servers of one model or one plain service. It never ejects more than half of
// them. A server remains ejected until a probe succeeds.
type Ejector struct {
	settings     EjectorSettings
	servers      map[string]*server
	ejectedCount int
}

// NewEjector returns an Ejector without servers.
func NewEjector(s EjectorSettings) *Ejector {
	return &Ejector{settings: s.withDefaults(), servers: map[string]*server{}}
}

// SetServers replaces the list of servers. If more than half of the remaining servers are ejected, those whose
// probe is due first are readmitted until the limit holds again.
func (e *Ejector) SetServers(names []string) {
	for name, s := range e.servers {
		if !slices.Contains(names, name) {
			if s.ejected {
				e.ejectedCount--
			}
			delete(e.servers, name)
		}
	}
	for _, name := range names {
		if e.servers[name] == nil {
			e.servers[name] = &server{name: name}
		}
	}
	for e.ejectedCount > len(e.servers)/2 {
		e.readmit(e.earliestProbe(), time.Time{})
	}
}

// earliestProbe returns the ejected server whose probe is due first.
func (e *Ejector) earliestProbe() *server {
	var first *server
	for _, s := range e.servers {
		if s.ejected && (first == nil || s.probeAfter.Before(first.probeAfter) ||
			s.probeAfter.Equal(first.probeAfter) && s.name < first.name) {
			first = s
		}
	}
	return first
}

// Usable reports whether a server is known and not ejected, so that it may receive ordinary requests.
func (e *Ejector) Usable(name string) bool {
	s := e.servers[name]
	return s != nil && !s.ejected
}

// TryProbe reports whether the caller may send a probe request to an ejected server now, and reserves it: only
// one probe is in flight per server. The caller reports its outcome with RecordResult.
func (e *Ejector) TryProbe(name string, now time.Time) bool {
	s := e.servers[name]
	if s == nil || !s.ejected || now.Before(s.probeAfter) {
		return false
	}
	if s.probing && now.Sub(s.probeStarted) < probeTimeout {
		return false
	}
	s.probing, s.probeStarted = true, now
	return true
}

// RecordResult records the outcome of an attempt that reached a server or failed to reach it. A deliberate refusal by
// the server, such as for a full queue, is not a failure.
func (e *Ejector) RecordResult(name string, ok bool, now time.Time) {
	s := e.servers[name]
	if s == nil {
		return
	}
	switch {
	case s.ejected && !s.probing:
		// The attempt began before the ejection, so its outcome is outdated.
	case s.ejected && ok:
		e.readmit(s, now)
	case s.ejected:
		e.startEjection(s, now)
	case ok:
		s.failures = 0
	default:
		s.failures++
		if s.failures >= e.settings.ConsecutiveFailures && e.ejectedCount+1 <= len(e.servers)/2 {
			e.eject(s, now)
		}
	}
}

func (e *Ejector) eject(s *server, now time.Time) {
	if !s.readmittedAt.IsZero() && now.Sub(s.readmittedAt) >= e.settings.BackoffResetAfter {
		s.ejections = 0
	}
	s.ejected = true
	e.ejectedCount++
	e.startEjection(s, now)
}

// startEjection starts an ejection, or the next one after a failed probe. Its length doubles with each consecutive one.
func (e *Ejector) startEjection(s *server, now time.Time) {
	length := e.settings.InitialEjection
	for range s.ejections {
		length = min(2*length, e.settings.MaxEjection)
		if length == e.settings.MaxEjection {
			break
		}
	}
	s.ejections++
	s.probing = false
	s.probeAfter = now.Add(length)
}

func (e *Ejector) readmit(s *server, now time.Time) {
	s.ejected, s.probing, s.failures, s.readmittedAt = false, false, 0, now
	e.ejectedCount--
}

// Ejected returns the names of the ejected servers, sorted.
func (e *Ejector) Ejected() []string {
	var names []string
	for name, s := range e.servers {
		if s.ejected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
