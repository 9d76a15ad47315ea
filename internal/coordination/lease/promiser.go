package lease

import "time"

// Promiser is the promising side: what a member has answered to others. It is not safe for concurrent use.
type Promiser struct {
	until   map[string]time.Duration
	refused map[string]bool
	ended   bool
}

// NewPromiser returns a record without promises.
func NewPromiser() *Promiser {
	return &Promiser{until: map[string]time.Duration{}, refused: map[string]bool{}}
}

// Answer decides whether to promise the incarnation that no withdrawal of it is known and that none
// will be acted on for Duration plus Margin. Active says that this instance's fold has it as a member.
// The caller must itself be registered and must have applied the log beyond its own join, so
// that a member that joins after a withdrawal never promises to the withdrawn one.
func (p *Promiser) Answer(now time.Duration, incarnation string, active bool) bool {
	if !active || p.ended || p.refused[incarnation] {
		return false
	}
	p.until[incarnation] = now + Duration + Margin
	return true
}

// Refuse records that the incarnation's membership is over, so that no promise to it follows.
func (p *Promiser) Refuse(incarnation string) { p.refused[incarnation] = true }

// RefuseAll ends all promising. A member calls it before it appends its own leave record, since those
// who settle shares take a member that left to have promised nothing since.
func (p *Promiser) RefuseAll() { p.ended = true }

// Lapsed reports whether End was called and every promise to the incarnation has run out.
func (p *Promiser) Lapsed(now time.Duration, incarnation string) bool {
	return p.refused[incarnation] && now >= p.until[incarnation]
}

// Forget drops what is kept about a settled incarnation.
func (p *Promiser) Forget(incarnation string) {
	delete(p.until, incarnation)
	delete(p.refused, incarnation)
}
