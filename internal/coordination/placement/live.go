package placement

// Live keeps engines that have sent at least one report.
type Live struct{}

// Keep implements Filter.
func (Live) Keep(_ *Request, c *Candidate) bool { return c.Engine.incarnation != "" }
