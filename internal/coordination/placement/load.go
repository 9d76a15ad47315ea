package placement

// Load scores an engine by the load that Engine.Load estimates: 1 when idle, 0.5 when the batch is full,
// and closer to 0 the longer the queue.
type Load struct{}

// Score implements Scorer.
func (Load) Score(_ *Request, c *Candidate) float64 {
	return 1 / (1 + float64(c.Engine.Load())/float64(c.Engine.spec.Capacity))
}
