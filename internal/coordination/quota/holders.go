package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxHolders is how many instances hold parts of a workspace's rate. With fewer, the loss of one takes more of the rate
// until the others know; with more, a part is small beside one request, and the debts that the parts may be in add up.
const maxHolders = 8

// Holders returns the instances that hold equal parts of a workspace's rate, by rendezvous hashing: all if they are
// few. Callers' requests at other instances are charged to one of them.
func Holders(workspace string, instances []string) []string {
	type ranked struct {
		instance string
		score    uint64
	}
	list := make([]ranked, 0, len(instances))
	for _, instance := range instances {
		list = append(list, ranked{instance, score(workspace, instance)})
	}
	slices.SortFunc(list, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.instance, y.instance))
	})
	out := make([]string, 0, maxHolders)
	for _, r := range list[:min(len(list), maxHolders)] {
		out = append(out, r.instance)
	}
	return out
}

func score(workspace, instance string) uint64 {
	h := fnv.New64a()
	// Write of a hash never fails, by its documentation.
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	x := h.Sum64()
	// FNV mixes its last bytes badly; the finalizer of splitmix64 spreads them over all bits.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
