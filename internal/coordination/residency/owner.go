package residency

import (
	"slices"
	"time"
)

const (
	// MaxTransit is how many adapters may be on their way to one worker at a time, by the platform's pages.
	MaxTransit = 4
	// reportLag is how long a worker's report may lag behind its orders.
	reportLag = 350 * time.Millisecond
	// expectedLoad is how long an adapter load takes while the weight store is not overloaded.
	expectedLoad = 250 * time.Millisecond
	// pollEvery is the time between questions whether a load has ended. An adapter that the worker held
	// recently arrives within some ten milliseconds.
	pollEvery = 40 * time.Millisecond
	// fetched is the least time of a load that came from the weight store.
	fetched = 120 * time.Millisecond
	// busyUse protects an adapter from eviction after its last use: requests that waited for its load are on
	// their way. A worker that unloads an adapter with runs takes no other order until they end.
	busyUse = 400 * time.Millisecond
	// quietUse is the time without use after which an adapter is evicted by how much it is used; when all were
	// used more recently, the one whose last use is longest ago makes way.
	quietUse = 2500 * time.Millisecond
	// maxRepeats is how often an order without an answer is given again before the worker is asked for a
	// report.
	maxRepeats = 6
)

// firstVersion is the version of an adapter of which no newer one was declared.
const firstVersion = 1

// SlotState is the state of an adapter at a worker.
type SlotState int

// The states of an adapter.
const (
	Loading SlotState = iota + 1
	Resident
	Unloading
)

type slot struct {
	state   SlotState
	version int64
	// since is when the state began, and poll when it is next asked for.
	since, poll time.Duration
	lastUse     time.Duration
	use         decayed
	// running is how many requests of each instance were under way when it last told.
	running map[string]int
	// retired says that no instance sends requests for the adapter to the worker any more, and leaving that its
	// unload has been ordered.
	retired, leaving bool
}

func (s *slot) runs() int {
	n := 0
	for _, r := range s.running {
		n += r
	}
	return n
}

// Step is the next thing that an owner does at its worker.
type Step int

// The steps.
const (
	// StepNone: nothing until the returned time or the next event.
	StepNone Step = iota
	// StepReport: read the worker's report.
	StepReport
	// StepLoadModel: order the base model.
	StepLoadModel
	// StepLoad: order an adapter.
	StepLoad
	// StepRetire: have all instances stop sending requests for an adapter, and learn how many run.
	StepRetire
	// StepUnload: order an adapter away.
	StepUnload
	// StepPoll: order again what is on its way, to learn whether it has arrived.
	StepPoll
)

// Action is a step with what it is about.
type Action struct {
	Step    Step
	Adapter Adapter
	Version int64
	// Seq is the number of orders that the worker must be at.
	Seq int64
	// At is when to ask again, for StepNone; zero means at the next event.
	At time.Duration
}

// Result is a worker's answer to an action.
type Result int

// The results of actions.
const (
	// Unanswered orders may be carried out, also later.
	Unanswered Result = iota
	Accepted
	Holds
	// Conflict: the worker did not carry out the order; it is at another number, busy, or does not know the order.
	Conflict
)

// Snapshot is what a worker's report says of its places.
type Snapshot struct {
	Seq      int64
	Models   []string
	Resident map[Adapter]int64
	Pending  map[Adapter]int64
	Busy     bool
}

// Owner decides the orders to one worker incarnation. Every order names the number of orders accepted before
// it, so that an order that is carried out late, after a newer one, has no effect. An order without an answer
// is given again with the same number: whichever of the two is carried out, the other has no effect, and the
// answer to the repeat holds for both. No other order is given meanwhile.
type Owner struct {
	model     string
	places    int
	synced    bool
	readAfter time.Duration
	seq       int64
	hasModel  bool
	// busy says that the worker carries out an order that keeps it from taking others: a load of the model, or an
	// adapter that waits for its runs to end before it is replaced or unloaded.
	busy bool
	// blocked says that the next want waits for a place, since all adapters are in use.
	blocked bool
	slots   map[Adapter]*slot
	wants   []*want
	// unanswered is the order without an answer that is given again, and repeats how often it was.
	unanswered *Action
	repeats    int
	loadTime   time.Duration
}

// NewOwner returns the owner of a worker that serves one model and has the number of places for adapters.
func NewOwner(model string, places int, now time.Duration) *Owner {
	return &Owner{model: model, places: places, slots: map[Adapter]*slot{}, loadTime: expectedLoad, readAfter: now}
}

// firstVersion is the version of an adapter of which no newer one was declared.

// RecordUse counts requests for an adapter at this worker.
func (o *Owner) RecordUse(a Adapter, n float64, now time.Duration) {
	if s := o.slots[a]; s != nil {
		s.use.at(now)
		s.use.value += n
		s.lastUse = now
	}
}

// SetRunning replaces what an instance told of its requests under way at this worker.
func (o *Owner) SetRunning(instance string, running map[Adapter]int, now time.Duration) {
	for a, s := range o.slots {
		n := running[a]
		if n == 0 {
			delete(s.running, instance)
			continue
		}
		if s.running == nil {
			s.running = map[string]int{}
		}
		s.running[instance] = n
		s.lastUse = now
	}
}

