package stage

import (
	"sync"
	"time"
)

// ContactTime is the contactMs of the small deployment.
const ContactTime = 3 * time.Second

// maxLateRetries is the number of retries of a request that may reach workers later than ContactTime after its third crash.
const maxLateRetries = 3

// CrashLog records when a request that crashes workers reached them.
type CrashLog struct {
	// Harmless is set if the request crashes no worker.
	Harmless bool

	mu      sync.Mutex
	arrived []time.Time
}

// Arrive records that the request has reached a worker which begins to run it, and reports whether the worker crashes.
func (c *CrashLog) Arrive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, time.Now())
	return !c.Harmless
}

// Counts returns how often the request has reached workers, and how many of these arrivals were retries later than ContactTime
// after the third crash.
func (c *CrashLog) Counts() (arrived, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Harmless || len(c.arrived) < 3 {
		return len(c.arrived), 0
	}
	for _, at := range c.arrived {
		if at.Sub(c.arrived[2]) > ContactTime {
			late++
		}
	}
	return len(c.arrived), late
}

// Judge writes the counts to the record and returns the exit status by the rule BUDGET.
func (c *CrashLog) Judge(r *Record) int {
	arrived, late := c.Counts()
	r.Line("the request reached workers %d times; it crashed them: %t; retries later than %v after the third crash: %d", arrived, !c.Harmless, ContactTime, late)
	if late > maxLateRetries {
		r.Line("BUDGET broken")
		return RuleBroken
	}
	return RuleHeld
}

// Outcomes counts how the requests of the usual traffic ended.
type Outcomes struct {
	mu                      sync.Mutex
	Served, Refused, Failed int
}

// Add counts one request by the status of its answer, 0 if it had no whole answer.
func (o *Outcomes) Add(status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch status {
	case 200:
		o.Served++
	case 429, 503:
		o.Refused++
	default:
		o.Failed++
	}
}
