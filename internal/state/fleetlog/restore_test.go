package fleetlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timing of the simulated instances.
const (
	simLease = 2 * time.Second
	simPause = simLease + time.Second
)

var simWorkers = []string{"w0", "w1", "w2"}

// simLog is a log that loses its newest records in restores and its oldest ones by expiry.
type simLog struct {
	era     int64
	first   int
	records []Record
	// firsts holds the first offset when the log had each length, to restore it as well.
	firsts []int
}

func (l *simLog) append(r Record) {
	l.records = append(l.records, r)
	l.firsts = append(l.firsts, l.first)
}

// simInstance is one machine, which runs one incarnation after another.
type simInstance struct {
	name        string
	incarnation string
	follower    *Follower
	number      int64
	sent        map[int64]time.Duration
	// acknowledged and lease are when the last acknowledged heartbeat was sent, and when the one that permits orders was.
	acknowledged, lease time.Duration
	// refused holds the fences that were refused to the incarnation.
	refused map[string]bool
}

func (i *simInstance) start(n int) {
	i.incarnation = fmt.Sprintf("%s-%d", i.name, n)
	i.follower = NewFollower(i.incarnation, simPause)
	i.number, i.sent = 0, map[int64]time.Duration{}
	i.acknowledged, i.lease = -time.Hour, -time.Hour
	i.refused = map[string]bool{}
}

// simulation runs instances that follow one log in virtual time.
type simulation struct {
	t         *rapid.T
	log       simLog
	now       time.Duration
	instances []*simInstance
	starts    int
	// late holds appends that are carried out later.
	late []Record
	// stale holds the latest answer that an instance has not received yet.
	stale map[*simInstance]simAnswer
	// acted holds the incarnation that acted under each fence of a worker, and highest the highest fence of each worker.
	acted   map[string]string
	highest map[string]int64
	trace   []string
}

type simAnswer struct {
	era     int64
	from    int64
	expired bool
	first   int64
	records []Record
	end     bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Hour, stale: map[*simInstance]simAnswer{}, acted: map[string]string{}, highest: map[string]int64{}}
	for n := range 3 {
		i := &simInstance{name: fmt.Sprint("m", n)}
		s.instances = append(s.instances, i)
		s.start(i)
	}
	return s
}

func (s *simulation) start(i *simInstance) {
	s.starts++
	i.start(s.starts)
	delete(s.stale, i)
}

func (s *simulation) note(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%v era %d end %d: ", s.now-time.Hour, s.log.era, len(s.log.records))+fmt.Sprintf(format, args...))
}

func (s *simulation) fail(format string, args ...any) {
	for _, line := range s.trace[max(0, len(s.trace)-150):] {
		s.t.Log(line)
	}
	s.t.Fatalf(format, args...)
}

// send appends a record now or later, or loses it. It reports whether the append was acknowledged. A heartbeat that an
// incarnation sends before one was acknowledged is not appended late: after a restart it could not be told from that of a
// new incarnation.
func (s *simulation) send(r Record, fate string) bool {
	switch fate {
	case "lost":
		return false
	case "late":
		if r.Heartbeat != nil && r.Heartbeat.New {
			return false
		}
		s.late = append(s.late, r)
		return false
	}
	s.log.append(r)
	return fate != "unanswered"
}

func (s *simulation) beat(i *simInstance, fate string) {
	i.number++
	i.sent[i.number] = s.now
	h := &Heartbeat{Number: i.number, New: i.acknowledged < 0, LeaseMS: simLease.Milliseconds(), Owned: i.follower.HeldWorkers()}
	h.Paused = i.follower.Paused(s.now)
	if h.Era = i.follower.Era(); h.Era > 0 {
		h.EraAgeMS = i.follower.EraAge(s.now).Milliseconds()
	}
	h.StartAt = i.follower.StartAt(s.now)
	s.note("%s beats %d %s %v start at %d", i.incarnation, i.number, fate, h.Owned, h.StartAt)
	if s.send(Record{Instance: i.name, Incarnation: i.incarnation, Heartbeat: h}, fate) {
		i.acknowledged = s.now
	}
}

