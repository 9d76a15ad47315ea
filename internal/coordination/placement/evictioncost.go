package placement

// EvictionCost scores an engine by the value of the adapter that a load would evict: 1 for a free slot, and closer
// to 0 the higher the value.
type EvictionCost struct{}

// halfScoreValue is the value of the victim, in seconds of loading per second, at which the score is 0.5. With
// loads of 0.25 s it corresponds to one request in 25 s.
const halfScoreValue = 0.01

// Score implements Scorer.
func (EvictionCost) Score(_ *Request, c *Candidate) float64 {
	return 1 / (1 + c.VictimValue/halfScoreValue)
}
