package replay

import (
	"container/heap"
	"math"
	"time"
)

// clairvoyantLoads returns the minimum number of loads that serve the requests in order of arrival when
// all slots of the fleet form one cache: a miss evicts the adapter whose next use is furthest in the
// future (Belady's algorithm). No adapter is in use at an eviction, no engine restarts and no load
// fails, so the result is a lower bound for every policy that does not reorder requests.
func clairvoyantLoads(c Case, w *workload) int {
	next := make([]int, len(w.requests))
	later := make([]int, c.Adapters) // by adapter: index of its earliest request after i
	for a := range later {
		later[a] = math.MaxInt
	}
	for i := len(w.requests) - 1; i >= 0; i-- {
		a := w.requests[i].adapter
		next[i], later[a] = later[a], i
	}
	cached := make(map[int]int, c.Engines*c.Slots) // next use of each resident adapter
	order := &nextUseHeap{}                        // may contain stale entries
	loads := 0
	for i, r := range w.requests {
		if _, ok := cached[r.adapter]; !ok {
			if r.at >= c.Warmup {
				loads++
			}
			if len(cached) >= c.Engines*c.Slots {
				top := heap.Pop(order).(nextUse)
				for u, ok := cached[top.adapter]; !ok || u != top.index; u, ok = cached[top.adapter] {
					top = heap.Pop(order).(nextUse)
				}
				delete(cached, top.adapter)
			}
		}
		cached[r.adapter] = next[i]
		heap.Push(order, nextUse{r.adapter, next[i]})
	}
	return loads
}

// clairvoyant returns the table row of the bounds: clairvoyantLoads, and the waiting times of a single
// queue for the batches of all engines that needs no loads.
func clairvoyant(c Case, w *workload) Result {
	freeAt := make(durationHeap, c.Engines*c.Batch)
	heap.Init(&freeAt)
	var waits []time.Duration
	for _, r := range w.requests {
		start := max(r.at, freeAt[0])
		freeAt[0] = start + r.service
		heap.Fix(&freeAt, 0)
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

// nextUse is an adapter and the index of the next request for it.
type nextUse struct{ adapter, index int }

// nextUseHeap is a heap whose top is the furthest next use.
type nextUseHeap []nextUse

func (u nextUseHeap) Len() int           { return len(u) }
func (u nextUseHeap) Less(i, j int) bool { return u[i].index > u[j].index }
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
