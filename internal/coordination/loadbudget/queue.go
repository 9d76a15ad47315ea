package loadbudget

import (
	"math/rand/v2"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
)

// QueueConfig sets a Queue's back-off and order.
type QueueConfig struct {
	// InitialBackoff is the longest wait before the second attempt of a load; it doubles with each
	// further failure up to MaxBackoff. The wait is drawn evenly from its upper half.
	InitialBackoff, MaxBackoff time.Duration
	// AgeWeight is how many waiting requests one second of waiting counts as in the order within
	// a workspace, so that an adapter with one request does not wait for ever.
	AgeWeight float64
	// MaxAvoidedEngines is how many engines that failed a load are remembered per adapter.
	MaxAvoidedEngines int
	// MaxBatchWait is how long the load of an adapter may wait for more requests of class batch, so that
	// one load serves them all. DeadlinePart limits the wait to a part, in [0, 1], of the time
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

// Load is one adapter that must be loaded. All requests that miss it share one Load.
type Load struct {
	Adapter   adapter.Ref
	Workspace string
	// Waiting counts the requests that wait for the adapter.
	Waiting int
	// Popularity is the adapter's request rate; it orders loads on a cold start, when equally
	// many requests wait.
	Popularity float64
	// Failures counts failed attempts.
	Failures int
	// Avoid lists the engines that failed it most recently.
	Avoid []string

	due time.Time // when the waiting requests want the load; age counts from here
	// patient says that the load waited for more requests. Their number then gives it no precedence
	// over loads that callers wait for.
	patient   bool
	notBefore time.Time // when the load may be tried again
	loading   bool
}

// Queue orders the loads that wait for a permit: fairly among workspaces by start-time fair queueing
// with one load as the unit, and within a workspace by waiting requests, age and popularity. A grant
// scans the waiting loads; at most a few tens of grants a second keep that cheap.
type Queue struct {
	cfg     QueueConfig
	rnd     *rand.Rand
	loads   map[adapter.Ref]*Load
	spaces  map[string]*space
	order   []string // workspaces in order of first use, so that iteration is deterministic
	virtual float64
	waiting int // loads that are not under way
}

type space struct {
	loads  []*Load
	finish float64 // virtual time at which the workspace's last granted load ends
	weight float64
}

// NewQueue returns an empty queue. The random source spreads retries.
func NewQueue(c QueueConfig, rnd *rand.Rand) *Queue {
	return &Queue{cfg: c, rnd: rnd, loads: map[adapter.Ref]*Load{}, spaces: map[string]*space{}}
}

// SetWeight sets a workspace's share among workspaces with waiting loads; the default is 1.
func (q *Queue) SetWeight(workspace string, weight float64) {
	if weight > 0 {
		q.space(workspace).weight = weight
	}
}

func (q *Queue) space(workspace string) *space {
	s := q.spaces[workspace]
	if s == nil {
		s = &space{weight: 1}
		q.spaces[workspace] = s
		q.order = append(q.order, workspace)
	}
	return s
}

// Due returns when the load for a request that arrived at the given time should start: at once, or for
// class batch after a wait in which further requests may join it. A zero deadline is none.
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

// Enqueue asks for an adapter whose load starts at due at the earliest. For an adapter that is already
// wanted it only updates the number of waiting requests and the popularity, brings the load forward
// when due is earlier, and reports false.
func (q *Queue) Enqueue(a adapter.Ref, workspace string, waiting int, popularity float64, due, now time.Time) bool {
	if l := q.loads[a]; l != nil {
		l.Waiting, l.Popularity = waiting, popularity
		if due.Before(l.due) {
			l.due, l.patient = due, l.patient && due.After(now)
		}
		return false
	}
	l := &Load{Adapter: a, Workspace: workspace, Waiting: waiting, Popularity: popularity, due: due, patient: due.After(now)}
	q.loads[a] = l
	s := q.space(workspace)
	s.loads = append(s.loads, l)
	q.waiting++
	return true
}

// Cancel drops a load that nobody waits for any more, unless it is under way.
func (q *Queue) Cancel(a adapter.Ref) {
	if l := q.loads[a]; l != nil && !l.loading {
		q.remove(l)
	}
}

// Next returns the load to start now and marks it as under way. It returns nil when every wanted
// load is under way or backs off. The caller has taken a permit before.
func (q *Queue) Next(now time.Time) *Load {
	var best *Load
	var from *space
	var start float64
	for _, w := range q.order {
		s := q.spaces[w]
		l := s.first(now, q.cfg.AgeWeight)
		if l == nil {
			continue
		}
		// A workspace that was idle starts at the current virtual time and keeps no credit.
		if at := max(s.finish, q.virtual); best == nil || at < start {
			best, from, start = l, s, at
		}
	}
	if best == nil {
		return nil
	}
	best.loading = true
	q.waiting--
	q.virtual, from.finish = start, start+1/from.weight
	return best
}

// first returns the workspace's most urgent load that may start.
func (s *space) first(now time.Time, ageWeight float64) *Load {
	var best *Load
	var rank float64
	for _, l := range s.loads {
		if l.loading || l.due.After(now) || l.notBefore.After(now) {
			continue
		}
		r := ageWeight * now.Sub(l.due).Seconds()
		if !l.patient {
			r += float64(l.Waiting)
		}
		if best == nil || r > rank || r == rank && l.Popularity > best.Popularity {
			best, rank = l, r
		}
	}
	return best
}

// Loaded ends a load that succeeded.
func (q *Queue) Loaded(a adapter.Ref) {
	if l := q.loads[a]; l != nil {
		q.remove(l)
	}
}

// Failed ends an attempt that failed on an engine. The requests keep waiting, and the next attempt
// backs off and avoids the engine. It returns the earliest time of the next attempt.
func (q *Queue) Failed(a adapter.Ref, engine string, now time.Time) time.Time {
	l := q.loads[a]
	if l == nil {
		return now
	}
	q.release(l)
	wait := q.cfg.InitialBackoff << min(l.Failures, 16)
	if wait <= 0 || wait > q.cfg.MaxBackoff {
		wait = q.cfg.MaxBackoff
	}
	l.Failures++
	if engine != "" {
		l.Avoid = append(l.Avoid, engine)
		if n := len(l.Avoid) - q.cfg.MaxAvoidedEngines; n > 0 {
			l.Avoid = l.Avoid[n:]
		}
	}
	l.notBefore = now.Add(wait/2 + time.Duration(q.rnd.Int64N(int64(wait/2)+1)))
	return l.notBefore
}

// Postpone returns a load for which no engine has a usable slot now. It counts as no failure.
func (q *Queue) Postpone(a adapter.Ref, until time.Time) {
	if l := q.loads[a]; l != nil {
		q.release(l)
		l.notBefore = until
	}
}

// Waiting returns how many loads wait for a permit.
func (q *Queue) Waiting() int { return q.waiting }

// release ends an attempt that did not load the adapter.
func (q *Queue) release(l *Load) {
	if l.loading {
		l.loading = false
		q.waiting++
	}
}

// Contains reports whether the adapter is wanted or under way.
func (q *Queue) Contains(a adapter.Ref) bool { return q.loads[a] != nil }

func (q *Queue) remove(l *Load) {
	q.release(l)
	q.waiting--
	delete(q.loads, l.Adapter)
	s := q.spaces[l.Workspace]
	for i, o := range s.loads {
		if o == l {
			s.loads = append(s.loads[:i], s.loads[i+1:]...)
			return
		}
	}
}
