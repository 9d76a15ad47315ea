package placement

// Live keeps engines that have reported their current incarnation.
type Live struct{}

// Keep implements Filter.
func (Live) Keep(_ *Request, c *Candidate) bool { return c.Engine.incarnation != "" }
