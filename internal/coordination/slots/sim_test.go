package slots

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"pgregory.net/rapid"
)

// TestMain sets default seed, checks and steps of the property tests; flags on the command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "250"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fataler is the subset of testing.T and rapid.T that the simulation uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// Record kinds of the control stream that only the simulation uses.
const (
	kindJoin     record.Kind = "join"
	kindWithdraw record.Kind = "withdraw"
)

// maxDelay limits a pause together with the delivery that follows it. It is shorter than the quarantine.
const maxDelay = DefaultQuarantine - time.Second

// fakeEngine is an engine with adapter slots. Its settings say whether it checks fences and whether it refuses to
// evict adapters in use.
type fakeEngine struct {
	set         Settings
	incarnation int
	fence       uint64
	running     map[adapter.Ref]int
}

// packet is an order or a request in transit from an instance to the engine. It is lost if the engine
// incarnation to which it is connected ends.
type packet struct {
	in                *instance
	dispatcher        *Dispatcher
	self              string
	createdAt         time.Time
	engineIncarnation int
	order             *SendOrder
	noop              *SendNoop
	ref               adapter.Ref
	queued            bool // not yet sent by the process that created it
	lost              bool // the sender was already told that the result is unknown
}

// runningRequest is a request that the engine is running.
type runningRequest struct {
	in                *instance
	dispatcher        *Dispatcher
	ref               adapter.Ref
	engineIncarnation int
}

type instance struct {
	name          string
	startCount    int
	self          string
	fold          *ownership.Fold
	position      int
	members       []string
	withdrawn     map[string]WithdrawnMember
	owner         *Owner
	dispatcher    *Dispatcher
	joined        bool
	paused        bool
	tailReadAt    time.Time // when the end of the log was last read
	inbox, outbox []func()
}

type sim struct {
	t         fataler
	now       time.Time
	log       []record.Entry
	logDown   bool
	engine    *fakeEngine
	instances []*instance
	packets   []*packet
	runs      []runningRequest
	net       []func() // messages between instances; they may be lost, duplicated and reordered
	appends   []record.Envelope
	owners    map[uint64]string
	dead      map[string]bool
	evictions int
}

var refs = []adapter.Ref{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "1"}, {Name: "d", Version: "1"}}

func newSim(t fataler, n int, set Settings) *sim {
	set.Engine, set.Slots = "e", 2
	s := &sim{t: t, now: time.UnixMilli(1_800_000_000_000), owners: map[uint64]string{}, dead: map[string]bool{},
		engine: &fakeEngine{set: set, incarnation: 1, running: map[adapter.Ref]int{}}}
	for i := range n {
		in := &instance{name: fmt.Sprint("i", i)}
		s.instances = append(s.instances, in)
		s.start(in)
	}
	return s
}

// start starts a new process of an instance.
func (s *sim) start(in *instance) {
	in.fold, in.position, in.members, in.withdrawn = ownership.NewFold(), 0, nil, map[string]WithdrawnMember{}
	in.dispatcher, in.paused, in.inbox, in.outbox = NewDispatcher(""), false, nil, nil
	s.join(in)
}

// join gives a process a new incarnation.
func (s *sim) join(in *instance) {
	in.startCount++
	in.self, in.joined = fmt.Sprint(in.name, ".", in.startCount), false
	in.owner = NewOwner(in.self, s.engine.set, func(c []adapter.Ref, _ adapter.Ref) (adapter.Ref, bool) { return c[0], true })
	in.dispatcher.Rejoin(in.self)
	s.appendToLog(record.Envelope{Kind: kindJoin, ID: in.self, Incarnation: in.self})
}

func (s *sim) appendToLog(e record.Envelope) {
	s.log = append(s.log, record.Entry{Offset: uint64(len(s.log)), UnixMilli: s.now.UnixMilli(), Envelope: e})
}

// kill ends the process of an instance and starts a new one. What the old process had not sent is lost.
func (s *sim) kill(in *instance) {
	s.dead[in.self] = true
	s.packets = slices.DeleteFunc(s.packets, func(p *packet) bool { return p.in == in && (p.queued || p.order == nil) })
	s.runs = slices.Clone(s.runs)
	s.start(in)
}

