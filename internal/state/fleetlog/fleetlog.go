// Package fleetlog derives the state of the fleet from its stream in the log service. The stream holds heartbeats,
// which also report usage, and claims, which make an instance the owner of a worker.
//
// All folds that applied the same records agree on the owner of each worker. The fence of a claim is unique and
// increases, since it is derived from the record's offset.
package fleetlog

import (
	"slices"
	"strings"
	"time"
)

// Usage counts the requests that an instance sends to one worker for one adapter.
type Usage struct {
	Worker string `json:"w"`
	// Adapter is the model and the adapter, joined by a slash.
	Adapter string `json:"a"`
	// Count is the number of requests sent since the previous heartbeat.
	Count int `json:"n,omitempty"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"r,omitempty"`
}

// BrokenAttempt reports that an attempt of a request was cut off at a worker incarnation before its answer began.
type BrokenAttempt struct {
	// Request is a short form of the request's fingerprint, and PromptParts are the parts of its prompt that it may share
	// with others, in their order. Those that the instance saw answered lately are left out.
	Request     string   `json:"f,omitempty"`
	PromptParts []string `json:"p,omitempty"`
	// Worker identifies the worker incarnation.
	Worker string `json:"w"`
	// Crashed is true if the worker was found to be gone right after the attempt.
	Crashed bool `json:"c,omitempty"`
}

// CrashRefusal reports that requests are refused since they crash workers: those with a fingerprint, or those with a
// part of a prompt.
type CrashRefusal struct {
	Request    string `json:"f,omitempty"`
	PromptPart string `json:"p,omitempty"`
	// RemainingMS is the rest of the refusal in milliseconds when the heartbeat was sent.
	RemainingMS int64 `json:"ms"`
	// Number counts the refusals of the same requests from 1.
	Number int `json:"n"`
}

// WorkerLimit reports that a worker limits the requests that it takes from all instances.
type WorkerLimit struct {
	// Worker identifies the worker incarnation.
	Worker string `json:"w"`
	// Rate is in requests per second.
	Rate float64 `json:"r"`
	// AgeMS is the time in milliseconds from the answer that named the limit to the heartbeat.
	AgeMS int64 `json:"ms"`
}

// Heartbeat is the heartbeat of an instance.
type Heartbeat struct {
	// Number increases with each heartbeat of an incarnation, so that one that was appended late is recognised.
	Number int64 `json:"number"`
	// Address is the address on which the instance serves its peers.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// LeaseMS is how long, in milliseconds, this heartbeat permits its author to act as the owner of its workers.
	LeaseMS int64 `json:"lease_ms"`
	// MemoryMB is the instance's memory in megabytes and serves as a measure of its capacity.
	MemoryMB int     `json:"memory_mb,omitempty"`
	Usage    []Usage `json:"uses,omitempty"`
	// BrokenAttempts are the attempts that were cut off since the previous heartbeat.
	BrokenAttempts []BrokenAttempt `json:"broken,omitempty"`
	// CrashRefusals are the refusals in force.
	CrashRefusals []CrashRefusal `json:"refusals,omitempty"`
	// WorkerLimits are the limits that workers have named to the instance.
	WorkerLimits []WorkerLimit `json:"limits,omitempty"`
	// Resigned releases the incarnation's workers, so that other instances can claim them at once.
	Resigned bool `json:"resigned,omitempty"`
	// Leaving ends the membership of the incarnation.
	Leaving bool `json:"leaving,omitempty"`
}

// Claim makes its author the owner of workers.
type Claim struct {
	// Workers maps each claimed worker to the fence of the claim that is replaced, or 0 if there is none. A worker
	// is only assigned if that fence is still current, so that of two concurrent claims the first in the stream
	// wins, and a claim that is appended late has no effect.
	Workers map[string]int64 `json:"workers"`
}

// Record is one record of the stream.
type Record struct {
	// Instance is the name of the machine.
	Instance string `json:"instance"`
	// Incarnation identifies one run of the process on that machine.
	Incarnation string     `json:"incarnation"`
	Heartbeat   *Heartbeat `json:"beat,omitempty"`
	Claim       *Claim     `json:"claim,omitempty"`
}

// Member is one incarnation of an instance.
type Member struct {
	Instance    string
	Incarnation string
	Heartbeat   Heartbeat
	// LastHeard is when the latest heartbeat was read, by the monotonic clock of this process.
	LastHeard time.Duration
}

// Owner is the current owner of a worker.
type Owner struct {
	Incarnation string
	// Instance is the name of the owner's machine.
	Instance string
	// Fence is higher than that of every earlier claim.
	Fence int64
}

