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

// Pick returns at most n of the members, those with the highest scores for the key, the highest first.
func Pick(key string, members []string, n int) []string {
	type ranked struct {
		member string
		score  uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{m, Score(key, m)})
	}
	slices.SortFunc(list, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.member, y.member))
	})
	out := make([]string, 0, n)
	for _, r := range list[:min(len(list), n)] {
		out = append(out, r.member)
	}
	return out
}
