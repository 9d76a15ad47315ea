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

// TestMain fixes the seed and the number of runs unless flags give others.
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

// fataler is what the simulation needs of testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// pendingAppend is an append on its way to the log.
type pendingAppend struct {
	in        *instance
	call      *trackedCall
	serial    int
	records   []record.Envelope
	reported  bool
	committed bool
}

// pendingDispatch is a dispatch on its way to the plain service.
type pendingDispatch struct {
	in   *instance
	call *trackedCall
	done bool
}

// trackedCall is a call with what the oracle knows of its request.
type trackedCall struct {
	*Call
	id       string
	key      intent.Key
	answers  int
	notRun   bool
	ran      int
	accepted time.Time
}

type instance struct {
	name, incarnation string
	restarts          int
	fold              *intent.Fold
	calls             []*trackedCall
	paused, noLease   bool
	// inbox holds the events that reached the instance while it was paused.
	inbox []func()
}

// sim is several instances with a fake log and a fake plain service.
type sim struct {
	t          fataler
	now        time.Time
	log        []record.Entry
	logDown    bool
	instances  []*instance
	withdrawn  map[string]bool
	appends    []*pendingAppend
	dispatches []*pendingDispatch
	// runsPerKey counts runs and answer holds the service's answer, by key hash.
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
		in := &instance{name: "i" + strconv.Itoa(i)}
		s.instances = append(s.instances, in)
		s.start(in)
	}
	return s
}

func (s *sim) start(in *instance) {
	in.restarts++
	in.incarnation = fmt.Sprintf("%s.%d", in.name, in.restarts)
	in.fold, in.calls, in.paused, in.noLease, in.inbox = intent.NewFold(simRule), nil, false, false, nil
}

func (s *sim) kill(in *instance) {
	s.withdrawn[in.incarnation] = true
	s.start(in)
}

func (s *sim) view(in *instance, c *trackedCall) View {
	st := in.fold.Lookup(c.key)
	v := View{State: st, LeaseValid: !in.noLease, DispatcherGone: s.withdrawn[st.Dispatcher],
		KeyExpired: in.fold.Expired(s.created().UnixMilli())}
	if c.Call != nil {
		v.IntentLost = in.fold.Lost(c.key, c.IntentID())
	}
	return v
}

func (s *sim) created() time.Time { return time.UnixMilli(1_800_000_000_000) }

func (s *sim) newCall(in *instance, key, body string) *trackedCall {
	s.serial++
	c := &trackedCall{id: "r" + strconv.Itoa(s.serial), accepted: s.now,
		key: intent.Key{Workspace: "w", Route: "orders", Hash: key}}
	call, acts := New(Request{Key: c.key, BodyHash: body, Created: s.created(), ID: c.id,
		Incarnation: in.incarnation, Deadline: s.now.Add(callDeadline)}, Timing{}, s.now, s.view(in, c))
	c.Call = call
	in.calls = append(in.calls, c)
	s.perform(in, c, acts)
	return c
}

func (s *sim) step(in *instance, c *trackedCall, ev Event) {
	if in.incarnation != c.req.Incarnation {
		return // the process that made the call is dead
	}
	if in.paused {
		if _, tick := ev.(Tick); !tick {
			in.inbox = append(in.inbox, func() { s.step(in, c, ev) })
		}
		return
	}
	s.perform(in, c, c.Step(s.now, ev))
}

// resume lets a paused instance handle what reached it meanwhile, in order.
func (s *sim) resume(in *instance) {
	inbox := in.inbox
	in.paused, in.inbox = false, nil
	for _, f := range inbox {
		f()
	}
}

func (s *sim) perform(in *instance, c *trackedCall, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Append:
			s.appends = append(s.appends, &pendingAppend{in: in, call: c, serial: a.Serial, records: a.Records})
		case Dispatch:
			s.dispatches = append(s.dispatches, &pendingDispatch{in: in, call: c})
		case Respond:
			c.answers++
			want := s.serviceAnswers[c.key.Hash]
			if want == nil || a.Answer.Status != want.Status || !bytes.Equal(a.Answer.Body, want.Body) ||
				fmt.Sprint(a.Answer.Header) != fmt.Sprint(want.Header) {
				s.t.Fatalf("answer check: %s got another answer than the service gave: %v", c.id, a.Answer)
			}
		case Fail:
			c.answers++
			c.notRun = a.Err.Verdict == verdict.NotRun
			if c.notRun && c.ran > 0 {
				s.t.Fatalf("not-run check: %s had run when it was refused not-run", c.id)
			}
			if a.Err.Verdict == verdict.Ran && s.runsPerKey[c.key.Hash] == 0 {
				s.t.Fatalf("ran check: %s was told that it ran, but it did not", c.id)
			}
		}
	}
	if c.answers > 1 {
		s.t.Fatalf("answer check: %s was answered twice", c.id)
	}
}

// commit makes an append take effect.
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
		s.step(a.in, a.call, AppendResult{Serial: a.serial, Status: st})
	}
}

