package replay

import (
	"container/heap"
	"math"
	"time"
)

// clairvoyantLoads is the least number of loads that serve the requests in order of arrival with all
// of the fleet's slots in one place: on a miss the adapter whose next use is furthest away is
// evicted (Belady's rule). Nothing is in use, no engine restarts and no load fails, so it is a lower
// bound for a policy that does not reorder requests.
func clairvoyantLoads(c Case, w *workload) int {
	next := make([]int, len(w.requests))
	seen := make([]int, c.Adapters)
	for a := range seen {
		seen[a] = math.MaxInt
	}
	for i := len(w.requests) - 1; i >= 0; i-- {
		a := w.requests[i].adapter
		next[i], seen[a] = seen[a], i
	}
	use := make(map[int]int, c.Engines*c.Slots) // resident adapter to its next use
	order := &nextUseHeap{}                     // may hold outdated entries
	loads := 0
	for i, r := range w.requests {
		if _, ok := use[r.adapter]; !ok {
			if r.at >= c.Warmup {
				loads++
			}
			if len(use) >= c.Engines*c.Slots {
				top := heap.Pop(order).(nextUse)
				for u, ok := use[top.adapter]; !ok || u != top.at; u, ok = use[top.adapter] {
					top = heap.Pop(order).(nextUse)
				}
				delete(use, top.adapter)
			}
		}
		use[r.adapter] = next[i]
		heap.Push(order, nextUse{r.adapter, next[i]})
	}
	return loads
}

// clairvoyant is the bound's row of the table: the loads above, and the waits of a single queue over
// all engines' batches that needs no loads.
func clairvoyant(c Case, w *workload) Result {
	free := make(durationHeap, c.Engines*c.Batch)
	heap.Init(&free)
	var waits []time.Duration
	for _, r := range w.requests {
		start := max(r.at, free[0])
		free[0] = start + r.service
		heap.Fix(&free, 0)
		if r.at >= c.Warmup {
			waits = append(waits, start-r.at)
		}
	}
	res := Result{Policy: "clairvoyant", Loads: clairvoyantLoads(c, w), Efficiency: 1, WorstShare: math.NaN(), Stalls: -1}
	res.Waits = percentiles(waits)
	return res
}

type durationHeap []time.Duration

func (d durationHeap) Len() int           { return len(d) }
func (d durationHeap) Less(i, j int) bool { return d[i] < d[j] }
func (d durationHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *durationHeap) Push(x any) { *d = append(*d, x.(time.Duration)) }

// Pop implements heap.Interface.
func (d *durationHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// nextUse is when an adapter is used next, as an index of requests.
type nextUse struct{ adapter, at int }

// nextUseHeap is a heap with the furthest next use first.
type nextUseHeap []nextUse

func (u nextUseHeap) Len() int           { return len(u) }
func (u nextUseHeap) Less(i, j int) bool { return u[i].at > u[j].at }
func (u nextUseHeap) Swap(i, j int)      { u[i], u[j] = u[j], u[i] }

// Push implements heap.Interface.
func (u *nextUseHeap) Push(x any) { *u = append(*u, x.(nextUse)) }

// Pop implements heap.Interface.
func (u *nextUseHeap) Pop() any {
	old := *u
	x := old[len(old)-1]
	*u = old[:len(old)-1]
	return x
}
