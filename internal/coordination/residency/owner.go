package residency

import (
	"slices"
	"time"
)

const (
	// MaxConcurrentLoads is how many adapter loads the platform allows in progress at one worker.
	MaxConcurrentLoads = 4
	// maxReportLag is how long a worker's report may lag behind its orders.
	maxReportLag = 350 * time.Millisecond
	// expectedLoadTime is how long an adapter load takes while the weight store is not overloaded.
	expectedLoadTime = 250 * time.Millisecond
	// pollInterval is the time between polls for the completion of a load. An adapter that the worker held recently is
	// loaded within about ten milliseconds.
	pollInterval = 40 * time.Millisecond
	// firstAnswerTimeout is how long the answer to an order or poll is awaited at first: workers answer 98 in 100 of them within this time, also
	// while instances are slow. An order without an answer keeps all others of its worker waiting. After shortAnswerTimeouts in succession,
	// repeats are awaited for repeatAnswerTimeout, since an instance may be slower than that for some time.
	firstAnswerTimeout, repeatAnswerTimeout = 60 * time.Millisecond, 150 * time.Millisecond
	shortAnswerTimeouts                     = 2
	// quickLoadTime is the longest time of a load of an adapter that the worker held recently. Any other is polled again after
	// expectedShare of the usual time of a load.
	quickLoadTime = 75 * time.Millisecond
	expectedShare = 0.9
	// minFetchTime is the shortest duration of a load that fetched the weights from the weight store.
	minFetchTime = 120 * time.Millisecond
	// evictionHold protects an adapter from eviction after its last use, because requests that waited for its load
	// are still on their way. A worker that unloads an adapter with running requests takes no other order until
	// they end.
	evictionHold = 400 * time.Millisecond
	// placedHold takes the place of evictionHold if the owner knows the requests that are on their way by their places. It covers
	// requests that are sent again after a place has ended.
	placedHold = 50 * time.Millisecond
	// idleAfter is the time without use after which an adapter counts as idle. Of the idle adapters the least used
	// is evicted first; if none is idle, the least recently used is.
	idleAfter = 2500 * time.Millisecond
	// maxRetries is how often an unanswered order is repeated before the worker's report is read.
	maxRetries = 6
)

// firstVersion is the version of an adapter for which no newer version was declared.
const firstVersion = 1

// SlotState is the state of an adapter at a worker.
type SlotState int

// The states of an adapter.
const (
	Loading SlotState = iota + 1
	Resident
	Unloading
)

// slot is one adapter that occupies an adapter slot of the worker.
type slot struct {
	state   SlotState
	version int64
	// since is when the state began, and nextPoll when the worker is next asked whether it has ended. Unanswered counts the
	// polls without an answer since the last one with.
	since, nextPoll time.Duration
	unanswered      int
	lastUse         time.Duration
	use             decayingCounter
	// running is the number of running requests that each instance last reported.
	running map[string]int
	// replaces is set for the load of a new version, which begins when the running requests of the old one have ended.
	replaces bool
	// retired means that no instance sends requests for the adapter to the worker any more, and unloadOrdered that
	// its unload has been ordered.
	retired, unloadOrdered bool
}

func (s *slot) totalRunning() int {
	n := 0
	for _, r := range s.running {
		n += r
	}
	return n
}

// Step is the kind of an Action.
type Step int

// The steps.
const (
	// StepNone does nothing until the returned time or the next event.
	StepNone Step = iota
	// StepReport reads the worker's report.
	StepReport
	// StepLoadModel orders the load of the base model.
	StepLoadModel
	// StepLoad orders the load of an adapter.
	StepLoad
	// StepRetire makes all instances stop sending requests for an adapter, and counts those that still run.
	StepRetire
	// StepUnload orders the unload of an adapter.
	StepUnload
	// StepPoll repeats the order for an adapter that is loading, to learn whether the load has completed.
	StepPoll
)

// Action is what an owner does next at its worker.
type Action struct {
	Step    Step
	Adapter Adapter
	Version int64
	// Seq is the number of orders that the worker must have accepted for the order to take effect.
	Seq int64
	// At is when to call Next again, for StepNone; zero means at the next event.
	At time.Duration
}

// Result is a worker's answer to an action.
type Result int

// The results of actions.
const (
	// Unanswered means that the order may take effect, now or later.
	Unanswered Result = iota
	// Accepted means that the worker carries out the order.
	Accepted
	// Holds means that the worker is in the ordered state.
	Holds
	// Conflict means that the worker did not carry out the order: its order number differs, it is busy, or it does
	// not know the order.
	Conflict
)

