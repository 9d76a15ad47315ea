package placement

// Distance rates closeness: 1 for the deciding instance's own data centre, 0.5 for another one.
type Distance struct{}

// Score implements Scorer.
func (Distance) Score(r *Request, c *Candidate) float64 {
	if r.DataCentre == c.Engine.spec.DataCentre {
		return 1
	}
	return 0.5
}
