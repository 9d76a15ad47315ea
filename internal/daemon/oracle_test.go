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
	// withdrawnBound is how long a withdrawn key may still be accepted (invariant I5).
	withdrawnBound = 3 * time.Second
	// leavingBound is how long a leaving engine may still get new requests (invariant I10).
	leavingBound = 3 * time.Second
	// configBound is how long an accepted configuration may take to come into force (invariant I12).
	configBound = 5 * time.Second
	// tokenRounding is the tolerance for the sum of the tokens in a window. Shares are kept in microtokens
	// and split into parts, so the rounding of each request is less than one token.
	tokenRounding = 1
	// maxViolationsPerCheck is the maximum number of violations that one check reports.
	maxViolationsPerCheck = 2
)

// callKind is the kind of a request.
type callKind string

const (
	kindComplete callKind = "complete"
	kindStream   callKind = "stream"
	kindLot      callKind = "lot"
	kindStatus   callKind = "status"
)

// apiKey is a caller's key. One without a workspace is invalid; one without a secret stands for a request without
// a key.
type apiKey struct{ id, secret, workspace string }

// sentRequest is one request of a caller with its response.
type sentRequest struct {
	id             string
	kind           callKind
	model          string
	body           string
	idempotencyKey string
	created        time.Time // of the idempotency key
	maxTokens      int
	reserved       int // tokens that an instance reserves for the request
	key            apiKey
	instance       *testInstance

	sentAt, ended, lastByte time.Time
	done                    bool
	err                     error
	dialRefused             bool
	status                  int
	verdict, code, adapter  string
	text                    string
	models                  []string
	complete                bool // the whole response was received, and it is no error
	tokens                  int  // from the usage of the response
}

func (s *sentRequest) String() string {
	return fmt.Sprintf("%s %s %s%s key=%s by %s: status %d verdict %q code %q complete %v err %v", s.id, s.kind, s.model, s.idempotencyKey,
		s.key.id, s.instance.name, s.status, s.verdict, s.code, s.complete, s.err)
}

// succeeded reports whether the caller got a complete, successful response.
func (s *sentRequest) succeeded() bool {
	return s.done && s.err == nil && s.status/100 == 2 && s.complete
}

// engineRun is one run of a request on an engine.
type engineRun struct {
	engine.StartedRequest
	address string
	request string
}

// acceptedConfig is an accepted configuration with the time of its record in the log. Its objects are JSON texts by
// kind and id.
type acceptedConfig struct {
	version config.Version
	at      time.Time
	objects map[string]string
}

// interval is a time span. If it is open, to is zero.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from))
}

// oracle records what callers and backend servers observed, folds the configuration stream independently of the
// instances, and checks the invariants against both. mu guards all its fields but stack and start.
type oracle struct {
	stack *stack.Stack
	mu    sync.Mutex
	start time.Time
	// sent holds the requests of callers by id.
	sent map[string]*sentRequest
	// runs holds the runs on engines in the order of their starts, and byID the same runs by the id of their
	// attempt.
	runs []engineRun
	byID map[string]engineRun
	// leaks describes the requests to backend servers that contained one of secrets, the secrets of the callers' keys.
	leaks   []string
	secrets []string
	// configs holds the accepted configurations, changes the ids of all changes that were folded, and nextOffset
	// the offset of the first record that was not.
	configs    []acceptedConfig
	changes    map[string]bool
	nextOffset uint64
	// leaving holds the times during which an engine reports that it is leaving, by address.
	leaving map[string][]interval
	// faults holds the times of the failures and of the recovery from them.
	faults []interval
	// disconnects holds the times during which callers' connections to an instance may break, by instance.
	disconnects map[string][]interval
	// draining holds the start of each drain, by instance.
	draining map[string]time.Time
}

func newOracle() *oracle {
	return &oracle{
		start: time.Now(), sent: map[string]*sentRequest{}, byID: map[string]engineRun{}, changes: map[string]bool{},
		leaving: map[string][]interval{}, disconnects: map[string][]interval{}, draining: map[string]time.Time{},
	}
}

// requestIDPattern matches the id of a request in its prompt.
var requestIDPattern = regexp.MustCompile(`q\d+q`)

// engineStarted records a run that an engine has started.
func (o *oracle) engineStarted(address string, r engine.StartedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	run := engineRun{StartedRequest: r, address: address, request: requestIDPattern.FindString(r.Prompt)}
	o.runs = append(o.runs, run)
	o.byID[r.ID] = run
}

