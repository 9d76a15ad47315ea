package placement

import "math/rand/v2"

// MaxScore picks the candidate with the highest score. It breaks ties at random, so that instances with
// the same view of the fleet do not all choose the same engine.
type MaxScore struct{}

// Pick implements Picker.
func (MaxScore) Pick(c []Candidate, rnd *rand.Rand) int {
	best, ties := -1, 0
	for i := range c {
		switch {
		case best < 0 || c[i].Score > c[best].Score:
			best, ties = i, 1
		case c[i].Score == c[best].Score:
			ties++
			if rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
