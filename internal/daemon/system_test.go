package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/turmericworks/turmericworks/internal/protocol/openai"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"pgregory.net/rapid"
)

const (
	// serviceDelay is how long the plain service takes.
	serviceDelay = 50 * time.Millisecond
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 40 * time.Second
	// quietTime passes between the end of all failures and the checks of liveness: the platform's
	// list catches up, dead members are withdrawn and their shares regranted.
	quietTime = 45 * time.Second
	// maxInstances bounds the instances that serve at once.
	maxInstances = 5
)

// step is one action with its parameters. Parameters are taken modulo what exists, so that every step
// is possible in every state and shrinking keeps a program valid.
type step struct {
	Do      string
	A, B, C int
	Wait    time.Duration
}

// systemActions are the actions with their weights.
var systemActions = []struct {
	name   string
	weight int
	run    func(*system, step)
}{
	{"complete", 6, func(s *system, st step) { s.completion(st, kindComplete) }},
	{"stream", 6, func(s *system, st step) { s.completion(st, kindStream) }},
	{"burst", 2, (*system).burst},
	{"leak", 1, (*system).leak},
	{"lot", 5, (*system).lot},
	{"resend", 5, (*system).resend},
	{"status", 2, (*system).statusCall},
	{"kill", 2, (*system).killOne},
	{"start", 1, func(s *system, _ step) { s.startOne() }},
	{"drain", 2, (*system).drainOne},
	{"logDown", 2, (*system).logDown},
	{"loseAnswers", 1, func(s *system, st step) { s.stack.Log.LoseResponses(1 + st.A%3) }},
	{"pause", 2, (*system).pause},
	{"cutLog", 1, (*system).cutFromLog},
	{"cutPeers", 1, (*system).cutFromPeers},
	{"cutBoth", 1, (*system).cutFromBoth},
	{"silence", 1, (*system).silence},
	{"crash", 1, (*system).crash},
	{"failLoads", 1, func(s *system, st step) { s.stack.Store.FailNext(1 + st.A%3) }},
	{"leaveStatus", 1, (*system).leaveByStatus},
	{"leaveConfig", 1, (*system).leaveByConfig},
	{"version", 1, (*system).newVersion},
	{"key", 1, (*system).newKey},
	{"withdraw", 2, (*system).withdrawKey},
	{"rate", 1, (*system).changeRate},
	{"race", 1, (*system).raceOperators},
}

func stepGenerator() *rapid.Generator[step] {
	var names []string
	for _, a := range systemActions {
		for range a.weight {
			names = append(names, a.name)
		}
	}
	waits := []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second}
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Do: rapid.SampledFrom(names).Draw(t, "do"), A: rapid.IntRange(0, 7).Draw(t, "a"), B: rapid.IntRange(0, 7).Draw(t, "b"),
			C: rapid.IntRange(0, 7).Draw(t, "c"), Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
		}
	})
}

// program is one case.
type program struct {
	Instances int
	ListLag   time.Duration
	Steps     []step
}

// coverage counts what the cases tried.
type coverage struct {
	cases, steps int
	states       map[string]int
}

// Guards against any sequence of requests, operators' changes and failures that breaks one of the twelve
// invariants or leaves the fleet unable to serve. docs/testing.md says how to run it at length.
func TestSystem(t *testing.T) {
	defaultFlag(t, "rapid.checks", "4")
	defaultFlag(t, "rapid.seed", "1")
	defaultFlag(t, "rapid.shrinktime", "30s")
	seen := coverage{states: map[string]int{}}
	rapid.Check(t, func(rt *rapid.T) {
		p := program{
			Instances: rapid.IntRange(3, 5).Draw(rt, "instances"),
			ListLag:   rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 15 * time.Second}).Draw(rt, "listLag"),
			Steps:     rapid.SliceOfN(stepGenerator(), 8, 30).Draw(rt, "steps"),
		}
		seen.cases++
		if failure := runProgram(t, p, &seen); failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
	t.Logf("%d cases, %d steps, %d distinct states", seen.cases, seen.steps, len(seen.states))
}

