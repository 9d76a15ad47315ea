package workerload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// simCache is what a server of a mixed replay holds of prompts: the parts used last, up to its memory. It reads only what it
// does not hold, and its steps take longer the more requests run.
type simCache struct {
	parts []Part
}

const (
	mixedReadTime, mixedStep = 33 * time.Microsecond, 7 * time.Millisecond
	mixedCacheTokens         = 100_000
	mixedLength              = 9 * time.Second
)

func (c *simCache) times(s *simServer, q *simRequest) (prompt, output time.Duration) {
	unread := q.size.Prompt - c.held(q)
	for _, p := range q.size.Parts {
		c.parts = append(slices.DeleteFunc(c.parts, func(x Part) bool { return x.ID == p.ID }), p)
	}
	total := int64(0)
	for i := len(c.parts) - 1; i >= 0; i-- {
		if total += c.parts[i].Tokens; total > mixedCacheTokens {
			c.parts = c.parts[i+1:]
			break
		}
	}
	step := float64(mixedStep) * (1 + 0.02*float64(s.running))
	return time.Duration(s.slow * (step + float64(unread)*float64(mixedReadTime))), time.Duration(s.slow * step * float64(q.size.Output))
}

func (c *simCache) held(q *simRequest) (tokens int64) {
	for _, p := range q.size.Parts {
		if slices.Contains(c.parts, p) {
			tokens += p.Tokens
		}
	}
	return tokens
}

// mixedKind is a route of a mixed replay.
type mixedKind struct {
	name             string
	rate             float64
	target, deadline time.Duration
	priority         int
	long             bool
}

// mixedLoad is the load of a mixed replay, at each server.
type mixedLoad struct {
	slots  int
	output int64
	kinds  []mixedKind
}

// mixedLoads are those of the deployments A and B of the requirements.
var mixedLoads = map[string]mixedLoad{
	"A": {16, 150, []mixedKind{
		{"live", 6.52, 500 * time.Millisecond, 6 * time.Second, 0, false}, {"background", 0.72, time.Second, 20 * time.Second, 1, false},
		{"long", 0.27, 2 * time.Second, 5 * time.Second, 0, true},
	}},
	"B": {12, 110, []mixedKind{
		{"live", 7.16, 500 * time.Millisecond, 5 * time.Second, 0, false}, {"replays", 0.77, time.Second, 10 * time.Second, 0, false},
		{"long", 0.32, 800 * time.Millisecond, 4 * time.Second, 0, true},
	}},
}

// mixedReplay is a replay of a mixture under one policy.
type mixedReplay struct {
	*replay
	mixes []*Mix
	kinds map[*simRequest]string
	// dead are the requests that were refused.
	dead map[*simRequest]bool
	// dedicated is the number of servers that are set aside for long prompts.
	dedicated int
}

func newMixedReplay(servers int, l mixedLoad, place func(m *mixedReplay, q *simRequest)) *mixedReplay {
	m := &mixedReplay{kinds: map[*simRequest]string{}, dead: map[*simRequest]bool{}}
	m.replay = newReplay(11, func(_ *replay, q *simRequest) { place(m, q) })
	m.servers = nil
	for i := range servers {
		m.servers = append(m.servers, &simServer{centre: i % replayCentres, slow: 1, slots: l.slots, cache: &simCache{}, load: New(l.slots, 150_000), inFlight: map[int]int{}})
	}
	for range min(servers, replayInstances) {
		m.mixes = append(m.mixes, NewMix())
	}
	weights := zipf(servers*4, 0)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	for a, w := range weights {
		m.hold(a, min(servers, max(1, int(math.Ceil(w/total*float64(servers)/0.5)))))
	}
	return m
}