// read lets an instance apply up to n more entries of the log.
func (s *sim) read(in *instance, n int) {
	if in.paused {
		return
	}
	for ; n > 0 && !s.logDown && int(in.fold.Next()) < len(s.log); n-- {
		in.fold.Apply(s.log[in.fold.Next()])
	}
	for _, c := range in.calls {
		s.step(in, c, ViewUpdate{s.view(in, c)})
	}
}

// execute lets the service run a dispatch.
func (s *sim) execute(r *pendingDispatch) {
	c := r.call
	if c.notRun {
		s.t.Fatalf("not-run check: %s ran after it was refused not-run", c.id)
	}
	c.ran++
	s.runsPerKey[c.key.Hash]++
	if s.runsPerKey[c.key.Hash] > 1 {
		s.t.Fatalf("at-most-once check: key %s ran twice", c.key.Hash)
	}
	s.serviceAnswers[c.key.Hash] = &intent.Answer{Status: 201, Body: []byte("answer to " + c.id),
		Header: map[string][]string{"Location": {"/" + c.id}}}
}

// endDispatch ends a dispatch as the given result; the service runs it first if it ran.
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
	s.step(r.in, r.call, ev)
}

func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, in := range s.instances {
		for _, c := range in.calls {
			if at, ok := c.WakeAt(); ok && !s.now.Before(at) {
				s.step(in, c, Tick{})
			}
			if !in.paused && c.answers == 0 && s.now.Sub(c.accepted) >= callDeadline {
				s.t.Fatalf("deadline check: %s has no answer at its deadline", c.id)
			}
		}
	}
}

// heal ends every fault and runs the instances until nothing happens.
func (s *sim) heal() {
	s.logDown = false
	for _, in := range s.instances {
		in.noLease = false
		s.resume(in)
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
		for _, in := range s.instances {
			s.read(in, len(s.log))
		}
		s.advance(time.Second)
	}
}

// TestCallsAgainstOracle guards against a call that runs twice, a refusal not-run that is or becomes
// false, a recorded answer that changes, and an abandoned intent that is never closed.
func TestCallsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3)
		pick := func(t *rapid.T) *instance { return rapid.SampledFrom(s.instances).Draw(t, "instance") }
		oneAppend := func(t *rapid.T) *pendingAppend {
			if len(s.appends) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(s.appends).Draw(t, "append")
		}
		oneRun := func(t *rapid.T) *pendingDispatch {
			if len(s.dispatches) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(s.dispatches).Draw(t, "run")
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				if in := pick(t); !in.paused {
					s.newCall(in, rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
						rapid.SampledFrom([]string{"b", "b", "b", "other"}).Draw(t, "body"))
				}
			},
			"read": func(t *rapid.T) { s.read(pick(t), rapid.IntRange(1, 4).Draw(t, "entries")) },
			"append lands": func(t *rapid.T) {
				// A second landing stands for an append that the network delivered twice.
				if a := oneAppend(t); !s.logDown {
					s.commit(a)
					if rapid.Bool().Draw(t, "answered") {
						s.report(a, Appended)
					}
				}
			},
			"append answer lost": func(t *rapid.T) { s.report(oneAppend(t), AppendUnknown) },
			"append refused": func(t *rapid.T) {
				if a := oneAppend(t); !a.reported && !a.committed {
					s.report(a, AppendNotSent)
					// It was never sent, so it can't land later.
					for i := range s.appends {
						if s.appends[i] == a {
							s.appends = append(s.appends[:i:i], s.appends[i+1:]...)
							break
						}
					}
				}
			},
			"service answers": func(t *rapid.T) { s.endDispatch(oneRun(t), intent.Ran) },
			"service fails": func(t *rapid.T) {
				if r := oneRun(t); !r.done {
					if rapid.Bool().Draw(t, "ran") {
						s.execute(r)
					}
					s.endDispatch(r, intent.Unknown)
				}
			},
			"not sent": func(t *rapid.T) { s.endDispatch(oneRun(t), intent.NotRun) },
			"log":      func(t *rapid.T) { s.logDown = !s.logDown },
			"kill":     func(t *rapid.T) { s.kill(pick(t)) },
			"pause":    func(t *rapid.T) { pick(t).paused = true },
			"wake":     func(t *rapid.T) { s.resume(pick(t)) },
			"withdraw": func(t *rapid.T) { s.withdrawn[pick(t).incarnation] = true },
			"lease":    func(t *rapid.T) { in := pick(t); in.noLease = !in.noLease },
			"time": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		s.heal()
		for _, a := range s.appends {
			if !a.committed {
				s.commit(a) // an append whose answer was lost may land at any later time
			}
		}
		for _, in := range s.instances {
			s.read(in, len(s.log))
		}
		for _, in := range s.instances {
			for _, c := range in.calls {
				if c.answers != 1 || !c.Finished() {
					t.Fatalf("liveness check: %s has %d answers, finished %v", c.id, c.answers, c.Finished())
				}
			}
			for k, st := range in.fold.Open() {
				if st.Dispatcher == in.incarnation {
					t.Fatalf("liveness check: the intent for %s stays open although its author lives", k.Hash)
				}
			}
		}
	})
}
