package workerload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// outlookWeight is the weight of one answer in what an instance knows of a worker. Answers are some hundred milliseconds
	// apart, longer than requests last, so that only their average says something of the next one.
	outlookWeight = 0.3
	// outlookMemory is the time in which a wait that an earlier answer named falls to about a third.
	outlookMemory = time.Second
	// localFactor is how much more often a worker of the instance's own data centre is asked first than another one
	// with as much room. Both are asked in proportion to their room, so that no worker is preferred until it is full.
	localFactor = 6
	// minChoiceShare of the weight of the best worker is that of each other one, so that a worker's recovery is noticed.
	minChoiceShare = 0.02
	// initialRoom is the room of a worker of which nothing is known, and minRoom that below which a worker counts as full, in
	// requests per second.
	initialRoom, minRoom = 200, 1
	// callTime is the cost of a further question, in time.
	callTime = 3 * time.Millisecond
	// maxPlainAsked is how many workers are asked for one request before it waits.
	maxPlainAsked = 3
	// onTimeShare of the time until a request's target latency is that within which a worker is to complete it. The rest
	// covers the error of the expectation: the times of requests vary by half.
	onTimeShare = 0.75
	// lateShare of the target latency is how long a request waits at most at a worker that is late already. Longer queues
	// are for those that can still be on time.
	lateShare = 0.1
	// patienceShare of the target latency is a wait for which no further worker is asked.
	patienceShare = 0.1
	// minHoldShare and maxHoldShare of the target latency bound the time between two questions for a request without a place.
	minHoldShare, maxHoldShare = 1, 3
	// extentMemory is how long the places of removed workers still count where no keepers are used yet, and how long a service
	// must have as many places as there are instances until they are used no longer. Restarts of instances or workers take less.
	extentMemory = time.Minute
	// extentSettling is how long a service must have fewer places than there are instances, and get no further ones, until keepers are
	// used. At startup its workers register one after another.
	extentSettling = 3 * time.Second
	// minKeptInstances is the smallest fleet that uses keepers. In a smaller one, each instance has requests enough.
	minKeptInstances = 10
	// minRetryAfter is the shortest time that a refusal names.
	minRetryAfter = 50 * time.Millisecond
	// callersPatience is the part of its remaining time for which a caller waits after a refusal. A later time would let all
	// callers return at this one.
	callersPatience = 1.0 / 3
)

// knownOutlook is what an instance knows of a worker, and since when.
type knownOutlook struct {
	Outlook
	at time.Duration
}

// Outlooks is what an instance knows of workers from the answers of their keepers.
type Outlooks struct {
	workers map[string]*knownOutlook
}

// NewOutlooks returns Outlooks without workers.
func NewOutlooks() *Outlooks { return &Outlooks{workers: map[string]*knownOutlook{}} }

// Answered records what the keeper of a worker has answered.
func (o *Outlooks) Answered(worker string, answer Outlook, now time.Duration) {
	w := o.workers[worker]
	if w == nil {
		o.workers[worker] = &knownOutlook{answer, now}
		return
	}
	known := o.Of(worker, now)
	w.Wait = known.Wait + time.Duration(outlookWeight*float64(answer.Wait-known.Wait))
	w.Room += outlookWeight * (answer.Room - w.Room)
	w.Time, w.at = answer.Time, now
}

// Of returns what is to be expected of a worker. One of which nothing is known is expected to be idle.
func (o *Outlooks) Of(worker string, now time.Duration) Outlook {
	w := o.workers[worker]
	if w == nil {
		return Outlook{Room: initialRoom, Time: initialPlainTime}
	}
	passed := math.Exp(-float64(now-w.at) / float64(outlookMemory))
	return Outlook{Wait: time.Duration(passed * float64(w.Wait)), Room: w.Room, Time: w.Time}
}

// Retain removes the workers for which exists returns false.
func (o *Outlooks) Retain(exists func(worker string) bool) {
	for name := range o.workers {
		if !exists(name) {
			delete(o.workers, name)
		}
	}
}

// Extent is how many places the workers of a plain service have together, and whether keepers place its requests.
//
// It handles load of this kind: instances or workers that restart, register or fail while the numbers of places and instances are close.
type Extent struct {
	places int
	seen   time.Duration
	kept   bool
	// changing is true if the numbers have called for the other way of placement since the time since.
	changing bool
	since    time.Duration
}