func (s *sim) withdraw(self string) { s.appendToLog(record.Envelope{Kind: kindWithdraw, ID: self}) }

// withdrawn reports whether the log contains a withdrawal of the incarnation.
func (s *sim) withdrawn(self string) bool {
	return slices.ContainsFunc(s.log, func(e record.Entry) bool { return e.Kind == kindWithdraw && e.ID == self })
}

// read makes an instance apply up to n log entries and handle the changed view.
func (s *sim) read(in *instance, n int) {
	if in.paused || s.logDown {
		return
	}
	for ; n > 0 && in.position < len(s.log); n-- {
		e := s.log[in.position]
		in.position++
		switch e.Kind {
		case kindJoin:
			in.members = append(in.members, e.ID)
			in.joined = in.joined || e.ID == in.self
		case kindWithdraw:
			in.members = slices.DeleteFunc(in.members, func(m string) bool { return m == e.ID })
			in.withdrawn[e.ID] = WithdrawnMember{ObservedAt: s.now, Dead: s.dead[e.ID]}
			if e.ID == in.self {
				s.updateView(in)
				s.join(in)
			}
		default:
			in.fold.Apply(e)
		}
	}
	if in.position == len(s.log) {
		in.tailReadAt = s.now
	}
	s.updateView(in)
}

func (s *sim) lease(in *instance) bool {
	return in.joined && (s.now.Sub(in.tailReadAt) < 2*time.Second || s.logDown && !s.withdrawn(in.self))
}

func (s *sim) updateView(in *instance) {
	st := in.fold.Engine("e")
	ownerGone := st.Owner != "" && !slices.Contains(in.members, st.Owner)
	in.dispatcher.UpdateOwnership("e", st, ownerGone)
	s.step(in, ViewUpdate{View{Engine: st, Members: slices.Clone(in.members), Withdrawn: in.withdrawn, OwnerGone: ownerGone,
		LeaseValid: s.lease(in) && slices.Contains(in.members, in.self), LogAvailable: !s.logDown}})
}

func (s *sim) step(in *instance, ev Event) {
	acts := in.owner.Step(s.now, ev)
	if f := in.owner.Fence(); f != 0 {
		if have := s.owners[f]; have != "" && have != in.self {
			s.t.Fatalf("one-owner check: %s and %s both own the engine under fence %d", have, in.self, f)
		}
		s.owners[f] = in.self
	}
	for _, a := range acts {
		switch a := a.(type) {
		case Append:
			s.appends = append(s.appends, a.Record)
		case SendRetire:
			s.post(in, a.Member, func(to *instance) (Event, bool) { r, ok := to.dispatcher.Retire(a.Retire); return r, ok })
		case SendUnretire:
			s.post(in, a.Member, func(to *instance) (Event, bool) { r, ok := to.dispatcher.Unretire(a.Retire); return r, ok })
		case SendInFlightQuery:
			s.post(in, a.Member, func(to *instance) (Event, bool) {
				r, ok := to.dispatcher.HandleInFlightQuery(a.InFlightQuery)
				return r, ok
			})
		case SendNoop:
			s.packets = append(s.packets, &packet{in: in, self: in.self, createdAt: s.now, noop: &a, queued: true})
		case SendOrder:
			s.packets = append(s.packets, &packet{in: in, self: in.self, createdAt: s.now, order: &a, queued: true})
		}
	}
}

// post sends a message to a member, and its reply back, over the simulated network.
func (s *sim) post(from *instance, member string, ask func(*instance) (Event, bool)) {
	self := from.self
	s.net = append(s.net, func() {
		for _, to := range s.instances {
			if to.self != member {
				continue
			}
			s.handle(to, member, func() {
				if ev, ok := ask(to); ok {
					s.net = append(s.net, func() { s.handle(from, self, func() { s.step(from, ev) }) })
				}
			})
		}
	})
}