func (s *simulation) claim(i *simInstance, fate string) {
	if s.now-i.lease > simLease {
		return
	}
	if c := i.follower.Claim(simWorkers, s.now, maxSilence); c != nil {
		s.note("%s claims %v at next %d era %d %s", i.incarnation, c.Workers, c.Next, c.Era, fate)
		s.send(Record{Instance: i.name, Incarnation: i.incarnation, Claim: c}, fate)
	}
}

// ask reads up to n records for an instance.
func (s *simulation) ask(i *simInstance, n int) simAnswer {
	from := int(i.follower.Next())
	a := simAnswer{era: s.log.era, from: int64(from), first: int64(s.log.first)}
	if a.expired = from < s.log.first || from > len(s.log.records); !a.expired {
		to := min(from+n, len(s.log.records))
		a.records, a.end = slices.Clone(s.log.records[from:to]), to == len(s.log.records)
	}
	return a
}

// apply applies an answer, and reports whether the end of the stream was read.
func (s *simulation) apply(i *simInstance, a simAnswer) bool {
	f := i.follower
	unchallenged := s.now-i.lease < maxSilence(simLease)
	if a.from != f.Next() || !f.Observe(a.era, s.now, unchallenged) {
		return false
	}
	if a.expired {
		f.Skip(a.first, s.now, unchallenged)
		return false
	}
	for n, r := range a.records {
		h := f.Apply(a.from+int64(n), r, s.now)
		if h != nil && r.Incarnation == i.incarnation {
			i.acknowledged = max(i.acknowledged, i.sent[h.Number])
		}
	}
	f.Advance(a.from+int64(len(a.records)), a.end, s.now)
	if a.end {
		i.lease = i.acknowledged
	}
	s.note("%s read %d to %d, owners %v, held %v", i.incarnation, a.from, f.Next(), f.owners, f.held)
	return a.end
}

// readAll reads the stream to its end.
func (s *simulation) readAll(i *simInstance) {
	for !s.apply(i, s.ask(i, len(s.log.records)+1)) {
	}
}

// order acts for a worker, and checks that nobody else acted under the fence or a higher one.
func (s *simulation) order(i *simInstance, worker string, refuse bool) {
	fence, ok := i.follower.Held(worker)
	if !ok || s.now-i.lease > simLease {
		return
	}
	key := fmt.Sprint(worker, " ", fence)
	s.note("%s acts for %s", i.incarnation, key)
	if holder, ok := s.acted[key]; ok && holder != i.incarnation {
		s.fail("%s and %s act for %s", holder, i.incarnation, key)
	}
	if fence < s.highest[worker] {
		s.fail("%s acts for %s after fence %d", i.incarnation, key, s.highest[worker])
	}
	if i.refused[key] {
		s.fail("%s acts again for %s, which was refused", i.incarnation, key)
	}
	s.acted[key], s.highest[worker] = i.incarnation, fence
	if refuse {
		s.note("refused")
		i.refused[key] = true
		i.follower.Refused(worker, fence, s.now)
	}
}

// restore truncates the log and restores the first offset that it had then.
func (s *simulation) restore(lost int) {
	n := max(0, len(s.log.records)-lost)
	s.log.first = 0
	if n < len(s.log.firsts) {
		s.log.first = s.log.firsts[n]
	}
	s.log.records, s.log.firsts = s.log.records[:n:n], s.log.firsts[:n:n]
	s.log.era++
	s.note("restored to %d", n)
}

