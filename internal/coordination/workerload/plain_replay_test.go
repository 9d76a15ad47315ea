package workerload

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	plainSlots, plainQueue = 6, 24
	plainLength            = 8 * time.Second
	plainBurst             = 3 * time.Second
	// rejectedDelay is how long an instance takes to send a rejected request again.
	rejectedDelay = 10 * time.Millisecond
)

// plainRequest is a request of a replay. Done is when its answer is complete, 0 if never, and served the time at the worker.
type plainRequest struct {
	at, done, served time.Duration
	instance, calls  int
	returned         bool
	answers          []PlainAnswer
	order            []int
	list             []Candidate
}

type plainServer struct {
	centre    int
	slow      float64
	running   int
	queue     []*plainRequest
	load      *Plain
	places    map[*plainRequest]uint64
	completed func(*plainRequest)
}

// plainReplay replays the load of one plain service under one policy.
type plainReplay struct {
	random                 *rand.Rand
	now                    time.Duration
	events                 events
	servers                []*plainServer
	instances              int
	target, deadline, work time.Duration
	outlooks               []*Outlooks
	inFlight               []map[*plainServer]int
	requests               []*plainRequest
	refused, rejected      int
	returns                []time.Duration
	place                  func(*plainReplay, *plainRequest)
	// onTime and late are the queues of the oracle.
	onTime, late []*plainRequest
}

func newPlainReplay(servers, instances int, target, deadline, work time.Duration, place func(*plainReplay, *plainRequest)) *plainReplay {
	r := &plainReplay{random: rand.New(rand.NewPCG(11, 3)), instances: instances, target: target, deadline: deadline, work: work, place: place}
	for i := range servers {
		r.servers = append(r.servers, &plainServer{centre: i % replayCentres, slow: 1, load: NewPlain(plainSlots, 0), places: map[*plainRequest]uint64{}})
	}
	r.restart()
	return r
}

// restart makes the instances forget what they know, and the keepers among them the places.
func (r *plainReplay) restart() {
	r.outlooks, r.inFlight = nil, nil
	for range r.instances {
		r.outlooks, r.inFlight = append(r.outlooks, NewOutlooks()), append(r.inFlight, map[*plainServer]int{})
	}
	for i, s := range r.servers {
		s.load = NewPlain(plainSlots, uint64(r.now)+uint64(i))
	}
}

func (r *plainReplay) after(d time.Duration, run func()) { heap.Push(&r.events, event{r.now + d, run}) }

// arrive adds requests at a rate per second, with a share of them in the first data centre.
func (r *plainReplay) arrive(from, to time.Duration, perSecond, firstCentre float64) {
	for at := from; at < to; at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)) {
		instance := r.random.IntN(r.instances/replayCentres) * replayCentres
		if r.random.Float64() >= firstCentre {
			instance += 1 + r.random.IntN(replayCentres-1)
		}
		q := &plainRequest{at: at, instance: instance, served: time.Duration(float64(r.work) * (0.5 + r.random.Float64()))}
		r.requests = append(r.requests, q)
		heap.Push(&r.events, event{at, func() { r.place(r, q) }})
	}
}

func (r *plainReplay) run() {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// hop is the time of a message between an instance and a worker or keeper.
func (r *plainReplay) hop() time.Duration {
	return 200*time.Microsecond + time.Duration(r.random.Int64N(int64(1300*time.Microsecond)))
}

// send sends a request to a worker, which rejects it if its queue is full.
func (r *plainReplay) send(q *plainRequest, s *plainServer) {
	r.inFlight[q.instance][s]++
	r.after(r.hop(), func() {
		if s.running+len(s.queue) >= plainSlots+plainQueue {
			r.rejected++
			r.ended(q, s, Rejected)
			r.after(rejectedDelay, func() { r.place(r, q) })
			return
		}
		s.queue = append(s.queue, q)
		r.begin(s)
	})
}

func (r *plainReplay) begin(s *plainServer) {
	for s.running < plainSlots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		r.after(time.Duration(s.slow*float64(q.served)), func() {
			s.running--
			q.done = r.now + r.hop()
			r.ended(q, s, Completed)
			r.begin(s)
			if s.completed != nil {
				s.completed(q)
			}
		})
	}
}

// ended reports the end of an attempt to the keeper.
func (r *plainReplay) ended(q *plainRequest, s *plainServer, how Ending) {
	number := s.places[q]
	delete(s.places, q)
	r.after(r.hop()+r.hop(), func() {
		r.inFlight[q.instance][s]--
		s.load.End(number, how, r.now)
	})
}

