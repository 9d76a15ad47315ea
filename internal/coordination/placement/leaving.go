package placement

// Leaving excludes engines that are being taken out of service, from the moment this instance learns of it.
type Leaving struct{}

// Keep implements Filter.
func (Leaving) Keep(_ *Request, c *Candidate) bool { return !c.Engine.leaving && !c.Engine.selfLeaving }