// RetainInstances drops what instances told for which keep returns false.
func (o *Owner) RetainInstances(keep func(instance string) bool) {
	for _, s := range o.slots {
		for instance := range s.running {
			if !keep(instance) {
				delete(s.running, instance)
			}
		}
	}
}

// RequestStarted and Ended count a request of this instance.
func (o *Owner) RequestStarted(a Adapter, instance string, now time.Duration) {
	if s := o.slots[a]; s != nil {
		if s.running == nil {
			s.running = map[string]int{}
		}
		s.running[instance]++
		s.lastUse = now
	}
}

// RequestEnded counts the end of a request that was counted by Began.
func (o *Owner) RequestEnded(a Adapter, instance string, now time.Duration) {
	if s := o.slots[a]; s != nil && s.running[instance] > 0 {
		s.running[instance]--
		s.lastUse = now
	}
}

// Holds reports whether the adapter is resident in at least the version, and which version is.
func (o *Owner) Holds(a Adapter, version int64) (int64, bool) {
	if a.Name == "" {
		return 0, o.synced && o.hasModel
	}
	s := o.slots[a]
	if s == nil || s.state != Resident || s.version < version || s.retired || s.leaving {
		return 0, false
	}
	return s.version, true
}

// ApplyReport replaces the state by a report that was asked for at the time asked.
func (o *Owner) ApplyReport(r Snapshot, asked time.Duration) {
	o.synced = true
	o.seq = r.Seq
	o.hasModel = slices.Contains(r.Models, o.model)
	o.busy = r.Busy
	old := o.slots
	o.slots = map[Adapter]*slot{}
	for a, v := range r.Resident {
		o.slots[a] = inherit(old[a], Resident, v, asked)
		if s := old[a]; r.Busy && s != nil && s.state == Loading && s.version > v {
			// The new version waits for the runs of the old one, and requests are rejected meanwhile.
			o.slots[a] = inherit(s, Loading, s.version, asked)
		}
	}
	for a, v := range r.Pending {
		o.slots[a] = inherit(old[a], Loading, v, asked)
	}
	o.unanswered, o.repeats = nil, 0
}

func inherit(old *slot, state SlotState, version int64, now time.Duration) *slot {
	s := &slot{state: state, version: version, since: now, poll: now + pollEvery, lastUse: now}
	if old != nil {
		s.use, s.lastUse, s.running = old.use, old.lastUse, old.running
	}
	return s
}

func (o *Owner) unsure(now time.Duration) {
	o.synced = false
	o.readAfter = now + reportLag
}

// Next returns what to do now.
func (o *Owner) Next(now time.Duration) Action {
	if !o.synced {
		if now < o.readAfter {
			return Action{Step: StepNone, At: o.readAfter}
		}
		return Action{Step: StepReport}
	}
	if o.unanswered != nil {
		return *o.unanswered
	}
	if o.busy {
		return Action{Step: StepNone, At: o.recheck(now)}
	}
	if !o.hasModel {
		return Action{Step: StepLoadModel, Adapter: Adapter{Model: o.model}, Seq: o.seq}
	}
	if a, ok := o.polled(now); ok {
		return a
	}
	if a, ok := o.load(now); ok && !o.unloading() {
		return a
	}
	return Action{Step: StepNone, At: o.earliestPoll()}
}

// recheck asks for a report later while the worker is busy. What an order would do meanwhile is not known: one for
// the adapter that is being replaced is answered like an accepted one, and not counted.
func (o *Owner) recheck(now time.Duration) time.Duration {
	o.unsure(now)
	return o.readAfter
}

func (o *Owner) polled(now time.Duration) (Action, bool) {
	for a, s := range o.slots {
		if s.state != Resident && now >= s.poll {
			step := StepPoll
			if s.state == Unloading {
				step = StepUnload
			}
			return Action{Step: step, Adapter: a, Version: s.version, Seq: o.seq}, true
		}
	}
	return Action{}, false
}

// unloading reports whether an unload waits for runs: the worker takes no other order until it is done.
func (o *Owner) unloading() bool {
	for _, s := range o.slots {
		if s.state == Unloading {
			return true
		}
	}
	return false
}

func (o *Owner) earliestPoll() time.Duration {
	var at time.Duration
	for _, s := range o.slots {
		if s.state != Resident && (at == 0 || s.poll < at) {
			at = s.poll
		}
	}
	return at
}

// load returns the order that brings the next wanted adapter nearer.
func (o *Owner) load(now time.Duration) (Action, bool) {
	o.pruneWants(now)
	o.blocked = false
	transit, taken := 0, len(o.slots)
	for _, s := range o.slots {
		if s.state == Loading {
			transit++
		}
	}
	if transit >= o.transitLimit() {
		return Action{}, false
	}
	for _, w := range o.wants {
		s := o.slots[w.adapter]
		switch {
		case s != nil && s.state != Resident:
			continue
		case s != nil || taken < o.places:
			return Action{Step: StepLoad, Adapter: w.adapter, Version: w.version, Seq: o.seq}, true
		}
		return o.evict(now)
	}
	return Action{}, false
}

