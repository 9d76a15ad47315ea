// Package residency decides which workers hold which adapters. Instances that know the same workers and the
// same use choose alike without asking each other; the owner of a worker alone gives it orders.
//
// No type here reads a clock, starts a goroutine or draws a random number, and none is safe for concurrent
// use.
package residency

import (
	"math"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// Adapter names an adapter of a model. An empty Name stands for the base model.
type Adapter struct {
	Model, Name string
}

// String returns the form used in messages between instances.
func (a Adapter) String() string { return a.Model + "/" + a.Name }

// RankWorkers returns the workers in the order in which they should hold the adapter, by rendezvous hashing: a
// worker that joins or leaves moves only its own adapters.
func RankWorkers(a Adapter, ready []*workers.Worker) []*workers.Worker {
	return rendezvous.Rank(ready, func(w *workers.Worker) uint64 { return rendezvous.Score(a.Model, a.Name, w.ID) })
}

const (
	// useMemory is the time constant of the decayed use of an adapter. Popularity moves within seconds.
	useMemory = 5 * time.Second
	// copyLoad is the part of the mean load of a worker that one adapter may put on one worker before it is
	// held by a further one.
	copyLoad = 0.5
	// forgotten is the use per second below which an adapter's record is dropped.
	forgotten = 1e-3
)

type decayed struct {
	value float64
	last  time.Duration
}

func (d *decayed) at(now time.Duration) float64 {
	if passed := now - d.last; passed > 0 {
		d.value *= math.Exp(-passed.Seconds() / useMemory.Seconds())
		d.last = now
	}
	return d.value
}

// Popularity is the decayed use of each adapter over the fleet.
type Popularity struct {
	uses  map[Adapter]*decayed
	total decayed
}

// NewPopularity returns an empty record.
func NewPopularity() *Popularity { return &Popularity{uses: map[Adapter]*decayed{}} }

// Add counts requests for an adapter.
func (p *Popularity) Add(a Adapter, n float64, now time.Duration) {
	d := p.uses[a]
	if d == nil {
		d = &decayed{last: now}
		p.uses[a] = d
	}
	d.at(now)
	d.value += n / useMemory.Seconds()
	p.total.at(now)
	p.total.value += n / useMemory.Seconds()
}

// Rate returns the requests per second for an adapter.
func (p *Popularity) Rate(a Adapter, now time.Duration) float64 {
	if d := p.uses[a]; d != nil {
		return d.at(now)
	}
	return 0
}

// Replicas returns how many of n workers should hold the adapter.
func (p *Popularity) Replicas(a Adapter, n int, now time.Duration) int {
	total := p.total.at(now)
	if n == 0 || total <= 0 {
		return min(1, n)
	}
	share := p.Rate(a, now) / total * float64(n) / copyLoad
	return max(1, min(n, int(math.Ceil(share))))
}

// Trim drops adapters that are no longer used.
func (p *Popularity) Trim(now time.Duration) {
	for a, d := range p.uses {
		if d.at(now) < forgotten {
			delete(p.uses, a)
		}
	}
}
