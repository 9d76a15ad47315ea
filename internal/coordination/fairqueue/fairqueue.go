// Package fairqueue orders the requests that wait on one instance: start-time fair queueing among
// workspaces by tokens of service over the whole fleet, service classes with ageing, deadlines, and a
// bounded preference for adapters that need no load.
//
// Guarantee: a workspace is served only if its normalised service (tokens by weight) then exceeds that
// of no other workspace with a request that can be placed by more than the largest request over weight.
// Classes, deadlines,
// batching and policy only choose among the workspaces that this bound permits, so no setting can
// break fairness.
//
// A Queue is not safe for concurrent use.
package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// Request is one waiting request.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID        string
	Workspace string
	Adapter   adapter.Ref
	// Class is the service class; empty means standard.
	Class config.Class
	// Worth is the weight of the adapter within its workspace; zero means 1.
	Worth float64
	// Tokens is the service reserved at dispatch: the prompt plus the largest output.
	Tokens float64
	// Arrived is when the request reached the system. A request that is queued again after a
	// not-run attempt keeps it.
	Arrived time.Time
	// Deadline is when the answer must be complete; zero means none.
	Deadline time.Time
	// ServiceTime is the expected time from dispatch to the complete answer.
	ServiceTime time.Duration
}

// Fit says how well an adapter can be placed now.
type Fit int

const (
	// Blocked means that no backend server can take the adapter's requests now.
	Blocked Fit = iota
	// NeedsLoad means that a dispatch causes an adapter load.
	NeedsLoad
	// Resident means that a dispatch needs no load.
	Resident
)

// The HTTP statuses of refusals. Decision packages do not import net/http.
const (
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	statusConflict           = 409
)

type item struct {
	Request
	seq uint64
	// latestDispatch is the last time at which a dispatch still meets the deadline with the margin.
	latestDispatch time.Time
	flow           *flow
}

// flow holds the waiting requests of one adapter version in one class.
type flow struct {
	items []*item
	// rank is the class rank before ageing.
	rank   int
	weight float64
	// startTag is the flow's virtual start time within its workspace, in tokens by worth.
	startTag float64
}

type flowKey struct {
	adapter adapter.Ref
	class   config.Class
}

type workspace struct {
	weight float64
	// virtual is the normalised service over the fleet, in tokens by weight.
	virtual float64
	// localService is the normalised service by this instance, as told to peers.
	localService float64
	// epoch counts the times that virtual was raised to the system's virtual time. A refund for a
	// dispatch of an earlier epoch would give credit for time in which nothing waited.
	epoch uint64
	// largestRequest is the largestRequest request since the workspace became backlogged, in tokens.
	largestRequest float64
	// byLatestDispatch orders the waiting requests by latest dispatch time; those without a deadline are
	// not in it.
	byLatestDispatch []*item
	flows            map[flowKey]*flow
	active           []*flow
	waiting          int
	tokens           float64
	// flowVirtualTime is the smallest tag of a backlogged flow, never decreasing.
	flowVirtualTime float64
	// urgentAt is when requests must be taken by deadline for all deadlines to be met, at
	// urgentRate tokens per second. It is computed again when stale or when the rate moved.
	urgentAt   time.Time
	urgentRate float64
	// urgentSizeVersion is Queue.sizes at that computation.
	urgentSizeVersion uint64
	urgentStale       bool
}

type running struct {
	workspace *workspace
	tokens    float64
	epoch     uint64
}

// Queue is the queue of one instance.
type Queue struct {
	settings   Settings
	workspaces map[string]*workspace
	backlogged []*workspace
	// totalWeight is the sum over the backlogged workspaces.
	totalWeight float64
	items       map[string]*item
	running     map[string]running
	peers       map[string]map[string]float64
	weights     map[string]float64
	// virtual is the system's virtual time: the smallest of the backlogged workspaces, or the
	// largest of all when none is, never decreasing.
	virtual float64
	// sizeVersion counts the changes of a workspace's largest request, which change the delay of all.
	sizeVersion uint64
	seq         uint64
	rate        rateEstimate
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{
		settings:   s.withDefaults(),
		workspaces: map[string]*workspace{},
		items:      map[string]*item{},
		running:    map[string]running{},
		peers:      map[string]map[string]float64{},
		weights:    map[string]float64{},
	}
}