// evict returns the next step to free a place: the victim is first retired at all instances.
func (o *Owner) evict(now time.Duration) (Action, bool) {
	v, ok := o.victim(now)
	if !ok {
		o.blocked = true
		return Action{}, false
	}
	s := o.slots[v]
	if !s.retired {
		return Action{Step: StepRetire, Adapter: v}, true
	}
	s.leaving = true
	return Action{Step: StepUnload, Adapter: v, Version: s.version, Seq: o.seq}, true
}

// ApplyRetired applies the answer to StepRetire: how many requests for the adapter run at the worker. One that is in use,
// or wanted again, stays.
func (o *Owner) ApplyRetired(a Adapter, running int, now time.Duration) {
	s := o.slots[a]
	switch {
	case s == nil:
	case running > 0:
		s.lastUse = now
	case !o.wanted(a):
		s.retired = true
	}
}

// transitLimit returns how many loads may be under way. Loads slow each other down over the whole fleet, so when
// they take longer than they should, each worker has fewer under way, and the first ones end sooner.
func (o *Owner) transitLimit() int {
	return max(1, min(MaxTransit, int(MaxTransit*expectedLoad/o.loadTime)))
}

// victim returns the resident adapter that is used least, unless all were used just now.
func (o *Owner) victim(now time.Duration) (Adapter, bool) {
	var best Adapter
	var bestSlot *slot
	for a, s := range o.slots {
		if s.state != Resident || now-s.lastUse < busyUse || s.runs() > 0 || o.wanted(a) {
			continue
		}
		if bestSlot == nil || o.before(s, bestSlot, now) || !o.before(bestSlot, s, now) && a.Name < best.Name {
			best, bestSlot = a, s
		}
	}
	return best, bestSlot != nil
}

func (o *Owner) before(x, y *slot, now time.Duration) bool {
	if x.retired != y.retired {
		return x.retired
	}
	quietX, quietY := now-x.lastUse >= quietUse, now-y.lastUse >= quietUse
	if quietX != quietY {
		return quietX
	}
	if !quietX {
		return x.lastUse < y.lastUse
	}
	if dx, dy := x.use.at(now), y.use.at(now); dx != dy {
		return dx < dy
	}
	return x.lastUse < y.lastUse
}

// ApplyResult applies a worker's answer to an action.
func (o *Owner) ApplyResult(a Action, r Result, now time.Duration) {
	switch {
	case r == Unanswered && a.Step == StepPoll:
		if s := o.slots[a.Adapter]; s != nil {
			s.poll = now
		}
		return
	case r == Unanswered:
		o.unanswered = &a
		if o.repeats++; o.repeats > maxRepeats {
			o.unsure(now)
		}
		return
	case r == Conflict:
		o.unsure(now)
		return
	}
	repeated := o.repeats > 0
	o.unanswered, o.repeats = nil, 0
	switch a.Step {
	case StepLoadModel:
		o.busy = r == Accepted
		o.hasModel = r == Holds
		o.accepted(r)
	case StepLoad, StepPoll:
		o.loaded(a, r, repeated, now)
	case StepUnload:
		o.unloaded(a, r, now)
	}
}

// accepted counts an order that the worker carries out.
func (o *Owner) accepted(r Result) {
	if r == Accepted {
		o.seq++
	}
}

func (o *Owner) loaded(a Action, r Result, repeated bool, now time.Duration) {
	s := o.slots[a.Adapter]
	if s != nil && s.state == Resident && r == Holds && repeated {
		// Either the order without an answer replaced the adapter, or the worker had the version all along and
		// counted nothing. An order that names too high a number would hold later, after newer ones.
		o.unsure(now)
		return
	}
	if s == nil {
		s = &slot{lastUse: now, use: decayed{last: now}}
		o.slots[a.Adapter] = s
	}
	if r == Holds {
		if a.Step == StepLoad && repeated {
			// The order without an answer was carried out.
			o.seq++
		}
		if took := now - s.since; s.state == Loading && took >= fetched {
			o.loadTime = (3*o.loadTime + took) / 4
		}
		s.state, s.lastUse = Resident, now
		s.version = max(s.version, a.Version)
		return
	}
	if s.state != Loading {
		s.state, s.since, s.version = Loading, now, a.Version
		s.poll = now + pollEvery
		o.accepted(r)
		return
	}
	// A repeated order for what is on its way is not counted by the worker.
	s.poll = now + pollEvery
}

func (o *Owner) unloaded(a Action, r Result, now time.Duration) {
	s := o.slots[a.Adapter]
	repeated := s != nil && s.state == Unloading
	if !repeated {
		o.seq++
	}
	if r == Holds {
		delete(o.slots, a.Adapter)
	} else if s != nil {
		s.state, s.since, s.poll = Unloading, now, now+pollEvery
	}
}
