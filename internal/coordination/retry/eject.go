package retry

import (
	"slices"
	"time"
)

// EjectorSettings control the ejection of failing backend servers. Zero fields take the defaults.
type EjectorSettings struct {
	// Failures is how many failures in a row eject a server. Default 5.
	Failures int
	// First is the length of the first ejection; each further one doubles it. Default 1 s.
	First time.Duration
	// Longest bounds an ejection. Default 60 s.
	Longest time.Duration
	// Forgive is the time in service after which the next ejection starts at First again.
	// Default 5 min.
	Forgive time.Duration
}

func (s EjectorSettings) withDefaults() EjectorSettings {
	if s.Failures <= 0 {
		s.Failures = 5
	}
	if s.First <= 0 {
		s.First = time.Second
	}
	if s.Longest <= 0 {
		s.Longest = time.Minute
	}
	if s.Forgive <= 0 {
		s.Forgive = 5 * time.Minute
	}
	return s
}

// probeTimeout frees a probe whose outcome was never reported, so that the server can still return.
const probeTimeout = 30 * time.Second

type server struct {
	name     string
	failures int
	// ejections counts the ejections in a row, for the back-off.
	ejections int
	out       bool
	// until is when a probe is permitted.
	until   time.Time
	probing bool
	probe   time.Time
	back    time.Time
}

// Ejector tracks the backend servers of one model or one plain service. It never has more than half of
// them ejected; a server counts as ejected until a probe succeeds.
type Ejector struct {
	settings EjectorSettings
	servers  map[string]*server
	out      int
}

// NewEjector returns an Ejector without servers.
func NewEjector(s EjectorSettings) *Ejector {
	return &Ejector{settings: s.withDefaults(), servers: map[string]*server{}}
}

// SetServers replaces the list of servers. When so many leave that the ejected ones are more than half, those
// whose ejection ends first are taken back.
func (e *Ejector) SetServers(names []string) {
	for name, s := range e.servers {
		if !slices.Contains(names, name) {
			if s.out {
				e.out--
			}
			delete(e.servers, name)
		}
	}
	for _, name := range names {
		if e.servers[name] == nil {
			e.servers[name] = &server{name: name}
		}
	}
	for e.out > len(e.servers)/2 {
		e.takeBack(e.earliest(), time.Time{})
	}
}

func (e *Ejector) earliest() *server {
	var first *server
	for _, s := range e.servers {
		if s.out && (first == nil || s.until.Before(first.until) || s.until.Equal(first.until) && s.name < first.name) {
			first = s
		}
	}
	return first
}

// Usable reports whether a server may get ordinary work.
func (e *Ejector) Usable(name string) bool {
	s := e.servers[name]
	return s != nil && !s.out
}

// TryProbe reserves the one request that may test an ejected server, and reports whether there is one to
// send. Its outcome is reported with Result.
func (e *Ejector) TryProbe(name string, now time.Time) bool {
	s := e.servers[name]
	if s == nil || !s.out || now.Before(s.until) {
		return false
	}
	if s.probing && now.Sub(s.probe) < probeTimeout {
		return false
	}
	s.probing, s.probe = true, now
	return true
}

// RecordResult reports the outcome of an attempt that reached or tried to reach a server. A refusal that the
// server gives on purpose, such as a full queue, is no failure.
func (e *Ejector) RecordResult(name string, ok bool, now time.Time) {
	s := e.servers[name]
	if s == nil {
		return
	}
	switch {
	case s.out && !s.probing:
		// The outcome of an attempt from before the ejection says nothing new.
	case s.out && ok:
		e.takeBack(s, now)
	case s.out:
		e.extend(s, now)
	case ok:
		s.failures = 0
	default:
		s.failures++
		if s.failures >= e.settings.Failures && e.out+1 <= len(e.servers)/2 {
			e.eject(s, now)
		}
	}
}

func (e *Ejector) eject(s *server, now time.Time) {
	if !s.back.IsZero() && now.Sub(s.back) >= e.settings.Forgive {
		s.ejections = 0
	}
	s.out = true
	e.out++
	e.extend(s, now)
}

// extend starts the next, longer ejection.
func (e *Ejector) extend(s *server, now time.Time) {
	length := e.settings.First
	for range s.ejections {
		length = min(2*length, e.settings.Longest)
		if length == e.settings.Longest {
			break
		}
	}
	s.ejections++
	s.probing = false
	s.until = now.Add(length)
}

func (e *Ejector) takeBack(s *server, now time.Time) {
	s.out, s.probing, s.failures, s.back = false, false, 0, now
	e.out--
}

// Ejected returns the names of the ejected servers in order.
func (e *Ejector) Ejected() []string {
	var names []string
	for name, s := range e.servers {
		if s.out {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
