package placement

// Load rates free capacity: 1 for an idle engine, 0.5 for a full batch, falling towards 0 as the
// queue grows. It uses the corrected load of Engine.Load.
type Load struct{}

// Score implements Scorer.
func (Load) Score(_ *Request, c *Candidate) float64 {
	return 1 / (1 + float64(c.Engine.Load())/float64(c.Engine.spec.Capacity))
}
