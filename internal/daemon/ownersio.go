package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/slots"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

const (
	loadOp = ownership.Load

	// loadTimeout is how long a requester waits for a load before it tries another engine.
	loadTimeout = 30 * time.Second
	// ownerTimeout is how long a requester waits until an owner of the engine accepts the request.
	ownerTimeout = 2 * time.Second
	// ownerRetryInterval is the pause before the owner is asked again after it did not accept.
	ownerRetryInterval = 100 * time.Millisecond
	// maxOrderAge is the age above which an order is dropped instead of sent. If the process was paused
	// for longer, the slot may have been given to another order after the quarantine.
	maxOrderAge = slots.DefaultQuarantine / 2
)

// slotPeers sends messages about engine slots to other instances by address.
type slotPeers interface {
	Retire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error)
	Unretire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error)
	WantAdapter(ctx context.Context, addr string, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error)
	InFlight(ctx context.Context, addr string, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error)
}

// execute returns a function that executes an action. The caller holds the lock; the function must be
// called without it.
func (o *owners) execute(engine string, a slots.Action, decided time.Time) func() {
	ctx := o.ctx
	switch a := a.(type) {
	case slots.Append:
		return func() { o.daemon.control.appendRecord(ctx, a.Record) }
	case slots.SendRetire:
		return func() { o.sendRetire(ctx, a.Member, a.Retire, true) }
	case slots.SendUnretire:
		return func() { o.sendRetire(ctx, a.Member, a.Retire, false) }
	case slots.SendInFlightQuery:
		return func() { o.sendInFlight(ctx, a.Member, a.InFlightQuery) }
	case slots.SendNoop:
		return func() { o.sendNoop(ctx, engine, a) }
	case slots.SendOrder:
		return func() { o.sendOrder(ctx, engine, a, decided) }
	default:
		return func() {}
	}
}

// memberAddress is address for callers that do not hold the lock.
func (c *control) memberAddress(incarnation string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address(incarnation)
}

// sendRetire sends a Retire or an Unretire to a member. If the response is lost, the owner sends it again.
func (o *owners) sendRetire(ctx context.Context, member string, m slots.Retire, retire bool) {
	if member == o.daemon.opts.Incarnation {
		if reply, ok := o.daemon.control.handleRetire(m, retire); ok {
			o.handleEvent(m.Engine, reply)
		}
		return
	}
	address := o.daemon.control.memberAddress(member)
	if address == "" {
		return
	}
	send := o.peers.Unretire
	if retire {
		send = o.peers.Retire
	}
	response, err := send(ctx, address, &peerpb.RetireRequest{
		Engine: m.Engine, Adapter: m.Adapter.String(), Fence: m.Fence, Round: m.Round,
	})
	if err == nil && response.GetApplied() {
		o.handleEvent(m.Engine, slots.RetireReply{Retire: m, Member: response.GetMember(), InFlight: int(response.GetInFlight())})
	}
}

func (o *owners) sendInFlight(ctx context.Context, member string, m slots.InFlightQuery) {
	if member == o.daemon.opts.Incarnation {
		if reply, ok := o.daemon.control.handleInFlightQuery(m); ok {
			o.handleEvent(m.Engine, reply)
		}
		return
	}
	address := o.daemon.control.memberAddress(member)
	if address == "" {
		return
	}
	response, err := o.peers.InFlight(ctx, address, &peerpb.InFlightRequest{Engine: m.Engine, Fence: m.Fence})
	if err != nil || !response.GetApplied() {
		return
	}
	reply := slots.InFlightReply{InFlightQuery: m, Member: response.GetMember(), Counts: map[adapter.Ref]int{}}
	for name, n := range response.GetInFlight() {
		reply.Counts[adapter.Parse(name)] = int(n)
	}
	o.handleEvent(m.Engine, reply)
}

// sendNoop sends an engine an order that loads nothing, which informs it of the fence.
func (o *owners) sendNoop(ctx context.Context, engine string, a slots.SendNoop) {
	e := o.daemon.fleet.Engine(engine)
	if e != nil && e.Client.Load(ctx, backend.Order{Fence: a.Fence}) == nil {
		o.handleEvent(engine, slots.NoopResult(a))
	}
}

// sendOrder sends an order once, without retries.
func (o *owners) sendOrder(ctx context.Context, engine string, a slots.SendOrder, decided time.Time) {
	status := slots.OrderRefused
	if e := o.daemon.fleet.Engine(engine); e != nil && time.Since(decided) < maxOrderAge {
		order := backend.Order{Adapter: a.Adapter, Fence: a.Fence, IfIdle: a.IfIdle}
		send := e.Client.Evict
		if a.Op == loadOp {
			send = e.Client.Load
		}
		status = orderStatus(send(ctx, order))
	}
	o.recordOrderResult(engine, a, status, time.Since(decided))
	o.handleEvent(engine, slots.OrderResult{Fence: a.Fence, Seq: a.Seq, Status: status})
}

// orderStatus returns the status of an order. Only a refusal by the engine, or a failure to connect, shows
// that the order had no effect.
func orderStatus(err error) slots.OrderStatus {
	switch {
	case err == nil:
		return slots.OrderDone
	case verdict.FromError(err).Verdict == verdict.NotRun:
		return slots.OrderRefused
	default:
		return slots.OrderUnknown
	}
}

