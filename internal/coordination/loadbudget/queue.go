package loadbudget

import (
	"math/rand/v2"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
)

// QueueConfig configures the back-off and order of a Queue.
type QueueConfig struct {
	// InitialBackoff is the maximum back-off after the first failed attempt of a load. The maximum
	// doubles with each further failure, up to MaxBackoff. The back-off is drawn uniformly from the
	// upper half of the range up to the maximum.
	InitialBackoff, MaxBackoff time.Duration
	// AgeWeight is the number of waiting requests that one second of waiting counts as in the order
	// within a workspace, so that an adapter with a single request is not starved.
	AgeWeight float64
	// MaxAvoidedEngines is the maximum length of Load.Avoid.
	MaxAvoidedEngines int
	// MaxBatchWait is how long a load for requests of class batch may be delayed, so that further
	// requests can share it. DeadlineFraction limits the delay to a fraction, in [0, 1], of the time
	// between a request's arrival and its deadline.
	MaxBatchWait     time.Duration
	DeadlineFraction float64
}

// DefaultQueueConfig returns the settings used in production.
func DefaultQueueConfig() QueueConfig {
	return QueueConfig{
		InitialBackoff: 250 * time.Millisecond, MaxBackoff: 10 * time.Second, AgeWeight: 1, MaxAvoidedEngines: 3,
		MaxBatchWait: time.Minute, DeadlineFraction: 0.25,
	}
}

// Load is a queued or running load of an adapter. All requests that wait for the adapter share one Load.
type Load struct {
	Adapter   adapter.Ref
	Workspace string
	// Waiting is the number of requests that wait for the adapter.
	Waiting int
	// Popularity is the adapter's request rate. It orders loads of equal urgency, as on a cold start, when
	// equal numbers of requests wait.
	Popularity float64
	// Failures is the number of failed attempts.
	Failures int
	// Avoid lists the engines on which the load failed most recently, oldest first.
	Avoid []string

	due time.Time // earliest start for the waiting requests; the age of the load counts from here
	// delayed reports that the load was delayed to collect more requests. The number of requests then
	// gives it no precedence over loads that were not delayed.
	delayed bool
	retryAt time.Time // earliest time of the next attempt
	loading bool
}

// Queue orders the loads that wait for a permit: among workspaces by start-time fair queueing, in which every load
// has unit cost, and within a workspace by waiting requests, age and popularity. Next scans all queued loads,
// which is cheap at a rate of at most a few tens of loads per second.
type Queue struct {
	cfg         QueueConfig
	rnd         *rand.Rand
	loads       map[adapter.Ref]*Load
	workspaces  map[string]*workspaceQueue
	order       []string // workspace names in order of first use, so that iteration is deterministic
	virtualTime float64
	waiting     int // number of loads that are not running
}

// workspaceQueue holds the loads of one workspace.
type workspaceQueue struct {
	loads         []*Load
	virtualFinish float64 // virtual finish time of the last load that was started
	weight        float64
}

// NewQueue returns an empty queue. The random source adds jitter to retries.
func NewQueue(c QueueConfig, rnd *rand.Rand) *Queue {
	return &Queue{cfg: c, rnd: rnd, loads: map[adapter.Ref]*Load{}, workspaces: map[string]*workspaceQueue{}}
}

// SetWeight sets a workspace's weight among workspaces with queued loads. The default is 1.
func (q *Queue) SetWeight(workspace string, weight float64) {
	if weight > 0 {
		q.queueFor(workspace).weight = weight
	}
}

// queueFor returns the queue of a workspace and creates it if there is none.
func (q *Queue) queueFor(workspace string) *workspaceQueue {
	wq := q.workspaces[workspace]
	if wq == nil {
		wq = &workspaceQueue{weight: 1}
		q.workspaces[workspace] = wq
		q.order = append(q.order, workspace)
	}
	return wq
}

// Due returns the earliest start of a load for a request that arrived at the given time. It is the arrival itself,
// or for class batch a later time, so that further requests can share the load. A zero deadline means none.
func (q *Queue) Due(class config.Class, arrived, deadline time.Time) time.Time {
	if class != config.Batch {
		return arrived
	}
	wait := q.cfg.MaxBatchWait
	if !deadline.IsZero() {
		wait = min(wait, time.Duration(q.cfg.DeadlineFraction*float64(deadline.Sub(arrived))))
	}
	return arrived.Add(max(0, wait))
}

