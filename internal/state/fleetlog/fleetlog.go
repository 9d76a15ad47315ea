// Package fleetlog folds the fleet's own stream of the log service: heartbeats, which tell of use,
// and claims, which make an instance the owner of a worker.
//
// Guarantees: all folds that applied the same records agree on the owner of each worker, and the fence of a
// claim is unique and rises, since it is derived from the record's offset.
package fleetlog

import (
	"slices"
	"strings"
	"time"
)

// Usage tells of the requests of an instance at a worker for an adapter.
type Usage struct {
	Worker string `json:"w"`
	// Adapter is the model and the adapter, joined by a slash.
	Adapter string `json:"a"`
	// Count is how many were sent since the heartbeat before.
	Count int `json:"n,omitempty"`
	// Running is how many are under way.
	Running int `json:"r,omitempty"`
}

// BrokenAttempt tells that a run of a request broke off at a worker incarnation.
type BrokenAttempt struct {
	// Request is a short form of the request's fingerprint.
	Request string `json:"f"`
	// Worker names the incarnation.
	Worker string `json:"w"`
	// Crashed says that the worker was seen to be gone right after.
	Crashed bool `json:"c,omitempty"`
}

// Heartbeat is the heartbeat of an instance.
type Heartbeat struct {
	// Number rises with each beat of an incarnation, so that a beat that was appended late is recognised.
	Number int64 `json:"number"`
	// Address is where the instance answers its peers.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// LeaseMS is how long, in milliseconds, the author may act as the owner of its workers on this beat.
	LeaseMS int64 `json:"lease_ms"`
	// MemoryMB is the instance's memory in megabytes, as a measure of its size.
	MemoryMB int     `json:"memory_mb,omitempty"`
	Usage    []Usage `json:"uses,omitempty"`
	// BrokenAttempts are runs of requests that broke off since the beat before.
	BrokenAttempts []BrokenAttempt `json:"broken,omitempty"`
	// Resigned gives up the incarnation's workers, which others then claim at once.
	Resigned bool `json:"resigned,omitempty"`
	// Leaving ends the membership of the incarnation.
	Leaving bool `json:"leaving,omitempty"`
}

// Claim makes its author the owner of workers.
type Claim struct {
	// Workers holds, for each worker claimed, the fence of the claim that is replaced, 0 if there is none. The
	// part of a claim about a worker counts only if that fence is still current, so that of two racing claims
	// the first in the stream wins, and a claim that is appended late does no harm.
	Workers map[string]int64 `json:"workers"`
}

// Record is one record of the stream.
type Record struct {
	// Instance is the name of the machine and Incarnation that of one run of its process.
	Instance    string     `json:"instance"`
	Incarnation string     `json:"incarnation"`
	Heartbeat   *Heartbeat `json:"beat,omitempty"`
	Claim       *Claim     `json:"claim,omitempty"`
}

// Member is one incarnation of an instance.
type Member struct {
	Instance    string
	Incarnation string
	Heartbeat   Heartbeat
	// LastHeard is when this process read the latest beat.
	LastHeard time.Duration
}

// Owner is the current owner of a worker.
type Owner struct {
	Incarnation string
	// Instance is the owner's machine.
	Instance string
	// Fence is higher than that of every earlier claim.
	Fence int64
}

// Fold is the state of the fleet. It is not safe for concurrent use.
type Fold struct {
	members map[string]*Member
	owners  map[string]Owner
	// left holds incarnations that ended, so that a late beat does not bring one back.
	left map[string]bool
}

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{members: map[string]*Member{}, owners: map[string]Owner{}, left: map[string]bool{}}
}

// Apply applies the record at the offset, read at the process time now. It returns the beat if the record is
// a new one.
func (f *Fold) Apply(offset int64, r Record, now time.Duration) *Heartbeat {
	if f.left[r.Incarnation] {
		return nil
	}
	f.replaceEarlier(r)
	switch {
	case r.Claim != nil:
		f.claim(offset, r)
	case r.Heartbeat != nil:
		return f.beat(r, now)
	}
	return nil
}

// replaceEarlier ends the incarnation that ran before on the machine of a new one.
func (f *Fold) replaceEarlier(r Record) {
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
	f.left[incarnation] = true
}

func (f *Fold) claim(offset int64, r Record) {
	for worker, previous := range r.Claim.Workers {
		if f.owners[worker].Fence == previous {
			f.owners[worker] = Owner{Incarnation: r.Incarnation, Instance: r.Instance, Fence: offset + 1}
		}
	}
}

func (f *Fold) beat(r Record, now time.Duration) *Heartbeat {
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

// Owner returns the owner of a worker, whether or not it is alive. The zero value means none.
func (f *Fold) Owner(worker string) Owner { return f.owners[worker] }

// DropMissingWorkers drops the owners of workers that exist no more. A worker that comes back is claimed anew.
func (f *Fold) DropMissingWorkers(exists func(worker string) bool) {
	for id := range f.owners {
		if !exists(id) {
			delete(f.owners, id)
		}
	}
}

// Member returns an incarnation that has not ended.
func (f *Fold) Member(incarnation string) (Member, bool) {
	m := f.members[incarnation]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Lease returns how long the member's latest beat holds.
func (m *Member) Lease() time.Duration { return time.Duration(m.Heartbeat.LeaseMS) * time.Millisecond }

// Live returns the members that were heard within the silence that their lease permits, sorted by incarnation.
func (f *Fold) Live(now time.Duration, silence func(lease time.Duration) time.Duration) []Member {
	var live []Member
	for _, m := range f.members {
		if now-m.LastHeard <= silence(m.Lease()) {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// Assignments returns which of the unowned workers each live member should claim: each goes to the member
// with the fewest workers, so that all members that read the same records choose alike.
func (f *Fold) Assignments(workerIDs []string, now time.Duration, silence func(lease time.Duration) time.Duration) map[string]string {
	live := f.Live(now, silence)
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