// Fold is the state of the fleet. It is not safe for concurrent use.
type Fold struct {
	members map[string]*Member
	owners  map[string]Owner
	// ended holds the incarnations that have ended, so that a late heartbeat does not add one again.
	ended map[string]bool
}

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{members: map[string]*Member{}, owners: map[string]Owner{}, ended: map[string]bool{}}
}

// Apply applies the record at the given offset, which was read at now, by the monotonic clock of this process. It
// returns the heartbeat if the record is one that is newer than those applied before.
func (f *Fold) Apply(offset int64, r Record, now time.Duration) *Heartbeat {
	if f.ended[r.Incarnation] {
		return nil
	}
	f.endPredecessors(r)
	switch {
	case r.Claim != nil:
		f.applyClaim(offset, r)
	case r.Heartbeat != nil:
		return f.applyHeartbeat(r, now)
	}
	return nil
}

// endPredecessors ends the earlier incarnations on the machine of an incarnation that is not a member yet.
func (f *Fold) endPredecessors(r Record) {
	if f.members[r.Incarnation] != nil {
		return
	}
	for id, m := range f.members {
		if m.Instance == r.Instance {
			f.end(id)
		}
	}
}

func (f *Fold) end(incarnation string) {
	delete(f.members, incarnation)
	f.ended[incarnation] = true
}

func (f *Fold) applyClaim(offset int64, r Record) {
	for worker, previous := range r.Claim.Workers {
		if f.owners[worker].Fence == previous {
			f.owners[worker] = Owner{Incarnation: r.Incarnation, Instance: r.Instance, Fence: offset + 1}
		}
	}
}

func (f *Fold) applyHeartbeat(r Record, now time.Duration) *Heartbeat {
	m := f.members[r.Incarnation]
	if m != nil && r.Heartbeat.Number <= m.Heartbeat.Number {
		return nil
	}
	if r.Heartbeat.Leaving {
		f.end(r.Incarnation)
		return r.Heartbeat
	}
	f.members[r.Incarnation] = &Member{Instance: r.Instance, Incarnation: r.Incarnation, Heartbeat: *r.Heartbeat, LastHeard: now}
	return r.Heartbeat
}

// Owner returns the owner of a worker, whether or not the owner is alive. The zero value means that there is none.
func (f *Fold) Owner(worker string) Owner { return f.owners[worker] }

// DropMissingWorkers removes the owners of workers that no longer exist. A worker that returns is claimed again.
func (f *Fold) DropMissingWorkers(exists func(worker string) bool) {
	for id := range f.owners {
		if !exists(id) {
			delete(f.owners, id)
		}
	}
}

// Member returns the member with the given incarnation unless it has ended.
func (f *Fold) Member(incarnation string) (Member, bool) {
	m := f.members[incarnation]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Lease returns the duration of the lease that the member's latest heartbeat gives.
func (m *Member) Lease() time.Duration { return time.Duration(m.Heartbeat.LeaseMS) * time.Millisecond }

// Live returns the members whose latest heartbeat is not older than maxSilence permits for their lease, sorted by
// incarnation.
func (f *Fold) Live(now time.Duration, maxSilence func(lease time.Duration) time.Duration) []Member {
	var live []Member
	for _, m := range f.members {
		if now-m.LastHeard <= maxSilence(m.Lease()) {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// Assignments maps each worker without a live owner to the incarnation that should claim it. Each such worker goes
// to the member with the fewest workers, so that all members that read the same records choose the same.
func (f *Fold) Assignments(workerIDs []string, now time.Duration, maxSilence func(lease time.Duration) time.Duration) map[string]string {
	live := f.Live(now, maxSilence)
	count := map[string]int{}
	alive := map[string]bool{}
	candidates := live[:0]
	for _, m := range live {
		if !m.Heartbeat.Resigned {
			alive[m.Incarnation] = true
			candidates = append(candidates, m)
		}
	}
	if live = candidates; len(live) == 0 {
		return nil
	}
	var free []string
	for _, id := range workerIDs {
		if o := f.owners[id]; alive[o.Incarnation] {
			count[o.Incarnation]++
		} else {
			free = append(free, id)
		}
	}
	slices.Sort(free)
	assigned := map[string]string{}
	for _, id := range free {
		best := live[0].Incarnation
		for _, m := range live[1:] {
			if count[m.Incarnation] < count[best] {
				best = m.Incarnation
			}
		}
		assigned[id] = best
		count[best]++
	}
	return assigned
}
