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
	plainSlots  = 6
	plainLength = 8 * time.Second
	plainBurst  = 3 * time.Second
)

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

// plainRequest is a request of a replay. Done is when its answer is complete, 0 if never, and work the time at a usual worker.
type plainRequest struct {
	at, done, work  time.Duration
	instance, calls int
	returned        bool
	list            []Candidate
	order           []int
	answers         []PlainAnswer
	place           uint64
	share           Share
}

// plainServer runs plainSlots requests at once and the others in the order of arrival.
type plainServer struct {
	centre  int
	slow    float64
	running int
	queue   []*plainRequest
	load    *Plain
}

// plainReplay replays the load of one plain service under one policy.
type plainReplay struct {
	plainDeployment
	random   *rand.Rand
	now      time.Duration
	events   events
	servers  []*plainServer
	outlooks []*Outlooks
	requests []*plainRequest
	refused  int
	returns  []time.Duration
	place    func(*plainReplay, *plainRequest)
	// waiting is the queue of the oracle, and late the requests that can't be on time any more.
	waiting, late []*plainRequest
}

func newPlainReplay(d plainDeployment, place func(*plainReplay, *plainRequest)) *plainReplay {
	r := &plainReplay{plainDeployment: d, random: rand.New(rand.NewPCG(11, 3)), place: place}
	for i := range d.servers {
		r.servers = append(r.servers, &plainServer{centre: i % replayCentres, slow: 1})
	}
	r.restart()
	return r
}

// restart makes the instances forget what they know, and the keepers among them the places.
func (r *plainReplay) restart() {
	r.outlooks = nil
	for range r.instances {
		r.outlooks = append(r.outlooks, NewOutlooks())
	}
	for _, s := range r.servers {
		s.load = NewPlain(plainSlots, uint64(r.now))
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
		q := &plainRequest{at: at, instance: instance, work: time.Duration(float64(r.work) * (0.5 + r.random.Float64()))}
		r.requests = append(r.requests, q)
		heap.Push(&r.events, event{at, func() { r.place(r, q) }})
	}
}

// burst adds requests at a rate, and at a multiple of it during plainBurst.
func (r *plainReplay) burst(factor, perSecond, firstCentre float64) {
	r.arrive(0, plainLength, perSecond, firstCentre)
	r.arrive(time.Second, time.Second+plainBurst, (factor-1)*perSecond, firstCentre)
}

// slowDown makes a third of the workers four times slower.
func (r *plainReplay) slowDown() {
	for i := 0; i < len(r.servers); i += 3 {
		r.servers[i].slow = 4
	}
}

// hop is the time of a message between an instance and a worker or keeper.
func (r *plainReplay) hop() time.Duration {
	return 200*time.Microsecond + time.Duration(r.random.Int64N(int64(1300*time.Microsecond)))
}

// begin starts the requests for which a server has room.
func (r *plainReplay) begin(s *plainServer) {
	for s.running < plainSlots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		r.after(time.Duration(s.slow*float64(q.work)), func() {
			s.running--
			q.done = r.now + r.hop()
			r.after(r.hop()+r.hop(), func() { s.load.End(q.place, Completed, r.now) })
			r.begin(s)
			r.serveNext()
		})
	}
}

// byKeepers asks the keepers, as ChoosePlain decides.
func byKeepers(r *plainReplay, q *plainRequest) {
	unordered := make([]Candidate, len(r.servers))
	for i, s := range r.servers {
		unordered[i].Outlook = r.outlooks[q.instance].Of(string(rune(i)), r.now)
		if s.centre != q.instance%replayCentres {
			unordered[i].Path = 2 * time.Millisecond
		}
	}
	q.order, q.list, q.answers = Order(unordered, r.times(q), r.random.Float64), nil, nil
	for _, n := range q.order {
		q.list = append(q.list, unordered[n])
	}
	r.step(q)
}

func (r *plainReplay) times(q *plainRequest) Times {
	return Times{r.target, q.at + r.target - r.now, q.at + r.deadline - r.now}
}

func (r *plainReplay) step(q *plainRequest) {
	t := r.times(q)
	c := ChoosePlain(q.list, q.answers, t, r.random.Float64())
	n := q.order[c.Index]
	s := r.servers[n]
	switch c.Step {
	case Ask:
		q.calls++
		r.after(r.hop(), func() {
			c.Bounds.Share = q.share
			place, o := s.load.Admit(c.Bounds, t.Left, r.now)
			r.after(r.hop(), func() {
				answer := Answer{Known: true, Admitted: place != 0, Wait: o.Wait}
				if o.OverShare > 0 {
					answer.Wait, answer.OverShare = o.OverShare, true
				} else {
					r.outlooks[q.instance].Answered(string(rune(n)), o, r.now)
				}
				q.place = place
				q.answers = append(q.answers, PlainAnswer{answer, c.Index, o.Time})
				r.step(q)
			})
		})
	case Send:
		r.after(r.hop(), func() { s.queue = append(s.queue, q); r.begin(s) })
	case Hold:
		r.after(c.After, func() { byKeepers(r, q) })
	default:
		r.refused++
		// The caller returns once, if it still has time.
		if !q.returned && c.After < t.Left {
			q.returned = true
			r.returns = append(r.returns, r.now+c.After)
			r.after(c.After, func() { byKeepers(r, q) })
		}
	}
}

// byOracle is a scheduler with one queue for all workers, which knows the time of each request and gives a place first to
// those that can still be on time.
func byOracle(r *plainReplay, q *plainRequest) {
	r.waiting = append(r.waiting, q)
	r.serveNext()
}

