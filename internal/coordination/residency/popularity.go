// Package residency decides which adapters are resident at which workers. Instances that know the same workers and
// the same request counts make the same choice without communicating; only the owner of a worker sends it orders.
//
// No type here reads a clock, starts a goroutine or draws a random number, and none is safe for concurrent use.
package residency

import (
	"math"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// Adapter identifies an adapter of a model. An empty Name stands for the base model.
type Adapter struct {
	Model, Name string
}

// String returns the form used in messages between instances.
func (a Adapter) String() string { return a.Model + "/" + a.Name }

// RankWorkers returns the workers in the order of preference for holding the adapter, by rendezvous hashing: a worker
// that joins or leaves changes the placement of only its own adapters.
func RankWorkers(a Adapter, ready []*workers.Worker) []*workers.Worker {
	return rendezvous.Rank(ready, func(w *workers.Worker) uint64 { return rendezvous.Score(a.Model, a.Name, w.ID) })
}

const (
	// useTimeConstant is the time constant with which the use of an adapter decays. Popularity changes within seconds.
	useTimeConstant = 5 * time.Second
	// maxReplicaLoad is the fraction of a worker's mean load that one adapter may put on one worker before it gets
	// another replica.
	maxReplicaLoad = 0.5
	// minTrackedRate is the number of requests per second below which an adapter is no longer tracked.
	minTrackedRate = 1e-3
)

// decayingCounter is a counter that decays exponentially with useTimeConstant.
type decayingCounter struct {
	value   float64
	updated time.Duration
}

// at decays the counter to the given time and returns its value.
func (d *decayingCounter) at(now time.Duration) float64 {
	if elapsed := now - d.updated; elapsed > 0 {
		d.value *= math.Exp(-elapsed.Seconds() / useTimeConstant.Seconds())
		d.updated = now
	}
	return d.value
}

// Popularity is the decaying request rate of each adapter over the fleet.
type Popularity struct {
	uses  map[Adapter]*decayingCounter
	total decayingCounter
}

// NewPopularity returns a Popularity without requests.
func NewPopularity() *Popularity { return &Popularity{uses: map[Adapter]*decayingCounter{}} }

// Add counts n requests for an adapter.
func (p *Popularity) Add(a Adapter, n float64, now time.Duration) {
	d := p.uses[a]
	if d == nil {
		d = &decayingCounter{updated: now}
		p.uses[a] = d
	}
	d.at(now)
	d.value += n / useTimeConstant.Seconds()
	p.total.at(now)
	p.total.value += n / useTimeConstant.Seconds()
}

// Rate returns the requests per second for an adapter.
func (p *Popularity) Rate(a Adapter, now time.Duration) float64 {
	if d := p.uses[a]; d != nil {
		return d.at(now)
	}
	return 0
}

// Replicas returns at how many of n workers the adapter should be resident.
func (p *Popularity) Replicas(a Adapter, n int, now time.Duration) int {
	total := p.total.at(now)
	if n == 0 || total <= 0 {
		return min(1, n)
	}
	replicas := p.Rate(a, now) / total * float64(n) / maxReplicaLoad
	return max(1, min(n, int(math.Ceil(replicas))))
}

// Trim drops adapters that are no longer used.
func (p *Popularity) Trim(now time.Duration) {
	for a, d := range p.uses {
		if d.at(now) < minTrackedRate {
			delete(p.uses, a)
		}
	}
}
