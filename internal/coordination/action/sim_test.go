package action

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"pgregory.net/rapid"
)

// TestMain sets defaults for rapid's seed, checks and steps. Command-line flags override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "800", "rapid.steps": "120"} {
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

// pendingAppend is an append in flight to the log.
type pendingAppend struct {
	inst      *instance
	call      *trackedCall
	serial    int
	records   []record.Envelope
	reported  bool
	committed bool
}

// pendingDispatch is a dispatch in flight to the plain service.
type pendingDispatch struct {
	inst *instance
	call *trackedCall
	done bool
}

// trackedCall is a call with the test oracle's record of it.
type trackedCall struct {
	*Call
	id        string
	key       intent.Key
	responses int
	notRun    bool
	code      string
	runs      int
	accepted  time.Time
}

type instance struct {
	name, incarnation string
	restarts          int
	fold              *intent.Fold
	calls             []*trackedCall
	paused, noLease   bool
	// delayedEvents holds the events that arrived while the instance was paused.
	delayedEvents []func()
}

// sim simulates several instances with a fake log and a fake plain service.
type sim struct {
	t          fataler
	now        time.Time
	log        []record.Entry
	logDown    bool
	instances  []*instance
	withdrawn  map[string]bool
	appends    []*pendingAppend
	dispatches []*pendingDispatch
	// runsPerKey counts executions and serviceAnswers holds the service's answers, both by key hash.
	runsPerKey     map[string]int
	serviceAnswers map[string]*intent.Answer
	serial         int
}

const callDeadline = 10 * time.Second

var simRule = intent.KeyRule{Retention: time.Hour, FutureSkew: time.Minute}

func newSim(t fataler, n int) *sim {
	s := &sim{t: t, now: time.UnixMilli(1_800_000_000_000), withdrawn: map[string]bool{},
		runsPerKey: map[string]int{}, serviceAnswers: map[string]*intent.Answer{}}
	for i := range n {
		inst := &instance{name: "i" + strconv.Itoa(i)}
		s.instances = append(s.instances, inst)
		s.start(inst)
	}
	return s
}

func (s *sim) start(inst *instance) {
	inst.restarts++
	inst.incarnation = fmt.Sprintf("%s.%d", inst.name, inst.restarts)
	inst.fold, inst.calls, inst.paused, inst.noLease, inst.delayedEvents = intent.NewFold(simRule), nil, false, false, nil
}

func (s *sim) kill(inst *instance) {
	s.withdrawn[inst.incarnation] = true
	s.start(inst)
}

func (s *sim) view(inst *instance, c *trackedCall) View {
	st := inst.fold.Lookup(c.key)
	v := View{State: st, LeaseValid: !inst.noLease, DispatcherGone: s.withdrawn[st.Dispatcher],
		KeyExpired: inst.fold.Expired(s.created().UnixMilli())}
	if c.Call != nil {
		v.IntentIneligible = inst.fold.Ineligible(c.key, c.IntentID())
	}
	return v
}

func (s *sim) created() time.Time { return time.UnixMilli(1_800_000_000_000) }

func (s *sim) newCall(inst *instance, key, body string) *trackedCall {
	s.serial++
	c := &trackedCall{id: "r" + strconv.Itoa(s.serial), accepted: s.now,
		key: intent.Key{Workspace: "w", Route: "orders", Hash: key}}
	call, actions := New(Request{Key: c.key, BodyHash: body, Created: s.created(), ID: c.id,
		Incarnation: inst.incarnation, Deadline: s.now.Add(callDeadline)}, Timing{}, s.now, s.view(inst, c))
	c.Call = call
	inst.calls = append(inst.calls, c)
	s.perform(inst, c, actions)
	return c
}

func (s *sim) step(inst *instance, c *trackedCall, ev Event) {
	if inst.incarnation != c.req.Incarnation {
		return // the process that handled the call has been killed
	}
	if inst.paused {
		if _, tick := ev.(Tick); !tick {
			inst.delayedEvents = append(inst.delayedEvents, func() { s.step(inst, c, ev) })
		}
		return
	}
	s.perform(inst, c, c.Step(s.now, ev))
}