// serveNext gives the requests in the oracle's queues to the servers that have room, the fastest first.
func (r *plainReplay) serveNext() {
	servers := slices.Clone(r.servers)
	slices.SortStableFunc(servers, func(x, y *plainServer) int { return cmp.Compare(x.slow, y.slow) })
	for _, s := range servers {
		for s.running < plainSlots && len(r.waiting)+len(r.late) > 0 {
			queue, bound := &r.waiting, r.target
			if len(r.waiting) == 0 {
				queue, bound = &r.late, r.deadline
			}
			q := (*queue)[0]
			onTime := func(slow float64) bool {
				return r.now+time.Duration(slow*float64(q.work))+2*time.Millisecond <= q.at+bound
			}
			if !onTime(s.slow) && onTime(1) {
				break
			}
			*queue = (*queue)[1:]
			switch {
			case onTime(s.slow):
				s.queue = append(s.queue, q)
				r.begin(s)
			case queue == &r.waiting:
				r.late = append(r.late, q)
			default:
				r.refused++
			}
		}
	}
}

// run replays the load and returns the shares of requests that were on time and late, and the questions for each.
func (r *plainReplay) run() (onTime, late, calls float64) {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	n := float64(len(r.requests))
	for _, q := range r.requests {
		switch {
		case q.done > 0 && q.done-q.at <= r.target:
			onTime += 1 / n
		case q.done > 0 && q.done-q.at <= r.deadline:
			late += 1 / n
		}
		calls += float64(q.calls) / n
	}
	return onTime, late, calls
}

// possible returns the share of requests that usual workers can complete on time if the times of single requests are not known:
// those whose target latency is not over before the work that came before them and their own is done.
func (r *plainReplay) possible() float64 {
	requests := slices.Clone(r.requests)
	slices.SortFunc(requests, func(x, y *plainRequest) int { return cmp.Compare(x.at, y.at) })
	n, doneAt := 0, time.Duration(0)
	for _, q := range requests {
		if begin := max(q.at, doneAt); begin+r.work <= q.at+r.target {
			n++
			doneAt = begin + r.work/time.Duration(plainSlots*len(r.servers))
		}
	}
	return float64(n) / float64(len(requests))
}

// TestPlainReplay replays the loads under which requests of plain services were late although there was room elsewhere. The share
// that is on time must be close to that of a scheduler that knows everything, or to the possible one, since above the capacity
// the former prefers requests that it knows to be short. There must be about one question for each request where
// oneQuestion is set: below the capacity, and without a change of the workers that each instance has to learn. Refused callers
// never return in greater numbers at once than the workers have places.
func TestPlainReplay(t *testing.T) {
	const bound, maxCalls, even, uneven = 0.95, 1.1, 1.0 / replayCentres, 0.6
	hurried := plainSmall
	hurried.deadline = 200 * time.Millisecond
	for _, p := range []struct {
		name        string
		d           plainDeployment
		oneQuestion bool
		setUp       func(r *plainReplay)
	}{
		{"measured rate, small", plainSmall, true, func(r *plainReplay) { r.arrive(0, plainLength, r.rate, uneven) }},
		{"measured rate, large", plainLarge, true, func(r *plainReplay) { r.arrive(0, plainLength, r.rate, uneven) }},
		{"uneven demand", plainLarge, true, func(r *plainReplay) { r.arrive(0, plainLength, 2*r.rate, uneven) }},
		{"burst of 1.7", plainSmall, false, func(r *plainReplay) { r.burst(1.7, r.rate, even) }},
		{"burst of 2.4", plainSmall, false, func(r *plainReplay) { r.burst(2.4, r.rate, even) }},
		{"uneven burst of 2.4", plainLarge, false, func(r *plainReplay) { r.burst(2.4, 1.4*r.rate, uneven) }},
		{"a third slow, small", plainSmall, false, func(r *plainReplay) { r.arrive(0, plainLength, 0.6*r.rate, even); r.after(time.Second, r.slowDown) }},
		{"a third slow, large", plainLarge, false, func(r *plainReplay) { r.arrive(0, plainLength, r.rate, even); r.after(time.Second, r.slowDown) }},
		{"all instances restarted at once", plainLarge, true, func(r *plainReplay) {
			r.arrive(0, plainLength, 1.8*r.rate, even)
			r.after(2*time.Second, r.restart)
		}},
		{"refused callers that return", hurried, false, func(r *plainReplay) { r.burst(2.4, r.rate, even) }},
	} {
		keepers, oracle := newPlainReplay(p.d, byKeepers), newPlainReplay(p.d, byOracle)
		p.setUp(keepers)
		p.setUp(oracle)
		onTime, late, calls := keepers.run()
		best, bestLate, _ := oracle.run()
		possible := oracle.possible()
		t.Logf("%-32s on time %.3f late %.3f refused %d returns %d questions %.2f, oracle on time %.3f late %.3f, possible %.3f", p.name, onTime, late,
			keepers.refused, len(keepers.returns), calls, best, bestLate, possible)
		Convey(p.name, t, func() {
			So(onTime, ShouldBeGreaterThanOrEqualTo, bound*min(best, possible))
			if p.oneQuestion {
				So(calls, ShouldBeLessThanOrEqualTo, maxCalls)
			}
			So(busiest(keepers.returns, 10*time.Millisecond), ShouldBeLessThanOrEqualTo, p.d.servers*plainSlots)
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