// arrive adds the requests of a kind at all servers together.
func (m *mixedReplay) arrive(from, to time.Duration, k mixedKind, perSecond float64, output int64, adapters []float64) {
	random := rand.New(rand.NewPCG(uint64(len(m.requests)), 3))
	total := 0.0
	for _, w := range adapters {
		total += w
	}
	for at := from; at < to; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		x, a := random.Float64()*total, 0
		for x -= adapters[0]; x > 0 && a < len(adapters)-1; x -= adapters[a] {
			a++
		}
		size := Request{Prompt: int64(500 * math.Exp(0.4*random.NormFloat64())), Output: int64(float64(output) * (0.5 + random.Float64())), Priority: k.priority}
		size.Parts = []Part{{ID: uint64(a), Tokens: 155}}
		if k.long {
			size.Prompt, size.Parts = int64(min(2900*math.Exp(0.7*random.NormFloat64()), 30_000)), []Part{{ID: uint64(1_000_000 + a), Tokens: 6300}}
		}
		size.Prompt += size.Parts[0].Tokens
		q := &simRequest{at: at, instance: random.IntN(len(m.mixes)), adapter: a, size: size, target: k.target, deadline: k.deadline}
		m.requests = append(m.requests, q)
		m.kinds[q] = k.name
		m.after(at, func() { m.place(m.replay, q) })
	}
}

// byMixture is the policy of this package for mixtures.
func byMixture(m *mixedReplay, q *simRequest) {
	mix := m.mixes[q.instance]
	mix.Arrived(m.kinds[q], q.size.Prompt, q.target)
	m.placeInMixture(q, true)
}

func (m *mixedReplay) group(q *simRequest) Group {
	return Group{Route: m.kinds[q], Workspace: fmt.Sprint(q.adapter % 20), Prompt: q.size.Prompt}
}

func (m *mixedReplay) placeInMixture(q *simRequest, canLoad bool) {
	mix, slack, left := m.mixes[q.instance], q.at+q.target-m.now, q.at+q.deadline-m.now
	r := q.size
	r.Mixture, r.Late, r.Owed = mix.Mixture(), slack <= 0, mix.Owed(m.group(q))
	q.size = r
	maxWait := MaxWait(slack)
	servers := m.ranked(q)
	var answers []Answer
	var places []uint64
	for {
		c := Choose(answers, len(servers), canLoad && slack > 0, left)
		switch c.Step {
		case Ask:
			l := servers[c.Index].load
			place, wait := l.Admit(r, 0, maxWait, left, m.now)
			answers, places = append(answers, Answer{Known: true, Admitted: place != 0, Wait: wait, Defers: l.Defers(r, m.now), InTime: wait <= maxWait}), append(places, place)
			continue
		case Send:
			m.send(q, servers[c.Index], places[c.Index])
		case SendLate:
			m.send(q, servers[c.Index], servers[c.Index].load.Add(r, 0, left, m.now))
		case Hold:
			m.after(HoldTime(c.RetryAfter, m.now-q.at, left), func() { m.placeInMixture(q, canLoad) })
			return
		case LoadElsewhere:
			if !m.loadInMixture(q, r, maxWait, left) {
				m.placeInMixture(q, false)
			}
			return
		default:
			m.dead[q] = true
		}
		mix.Ended(m.group(q), !m.dead[q])
		return
	}
}

// loadInMixture has the adapter loaded at one of three further servers that admits the request.
func (m *mixedReplay) loadInMixture(q *simRequest, r Request, maxWait, left time.Duration) bool {
	n := 0
	for _, i := range m.ranking(q.adapter) {
		s := m.servers[i]
		if slices.Contains(m.holders[q.adapter], s) {
			continue
		}
		if n++; n > 3 {
			break
		}
		key := [2]int{q.adapter, i}
		ready, loading := m.loading[key]
		if !loading {
			ready = m.now + replayLoadTime
		}
		place, _ := s.load.Admit(r, ready, maxWait, left, m.now)
		if place == 0 {
			continue
		}
		if !loading {
			m.loading[key] = ready
			m.after(replayLoadTime, func() { m.holders[q.adapter] = append(m.holders[q.adapter], s) })
		}
		m.mixes[q.instance].Ended(m.group(q), true)
		m.after(ready-m.now, func() { m.send(q, s, place) })
		return true
	}
	return false
}

