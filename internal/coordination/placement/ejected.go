package placement

// Ejected excludes engines that outlier detection has temporarily removed from service.
type Ejected struct{}

// Keep implements Filter.
func (Ejected) Keep(_ *Request, c *Candidate) bool { return !c.Engine.ejected }