// handle runs f on the instance unless that incarnation has ended. If the instance is paused, f runs when it
// resumes.
func (s *sim) handle(in *instance, self string, f func()) {
	if in.self != self {
		return
	}
	if in.paused {
		in.inbox = append(in.inbox, func() { s.handle(in, self, f) })
		return
	}
	f()
}

func (s *sim) resume(in *instance) {
	inbox := in.inbox
	in.paused, in.inbox = false, nil
	for _, f := range inbox {
		f()
	}
}

// dispatch dispatches a request if the instance may do so, and reports whether it did.
func (s *sim) dispatch(in *instance, ref adapter.Ref) bool {
	if in.paused || !s.lease(in) || !in.dispatcher.Begin("e", ref) {
		return false
	}
	s.packets = append(s.packets, &packet{in: in, dispatcher: in.dispatcher, self: in.self, createdAt: s.now, ref: ref, queued: true})
	return true
}

// send sends a queued packet over a connection to the current incarnation of the engine.
func (s *sim) send(p *packet) {
	if p.queued && !p.in.paused {
		p.queued, p.engineIncarnation = false, s.engine.incarnation
	}
}

// deliver delivers a packet to the engine and reports the result to its sender.
func (s *sim) deliver(p *packet) {
	if p.queued {
		return
	}
	s.packets = slices.DeleteFunc(s.packets, func(q *packet) bool { return q == p })
	status := OrderUnknown
	if p.engineIncarnation == s.engine.incarnation {
		status = s.execute(p)
	}
	if p.order != nil && !p.lost {
		s.handle(p.in, p.self, func() { s.step(p.in, OrderResult{p.order.Fence, p.order.Seq, status}) })
	}
	if p.order == nil && p.noop == nil && status != OrderDone {
		s.end(runningRequest{p.in, p.dispatcher, p.ref, 0})
	}
}

// execute executes a packet on the engine and checks that no adapter in use is evicted.
func (s *sim) execute(p *packet) OrderStatus {
	e := s.engine
	if p.order == nil && p.noop == nil {
		if _, held := e.running[p.ref]; !held {
			return OrderRefused
		}
		e.running[p.ref]++
		s.runs = append(s.runs, runningRequest{p.in, p.dispatcher, p.ref, e.incarnation})
		return OrderDone
	}
	var fence uint64
	if p.noop != nil {
		fence = p.noop.Fence
	} else {
		fence = p.order.Fence
	}
	if e.set.ChecksFence && fence < e.fence {
		return OrderRefused
	}
	e.fence = max(e.fence, fence)
	if p.order == nil {
		s.handle(p.in, p.self, func() { s.step(p.in, NoopResult(*p.noop)) })
		return OrderDone
	}
	n, held := e.running[p.order.Adapter]
	switch {
	case p.order.Op == ownership.Load && !held:
		if len(e.running) == e.set.Slots {
			return OrderRefused
		}
		e.running[p.order.Adapter] = 0
	case p.order.Op == ownership.Evict && held:
		if p.order.IfIdle && n > 0 {
			return OrderRefused
		}
		if n > 0 {
			s.t.Fatalf("in-use check: %s evicted %s, which was serving %d requests", p.self, p.order.Adapter, n)
		}
		delete(e.running, p.order.Adapter)
		s.evictions++
	default:
		return OrderDone
	}
	s.checkStaleOrder(p.order)
	return OrderDone
}

// checkStaleOrder is called for an order that changed a slot. If a newer owner exists, it must know of the order: the
// order must be open in its view.
func (s *sim) checkStaleOrder(a *SendOrder) {
	for _, in := range s.instances {
		o := in.owner
		// An unrecorded order can only be accepted by an engine that does not know the new fence yet.
		engineKnowsFence := o.fenceConfirmed && o.noopIncarnation == fmt.Sprint(s.engine.incarnation)
		if !o.Owns() || o.Fence() <= a.Fence || !s.engine.set.mustRecord(a.Op) && !engineKnowsFence {
			continue
		}
		if _, open := o.view.Engine.FindOrder(a.Fence, a.Seq); !open {
			s.t.Fatalf("stale-order check: %s does not know of the stale %s of %s under fence %d", in.self, a.Op, a.Adapter, a.Fence)
		}
	}
}

