package fleetlog

import (
	"slices"
	"time"
)

// startMargin is added to the pause for the records that an instance which starts has to read. It covers the difference
// between the rates of the clocks of two instances.
const startMargin = 1500 * time.Millisecond

// Follower is the fold of one incarnation, which reads the stream from its first record on, or from an offset before which
// no record matters any more. It derives for which workers
// the incarnation may act, under which fences, and which workers it claims.
//
// The incarnation acts under a claim only after it has read the claim in the era that the claim names. The claim was then
// stored in that era, and no other record of the era has its offset, so that nobody else acts under its fence. It is not
// safe for concurrent use.
type Follower struct {
	*Fold
	incarnation string
	// era is the era in which the stream is read. It is not set before the first read was answered.
	era     int64
	started bool
	// eraSeen is the earliest time at which an instance is known to have seen the era.
	eraSeen time.Duration
	// next is the offset from which the stream is read.
	next int64
	// skippedAt is when records were last skipped.
	skippedAt time.Duration
	// ends are the ends of the stream that were read in this era, the oldest first. Only the newest one that is old enough
	// for StartAt is kept, and those after it.
	ends []streamEnd
	// inheritedStart is the offset at which this follower started, until its own reads are old enough.
	inheritedStart int64
	// held are the fences under which the incarnation acts, by worker.
	held map[string]int64
	// refused is the time until which workers that refused an order as fenced are not claimed.
	refused map[string]time.Duration
}

// streamEnd is the end of the stream at a read, and when that read was answered.
type streamEnd struct {
	offset int64
	at     time.Duration
}

// NewFollower returns the follower of an incarnation that has read nothing yet. Pause is the longest time after the last
// heartbeat of an owner until others may claim its workers.
func NewFollower(incarnation string, pause time.Duration) *Follower {
	f := &Follower{Fold: NewFold(), incarnation: incarnation, held: map[string]int64{}, refused: map[string]time.Duration{}}
	f.self, f.pause = incarnation, pause
	return f
}

// Next returns the offset from which the stream is to be read next.
func (f *Follower) Next() int64 { return f.next }

// Era returns the era in which the stream is read.
func (f *Follower) Era() int64 { return f.era }

// Observe reports whether the result of a read that was answered in an era is to be applied. A read from an older era
// than the latest is ignored. With a new era, which was first seen at the time seen, the stream is to be read again from
// its first record. Unchallenged states that until seen nobody could have taken over the incarnation's workers since its
// last heartbeat; otherwise their claims may be lost, and the incarnation gives its workers up.
func (f *Follower) Observe(era int64, seen time.Duration, unchallenged bool) bool {
	switch {
	case !f.started:
		f.started, f.era, f.eraSeen = true, era, seen
		return true
	case era <= f.era:
		return era == f.era
	}
	f.era, f.eraSeen, f.next, f.gapless = era, seen, 0, 0
	f.ends, f.inheritedStart = nil, 0
	f.reread()
	f.recordsMissed(unchallenged)
	return false
}

// Skip continues at the offset first since the records before it are no longer kept. Unchallenged has the meaning that it
// has for Observe, until now.
func (f *Follower) Skip(first int64, now time.Duration, unchallenged bool) {
	f.next, f.gapless, f.skippedAt = first, first, now
	f.recordsMissed(unchallenged)
}

// Start begins to read the stream at an offset of an era that a heartbeat of the same era named in StartAt. Unlike after
// Skip, the incarnation need not pause: no owner whose records lie before the offset may still act.
func (f *Follower) Start(era, offset int64, seen time.Duration) {
	if f.started || offset <= 0 {
		return
	}
	f.started, f.era, f.eraSeen = true, era, seen
	f.next, f.gapless, f.inheritedStart = offset, offset, offset
	f.skippedAt = seen - f.pause
}

// StartOffset returns the offset from which the record at an offset of an era permits an instance to start, 0 if it permits
// none.
func StartOffset(era, offset int64, r Record) int64 {
	h := r.Heartbeat
	if h == nil || h.Era != era || h.StartAt <= 0 || h.StartAt > offset {
		return 0
	}
	return h.StartAt
}

// StartAt returns the offset from which an instance that starts now may read the stream, 0 if none is known.
func (f *Follower) StartAt(now time.Duration) int64 {
	old := 0
	for old+1 < len(f.ends) && now-f.ends[old+1].at >= f.pause+startMargin {
		old++
	}
	f.ends = slices.Delete(f.ends, 0, old)
	if len(f.ends) > 0 && now-f.ends[0].at >= f.pause+startMargin {
		return f.ends[0].offset
	}
	return f.inheritedStart
}