// defaultFlag sets a flag of rapid that the command line does not set.
func defaultFlag(t *testing.T, name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// runProgram runs a case in a bubble of its own and returns the first violations with the history that
// led to them.
func runProgram(t *testing.T, p program, seen *coverage) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		defer func() {
			// A panic must not leave the bubble's goroutine: it would end the process before the
			// case could be shrunk.
			if r := recover(); r != nil {
				failure = fmt.Sprintf("panic: %v\n%s", r, debug.Stack())
			}
		}()
		s := newSystem(t, p)
		defer func() {
			s.close()
			// Time stands still once this function has returned: what waits for a timeout must have
			// ended by then.
			time.Sleep(callerPatience)
		}()
		failure = s.run(p, seen)
		s.stop()
		s.requests.Wait()
	})
	return failure
}

// system is a fleet under test.
type system struct {
	*testFleet
	o   *oracle
	ctx context.Context
	// failing ends when all failures are to end.
	failing     context.Context
	endFailures context.CancelFunc
	stop        context.CancelFunc
	live        []*testInstance
	leavers     []*testInstance
	started     int
	requests    sync.WaitGroup
	keys        []apiKey
	lots        []*sent
	published   int
	serial      int
	mu          sync.Mutex
	rules       map[int]func(from, to string) bool
	outages     int
	history     []string
}

func newSystem(t *testing.T, p program) *system {
	o := newOracle()
	quiet := zerolog.Nop()
	s := &system{o: o, rules: map[int]func(string, string) bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.failing, s.endFailures = context.WithCancel(s.ctx)
	s.testFleet = prepareFleet(t, p.Instances, func(so *stack.Options) {
		so.ListLag, so.ServiceDelay = p.ListLag, serviceDelay
		so.Engine.Slots, so.Engine.MaxBatch = 1, 4
		so.WrapBackend, so.OnEngineStart = o.watch, o.started
	})
	s.log = &quiet
	o.stack = s.stack
	// A small rate makes transfers and refusals common.
	s.doc.Workspaces["notes"] = config.Workspace{TokensPerSecond: 10, BurstTokens: 90}
	s.keys = []apiKey{{secret: s.secret, workspace: "racks"}}
	for id := range s.doc.Keys {
		s.keys[0].id = id
	}
	k := s.makeKey("notes")
	s.doc.Keys[k.id] = config.Key{Workspace: "notes", Hash: keys.Hash(k.secret)}
	o.secrets = append(o.secrets, s.secret)
	s.publishDocument()
	for range p.Instances {
		s.addInstance()
	}
	time.Sleep(testSettleTime)
	return s
}

func (s *system) makeKey(workspace string) apiKey {
	k, err := keys.Generate()
	if err != nil {
		panic(err)
	}
	key := apiKey{id: k.ID, secret: k.Secret, workspace: workspace}
	s.keys = append(s.keys, key)
	s.o.mu.Lock()
	s.o.secrets = append(s.o.secrets, k.Secret)
	s.o.mu.Unlock()
	return key
}

// addInstance starts an instance under a name that is not used again.
func (s *system) addInstance() {
	s.live = append(s.live, s.start(instanceName(s.started)))
	s.started++
}

// run performs the steps and returns the first violations.
func (s *system) run(p program, seen *coverage) string {
	for n, st := range p.Steps {
		s.note("step %d: %+v", n, st)
		for _, a := range systemActions {
			if a.name == st.Do {
				a.run(s, st)
			}
		}
		time.Sleep(st.Wait)
		synctest.Wait()
		seen.steps++
		seen.states[s.state()]++
		if v := s.o.violations(s); len(v) > 0 {
			return s.report(v)
		}
	}
	s.heal()
	if v := append(s.o.violations(s), s.liveness()...); len(v) > 0 {
		return s.report(v)
	}
	return ""
}

// report joins the violations and the history.
func (s *system) report(violations []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(violations, "\n") + "\nhistory:\n" + strings.Join(s.history, "\n")
}

func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, fmt.Sprintf("%10s ", s.o.clock(time.Now()))+fmt.Sprintf(format, args...))
}