// SetPolicy replaces the policy; requests that wait already follow it from the next decision on.
func (q *Queue) SetPolicy(p config.Policy) {
	q.settings.Policy = p
	q.settings = q.settings.withDefaults()
	for _, w := range q.workspaces {
		for _, f := range w.active {
			f.weight = q.settings.worthWeight(f.items[0].Worth)
		}
	}
}

// SetWeight sets a workspace's weight; zero means 1. It applies to later dispatches.
func (q *Queue) SetWeight(name string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	q.weights[name] = weight
	w := q.workspaces[name]
	if w == nil {
		return
	}
	if w.waiting > 0 {
		q.totalWeight += weight - w.weight
	}
	w.weight = weight
}

// RemoveWorkspace forgets a workspace that was taken out of the configuration and reports whether it could:
// it cannot while requests of it wait.
func (q *Queue) RemoveWorkspace(name string) bool {
	if w := q.workspaces[name]; w != nil && w.waiting > 0 {
		return false
	}
	delete(q.workspaces, name)
	delete(q.weights, name)
	return true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number and the tokens of a workspace's waiting requests.
func (q *Queue) Waiting(name string) (requests int, tokens float64) {
	if w := q.workspaces[name]; w != nil {
		return w.waiting, w.tokens
	}
	return 0, 0
}

// Enqueue adds a request. It refuses with verdict not-run when a bound is reached, or when the
// deadline of this request or of one accepted earlier could not be met. When the queue is full in all,
// the newest, least urgent request of the workspace that waits with the most tokens by weight gives
// way; it is returned as displaced and must be refused with Displaced.
func (q *Queue) Enqueue(r Request, now time.Time) (displaced *Request, err error) {
	if _, ok := q.items[r.ID]; ok {
		return nil, refuse(statusConflict, "duplicate_request", "a request with this id is waiting", 0)
	}
	if _, ok := q.running[r.ID]; ok {
		return nil, refuse(statusConflict, "duplicate_request", "a request with this id is running", 0)
	}
	w := q.workspace(r.Workspace)
	if w.waiting >= q.settings.MaxPerWorkspace {
		return nil, refuse(statusTooManyRequests, "queue_full", "too many requests of the workspace wait", time.Second)
	}
	it := &item{Request: r, latestDispatch: q.latestDispatch(r)}
	if err := q.checkDeadlines(w, it, now); err != nil {
		return nil, err
	}
	if len(q.items) >= q.settings.MaxTotal {
		victim := q.victim(w)
		if victim == nil {
			return nil, refuse(statusServiceUnavailable, "queue_full", "too many requests wait", time.Second)
		}
		q.remove(victim)
		displaced = &victim.Request
	}
	q.add(w, it)
	return displaced, nil
}

// DisplacedError returns the refusal of a request that gave way to another workspace's.
func DisplacedError() *verdict.Error {
	return refuse(statusTooManyRequests, "displaced", "the queue is full and the workspace holds most of it", time.Second)
}

// ExpiredError returns the refusal of a waiting request whose deadline can no longer be met.
func ExpiredError() *verdict.Error {
	return refuse(statusServiceUnavailable, "deadline_unmet", "the deadline passed in the queue", 0)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	it, ok := q.items[id]
	if ok {
		q.remove(it)
	}
	return ok
}

// Expire removes and returns the requests whose deadline can no longer be met, also without the margin.
// None of them ran.
func (q *Queue) Expire(now time.Time) []Request {
	var late []Request
	limit := now.Add(-q.settings.DeadlineMargin)
	for i := len(q.backlogged) - 1; i >= 0; i-- {
		w := q.backlogged[i]
		for len(w.byLatestDispatch) > 0 && w.byLatestDispatch[0].latestDispatch.Before(limit) {
			late = append(late, w.byLatestDispatch[0].Request)
			q.remove(w.byLatestDispatch[0])
		}
	}
	return late
}

func refuse(status int, code, message string, after time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, status, code, message).WithRetryAfter(after)
}

func (q *Queue) latestDispatch(r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-r.ServiceTime - q.settings.DeadlineMargin)
}

func (q *Queue) workspace(name string) *workspace {
	w := q.workspaces[name]
	if w == nil {
		weight := q.weights[name]
		if weight <= 0 {
			weight = 1
		}
		w = &workspace{weight: weight, virtual: q.virtual, flows: map[flowKey]*flow{}}
		q.workspaces[name] = w
	}
	return w
}

