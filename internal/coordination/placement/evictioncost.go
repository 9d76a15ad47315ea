package placement

// EvictionCost rates how little an eviction costs: 1 for a free slot, falling towards 0 as the value
// of the adapter that would be evicted grows.
type EvictionCost struct{}

// valueScale is the victim value at which the score is 0.5, in seconds of loading per second. With
// loads of 0.25 s it corresponds to one request in 25 s.
const valueScale = 0.01

// Score implements Scorer.
func (EvictionCost) Score(_ *Request, c *Candidate) float64 {
	return 1 / (1 + c.VictimValue/valueScale)
}
