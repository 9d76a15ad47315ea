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
	hotFactor        = 7.5
	hotBegin, hotEnd = 4 * time.Second, 12 * time.Second
)

// sharedLoad is a load of 16 uneven workspaces, of which one sends a multiple of its usual load from hotBegin to hotEnd. Part is the part
// of the capacity that the usual loads take. Rates are in proportion to them, if the workspaces have any.
type sharedLoad struct {
	part                   float64
	hot                    int
	factor                 float64
	shares, rates, returns bool
}

// arrive calls add for each request of the load, given the capacity in requests per second, with the workspace's part of the usual load.
func (l sharedLoad) arrive(capacity float64, add func(workspace int, size float64, at time.Duration, share Share)) {
	random, usual, total := rand.New(rand.NewPCG(23, 5)), zipf(16, 0), 0.0
	for _, size := range usual {
		total += size
	}
	for w, size := range usual {
		rate, share := l.part*capacity*size/total, Share{}
		if l.shares {
			share.Workspace = fmt.Sprint(w)
		}
		if l.rates {
			share.Rate = 10 * rate
		}
		for at := time.Duration(0); at < hotEnd+time.Second; {
			add(w, size/total, at, share)
			now := rate
			if w == l.hot && at >= hotBegin && at < hotEnd {
				now *= l.factor
			}
			at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
		}
	}
}

// answered is a request of a replay of workspaces.
type answered struct {
	workspace, questions int
	at, done             time.Duration
	place                uint64
}

// sharedOutcome is the outcome of such a replay.
type sharedOutcome struct {
	requests                []answered
	target, deadline        time.Duration
	refused, places, atOnce int
}

// atEngines replays the load at engines, at which each workspace has one adapter, resident at a number of them at least.
func (l sharedLoad) atEngines(servers, holders int) sharedOutcome {
	r := newReplay(17, byOwners)
	r.servers, r.callersReturn = r.servers[:servers], l.returns
	perRequest := float64(replaySize.Prompt)*replayPromptTime.Seconds() + float64(replaySize.Output)*replayOutputTime.Seconds()
	l.arrive(float64(servers*replaySlots)/perRequest, func(w int, size float64, at time.Duration, share Share) {
		if r.holders[w] == nil {
			r.hold(w, min(servers, max(holders, int(math.Ceil(1.2*size*float64(servers))))))
		}
		q := &simRequest{at: at, instance: r.random.IntN(replayInstances), adapter: w, size: replaySize, target: replayTarget, deadline: replayDeadline}
		q.size.Share = share
		r.requests = append(r.requests, q)
		r.after(at, func() { r.place(r, q) })
	})
	r.run()
	out := sharedOutcome{nil, replayTarget, replayDeadline, r.refused, servers * replaySlots, busiest(r.returns, 10*time.Millisecond)}
	for _, q := range r.requests {
		out.requests = append(out.requests, answered{q.adapter, q.questions, q.at, q.first, q.place})
	}
	return out
}

// atPlain replays the load at plain workers, to which refused callers return once in any case.
func (l sharedLoad) atPlain() sharedOutcome {
	r, of := newPlainReplay(plainLarge, byKeepers), []int{}
	l.arrive(float64(len(r.servers)*plainSlots)/r.work.Seconds(), func(w int, _ float64, at time.Duration, share Share) {
		q := &plainRequest{at: at, instance: r.random.IntN(r.instances), work: time.Duration(float64(r.work) * (0.5 + r.random.Float64())), share: share}
		r.requests, of = append(r.requests, q), append(of, w)
		r.after(at, func() { r.place(r, q) })
	})
	r.run()
	out := sharedOutcome{nil, r.target, r.deadline, r.refused, len(r.servers) * plainSlots, busiest(r.returns, 10*time.Millisecond)}
	for i, q := range r.requests {
		out.requests = append(out.requests, answered{of[i], q.calls, q.at, q.done, q.place})
	}
	return out
}

