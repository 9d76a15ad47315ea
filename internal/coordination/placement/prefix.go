package placement

// Prefix rates whether the engine is believed to hold the prompt's prefix: 1 when an event said so,
// 0 otherwise. Events come late and with gaps, so the score is a hint and excludes nobody.
type Prefix struct{}

// Score implements Scorer.
func (Prefix) Score(r *Request, c *Candidate) float64 {
	if r.Prefix != 0 && c.Engine.prefixes.has(r.Adapter, r.Prefix) {
		return 1
	}
	return 0
}