// state abstracts the fleet's state for the count of distinct states.
func (s *system) state() string {
	valid, held := 0, 0
	for _, i := range s.live {
		d := i.current.Load()
		if d.control.valid() {
			valid++
		}
		d.control.mu.Lock()
		if d.control.shares.Parts("notes") > 0 {
			held++
		}
		d.control.mu.Unlock()
	}
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := map[callKind]int{}
	for _, q := range s.o.sent {
		if !q.done && inFlight[q.kind] < 3 {
			inFlight[q.kind]++
		}
	}
	withdrawn := 0
	for _, k := range s.keys {
		if _, ok := s.o.withdrawnAt(k.id); ok && withdrawn < 2 {
			withdrawn++
		}
	}
	return fmt.Sprint(len(s.live), len(s.leavers), valid, held, len(s.rules), s.outages, inFlight, withdrawn, min(len(s.o.configs), 5))
}

// serving returns the instances that run, also those that drain.
func (s *system) serving() []*testInstance {
	return append(slices.Clone(s.live), s.leavers...)
}

// Requests.

// pickKey returns a key: often a valid one of either workspace, else none, a wrong one, or any ever made.
func (s *system) pickKey(n int) apiKey {
	wrong := "tw_0123456789abcdef_" + strings.Repeat("0", 48)
	switch n {
	case 0, 1, 2:
		return s.keys[0]
	case 3, 4:
		return s.keys[1]
	case 5:
		return apiKey{}
	case 6:
		return apiKey{id: "wrong", secret: wrong}
	default:
		return s.keys[len(s.keys)-1]
	}
}

var systemModels = []string{"summary", "summary@1", "foreign", "public", "missing", "summary@9", "summary@2", "foreign@1"}

func (s *system) target(n int) *testInstance {
	all := s.serving()
	return all[n%len(all)]
}

// answerTokens are the lengths of answers. The longest runs for 8 s.
var answerTokens = []int{2, 3, 5, 9, 20, 25, 150, 400}

// completion sends a completion of A's model with B's key through instance C.
func (s *system) completion(st step, kind callKind) {
	s.complete(kind, systemModels[st.A], s.pickKey(st.B), s.target(st.C), answerTokens[(st.A+st.C)%len(answerTokens)], "")
}

func (s *system) complete(kind callKind, model string, key apiKey, i *testInstance, tokens int, extra string) *sent {
	q := &sent{kind: kind, model: model, key: key, instance: i, maxTokens: tokens}
	s.register(q)
	q.body = fmt.Sprintf(`{"model":%q,"prompt":"%s %s","max_tokens":%d,"stream":%v}`, model, q.id, extra, tokens, kind == kindStream)
	parsed, err := openai.Parse([]byte(q.body))
	if err != nil {
		panic(err)
	}
	q.reserved = parsed.ReservedTokens()
	s.send(q, "/v1/completions")
	return q
}

// burst sends several requests at once: of one small workspace, or, with an odd A, of more adapters
// than there are slots, through instances in turn.
func (s *system) burst(st step) {
	for n := range 3 + st.A {
		if st.A%2 == 1 {
			model := []string{"summary@1", "public", "summary@2", "foreign"}[n%4]
			s.complete(kindStream, model, s.keys[n%2], s.target(st.C+n), answerTokens[(st.B+n)%len(answerTokens)], "")
			continue
		}
		s.complete(kindComplete, "foreign", s.keys[1], s.target(st.C+n*(st.B%2)), 20, "")
	}
}

// leak sends a completion whose body holds the caller's key.
func (s *system) leak(st step) {
	key := s.pickKey(st.B % 5)
	s.complete(kindComplete, "summary", key, s.target(st.C), 2, key.secret)
}

// lot sends a call that may not be repeated.
func (s *system) lot(st step) {
	q := &sent{kind: kindLot, key: s.pickKey(st.B), instance: s.target(st.C), idem: uuid.NewString(), created: time.Now()}
	q.body = "lot|" + q.idem + "|1"
	s.register(q)
	s.lots = append(s.lots, q)
	s.send(q, "/services/lots/log")
}

