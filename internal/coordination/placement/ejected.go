package placement

// Ejected excludes engines that outlier detection has taken out of use for a time.
type Ejected struct{}

// Keep implements Filter.
func (Ejected) Keep(_ *Request, c *Candidate) bool { return !c.Engine.ejected }
