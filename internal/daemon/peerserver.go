package daemon

import (
	"context"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
)

// Heartbeat implements peer.Shares.
func (c *control) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	d := c.daemon
	d.events.observeHLC(r.GetHlc())
	response, service := c.answerHeartbeat(r)
	if len(service) > 0 {
		d.scheduler.MergePeerService(r.GetIncarnation(), service)
	}
	return response, nil
}

// answerHeartbeat records what a peer's heartbeat reports. It returns the answer and the service that the peer has given to
// each workspace, if that is known.
func (c *control) answerHeartbeat(r *peerpb.HeartbeatRequest) (response *peerpb.HeartbeatResponse, service map[string]float64) {
	d := c.daemon
	c.mu.Lock()
	defer c.mu.Unlock()
	response = &peerpb.HeartbeatResponse{
		Instance: d.settings.Instance, Incarnation: d.opts.Incarnation,
		Positions: peer.PositionMessages(c.positions), Hlc: d.events.hlcNow(),
	}
	response.LeaseValid = c.lease.Valid(c.now())
	ended := c.members.Ended(r.GetIncarnation())
	response.Withdrawn = ended
	if !ended {
		now := c.now()
		position := peer.Positions(r.GetPositions())[lease.Control]
		c.view.RecordHeartbeat(now, r.GetInstance(), r.GetIncarnation(), position, r.GetSilent())
		c.recordPeerState(r)
		c.settlement.RecordPosition(r.GetIncarnation(), position)
		reports, missing := c.peerStates[r.GetInstance()].reports.Receive(peer.ReportMessage(r))
		c.shares.RecordPeerReports(now, r.GetIncarnation(), reports)
		response.ReportsMissing = missing
		if !missing {
			// While reports are missing, the service is not merged: the scheduler would treat a workspace that a
			// later report adds as one that started at zero on this peer.
			service = localService(reports)
		}
		if r.GetWantPromise() && c.members.Active(d.opts.Incarnation) {
			response.Promised = c.promises.Answer(now, r.GetIncarnation(), c.members.Active(r.GetIncarnation()))
		}
	}
	return response, service
}

// recordPeerState records the state that a peer reports in its heartbeat. The caller holds the lock.
func (c *control) recordPeerState(r *peerpb.HeartbeatRequest) {
	before := c.peerStates[r.GetInstance()]
	if before.incarnation != r.GetIncarnation() || before.reports == nil {
		before.reports = shares.NewReportReceiver()
	}
	c.peerStates[r.GetInstance()] = peerState{
		incarnation: r.GetIncarnation(), config: peer.Positions(r.GetPositions())[lease.Config],
		ready: r.GetReady(), leaseValid: r.GetLeaseValid(), reports: before.reports,
	}
}

func localService(reports []shares.Report) map[string]float64 {
	service := make(map[string]float64, len(reports))
	for _, r := range reports {
		service[r.Workspace] = r.LocalService
	}
	return service
}

// Transfer implements peer.Shares.
func (c *control) Transfer(_ context.Context, r *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := c.shares.Receive(c.now(), peer.Transfer(r))
	if accepted {
		c.wakeWaiters()
	}
	return &peerpb.TransferResponse{Accepted: accepted}, nil
}

// RequestShare implements peer.Shares. The granted parts and tokens follow in a transfer.
func (c *control) RequestShare(_ context.Context, r *peerpb.ShareRequest) (*peerpb.ShareResponse, error) {
	t, address, ok := c.grantShare(r)
	if !ok {
		return &peerpb.ShareResponse{Incarnation: c.daemon.opts.Incarnation}, nil
	}
	if address != "" {
		// The transfer must not end with the call that requested it.
		go c.sendTransfer(context.Background(), address, t)
	}
	return &peerpb.ShareResponse{
		Number: t.Number, Parts: t.Parts, Microtokens: t.Microtokens, Incarnation: c.daemon.opts.Incarnation,
	}, nil
}

// grantShare returns the transfer that a peer's request for a share leads to, and where to send it.
func (c *control) grantShare(r *peerpb.ShareRequest) (t ledger.Transfer, address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok = c.shares.HandleShareRequest(c.now(), peer.ShareRequest(r), r.GetFromIncarnation()); ok {
		address = c.address(t.To)
	}
	return t, address, ok
}

// FrozenCounters implements peer.Shares.
func (c *control) FrozenCounters(_ context.Context, r *peerpb.FrozenCountersRequest) (*peerpb.FrozenCountersResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	net, frozen := c.settlement.FrozenCounters(c.now(), r.GetWithdrawnIncarnations())
	return &peerpb.FrozenCountersResponse{
		Incarnation: c.daemon.opts.Incarnation, Frozen: frozen, Counters: peer.CounterMessages(net),
	}, nil
}