// end tells the dispatcher that a request has ended. A paused instance learns of it when it resumes.
func (s *sim) end(r runningRequest) {
	if in := r.in; in.paused {
		in.inbox = append(in.inbox, func() { s.end(r) })
	} else {
		r.dispatcher.End("e", r.ref)
	}
}

func (s *sim) finish(i int) {
	r := s.runs[i]
	s.runs = slices.Delete(slices.Clone(s.runs), i, i+1)
	if r.engineIncarnation == s.engine.incarnation {
		s.engine.running[r.ref]--
	}
	s.end(r)
}

func (s *sim) restart() {
	s.engine.incarnation++
	s.engine.fence = 0
	s.engine.running = map[adapter.Ref]int{}
	for len(s.runs) > 0 {
		s.finish(0)
	}
}

func (s *sim) poll(in *instance) {
	rep := Report{Incarnation: fmt.Sprint(s.engine.incarnation), NotBefore: s.now, Running: map[adapter.Ref]int{}}
	for r, n := range s.engine.running {
		rep.Running[r] = n
	}
	self := in.self
	s.net = append(s.net, func() { s.handle(in, self, func() { s.step(in, rep) }) })
}

// advance advances the clock. Packets that would otherwise be delayed by maxDelay or more are delivered first.
func (s *sim) advance(d time.Duration) {
	for _, p := range slices.Clone(s.packets) {
		if s.now.Add(d).Sub(p.createdAt) >= maxDelay {
			s.resume(p.in)
			s.send(p)
			s.deliver(p)
		}
	}
	s.now = s.now.Add(d)
	for _, in := range s.instances {
		if !in.paused {
			s.updateView(in)
			s.step(in, Tick{})
		}
	}
}

// settle delivers all messages, appends and packets without faults for some rounds of one second.
func (s *sim) settle(rounds int) {
	for range rounds {
		for _, e := range s.appends {
			s.appendToLog(e)
		}
		s.appends = nil
		for _, in := range s.instances {
			s.read(in, len(s.log))
			s.poll(in)
		}
		for i := 0; i < len(s.net); i++ {
			s.net[i]()
		}
		s.net = nil
		for _, p := range slices.Clone(s.packets) {
			s.send(p)
			s.deliver(p)
		}
		s.advance(time.Second)
	}
}

// TestSlotsInvariants guards against the eviction of an adapter in use, two owners under one fence, an order of
// a stale owner that the current owner does not know of, and an owner that never loads again.
func TestSlotsInvariants(t *testing.T) {
	for _, set := range []Settings{{}, {ChecksFence: true}, {EvictsOnlyIdle: true}, {ChecksFence: true, EvictsOnlyIdle: true}} {
		t.Run(fmt.Sprintf("fence=%v,idle=%v", set.ChecksFence, set.EvictsOnlyIdle), func(t *testing.T) {
			evictions := 0
			rapid.Check(t, func(t *rapid.T) {
				s := newSim(t, 3, set)
				s.settle(3)
				s.wantAll(refs[0])
				s.wantAll(refs[1])
				s.settle(4)
				explore(t, s)
				for _, in := range s.instances {
					s.resume(in)
				}
				s.logDown = false
				s.settle(2)
				for len(s.runs) > 0 {
					s.finish(0)
				}
				s.advance(2 * DefaultQuarantine)
				s.settle(20)
				s.advance(DefaultQuarantine) // until the orders that are open since the last takeover are closed
				s.settle(10)
				for _, in := range s.instances {
					s.step(in, Wanted{refs[3]})
				}
				s.settle(10)
				if _, held := s.engine.running[refs[3]]; !held {
					t.Fatalf("liveness check: a wanted adapter is not loaded after all faults ended")
				}
				for _, in := range s.instances {
					if !s.dispatch(in, refs[3]) {
						t.Fatalf("liveness check: %s does not dispatch requests to a resident adapter", in.self)
					}
				}
				evictions += s.evictions
			})
			t.Logf("%d evictions", evictions)
		})
	}
}