// Enqueue adds a load of an adapter that may start at due. If the queue already contains a load of the adapter,
// Enqueue only updates its number of waiting requests and its popularity, moves it forward if due is earlier,
// and reports false.
func (q *Queue) Enqueue(a adapter.Ref, workspace string, waiting int, popularity float64, due, now time.Time) bool {
	if l := q.loads[a]; l != nil {
		l.Waiting, l.Popularity = waiting, popularity
		if due.Before(l.due) {
			l.due, l.delayed = due, l.delayed && due.After(now)
		}
		return false
	}
	l := &Load{Adapter: a, Workspace: workspace, Waiting: waiting, Popularity: popularity, due: due, delayed: due.After(now)}
	q.loads[a] = l
	wq := q.queueFor(workspace)
	wq.loads = append(wq.loads, l)
	q.waiting++
	return true
}

// Cancel removes a load for which no request waits any longer, unless it is running.
func (q *Queue) Cancel(a adapter.Ref) {
	if l := q.loads[a]; l != nil && !l.loading {
		q.remove(l)
	}
}

// Next returns the load to start now and marks it as running. It returns nil when every load is running, not due
// or in back-off. The caller must make sure beforehand that a permit is available.
func (q *Queue) Next(now time.Time) *Load {
	var best *Load
	var bestWorkspace *workspaceQueue
	var virtualStart float64
	for _, w := range q.order {
		wq := q.workspaces[w]
		l := wq.mostUrgent(now, q.cfg.AgeWeight)
		if l == nil {
			continue
		}
		// A workspace that was idle starts at the current virtual time and accumulates no credit.
		if start := max(wq.virtualFinish, q.virtualTime); best == nil || start < virtualStart {
			best, bestWorkspace, virtualStart = l, wq, start
		}
	}
	if best == nil {
		return nil
	}
	best.loading = true
	q.waiting--
	q.virtualTime, bestWorkspace.virtualFinish = virtualStart, virtualStart+1/bestWorkspace.weight
	return best
}

// mostUrgent returns the workspace's highest-ranked load that may start now, or nil.
func (wq *workspaceQueue) mostUrgent(now time.Time, ageWeight float64) *Load {
	var best *Load
	var bestRank float64
	for _, l := range wq.loads {
		if l.loading || l.due.After(now) || l.retryAt.After(now) {
			continue
		}
		rank := ageWeight * now.Sub(l.due).Seconds()
		if !l.delayed {
			rank += float64(l.Waiting)
		}
		if best == nil || rank > bestRank || rank == bestRank && l.Popularity > best.Popularity {
			best, bestRank = l, rank
		}
	}
	return best
}

// Loaded removes a load that succeeded or is no longer needed.
func (q *Queue) Loaded(a adapter.Ref) {
	if l := q.loads[a]; l != nil {
		q.remove(l)
	}
}

// Failed records that a load failed on an engine. The requests keep waiting, and the next attempt is delayed by a
// back-off and avoids the engine. Failed returns the earliest time of the next attempt.
func (q *Queue) Failed(a adapter.Ref, engine string, now time.Time) time.Time {
	l := q.loads[a]
	if l == nil {
		return now
	}
	q.endAttempt(l)
	backoff := q.cfg.InitialBackoff << min(l.Failures, 16)
	if backoff <= 0 || backoff > q.cfg.MaxBackoff {
		backoff = q.cfg.MaxBackoff
	}
	l.Failures++
	if engine != "" {
		l.Avoid = append(l.Avoid, engine)
		if n := len(l.Avoid) - q.cfg.MaxAvoidedEngines; n > 0 {
			l.Avoid = l.Avoid[n:]
		}
	}
	l.retryAt = now.Add(backoff/2 + time.Duration(q.rnd.Int64N(int64(backoff/2)+1)))
	return l.retryAt
}

// Postpone returns a load to the queue that could not start, for example because no engine has a usable slot. The
// load cannot start again before until. This does not count as a failure.
func (q *Queue) Postpone(a adapter.Ref, until time.Time) {
	if l := q.loads[a]; l != nil {
		q.endAttempt(l)
		l.retryAt = until
	}
}

// Waiting returns the number of loads that are queued but not running.
func (q *Queue) Waiting() int { return q.waiting }

// endAttempt marks a load as no longer running.
func (q *Queue) endAttempt(l *Load) {
	if l.loading {
		l.loading = false
		q.waiting++
	}
}

// Contains reports whether a load of the adapter is queued or running.
func (q *Queue) Contains(a adapter.Ref) bool { return q.loads[a] != nil }

// remove deletes the load from the queue.
func (q *Queue) remove(l *Load) {
	q.endAttempt(l)
	q.waiting--
	delete(q.loads, l.Adapter)
	wq := q.workspaces[l.Workspace]
	for i, o := range wq.loads {
		if o == l {
			wq.loads = append(wq.loads[:i], wq.loads[i+1:]...)
			return
		}
	}
}