// recordKeyLeaks records every request to a backend server that contains a caller's key in its URL, a header or its
// body.
func (o *oracle) recordKeyLeaks(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		text := fmt.Sprint(r.URL.String(), r.Header, string(body))
		o.mu.Lock()
		for _, s := range o.secrets {
			if strings.Contains(text, s) {
				o.leaks = append(o.leaks, fmt.Sprintf("%s %s contains a caller's key", r.Method, r.URL.Path))
			}
		}
		o.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// foldConfig folds the new records of the configuration stream. The caller holds the lock.
func (o *oracle) foldConfig() {
	for _, r := range o.stack.Log.Records(string(platform.StreamConfig)) {
		if r.Offset < o.nextOffset {
			continue
		}
		o.nextOffset = r.Offset + 1
		entries, err := record.Decode(r.Offset, r.UnixMilli, r.Data)
		if err != nil {
			panic(err)
		}
		for _, e := range entries {
			o.foldEntry(e)
		}
	}
}

// foldEntry accepts a change if its base is the current version or if it only withdraws keys.
func (o *oracle) foldEntry(e record.Entry) {
	var c config.Change
	if e.Kind != config.RecordChange || o.changes[e.ID] || e.Unmarshal(&c) != nil {
		return
	}
	o.changes[e.ID] = true
	next := acceptedConfig{version: config.Version(e.Offset + 1), at: time.UnixMilli(e.UnixMilli), objects: map[string]string{}}
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

// inForce returns the configurations that may have been in force on some instance during a time span.
func (o *oracle) inForce(from, to time.Time) []acceptedConfig {
	var out []acceptedConfig
	for i, c := range o.configs {
		ended := i+1 < len(o.configs) && o.configs[i+1].at.Add(configBound).Before(from)
		if !c.at.After(to) && !ended {
			out = append(out, c)
		}
	}
	return out
}

// object decodes an object of a configuration.
func object[T any](c acceptedConfig, kind config.Kind, id string) (out T, ok bool) {
	data, ok := c.objects[string(kind)+"/"+id]
	if ok && json.Unmarshal([]byte(data), &out) != nil {
		panic("cannot decode configuration object " + data)
	}
	return out, ok
}

// withdrawnAt returns when a key was withdrawn, or false if it was not.
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

// check is one invariant. Its function returns the violations.
type check struct {
	id  string
	run func(o *oracle, s *system) []string
}

// checks are the invariants of the system.
var checks = []check{
	{"I1", (*oracle).runsOnRequestedAdapter},
	{"I2", (*oracle).noBusyEviction},
	{"I3", (*oracle).ownWorkspaceOnly},
	{"I4", func(o *oracle, _ *system) []string { return o.leaks }},
	{"I5", (*oracle).withdrawnKeysStop},
	{"I6", (*oracle).rateLimitsHold},
	{"I7", (*oracle).answersComplete},
	{"I8", (*oracle).notRunIsTrue},
	{"I9", (*oracle).atMostOnce},
	{"I10", (*oracle).leavingServersGetNothing},
	{"I11", (*oracle).gracefulStops},
	{"I12", (*oracle).configInForce},
}

// violations runs every check and returns what it found.
func (o *oracle) violations(s *system) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.foldConfig()
	var out []string
	for _, c := range checks {
		found := c.run(o, s)
		for _, v := range found[:min(len(found), maxViolationsPerCheck)] {
			out = append(out, c.id+": "+v)
		}
	}
	return out
}

// runsOnRequestedAdapter checks that requests run on the requested adapter version, or on a default that was in
// force meanwhile, and that answers name it.
func (o *oracle) runsOnRequestedAdapter(*system) (out []string) {
	for _, r := range o.runs {
		s := o.sent[r.request]
		if s == nil {
			continue
		}
		want := adapter.Parse(s.model)
		ok := want == r.Adapter
		if want.Version == "" && want.Name == r.Adapter.Name {
			for _, c := range o.inForce(s.sentAt, r.Started) {
				a, _ := object[config.Adapter](c, config.KindAdapter, want.Name)
				ok = ok || a.Default == r.Adapter.Version
			}
		}
		if !ok {
			out = append(out, fmt.Sprintf("request %s ran on adapter %s: %s", r.request, r.Adapter, s))
		}
		if s.succeeded() && strings.Contains(s.text, r.ID) {
			for _, m := range append([]string{s.adapter}, s.models...) {
				if m != r.Adapter.String() {
					out = append(out, fmt.Sprintf("the answer names adapter %s, but the request ran on %s: %s", m, r.Adapter, s))
				}
			}
		}
	}
	return out
}

// noBusyEviction checks that no engine evicted an adapter with requests in flight.
func (o *oracle) noBusyEviction(s *system) (out []string) {
	for i, e := range s.stack.Engines {
		if n := e.EvictedBusy(); n > 0 {
			out = append(out, fmt.Sprintf("engine %d evicted an adapter in use %d times", i+1, n))
		}
	}
	return out
}

// ownWorkspaceOnly checks that adapters and routes run only for keys of their workspace, and open adapters only for
// valid keys or requests without a key.
func (o *oracle) ownWorkspaceOnly(*system) (out []string) {
	mayRun := func(s *sentRequest, owner string, open bool) bool {
		return s.key.workspace == owner || open && (s.key.workspace != "" || s.key.secret == "")
	}
	for _, r := range o.runs {
		s := o.sent[r.request]
		if s == nil {
			continue
		}
		a, ok := object[config.Adapter](o.configs[len(o.configs)-1], config.KindAdapter, r.Adapter.Name)
		if !ok || !mayRun(s, a.Workspace, a.Open) {
			out = append(out, fmt.Sprintf("an adapter of workspace %q ran for %s", a.Workspace, s))
		}
	}
	for _, e := range o.stack.Service.Entries() {
		if s := o.sent[requestIDOf(e.TraceParent)]; s != nil && !mayRun(s, "racks", false) {
			out = append(out, fmt.Sprintf("a route of workspace \"racks\" ran for %s", s))
		}
	}
	return out
}

// withdrawnKeysStop checks that nothing is submitted, executed or sent to the caller for a key that was withdrawn
// more than withdrawnBound ago.
func (o *oracle) withdrawnKeysStop(*system) (out []string) {
	late := func(s *sentRequest, at time.Time) bool {
		w, ok := o.withdrawnAt(s.key.id)
		return ok && at.After(w.Add(withdrawnBound))
	}
	for _, r := range o.runs {
		if s := o.sent[r.request]; s != nil && late(s, r.Submitted) {
			out = append(out, fmt.Sprintf("a run was submitted at %s: %s", o.sinceStart(r.Submitted), s))
		}
	}
	for _, e := range o.stack.Service.Entries() {
		if s := o.sent[requestIDOf(e.TraceParent)]; s != nil && late(s, e.At.Add(-serviceDelay)) {
			out = append(out, fmt.Sprintf("a call was executed at %s: %s", o.sinceStart(e.At), s))
		}
	}
	for _, s := range o.sent {
		if s.status == http.StatusOK && late(s, s.lastByte) {
			out = append(out, fmt.Sprintf("the caller received bytes at %s: %s", o.sinceStart(s.lastByte), s))
		}
	}
	return out
}

// rateLimitsHold checks every window from the sending of one request to the answer to another. All requests that
// were sent and answered in a window were admitted in it. Their tokens are at most the sum of the burst, the rate
// times the window, and the reserved tokens that requests admitted earlier returned in the window.
func (o *oracle) rateLimitsHold(*system) (out []string) {
	byWorkspace := map[string][]*sentRequest{}
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
			from, used, returned := first.sentAt, 0, 0
			for _, s := range list {
				if !s.succeeded() {
					if s.sentAt.Before(from) {
						returned += s.reserved
					}
					continue
				}
				if s.sentAt.Before(from) {
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
					out = append(out, fmt.Sprintf("workspace %s used %d tokens in %s from %s, want at most %.0f", workspace, used, window, o.sinceStart(from), most))
				}
			}
		}
	}
	return out
}

