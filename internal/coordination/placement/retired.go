package placement

// Retired excludes engines on which the adapter is about to be evicted. After it has answered Retire, the
// instance must not dispatch requests for the adapter there until Unretire.
type Retired struct{}

// Keep implements Filter.
func (Retired) Keep(_ *Request, c *Candidate) bool { return c.Slot == nil || !c.Slot.retired }