// byOwnView is what an instance does that knows only its own requests.
func byOwnView(r *plainReplay, q *plainRequest) {
	const remotePenalty = 3
	if q.at+r.deadline <= r.now {
		r.refused++
		return
	}
	best := slices.MinFunc(r.servers, func(x, y *plainServer) int {
		cost := func(s *plainServer) float64 {
			c := float64(r.inFlight[q.instance][s])
			if s.centre != q.instance%replayCentres {
				c += remotePenalty
			}
			return c
		}
		return cmp.Or(cmp.Compare(cost(x), cost(y)), r.random.IntN(3)-1)
	})
	r.send(q, best)
}

// byKeepers asks the keepers, as ChoosePlain decides.
func byKeepers(r *plainReplay, q *plainRequest) {
	q.list, q.answers = nil, nil
	for i, s := range r.servers {
		c := Candidate{Outlook: r.outlooks[q.instance].Of(string(rune(i)), r.now)}
		if s.centre != q.instance%replayCentres {
			c.Path = 2 * time.Millisecond
		}
		q.list = append(q.list, c)
	}
	q.order = Order(q.list, r.times(q), r.random.Float64)
	ordered := make([]Candidate, len(q.order))
	for i, n := range q.order {
		ordered[i] = q.list[n]
	}
	q.list = ordered
	r.step(q)
}

func (r *plainReplay) times(q *plainRequest) Times {
	return Times{r.target, q.at + r.target - r.now, q.at + r.deadline - r.now}
}

func (r *plainReplay) step(q *plainRequest) {
	t := r.times(q)
	left := t.Left
	c := ChoosePlain(q.list, q.answers, t, r.random.Float64())
	switch c.Step {
	case Ask:
		q.calls++
		n := q.order[c.Index]
		s := r.servers[n]
		r.after(r.hop(), func() {
			place, outlook := s.load.Admit(c.Bounds, left, r.now)
			r.after(r.hop(), func() {
				r.outlooks[q.instance].Answered(string(rune(n)), outlook, r.now)
				if place != 0 {
					s.places[q] = place
				}
				q.answers = append(q.answers, PlainAnswer{Answer{Known: true, Admitted: place != 0, Wait: outlook.Wait}, c.Index, outlook.Time})
				r.step(q)
			})
		})
	case Send:
		r.send(q, r.servers[q.order[c.Index]])
	case Hold:
		r.after(c.After, func() { byKeepers(r, q) })
	default:
		r.refused++
		// The caller returns once, if it still has time.
		if !q.returned && c.After < left {
			q.returned = true
			r.returns = append(r.returns, r.now+c.After)
			r.after(c.After, func() { byKeepers(r, q) })
		}
	}
}

// byOracle is a scheduler with one queue for all workers, which knows the time of each request and gives a place first
// to those that can still be on time.
func byOracle(r *plainReplay, q *plainRequest) {
	r.onTime = append(r.onTime, q)
	for _, s := range r.servers {
		s.completed = func(*plainRequest) { r.serveNext() }
	}
	r.serveNext()
}

func (r *plainReplay) serveNext() {
	for {
		free := slices.DeleteFunc(slices.Clone(r.servers), func(s *plainServer) bool { return s.running >= plainSlots })
		if len(free) == 0 || len(r.onTime)+len(r.late) == 0 {
			return
		}
		s := slices.MinFunc(free, func(x, y *plainServer) int { return cmp.Compare(x.slow, y.slow) })
		queue := &r.onTime
		if len(r.onTime) == 0 {
			queue = &r.late
		}
		q := (*queue)[0]
		*queue = (*queue)[1:]
		end := r.now + time.Duration(s.slow*float64(q.served)) + 2*time.Millisecond
		if fastest := r.now + q.served; queue == &r.onTime && end > q.at+r.target && fastest <= q.at+r.target && s.slow > 1 {
			*queue = slices.Insert(*queue, 0, q)
			return
		}
		switch {
		case end > q.at+r.deadline:
			r.refused++
		case end > q.at+r.target && queue == &r.onTime:
			r.late = append(r.late, q)
		default:
			s.queue = append(s.queue, q)
			r.begin(s)
		}
	}
}

// plainResult are the shares of requests that were on time and late, and the questions for each request.
type plainResult struct {
	onTime, late, calls float64
}

func (r *plainReplay) result() plainResult {
	out := plainResult{}
	n := float64(len(r.requests))
	for _, q := range r.requests {
		switch {
		case q.done > 0 && q.done-q.at <= r.target:
			out.onTime += 1 / n
		case q.done > 0 && q.done-q.at <= r.deadline:
			out.late += 1 / n
		}
		out.calls += float64(q.calls) / n
	}
	return out
}

// plainDeployment is a plain service as it was measured.
type plainDeployment struct {
	servers, instances     int
	rate                   float64
	target, deadline, work time.Duration
}

