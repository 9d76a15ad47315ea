package daemon

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/turmericworks/turmericworks/internal/coordination/action"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/tail"
)

const (
	// keyFutureSkew is how far a key's creation time may lie in the future, since callers' clocks differ.
	keyFutureSkew = 5 * time.Second
	// batchRecords and batchBytes bound the size of one append.
	batchRecords = 256
	batchBytes   = 512 << 10
	// batchInstances and batchAppendsPerSecond determine how long a record waits for others in its batch:
	// seven instances then make at most 300 appends a second, of the several hundred that the log service
	// accepts.
	batchInstances        = 7
	batchAppendsPerSecond = 300
	// stopAnswerTimeout bounds the wait for the answer of a call on an instance that stops.
	stopAnswerTimeout = 500 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
)

// errActionLogUnavailable refuses a non-idempotent call while its intent cannot be recorded.
var errActionLogUnavailable = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "log_unavailable",
	"calls that may not be repeated cannot be recorded now").WithRetryAfter(2 * time.Second)

// actions runs non-idempotent calls. Lock order: mu is taken before the lock of control.
type actions struct {
	daemon *Daemon
	rule   intent.KeyRule
	tail   *tail.Tail

	mu      sync.Mutex
	ctx     context.Context
	fold    *intent.Fold
	atTail  bool
	logDown bool
	batcher *action.Batcher
	// recordAdded wakes Serve after a record was added to the batcher.
	recordAdded chan struct{}
	// pending holds the calls that wait for the result of an append, in the order of their records.
	pending []appendWaiter
	calls   map[*actionCall]struct{}
	// stopping is set once callers are answered at once, at the end of a planned stop.
	stopping bool
}

// appendWaiter is a call that waits for its records to be appended.
type appendWaiter struct {
	call   *actionCall
	serial int
	count  int
}

// actionCall is one call in progress. It continues after its caller has left, until its outcome is
// recorded.
type actionCall struct {
	actions *actions
	call    *action.Call
	key     intent.Key
	created int64
	entry   entry.ServiceCall
	// held are the responses of the call, until both the call and the caller's request have ended.
	held    *guard.Held
	events  chan action.Event
	changed chan struct{}
	result  chan actionResult
}

type actionResult struct {
	response backend.ServiceResponse
	err      error
}

func newActions(d *Daemon) *actions {
	a := &actions{
		daemon: d, ctx: context.Background(), calls: map[*actionCall]struct{}{}, recordAdded: make(chan struct{}, 1),
		rule: intent.KeyRule{Retention: d.settings.Platform.Retention(), FutureSkew: keyFutureSkew},
		batcher: action.NewBatcher(action.BatchLimits{
			Records: batchRecords, Bytes: batchBytes, Linger: action.LingerFor(batchInstances, batchAppendsPerSecond),
		}),
	}
	a.fold = intent.NewFold(a.rule)
	a.tail = tail.New(d.platformLog, platform.StreamActions, 0, tail.Handlers{
		Records: a.records, Gap: func(uint64) {}, AtTail: a.reachedTail, Unavailable: a.unavailable,
	})
	return a
}

// addTo adds the stream's reader and the appender to a supervisor.
func (a *actions) addTo(s *suture.Supervisor) {
	s.Add(a.tail)
	s.Add(a)
}

// Serve appends due batches until the context ends. It implements suture.Service.
func (a *actions) Serve(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.recordAdded:
		case <-t.C:
		}
		a.mu.Lock()
		a.flush(a.batcher.Tick(time.Now()))
		if due, ok := a.batcher.Due(); ok {
			t.Reset(time.Until(due))
		}
		a.mu.Unlock()
	}
}

// flush appends a batch in the background. The caller holds the lock.
func (a *actions) flush(batch []record.Envelope) {
	if len(batch) == 0 {
		return
	}
	var waiters []appendWaiter
	for left := len(batch); left > 0; {
		w := a.pending[0]
		a.pending = a.pending[1:]
		left -= w.count
		waiters = append(waiters, w)
	}
	go a.append(a.ctx, batch, waiters)
}

func (a *actions) append(ctx context.Context, batch []record.Envelope, waiters []appendWaiter) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	status := action.Appended
	if _, err := a.tail.Append(ctx, batch); err != nil {
		status = action.AppendUnknown
	}
	for _, w := range waiters {
		w.call.send(action.AppendResult{Serial: w.serial, Status: status})
	}
}

func (a *actions) records(entries []record.Entry, _ uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		a.fold.Apply(e)
	}
	a.notifyLocked()
}

// notifyLocked makes every call read the current state again. The caller holds the lock.
func (a *actions) notifyLocked() {
	for c := range a.calls {
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
}

// notifyAll is notifyLocked for callers that do not hold the lock, after a change of the lease or the
// members.
func (a *actions) notifyAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notifyLocked()
}

func (a *actions) reachedTail(time.Time, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.atTail, a.logDown = true, false
}

func (a *actions) unavailable(error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.logDown = true
}

// inProgress returns the number of calls whose outcome is not recorded yet.
func (a *actions) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

// view returns the state that decides about a call, as this instance knows it. The caller holds the lock.
func (a *actions) view(key intent.Key, intentID string, created int64) action.View {
	state := a.fold.Lookup(key)
	return action.View{
		State: state, IntentIneligible: a.fold.Ineligible(key, intentID), KeyExpired: a.fold.Expired(created),
		LeaseValid: a.daemon.control.valid(), DispatcherGone: a.daemon.control.membershipEnded(state.Dispatcher),
	}
}

