// Package rendezvous assigns members to keys by rendezvous hashing: all who know the same members make the same choice,
// and a member that joins or leaves changes the choice only for its own keys.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the score of a member for a key, which is a hash of both. The last part is the member, and the parts
// before it are the key.
func Score(parts ...string) uint64 {
	h := fnv.New64a()
	for i, p := range parts {
		// Write of a hash never returns an error, by its documentation.
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(p))
	}
	x := h.Sum64()
	// FNV mixes its last bytes poorly. The finalizer of SplitMix64 spreads them over all bits.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the items in descending order of score.
func Rank[T any](items []T, score func(T) uint64) []T {
	type ranked struct {
		item  T
		score uint64
	}
	list := make([]ranked, 0, len(items))
	for _, i := range items {
		list = append(list, ranked{i, score(i)})
	}
	slices.SortStableFunc(list, func(x, y ranked) int { return cmp.Compare(y.score, x.score) })
	out := make([]T, 0, len(list))
	for _, r := range list {
		out = append(out, r.item)
	}
	return out
}

// Member is a candidate for Pick. Size is its capacity in any unit; among members of the same size only the score
// decides.
type Member struct {
	Name string
	Size int
}

// largeFraction is the fraction of the largest member's size from which a member counts as large. Work done on behalf
// of all others costs a member the same whatever its size, so large members are picked first.
const largeFraction = 0.5

// Pick returns the names of at most n of the members: large members first, and within each group those with the highest
// scores for the key.
func Pick(key string, members []Member, n int) []string {
	largest := 0
	for _, m := range members {
		largest = max(largest, m.Size)
	}
	group := func(m Member) int {
		if float64(m.Size) < largeFraction*float64(largest) {
			return 1
		}
		return 0
	}
	list := Rank(members, func(m Member) uint64 { return Score(key, m.Name) })
	slices.SortStableFunc(list, func(x, y Member) int { return cmp.Compare(group(x), group(y)) })
	out := make([]string, 0, n)
	for _, m := range list[:min(len(list), n)] {
		out = append(out, m.Name)
	}
	return out
}
