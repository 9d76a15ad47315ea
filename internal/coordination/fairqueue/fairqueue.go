// Package fairqueue schedules the requests that wait on one instance. It combines start-time fair
// queueing among workspaces, by tokens served across the whole fleet, with service classes and ageing,
// deadlines, and a bounded preference for resident adapters.
//
// Fairness guarantee: a dispatch never raises a workspace's normalised service (tokens divided by
// weight) above that of another workspace with a placeable request by more than the largest request
// divided by its workspace's weight. Classes, deadlines, the preference for resident adapters and
// policy only choose among the workspaces that this bound permits, so no setting can break fairness.
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

// Request is a request to be scheduled.
type Request struct {
	// ID is unique among waiting and running requests.
	ID        string
	Workspace string
	Adapter   adapter.Ref
	// Class is the service class; empty means standard.
	Class config.Class
	// Worth is the weight of the adapter within its workspace; zero means 1.
	Worth float64
	// Tokens is the number of tokens reserved at dispatch: prompt tokens plus the maximum output.
	Tokens float64
	// Arrived is when the request reached the system. It stays the same when the request is queued
	// again after a not-run attempt.
	Arrived time.Time
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	// ServiceTime is the expected time from dispatch to the complete response.
	ServiceTime time.Duration
}

// Fit describes whether, and at what cost, an adapter can be placed now.
type Fit int

const (
	// Blocked means that no backend server can currently accept requests for the adapter.
	Blocked Fit = iota
	// NeedsLoad means that a dispatch requires loading the adapter first.
	NeedsLoad
	// Resident means that the adapter is already loaded.
	Resident
)

// HTTP status codes of rejections. Decision packages do not import net/http.
const (
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	statusConflict           = 409
)

type item struct {
	Request
	seq uint64
	// latestDispatch is the latest dispatch time that meets the deadline with DeadlineMargin to spare;
	// zero if the request has no deadline.
	latestDispatch time.Time
	flow           *flow
}

// flow holds the waiting requests of one adapter version in one class.
type flow struct {
	items []*item
	// rank is the class rank before ageing.
	rank   int
	weight float64
	// startTag is the flow's virtual start time within its workspace, in tokens divided by worth weight.
	startTag float64
}

type flowKey struct {
	adapter adapter.Ref
	class   config.Class
}

type workspace struct {
	weight float64
	// virtualTime is the workspace's virtual time: its normalised service across the fleet, in tokens
	// divided by weight.
	virtualTime float64
	// localService is the normalised service by this instance, as reported to peers.
	localService float64
	// epoch counts how often virtualTime was raised to the system virtual time. A refund for a dispatch
	// of an earlier epoch is not applied to virtualTime: it would give credit for idle time.
	epoch uint64
	// largestRequest is the size of the largest request since the workspace became backlogged, in tokens.
	largestRequest float64
	// byLatestDispatch holds the waiting requests that have a deadline, by latest dispatch time.
	byLatestDispatch []*item
	flows            map[flowKey]*flow
	activeFlows      []*flow
	waiting          int
	waitingTokens    float64
	// flowVirtualTime is the smallest start tag of the backlogged flows. It never decreases.
	flowVirtualTime float64
	// urgentAt is the latest time to switch to deadline order so that all deadlines are met at
	// urgentRate tokens per second. It is recomputed when urgentStale is set, when the rate changes by
	// more than rateTolerance, or when urgentSizeVersion is out of date.
	urgentAt   time.Time
	urgentRate float64
	// urgentSizeVersion is the value of Queue.sizeVersion that urgentAt was computed with.
	urgentSizeVersion uint64
	urgentStale       bool
}

type running struct {
	workspace *workspace
	tokens    float64
	epoch     uint64
}