// Report is the state that a worker reported: its models, its adapters and the number of orders that it accepted.
type Report struct {
	Seq      int64
	Models   []string
	Resident map[Adapter]int64
	Pending  map[Adapter]int64
	Busy     bool
}

// Owner decides the orders to one worker incarnation. Every order names the number of orders accepted before it, so
// that an order that takes effect late, after a newer one, is ignored. An unanswered order is repeated with the same
// number: once one of the two has taken effect the other is ignored, and the answer to the repeat applies to both. No
// other order is sent until then.
type Owner struct {
	model string
	// slotCount is how many adapters the worker has room for. It is negative if the model does not fit beside those that the worker holds.
	slotCount int
	// room returns slotCount by the models that the worker holds. It is nil if only the slots count.
	room       func(models []string) int
	synced     bool
	nextReport time.Duration
	seq        int64
	hasModel   bool
	// busy means that the worker accepts no orders because it carries one out: it loads the model, or waits for the
	// running requests of an adapter to end before it replaces or unloads the adapter.
	busy bool
	// blocked means that the next want waits for a slot because all adapters are in use.
	blocked bool
	slots   map[Adapter]*slot
	wants   []*want
	// placed are the requests that have a place at the worker, by place.
	placed map[uint64]placedRequest
	// placedChecked is when expired places were last dropped.
	placedChecked time.Duration
	// placesKnown is set if nearly all requests have places.
	placesKnown bool
	// unanswered is the order that is repeated because it got no answer, and retries its number of unanswered attempts.
	unanswered *Action
	retries    int
	loadTime   time.Duration
}

// NewOwner returns the owner of a worker that serves one model and has slotCount adapter slots.
func NewOwner(model string, slotCount int, now time.Duration) *Owner {
	return &Owner{
		model: model, slotCount: slotCount, slots: map[Adapter]*slot{}, placed: map[uint64]placedRequest{}, loadTime: expectedLoadTime, nextReport: now,
	}
}

// LimitMemory sets the function that returns how many adapters the worker has room for beside the models that it holds, negative if
// the owner's model does not fit beside them. A worker that is ordered to load more crashes.
func (o *Owner) LimitMemory(room func(models []string) int) {
	o.room = room
	o.slotCount = room(nil)
}

// RecordUse counts n requests for an adapter at this worker.
func (o *Owner) RecordUse(a Adapter, n float64, now time.Duration) {
	if s := o.slots[a]; s != nil {
		s.use.at(now)
		s.use.value += n
		s.lastUse = now
	}
}

// SetRunning replaces the numbers of requests that an instance has running at this worker.
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

// RetainInstances drops the running requests of instances for which keep returns false.
func (o *Owner) RetainInstances(keep func(instance string) bool) {
	for _, s := range o.slots {
		for instance := range s.running {
			if !keep(instance) {
				delete(s.running, instance)
			}
		}
	}
}

// RequestStarted counts the start of a request that the instance sent.
func (o *Owner) RequestStarted(a Adapter, instance string, now time.Duration) {
	if s := o.slots[a]; s != nil {
		if s.running == nil {
			s.running = map[string]int{}
		}
		s.running[instance]++
		s.lastUse = now
	}
}

// RequestEnded counts the end of a request that was counted by RequestStarted.
func (o *Owner) RequestEnded(a Adapter, instance string, now time.Duration) {
	if s := o.slots[a]; s != nil && s.running[instance] > 0 {
		s.running[instance]--
		s.lastUse = now
	}
}

// Holds reports whether the adapter is resident in at least the given version, and returns the resident version.
func (o *Owner) Holds(a Adapter, version int64) (int64, bool) {
	if a.Name == "" {
		return 0, o.synced && o.hasModel
	}
	s := o.slots[a]
	if s == nil || s.state != Resident || s.version < version || s.retired || s.unloadOrdered {
		return 0, false
	}
	return s.version, true
}

// ApplyReport replaces the state by a report that was requested at the given time.
func (o *Owner) ApplyReport(r Report, requested time.Duration) {
	o.synced = true
	o.seq = r.Seq
	o.hasModel = slices.Contains(r.Models, o.model)
	if o.room != nil {
		o.slotCount = o.room(r.Models)
	}
	o.busy = r.Busy
	old := o.slots
	o.slots = map[Adapter]*slot{}
	for a, v := range r.Resident {
		o.slots[a] = inherit(old[a], Resident, v, requested)
		if s := old[a]; r.Busy && s != nil && s.state == Loading && s.version > v {
			// The new version waits for the running requests of the old one to end; new requests are rejected meanwhile.
			o.slots[a] = inherit(s, Loading, s.version, requested)
		}
	}
	for a, v := range r.Pending {
		o.slots[a] = inherit(old[a], Loading, v, requested)
	}
	o.unanswered, o.retries = nil, 0
}

