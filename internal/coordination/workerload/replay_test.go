package workerload

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Sizes and speeds of the replays: those of a deployment with 140 servers in three data centres and 84 instances.
const (
	replayServers, replayInstances, replayCentres = 140, 84, 3
	replaySlots                                   = 12
	replayLength                                  = 20 * time.Second
	replayTarget                                  = time.Second
	replayDeadline                                = 12 * time.Second
	replayPromptTime                              = 52 * time.Microsecond
	replayOutputTime                              = 9 * time.Millisecond
	replayLoadTime                                = 300 * time.Millisecond
)

var replaySize = Request{Prompt: 1460, Output: 170}

// simRequest is a request of a replay.
type simRequest struct {
	at       time.Duration
	instance int
	adapter  int
	// size, target and deadline are those of its route.
	size             Request
	target, deadline time.Duration
	// output is the number of tokens of its answer in replays of mixtures, of which size names the maximum.
	output int64
	// hint is what the caller expects of output, 0 if it does not say.
	hint int64
	// first is when its first event arrived, 0 if never.
	first time.Duration
	// given is when it got its place, sent when it was sent, and place the number that the server's Load has given it.
	given, sent time.Duration
	place       uint64
	questions   int
	// seen is when its caller had the first event in replays of mixtures, 0 if never.
	seen time.Duration
	// server is where it was sent in replays of mixtures, nil before that.
	server *simServer
	// ended is set once its answer is complete, and cut if it ended before that, at its deadline.
	ended, cut bool
}

// simServer is a server that runs a batch of limited size in the order of arrival and reads one prompt at a time.
type simServer struct {
	centre     int
	slow       float64
	queue      []*simRequest
	running    int
	promptFree time.Duration
	served     int
	load       *Load
	// inFlight counts the requests of each instance.
	inFlight map[int]int
	// slots is the size of its batch, and cache what it holds of prompts, if that matters.
	slots int
	cache *simCache
}

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay replays one load pattern under one policy.
type replay struct {
	random   *rand.Rand
	now      time.Duration
	events   events
	servers  []*simServer
	holders  map[int][]*simServer
	loading  map[[2]int]time.Duration
	requests []*simRequest
	refused  int
	place    func(r *replay, q *simRequest)
	// callersReturn means that refused callers come back after their Retry-After, at the times returns.
	callersReturn bool
	returns       []time.Duration
}

func newReplay(seed uint64, place func(r *replay, q *simRequest)) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, 1)), holders: map[int][]*simServer{}, loading: map[[2]int]time.Duration{}, place: place}
	for i := range replayServers {
		r.servers = append(r.servers, &simServer{centre: i % replayCentres, slow: 1, load: New(replaySlots, 60000), inFlight: map[int]int{}, slots: replaySlots})
	}
	return r
}

func (r *replay) after(d time.Duration, run func()) { heap.Push(&r.events, event{r.now + d, run}) }

// hold makes an adapter resident at n servers, drawn at random.
func (r *replay) hold(adapter, n int) {
	for _, i := range r.random.Perm(len(r.servers))[:n] {
		r.holders[adapter] = append(r.holders[adapter], r.servers[i])
	}
}

// arrive adds requests for one of the adapters, drawn by weight, at a rate per second.
func (r *replay) arrive(from, to time.Duration, perSecond float64, weights []float64) {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for at := from; at < to; at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)) {
		x, adapter := r.random.Float64()*total, 0
		for x -= weights[0]; x > 0 && adapter < len(weights)-1; x -= weights[adapter] {
			adapter++
		}
		q := &simRequest{at: at, instance: r.random.IntN(replayInstances), adapter: adapter, size: replaySize, target: replayTarget, deadline: replayDeadline}
		r.requests = append(r.requests, q)
		heap.Push(&r.events, event{at, func() { r.place(r, q) }})
	}
}

