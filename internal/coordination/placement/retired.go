package placement

// Retired excludes an engine on which the adapter is about to be evicted: the instance has answered
// Retire and must dispatch nothing there until Unretire.
type Retired struct{}

// Keep implements Filter.
func (Retired) Keep(_ *Request, c *Candidate) bool { return c.Slot == nil || !c.Slot.retired }