// resend sends an earlier lot again, now and then with another body.
func (s *system) resend(st step) {
	if len(s.lots) == 0 {
		s.lot(st)
		return
	}
	old := s.lots[max(0, len(s.lots)-1-st.A%3)]
	q := &sent{kind: kindLot, key: old.key, instance: s.target(st.C), idem: old.idem, created: old.created, body: old.body}
	if st.B == 7 {
		q.body += "other"
	}
	s.register(q)
	s.send(q, "/services/lots/log")
}

// statusCall sends a call that may be repeated.
func (s *system) statusCall(st step) {
	q := &sent{kind: kindStatus, key: s.pickKey(st.B), instance: s.target(st.C)}
	s.register(q)
	q.body = "status|" + q.id
	s.send(q, "/services/status/lot")
}

func (s *system) register(q *sent) {
	s.serial++
	q.id, q.asked = fmt.Sprintf("q%dq", s.serial), time.Now()
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	s.o.sent[q.id] = q
}

// send sends a request in the background.
func (s *system) send(q *sent, path string) {
	s.requests.Go(func() {
		result := *q
		s.exchange(&result, path)
		result.done, result.ended = true, time.Now()
		s.note("%s", &result)
		s.o.mu.Lock()
		defer s.o.mu.Unlock()
		*q = result
	})
}

// exchange sends a request on a connection of its own and reads its answer.
func (s *system) exchange(q *sent, path string) {
	ctx, cancel := context.WithTimeout(s.ctx, callerPatience)
	defer cancel()
	transport := network.HTTPTransport(s.net.Host("caller"))
	transport.DisableKeepAlives = true
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.instance.address+path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Traceparent", traceOf(q.id))
	if q.key.secret != "" {
		req.Header.Set("Authorization", "Bearer "+q.key.secret)
	}
	if q.idem != "" {
		// A UUIDv7 would be in the future here: its package never goes back behind the time of an
		// earlier bubble.
		req.Header.Set("Idempotency-Key", q.idem)
		req.Header.Set("Idempotency-Key-Created", q.created.Format(time.RFC3339Nano))
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		q.err, q.dialRefused = err, errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	q.status, q.verdict, q.adapter = resp.StatusCode, resp.Header.Get("Turmeric-Verdict"), resp.Header.Get("Turmeric-Adapter")
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		q.readEvents(resp.Body)
		return
	}
	data, err := io.ReadAll(resp.Body)
	q.err, q.lastByte = err, time.Now()
	q.readWhole(data)
}

// wireAnswer is what the oracle reads of an answer or event.
type wireAnswer struct {
	Model   string
	Choices []struct{ Text string }
	Usage   *struct {
		TotalTokens int `json:"total_tokens"`
	}
	Error *struct{ Code, Verdict string }
}

func (q *sent) take(a wireAnswer) {
	for _, c := range a.Choices {
		q.text += c.Text
	}
	if a.Usage != nil {
		q.tokens = a.Usage.TotalTokens
	}
	if a.Model != "" {
		q.models = append(q.models, a.Model)
	}
	if a.Error != nil {
		q.code, q.verdict = a.Error.Code, a.Error.Verdict
	}
}

func (q *sent) readWhole(data []byte) {
	var a wireAnswer
	if q.kind != kindComplete && q.kind != kindStream && q.status/100 == 2 {
		q.text, q.complete = string(data), q.err == nil
		return
	}
	if q.err == nil {
		q.err = json.Unmarshal(data, &a)
	}
	q.take(a)
	q.complete = q.err == nil && a.Error == nil
}

func (q *sent) readEvents(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			q.complete = true
			continue
		}
		var a wireAnswer
		if q.err = json.Unmarshal([]byte(data), &a); q.err != nil {
			return
		}
		q.take(a)
		if a.Error == nil {
			q.lastByte = time.Now()
		}
	}
	q.err = lines.Err()
}

// Failures.

// fault notes a disturbance that lasts for a time.
func (s *system) fault(d time.Duration) {
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	s.o.faults = append(s.o.faults, interval{from: time.Now(), to: time.Now().Add(d + aftermath)})
}

// aftermath is how long requests may still fail because of a failure that has ended.
const aftermath = 10 * time.Second