// Queue is the request queue of one instance.
type Queue struct {
	settings   Settings
	workspaces map[string]*workspace
	backlogged []*workspace
	// totalWeight is the sum of the weights of the backlogged workspaces.
	totalWeight float64
	items       map[string]*item
	running     map[string]running
	peerService map[string]map[string]float64
	weights     map[string]float64
	// virtualTime is the system virtual time: the smallest virtual time of the backlogged workspaces, or
	// the largest of all workspaces if none is backlogged. It never decreases.
	virtualTime float64
	// sizeVersion counts the changes of any workspace's largestRequest. Each one changes maxDelay of all
	// workspaces.
	sizeVersion uint64
	seq         uint64
	rate        rateEstimate
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{
		settings:    s.withDefaults(),
		workspaces:  map[string]*workspace{},
		items:       map[string]*item{},
		running:     map[string]running{},
		peerService: map[string]map[string]float64{},
		weights:     map[string]float64{},
	}
}

// SetPolicy replaces the policy. From the next dispatch on, it also applies to requests already waiting.
func (q *Queue) SetPolicy(p config.Policy) {
	q.settings.Policy = p
	q.settings = q.settings.withDefaults()
	for _, w := range q.workspaces {
		for _, f := range w.activeFlows {
			f.weight = q.settings.worthWeight(f.items[0].Worth)
		}
	}
}

// SetWeight sets a workspace's weight; zero or less means 1. It applies to later dispatches.
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

// RemoveWorkspace removes a workspace that is no longer configured. It does nothing and returns false
// while requests of the workspace are waiting.
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

// Waiting returns the number of a workspace's waiting requests and the sum of their tokens.
func (q *Queue) Waiting(name string) (requests int, tokens float64) {
	if w := q.workspaces[name]; w != nil {
		return w.waiting, w.waitingTokens
	}
	return 0, 0
}

// Enqueue adds a request. It rejects the request with verdict not-run if a queue limit is reached, or if
// the deadline of this request or of a previously accepted one could not be met. If MaxTotal is reached,
// Enqueue removes the newest request of the least urgent class from the workspace with the most waiting
// tokens by weight; if that is the request's own workspace, it rejects the request instead. The removed
// request is returned as displaced, and the caller must fail it with DisplacedError.
func (q *Queue) Enqueue(r Request, now time.Time) (displaced *Request, err error) {
	if _, ok := q.items[r.ID]; ok {
		return nil, rejection(statusConflict, "duplicate_request", "a request with this id is waiting", 0)
	}
	if _, ok := q.running[r.ID]; ok {
		return nil, rejection(statusConflict, "duplicate_request", "a request with this id is running", 0)
	}
	w := q.workspace(r.Workspace)
	if w.waiting >= q.settings.MaxPerWorkspace {
		return nil, rejection(statusTooManyRequests, "queue_full", "too many requests of the workspace wait", time.Second)
	}
	it := &item{Request: r, latestDispatch: q.latestDispatch(r)}
	if err := q.checkDeadlines(w, it, now); err != nil {
		return nil, err
	}
	if len(q.items) >= q.settings.MaxTotal {
		victim := q.victim(w)
		if victim == nil {
			return nil, rejection(statusServiceUnavailable, "queue_full", "too many requests wait", time.Second)
		}
		q.remove(victim)
		displaced = &victim.Request
	}
	q.add(w, it)
	return displaced, nil
}

// DisplacedError returns the error for a request that was removed from a full queue in favour of another
// workspace's request.
func DisplacedError() *verdict.Error {
	return rejection(statusTooManyRequests, "displaced",
		"the queue is full and the workspace holds most of it", time.Second)
}

// ExpiredError returns the error for a waiting request whose deadline can no longer be met.
func ExpiredError() *verdict.Error {
	return rejection(statusServiceUnavailable, "deadline_unmet",
		"the deadline passed in the queue", 0)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	it, ok := q.items[id]
	if ok {
		q.remove(it)
	}
	return ok
}

