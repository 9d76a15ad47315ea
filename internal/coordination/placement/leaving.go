package placement

// Leaving excludes engines that are being taken out of service. It takes effect as soon as this instance learns that
// an engine is leaving.
type Leaving struct{}

// Keep implements Filter.
func (Leaving) Keep(_ *Request, c *Candidate) bool { return !c.Engine.leaving && !c.Engine.selfLeaving }