// excuse notes that connections of callers to an instance may break from now on, for a time or, with
// zero, for good.
func (s *system) excuse(i *testInstance, d time.Duration) {
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	span := interval{from: time.Now()}
	if d > 0 {
		span.to = time.Now().Add(d + aftermath)
	}
	s.o.cuts[i.name] = append(s.o.cuts[i.name], span)
}

// killOne kills an instance; the platform replaces it at once, unless A is odd and others are left.
func (s *system) killOne(st step) {
	n := st.C % len(s.live)
	i := s.live[n]
	s.live = slices.Delete(s.live, n, n+1)
	s.excuse(i, 0)
	s.fault(0)
	s.net.Kill(i.name)
	i.stop()
	<-i.done
	if st.A%2 == 0 || len(s.live) < 2 {
		s.startOne()
	}
	s.updateList()
}

func (s *system) startOne() {
	if len(s.live) < maxInstances {
		s.addInstance()
		s.updateList()
	}
}

// drainOne stops an instance as planned and starts its replacement.
func (s *system) drainOne(st step) {
	n := st.C % len(s.live)
	i := s.live[n]
	s.live = slices.Delete(s.live, n, n+1)
	s.leavers = append(s.leavers, i)
	s.o.mu.Lock()
	s.o.draining[i.name] = time.Now()
	s.o.mu.Unlock()
	s.startOne()
	s.updateList()
	close(i.drain)
	s.requests.Go(func() {
		<-i.done
		s.net.Kill(i.name)
		s.note("%s has drained", i.name)
	})
}

// updateList writes the platform's list.
func (s *system) updateList() {
	s.leavers = slices.DeleteFunc(s.leavers, func(i *testInstance) bool {
		select {
		case <-i.done:
			return true
		default:
			return false
		}
	})
	var list []platform.Instance
	for _, i := range s.serving() {
		state := platform.Live
		if slices.Contains(s.leavers, i) {
			state = platform.Leaving
		}
		list = append(list, platform.Instance{ID: i.name, DataCentre: "dc1", PeerAddr: i.name + ":2", State: state})
	}
	s.stack.List.Set(list)
}

// durations of failures: shorter and longer than the lease, and than the silence before a withdrawal.
var durations = []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, 20 * time.Second}

// cut applies a rule to the network for a time.
func (s *system) cut(d time.Duration, rule func(from, to string) bool) {
	s.fault(d)
	s.mu.Lock()
	s.serial++
	id := s.serial
	s.rules[id] = rule
	s.applyRules()
	s.mu.Unlock()
	s.after(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.rules, id)
		s.applyRules()
	})
}

// after runs f after a time, or when the case ends.
func (s *system) after(d time.Duration, f func()) {
	s.requests.Go(func() {
		pauseFor(s.failing, d)
		f()
	})
}

// applyRules puts the rules in force. The caller holds the lock.
func (s *system) applyRules() {
	var rules []func(from, to string) bool
	for _, r := range s.rules {
		rules = append(rules, r)
	}
	s.net.Partition(func(from, to string) bool {
		return slices.ContainsFunc(rules, func(r func(from, to string) bool) bool { return r(from, to) })
	})
}

// pause cuts an instance off from everything for a time. A bubble has one clock, so a pause of the
// process, whose timers would be late, is modelled by its frozen network only.
func (s *system) pause(st step) {
	i, d := s.live[st.C%len(s.live)], durations[st.A%len(durations)]
	s.excuse(i, d)
	s.cut(d, func(from, to string) bool { return from == i.name || strings.HasPrefix(to, i.name+":") })
}

func (s *system) cutFromLog(st step) {
	i := s.live[st.C%len(s.live)]
	s.excuse(i, durations[st.A%len(durations)])
	s.cut(durations[st.A%len(durations)], func(from, to string) bool { return from == i.name && to == "log:1" })
}

func (s *system) cutFromPeers(st step) {
	i := s.live[st.C%len(s.live)]
	s.excuse(i, durations[st.A%len(durations)])
	s.cut(durations[st.A%len(durations)], func(from, to string) bool {
		return strings.HasSuffix(to, ":2") && (from == i.name || to == i.name+":2")
	})
}

