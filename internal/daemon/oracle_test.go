package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/engine"
	"github.com/turmericworks/turmericworks/internal/standin/service"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

const (
	// withdrawnBound, leavingBound and configBound are the bounds of I5, I10 and I12.
	withdrawnBound = 3 * time.Second
	leavingBound   = 3 * time.Second
	configBound    = 5 * time.Second
	// tokenRounding is how far the sum of the tokens in a window may be off: shares are kept in
	// microtokens and split into parts, so each request may round by less than one token.
	tokenRounding = 1
	// maxReported bounds what one check prints.
	maxReported = 2
)

// callKind is what kind of request a caller sent.
type callKind string

const (
	kindComplete callKind = "complete"
	kindStream   callKind = "stream"
	kindLot      callKind = "lot"
	kindStatus   callKind = "status"
)

// apiKey is a caller's key as the oracle knows it. A key without a workspace is not valid.
type apiKey struct{ id, secret, workspace string }

// sent is one request of a caller and what came of it.
type sent struct {
	id        string
	kind      callKind
	model     string
	body      string
	idem      string
	created   time.Time
	maxTokens int
	reserved  int
	key       apiKey
	instance  *testInstance

	asked, ended, lastByte time.Time
	done                   bool
	err                    error
	dialRefused            bool
	status                 int
	verdict, code, adapter string
	text                   string
	models                 []string
	complete               bool
	tokens                 int
}

func (s *sent) String() string {
	return fmt.Sprintf("%s %s %s%s key=%s by %s: status %d verdict %q code %q complete %v err %v", s.id, s.kind, s.model, s.idem,
		s.key.id, s.instance.name, s.status, s.verdict, s.code, s.complete, s.err)
}

// succeeded reports whether the caller got an answer that counts as whole.
func (s *sent) succeeded() bool { return s.done && s.err == nil && s.status/100 == 2 && s.complete }

// engineRun is one run on an engine.
type engineRun struct {
	engine.StartedRequest
	address string
	request string
}

// accepted is one accepted configuration with the time of its record in the log.
type accepted struct {
	version config.Version
	at      time.Time
	objects map[string]string
}

// interval is a time span; an open one has no end.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from))
}

// oracle records what callers and backend servers saw, folds the configuration on its own and checks the
// invariants against that.
type oracle struct {
	stack    *stack.Stack
	mu       sync.Mutex
	start    time.Time
	sent     map[string]*sent
	runs     []engineRun
	byID     map[string]engineRun
	leaks    []string
	secrets  []string
	configs  []accepted
	changes  map[string]bool
	next     uint64
	leaving  map[string][]interval
	faults   []interval
	cuts     map[string][]interval
	draining map[string]time.Time
}

func newOracle() *oracle {
	return &oracle{
		start: time.Now(), sent: map[string]*sent{}, byID: map[string]engineRun{}, changes: map[string]bool{},
		leaving: map[string][]interval{}, cuts: map[string][]interval{}, draining: map[string]time.Time{},
	}
}

var requestMark = regexp.MustCompile(`q\d+q`)

// started takes over a run that an engine began.
func (o *oracle) started(address string, r engine.StartedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	run := engineRun{StartedRequest: r, address: address, request: requestMark.FindString(r.Prompt)}
	o.runs = append(o.runs, run)
	o.byID[r.ID] = run
}