// resume ends the pause of an instance, which then handles the delayed events in order.
func (s *sim) resume(inst *instance) {
	events := inst.delayedEvents
	inst.paused, inst.delayedEvents = false, nil
	for _, handle := range events {
		handle()
	}
}

func (s *sim) perform(inst *instance, c *trackedCall, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			s.appends = append(s.appends, &pendingAppend{inst: inst, call: c, serial: a.Serial, records: a.Records})
		case Dispatch:
			s.dispatches = append(s.dispatches, &pendingDispatch{inst: inst, call: c})
		case Respond:
			c.responses++
			want := s.serviceAnswers[c.key.Hash]
			if want == nil || a.Answer.Status != want.Status || !bytes.Equal(a.Answer.Body, want.Body) ||
				fmt.Sprint(a.Answer.Header) != fmt.Sprint(want.Header) {
				s.t.Fatalf("answer check: %s got an answer that differs from the service's: %v", c.id, a.Answer)
			}
		case Fail:
			c.responses++
			c.notRun, c.code = a.Err.Verdict == verdict.NotRun, a.Err.Code
			if !c.notRun && verdict.IsPromise(a.Err.Status) {
				s.t.Fatalf("promise check: status %d with the verdict %v", a.Err.Status, a.Err.Verdict)
			}
			if c.notRun && c.runs > 0 {
				s.t.Fatalf("not-run check: %s failed with verdict not-run after it had run", c.id)
			}
			if a.Err.Verdict == verdict.Ran && s.runsPerKey[c.key.Hash] == 0 {
				s.t.Fatalf("ran check: %s failed with verdict ran, but its key has not run", c.id)
			}
		}
	}
	if c.responses > 1 {
		s.t.Fatalf("answer check: %s got more than one response", c.id)
	}
}

// commit adds the records of an append to the log.
func (s *sim) commit(a *pendingAppend) {
	a.committed = true
	for i, r := range a.records {
		s.log = append(s.log, record.Entry{Offset: uint64(len(s.log)), Index: i,
			UnixMilli: s.now.UnixMilli(), Envelope: r})
	}
}

func (s *sim) report(a *pendingAppend, st AppendStatus) {
	if !a.reported {
		a.reported = true
		s.step(a.inst, a.call, AppendResult{Serial: a.serial, Status: st})
	}
}

// stop reports to an instance's calls that their callers can no longer be answered soon.
func (s *sim) stop(inst *instance) {
	for _, c := range inst.calls {
		s.step(inst, c, Stop{})
	}
}

// read makes an instance apply up to n more log entries and update the views of its calls.
func (s *sim) read(inst *instance, n int) {
	if inst.paused {
		return
	}
	for ; n > 0 && !s.logDown && int(inst.fold.Next()) < len(s.log); n-- {
		inst.fold.Apply(s.log[inst.fold.Next()])
	}
	for _, c := range inst.calls {
		s.step(inst, c, ViewUpdate{s.view(inst, c)})
	}
}

// execute makes the service run a dispatched call.
func (s *sim) execute(r *pendingDispatch) {
	c := r.call
	if c.notRun {
		s.t.Fatalf("not-run check: %s ran after it failed with verdict not-run", c.id)
	}
	c.runs++
	s.runsPerKey[c.key.Hash]++
	if s.runsPerKey[c.key.Hash] > 1 {
		s.t.Fatalf("at-most-once check: key %s ran twice", c.key.Hash)
	}
	s.serviceAnswers[c.key.Hash] = &intent.Answer{Status: 201, Body: []byte("answer to " + c.id),
		Header: map[string][]string{"Location": {"/" + c.id}}}
}

// endDispatch ends a dispatch with the given result. If the result is Ran, the service runs the call first.
func (s *sim) endDispatch(r *pendingDispatch, res intent.Result) {
	if r.done {
		return
	}
	r.done = true
	ev := DispatchResult{Result: res}
	if res == intent.Ran {
		s.execute(r)
		ev.Answer = s.serviceAnswers[r.call.key.Hash]
	}
	s.step(r.inst, r.call, ev)
}

func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, inst := range s.instances {
		for _, c := range inst.calls {
			if at, ok := c.WakeAt(); ok && !s.now.Before(at) {
				s.step(inst, c, Tick{})
			}
			if !inst.paused && c.responses == 0 && s.now.Sub(c.accepted) >= callDeadline {
				s.t.Fatalf("deadline check: %s has no response at its deadline", c.id)
			}
		}
	}
}