// answersComplete checks that successful answers are complete and belong to their request, and that all answers to
// one idempotency key are the same.
func (o *oracle) answersComplete(*system) (out []string) {
	answers := map[string]*sentRequest{}
	executed := map[string]bool{}
	for _, e := range o.stack.Service.Entries() {
		executed[fmt.Sprint(e.Number, e.Body)] = true
	}
	for _, s := range o.sent {
		if !s.succeeded() {
			continue
		}
		if s.kind == kindComplete || s.kind == kindStream {
			if fault := o.answerFault(s); fault != "" {
				out = append(out, fmt.Sprintf("%s: %s: %q", fault, s, s.text))
			}
			continue
		}
		var e service.Entry
		if json.Unmarshal([]byte(s.text), &e) != nil || e.Body != s.body || !executed[fmt.Sprint(e.Number, e.Body)] {
			out = append(out, fmt.Sprintf("the answer %q does not belong to the call %q: %s", s.text, s.body, s))
		}
		if other := answers[s.idempotencyKey]; s.idempotencyKey != "" && other != nil && other.text != s.text {
			out = append(out, fmt.Sprintf("two answers to one idempotency key: %q and %q: %s", other.text, s.text, s))
		}
		answers[s.idempotencyKey] = s
	}
	return out
}

// answerFault checks that a completion contains every token of a single run of the request. It returns the fault, or
// an empty string.
func (o *oracle) answerFault(s *sentRequest) string {
	tokens := strings.Fields(s.text)
	if len(tokens) != s.maxTokens {
		return fmt.Sprintf("the answer has %d of %d tokens", len(tokens), s.maxTokens)
	}
	for i, token := range tokens {
		parts := strings.Split(token, "/")
		if len(parts) != 3 || parts[2] != fmt.Sprint(i) {
			return fmt.Sprintf("token %d of the answer is %q", i, token)
		}
		if r := o.byID[parts[1]]; r.request != s.id || parts[1] != strings.Split(tokens[0], "/")[1] {
			return fmt.Sprintf("token %d is from another run, of request %q", i, r.request)
		}
	}
	return ""
}