// watch records every key that reaches a backend server, in the address, a header or the body.
func (o *oracle) watch(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		all := fmt.Sprint(r.URL.String(), r.Header, string(body))
		o.mu.Lock()
		for _, s := range o.secrets {
			if strings.Contains(all, s) {
				o.leaks = append(o.leaks, fmt.Sprintf("%s %s holds a caller's key", r.Method, r.URL.Path))
			}
		}
		o.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// refresh folds new configuration records. The caller holds the lock.
func (o *oracle) refresh() {
	for _, r := range o.stack.Log.Records(string(platform.StreamConfig)) {
		if r.Offset < o.next {
			continue
		}
		o.next = r.Offset + 1
		entries, err := record.Decode(r.Offset, r.UnixMilli, r.Data)
		if err != nil {
			panic(err)
		}
		for _, e := range entries {
			o.apply(e)
		}
	}
}

// apply accepts a change if its base is the current version or if it only withdraws keys.
func (o *oracle) apply(e record.Entry) {
	var c config.Change
	if e.Kind != config.RecordChange || o.changes[e.ID] || e.Unmarshal(&c) != nil {
		return
	}
	o.changes[e.ID] = true
	next := accepted{version: config.Version(e.Offset + 1), at: time.UnixMilli(e.UnixMilli), objects: map[string]string{}}
	var current config.Version
	if n := len(o.configs); n > 0 {
		current = o.configs[n-1].version
		for k, v := range o.configs[n-1].objects {
			next.objects[k] = v
		}
	}
	if c.Base != current && !config.WithdrawsKeys(c.Operations) {
		return
	}
	for _, op := range c.Operations {
		name := string(op.Kind) + "/" + op.ID
		if op.Op == config.OpDelete {
			delete(next.objects, name)
		} else {
			next.objects[name] = string(op.Value)
		}
	}
	o.configs = append(o.configs, next)
}

// inForce returns the configurations that may have been in force somewhere in a time span.
func (o *oracle) inForce(from, to time.Time) []accepted {
	var out []accepted
	for i, c := range o.configs {
		ended := i+1 < len(o.configs) && o.configs[i+1].at.Add(configBound).Before(from)
		if !c.at.After(to) && !ended {
			out = append(out, c)
		}
	}
	return out
}

func object[T any](c accepted, kind config.Kind, id string) (out T, ok bool) {
	data, ok := c.objects[string(kind)+"/"+id]
	if ok && json.Unmarshal([]byte(data), &out) != nil {
		panic("a configuration object cannot be decoded: " + data)
	}
	return out, ok
}

// withdrawnAt returns when a key was withdrawn.
func (o *oracle) withdrawnAt(key string) (time.Time, bool) {
	existed := false
	for _, c := range o.configs {
		_, ok := c.objects["key/"+key]
		if existed && !ok {
			return c.at, true
		}
		existed = existed || ok
	}
	return time.Time{}, false
}

// check is one invariant. It returns what contradicts it.
type check struct {
	id  string
	run func(o *oracle, s *system) []string
}

// checks are the twelve invariants of the design.
var checks = []check{
	{"I1", (*oracle).adapterAsked},
	{"I2", (*oracle).noBusyEviction},
	{"I3", (*oracle).ownWorkspace},
	{"I4", func(o *oracle, _ *system) []string { return o.leaks }},
	{"I5", (*oracle).withdrawnKeys},
	{"I6", (*oracle).ratesHold},
	{"I7", (*oracle).wholeAnswers},
	{"I8", (*oracle).refusalsAreTrue},
	{"I9", (*oracle).atMostOnce},
	{"I10", (*oracle).leavingServers},
	{"I11", (*oracle).gracefulStops},
	{"I12", (*oracle).configInForce},
}

// violations runs every check.
func (o *oracle) violations(s *system) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	var out []string
	for _, c := range checks {
		found := c.run(o, s)
		for _, v := range found[:min(len(found), maxReported)] {
			out = append(out, c.id+": "+v)
		}
	}
	return out
}

func (o *oracle) adapterAsked(*system) (out []string) {
	for _, r := range o.runs {
		s := o.sent[r.request]
		if s == nil {
			continue
		}
		want := adapter.Parse(s.model)
		ok := want == r.Adapter
		if want.Version == "" && want.Name == r.Adapter.Name {
			for _, c := range o.inForce(s.asked, r.Started) {
				a, _ := object[config.Adapter](c, config.KindAdapter, want.Name)
				ok = ok || a.Default == r.Adapter.Version
			}
		}
		if !ok {
			out = append(out, fmt.Sprintf("%s ran on %s: %s", r.request, r.Adapter, s))
		}
		if s.succeeded() && strings.Contains(s.text, r.ID) {
			for _, m := range append([]string{s.adapter}, s.models...) {
				if m != r.Adapter.String() {
					out = append(out, fmt.Sprintf("the answer names %s, the run was on %s: %s", m, r.Adapter, s))
				}
			}
		}
	}
	return out
}