// heal ends all faults and runs the instances until all calls should have finished.
func (s *sim) heal() {
	s.logDown = false
	for _, inst := range s.instances {
		inst.noLease = false
		s.resume(inst)
	}
	for range 12 {
		for i := 0; i < len(s.appends); i++ {
			if !s.appends[i].reported {
				s.commit(s.appends[i])
				s.report(s.appends[i], Appended)
			}
		}
		for i := 0; i < len(s.dispatches); i++ {
			s.endDispatch(s.dispatches[i], intent.Ran)
		}
		for _, inst := range s.instances {
			s.read(inst, len(s.log))
		}
		s.advance(time.Second)
	}
}

// TestCallsAgainstOracle guards against a call that runs twice, a not-run verdict for a call that has run
// or runs later, a recorded answer that changes, and an abandoned intent that is never closed.
func TestCallsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3)
		pick := func(t *rapid.T) *instance { return rapid.SampledFrom(s.instances).Draw(t, "instance") }
		anyAppend := func(t *rapid.T) *pendingAppend {
			if len(s.appends) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(s.appends).Draw(t, "append")
		}
		anyDispatch := func(t *rapid.T) *pendingDispatch {
			if len(s.dispatches) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(s.dispatches).Draw(t, "run")
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				if inst := pick(t); !inst.paused {
					s.newCall(inst, rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
						rapid.SampledFrom([]string{"b", "b", "b", "other"}).Draw(t, "body"))
				}
			},
			"read": func(t *rapid.T) { s.read(pick(t), rapid.IntRange(1, 4).Draw(t, "entries")) },
			"append commits": func(t *rapid.T) {
				// A second commit simulates an append that the network delivered twice.
				if a := anyAppend(t); !s.logDown {
					s.commit(a)
					if rapid.Bool().Draw(t, "answered") {
						s.report(a, Appended)
					}
				}
			},
			"planned stop":       func(t *rapid.T) { s.stop(pick(t)) },
			"append answer lost": func(t *rapid.T) { s.report(anyAppend(t), AppendUnknown) },
			"append not sent": func(t *rapid.T) {
				if a := anyAppend(t); !a.reported && !a.committed {
					s.report(a, AppendNotSent)
					// It was never sent, so it must not be committed later.
					for i := range s.appends {
						if s.appends[i] == a {
							s.appends = append(s.appends[:i:i], s.appends[i+1:]...)
							break
						}
					}
				}
			},
			"service answers": func(t *rapid.T) { s.endDispatch(anyDispatch(t), intent.Ran) },
			"service fails": func(t *rapid.T) {
				if r := anyDispatch(t); !r.done {
					if rapid.Bool().Draw(t, "ran") {
						s.execute(r)
					}
					s.endDispatch(r, intent.Unknown)
				}
			},
			"not dispatched": func(t *rapid.T) { s.endDispatch(anyDispatch(t), intent.NotRun) },
			"log toggles":    func(t *rapid.T) { s.logDown = !s.logDown },
			"kill":           func(t *rapid.T) { s.kill(pick(t)) },
			"pause":          func(t *rapid.T) { pick(t).paused = true },
			"unpause":        func(t *rapid.T) { s.resume(pick(t)) },
			"withdraw":       func(t *rapid.T) { s.withdrawn[pick(t).incarnation] = true },
			"lease toggles":  func(t *rapid.T) { inst := pick(t); inst.noLease = !inst.noLease },
			"time": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		s.heal()
		for _, a := range s.appends {
			if !a.committed {
				s.commit(a) // an append whose result was lost may be committed at any later time
			}
		}
		for _, inst := range s.instances {
			s.read(inst, len(s.log))
		}
		for _, inst := range s.instances {
			for _, c := range inst.calls {
				if c.responses != 1 || !c.Finished() {
					t.Fatalf("liveness check: %s has %d responses, finished %v", c.id, c.responses, c.Finished())
				}
			}
			for k, st := range inst.fold.Pending() {
				if st.Dispatcher == inst.incarnation {
					t.Fatalf("liveness check: the intent for %s stays open although its dispatcher is alive", k.Hash)
				}
			}
		}
	})
}
