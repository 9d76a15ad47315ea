// Package fleetlog derives the state of the fleet from its stream in the log service. The stream holds heartbeats,
// which also report usage, and claims, which make an instance the owner of a worker.
//
// All folds that applied the same records agree on the owner of each worker. The log service may lose the newest records
// in a restore from an older copy and begin a new era; a Follower then reads the stream anew.
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
	// New is set until one of the incarnation's heartbeats was acknowledged.
	New bool `json:"new,omitempty"`
	// Address is the address on which the instance serves its peers.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Era is the era of the log service in which the author reads the stream, and EraAgeMS for how many milliseconds at
	// least the era has lasted.
	Era      int64 `json:"era,omitempty"`
	EraAgeMS int64 `json:"era_age_ms,omitempty"`
	// StartAt is an offset of the era from which an instance that starts may read the stream: every owner that may act has
	// restated its workers since. It is 0 if the author knows none.
	StartAt int64 `json:"start_at,omitempty"`
	// Paused means that the author claims no workers for now, since it cannot know all owners.
	Paused bool `json:"paused,omitempty"`
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
	// Owned maps the workers for which the author acts to the fences of its claims. It makes the claims known again that
	// are no longer in the stream. It is nil in heartbeats that do not say for which workers their author acts.
	Owned map[string]int64 `json:"owned"`
	// Unreachable are the addresses of the instances that the author has failed to reach for some time.
	Unreachable []string `json:"unreachable,omitempty"`
	// Resigned releases the incarnation's workers, so that other instances can claim them at once.
	Resigned bool `json:"resigned,omitempty"`
	// Leaving ends the membership of the incarnation.
	Leaving bool `json:"leaving,omitempty"`
}

// Claim makes its author the owner of workers.
type Claim struct {
	// Era is the era of the log service in which the author read the stream before the claim. The claim may be stored in a
	// later one, but never in an earlier one.
	Era int64 `json:"era,omitempty"`
	// Next is the offset up to which the author has read the stream. A worker is only assigned if no record from there on
	// made or restated an owner of it, so that of two concurrent claims the first in the stream wins, and a claim that is
	// appended late does not replace an owner that its author did not know.
	Next int64 `json:"next,omitempty"`
	// Workers maps each claimed worker to the fence of the claim that is replaced, or 0 if there is none. If Next is 0, a
	// worker is only assigned if that fence is still current.
	Workers map[string]int64 `json:"workers"`
}

const (
	// offsetBits is the number of bits of a fence that hold the offset of the claim and 1; the bits above hold the era.
	offsetBits = 36
	// fenceBits is the number of bits of a fence. Such numbers are exact in decoders that read numbers as floating point.
	fenceBits = 53
)

// Fence returns the fence of the claim at an offset whose author had read the stream in the given era. It is higher than
// that of every claim from an earlier era and than that of every earlier claim from the same era.
func Fence(era, offset int64) int64 { return era<<offsetBits | (offset + 1) }

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
	// ResignedAt is when the first heartbeat was read that says that the incarnation has resigned.
	ResignedAt time.Duration
}

// Owner is the current owner of a worker.
type Owner struct {
	Incarnation string
	// Instance is the name of the owner's machine.
	Instance string
	// Fence is higher than that of every earlier owner.
	Fence int64
}

// ownership is an owner, the offset of the last record that made or restated it, and when that record was read.
type ownership struct {
	Owner
	stated   int64
	statedAt time.Duration
}

// Fold is the state of the fleet. The owners depend only on the records of the stream, so that all folds which read the
// same records agree on them. It is not safe for concurrent use.
type Fold struct {
	members map[string]*Member
	owners  map[string]ownership
	// ended holds the incarnations that have ended, so that a late heartbeat does not add one again.
	ended map[string]bool
	// gapless is the offset from which the records were applied without a gap.
	gapless int64
	// unjudged is when a claim of a worker was last read that this fold cannot judge, by worker.
	unjudged map[string]time.Duration
	// rereading is set while records are read that may have been applied before.
	rereading bool
	// self is the incarnation that runs this fold, empty if none does.
	self string
	// pause is for how long after its last statement an owner that is not a member may act.
	pause time.Duration
}

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{members: map[string]*Member{}, owners: map[string]ownership{}, ended: map[string]bool{}, unjudged: map[string]time.Duration{}}
}

// Apply applies the record at the given offset, which was read at now, by the monotonic clock of this process. It
// returns the heartbeat if the record is one that is newer than those applied before.
func (f *Fold) Apply(offset int64, r Record, now time.Duration) *Heartbeat {
	switch {
	case r.Claim != nil:
		f.applyClaim(offset, r, now)
	case r.Heartbeat != nil:
		f.applyOwned(offset, r, now)
	}
	return f.applyMember(r, now)
}