// run runs a call and returns its answer.
func (a *actions) run(ctx context.Context, c entry.ServiceCall) (backend.ServiceResponse, error) {
	created, err := intent.CreationTime(c.IdempotencyKey, c.KeyCreated)
	if err != nil {
		return backend.ServiceResponse{}, err
	}
	if err := a.rule.Check(created, time.Now()); err != nil {
		return backend.ServiceResponse{}, err
	}
	ac, err := a.start(ctx, c, created)
	if err != nil {
		return backend.ServiceResponse{}, err
	}
	select {
	case r := <-ac.result:
		return r.response, r.err
	case <-ctx.Done():
	}
	if a.isStopping() {
		// The call's loop answers at once, and knows whether the call was dispatched.
		t := time.NewTimer(stopAnswerTimeout)
		defer t.Stop()
		select {
		case r := <-ac.result:
			return r.response, r.err
		case <-t.C:
		}
	}
	return backend.ServiceResponse{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, http.StatusGatewayTimeout,
		"caller_gone", "the caller left before the outcome")
}

// stop answers the callers of all calls, at the end of a planned stop. It must be called before the requests are cancelled.
func (a *actions) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	for c := range a.calls {
		c.send(action.Stop{})
	}
}

func (a *actions) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}

func (a *actions) start(ctx context.Context, c entry.ServiceCall, created time.Time) (*actionCall, error) {
	key := intent.Key{Workspace: c.Workspace, Route: c.RouteName, Hash: intent.Hash([]byte(c.IdempotencyKey))}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.atTail || a.logDown && !a.fold.Lookup(key).Known() {
		return nil, errActionLogUnavailable
	}
	ac := &actionCall{
		actions: a, key: key, created: created.UnixMilli(), entry: c, events: make(chan action.Event, 16),
		changed: make(chan struct{}, 1), result: make(chan actionResult, 1),
	}
	call, acts := action.New(action.Request{
		Key: key, BodyHash: callHash(c.Request), Created: created, ID: c.RequestID,
		Incarnation: a.daemon.opts.Incarnation, Deadline: c.Deadline,
	}, action.Timing{}, time.Now(), a.view(key, "", created.UnixMilli()))
	ac.call = call
	a.calls[ac] = struct{}{}
	ac.held = guard.HeldFor(ctx).Retain()
	go ac.loop(acts)
	return ac, nil
}

// callHash returns the hash by which two calls with the same key are compared.
func callHash(r backend.ServiceRequest) string {
	return intent.Hash(bytes.Join([][]byte{[]byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body}, []byte{0}))
}

// send passes an event to the call's loop, unless the loop has ended.
func (c *actionCall) send(e action.Event) {
	select {
	case c.events <- e:
	default:
		// The loop has at most one append and one dispatch in progress, so the channel is full only
		// after the loop has ended.
	}
}

// loop passes events to the call's state machine and executes the resulting actions until the call has
// finished.
func (c *actionCall) loop(acts []action.Action) {
	a := c.actions
	defer c.held.Release()
	defer func() {
		a.mu.Lock()
		delete(a.calls, c)
		a.mu.Unlock()
	}()
	c.execute(acts)
	for !c.call.Finished() {
		event, ok := c.wait()
		if !ok {
			return
		}
		c.execute(c.call.Step(time.Now(), event))
	}
}

// wait returns the next event, or false when the instance stops.
func (c *actionCall) wait() (action.Event, bool) {
	var wake <-chan time.Time
	if at, ok := c.call.WakeAt(); ok {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		wake = t.C
	}
	a := c.actions
	a.mu.Lock()
	ctx := a.ctx
	a.mu.Unlock()
	select {
	case e := <-c.events:
		return e, true
	case <-c.changed:
	case <-wake:
	case <-ctx.Done():
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return action.ViewUpdate{View: a.view(c.key, c.call.IntentID(), c.created)}, true
}

func (c *actionCall) execute(acts []action.Action) {
	for _, act := range acts {
		switch x := act.(type) {
		case action.Append:
			c.append(x)
		case action.Dispatch:
			c.held.Retain()
			go c.dispatch()
		case action.Respond:
			c.result <- actionResult{response: backend.ServiceResponse{
				Status: x.Answer.Status, Header: http.Header(x.Answer.Header), Body: x.Answer.Body,
			}}
		case action.Fail:
			c.result <- actionResult{err: x.Err}
		}
	}
}

func (c *actionCall) append(x action.Append) {
	a := c.actions
	a.mu.Lock()
	defer a.mu.Unlock()
	full := a.batcher.Add(time.Now(), x.Records)
	a.pending = append(a.pending, appendWaiter{call: c, serial: x.Serial, count: len(x.Records)})
	for _, batch := range full {
		a.flush(batch)
	}
	select {
	case a.recordAdded <- struct{}{}:
	default:
	}
}

// dispatch sends the call to its service. It continues after the caller has left, since the outcome must
// be recorded. The lease is checked again, since the process may have been paused after the decision to send.
func (c *actionCall) dispatch() {
	defer c.held.Release()
	if !c.actions.daemon.control.valid() {
		c.send(action.DispatchResult{Result: intent.NotRun})
		return
	}
	ctx, cancel := context.WithDeadline(c.held.Context(context.Background()), c.entry.Deadline)
	defer cancel()
	answer, err := dispatch.CallService(ctx, c.actions.daemon.fleet.Services(c.entry.Route.Service), c.entry.Request)
	if err == nil {
		c.send(action.DispatchResult{Result: intent.Ran, Answer: &intent.Answer{
			Status: answer.Status, Header: answer.Header, Body: answer.Body,
		}})
		return
	}
	result := intent.Unknown
	if verdict.FromError(err).Verdict == verdict.NotRun {
		result = intent.NotRun
	}
	c.send(action.DispatchResult{Result: result})
}
