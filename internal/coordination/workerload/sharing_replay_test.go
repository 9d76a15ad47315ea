package workerload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	sharedWorkspaces = 16
	hotFactor        = 7.5
	hotBegin, hotEnd = 4 * time.Second, 12 * time.Second
	priorLoad        = 0.7
)

// sharedLoad is a load of uneven workspaces, of which one sends a multiple of its usual load from hotBegin to hotEnd. Rates are in
// proportion to the usual loads, if the workspaces have any.
type sharedLoad struct {
	hot                    int
	factor                 float64
	shares, rates, returns bool
}

// arrivals calls add for each request of the load, which fills a part of a capacity in requests per second at its usual rates.
func (l sharedLoad) arrivals(part, capacity float64, add func(workspace int, at time.Duration, share Share)) {
	random := rand.New(rand.NewPCG(23, 5))
	usual := zipf(sharedWorkspaces, 0)
	total := 0.0
	for _, size := range usual {
		total += size
	}
	for w, size := range usual {
		rate := part * capacity * size / total
		share := Share{}
		if l.shares {
			share.Workspace = fmt.Sprint(w)
		}
		if l.rates {
			share.Rate = 10 * rate
		}
		arrive := func(from, to time.Duration, rate float64) {
			for at := from; at < to; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
				add(w, at, share)
			}
		}
		arrive(0, hotEnd+time.Second, rate)
		if w == l.hot && l.factor > 1 {
			arrive(hotBegin, hotEnd, (l.factor-1)*rate)
		}
	}
}

// atEngines replays the load at engines, at which each workspace has one adapter, resident at a number of them at least.
func (l sharedLoad) atEngines(servers, holders int, part float64) *replay {
	r := newReplay(17, byOwners)
	r.servers, r.callersReturn = r.servers[:servers], l.returns
	usual := zipf(sharedWorkspaces, 0)
	for w, size := range usual {
		r.hold(w, min(servers, max(holders, int(math.Ceil(size/usual[0]*float64(servers)/3)))))
	}
	perRequest := float64(replaySize.Prompt)*replayPromptTime.Seconds() + float64(replaySize.Output)*replayOutputTime.Seconds()
	l.arrivals(part, float64(servers*replaySlots)/perRequest, func(w int, at time.Duration, share Share) {
		q := &simRequest{at: at, instance: r.random.IntN(replayInstances), adapter: w, size: replaySize, target: replayTarget, deadline: replayDeadline}
		q.size.Share = share
		r.requests = append(r.requests, q)
		r.after(at, func() { r.place(r, q) })
	})
	r.run()
	return r
}

// atPlain replays the load at the workers of a plain service, and returns the workspaces of its requests as well.
func (l sharedLoad) atPlain(part float64) (*plainReplay, map[*plainRequest]int) {
	r, of := newPlainReplay(plainLarge, byKeepers), map[*plainRequest]int{}
	l.arrivals(part, float64(len(r.servers)*plainSlots)/r.work.Seconds(), func(w int, at time.Duration, share Share) {
		q := &plainRequest{at: at, instance: r.random.IntN(r.instances), work: time.Duration(float64(r.work) * (0.5 + r.random.Float64())), share: share}
		r.requests, of[q] = append(r.requests, q), w
		r.after(at, func() { r.place(r, q) })
	})
	r.run()
	return r, of
}

// sharedResult is what workspaces got of the requests that they sent during the hot one's load.
type sharedResult struct {
	sent, served, onTime [sharedWorkspaces]float64
}

func (s *sharedResult) add(workspace int, at, done, target, deadline time.Duration) {
	if at < hotBegin || at >= hotEnd {
		return
	}
	s.sent[workspace]++
	if done > 0 && done-at <= deadline {
		s.served[workspace]++
	}
	if done > 0 && done-at <= target {
		s.onTime[workspace]++
	}
}

// shares returns the shares on time of the hot workspace and of the others, and the share served of the worst-served one and of all.
func (s *sharedResult) shares(hot int) (hotOnTime, onTime, worst, all float64) {
	sent, others := 0.0, 0.0
	worst = 1
	for w := range s.sent {
		all, sent = all+s.served[w], sent+s.sent[w]
		worst = min(worst, s.served[w]/s.sent[w])
		if w != hot {
			onTime, others = onTime+s.onTime[w], others+s.sent[w]
		}
	}
	return s.onTime[hot] / s.sent[hot], onTime / others, worst, all / sent
}

// sharedOutcome is the outcome of a replay.
type sharedOutcome struct {
	sharedResult
	questions float64
	refused   int
	returns   []time.Duration
}