// notRunIsTrue checks that no request with the verdict not-run was run.
func (o *oracle) notRunIsTrue(*system) (out []string) {
	saysNotRun := func(s *sentRequest) bool { return s != nil && s.done && s.verdict == "not-run" }
	for _, r := range o.runs {
		if s := o.sent[r.request]; saysNotRun(s) {
			out = append(out, fmt.Sprintf("the request ran on %s at %s: %s", r.address, o.sinceStart(r.Started), s))
		}
	}
	for _, e := range o.stack.Service.Entries() {
		if s := o.sent[requestIDOf(e.TraceParent)]; saysNotRun(s) {
			out = append(out, fmt.Sprintf("the call was executed at %s: %s", o.sinceStart(e.At), s))
		}
	}
	return out
}

// atMostOnce checks that no lot is logged twice with one idempotency key.
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

// leavingServersGetNothing checks that no request is submitted to an engine that has been leaving for more than
// leavingBound, by its own report or by the configuration.
func (o *oracle) leavingServersGetNothing(*system) (out []string) {
	for _, r := range o.runs {
		spans := slices.Clone(o.leaving[r.address])
		id := "engine-" + strings.TrimSuffix(strings.TrimPrefix(r.address, "engine"), ":1")
		for i, c := range o.configs {
			if b, _ := object[config.BackendServer](c, config.KindBackendServer, id); !b.Leaving {
				continue
			}
			before := acceptedConfig{}
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
				out = append(out, fmt.Sprintf("engine %s got request %s at %s, but has been leaving since %s", r.address, r.request, o.sinceStart(r.Submitted),
					o.sinceStart(span.from.Add(-leavingBound))))
			}
		}
	}
	return out
}

// gracefulStops checks that no connection of a caller breaks unless its instance was killed, cut off or withdrawn. It
// also checks that a request on a draining instance succeeds or is refused if no failure occurs meanwhile.
func (o *oracle) gracefulStops(s *system) (out []string) {
	for _, q := range o.sent {
		if !q.done || q.dialRefused {
			continue
		}
		disturbed := slices.ContainsFunc(o.faults, func(i interval) bool { return i.overlaps(q.sentAt, q.ended) })
		broken := q.err != nil || q.status == http.StatusOK && !q.complete && q.verdict == ""
		if errors.Is(q.err, context.DeadlineExceeded) {
			// The caller timed out, which may happen only because of a fault.
			broken = !disturbed
		}
		if broken && !slices.ContainsFunc(o.disconnects[q.instance.name], func(i interval) bool { return i.overlaps(q.sentAt, q.ended) }) {
			out = append(out, fmt.Sprintf("a connection broke: %s", q))
		}
		at, drains := o.draining[q.instance.name]
		if drains && !at.After(q.ended) && !disturbed && q.verdict == "may-have-run" && q.code != "key_withdrawn" {
			out = append(out, fmt.Sprintf("a request failed on a draining instance: %s", q))
		}
	}
	return out
}

// configInForce checks that instances serve with accepted configurations only, and with none that was replaced more
// than configBound ago.
func (o *oracle) configInForce(s *system) (out []string) {
	if len(o.configs) == 0 {
		return nil
	}
	due := config.Version(0)
	byVersion := map[config.Version]acceptedConfig{0: {}}
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
			out = append(out, fmt.Sprintf("%s serves with version %d, which was not accepted", i.name, v.Version()))
		case v.Version() < due:
			out = append(out, fmt.Sprintf("%s serves with version %d, but version %d was accepted at %s", i.name, v.Version(), due, o.sinceStart(byVersion[due].at)))
		case !sameObjects(v.Document(), known.objects):
			out = append(out, fmt.Sprintf("%s serves with a content of version %d that differs from the log's", i.name, v.Version()))
		}
	}
	return out
}

// sameObjects reports whether a configuration consists of the wanted objects.
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

// sinceStart formats a time as the duration since the start of the test case.
func (o *oracle) sinceStart(t time.Time) string { return t.Sub(o.start).String() }

// traceParentOf encodes a request's id in a trace context, which the instance passes on to the plain service.
func traceParentOf(id string) string { return fmt.Sprintf("00-%032x-%016x-01", []byte(id), 1) }

// requestIDOf decodes the id in a trace context, or returns an empty string.
func requestIDOf(trace string) string {
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
