package lease

import "time"

// Promiser keeps the promises that this instance gave to others. It is not safe for concurrent use.
type Promiser struct {
	until   map[string]time.Duration
	refused map[string]bool
	// refusesAll is set by RefuseAll.
	refusesAll bool
}

// NewPromiser returns a Promiser that has given no promises.
func NewPromiser() *Promiser {
	return &Promiser{until: map[string]time.Duration{}, refused: map[string]bool{}}
}

// Answer decides whether to promise the incarnation that no withdrawal of it is known here, and that none will be acted
// on for Duration plus Margin; active says whether the incarnation is a member according to the log as applied here.
// The caller must itself be registered and must have applied the log beyond its own join, so that a member that joins
// after a withdrawal never promises anything to the withdrawn incarnation.
func (p *Promiser) Answer(now time.Duration, incarnation string, active bool) bool {
	if !active || p.refusesAll || p.refused[incarnation] {
		return false
	}
	p.until[incarnation] = now + Duration + Margin
	return true
}

// Refuse refuses all further promises to an incarnation, because it is no longer a member.
func (p *Promiser) Refuse(incarnation string) { p.refused[incarnation] = true }

// RefuseAll refuses all further promises. A member calls it before it appends its own leave record, since the members
// that settle shares assume that a member has promised nothing since it left.
func (p *Promiser) RefuseAll() { p.refusesAll = true }

// Lapsed reports whether the incarnation is refused by Refuse and every promise to it has expired.
func (p *Promiser) Lapsed(now time.Duration, incarnation string) bool {
	return p.refused[incarnation] && now >= p.until[incarnation]
}

// Forget drops the state of a settled incarnation.
func (p *Promiser) Forget(incarnation string) {
	delete(p.until, incarnation)
	delete(p.refused, incarnation)
}