func (s *system) cutFromBoth(st step) {
	s.cutFromLog(st)
	s.cutFromPeers(st)
}

// silence makes open connections go silent: all of an instance's, or all to one backend server.
func (s *system) silence(st step) {
	i := s.live[st.C%len(s.live)]
	s.fault(callerPatience)
	if st.A%2 == 0 {
		s.excuse(i, callerPatience)
		s.net.Silence(func(from, to string) bool { return from == i.name || strings.HasPrefix(to, i.name+":") })
		return
	}
	to := []string{"engine1:1", "engine2:1", "service:1", "log:1"}[st.B%4]
	s.net.Silence(func(_, address string) bool { return address == to })
}

// logDown makes the log refuse every call for a time. Outages may overlap.
func (s *system) logDown(st step) {
	d := durations[st.A%len(durations)]
	s.fault(d)
	change := func(by int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outages += by
		s.stack.Log.SetDown(s.outages > 0)
	}
	change(1)
	s.after(d, func() { change(-1) })
}

// crash crashes an engine, often while a long answer is streamed.
func (s *system) crash(st step) {
	if st.B%2 == 0 {
		s.complete(kindStream, "summary", s.keys[0], s.target(st.C), 400, "")
		time.Sleep(2 * time.Second)
	}
	s.fault(0)
	s.stack.Engines[st.A%len(s.stack.Engines)].Crash()
}

// leaveByStatus makes an engine report that it is leaving. Another run of it, which is not leaving,
// follows after a time.
func (s *system) leaveByStatus(st step) {
	n := st.A % len(s.stack.Engines)
	address := fmt.Sprintf("engine%d:1", n+1)
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	spans := s.o.leaving[address]
	if len(spans) > 0 && (spans[len(spans)-1].to.IsZero() || spans[len(spans)-1].to.After(time.Now())) {
		return
	}
	s.stack.Engines[n].SetLeaving(true)
	index := len(spans)
	s.o.leaving[address] = append(spans, interval{from: time.Now()})
	s.after(20*time.Second, func() {
		s.o.mu.Lock()
		defer s.o.mu.Unlock()
		s.o.faults = append(s.o.faults, interval{from: time.Now(), to: time.Now().Add(aftermath)})
		s.stack.Engines[n].SetLeaving(false)
		s.stack.Engines[n].Crash()
		s.o.leaving[address][index].to = time.Now()
	})
}

// Operators.

// change publishes a change of the configuration that an instance has in force.
func (s *system) change(i *testInstance, edit func(*config.Document)) {
	s.requests.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
		defer cancel()
		version, err := s.publishEdit(ctx, i, edit)
		s.note("change through %s: version %d, %v", i.name, version, err)
	})
}

// publishEdit publishes an edit and returns the version, or zero if it was refused.
func (s *system) publishEdit(ctx context.Context, i *testInstance, edit func(*config.Document)) (config.Version, error) {
	d := &adminDaemon{i.current.Load()}
	view := d.replica.view()
	old, doc := view.Document(), view.Document()
	edit(&doc)
	ops, err := config.Diff(old, doc)
	if err != nil || len(ops) == 0 {
		return view.Version(), err
	}
	answer, err := d.Publish(ctx, uuid.NewString(), config.Change{Base: view.Version(), Operations: ops, Author: "operator"})
	if err != nil || !answer.Accepted {
		return 0, err
	}
	return answer.Version, nil
}

func (s *system) newVersion(st step) {
	s.published++
	version := fmt.Sprintf("n%d", s.published)
	s.change(s.target(st.C), func(d *config.Document) {
		a := d.Adapters["summary"]
		a.Versions, a.Default = append(slices.Clone(a.Versions), version), version
		d.Adapters["summary"] = a
	})
}

func (s *system) newKey(st step) {
	k := s.makeKey("racks")
	s.change(s.target(st.C), func(d *config.Document) {
		d.Keys[k.id] = config.Key{Workspace: k.workspace, Hash: keys.Hash(k.secret)}
	})
}

