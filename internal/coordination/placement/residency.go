package placement

// Residency scores an engine 1 if the adapter is resident on it, and 0 if it must be loaded first.
type Residency struct{}

// Score implements Scorer.
func (Residency) Score(_ *Request, c *Candidate) float64 {
	if c.Slot != nil && c.Slot.resident {
		return 1
	}
	return 0
}