func (o *oracle) noBusyEviction(s *system) (out []string) {
	for i, e := range s.stack.Engines {
		if n := e.EvictedBusy(); n > 0 {
			out = append(out, fmt.Sprintf("engine %d evicted a busy adapter %d times", i+1, n))
		}
	}
	return out
}

func (o *oracle) ownWorkspace(*system) (out []string) {
	mayRun := func(s *sent, owner string, open bool) bool {
		return s.key.workspace == owner || open && (s.key.workspace != "" || s.key.secret == "")
	}
	for _, r := range o.runs {
		s := o.sent[r.request]
		if s == nil {
			continue
		}
		a, ok := object[config.Adapter](o.configs[len(o.configs)-1], config.KindAdapter, r.Adapter.Name)
		if !ok || !mayRun(s, a.Workspace, a.Open) {
			out = append(out, fmt.Sprintf("an adapter of %q ran for %s", a.Workspace, s))
		}
	}
	for _, e := range o.stack.Service.Entries() {
		if s := o.sent[idOfTrace(e.TraceParent)]; s != nil && !mayRun(s, "racks", false) {
			out = append(out, fmt.Sprintf("a route of \"racks\" ran for %s", s))
		}
	}
	return out
}

func (o *oracle) withdrawnKeys(*system) (out []string) {
	late := func(s *sent, at time.Time) bool {
		w, ok := o.withdrawnAt(s.key.id)
		return ok && at.After(w.Add(withdrawnBound))
	}
	for _, r := range o.runs {
		if s := o.sent[r.request]; s != nil && late(s, r.Submitted) {
			out = append(out, fmt.Sprintf("a run was submitted at %s: %s", o.clock(r.Submitted), s))
		}
	}
	for _, e := range o.stack.Service.Entries() {
		if s := o.sent[idOfTrace(e.TraceParent)]; s != nil && late(s, e.At.Add(-serviceDelay)) {
			out = append(out, fmt.Sprintf("a call was executed at %s: %s", o.clock(e.At), s))
		}
	}
	for _, s := range o.sent {
		if s.status == http.StatusOK && late(s, s.lastByte) {
			out = append(out, fmt.Sprintf("the caller got bytes at %s: %s", o.clock(s.lastByte), s))
		}
	}
	return out
}

// ratesHold checks every window from the sending of one request to the answer of another. All requests
// that were sent and answered inside a window were admitted inside it. What they used is at most the
// burst, the rate times the window, and what requests admitted before it gave back inside it.
func (o *oracle) ratesHold(*system) (out []string) {
	byWorkspace := map[string][]*sent{}
	for _, s := range o.sent {
		if s.kind == kindComplete || s.kind == kindStream {
			if a, ok := object[config.Adapter](o.configs[len(o.configs)-1], config.KindAdapter, adapter.Parse(s.model).Name); ok {
				byWorkspace[a.Workspace] = append(byWorkspace[a.Workspace], s)
			}
		}
	}
	for workspace, list := range byWorkspace {
		sort.Slice(list, func(i, j int) bool { return list[i].ended.Before(list[j].ended) })
		for _, first := range list {
			from, used, returned := first.asked, 0, 0
			for _, s := range list {
				if !s.succeeded() {
					if s.asked.Before(from) {
						returned += s.reserved
					}
					continue
				}
				if s.asked.Before(from) {
					if !s.ended.Before(from) {
						returned += s.reserved - s.tokens
					}
					continue
				}
				used += s.tokens
				rate, burst := 0.0, 0.0
				for _, c := range o.inForce(from, s.ended) {
					w, _ := object[config.Workspace](c, config.KindWorkspace, workspace)
					rate, burst = max(rate, w.TokensPerSecond), max(burst, w.BurstTokens)
				}
				window := s.ended.Sub(from)
				if most := burst + rate*window.Seconds() + float64(returned) + tokenRounding; float64(used) > most {
					out = append(out, fmt.Sprintf("%s used %d tokens in %s from %s, at most %.0f are allowed", workspace, used, window, o.clock(from), most))
				}
			}
		}
	}
	return out
}