func sharedEngines(servers int) func(l sharedLoad) sharedOutcome {
	return func(l sharedLoad) (out sharedOutcome) {
		r := l.atEngines(servers, 3, priorLoad)
		out.refused, out.returns = r.refused, r.returns
		for _, q := range r.requests {
			out.add(q.adapter, q.at, q.first, q.target, q.deadline)
			out.questions += float64(q.questions) / float64(len(r.requests))
		}
		return out
	}
}

// sharedPlain replays a load at plain workers. Refused callers return once there in any case.
func sharedPlain(l sharedLoad) (out sharedOutcome) {
	r, of := l.atPlain(priorLoad)
	out.refused, out.returns = r.refused, r.returns
	for _, q := range r.requests {
		out.add(of[q], q.at, q.done, r.target, r.deadline)
		out.questions += float64(q.calls) / float64(len(r.requests))
	}
	return out
}

// TestSharedReplay guards against a workspace that takes the capacity of the others by sending several times its usual load, against
// one that is starved for it, and against refused callers that return in greater numbers than there are places. Without rates, a
// workspace whose usual load is several times an equal share is held to less than that, so that the bound is lower.
func TestSharedReplay(t *testing.T) {
	const bound, equalBound = 0.95, 0.9
	for _, c := range []struct {
		name        string
		places, hot int
		run         func(l sharedLoad) sharedOutcome
	}{
		{"12 engines, largest hot", 12 * replaySlots, 0, sharedEngines(12)}, {"12 engines, third hot", 12 * replaySlots, 2, sharedEngines(12)},
		{"90 engines, third hot", 90 * replaySlots, 2, sharedEngines(90)},
		{"7 plain workers, largest hot", 7 * plainSlots, 0, sharedPlain}, {"7 plain workers, third hot", 7 * plainSlots, 2, sharedPlain},
	} {
		usual := 0.0
		for _, v := range []struct {
			name  string
			load  sharedLoad
			bound float64
		}{
			{"usual load", sharedLoad{c.hot, 1, false, true, false}, 0}, {"off", sharedLoad{c.hot, hotFactor, false, true, false}, 0},
			{"on", sharedLoad{c.hot, hotFactor, true, true, false}, bound}, {"on, callers return", sharedLoad{c.hot, hotFactor, true, true, true}, bound},
			{"on, no rates", sharedLoad{c.hot, hotFactor, true, false, false}, equalBound},
		} {
			if v.load.returns && c.places == 7*plainSlots {
				// Refused callers return there in any case.
				continue
			}
			out := c.run(v.load)
			hot, others, worst, all := out.shares(c.hot)
			returns := busiest(out.returns, 10*time.Millisecond)
			t.Logf("| %s | %s | %.3f | %.3f | %.3f, %.3f | %.2f | %d | %d |", c.name, v.name, others, hot, worst, all, out.questions, out.refused, returns)
			switch {
			case v.load.factor == 1:
				usual = others
			case v.load.shares:
				Convey(c.name+" "+v.name, t, func() {
					So(others, ShouldBeGreaterThanOrEqualTo, v.bound*usual)
					So(worst, ShouldBeGreaterThanOrEqualTo, 0.5*all)
					So(returns, ShouldBeLessThanOrEqualTo, c.places)
				})
			default:
				Convey(c.name+" "+v.name, t, func() { So(others, ShouldBeLessThan, bound*usual) })
			}
		}
	}
}

// TestSharesWithoutShortage guards against decisions that change although capacity suffices: each request of a load of 0.4 must be
// answered at the same time by the same server as without shares.
func TestSharesWithoutShortage(t *testing.T) {
	const part = 0.4
	plain := func(l sharedLoad) []*plainRequest {
		r, _ := l.atPlain(part)
		return r.requests
	}
	Convey("all decisions are the same", t, func() {
		l := sharedLoad{hot: 2, factor: 1, rates: true}
		off, plainOff := l.atEngines(12, 12, part), plain(l)
		l.shares = true
		on, plainOn := l.atEngines(12, 12, part), plain(l)
		So(len(on.requests), ShouldEqual, len(off.requests))
		for i, q := range on.requests {
			So([]any{q.first, q.place, q.questions}, ShouldResemble, []any{off.requests[i].first, off.requests[i].place, off.requests[i].questions})
		}
		for i, q := range plainOn {
			So([]any{q.done, q.place, q.calls}, ShouldResemble, []any{plainOff[i].done, plainOff[i].place, plainOff[i].calls})
		}
	})
}