func (s *simulation) step() {
	i := rapid.SampledFrom(s.instances).Draw(s.t, "instance")
	fate := rapid.SampledFrom([]string{"acknowledged", "acknowledged", "acknowledged", "unanswered", "late", "lost"})
	switch rapid.SampledFrom([]string{
		"run", "run", "run", "run", "run one", "run one", "run one", "beat", "read", "read part", "claim", "order", "order",
		"wait", "wait", "ask", "answer", "late", "refuse", "restart", "restart late", "expire", "restore", "restore",
	}).Draw(s.t, "step") {
	case "run":
		running := rapid.SampledFrom([][]int{{0, 1, 2}, {0, 1}, {0, 2}, {1, 2}, {0, 1, 2}}).Draw(s.t, "running")
		for range rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(s.t, "rounds") {
			for _, n := range running {
				s.loopOnce(s.instances[n])
			}
			s.now += 500 * time.Millisecond
		}
	case "run one":
		s.loopOnce(i)
	case "beat":
		s.beat(i, fate.Draw(s.t, "fate"))
	case "read":
		s.readAll(i)
	case "read part":
		s.apply(i, s.ask(i, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(s.t, "records")))
	case "claim":
		s.claim(i, fate.Draw(s.t, "fate"))
	case "order":
		s.order(i, rapid.SampledFrom(simWorkers).Draw(s.t, "worker"), false)
	case "refuse":
		s.order(i, rapid.SampledFrom(simWorkers).Draw(s.t, "worker"), true)
	case "wait":
		s.now += time.Duration(rapid.SampledFrom([]int{1, 100, 500, 1000, 1800, 2500}).Draw(s.t, "ms")) * time.Millisecond
	case "ask":
		s.stale[i] = s.ask(i, 5)
	case "answer":
		if a, ok := s.stale[i]; ok {
			delete(s.stale, i)
			a.end = false
			s.apply(i, a)
		}
	case "late":
		if n := len(s.late); n > 0 {
			s.note("late append %v", s.late[n-1].Incarnation)
			s.log.append(s.late[n-1])
			s.late = s.late[:n-1]
		}
	case "restart":
		s.start(i)
		s.note("%s starts", i.incarnation)
	case "restart late":
		s.start(i)
		s.startLate(i)
	case "expire":
		s.log.first = max(s.log.first, len(s.log.records)-rapid.SampledFrom([]int{0, 1, 2, 5, 10}).Draw(s.t, "kept"))
		s.note("expired to %d", s.log.first)
	case "restore":
		s.restore(rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 8, 12, 20, 40}).Draw(s.t, "lost"))
	}
}

// startLate lets an instance start at the offset that the newest heartbeat names which names one, if there is any.
func (s *simulation) startLate(i *simInstance) {
	for n := len(s.log.records) - 1; n >= s.log.first; n-- {
		if at := StartOffset(s.log.era, int64(n), s.log.records[n]); at > 0 {
			i.follower.Start(s.log.era, at, s.now)
			s.note("%s starts at %d", i.incarnation, at)
			return
		}
	}
}

// loopOnce lets an instance do without faults what it does in each of its rounds, and act for its workers.
func (s *simulation) loopOnce(i *simInstance) {
	s.beat(i, "acknowledged")
	s.readAll(i)
	s.claim(i, "acknowledged")
	s.readAll(i)
	for _, w := range simWorkers {
		s.order(i, w, false)
	}
}

// checkAgreement fails unless all folds have the same owner of each worker, which holds the fence and lives.
func (s *simulation) checkAgreement() {
	for _, i := range s.instances {
		s.readAll(i)
	}
	for _, w := range simWorkers {
		first := s.instances[0].follower.Owner(w)
		holders := 0
		for _, i := range s.instances {
			if o := i.follower.Owner(w); o != first {
				s.fail("%s has the owner %+v of %s, another has %+v", i.incarnation, o, w, first)
			}
			if fence, ok := i.follower.Held(w); ok {
				holders++
				if o := i.follower.Owner(w); o.Incarnation != i.incarnation || o.Fence != fence {
					s.fail("%s holds %s under fence %d, its fold has the owner %+v", i.incarnation, w, fence, o)
				}
			}
		}
		if holders != 1 {
			s.fail("%s has %d holders", w, holders)
		}
	}
}

// TestOwnersOverRestores guards against two owners under one fence, an owner under a lower fence than one before it, and
// instances that disagree on owners for good, when the log loses its newest or oldest records, appends are carried out
// late, answers arrive late, instances lag behind and restart.
func TestOwnersOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.SampledFrom([]int{20, 60, 120}).Draw(t, "steps") {
			s.step()
		}
		for range 20 {
			for _, i := range s.instances {
				s.loopOnce(i)
			}
			s.now += 500 * time.Millisecond
		}
		s.checkAgreement()
	})
}