func (o *oracle) wholeAnswers(*system) (out []string) {
	answers := map[string]*sent{}
	executed := map[string]bool{}
	for _, e := range o.stack.Service.Entries() {
		executed[fmt.Sprint(e.Number, e.Body)] = true
	}
	for _, s := range o.sent {
		if !s.succeeded() {
			continue
		}
		if s.kind == kindComplete || s.kind == kindStream {
			if fault := o.faultOfAnswer(s); fault != "" {
				out = append(out, fmt.Sprintf("%s: %s: %q", fault, s, s.text))
			}
			continue
		}
		var e service.Entry
		if json.Unmarshal([]byte(s.text), &e) != nil || e.Body != s.body || !executed[fmt.Sprint(e.Number, e.Body)] {
			out = append(out, fmt.Sprintf("the answer %q is of another call than %q: %s", s.text, s.body, s))
		}
		if other := answers[s.idem]; s.idem != "" && other != nil && other.text != s.text {
			out = append(out, fmt.Sprintf("two answers to one key: %q and %q: %s", other.text, s.text, s))
		}
		answers[s.idem] = s
	}
	return out
}

// faultOfAnswer checks that a completion holds every token of one run of the request.
func (o *oracle) faultOfAnswer(s *sent) string {
	tokens := strings.Fields(s.text)
	if len(tokens) != s.maxTokens {
		return fmt.Sprintf("the answer has %d of %d tokens", len(tokens), s.maxTokens)
	}
	for i, token := range tokens {
		parts := strings.Split(token, "/")
		if len(parts) != 3 || parts[2] != fmt.Sprint(i) {
			return fmt.Sprintf("token %d is %q", i, token)
		}
		if r := o.byID[parts[1]]; r.request != s.id || parts[1] != strings.Split(tokens[0], "/")[1] {
			return fmt.Sprintf("token %d is of a run of %q", i, r.request)
		}
	}
	return ""
}

func (o *oracle) refusalsAreTrue(*system) (out []string) {
	claims := func(s *sent) bool { return s != nil && s.done && s.verdict == "not-run" }
	for _, r := range o.runs {
		if s := o.sent[r.request]; claims(s) {
			out = append(out, fmt.Sprintf("the request ran on %s at %s: %s", r.address, o.clock(r.Started), s))
		}
	}
	for _, e := range o.stack.Service.Entries() {
		if s := o.sent[idOfTrace(e.TraceParent)]; claims(s) {
			out = append(out, fmt.Sprintf("the call was executed at %s: %s", o.clock(e.At), s))
		}
	}
	return out
}

func (o *oracle) atMostOnce(*system) (out []string) {
	count := map[string]int{}
	for _, e := range o.stack.Service.Entries() {
		if key, ok := strings.CutPrefix(e.Body, "lot|"); ok {
			key, _, _ = strings.Cut(key, "|")
			if count[key]++; count[key] > 1 {
				out = append(out, fmt.Sprintf("the call with key %s was executed %d times", key, count[key]))
			}
		}
	}
	return out
}