// NeedsKeepers reports whether the requests of a plain service with workers of the given numbers of slots are placed by keepers:
// if an instance has on average less than one request there, its own requests say nothing of the load. It is to be called
// every few seconds at least. The way of placement changes only once the numbers have called for it for some time, and at once where
// keepers can't be used: in a small fleet, and with workers whose places are not known.
func (e *Extent) NeedsKeepers(slots []int, instances int, now time.Duration) bool {
	total, known := 0, true
	for _, n := range slots {
		known = known && n > 0
		total += n
	}
	switch {
	case len(slots) == 0:
		return false
	case !known || instances < minKeptInstances:
		e.kept, e.changing = false, false
		return false
	}
	// Workers that were there within extentMemory count, so that a small number of workers that loses some of them is not placed in
	// another way during that.
	grown := total > e.places
	if total >= e.places || now-e.seen > extentMemory {
		e.places, e.seen = total, now
	}
	wanted, due := e.places < instances, extentSettling
	if e.kept {
		wanted, due = total < instances, extentMemory
	}
	switch {
	case wanted == e.kept:
		e.changing = false
	case !e.changing || wanted && grown:
		e.changing, e.since = true, now
	case now-e.since >= due:
		e.kept, e.changing = wanted, false
	}
	return e.kept
}

// OwnView returns what an instance expects of a worker by its own requests there alone.
func OwnView(slots, inFlight int, perRequest time.Duration) Outlook {
	return Outlook{Room: float64(max(0, slots-inFlight)) / max(perRequest, time.Millisecond).Seconds(), Time: perRequest}
}

// Candidate is a worker at which a request may be placed.
type Candidate struct {
	Outlook
	// Backoff is how long the worker takes no requests at all.
	Backoff time.Duration
	// Path is the cost of the network path to it; 0 in the instance's own data centre.
	Path time.Duration
}

func (c Candidate) cost() time.Duration { return c.Wait + c.Time + c.Path }

// expectedWithin reports whether the worker is expected to serve a request within its bounds.
func (c Candidate) expectedWithin(b Bounds) bool {
	return c.Wait <= b.MaxWait && (b.Within <= 0 || c.Wait+c.Time <= b.Within)
}

// Order returns the indices of the candidates in the order in which they are to be asked: one drawn by its room, then the
// others by their expected times. All instances know about the same; if all asked the best worker first, it
// would be full before they know. Random returns a number in [0, 1).
func Order(list []Candidate, t Times, random func() float64) []int {
	order := make([]int, len(list))
	tie := make([]float64, len(list))
	for i := range list {
		order[i], tie[i] = i, random()
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(list[x].Backoff, list[y].Backoff), cmp.Compare(list[x].cost(), list[y].cost()), cmp.Compare(tie[x], tie[y]))
	})
	available := slices.IndexFunc(order, func(i int) bool { return list[i].Backoff > list[order[0]].Backoff })
	if available < 0 {
		available = len(order)
	}
	if available > 1 {
		n := draw(choiceWeights(list, order[:available], t), random())
		first := order[n]
		order = slices.Insert(slices.Delete(order, n, n+1), 0, first)
	}
	return order
}

// choiceWeights returns how often each of the candidates in order is to be asked first, relative to the others: by its room, if
// it is fast enough for the request, or by how much sooner than the last it completes a request if none has room.
func choiceWeights(list []Candidate, order []int, t Times) []float64 {
	weights := make([]float64, len(order))
	best := 0.0
	for n, i := range order {
		if list[i].Time <= t.onTime() {
			weights[n] = list[i].Room
		}
		if list[i].Path == 0 {
			weights[n] *= localFactor
		}
		best = max(best, weights[n])
	}
	if best < minRoom {
		worst := list[order[len(order)-1]].cost()
		for n, i := range order {
			weights[n] = float64(worst - list[i].cost())
		}
		best = max(1, weights[0])
	}
	for n := range weights {
		weights[n] = max(weights[n], minChoiceShare*best)
	}
	return weights
}

// draw returns the index of a weight, drawn by its size. X is a random number in [0, 1).
func draw(weights []float64, x float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x *= total
	for n, w := range weights {
		if x -= w; x < 0 {
			return n
		}
	}
	return len(weights) - 1
}

// Times are the time limits of a request.
type Times struct {
	// Target is its target latency, and Slack the time until that; Left is the time until its deadline.
	Target, Slack, Left time.Duration
}

// onTime returns the time within which a worker must be expected to complete the request.
func (t Times) onTime() time.Duration { return time.Duration(onTimeShare * float64(t.Slack)) }

// bounds returns those of a request at any worker. One that is late already gets only room that those on time do not need.
func (t Times) bounds() Bounds {
	if t.onTime() <= t.share(lateShare) {
		return t.lateBounds()
	}
	return Bounds{MaxWait: t.onTime(), Within: t.onTime()}
}

func (t Times) lateBounds() Bounds { return Bounds{MaxWait: t.share(lateShare)} }

func (t Times) share(s float64) time.Duration { return time.Duration(s * float64(t.Target)) }

// Questions bounds how many candidates are asked for one request.
type Questions struct {
	asked int
}