func (r *replay) run() {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// send sends a request to a server.
func (r *replay) send(q *simRequest, s *simServer, place uint64) {
	q.place, q.sent = place, r.now
	if p := s.load.places[place]; p != nil {
		q.given = p.given
	}
	s.inFlight[q.instance]++
	s.served++
	s.queue = append(s.queue, q)
	r.begin(s)
}

// begin starts the requests for which a server has a slot.
func (r *replay) begin(s *simServer) {
	for s.running < s.slots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		scale := func(n int64, d time.Duration) time.Duration { return time.Duration(float64(n) * float64(d) * s.slow) }
		prompt, base, output := scale(q.size.Prompt, replayPromptTime), time.Duration(0), scale(q.size.Output, replayOutputTime)
		if s.cache != nil {
			prompt, base, output = s.cache.times(s, q)
		}
		s.promptFree = max(r.now, s.promptFree) + prompt
		q.first = s.promptFree + base
		r.after(q.first-r.now, func() {
			if !q.cut {
				s.load.Begin(q.place, q.sent-q.given, r.now)
			}
		})
		r.after(q.first-r.now+output, func() {
			if !q.cut {
				q.ended = true
				s.running--
				r.leave(s, q)
			}
		})
	}
}

// leave records that a request has left a server.
func (r *replay) leave(s *simServer, q *simRequest) {
	s.inFlight[q.instance]--
	s.load.End(q.place, q.ended, r.now)
	r.begin(s)
}

// end ends a request at a server that is not complete at its deadline.
func (r *replay) end(s *simServer, q *simRequest) {
	if q.ended {
		return
	}
	q.cut = true
	if i := slices.Index(s.queue, q); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	} else {
		s.running--
	}
	r.leave(s, q)
}

// byOwnRequests is what an instance can do that knows only its own requests.
func byOwnRequests(r *replay, q *simRequest) {
	holders := r.ranked(q)
	r.send(q, holders[0], 0)
}

// ranked returns the servers that hold a request's adapter, in the order in which its instance prefers them.
func (r *replay) ranked(q *simRequest) []*simServer {
	const remotePenalty = 3
	score := map[*simServer]float64{}
	for _, s := range r.holders[q.adapter] {
		score[s] = float64(s.inFlight[q.instance]) + r.random.Float64()
		if s.centre != q.instance%replayCentres {
			score[s] += remotePenalty
		}
	}
	list := slices.Clone(r.holders[q.adapter])
	slices.SortFunc(list, func(x, y *simServer) int { return cmp.Compare(score[x], score[y]) })
	return list
}

// byOwners asks the owners, as Choose decides.
func byOwners(r *replay, q *simRequest) { r.placeByOwners(q, true) }

func (r *replay) placeByOwners(q *simRequest, canLoad bool) {
	servers := r.ranked(q)
	maxWait := MaxWait(q.at + q.target - r.now)
	left := q.at + q.deadline - r.now
	var answers []Answer
	var places []uint64
	for {
		c := Choose(answers, len(servers), canLoad, left)
		switch c.Step {
		case Ask:
			l := servers[c.Index].load
			place, wait := l.Admit(q.size, 0, maxWait, left, r.now)
			answer := Answer{Known: true, Admitted: place != 0, Wait: wait}
			if until, over := l.OverShare(q.size, maxWait, r.now); place == 0 && over {
				answer.Wait, answer.OverShare, answer.InTime = until, true, until <= maxWait
			}
			answers, places = append(answers, answer), append(places, place)
			q.questions++
			continue
		case Send:
			r.send(q, servers[c.Index], places[c.Index])
		case SendLate:
			r.send(q, servers[c.Index], servers[c.Index].load.Add(q.size, 0, left, r.now))
		case LoadElsewhere:
			r.loadElsewhere(q)
		case Hold:
			r.after(HoldTime(c.RetryAfter, r.now-q.at, left), func() { r.placeByOwners(q, canLoad) })
		default:
			r.refused++
			if after := SpreadRetry(c.RetryAfter, left, r.random.Float64()); r.callersReturn && after < left/3 {
				r.returns = append(r.returns, r.now+after)
				r.after(after, func() { r.placeByOwners(q, canLoad) })
			}
		}
		return
	}
}

// loadElsewhere asks the owners of further servers to load the adapter for the request.
func (r *replay) loadElsewhere(q *simRequest) {
	const asked = 3
	left, slack := q.at+q.deadline-r.now, q.at+q.target-r.now
	n := 0
	for _, i := range r.ranking(q.adapter) {
		s := r.servers[i]
		if slices.Contains(r.holders[q.adapter], s) {
			continue
		}
		if n++; n > asked {
			break
		}
		key := [2]int{q.adapter, i}
		ready, loading := r.loading[key]
		if !loading {
			ready = r.now + replayLoadTime
		}
		place, _ := s.load.Admit(q.size, ready, MaxWait(slack), left, r.now)
		if place == 0 {
			continue
		}
		if !loading {
			r.loading[key] = ready
			r.after(replayLoadTime, func() { r.holders[q.adapter] = append(r.holders[q.adapter], s) })
		}
		r.after(ready-r.now, func() { r.send(q, s, place) })
		return
	}
	r.placeByOwners(q, false)
}