// victim returns the request that gives way to one of workspace w, or nil if w itself holds the most.
func (q *Queue) victim(w *workspace) *item {
	var most *workspace
	for _, c := range q.backlogged {
		if most == nil || c.tokens/c.weight > most.tokens/most.weight {
			most = c
		}
	}
	if most == nil || most == w {
		return nil
	}
	var worst *item
	for _, f := range most.active {
		it := f.items[len(f.items)-1]
		if worst == nil || lessUrgent(it, worst) {
			worst = it
		}
	}
	return worst
}

func lessUrgent(a, b *item) bool {
	if a.flow.rank != b.flow.rank {
		return a.flow.rank > b.flow.rank
	}
	return a.seq > b.seq
}

func (q *Queue) add(w *workspace, it *item) {
	q.seq++
	it.seq = q.seq
	q.items[it.ID] = it
	if w.waiting == 0 {
		q.startBacklog(w)
	}
	w.waiting++
	w.tokens += it.Tokens
	if it.Tokens > w.largestRequest {
		w.largestRequest = it.Tokens
		q.sizeVersion++
	}
	key := flowKey{it.Adapter, it.Class}
	f := w.flows[key]
	if f == nil {
		f = &flow{rank: classRank(it.Class)}
		w.flows[key] = f
	}
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, w.flowVirtualTime)
		w.active = append(w.active, f)
	}
	f.weight = q.settings.worthWeight(it.Worth)
	f.items = append(f.items, it)
	it.flow = f
	if !it.latestDispatch.IsZero() {
		w.byLatestDispatch = slices.Insert(w.byLatestDispatch, w.deadlineIndex(it), it)
	}
	w.urgentStale = true
}

// startBacklog makes a workspace backlogged. It gets no credit for the time in which nothing waited.
func (q *Queue) startBacklog(w *workspace) {
	if w.virtual < q.virtual {
		w.virtual = q.virtual
		w.epoch++
	}
	w.largestRequest = 0
	q.backlogged = append(q.backlogged, w)
	q.totalWeight += w.weight
}

func (w *workspace) deadlineIndex(it *item) int {
	i, _ := slices.BinarySearchFunc(w.byLatestDispatch, it, func(a, b *item) int {
		if c := a.latestDispatch.Compare(b.latestDispatch); c != 0 {
			return c
		}
		return cmp.Compare(a.seq, b.seq)
	})
	return i
}

func (q *Queue) remove(it *item) {
	w, f := q.workspaces[it.Workspace], it.flow
	delete(q.items, it.ID)
	w.waiting--
	w.tokens -= it.Tokens
	i := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, i, i+1)
	if len(f.items) == 0 {
		w.active = slices.DeleteFunc(w.active, func(o *flow) bool { return o == f })
		w.dropIdleFlows()
	}
	if !it.latestDispatch.IsZero() {
		d := w.deadlineIndex(it)
		w.byLatestDispatch = slices.Delete(w.byLatestDispatch, d, d+1)
	}
	w.urgentStale = true
	if w.waiting == 0 {
		q.endBacklog(w)
	}
}

// endBacklog ends a workspace's backlog.
func (q *Queue) endBacklog(w *workspace) {
	w.tokens = 0
	q.backlogged = slices.DeleteFunc(q.backlogged, func(o *workspace) bool { return o == w })
	q.totalWeight -= w.weight
	if len(q.backlogged) == 0 {
		q.totalWeight = 0
	}
	q.advanceVirtualTime()
}

// maxIdleFlows is how many flows without requests a workspace keeps before the passed ones are dropped.
const maxIdleFlows = 64

// dropIdleFlows forgets idle flows whose tag is passed. A flow keeps its tag until then, since it would
// otherwise gain service by becoming idle for a moment.
func (w *workspace) dropIdleFlows() {
	if len(w.active) == 0 {
		clear(w.flows)
		return
	}
	if len(w.flows) < 2*len(w.active)+maxIdleFlows {
		return
	}
	for k, f := range w.flows {
		if len(f.items) == 0 && f.startTag <= w.flowVirtualTime {
			delete(w.flows, k)
		}
	}
}

// advanceVirtualTime moves the system's virtual time.
func (q *Queue) advanceVirtualTime() {
	if len(q.backlogged) == 0 {
		for _, w := range q.workspaces {
			q.virtual = max(q.virtual, w.virtual)
		}
		return
	}
	least := q.backlogged[0].virtual
	for _, w := range q.backlogged[1:] {
		least = min(least, w.virtual)
	}
	q.virtual = max(q.virtual, least)
}