// byDedicated sends long prompts to a part of the servers in proportion to their work, and the rest to the others.
func byDedicated(m *mixedReplay, q *simRequest) {
	if m.dedicated == 0 {
		work := map[bool]float64{}
		for _, x := range m.requests {
			work[m.kinds[x] == "long"] += float64(x.size.Prompt)*float64(mixedReadTime) + float64(x.size.Output)*float64(mixedStep)/4
		}
		m.dedicated = max(1, int(math.Round(work[true]/(work[true]+work[false])*float64(len(m.servers)))))
	}
	n, holders := m.dedicated, m.holders
	part := m.servers[n:]
	if m.kinds[q] == "long" {
		part = m.servers[:n]
	}
	list := slices.DeleteFunc(slices.Clone(holders[q.adapter]), func(s *simServer) bool { return !slices.Contains(part, s) })
	if len(list) == 0 || m.kinds[q] == "long" {
		list = part
	}
	m.holders = map[int][]*simServer{q.adapter: list}
	byOwnersMixed(m, q, false)
	m.holders = holders
}

// byToday is the policy without mixtures.
func byToday(m *mixedReplay, q *simRequest) { byOwnersMixed(m, q, true) }

func byOwnersMixed(m *mixedReplay, q *simRequest, canLoad bool) {
	refused := m.refused
	m.placeByOwners(q, canLoad)
	m.dead[q] = m.refused > refused
}

// mixedByOracle sends each request where its first event really arrives soonest, whatever adapters are held.
func mixedByOracle(m *mixedReplay, q *simRequest) {
	best, least := m.servers[0], math.Inf(1)
	for _, s := range m.servers {
		wait := float64(max(0, s.promptFree-m.now)) + float64(q.size.Prompt-s.cache.held(q))*float64(mixedReadTime)
		if over := s.running + len(s.queue) - s.slots + 1; over > 0 {
			wait += float64(over) * float64(mixedStep) * 150 / float64(s.slots)
		}
		if wait += float64(s.running) * float64(time.Microsecond); wait < least {
			best, least = s, wait
		}
	}
	m.send(q, best, 0)
}

// kindResult is what a kind got: percentiles of the time to the first event of those served, the share of all on time and
// the share served within the deadline.
type kindResult struct {
	p50, p99       time.Duration
	onTime, served float64
}

func (k kindResult) String() string {
	return fmt.Sprintf("p50 %4d p99 %5d on time %.3f served %.3f", k.p50.Milliseconds(), k.p99.Milliseconds(), k.onTime, k.served)
}

// result returns what the requests that satisfy a condition got.
func (m *mixedReplay) result(is func(q *simRequest) bool) (k kindResult) {
	var firsts []time.Duration
	n := 0.0
	for _, q := range m.requests {
		if !is(q) {
			continue
		}
		n++
		if q.first == 0 || m.dead[q] || q.first-q.at > q.deadline {
			continue
		}
		firsts = append(firsts, q.first-q.at)
		k.served++
		if q.first-q.at <= q.target {
			k.onTime++
		}
	}
	if len(firsts) == 0 {
		return k
	}
	slices.Sort(firsts)
	k.p50, k.p99 = firsts[len(firsts)/2], firsts[len(firsts)*99/100]
	k.onTime, k.served = k.onTime/n, k.served/n
	return k
}

func (m *mixedReplay) kind(name string) kindResult {
	return m.result(func(q *simRequest) bool { return m.kinds[q] == name })
}

// mixedPolicies are the policies that are compared.
var mixedPolicies = []struct {
	name  string
	place func(m *mixedReplay, q *simRequest)
}{{"today", byToday}, {"mixture", byMixture}, {"dedicated", byDedicated}, {"oracle", mixedByOracle}}

// mixedCase is a load pattern of a mixed replay, scaled by the number of servers.
type mixedCase struct {
	name string
	load string
	// longShare replaces the part of the requests that are long, and factor the rate of all.
	longShare, factor float64
	// burst is how many times as many long requests arrive in the middle third, and single lets them all be of one adapter.
	burst  float64
	single bool
}

