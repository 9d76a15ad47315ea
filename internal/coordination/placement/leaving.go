package placement

// Leaving excludes engines that are being taken out of use. They get no new work from the moment
// the notice arrives.
type Leaving struct{}

// Keep implements Filter.
func (Leaving) Keep(_ *Request, c *Candidate) bool { return !c.Engine.leaving && !c.Engine.selfLeaving }