func explore(t *rapid.T, s *sim) {
	pick := func(t *rapid.T) *instance { return rapid.SampledFrom(s.instances).Draw(t, "instance") }
	index := func(t *rapid.T, n int) int {
		if n == 0 {
			t.Skip()
		}
		return rapid.IntRange(0, n-1).Draw(t, "index")
	}
	onePacket := func(t *rapid.T) *packet { return s.packets[index(t, len(s.packets))] }
	message := func(t *rapid.T) {
		i := index(t, len(s.net))
		f := s.net[i]
		if rapid.IntRange(0, 3).Draw(t, "once") > 0 {
			s.net = slices.Delete(slices.Clone(s.net), i, i+1)
		}
		if rapid.IntRange(0, 5).Draw(t, "kept") > 0 {
			f()
		}
	}
	rarely := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				f(t)
			}
		}
	}
	request := func(t *rapid.T) { s.dispatch(pick(t), rapid.SampledFrom(refs).Draw(t, "adapter")) }
	t.Repeat(map[string]func(*rapid.T){
		"calm":      func(t *rapid.T) { s.settleUnlessDown(rapid.IntRange(1, 5).Draw(t, "rounds")) },
		"calm 2":    func(_ *rapid.T) { s.settleUnlessDown(1) },
		"want 2":    func(t *rapid.T) { s.wantAll(rapid.SampledFrom(refs).Draw(t, "adapter")) },
		"want":      func(t *rapid.T) { s.wantAll(rapid.SampledFrom(refs).Draw(t, "adapter")) },
		"request":   request,
		"request 2": request,
		"message":   message,
		"message 2": message,
		"message 3": message,
		"read":      func(t *rapid.T) { s.read(pick(t), rapid.IntRange(1, 9).Draw(t, "entries")) },
		"read all":  func(t *rapid.T) { s.read(pick(t), len(s.log)) },
		"poll":      func(t *rapid.T) { s.poll(pick(t)) },
		"send":      func(t *rapid.T) { s.send(onePacket(t)) },
		"arrive":    func(t *rapid.T) { s.deliver(onePacket(t)) },
		"append": func(t *rapid.T) {
			// The record stays in the list if it is to be appended twice. It is lost if the log is down.
			i := index(t, len(s.appends))
			e := s.appends[i]
			if rapid.IntRange(0, 3).Draw(t, "once") > 0 {
				s.appends = slices.Delete(slices.Clone(s.appends), i, i+1)
			}
			if !s.logDown {
				s.appendToLog(e)
			}
		},
		"result lost": func(t *rapid.T) {
			if p := onePacket(t); p.order != nil && !p.queued && !p.lost {
				p.lost = true
				s.handle(p.in, p.self, func() { s.step(p.in, OrderResult{p.order.Fence, p.order.Seq, OrderUnknown}) })
			}
		},
		"finish": func(t *rapid.T) { s.finish(index(t, len(s.runs))) },
		"log":    func(t *rapid.T) { s.logDown = !s.logDown && rapid.IntRange(0, 3).Draw(t, "down") == 0 },
		"pause":  func(t *rapid.T) { pick(t).paused = true },
		"wake":   func(t *rapid.T) { s.resume(pick(t)) },
		"kill":   rarely(func(t *rapid.T) { in := pick(t); self := in.self; s.kill(in); s.withdraw(self) }),
		"withdraw": rarely(func(t *rapid.T) {
			if in := pick(t); !s.withdrawn(in.self) {
				s.withdraw(in.self)
			}
		}),
		"restart": rarely(func(_ *rapid.T) { s.restart() }),
		"time": func(t *rapid.T) {
			s.advance(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, time.Second,
				6 * time.Second, time.Minute, 16 * time.Minute}).Draw(t, "time"))
		},
	})
}

func (s *sim) settleUnlessDown(rounds int) {
	if !s.logDown {
		s.settle(rounds)
	}
}

func (s *sim) wantAll(r adapter.Ref) {
	for _, in := range s.instances {
		if !in.paused {
			s.step(in, Wanted{r})
		}
	}
}