// recordsMissed gives the workers up that others may have claimed in records that the follower cannot read.
func (f *Follower) recordsMissed(unchallenged bool) {
	if !unchallenged {
		clear(f.held)
	}
}

// Paused reports whether the incarnation claims nothing, since records were lost or skipped: owners that it cannot know may
// still act until their leases have ended, or they have restated their workers.
func (f *Follower) Paused(now time.Duration) bool {
	return f.era > 0 && now < f.eraSeen+f.pause || f.gapless > 0 && now < f.skippedAt+f.pause
}

// EraAge returns for how long the era is known to have lasted.
func (f *Follower) EraAge(now time.Duration) time.Duration { return now - f.eraSeen }

// learnEraAge applies what a heartbeat tells of the age of the era: an instance that starts long after a restore has no
// reason to wait.
func (f *Follower) learnEraAge(h *Heartbeat, now time.Duration) {
	if h != nil && h.Era == f.era {
		f.eraSeen = min(f.eraSeen, now-time.Duration(h.EraAgeMS)*time.Millisecond)
	}
}

// Advance continues at the offset next, and ends a repeated reading of the stream if it has reached its end. The read was
// answered at now or before.
func (f *Follower) Advance(next int64, end bool, now time.Duration) {
	f.next = next
	if end {
		f.rereading = false
		f.ends = append(f.ends, streamEnd{next, now})
	}
}

// Apply applies a record as Fold.Apply does.
func (f *Follower) Apply(offset int64, r Record, now time.Duration) *Heartbeat {
	before := map[string]int64{}
	if f.ownClaim(r) {
		for worker := range r.Claim.Workers {
			before[worker] = f.Owner(worker).Fence
		}
	}
	f.learnEraAge(r.Heartbeat, now)
	heartbeat := f.Fold.Apply(offset, r, now)
	for worker, fence := range before {
		if o := f.Owner(worker); o.Incarnation == f.incarnation && o.Fence > fence {
			f.held[worker] = o.Fence
		}
	}
	for worker, fence := range f.held {
		// An owner with a lower fence has not seen the claim of this incarnation yet.
		if o := f.Owner(worker); o.Fence > fence || o.Fence == fence && o.Incarnation != f.incarnation {
			delete(f.held, worker)
		}
	}
	return heartbeat
}

// ownClaim reports whether the record is a claim of this incarnation that was stored in the era in which its author had
// read the stream.
func (f *Follower) ownClaim(r Record) bool {
	return r.Claim != nil && r.Incarnation == f.incarnation && r.Claim.Era == f.era
}

// Held returns the fence under which the incarnation may act for a worker.
func (f *Follower) Held(worker string) (fence int64, ok bool) {
	fence, ok = f.held[worker]
	return fence, ok
}

// HeldWorkers returns the workers for which the incarnation may act and their fences, as its heartbeats restate them.
func (f *Follower) HeldWorkers() map[string]int64 {
	held := make(map[string]int64, len(f.held))
	for worker, fence := range f.held {
		held[worker] = fence
	}
	return held
}

// Release gives a worker up. The incarnation claims it anew if it still needs an owner.
func (f *Follower) Release(worker string) { delete(f.held, worker) }

// Refused records that a worker refused an order of this incarnation under a fence since it had seen a higher one. The
// incarnation never acts under the fence again, and claims the worker no sooner than the lease of another owner may have
// ended.
func (f *Follower) Refused(worker string, fence int64, now time.Duration) {
	if held, ok := f.held[worker]; ok && held > fence {
		return
	}
	delete(f.held, worker)
	f.refused[worker] = now + f.pause
}

// Claim returns the claim of the workers without a live owner that are assigned to this incarnation, and of those that it
// owns under a fence under which it may not act. It is nil if there is nothing to claim.
func (f *Follower) Claim(workerIDs []string, now time.Duration, maxSilence func(lease time.Duration) time.Duration) *Claim {
	for worker, until := range f.refused {
		if now >= until {
			delete(f.refused, worker)
		}
	}
	if !f.started || f.Paused(now) {
		return nil
	}
	for worker, at := range f.unjudged {
		if now >= at+f.pause {
			delete(f.unjudged, worker)
		}
	}
	assigned := f.Assignments(workerIDs, now, maxSilence)
	claim := &Claim{Era: f.era, Next: f.next, Workers: map[string]int64{}}
	for _, id := range workerIDs {
		o := f.Owner(id)
		_, held := f.held[id]
		_, refused := f.refused[id]
		_, unjudged := f.unjudged[id]
		if (assigned[id] == f.incarnation || o.Incarnation == f.incarnation) && !held && !refused && !unjudged {
			claim.Workers[id] = o.Fence
		}
	}
	if len(claim.Workers) == 0 {
		return nil
	}
	return claim
}
