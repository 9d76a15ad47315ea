package placement

// Distance scores an engine 1 in the data centre of the deciding instance and 0.5 in any other.
type Distance struct{}

// Score implements Scorer.
func (Distance) Score(r *Request, c *Candidate) float64 {
	if r.DataCentre == c.Engine.spec.DataCentre {
		return 1
	}
	return 0.5
}
