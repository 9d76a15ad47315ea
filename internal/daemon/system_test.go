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
	// serviceDelay is how long the plain service takes for a call.
	serviceDelay = 50 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 40 * time.Second
	// recoveryTime is the time between the end of all failures and the liveness checks. During it, the
	// platform's instance list becomes current, dead members are withdrawn and their shares regranted.
	recoveryTime = 45 * time.Second
	// maxInstances is the maximum number of live instances. Draining ones do not count.
	maxInstances = 5
)

// step is one action with its parameters. Most parameters select an item modulo the number of items, so that every
// step is possible in every state and a program stays valid when it is shrunk.
type step struct {
	Do      string
	A, B, C int
	Wait    time.Duration
}

// systemActions are the actions with their weights. A test program draws its steps from them by name.
var systemActions = []struct {
	name   string
	weight int
	run    func(*system, step)
}{
	{"complete", 6, func(s *system, st step) { s.completion(st, kindComplete) }},
	{"stream", 6, func(s *system, st step) { s.completion(st, kindStream) }},
	{"burst", 2, (*system).burst},
	{"leak", 1, (*system).completionWithKey},
	{"lot", 5, (*system).lot},
	{"resend", 5, (*system).resend},
	{"status", 2, (*system).statusCall},
	{"kill", 2, (*system).killInstance},
	{"start", 1, func(s *system, _ step) { s.startInstance() }},
	{"drain", 2, (*system).drainInstance},
	{"logDown", 2, (*system).logDown},
	{"loseAnswers", 1, func(s *system, st step) { s.stack.Log.LoseResponses(1 + st.A%3) }},
	{"pause", 2, (*system).isolate},
	{"cutLog", 1, (*system).partitionFromLog},
	{"cutPeers", 1, (*system).partitionFromPeers},
	{"cutBoth", 1, (*system).partitionFromLogAndPeers},
	{"silence", 1, (*system).silence},
	{"crash", 1, (*system).crash},
	{"failLoads", 1, func(s *system, st step) { s.stack.Store.FailNext(1 + st.A%3) }},
	{"leaveStatus", 1, (*system).leaveByStatus},
	{"leaveConfig", 1, (*system).leaveByConfig},
	{"version", 1, (*system).newVersion},
	{"key", 1, (*system).newKey},
	{"withdraw", 2, (*system).withdrawKey},
	{"rate", 1, (*system).changeRate},
	{"race", 1, (*system).conflictingChanges},
}

// stepGenerator generates steps, with each action in proportion to its weight.
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

// program is one generated test case.
type program struct {
	Instances int
	ListLag   time.Duration
	Steps     []step
}

// coverage counts the cases, their steps and the distinct states that they reached.
type coverage struct {
	cases, steps int
	states       map[string]int
}

// TestSystem guards against any sequence of requests, configuration changes and failures that breaks one of the
// twelve invariants or leaves the fleet unable to serve. -rapid.checks sets the number of cases and -rapid.seed the seed
// from which they are generated.
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

// defaultFlag sets a flag of rapid for this test unless the command line sets it.
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

// runProgram runs a case in its own synctest bubble. It returns the first violations and the history that led to
// them, or an empty string.
func runProgram(t *testing.T, p program, seen *coverage) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		defer func() {
			// An unrecovered panic would end the process before rapid could shrink the case.
			if r := recover(); r != nil {
				failure = fmt.Sprintf("panic: %v\n%s", r, debug.Stack())
			}
		}()
		s := newSystem(t, p)
		defer func() {
			s.close()
			// The virtual time stops when this function returns, so goroutines that wait for a timeout
			// must have ended by then.
			time.Sleep(callerTimeout)
		}()
		failure = s.run(p, seen)
		s.stop()
		s.requests.Wait()
	})
	return failure
}

// system is a fleet under test with the state of the running case.
type system struct {
	*testFleet
	o   *oracle
	ctx context.Context
	// failureCtx is cancelled when all failures must end.
	failureCtx        context.Context
	endFailures       context.CancelFunc
	stop              context.CancelFunc
	live              []*testInstance
	drainingInstances []*testInstance
	started           int
	requests          sync.WaitGroup
	keys              []apiKey
	lots              []*sentRequest
	// versionCount numbers the adapter versions that newVersion publishes.
	versionCount int
	// serial is the last number that was given to a request or a rule.
	serial int
	mu     sync.Mutex
	rules  map[int]func(from, to string) bool
	// outages is the number of current outages of the log.
	outages int
	history []string
}

