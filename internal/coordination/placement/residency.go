package placement

// Residency rates whether the adapter is resident: 1 when it is, 0 when it must be loaded first.
type Residency struct{}

// Score implements Scorer.
func (Residency) Score(_ *Request, c *Candidate) float64 {
	if c.Slot != nil && c.Slot.resident {
		return 1
	}
	return 0
}