var (
	plainSmall = plainDeployment{4, 84, 455, 150 * time.Millisecond, 1500 * time.Millisecond, 30 * time.Millisecond}
	plainLarge = plainDeployment{7, 129, 263, 300 * time.Millisecond, 3 * time.Second, 60 * time.Millisecond}
)

// burst adds requests at a multiple of a deployment's rate during plainBurst, besides its own rate.
func (r *plainReplay) burst(factor, rate, firstCentre float64) {
	r.arrive(0, plainLength, rate, firstCentre)
	r.arrive(time.Second, time.Second+plainBurst, (factor-1)*rate, firstCentre)
}

// slowDown makes a third of the workers four times slower after a second.
func (r *plainReplay) slowDown() {
	r.after(time.Second, func() {
		for i := 0; i < len(r.servers); i += 3 {
			r.servers[i].slow = 4
		}
	})
}

// TestPlainReplay replays the loads under which requests of plain services were late although there was room elsewhere. The share
// that is on time must be close to that of a scheduler that knows everything, with about one question for each request where
// oneQuestion is set: below the capacity, and without a change of the workers that each instance has to learn. Placing by an instance's own requests must not reach the bound where ownFails is set, so that
// the replay shows what asking the keepers is for.
func TestPlainReplay(t *testing.T) {
	const bound, maxCalls, even, uneven = 0.95, 1.1, 1.0 / replayCentres, 0.6
	for _, p := range []struct {
		name                  string
		d                     plainDeployment
		oneQuestion, ownFails bool
		setUp                 func(r *plainReplay, rate float64)
	}{
		{"measured rate, small", plainSmall, true, false, func(r *plainReplay, rate float64) { r.arrive(0, plainLength, rate, uneven) }},
		{"measured rate, large", plainLarge, true, false, func(r *plainReplay, rate float64) { r.arrive(0, plainLength, rate, uneven) }},
		{"uneven demand", plainLarge, true, true, func(r *plainReplay, rate float64) { r.arrive(0, plainLength, 2*rate, uneven) }},
		{"burst of 1.7", plainSmall, false, false, func(r *plainReplay, rate float64) { r.burst(1.7, rate, even) }},
		{"burst of 2.4", plainSmall, false, true, func(r *plainReplay, rate float64) { r.burst(2.4, rate, even) }},
		{"uneven burst of 2.4", plainLarge, false, true, func(r *plainReplay, rate float64) { r.burst(2.4, 1.4*rate, uneven) }},
		{"a third slow, small", plainSmall, false, true, func(r *plainReplay, rate float64) { r.arrive(0, plainLength, 0.6*rate, even); r.slowDown() }},
		{"a third slow, large", plainLarge, false, true, func(r *plainReplay, rate float64) { r.arrive(0, plainLength, rate, even); r.slowDown() }},
		{"all instances restarted at once", plainLarge, true, false, func(r *plainReplay, rate float64) {
			r.arrive(0, plainLength, 1.8*rate, even)
			r.after(2*time.Second, r.restart)
		}},
		{"refused callers that return", plainDeployment{4, 84, 455, 150 * time.Millisecond, 200 * time.Millisecond, 30 * time.Millisecond}, false, true,
			func(r *plainReplay, rate float64) { r.burst(2.4, rate, even) }},
	} {
		results := map[string]plainResult{}
		var returns []time.Duration
		for name, place := range map[string]func(*plainReplay, *plainRequest){"own": byOwnView, "keepers": byKeepers, "oracle": byOracle} {
			r := newPlainReplay(p.d.servers, p.d.instances, p.d.target, p.d.deadline, p.d.work, place)
			p.setUp(r, p.d.rate)
			r.run()
			results[name] = r.result()
			returns = append(returns, r.returns...)
			t.Logf("%-32s %-8s on time %.3f late %.3f refused %d rejected %d questions %.2f returns %d", p.name, name,
				results[name].onTime, results[name].late, r.refused, r.rejected, results[name].calls, len(r.returns))
		}
		Convey(p.name, t, func() {
			So(results["keepers"].onTime, ShouldBeGreaterThanOrEqualTo, bound*results["oracle"].onTime)
			if p.ownFails {
				So(results["own"].onTime, ShouldBeLessThan, bound*results["oracle"].onTime)
			}
			if p.oneQuestion {
				So(results["keepers"].calls, ShouldBeLessThanOrEqualTo, maxCalls)
			}
			So(busiest(returns, 10*time.Millisecond), ShouldBeLessThanOrEqualTo, plainSmall.rate/10)
		})
	}
}

// busiest returns the largest number of times within a span.
func busiest(times []time.Duration, span time.Duration) int {
	slices.Sort(times)
	most := 0
	for i, first := range times {
		n, _ := slices.BinarySearch(times[i:], first+span)
		most = max(most, n)
	}
	return most
}