// cancelUnconfirmed asks engines to stop the requests whose connection broke. Requests on an engine that
// cannot be reached are tried again at the next tick.
func (o *owners) cancelUnconfirmed(ctx context.Context) {
	for _, r := range o.daemon.gate.takeUnconfirmed() {
		go func() {
			err := r.engine.Client.Cancel(ctx, r.id)
			o.daemon.gate.recordCancellation(r, dispatch.CancelConfirmed(err))
		}()
	}
}

// acceptWant accepts a request for an adapter version on an engine and waits up to wantAnswerTimeout for
// the load to end.
func (o *owners) acceptWant(ctx context.Context, r *peerpb.WantAdapterRequest) *peerpb.WantAdapterResponse {
	w, sends := o.addWant(r)
	if w == nil {
		return &peerpb.WantAdapterResponse{}
	}
	runAsync(sends)
	t := time.NewTimer(wantAnswerTimeout)
	defer t.Stop()
	select {
	case <-w.ended:
	case <-t.C:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return &peerpb.WantAdapterResponse{
		Accepted: true, Ended: w.hasEnded(), Resident: w.resident, Charged: w.sent && w.payer == r.GetFromIncarnation(),
	}
}

// addWant records a request for an adapter version and returns functions that do the resulting I/O. It returns no want if
// this instance does not accept loads for the engine.
func (o *owners) addWant(r *peerpb.WantAdapterRequest) (*want, []func()) {
	a := adapter.Parse(r.GetAdapter())
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[r.GetEngine()]
	if e == nil || !e.configured || !e.owner.Owns() || o.stopping && !r.GetAgain() {
		return nil, nil
	}
	now := time.Now()
	w := e.wants[a]
	if w == nil || w.hasEnded() && !r.GetAgain() {
		w = &want{victim: adapter.Parse(r.GetVictim()), payer: r.GetFromIncarnation(), requestedAt: now, ended: make(chan struct{})}
		e.wants[a] = w
	}
	w.expires = now.Add(wantTTL)
	if w.hasEnded() {
		return w, nil
	}
	return w, o.step(e, slots.Wanted{Adapter: a})
}

// errNoOwner means that no instance accepts loads for the engine at present.
var errNoOwner = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_owner", "no instance accepts loads for the engine")

// errLoadFailed means that the engine's owner could not load the adapter version.
var errLoadFailed = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "load_failed", "the adapter version could not be loaded")

// Load implements dispatch.Loader. If the owner is lost after it accepted the load, the load counts as
// charged, since the owner may have ordered it.
func (o *owners) Load(ctx context.Context, e *fleet.Engine, a, victim adapter.Ref) (charged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r := &peerpb.WantAdapterRequest{
		Engine: e.ID, Adapter: a.String(), Victim: victim.String(), FromIncarnation: o.daemon.opts.Incarnation,
	}
	for start := time.Now(); ctx.Err() == nil; {
		response, err := o.askOwner(ctx, r)
		switch {
		case err == nil && response.GetEnded() && response.GetResident():
			return response.GetCharged(), nil
		case err == nil && response.GetEnded():
			return response.GetCharged(), errLoadFailed
		case err == nil && response.GetAccepted():
			r.Again = true
		case time.Since(start) > ownerTimeout:
			return r.Again, errNoOwner
		default:
			pauseFor(ctx, ownerRetryInterval)
		}
	}
	return r.Again, errLoadFailed
}

// askOwner requests a load from the engine's owner, which may be this instance.
func (o *owners) askOwner(ctx context.Context, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	c := o.daemon.control
	c.mu.Lock()
	owner := c.ownership.Engine(r.GetEngine()).Owner
	address := c.address(owner)
	c.mu.Unlock()
	switch {
	case owner == o.daemon.opts.Incarnation:
		return o.acceptWant(ctx, r), nil
	case address == "":
		return &peerpb.WantAdapterResponse{}, nil
	}
	return o.peers.WantAdapter(ctx, address, r)
}

// WantAdapter implements peer.Slots.
func (o *owners) WantAdapter(ctx context.Context, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return o.acceptWant(ctx, r), nil
}

// Retire implements peer.Slots.
func (o *owners) Retire(_ context.Context, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return o.answerRetire(r, true), nil
}

// Unretire implements peer.Slots.
func (o *owners) Unretire(_ context.Context, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return o.answerRetire(r, false), nil
}

func (o *owners) answerRetire(r *peerpb.RetireRequest, retire bool) *peerpb.RetireResponse {
	reply, ok := o.daemon.control.handleRetire(slots.Retire{
		Engine: r.GetEngine(), Adapter: adapter.Parse(r.GetAdapter()), Fence: r.GetFence(), Round: r.GetRound(),
	}, retire)
	return &peerpb.RetireResponse{Applied: ok, Member: reply.Member, InFlight: int64(reply.InFlight)}
}

// InFlight implements peer.Slots.
func (o *owners) InFlight(_ context.Context, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error) {
	reply, ok := o.daemon.control.handleInFlightQuery(slots.InFlightQuery{Engine: r.GetEngine(), Fence: r.GetFence()})
	counts := make(map[string]int64, len(reply.Counts))
	for a, n := range reply.Counts {
		counts[a.String()] = int64(n)
	}
	return &peerpb.InFlightResponse{Applied: ok, Member: reply.Member, InFlight: counts}, nil
}
