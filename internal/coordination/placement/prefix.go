package placement

// Prefix scores an engine 1 if its cache events indicate that it holds the prefix of the prompt, and 0
// otherwise. Events can be late or lost, so this is only a scorer and not a filter.
type Prefix struct{}

// Score implements Scorer.
func (Prefix) Score(r *Request, c *Candidate) float64 {
	if r.Prefix != 0 && c.Engine.prefixes.contains(r.Adapter, r.Prefix) {
		return 1
	}
	return 0
}
