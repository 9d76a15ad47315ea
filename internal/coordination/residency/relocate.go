package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// relocationShare is the part of the weight store's rate of loads that relocations of adapters use. The rest is for the loads
// that requests wait for, of which an evacuation causes many.
const relocationShare = 0.5

// maxRelocationWait bounds the time over which loads are spread. What is requested later differs from what was requested at the
// evacuation, and what is requested often enough has been loaded for a request by then.
const maxRelocationWait = 30 * time.Second

// Relocation is an adapter that is to be loaded at a worker because it was resident only in evacuated data centres.
type Relocation struct {
	Adapter Adapter
	Worker  *workers.Worker
	// Wait is when the load may begin, counted from the evacuation.
	Wait time.Duration
}

// RelocationInput is what the relocations of the adapters of one service are decided by.
type RelocationInput struct {
	// Evacuated are the service's workers in evacuated data centres, and Remaining its other ones that take requests.
	Evacuated, Remaining []*workers.Worker
	// Slots is the number of adapter slots of a worker.
	Slots int
	// LoadsPerSecond is the rate of loads that the weight store permits to all workers together; 0 means that it is unlimited.
	LoadsPerSecond float64
}

// room is how many more adapters a worker can hold, and how often those that it holds are requested.
type room struct {
	free  int
	rates []float64
}

// take makes room for an adapter that is requested at a rate: in a free slot, or in that of an adapter that is requested less.
func (r *room) take(rate float64) bool {
	if r.free > 0 {
		r.free--
		r.rates = append(r.rates, rate)
		return true
	}
	if len(r.rates) == 0 {
		return false
	}
	i := slices.Index(r.rates, slices.Min(r.rates))
	if r.rates[i] >= rate {
		return false
	}
	r.rates[i] = rate
	return true
}

// Relocations returns the adapters that are requested and resident only at evacuated workers, the most requested first, each with
// the worker that is to load it: the first in the adapter's order of workers that has room for it. The loads are spread over time,
// so that those of the whole fleet stay within the rate of the weight store. Instances that know the same make the same choice;
// the owner of each worker carries out its part.
func (v *View) Relocations(in RelocationInput, p *Popularity, now time.Duration) []Relocation {
	rooms := map[workers.Key]*room{}
	resident := map[Adapter]bool{}
	for _, w := range in.Remaining {
		r := &room{free: in.Slots}
		for _, a := range v.adapters(w.Key()) {
			resident[a] = true
			r.free--
			r.rates = append(r.rates, p.Rate(a, now))
		}
		rooms[w.Key()] = r
	}
	var list []Relocation
	for _, a := range v.requestedOnlyAt(in.Evacuated, resident, p, now) {
		seconds := 0.0
		if in.LoadsPerSecond > 0 {
			seconds = float64(len(list)) / (in.LoadsPerSecond * relocationShare)
		}
		if seconds > maxRelocationWait.Seconds() {
			break
		}
		for _, w := range RankWorkers(a, in.Remaining) {
			if !v.Holds(w.Key(), Adapter{Model: a.Model}, 0) || !rooms[w.Key()].take(p.Rate(a, now)) {
				continue
			}
			list = append(list, Relocation{Adapter: a, Worker: w, Wait: time.Duration(seconds * float64(time.Second))})
			break
		}
	}
	return list
}

// requestedOnlyAt returns the adapters that are resident at some of the given workers, not resident elsewhere, and requested, the most
// requested first.
func (v *View) requestedOnlyAt(list []*workers.Worker, elsewhere map[Adapter]bool, p *Popularity, now time.Duration) []Adapter {
	var out []Adapter
	seen := map[Adapter]bool{}
	for _, w := range list {
		for _, a := range v.adapters(w.Key()) {
			if !elsewhere[a] && !seen[a] && p.Rate(a, now) >= minTrackedRate {
				seen[a] = true
				out = append(out, a)
			}
		}
	}
	slices.SortFunc(out, func(x, y Adapter) int {
		return cmp.Or(cmp.Compare(p.Rate(y, now), p.Rate(x, now)), cmp.Compare(x.String(), y.String()))
	})
	return out
}

// adapters returns the adapters that were last seen resident at a worker, without its base model.
func (v *View) adapters(k workers.Key) []Adapter {
	held := v.workers[k]
	if held == nil {
		return nil
	}
	var out []Adapter
	for a, o := range held.adapters {
		if o.present && a.Name != "" {
			out = append(out, a)
		}
	}
	return out
}
