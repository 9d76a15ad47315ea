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
	// loadPatience is how long an asker waits for a load before it tries another engine.
	loadPatience = 30 * time.Second
	// ownerPatience is how long an asker waits for an engine to have an owner that answers.
	ownerPatience = 2 * time.Second
	// ownerRetry is the pause before the owner is asked again after it did not accept.
	ownerRetry = 100 * time.Millisecond
	// sendWithin is how old an order may be when it is sent. A process that was paused longer drops
	// it: its slot may have been given to another order after the quarantine.
	sendWithin = slots.DefaultQuarantine / 2
)

// slotPeers sends messages about engine slots to other instances by address.
type slotPeers interface {
	Retire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error)
	Unretire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error)
	WantAdapter(ctx context.Context, addr string, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error)
	InFlight(ctx context.Context, addr string, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error)
}

// do returns the function that carries an action out. The caller holds the lock; the function must be
// called without it.
func (o *owners) do(engine string, a slots.Action, decided time.Time) func() {
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

// memberAddress returns where a member is reached, or an empty string.
func (c *control) memberAddress(incarnation string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address(incarnation)
}

// sendRetire sends a Retire or an Unretire to a member. A lost answer is asked for again by the owner.
func (o *owners) sendRetire(ctx context.Context, member string, m slots.Retire, retire bool) {
	if member == o.daemon.opts.Incarnation {
		if reply, ok := o.daemon.control.retire(m, retire); ok {
			o.event(m.Engine, reply)
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
	answer, err := send(ctx, address, &peerpb.RetireRequest{
		Engine: m.Engine, Adapter: m.Adapter.String(), Fence: m.Fence, Round: m.Round,
	})
	if err == nil && answer.GetApplied() {
		o.event(m.Engine, slots.RetireReply{Retire: m, Member: answer.GetMember(), InFlight: int(answer.GetInFlight())})
	}
}

func (o *owners) sendInFlight(ctx context.Context, member string, m slots.InFlightQuery) {
	if member == o.daemon.opts.Incarnation {
		if reply, ok := o.daemon.control.askInFlight(m); ok {
			o.event(m.Engine, reply)
		}
		return
	}
	address := o.daemon.control.memberAddress(member)
	if address == "" {
		return
	}
	answer, err := o.peers.InFlight(ctx, address, &peerpb.InFlightRequest{Engine: m.Engine, Fence: m.Fence})
	if err != nil || !answer.GetApplied() {
		return
	}
	reply := slots.InFlightReply{InFlightQuery: m, Member: answer.GetMember(), Counts: map[adapter.Ref]int{}}
	for name, n := range answer.GetInFlight() {
		reply.Counts[adapter.Parse(name)] = int(n)
	}
	o.event(m.Engine, reply)
}

// sendNoop tells an engine the fence by an order that loads nothing.
func (o *owners) sendNoop(ctx context.Context, engine string, a slots.SendNoop) {
	e := o.daemon.fleet.Engine(engine)
	if e != nil && e.Client.Load(ctx, backend.Order{Fence: a.Fence}) == nil {
		o.event(engine, slots.NoopResult(a))
	}
}

// sendOrder sends an order once.
func (o *owners) sendOrder(ctx context.Context, engine string, a slots.SendOrder, decided time.Time) {
	status := slots.OrderRefused
	if e := o.daemon.fleet.Engine(engine); e != nil && time.Since(decided) < sendWithin {
		order := backend.Order{Adapter: a.Adapter, Fence: a.Fence, IfIdle: a.IfIdle}
		send := e.Client.Evict
		if a.Op == loadOp {
			send = e.Client.Load
		}
		status = orderStatus(send(ctx, order))
	}
	o.orderEvent(engine, a, status, time.Since(decided))
	o.event(engine, slots.OrderResult{Fence: a.Fence, Seq: a.Seq, Status: status})
}

// orderStatus returns the result of an order. Only an answer of the engine, or that no connection was
// obtained, shows that it had no effect.
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

// settleLost asks engines to stop the requests whose connection broke. An engine that cannot be reached
// is asked again at the next tick.
func (o *owners) settleLost(ctx context.Context) {
	for _, l := range o.daemon.gate.takeLost() {
		go func() {
			err := l.engine.Client.Cancel(ctx, l.id)
			o.daemon.gate.asked(l, dispatch.CancelConfirmed(err))
		}()
	}
}

// accept takes a wish for an adapter version on an engine and waits up to wantWait for its end.
func (o *owners) accept(ctx context.Context, r *peerpb.WantAdapterRequest) *peerpb.WantAdapterResponse {
	a := adapter.Parse(r.GetAdapter())
	o.mu.Lock()
	e := o.engines[r.GetEngine()]
	if e == nil || !e.configured || !e.owner.Owns() || o.stopping && !r.GetAgain() {
		o.mu.Unlock()
		return &peerpb.WantAdapterResponse{}
	}
	now := time.Now()
	w := e.wants[a]
	if w == nil || w.over() && !r.GetAgain() {
		w = &want{victim: adapter.Parse(r.GetVictim()), payer: r.GetFromIncarnation(), asked: now, ended: make(chan struct{})}
		e.wants[a] = w
	}
	w.expires = now.Add(wantLife)
	var sends []func()
	if !w.over() {
		sends = o.step(e, slots.Wanted{Adapter: a})
	}
	o.mu.Unlock()
	start(sends)
	t := time.NewTimer(wantWait)
	defer t.Stop()
	select {
	case <-w.ended:
	case <-t.C:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return &peerpb.WantAdapterResponse{
		Accepted: true, Ended: w.over(), Resident: w.resident, Charged: w.sent && w.payer == r.GetFromIncarnation(),
	}
}

// errNoOwner means that no instance accepts loads for the engine now.
var errNoOwner = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_owner", "no instance accepts loads for the engine")

// errLoadFailed means that the engine's owner could not load the adapter version.
var errLoadFailed = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "load_failed", "the adapter version could not be loaded")

// Load implements dispatch.Loader. When the owner is lost after it accepted, the load counts as charged,
// since it may have been ordered.
func (o *owners) Load(ctx context.Context, e *fleet.Engine, a, victim adapter.Ref) (charged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadPatience)
	defer cancel()
	r := &peerpb.WantAdapterRequest{
		Engine: e.ID, Adapter: a.String(), Victim: victim.String(), FromIncarnation: o.daemon.opts.Incarnation,
	}
	for begun := time.Now(); ctx.Err() == nil; {
		answer, err := o.askOwner(ctx, r)
		switch {
		case err == nil && answer.GetEnded() && answer.GetResident():
			return answer.GetCharged(), nil
		case err == nil && answer.GetEnded():
			return answer.GetCharged(), errLoadFailed
		case err == nil && answer.GetAccepted():
			r.Again = true
		case time.Since(begun) > ownerPatience:
			return r.Again, errNoOwner
		default:
			pauseFor(ctx, ownerRetry)
		}
	}
	return r.Again, errLoadFailed
}

// askOwner asks the engine's owner, which may be this instance.
func (o *owners) askOwner(ctx context.Context, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	c := o.daemon.control
	c.mu.Lock()
	owner := c.ownership.Engine(r.GetEngine()).Owner
	address := c.address(owner)
	c.mu.Unlock()
	switch {
	case owner == o.daemon.opts.Incarnation:
		return o.accept(ctx, r), nil
	case address == "":
		return &peerpb.WantAdapterResponse{}, nil
	}
	return o.peers.WantAdapter(ctx, address, r)
}

// WantAdapter implements peer.Slots.
func (o *owners) WantAdapter(ctx context.Context, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return o.accept(ctx, r), nil
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
	reply, ok := o.daemon.control.retire(slots.Retire{
		Engine: r.GetEngine(), Adapter: adapter.Parse(r.GetAdapter()), Fence: r.GetFence(), Round: r.GetRound(),
	}, retire)
	return &peerpb.RetireResponse{Applied: ok, Member: reply.Member, InFlight: int64(reply.InFlight)}
}

// InFlight implements peer.Slots.
func (o *owners) InFlight(_ context.Context, r *peerpb.InFlightRequest) (*peerpb.InFlightResponse, error) {
	reply, ok := o.daemon.control.askInFlight(slots.InFlightQuery{Engine: r.GetEngine(), Fence: r.GetFence()})
	counts := make(map[string]int64, len(reply.Counts))
	for a, n := range reply.Counts {
		counts[a.String()] = int64(n)
	}
	return &peerpb.InFlightResponse{Applied: ok, Member: reply.Member, InFlight: counts}, nil
}
