package fairqueue

import (
	"math"
	"time"
)

// The weights of the preferences among the workspaces that the fairness bound permits. The lag of a
// workspace, 0 to 1, is weighted by Policy.WorstServed.
const (
	// urgentScore puts a request that must run now to meet its deadline before every other.
	urgentScore = 1000
	// classScore is the weight of one class of difference.
	classScore = 0.5
	// residentScore is the weight of saving a load.
	residentScore = 0.25
)

type candidate struct {
	workspace *workspace
	item      *item
	urgent    bool
	rank      int
	fit       Fit
}

// Next takes the request to dispatch and charges its workspace. fit says whether an adapter can be
// placed now; it is asked at least once per waiting adapter and class. Next returns false when nothing that
// waits can be placed. fit must not keep its argument. Call Expire first, so that no request is dispatched after its latest time.
func (q *Queue) Next(now time.Time, fit func(*Request) Fit) (Request, bool) {
	best, ok := q.choose(now, fit)
	if !ok {
		return Request{}, false
	}
	q.dispatch(best.item, now)
	return best.item.Request, true
}

// choose returns the best candidate that the fairness bound permits. While a workspace has a request
// that must run now, workspaces that were served more than it wait: otherwise one with small requests
// could use up the bound again and again before one with large requests becomes eligible.
func (q *Queue) choose(now time.Time, fit func(*Request) Fit) (candidate, bool) {
	var buffer [16]candidate
	candidates := buffer[:0]
	bound, least, most, limit := 0.0, math.Inf(1), 0.0, math.Inf(1)
	for _, w := range q.backlogged {
		c, ok := q.pick(w, now, fit)
		if !ok {
			continue
		}
		least, most = min(least, w.virtual), max(most, w.virtual)
		bound = max(bound, w.largestRequest/w.weight)
		if c.urgent {
			limit = min(limit, w.virtual)
		}
		candidates = append(candidates, c)
	}
	var best candidate
	bestScore, found := 0.0, false
	for _, c := range candidates {
		w := c.workspace
		if w.virtual > limit || w.virtual > least && w.virtual+c.item.Tokens/w.weight > least+bound {
			continue
		}
		score := q.score(c, bound, most)
		if !found || score > bestScore || score == bestScore && w.virtual < best.workspace.virtual {
			best, bestScore, found = c, score, true
		}
	}
	return best, found
}

func (q *Queue) score(c candidate, bound, most float64) float64 {
	score := -classScore * float64(c.rank)
	if c.urgent {
		score += urgentScore
	}
	if c.fit == Resident {
		score += residentScore
	}
	if bound > 0 {
		score += q.settings.Policy.WorstServed * (most - c.workspace.virtual) / bound
	}
	return score
}

// pick returns the workspace's next request: by deadline when a deadline is at risk, otherwise by
// aged class, then by virtual start time with worth as the weight. An adapter that needs no load
// precedes within BatchWindow.
func (q *Queue) pick(w *workspace, now time.Time, fit func(*Request) Fit) (candidate, bool) {
	if q.urgent(w, now) {
		if c, ok := pickByDeadline(w, fit); ok {
			return c, true
		}
	}
	best := candidate{workspace: w}
	var bestFlow *flow
	for _, f := range w.active {
		it := f.items[0]
		rank := q.settings.agedRank(f.rank, it.Arrived, now)
		if bestFlow != nil && rank > best.rank {
			continue
		}
		placed := fit(&it.Request)
		if placed == Blocked {
			continue
		}
		if bestFlow != nil && rank == best.rank && !q.before(w, f, placed, bestFlow, best.fit) {
			continue
		}
		best.item, best.rank, best.fit, bestFlow = it, rank, placed, f
	}
	return best, bestFlow != nil
}

// before orders two flows of one rank. The preference for a resident adapter ends at BatchWindow past
// the workspace's flow time, so every other adapter waits for a bounded amount of service only.
func (q *Queue) before(w *workspace, a *flow, fitA Fit, b *flow, fitB Fit) bool {
	limit := w.flowVirtualTime + q.settings.ResidentWindow
	preferA := fitA == Resident && a.startTag <= limit
	preferB := fitB == Resident && b.startTag <= limit
	if preferA != preferB {
		return preferA
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.items[0].seq < b.items[0].seq
}

func pickByDeadline(w *workspace, fit func(*Request) Fit) (candidate, bool) {
	for _, it := range w.byLatestDispatch {
		if placed := fit(&it.Request); placed != Blocked {
			return candidate{workspace: w, item: it, urgent: true, fit: placed}, true
		}
	}
	return candidate{}, false
}

func (q *Queue) dispatch(it *item, now time.Time) {
	w, f := q.workspaces[it.Workspace], it.flow
	q.rate.advanceTo(now, len(q.running) > 0)
	charge := it.Tokens / w.weight
	w.virtual += charge
	w.localService += charge
	f.startTag += it.Tokens / f.weight
	q.remove(it)
	w.advanceFlowVirtualTime()
	q.advanceVirtualTime()
	q.running[it.ID] = running{workspace: w, tokens: it.Tokens, epoch: w.epoch}
}

func (w *workspace) advanceFlowVirtualTime() {
	if len(w.active) == 0 {
		return
	}
	least := w.active[0].startTag
	for _, f := range w.active[1:] {
		least = min(least, f.startTag)
	}
	w.flowVirtualTime = max(w.flowVirtualTime, least)
}

// Complete ends a dispatched request with the service that it really used: zero after a not-run attempt.
// It reports whether the request was running, so a second settlement has no effect.
func (q *Queue) Complete(id string, tokens float64, now time.Time) bool {
	r, ok := q.running[id]
	if !ok {
		return false
	}
	q.rate.advanceTo(now, true)
	delete(q.running, id)
	if tokens > 0 {
		q.rate.addCompleted(r.tokens)
	}
	w := r.workspace
	difference := (tokens - r.tokens) / w.weight
	w.localService += difference
	if difference > 0 || r.epoch == w.epoch {
		w.virtual += difference
	}
	q.advanceVirtualTime()
	return true
}

// LocalService returns, per workspace, the normalised service by this instance since its start, in
// tokens by weight. Heartbeats carry it.
func (q *Queue) LocalService() map[string]float64 {
	times := make(map[string]float64, len(q.workspaces))
	for name, w := range q.workspaces {
		times[name] = w.localService
	}
	return times
}

// MergePeer counts the service of a peer, from the VirtualTimes in its heartbeat. The first report of an
// incarnation is the base for the next ones. A repeated or late report corrects itself with the next.
func (q *Queue) MergePeer(incarnation string, times map[string]float64) {
	known, ok := q.peers[incarnation]
	if !ok {
		known = make(map[string]float64, len(times))
		q.peers[incarnation] = known
	}
	for name, served := range times {
		before, seen := known[name]
		known[name] = served
		// A workspace that a known peer reports for the first time started there at zero.
		if !ok && !seen {
			continue
		}
		w := q.workspace(name)
		w.virtual = min(w.virtual+served-before, max(w.virtual, q.virtual+q.settings.MaxRemoteLead/w.weight))
	}
	q.advanceVirtualTime()
}

// RemovePeer drops a peer that is gone.
func (q *Queue) RemovePeer(incarnation string) { delete(q.peers, incarnation) }