func (c mixedCase) run(servers int, place func(m *mixedReplay, q *simRequest)) *mixedReplay {
	l := mixedLoads[c.load]
	m := newMixedReplay(servers, l, place)
	length := mixedLength
	if servers > 100 {
		length /= 4
	}
	adapters := zipf(servers*4, 0)
	total := 0.0
	for _, k := range l.kinds {
		total += k.rate
	}
	for _, k := range l.kinds {
		rate := k.rate
		if c.longShare > 0 && k.long {
			rate = total * c.longShare
		} else if c.longShare > 0 {
			rate *= 1 - c.longShare
		}
		rate *= c.factor * float64(servers)
		weights := adapters
		if c.single && k.long {
			weights = make([]float64, len(adapters))
			weights[3] = 1
		}
		m.arrive(0, length, k, rate, l.output, weights)
		if c.burst > 0 && k.long {
			m.arrive(length/3, 2*length/3, k, rate*(c.burst-1), l.output, weights)
		}
	}
	m.replay.run()
	return m
}

// mixedServers are the numbers of servers of the replays.
var mixedServers = []int{4, 90, 900}

// TestMixedReplay replays mixtures under which long prompts delay short ones, and an overload under which late work takes the
// places of work that is on time.
func TestMixedReplay(t *testing.T) {
	for _, c := range []mixedCase{
		{"1% long", "A", 0.01, 1, 0, false}, {"5% long", "A", 0.05, 1, 0, false}, {"20% long", "A", 0.2, 1, 0, false},
		{"burst of long", "A", 0, 1, 5, false}, {"long of one workspace", "B", 0, 1, 0, true},
		{"1.6 of all", "A", 0, 1.6, 0, false}, {"1.6 of all", "B", 0, 1.6, 0, false},
	} {
		for _, servers := range mixedServers {
			if !c.single || servers < 900 {
				c.check(t, servers)
			}
		}
	}
}

// TestMixedReplayManyOfOneWorkspace replays 290 long prompts a second for one adapter that few of 900 servers hold.
func TestMixedReplayManyOfOneWorkspace(t *testing.T) {
	mixedCase{"long of one workspace", "B", 0, 1, 0, true}.check(t, 900)
}

// check replays a case under each policy. Where the load allows 95 of 100 requests of a kind to be on time, as many are, or as many as
// without the rules for mixtures; otherwise more are than without them, and
// 0.95 of what the oracle reaches, which refuses nothing. No kind is served less than a quarter as often as all,
// nor its largest tenth less than half as often as the kind.
func (c mixedCase) check(t *testing.T, servers int) {
	const bound, noise = 0.95, 0.02
	name := fmt.Sprintf("%s %s, %d servers", c.load, c.name, servers)
	results := map[string]*mixedReplay{}
	for _, p := range mixedPolicies {
		results[p.name] = c.run(servers, p.place)
		for _, k := range mixedLoads[c.load].kinds {
			t.Logf("%-36s %-9s %-10s %v", name, p.name, k.name, results[p.name].kind(k.name))
		}
	}
	Convey(name, t, func() {
		everything := func(*simRequest) bool { return true }
		m, today := results["mixture"], results["today"]
		all := m.result(everything)
		for _, k := range mixedLoads[c.load].kinds {
			got := m.kind(k.name)
			So(got.onTime, ShouldBeGreaterThanOrEqualTo, min(today.kind(k.name).onTime, bound*results["oracle"].kind(k.name).onTime)-noise)
			So(got.served, ShouldBeGreaterThanOrEqualTo, all.served/4)
			So(m.largestTenth(k.name).served, ShouldBeGreaterThanOrEqualTo, got.served/2)
		}
		if oracle := results["oracle"].result(everything).onTime; oracle < bound {
			So(all.onTime, ShouldBeGreaterThan, today.result(everything).onTime)
			So(all.onTime, ShouldBeGreaterThanOrEqualTo, bound*oracle)
		}
	})
}

// largestTenth returns what the tenth of a kind's requests with the longest prompts got.
func (m *mixedReplay) largestTenth(name string) kindResult {
	var sizes []int64
	for _, q := range m.requests {
		if m.kinds[q] == name {
			sizes = append(sizes, q.size.Prompt)
		}
	}
	slices.Sort(sizes)
	return m.result(func(q *simRequest) bool { return m.kinds[q] == name && q.size.Prompt >= sizes[len(sizes)*9/10] })
}