// Expire removes and returns the waiting requests that can no longer meet their deadline even without
// DeadlineMargin. None of them has run.
func (q *Queue) Expire(now time.Time) []Request {
	var expired []Request
	limit := now.Add(-q.settings.DeadlineMargin)
	for i := len(q.backlogged) - 1; i >= 0; i-- {
		w := q.backlogged[i]
		for len(w.byLatestDispatch) > 0 && w.byLatestDispatch[0].latestDispatch.Before(limit) {
			expired = append(expired, w.byLatestDispatch[0].Request)
			q.remove(w.byLatestDispatch[0])
		}
	}
	return expired
}

func rejection(status int, code, message string, after time.Duration) *verdict.Error {
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
		w = &workspace{weight: weight, virtualTime: q.virtualTime, flows: map[flowKey]*flow{}}
		q.workspaces[name] = w
	}
	return w
}

// victim returns the request to displace in favour of a request of workspace w. It returns nil if w
// itself has the most waiting tokens by weight.
func (q *Queue) victim(w *workspace) *item {
	var heaviest *workspace
	for _, c := range q.backlogged {
		if heaviest == nil || c.waitingTokens/c.weight > heaviest.waitingTokens/heaviest.weight {
			heaviest = c
		}
	}
	if heaviest == nil || heaviest == w {
		return nil
	}
	var leastUrgent *item
	for _, f := range heaviest.activeFlows {
		it := f.items[len(f.items)-1]
		if leastUrgent == nil || lessUrgent(it, leastUrgent) {
			leastUrgent = it
		}
	}
	return leastUrgent
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
	w.waitingTokens += it.Tokens
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
		w.activeFlows = append(w.activeFlows, f)
	}
	f.weight = q.settings.worthWeight(it.Worth)
	f.items = append(f.items, it)
	it.flow = f
	if !it.latestDispatch.IsZero() {
		w.byLatestDispatch = slices.Insert(w.byLatestDispatch, w.deadlineIndex(it), it)
	}
	w.urgentStale = true
}

// startBacklog marks a workspace as backlogged. The workspace gets no credit for its idle time.
func (q *Queue) startBacklog(w *workspace) {
	if w.virtualTime < q.virtualTime {
		w.virtualTime = q.virtualTime
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
	w.waitingTokens -= it.Tokens
	i := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, i, i+1)
	if len(f.items) == 0 {
		w.activeFlows = slices.DeleteFunc(w.activeFlows, func(o *flow) bool { return o == f })
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

// endBacklog marks a workspace as no longer backlogged.
func (q *Queue) endBacklog(w *workspace) {
	w.waitingTokens = 0
	q.backlogged = slices.DeleteFunc(q.backlogged, func(o *workspace) bool { return o == w })
	q.totalWeight -= w.weight
	if len(q.backlogged) == 0 {
		q.totalWeight = 0
	}
	q.advanceVirtualTime()
}

// idleFlowThreshold is added to twice the number of active flows to give the number of flows from which
// on idle flows are dropped.
const idleFlowThreshold = 64

// dropIdleFlows deletes idle flows whose start tag is not above the flow virtual time. Deleting a flow
// earlier would lose its start tag, and the flow could gain service by going idle briefly.
func (w *workspace) dropIdleFlows() {
	if len(w.activeFlows) == 0 {
		clear(w.flows)
		return
	}
	if len(w.flows) < 2*len(w.activeFlows)+idleFlowThreshold {
		return
	}
	for k, f := range w.flows {
		if len(f.items) == 0 && f.startTag <= w.flowVirtualTime {
			delete(w.flows, k)
		}
	}
}

// advanceVirtualTime recomputes the system virtual time.
func (q *Queue) advanceVirtualTime() {
	if len(q.backlogged) == 0 {
		for _, w := range q.workspaces {
			q.virtualTime = max(q.virtualTime, w.virtualTime)
		}
		return
	}
	minVirtual := q.backlogged[0].virtualTime
	for _, w := range q.backlogged[1:] {
		minVirtual = min(minVirtual, w.virtualTime)
	}
	q.virtualTime = max(q.virtualTime, minVirtual)
}