// Limit returns how many of the candidates may be asked, given the number of answers so far and whether the time for questions is
// over. From then on it stays the same: an answer to a repeated question must not permit a further candidate.
func (q *Questions) Limit(candidates, answers int, over bool) int {
	if over && q.asked == 0 {
		q.asked = answers
	}
	if q.asked > 0 {
		return min(candidates, q.asked)
	}
	return candidates
}

// PlainAnswer is what the keeper of a candidate answered.
type PlainAnswer struct {
	Answer
	// Index is that of the candidate, and Time how long its worker takes for a request.
	Index int
	Time  time.Duration
}

// PlainChoice is the next step for a request to a plain service: Ask, Send, Hold or Refuse.
type PlainChoice struct {
	Step Step
	// Index is the candidate that Ask or Send concerns, and Bounds are those of the place that is asked for.
	Index  int
	Bounds Bounds
	// After is the time until the next question of a request that is held, or that a refused caller is to wait.
	After time.Duration
	// Wait is the shortest wait that an answer named, if there was one.
	Wait time.Duration
	// Share means that the request is held or refused since its workspace holds more than its share.
	Share bool
}

// ChoosePlain returns the next step for a request. The candidates are in the order in which they are asked, and the answers those
// of the keepers that were asked. A request goes where it is admitted, to a worker of which nothing is known if no other has declined,
// or where it waits least, if it can be on time there. Otherwise it is held for room that those on time leave, and refused if no
// worker is expected to begin it before its deadline. One whose workspace is over its share at all workers asked is held if the share
// is available while it can be on time, and refused otherwise. Random is a number in [0, 1).
func ChoosePlain(list []Candidate, answers []PlainAnswer, t Times, random float64) PlainChoice {
	best, over := -1, -1
	for i, a := range answers {
		switch {
		case a.Admitted || !a.Known && best < 0 && over < 0:
			return PlainChoice{Step: Send, Index: a.Index, Wait: a.Wait}
		case a.Known && a.OverShare:
			if over < 0 || a.Wait < answers[over].Wait {
				over = i
			}
		case a.Known && (best < 0 || a.Wait+a.Time < answers[best].Wait+answers[best].Time):
			best = i
		}
	}
	bounds := t.bounds()
	limit := min(len(list), maxPlainAsked)
	for i := 1; i < limit; i++ {
		if !list[i].expectedWithin(bounds) || list[i].Backoff > list[0].Backoff {
			limit = i
		}
	}
	asked := len(answers)
	switch {
	case asked < limit:
		if asked+1 < limit {
			patience := max(t.share(patienceShare), list[asked+1].Wait+list[asked+1].Path+callTime)
			bounds.MaxWait = min(bounds.MaxWait, patience)
		}
		return PlainChoice{Step: Ask, Index: asked, Bounds: bounds}
	case best < 0 && over >= 0:
		wait := answers[over].Wait
		if after := time.Duration((1 + random/4) * float64(wait)); after <= t.onTime() {
			return PlainChoice{Step: Hold, After: after, Wait: wait, Share: true}
		}
		return PlainChoice{Step: Refuse, After: SpreadRetry(wait, t.Left, random), Wait: wait, Share: true}
	case best < 0:
		return PlainChoice{Step: Refuse, After: SpreadRetry(0, t.Left, random)}
	}
	if a := answers[best]; bounds.Within > 0 && a.Wait+a.Time > bounds.Within {
		bounds = t.lateBounds()
	}
	if asked == limit && answers[best].Wait <= bounds.MaxWait {
		return PlainChoice{Step: Ask, Index: answers[best].Index, Bounds: bounds}
	}
	wait := answers[best].Wait
	hold := min(max(wait-t.share(lateShare), t.share(minHoldShare)), t.share(maxHoldShare))
	// Requests that were declined together ask again at different times.
	hold = time.Duration((0.75 + random/2) * float64(hold))
	// A hold ends while the worker is still expected to begin the request in time. Below callTime, the next answer would be too late.
	hold = min(hold, t.Left-wait)
	if hold < callTime {
		return PlainChoice{Step: Refuse, After: SpreadRetry(wait, t.Left, random), Wait: wait}
	}
	return PlainChoice{Step: Hold, After: hold, Wait: wait}
}

// SpreadRetry returns when a refused caller is to return: from the expected wait on, within the time that it takes to serve those
// that were refused, which is about as long. Callers wait only for a part of their remaining time, so that the times
// lie within it. Random is a number in [0, 1).
func SpreadRetry(wait, left time.Duration, random float64) time.Duration {
	wait = max(wait, minRetryAfter)
	latest := max(min(2*wait, time.Duration(callersPatience*float64(left))), 2*minRetryAfter)
	earliest := min(wait, latest/2)
	return earliest + time.Duration(random*float64(latest-earliest))
}
