// Package rendezvous chooses members for a key so that all who know the same members choose alike, and a member that
// joins or leaves changes only its own keys.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the weight of the last of the parts, a member, for the key that the others make up.
func Score(parts ...string) uint64 {
	h := fnv.New64a()
	for i, p := range parts {
		// Write of a hash never fails, by its documentation.
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(p))
	}
	x := h.Sum64()
	// FNV mixes its last bytes badly; the finalizer of splitmix64 spreads them over all bits.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the items by falling score.
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

// Member is one that may be picked. Size is its capacity in any unit; members with the same size are alike.
type Member struct {
	Name string
	Size int
}

// largeShare is the part of the largest member's size from which a member counts as large. What is done for all others
// costs a member the same whatever its size, so the large ones are picked first.
const largeShare = 0.5

// Pick returns the names of at most n of the members: large ones first, and among those alike the ones with the highest
// scores for the key.
func Pick(key string, members []Member, n int) []string {
	largest := 0
	for _, m := range members {
		largest = max(largest, m.Size)
	}
	small := func(m Member) int {
		if float64(m.Size) < largeShare*float64(largest) {
			return 1
		}
		return 0
	}
	list := Rank(members, func(m Member) uint64 { return Score(key, m.Name) })
	slices.SortStableFunc(list, func(x, y Member) int { return cmp.Compare(small(x), small(y)) })
	out := make([]string, 0, n)
	for _, m := range list[:min(len(list), n)] {
		out = append(out, m.Name)
	}
	return out
}