// inherit returns a slot in the reported state with the use and running requests of the old one.
func inherit(old *slot, state SlotState, version int64, now time.Duration) *slot {
	s := &slot{state: state, version: version, since: now, nextPoll: now + pollInterval, lastUse: now}
	if old != nil {
		s.use, s.lastUse, s.running = old.use, old.lastUse, old.running
	}
	return s
}

// desync marks the state as unknown until the next report. The report is read after maxReportLag, so that it includes
// the orders that were carried out before.
func (o *Owner) desync(now time.Duration) {
	o.synced = false
	o.nextReport = now + maxReportLag
}

// Resync makes the owner read the worker's report before its next order. It is called after a time without orders, in which the
// worker may have completed loads, so that they do not count as slow ones.
func (o *Owner) Resync(now time.Duration) {
	o.desync(now)
}

// Next returns what to do now.
func (o *Owner) Next(now time.Duration) Action {
	if !o.synced {
		if now < o.nextReport {
			return Action{Step: StepNone, At: o.nextReport}
		}
		return Action{Step: StepReport}
	}
	if o.unanswered != nil {
		return *o.unanswered
	}
	if o.busy {
		return Action{Step: StepNone, At: o.recheck(now)}
	}
	if !o.hasModel && o.slotCount < 0 {
		return Action{Step: StepNone}
	}
	if !o.hasModel {
		return Action{Step: StepLoadModel, Adapter: Adapter{Model: o.model}, Seq: o.seq}
	}
	if a, ok := o.duePoll(now); ok {
		return a
	}
	if a, ok := o.nextLoad(now); ok && !o.unloading() {
		return a
	}
	return Action{Step: StepNone, At: o.earliestPoll()}
}

// recheck schedules another report while the worker is busy. The effect of an order in the meantime is unknown: an
// order for the adapter that is being replaced is answered like an accepted one, but not counted.
func (o *Owner) recheck(now time.Duration) time.Duration {
	o.desync(now)
	return o.nextReport
}

func (o *Owner) duePoll(now time.Duration) (Action, bool) {
	for a, s := range o.slots {
		if s.state != Resident && now >= s.nextPoll {
			step := StepPoll
			if s.state == Unloading {
				step = StepUnload
			}
			// A worker that refuses connections is not asked more often than one that answers.
			s.nextPoll = now + pollInterval
			return Action{Step: step, Adapter: a, Version: s.version, Seq: o.seq}, true
		}
	}
	return Action{}, false
}

// unloading reports whether an unload waits for running requests to end. The worker takes no other order until then.
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
		if s.state != Resident && (at == 0 || s.nextPoll < at) {
			at = s.nextPoll
		}
	}
	return at
}

// nextLoad returns the order to load the next wanted adapter, or the next step to free a slot for it.
func (o *Owner) nextLoad(now time.Duration) (Action, bool) {
	o.pruneWants(now)
	o.blocked = false
	loading, occupied := 0, len(o.slots)
	for _, s := range o.slots {
		if s.state == Loading {
			loading++
		}
	}
	if loading >= o.loadLimit() {
		return Action{}, false
	}
	for _, w := range o.wants {
		s := o.slots[w.adapter]
		switch {
		case s != nil && s.state != Resident:
			continue
		case s != nil || occupied < o.slotCount:
			return Action{Step: StepLoad, Adapter: w.adapter, Version: w.version, Seq: o.seq}, true
		}
		return o.evict(now)
	}
	return Action{}, false
}

// evict returns the next step to free a slot. The victim is retired at all instances before it is unloaded.
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
	s.unloadOrdered = true
	return Action{Step: StepUnload, Adapter: v, Version: s.version, Seq: o.seq}, true
}

// ApplyRetired applies the answer to StepRetire: the number of requests for the adapter that run at the worker. An
// adapter that is in use, or wanted again, stays resident.
func (o *Owner) ApplyRetired(a Adapter, running int, now time.Duration) {
	s := o.slots[a]
	switch {
	case s == nil:
	case running > 0 || o.Placed(a, now) > 0:
		s.lastUse = now
	case !o.wanted(a):
		s.retired = true
	}
}

// loadLimit returns how many loads may be in progress at the worker. Loads slow each other down over the whole fleet.
// When they take longer than expected, each worker runs fewer of them, so that the first ones complete sooner.
func (o *Owner) loadLimit() int {
	return max(1, min(MaxConcurrentLoads, int(MaxConcurrentLoads*expectedLoadTime/o.loadTime)))
}