// reread drops the owners, which the stream states again when it is read from its first record. The members stay.
func (f *Fold) reread() {
	clear(f.owners)
	f.rereading = true
}

func (f *Fold) applyMember(r Record, now time.Duration) *Heartbeat {
	if r.Heartbeat == nil || f.ended[r.Incarnation] {
		return nil
	}
	if f.members[r.Incarnation] == nil && !f.endPredecessors(r, now) {
		return nil
	}
	return f.applyHeartbeat(r, now)
}

// endPredecessors ends the earlier incarnations on the machine of an incarnation that is not a member yet. It reports
// false if the incarnation may itself be an earlier one than a member, whose heartbeat was appended late or is read again;
// if it is a later one, its heartbeats show it once the member is silent.
func (f *Fold) endPredecessors(r Record, now time.Duration) bool {
	for id, m := range f.members {
		if m.Instance != r.Instance {
			continue
		}
		fresh := r.Heartbeat.New || r.Heartbeat.Number == 1 || now-m.LastHeard > m.Lease()
		if r.Incarnation != f.self && (id == f.self || f.rereading || !fresh) {
			return false
		}
		f.end(id)
	}
	return true
}

func (f *Fold) end(incarnation string) {
	delete(f.members, incarnation)
	f.ended[incarnation] = true
}

// applyClaim assigns workers to the author of a claim. Fences never decrease: a claim from an earlier era, which was
// appended after a restore, may have a lower one. A claim whose author had read less than this fold cannot be judged; if
// it succeeded, the heartbeats of its author restate it.
func (f *Fold) applyClaim(offset int64, r Record, now time.Duration) {
	if r.Claim.Next > 0 && r.Claim.Next < f.gapless {
		for worker := range r.Claim.Workers {
			f.unjudged[worker] = now
		}
		return
	}
	fence := Fence(r.Claim.Era, offset)
	for worker, previous := range r.Claim.Workers {
		known := f.owners[worker]
		current := known.Fence == previous
		if r.Claim.Next > 0 {
			current = known.Fence == 0 || known.stated < r.Claim.Next
		}
		if current && fence > known.Fence {
			f.owners[worker] = ownership{Owner{Incarnation: r.Incarnation, Instance: r.Instance, Fence: fence}, offset, now}
		}
	}
}

// applyOwned adopts the ownership that a heartbeat restates, unless the fold knows a higher fence.
func (f *Fold) applyOwned(offset int64, r Record, now time.Duration) {
	for worker, fence := range r.Heartbeat.Owned {
		owner := Owner{Incarnation: r.Incarnation, Instance: r.Instance, Fence: fence}
		if known := f.owners[worker]; fence > known.Fence || owner == known.Owner {
			f.owners[worker] = ownership{owner, offset, now}
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
	next := &Member{Instance: r.Instance, Incarnation: r.Incarnation, Heartbeat: *r.Heartbeat, LastHeard: now}
	if next.Heartbeat.Resigned {
		next.ResignedAt = now
		if m != nil && m.Heartbeat.Resigned {
			next.ResignedAt = m.ResignedAt
		}
	}
	f.members[r.Incarnation] = next
	return r.Heartbeat
}

// Owner returns the owner of a worker, whether or not the owner is alive. The zero value means that there is none.
func (f *Fold) Owner(worker string) Owner { return f.owners[worker].Owner }

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

// Assignments maps each worker without a live owner to the incarnation that should claim it. An owner whose heartbeats do
// not restate its claim is treated like one that is silent. Each such worker goes to the member with the fewest workers, so
// that all members that read the same records choose the same.
func (f *Fold) Assignments(workerIDs []string, now time.Duration, maxSilence func(lease time.Duration) time.Duration) map[string]string {
	live := f.Live(now, maxSilence)
	count := map[string]int{}
	alive := map[string]Member{}
	candidates := live[:0]
	for _, m := range live {
		if m.Heartbeat.Resigned {
			continue
		}
		alive[m.Incarnation] = m
		if !m.Heartbeat.Paused {
			candidates = append(candidates, m)
		}
	}
	if live = candidates; len(live) == 0 {
		return nil
	}
	var free []string
	for _, id := range workerIDs {
		o := f.owners[id]
		_, member := f.members[o.Incarnation]
		if !member && !f.ended[o.Incarnation] && o.Fence > 0 && now-o.statedAt < f.pause {
			continue
		}
		m, ok := alive[o.Incarnation]
		if ok && (m.Heartbeat.Owned == nil || now-o.statedAt <= maxSilence(m.Lease())) {
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
