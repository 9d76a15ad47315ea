package fairqueue

import (
	"math"
	"time"
)

// Score weights for choosing among the candidates that the fairness bound permits. A workspace's
// normalised lag (0 to 1) is weighted by Policy.WorstServed.
const (
	// urgentScore ranks a request that must run now to meet its deadline above all others.
	urgentScore = 1000
	// classScore is the penalty per class rank.
	classScore = 0.5
	// residentScore is the bonus for a dispatch that needs no adapter load.
	residentScore = 0.25
)

type candidate struct {
	workspace *workspace
	item      *item
	urgent    bool
	rank      int
	fit       Fit
}

// Next removes the next request to dispatch and charges its tokens to its workspace. It returns false
// if no waiting request can be placed. fit reports whether a request's adapter can be placed now; it is
// called at least once per waiting adapter and class, and must not retain its argument. Call Expire
// first, so that no request is dispatched after its deadline can no longer be met.
func (q *Queue) Next(now time.Time, fit func(*Request) Fit) (Request, bool) {
	best, ok := q.choose(now, fit)
	if !ok {
		return Request{}, false
	}
	q.dispatch(best.item, now)
	return best.item.Request, true
}

// choose returns the best candidate that the fairness bound permits. While a workspace has an urgent
// request, workspaces with a higher virtual time are not eligible: otherwise one with small requests
// could repeatedly use up the bound before a workspace with large requests becomes eligible.
func (q *Queue) choose(now time.Time, fit func(*Request) Fit) (candidate, bool) {
	var buffer [16]candidate
	candidates := buffer[:0]
	bound, minVirtual, maxVirtual, urgentLimit := 0.0, math.Inf(1), 0.0, math.Inf(1)
	for _, w := range q.backlogged {
		c, ok := q.pick(w, now, fit)
		if !ok {
			continue
		}
		minVirtual, maxVirtual = min(minVirtual, w.virtualTime), max(maxVirtual, w.virtualTime)
		bound = max(bound, w.largestRequest/w.weight)
		if c.urgent {
			urgentLimit = min(urgentLimit, w.virtualTime)
		}
		candidates = append(candidates, c)
	}
	var best candidate
	bestScore, found := 0.0, false
	for _, c := range candidates {
		w := c.workspace
		if w.virtualTime > urgentLimit ||
			w.virtualTime > minVirtual && w.virtualTime+c.item.Tokens/w.weight > minVirtual+bound {
			continue
		}
		score := q.score(c, bound, maxVirtual)
		if !found || score > bestScore || score == bestScore && w.virtualTime < best.workspace.virtualTime {
			best, bestScore, found = c, score, true
		}
	}
	return best, found
}

func (q *Queue) score(c candidate, bound, maxVirtual float64) float64 {
	score := -classScore * float64(c.rank)
	if c.urgent {
		score += urgentScore
	}
	if c.fit == Resident {
		score += residentScore
	}
	if bound > 0 {
		score += q.settings.Policy.WorstServed * (maxVirtual - c.workspace.virtualTime) / bound
	}
	return score
}

// pick returns the workspace's next request: in deadline order when a deadline is at risk, otherwise by
// aged class rank, then by start tag with worth as the weight. Within ResidentWindow, flows of
// resident adapters go first.
func (q *Queue) pick(w *workspace, now time.Time, fit func(*Request) Fit) (candidate, bool) {
	if q.urgent(w, now) {
		if c, ok := pickByDeadline(w, fit); ok {
			return c, true
		}
	}
	best := candidate{workspace: w}
	var bestFlow *flow
	for _, f := range w.activeFlows {
		it := f.items[0]
		rank := q.settings.agedRank(f.rank, it.Arrived, now)
		if bestFlow != nil && rank > best.rank {
			continue
		}
		itemFit := fit(&it.Request)
		if itemFit == Blocked {
			continue
		}
		if bestFlow != nil && rank == best.rank && !q.before(w, f, itemFit, bestFlow, best.fit) {
			continue
		}
		best.item, best.rank, best.fit, bestFlow = it, rank, itemFit, f
	}
	return best, bestFlow != nil
}

// before reports whether flow a goes before flow b of the same rank. A resident adapter is preferred
// only until its start tag is ResidentWindow past the workspace's flow virtual time, so every other
// adapter waits for a bounded amount of service.
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
		if itemFit := fit(&it.Request); itemFit != Blocked {
			return candidate{workspace: w, item: it, urgent: true, fit: itemFit}, true
		}
	}
	return candidate{}, false
}

func (q *Queue) dispatch(it *item, now time.Time) {
	w, f := q.workspaces[it.Workspace], it.flow
	q.rate.advanceTo(now, len(q.running) > 0)
	charge := it.Tokens / w.weight
	w.virtualTime += charge
	w.localService += charge
	f.startTag += it.Tokens / f.weight
	q.remove(it)
	w.advanceFlowVirtualTime()
	q.advanceVirtualTime()
	q.running[it.ID] = running{workspace: w, tokens: it.Tokens, epoch: w.epoch}
}

func (w *workspace) advanceFlowVirtualTime() {
	if len(w.activeFlows) == 0 {
		return
	}
	minTag := w.activeFlows[0].startTag
	for _, f := range w.activeFlows[1:] {
		minTag = min(minTag, f.startTag)
	}
	w.flowVirtualTime = max(w.flowVirtualTime, minTag)
}

// Complete ends a dispatched request and replaces its reservation by the tokens it actually used: zero
// after a not-run attempt. It reports whether the request was running; a repeated call has no effect.
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
		w.virtualTime += difference
	}
	q.advanceVirtualTime()
	return true
}

// LocalService returns, per workspace, the normalised service (tokens divided by weight) that this
// instance has provided since its start. It is sent in heartbeats.
func (q *Queue) LocalService() map[string]float64 {
	service := make(map[string]float64, len(q.workspaces))
	for name, w := range q.workspaces {
		service[name] = w.localService
	}
	return service
}

// MergePeer adds the service of a peer, as reported by its LocalService in a heartbeat. The first report
// of an incarnation is the baseline for later ones. Errors from a repeated or late report are corrected
// by the next report.
func (q *Queue) MergePeer(incarnation string, service map[string]float64) {
	last, known := q.peerService[incarnation]
	if !known {
		last = make(map[string]float64, len(service))
		q.peerService[incarnation] = last
	}
	for name, served := range service {
		previous, reported := last[name]
		last[name] = served
		// If a known peer reports a workspace for the first time, its service there began at zero.
		if !known && !reported {
			continue
		}
		w := q.workspace(name)
		w.virtualTime = min(w.virtualTime+served-previous, max(w.virtualTime, q.virtualTime+q.settings.MaxRemoteLead/w.weight))
	}
	q.advanceVirtualTime()
}

// RemovePeer drops the reported service of an incarnation that has left the fleet.
func (q *Queue) RemovePeer(incarnation string) { delete(q.peerService, incarnation) }
