package placement

// FreeCapacity rates whether the engine's batch has a free place by the corrected load: 1 when it has, 0 when
// a request would queue. Its weight exceeds those of distance and prefix together, so that a full
// engine nearby is not preferred to one with room.
type FreeCapacity struct{}

// Score implements Scorer.
func (FreeCapacity) Score(_ *Request, c *Candidate) float64 {
	if c.Engine.Load() < c.Engine.spec.Capacity {
		return 1
	}
	return 0
}