// withdrawKey withdraws the newest key, often while it is in use. The first key of "racks" stays for
// the checks of liveness.
func (s *system) withdrawKey(st step) {
	k := s.keys[len(s.keys)-1]
	if st.B%2 == 0 {
		s.complete(kindStream, "summary", k, s.target(st.A), 400, "")
	}
	s.change(s.target(st.C), func(d *config.Document) { delete(d.Keys, k.id) })
}

func (s *system) changeRate(st step) {
	s.change(s.target(st.C), func(d *config.Document) {
		d.Workspaces["notes"] = config.Workspace{TokensPerSecond: float64(5 + 5*st.A), BurstTokens: float64(60 + 10*st.B)}
	})
}

func (s *system) leaveByConfig(st step) {
	s.change(s.target(st.C), func(d *config.Document) {
		id := fmt.Sprintf("engine-%d", 1+st.A%2)
		b := d.BackendServers[id]
		b.Leaving = !b.Leaving
		d.BackendServers[id] = b
	})
}

// raceOperators publishes two changes of the same base through two instances.
func (s *system) raceOperators(st step) {
	s.newVersion(st)
	s.changeRate(step{A: st.A, B: st.B, C: st.C + 1})
}

// Healing and liveness.

// heal ends all failures, takes the engines back into use and waits.
func (s *system) heal() {
	s.note("healing")
	s.endFailures()
	s.stack.Log.LoseResponses(0)
	s.stack.Store.FailNext(0)
	time.Sleep(quietTime)
	s.updateList()
	for range 5 {
		ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
		version, err := s.publishEdit(ctx, s.live[0], func(d *config.Document) {
			for id, b := range d.BackendServers {
				b.Leaving = false
				d.BackendServers[id] = b
			}
		})
		cancel()
		if err == nil && version > 0 {
			break
		}
		s.note("publishing the healing change: version %d, %v", version, err)
	}
	time.Sleep(configBound + time.Second)
	s.requests.Wait()
}

// liveness checks that the healed fleet serves, holds every share and agrees on the configuration.
func (s *system) liveness() (out []string) {
	s.o.mu.Lock()
	newest := s.o.configs[len(s.o.configs)-1].version
	s.o.mu.Unlock()
	for _, w := range []string{"racks", "notes"} {
		if sum := s.sharesOf(w); sum != ledger.TotalParts {
			out = append(out, fmt.Sprintf("liveness of I6: the shares of %s sum to %d", w, sum))
		}
	}
	for _, i := range s.live {
		d := i.current.Load()
		if v := d.replica.view().Version(); v != newest {
			out = append(out, fmt.Sprintf("liveness of I12: %s has version %d in force, the newest is %d", i.name, v, newest))
		}
		if err := d.ready(); err != nil {
			out = append(out, fmt.Sprintf("liveness: %s is not ready: %v", i.name, err))
		}
		var q *sent
		for range 3 {
			// A refusal that says not-run is sent again, as callers are told to.
			if q = s.complete(kindComplete, "summary", s.keys[0], i, 2, ""); !s.refusedNotRun(q) {
				break
			}
			time.Sleep(time.Second)
		}
		lot := &sent{kind: kindLot, key: s.keys[0], instance: i, idem: uuid.NewString(), created: time.Now()}
		lot.body = "lot|" + lot.idem + "|1"
		s.register(lot)
		s.send(lot, "/services/lots/log")
		s.requests.Wait()
		for _, q := range []*sent{q, lot} {
			if !q.succeeded() {
				out = append(out, fmt.Sprintf("liveness: the request fails: %s", q))
			}
		}
	}
	return out
}

// refusedNotRun waits for a request and reports whether it was refused with the verdict not-run.
func (s *system) refusedNotRun(q *sent) bool {
	s.requests.Wait()
	return q.verdict == "not-run"
}

// sharesOf sums a workspace's parts over the live instances at one instant. Parts in flight between two
// of them are in neither, so it looks again a few times.
func (s *system) sharesOf(workspace string) (sum int64) {
	for range 10 {
		sum = 0
		for _, i := range s.live {
			c := i.current.Load().control
			c.mu.Lock()
			sum += c.shares.Parts(workspace)
			c.mu.Unlock()
		}
		if sum == ledger.TotalParts {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return sum
}
