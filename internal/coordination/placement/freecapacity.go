package placement

// FreeCapacity scores an engine 1 if its batch has free capacity according to Engine.Load, and 0 if a request
// would queue. Its weight exceeds those of Distance and Prefix together, so that a full engine nearby is not
// preferred to a more distant one with free capacity.
type FreeCapacity struct{}

// Score implements Scorer.
func (FreeCapacity) Score(_ *Request, c *Candidate) float64 {
	if c.Engine.Load() < c.Engine.spec.Capacity {
		return 1
	}
	return 0
}