// shares returns, of the requests sent from hotBegin to hotEnd, the shares on time of the hot workspace and of the others, the share served
// of the worst-served workspace and of all, and the questions for each request.
func (o sharedOutcome) shares(hot int) (hotOnTime, others, worst, all, questions float64) {
	// The last place of each array counts all requests.
	var sent, served, onTime [17]float64
	for _, q := range o.requests {
		questions += float64(q.questions) / float64(len(o.requests))
		for _, w := range []int{q.workspace, 16} {
			if q.at >= hotBegin && q.at < hotEnd {
				sent[w]++
				if q.done > 0 && q.done-q.at <= o.deadline {
					served[w]++
				}
				if q.done > 0 && q.done-q.at <= o.target {
					onTime[w]++
				}
			}
		}
	}
	worst = 1
	for w := range sent {
		worst = min(worst, served[w]/sent[w])
	}
	return onTime[hot] / sent[hot], (onTime[16] - onTime[hot]) / (sent[16] - sent[hot]), worst, served[16] / sent[16], questions
}

// TestSharedReplay guards against a workspace that takes the capacity of the others by sending several times its usual load, against
// one that is starved for it, and against refused callers that return in greater numbers than there are places. Without rates, a
// workspace whose usual load is several times an equal share is held to less than that, so that the bound is lower.
func TestSharedReplay(t *testing.T) {
	const bound, equalBound, prior = 0.95, 0.9, 0.7
	for _, c := range []struct {
		name string
		hot  int
		run  func(l sharedLoad) sharedOutcome
	}{
		{"12 engines", 0, func(l sharedLoad) sharedOutcome { return l.atEngines(12, 3) }}, {"12 engines", 2, func(l sharedLoad) sharedOutcome { return l.atEngines(12, 3) }},
		{"90 engines", 2, func(l sharedLoad) sharedOutcome { return l.atEngines(90, 3) }},
		{"7 plain workers", 0, sharedLoad.atPlain}, {"7 plain workers", 2, sharedLoad.atPlain},
	} {
		hot := c.hot
		usual := 0.0
		for _, v := range []struct {
			name  string
			load  sharedLoad
			bound float64
		}{
			{"usual load", sharedLoad{prior, hot, 1, false, true, false}, 0}, {"off", sharedLoad{prior, hot, hotFactor, false, true, false}, 0},
			{"on", sharedLoad{prior, hot, hotFactor, true, true, false}, bound}, {"on, callers return", sharedLoad{prior, hot, hotFactor, true, true, true}, bound},
			{"on, no rates", sharedLoad{prior, hot, hotFactor, true, false, false}, equalBound},
		} {
			out := c.run(v.load)
			hotOnTime, others, worst, all, questions := out.shares(hot)
			t.Logf("| %s, workspace %d | %s | %.3f | %.3f | %.3f, %.3f | %.2f | %d | %d |", c.name, hot+1, v.name, others, hotOnTime, worst, all, questions, out.refused, out.atOnce)
			if v.load.factor == 1 {
				usual = others
				continue
			}
			Convey(fmt.Sprint(c.name, hot, v.name), t, func() {
				if !v.load.shares {
					So(others, ShouldBeLessThan, bound*usual)
					return
				}
				So(others, ShouldBeGreaterThanOrEqualTo, v.bound*usual)
				So(worst, ShouldBeGreaterThanOrEqualTo, 0.5*all)
				So(out.atOnce, ShouldBeLessThanOrEqualTo, out.places)
			})
		}
	}
}

// TestSharesWithoutShortage guards against decisions that change although capacity suffices.
func TestSharesWithoutShortage(t *testing.T) {
	Convey("each request of a load of 0.4 is answered at the same time with the same place and questions", t, func() {
		off := sharedLoad{0.4, 0, 1, false, true, false}
		on := off
		on.shares = true
		So(on.atEngines(12, 12), ShouldResemble, off.atEngines(12, 12))
		So(on.atPlain(), ShouldResemble, off.atPlain())
	})
}