// newSystem starts a fleet for a case and waits until the configuration is in force.
func newSystem(t *testing.T, p program) *system {
	o := newOracle()
	noLog := zerolog.Nop()
	s := &system{o: o, rules: map[int]func(string, string) bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.failureCtx, s.endFailures = context.WithCancel(s.ctx)
	s.testFleet = prepareFleet(t, p.Instances, func(so *stack.Options) {
		so.ListLag, so.ServiceDelay = p.ListLag, serviceDelay
		so.Engine.Slots, so.Engine.MaxBatch = 1, 4
		so.WrapBackend, so.OnEngineStart = o.recordKeyLeaks, o.engineStarted
	})
	s.log = &noLog
	o.stack = s.stack
	// A low rate makes transfers and refusals frequent.
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

// makeKey generates a key of a workspace, which is not published yet.
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

// addInstance starts an instance under a new name.
func (s *system) addInstance() {
	s.live = append(s.live, s.start(instanceName(s.started)))
	s.started++
}

// run executes the steps and then the liveness checks. It returns the first violations and the history, or an empty
// string.
func (s *system) run(p program, seen *coverage) string {
	for n, st := range p.Steps {
		s.addHistory("step %d: %+v", n, st)
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

// report returns the violations and the history as one text.
func (s *system) report(violations []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(violations, "\n") + "\nhistory:\n" + strings.Join(s.history, "\n")
}

// addHistory adds a line with the current time to the history of the case.
func (s *system) addHistory(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, fmt.Sprintf("%10s ", s.o.sinceStart(time.Now()))+fmt.Sprintf(format, args...))
}

// state returns an abstraction of the fleet's state, by which distinct states are counted.
func (s *system) state() string {
	validLeases, withShares := 0, 0
	for _, i := range s.live {
		d := i.current.Load()
		if d.control.valid() {
			validLeases++
		}
		d.control.mu.Lock()
		if d.control.shares.Parts("notes") > 0 {
			withShares++
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
	return fmt.Sprint(len(s.live), len(s.drainingInstances), validLeases, withShares, len(s.rules), s.outages, inFlight, withdrawn, min(len(s.o.configs), 5))
}

// serving returns the running instances, including the draining ones.
func (s *system) serving() []*testInstance {
	return append(slices.Clone(s.live), s.drainingInstances...)
}

// Requests.

// pickKey returns the first key of either workspace for n up to 4, and otherwise no key, an unknown key or the newest
// key.
func (s *system) pickKey(n int) apiKey {
	unknown := "tw_0123456789abcdef_" + strings.Repeat("0", 48)
	switch n {
	case 0, 1, 2:
		return s.keys[0]
	case 3, 4:
		return s.keys[1]
	case 5:
		return apiKey{}
	case 6:
		return apiKey{id: "wrong", secret: unknown}
	default:
		return s.keys[len(s.keys)-1]
	}
}

// requestedModels are the models of completions. Some do not exist.
var requestedModels = []string{"summary", "summary@1", "foreign", "public", "missing", "summary@9", "summary@2", "foreign@1"}

// target selects a running instance.
func (s *system) target(n int) *testInstance {
	all := s.serving()
	return all[n%len(all)]
}

// answerTokens are the lengths of answers in tokens. The longest takes 8 s.
var answerTokens = []int{2, 3, 5, 9, 20, 25, 150, 400}

// completion sends a completion. A selects the model, B the key and C the instance.
func (s *system) completion(st step, kind callKind) {
	s.complete(kind, requestedModels[st.A], s.pickKey(st.B), s.target(st.C), answerTokens[(st.A+st.C)%len(answerTokens)], "")
}

// complete sends a completion whose prompt holds its id and the extra text.
func (s *system) complete(kind callKind, model string, key apiKey, i *testInstance, tokens int, extra string) *sentRequest {
	q := &sentRequest{kind: kind, model: model, key: key, instance: i, maxTokens: tokens}
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

// burst sends several requests at once: for the workspace with the low rate or, if A is odd, for more adapters than
// there are slots, to the instances in turn.
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

// completionWithKey sends a completion whose body contains the caller's key.
func (s *system) completionWithKey(st step) {
	key := s.pickKey(st.B % 5)
	s.complete(kindComplete, "summary", key, s.target(st.C), 2, key.secret)
}

// lot sends a non-idempotent call with a new idempotency key.
func (s *system) lot(st step) {
	q := &sentRequest{kind: kindLot, key: s.pickKey(st.B), instance: s.target(st.C), idempotencyKey: uuid.NewString(), created: time.Now()}
	q.body = "lot|" + q.idempotencyKey + "|1"
	s.register(q)
	s.lots = append(s.lots, q)
	s.send(q, "/services/lots/log")
}

// resend sends one of the last three lots again, sometimes with a different body.
func (s *system) resend(st step) {
	if len(s.lots) == 0 {
		s.lot(st)
		return
	}
	old := s.lots[max(0, len(s.lots)-1-st.A%3)]
	q := &sentRequest{kind: kindLot, key: old.key, instance: s.target(st.C), idempotencyKey: old.idempotencyKey, created: old.created, body: old.body}
	if st.B == 7 {
		q.body += "other"
	}
	s.register(q)
	s.send(q, "/services/lots/log")
}

// statusCall sends an idempotent call.
func (s *system) statusCall(st step) {
	q := &sentRequest{kind: kindStatus, key: s.pickKey(st.B), instance: s.target(st.C)}
	s.register(q)
	q.body = "status|" + q.id
	s.send(q, "/services/status/lot")
}

// register assigns an id to a request and adds it to the oracle.
func (s *system) register(q *sentRequest) {
	s.serial++
	q.id, q.sentAt = fmt.Sprintf("q%dq", s.serial), time.Now()
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	s.o.sent[q.id] = q
}

// send sends a registered request in the background and passes the result to the oracle.
func (s *system) send(q *sentRequest, path string) {
	s.requests.Go(func() {
		result := *q
		s.sendAndRead(&result, path)
		result.done, result.ended = true, time.Now()
		s.addHistory("%s", &result)
		s.o.mu.Lock()
		defer s.o.mu.Unlock()
		*q = result
	})
}

// sendAndRead sends a request on a connection of its own and reads the response.
func (s *system) sendAndRead(q *sentRequest, path string) {
	ctx, cancel := context.WithTimeout(s.ctx, callerTimeout)
	defer cancel()
	transport := network.HTTPTransport(s.net.Host("caller"))
	transport.DisableKeepAlives = true
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.instance.address+path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Traceparent", traceParentOf(q.id))
	if q.key.secret != "" {
		req.Header.Set("Authorization", "Bearer "+q.key.secret)
	}
	if q.idempotencyKey != "" {
		// The UUIDs are of version 4 and the time is sent in a header: uuid.NewV7 never returns a time before
		// that of an earlier bubble, so its keys would lie in the future.
		req.Header.Set("Idempotency-Key", q.idempotencyKey)
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
	q.readResponse(data)
}

// responseJSON holds the fields that the oracle reads from a response or an event of a stream.
type responseJSON struct {
	Model   string
	Choices []struct{ Text string }
	Usage   *struct {
		TotalTokens int `json:"total_tokens"`
	}
	Error *struct{ Code, Verdict string }
}

// addAnswer adds a response or an event of a stream to the result.
func (q *sentRequest) addAnswer(a responseJSON) {
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

// readResponse reads the body of a response that is not streamed.
func (q *sentRequest) readResponse(data []byte) {
	var a responseJSON
	if q.kind != kindComplete && q.kind != kindStream && q.status/100 == 2 {
		q.text, q.complete = string(data), q.err == nil
		return
	}
	if q.err == nil {
		q.err = json.Unmarshal(data, &a)
	}
	q.addAnswer(a)
	q.complete = q.err == nil && a.Error == nil
}

// readEvents reads the events of a stream until its end.
func (q *sentRequest) readEvents(r io.Reader) {
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
		var a responseJSON
		if q.err = json.Unmarshal([]byte(data), &a); q.err != nil {
			return
		}
		q.addAnswer(a)
		if a.Error == nil {
			q.lastByte = time.Now()
		}
	}
	q.err = lines.Err()
}

// Failures.

// recordFault tells the oracle that a failure starts now and lasts for d.
func (s *system) recordFault(d time.Duration) {
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	s.o.faults = append(s.o.faults, interval{from: time.Now(), to: time.Now().Add(d + recoveryPeriod)})
}

// recoveryPeriod is how long requests may still fail after the end of a failure.
const recoveryPeriod = 10 * time.Second

// allowDisconnects tells the oracle that callers' connections to an instance may break from now on, for d or, if d is
// zero, without end.
func (s *system) allowDisconnects(i *testInstance, d time.Duration) {
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	span := interval{from: time.Now()}
	if d > 0 {
		span.to = time.Now().Add(d + recoveryPeriod)
	}
	s.o.disconnects[i.name] = append(s.o.disconnects[i.name], span)
}

// killInstance kills an instance. The platform replaces it at once, unless A is odd and at least two live instances
// are left.
func (s *system) killInstance(st step) {
	n := st.C % len(s.live)
	i := s.live[n]
	s.live = slices.Delete(s.live, n, n+1)
	s.allowDisconnects(i, 0)
	s.recordFault(0)
	s.net.Kill(i.name)
	i.stop()
	<-i.done
	if st.A%2 == 0 || len(s.live) < 2 {
		s.startInstance()
	}
	s.updateList()
}

// startInstance starts an instance unless maxInstances are live.
func (s *system) startInstance() {
	if len(s.live) < maxInstances {
		s.addInstance()
		s.updateList()
	}
}

// drainInstance starts a planned stop of an instance and starts its replacement.
func (s *system) drainInstance(st step) {
	n := st.C % len(s.live)
	i := s.live[n]
	s.live = slices.Delete(s.live, n, n+1)
	s.drainingInstances = append(s.drainingInstances, i)
	s.o.mu.Lock()
	s.o.draining[i.name] = time.Now()
	s.o.mu.Unlock()
	s.startInstance()
	s.updateList()
	close(i.drain)
	s.requests.Go(func() {
		<-i.done
		s.net.Kill(i.name)
		s.addHistory("%s has drained", i.name)
	})
}

// updateList updates the platform's instance list.
func (s *system) updateList() {
	s.drainingInstances = slices.DeleteFunc(s.drainingInstances, func(i *testInstance) bool {
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
		if slices.Contains(s.drainingInstances, i) {
			state = platform.Leaving
		}
		list = append(list, platform.Instance{ID: i.name, DataCentre: "dc1", PeerAddr: i.name + ":2", State: state})
	}
	s.stack.List.Set(list)
}

// failureDurations are shorter and longer than the lease, and than the silence after which a member is withdrawn.
var failureDurations = []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, 20 * time.Second}

// partitionFor partitions the network by a rule for a time.
func (s *system) partitionFor(d time.Duration, rule func(from, to string) bool) {
	s.recordFault(d)
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

// after runs f after d, or as soon as all failures must end.
func (s *system) after(d time.Duration, f func()) {
	s.requests.Go(func() {
		pauseFor(s.failureCtx, d)
		f()
	})
}

// applyRules applies all current rules to the network. The caller holds the lock.
func (s *system) applyRules() {
	var rules []func(from, to string) bool
	for _, r := range s.rules {
		rules = append(rules, r)
	}
	s.net.Partition(func(from, to string) bool {
		return slices.ContainsFunc(rules, func(r func(from, to string) bool) bool { return r(from, to) })
	})
}

// isolate cuts an instance off from everything for a time, which models a pause of its process. A bubble has a
// single clock, so late timers of a paused process cannot be modelled.
func (s *system) isolate(st step) {
	i, d := s.live[st.C%len(s.live)], failureDurations[st.A%len(failureDurations)]
	s.allowDisconnects(i, d)
	s.partitionFor(d, func(from, to string) bool { return from == i.name || strings.HasPrefix(to, i.name+":") })
}

func (s *system) partitionFromLog(st step) {
	i := s.live[st.C%len(s.live)]
	s.allowDisconnects(i, failureDurations[st.A%len(failureDurations)])
	s.partitionFor(failureDurations[st.A%len(failureDurations)], func(from, to string) bool { return from == i.name && to == "log:1" })
}

func (s *system) partitionFromPeers(st step) {
	i := s.live[st.C%len(s.live)]
	s.allowDisconnects(i, failureDurations[st.A%len(failureDurations)])
	s.partitionFor(failureDurations[st.A%len(failureDurations)], func(from, to string) bool {
		return strings.HasSuffix(to, ":2") && (from == i.name || to == i.name+":2")
	})
}

func (s *system) partitionFromLogAndPeers(st step) {
	s.partitionFromLog(st)
	s.partitionFromPeers(st)
}

// silence makes open connections silent: all connections of an instance, or all to one backend server or the log.
func (s *system) silence(st step) {
	i := s.live[st.C%len(s.live)]
	s.recordFault(callerTimeout)
	if st.A%2 == 0 {
		s.allowDisconnects(i, callerTimeout)
		s.net.Silence(func(from, to string) bool { return from == i.name || strings.HasPrefix(to, i.name+":") })
		return
	}
	target := []string{"engine1:1", "engine2:1", "service:1", "log:1"}[st.B%4]
	s.net.Silence(func(_, to string) bool { return to == target })
}

// logDown makes the log refuse every call for a time. Outages may overlap.
func (s *system) logDown(st step) {
	d := failureDurations[st.A%len(failureDurations)]
	s.recordFault(d)
	changeOutages := func(by int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outages += by
		s.stack.Log.SetDown(s.outages > 0)
	}
	changeOutages(1)
	s.after(d, func() { changeOutages(-1) })
}

// crash crashes an engine. If B is even, a long answer is being streamed.
func (s *system) crash(st step) {
	if st.B%2 == 0 {
		s.complete(kindStream, "summary", s.keys[0], s.target(st.C), 400, "")
		time.Sleep(2 * time.Second)
	}
	s.recordFault(0)
	s.stack.Engines[st.A%len(s.stack.Engines)].Crash()
}

// leaveByStatus makes an engine report that it is leaving. After 20 s, or when all failures must end, it restarts and
// no longer reports that.
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
		s.o.faults = append(s.o.faults, interval{from: time.Now(), to: time.Now().Add(recoveryPeriod)})
		s.stack.Engines[n].SetLeaving(false)
		s.stack.Engines[n].Crash()
		s.o.leaving[address][index].to = time.Now()
	})
}

// Changes of the configuration by operators.

// change publishes an edit through an instance in the background.
func (s *system) change(i *testInstance, edit func(*config.Document)) {
	s.requests.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
		defer cancel()
		version, err := s.publishEdit(ctx, i, edit)
		s.addHistory("change through %s: version %d, %v", i.name, version, err)
	})
}

// publishEdit publishes an edit of the configuration that an instance has in force. It returns the accepted version,
// the version in force if the edit changes nothing, or zero if the change was refused.
func (s *system) publishEdit(ctx context.Context, i *testInstance, edit func(*config.Document)) (config.Version, error) {
	d := &adminDaemon{i.current.Load()}
	view := d.replica.view()
	old, doc := view.Document(), view.Document()
	edit(&doc)
	ops, err := config.Diff(old, doc)
	if err != nil || len(ops) == 0 {
		return view.Version(), err
	}
	response, err := d.Publish(ctx, uuid.NewString(), config.Change{Base: view.Version(), Operations: ops, Author: "operator"})
	if err != nil || !response.Accepted {
		return 0, err
	}
	return response.Version, nil
}

// newVersion publishes a new version of an adapter and makes it the default.
func (s *system) newVersion(st step) {
	s.versionCount++
	version := fmt.Sprintf("n%d", s.versionCount)
	s.change(s.target(st.C), func(d *config.Document) {
		a := d.Adapters["summary"]
		a.Versions, a.Default = append(slices.Clone(a.Versions), version), version
		d.Adapters["summary"] = a
	})
}

// newKey publishes a new key.
func (s *system) newKey(st step) {
	k := s.makeKey("racks")
	s.change(s.target(st.C), func(d *config.Document) {
		d.Keys[k.id] = config.Key{Workspace: k.workspace, Hash: keys.Hash(k.secret)}
	})
}

// withdrawKey withdraws the newest key, if B is even while it is in use. The first key of "racks" is never withdrawn,
// because the liveness checks use it.
func (s *system) withdrawKey(st step) {
	k := s.keys[len(s.keys)-1]
	if st.B%2 == 0 {
		s.complete(kindStream, "summary", k, s.target(st.A), 400, "")
	}
	s.change(s.target(st.C), func(d *config.Document) { delete(d.Keys, k.id) })
}

// changeRate changes the rate and the burst of a workspace.
func (s *system) changeRate(st step) {
	s.change(s.target(st.C), func(d *config.Document) {
		d.Workspaces["notes"] = config.Workspace{TokensPerSecond: float64(5 + 5*st.A), BurstTokens: float64(60 + 10*st.B)}
	})
}

// leaveByConfig toggles in the configuration whether an engine is leaving.
func (s *system) leaveByConfig(st step) {
	s.change(s.target(st.C), func(d *config.Document) {
		id := fmt.Sprintf("engine-%d", 1+st.A%2)
		b := d.BackendServers[id]
		b.Leaving = !b.Leaving
		d.BackendServers[id] = b
	})
}

// conflictingChanges publishes two changes at the same time through two instances, usually with the same base.
func (s *system) conflictingChanges(st step) {
	s.newVersion(st)
	s.changeRate(step{A: st.A, B: st.B, C: st.C + 1})
}

// Recovery and liveness.

// heal ends all failures, publishes that no engine is leaving, and waits until the fleet has recovered.
func (s *system) heal() {
	s.addHistory("ending all failures")
	s.endFailures()
	s.stack.Log.LoseResponses(0)
	s.stack.Store.FailNext(0)
	time.Sleep(recoveryTime)
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
		s.addHistory("putting all engines back into use: version %d, %v", version, err)
	}
	time.Sleep(configBound + time.Second)
	s.requests.Wait()
}

// liveness checks that the recovered fleet serves, holds all parts of the shares and agrees on the configuration.
func (s *system) liveness() (out []string) {
	s.o.mu.Lock()
	newest := s.o.configs[len(s.o.configs)-1].version
	s.o.mu.Unlock()
	for _, w := range []string{"racks", "notes"} {
		if sum := s.sharesOf(w); sum != ledger.TotalParts {
			out = append(out, fmt.Sprintf("liveness of I6: the parts of workspace %s add up to %d", w, sum))
		}
	}
	for _, i := range s.live {
		d := i.current.Load()
		if v := d.replica.view().Version(); v != newest {
			out = append(out, fmt.Sprintf("liveness of I12: %s has version %d in force, want the newest version %d", i.name, v, newest))
		}
		if err := d.ready(); err != nil {
			out = append(out, fmt.Sprintf("liveness: %s is not ready: %v", i.name, err))
		}
		var q *sentRequest
		for range 3 {
			// Callers are expected to resend a request that was refused with not-run.
			if q = s.complete(kindComplete, "summary", s.keys[0], i, 2, ""); !s.refusedNotRun(q) {
				break
			}
			time.Sleep(time.Second)
		}
		lot := &sentRequest{kind: kindLot, key: s.keys[0], instance: i, idempotencyKey: uuid.NewString(), created: time.Now()}
		lot.body = "lot|" + lot.idempotencyKey + "|1"
		s.register(lot)
		s.send(lot, "/services/lots/log")
		s.requests.Wait()
		for _, q := range []*sentRequest{q, lot} {
			if !q.succeeded() {
				out = append(out, fmt.Sprintf("liveness: a request failed: %s", q))
			}
		}
	}
	return out
}

// refusedNotRun waits for a request and reports whether it was refused with the verdict not-run.
func (s *system) refusedNotRun(q *sentRequest) bool {
	s.requests.Wait()
	return q.verdict == "not-run"
}

// sharesOf adds up a workspace's parts over the live instances. Parts that are being transferred are in no instance's
// share, so it repeats the sum, up to ten times, until it is complete.
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