func (o *oracle) leavingServers(*system) (out []string) {
	for _, r := range o.runs {
		spans := slices.Clone(o.leaving[r.address])
		id := "engine-" + strings.TrimSuffix(strings.TrimPrefix(r.address, "engine"), ":1")
		for i, c := range o.configs {
			if b, _ := object[config.BackendServer](c, config.KindBackendServer, id); !b.Leaving {
				continue
			}
			before := accepted{}
			if i > 0 {
				before = o.configs[i-1]
			}
			if b, _ := object[config.BackendServer](before, config.KindBackendServer, id); b.Leaving {
				spans[len(spans)-1].to = time.Time{}
			} else {
				spans = append(spans, interval{from: c.at})
			}
			if i+1 < len(o.configs) {
				spans[len(spans)-1].to = o.configs[i+1].at
			}
		}
		for _, span := range spans {
			span.from = span.from.Add(leavingBound)
			if span.from.Before(r.Submitted) && (span.to.IsZero() || r.Submitted.Before(span.to)) {
				out = append(out, fmt.Sprintf("%s got %s at %s, leaving since %s", r.address, r.request, o.clock(r.Submitted),
					o.clock(span.from.Add(-leavingBound))))
			}
		}
	}
	return out
}

// gracefulStops checks that no connection of a caller breaks unless its instance was killed, cut off or
// withdrawn, and that a request on an instance that drains while nothing else is disturbed succeeds or
// is refused.
func (o *oracle) gracefulStops(s *system) (out []string) {
	for _, q := range o.sent {
		if !q.done || q.dialRefused {
			continue
		}
		disturbed := slices.ContainsFunc(o.faults, func(i interval) bool { return i.overlaps(q.asked, q.ended) })
		broken := q.err != nil || q.status == http.StatusOK && !q.complete && q.verdict == ""
		if errors.Is(q.err, context.DeadlineExceeded) {
			// The caller gave up. Only a fault excuses that it had to wait this long.
			broken = !disturbed
		}
		if broken && !slices.ContainsFunc(o.cuts[q.instance.name], func(i interval) bool { return i.overlaps(q.asked, q.ended) }) {
			out = append(out, fmt.Sprintf("a connection was cut off: %s", q))
		}
		at, drains := o.draining[q.instance.name]
		if drains && !at.After(q.ended) && !disturbed && q.verdict == "may-have-run" && q.code != "key_withdrawn" {
			out = append(out, fmt.Sprintf("a request failed on a draining instance: %s", q))
		}
	}
	return out
}

func (o *oracle) configInForce(s *system) (out []string) {
	if len(o.configs) == 0 {
		return nil
	}
	due := config.Version(0)
	byVersion := map[config.Version]accepted{0: {}}
	for _, c := range o.configs {
		byVersion[c.version] = c
		if time.Since(c.at) > configBound {
			due = c.version
		}
	}
	for _, i := range s.serving() {
		d := i.current.Load()
		if d.admit() != nil {
			continue
		}
		v := d.replica.view()
		known, ok := byVersion[v.Version()]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s has version %d in force, which was not accepted", i.name, v.Version()))
		case v.Version() < due:
			out = append(out, fmt.Sprintf("%s serves with version %d, but %d was accepted at %s", i.name, v.Version(), due, o.clock(byVersion[due].at)))
		case !sameObjects(v.Document(), known.objects):
			out = append(out, fmt.Sprintf("%s has another content in force at version %d", i.name, v.Version()))
		}
	}
	return out
}

// sameObjects compares a configuration in force with the oracle's.
func sameObjects(d config.Document, want map[string]string) bool {
	ops, err := config.Diff(config.Document{}, d)
	if err != nil {
		return false
	}
	for _, op := range ops {
		if want[string(op.Kind)+"/"+op.ID] != string(op.Value) {
			return false
		}
	}
	return len(ops) == len(want)
}

// clock prints a time since the start of the case.
func (o *oracle) clock(t time.Time) string { return t.Sub(o.start).String() }

// traceOf and idOfTrace carry a request's id to a plain service in a trace context.
func traceOf(id string) string { return fmt.Sprintf("00-%032x-%016x-01", []byte(id), 1) }

func idOfTrace(trace string) string {
	parts := strings.Split(trace, "-")
	if len(parts) != 4 {
		return ""
	}
	var b []byte
	if _, err := fmt.Sscanf(strings.TrimLeft(parts[1], "0"), "%x", &b); err != nil {
		return ""
	}
	return string(b)
}