// victim returns the resident adapter to evict first. Adapters that are wanted, have running or placed requests or were used
// within the hold time are not evicted.
func (o *Owner) victim(now time.Duration) (Adapter, bool) {
	var best Adapter
	var bestSlot *slot
	for a, s := range o.slots {
		if s.state != Resident || now-s.lastUse < o.hold() || s.totalRunning() > 0 || o.wanted(a) || o.Placed(a, now) > 0 {
			continue
		}
		if bestSlot == nil || o.evictBefore(s, bestSlot, now) || !o.evictBefore(bestSlot, s, now) && a.Name < best.Name {
			best, bestSlot = a, s
		}
	}
	return best, bestSlot != nil
}

func (o *Owner) evictBefore(x, y *slot, now time.Duration) bool {
	if x.retired != y.retired {
		return x.retired
	}
	idleX, idleY := now-x.lastUse >= idleAfter, now-y.lastUse >= idleAfter
	if idleX != idleY {
		return idleX
	}
	if !idleX {
		return x.lastUse < y.lastUse
	}
	if useX, useY := x.use.at(now), y.use.at(now); useX != useY {
		return useX < useY
	}
	return x.lastUse < y.lastUse
}

// AnswerTimeout returns how long the answer to an action is awaited.
func (o *Owner) AnswerTimeout(a Action) time.Duration {
	repeats := o.retries
	if s := o.slots[a.Adapter]; a.Step == StepPoll && s != nil {
		repeats = s.unanswered
	}
	if repeats >= shortAnswerTimeouts {
		return repeatAnswerTimeout
	}
	return firstAnswerTimeout
}

// ApplyResult applies a worker's answer to an action.
func (o *Owner) ApplyResult(a Action, r Result, now time.Duration) {
	switch {
	case r == Unanswered && a.Step == StepPoll:
		if s := o.slots[a.Adapter]; s != nil {
			s.unanswered++
		}
		return
	case r == Unanswered:
		o.unanswered = &a
		if o.retries++; o.retries > maxRetries {
			o.desync(now)
		}
		return
	case r == Conflict:
		o.desync(now)
		return
	}
	repeated := o.retries > 0
	o.unanswered, o.retries = nil, 0
	if s := o.slots[a.Adapter]; s != nil {
		s.unanswered = 0
	}
	switch a.Step {
	case StepLoadModel:
		o.busy = r == Accepted
		o.hasModel = r == Holds
		o.countAccepted(r)
	case StepLoad, StepPoll:
		o.applyLoad(a, r, repeated, now)
	case StepUnload:
		o.applyUnload(a, r, now)
	}
}

// countAccepted advances the order number if the worker carries out the order.
func (o *Owner) countAccepted(r Result) {
	if r == Accepted {
		o.seq++
	}
}

func (o *Owner) applyLoad(a Action, r Result, repeated bool, now time.Duration) {
	s := o.slots[a.Adapter]
	if s != nil && s.state == Resident && r == Holds && repeated {
		// Either the unanswered order replaced the adapter, or the worker held the version all along and counted
		// nothing. An order with too high a number could take effect late, after newer ones.
		o.desync(now)
		return
	}
	if s == nil {
		s = &slot{lastUse: now, use: decayingCounter{updated: now}}
		o.slots[a.Adapter] = s
	}
	if r == Holds {
		if a.Step == StepLoad && repeated {
			// The worker carried out the unanswered order.
			o.seq++
		}
		if took := now - s.since; s.state == Loading && took >= minFetchTime {
			o.loadTime = (3*o.loadTime + took) / 4
		}
		s.state, s.lastUse = Resident, now
		s.version = max(s.version, a.Version)
		return
	}
	if s.state != Loading {
		s.replaces = s.state == Resident
		s.state, s.since, s.version = Loading, now, a.Version
		s.nextPoll = now + pollInterval
		o.countAccepted(r)
		return
	}
	// The worker does not count a repeated order for an adapter that is loading.
	s.nextPoll = now + pollInterval
	if !s.replaces && now-s.since >= quickLoadTime {
		// The load is from the weight store. The usual time of slow loads may have passed.
		s.nextPoll = max(s.nextPoll, s.since+time.Duration(expectedShare*float64(min(o.loadTime, expectedLoadTime))))
	}
}

func (o *Owner) applyUnload(a Action, r Result, now time.Duration) {
	s := o.slots[a.Adapter]
	repeated := s != nil && s.state == Unloading
	if !repeated {
		o.seq++
	}
	if r == Holds {
		delete(o.slots, a.Adapter)
	} else if s != nil {
		s.state, s.since, s.nextPoll = Unloading, now, now+pollInterval
	}
}