// ranking returns the servers in an adapter's order of preference.
func (r *replay) ranking(adapter int) []int {
	return rand.New(rand.NewPCG(uint64(adapter), 2)).Perm(len(r.servers))
}

// byKnowledge sends each request to the server with the shortest queue, whatever it holds: no policy can do better without
// knowing later requests.
func byKnowledge(r *replay, q *simRequest) {
	best := r.servers[0]
	rank := func(s *simServer) float64 { return (float64(s.running) + float64(len(s.queue))) * s.slow }
	for _, s := range r.servers[1:] {
		if rank(s) < rank(best) {
			best = s
		}
	}
	r.send(q, best, 0)
}

// onTime returns the share of requests whose first event arrived within the target latency.
func (r *replay) onTime() float64 {
	n := 0
	for _, q := range r.requests {
		if q.first > 0 && q.first-q.at <= q.target {
			n++
		}
	}
	return float64(n) / float64(len(r.requests))
}

// zipf returns the weights of n adapters whose popularity falls with their rank, moved on by some places.
func zipf(n, moved int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[(i+moved)%n] = 1 / math.Pow(float64(i+1), 0.9)
	}
	return weights
}

// holdByPopularity makes the adapters resident at as many servers as their popularity required before it moved.
func (r *replay) holdByPopularity(weights []float64) {
	const shareOfServer = 0.5
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for i, w := range weights {
		r.hold(i, min(replayServers, int(math.Ceil(w/total*replayServers/shareOfServer))))
	}
}

// TestReplay replays the loads under which servers got more requests than they can take while others were idle. The share
// of requests that are on time must be close to that of a scheduler that knows all queues and needs no adapter; placing by
// an instance's own requests must not reach the bound, so that the replay shows what asking the owners is for.
func TestReplay(t *testing.T) {
	const bound = 0.95
	const adapters, perSecond = 300, 480
	patterns := map[string]func(r *replay){
		"popularity moves by seven places": func(r *replay) {
			r.holdByPopularity(zipf(adapters, 0))
			r.arrive(0, replayLength, perSecond, zipf(adapters, 7))
		},
		"burst of 1.5 over six seconds": func(r *replay) {
			r.holdByPopularity(zipf(adapters, 0))
			r.arrive(0, replayLength, perSecond, zipf(adapters, 0))
			r.arrive(5*time.Second, 11*time.Second, perSecond/2, zipf(adapters, 0))
		},
		"a quarter of the servers four times slower": func(r *replay) {
			r.holdByPopularity(zipf(adapters, 0))
			for i, s := range r.servers {
				if i%4 == 0 {
					s.slow = 4
				}
			}
			r.arrive(0, replayLength, perSecond, zipf(adapters, 0))
		},
		"a fifth of the servers gone": func(r *replay) {
			r.holdByPopularity(zipf(adapters, 0))
			r.servers = r.servers[replayServers/5:]
			for a, list := range r.holders {
				kept := slices.DeleteFunc(list, func(s *simServer) bool { return !slices.Contains(r.servers, s) })
				if r.holders[a] = kept; len(kept) == 0 {
					r.hold(a, 1)
				}
			}
			r.arrive(0, replayLength, perSecond, zipf(adapters, 0))
		},
	}
	for name, pattern := range patterns {
		shares := map[string]float64{}
		refused := 0
		for policy, place := range map[string]func(*replay, *simRequest){"own requests": byOwnRequests, "owners": byOwners, "knowledge": byKnowledge} {
			r := newReplay(7, place)
			pattern(r)
			r.run()
			shares[policy] = r.onTime()
			refused += r.refused
		}
		t.Logf("%s: %v, refused %d", name, shares, refused)
		Convey(name, t, func() {
			So(shares["owners"], ShouldBeGreaterThanOrEqualTo, bound*shares["knowledge"])
			So(shares["own requests"], ShouldBeLessThan, bound*shares["knowledge"])
			So(refused, ShouldEqual, 0)
		})
	}
}
