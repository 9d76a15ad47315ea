package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/membership"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
)

const selfIncarnation = "incarnation-0123456789abcdef-0000"

func incarnation(i int) string { return fmt.Sprintf("incarnation-0123456789abcdef-%04d", i) }

func instanceName(i int) string { return fmt.Sprintf("instance-%04d", i) }

func demandReports(workspaces, round int) []shares.Report {
	out := make([]shares.Report, workspaces)
	for i := range out {
		out[i] = shares.Report{
			Workspace: fmt.Sprintf("workspace-%02d", i), Demand: 1e9 * float64(1+round%2), Free: 5e9, Parts: 100_000,
			LocalService: float64(1000 * round),
		}
	}
	return out
}

// fleetState is the state that one instance keeps about its fleet, without the connections.
type fleetState struct {
	members   *members.Set
	view      *membership.View
	lease     *lease.Lease
	shares    *shares.Manager
	senders   []*shares.ReportSender
	receivers []*shares.ReportReceiver
	list      []membership.ListEntry
	sequence  uint64
	// incarnations holds the incarnation of each member by its number.
	incarnations []string
}

// newFleetState returns the state of the first of n members after it received a heartbeat from each peer.
func newFleetState(n, workspaces int) (*fleetState, error) {
	f := &fleetState{members: members.New(), view: membership.New(instanceName(0), selfIncarnation), lease: lease.New(selfIncarnation)}
	f.shares = shares.New(selfIncarnation, f.members, f.lease)
	now := time.Second
	f.lease.ReadTail(lease.Config, now)
	f.lease.ReadTail(lease.Control, now)
	for i := range n {
		join := members.Join{Instance: instanceName(i), PeerAddr: fmt.Sprintf("10.20.30.40:%d", 10000+i), DataCentre: fmt.Sprintf("dc-%d", i%11)}
		if err := f.apply(i, members.KindJoin, incarnation(i), join); err != nil {
			return nil, err
		}
		f.incarnations = append(f.incarnations, incarnation(i))
		f.list = append(f.list, membership.ListEntry{Instance: join.Instance, PeerAddr: join.PeerAddr, DataCentre: join.DataCentre})
	}
	for i := range workspaces {
		ws := fmt.Sprintf("workspace-%02d", i)
		f.shares.Configure(now, ws, 10_000*shares.Microtokens, 20_000*shares.Microtokens)
		if err := f.apply(n+i, ledger.KindGrant, selfIncarnation, ledger.Grant{Workspace: ws}); err != nil {
			return nil, err
		}
	}
	f.view.SetList(now, f.list)
	f.view.SetMembers(now, f.members.ActiveMembers())
	for i := 1; i < n; i++ {
		f.senders = append(f.senders, shares.NewReportSender())
		f.receivers = append(f.receivers, shares.NewReportReceiver())
	}
	f.receiveHeartbeats(now, 1, workspaces)
	return f, nil
}

func (f *fleetState) apply(offset int, kind record.Kind, inc string, body any) error {
	env, err := record.New(kind, fmt.Sprint(offset), inc, body)
	if err != nil {
		return err
	}
	e := record.Entry{Offset: uint64(offset), Envelope: env}
	f.members.Apply(e)
	f.shares.Apply(time.Second, e)
	return nil
}

// receiveHeartbeats records a heartbeat with all reports from every peer.
func (f *fleetState) receiveHeartbeats(now time.Duration, sequence uint64, workspaces int) {
	reports := demandReports(workspaces, 1)
	for i, r := range f.receivers {
		f.view.RecordHeartbeat(now, f.list[i+1].Instance, f.incarnations[i+1], 0, nil)
		received, _ := r.Receive(shares.ReportMessage{Sequence: sequence, Count: workspaces, Reports: reports})
		f.shares.RecordPeerReports(now, f.incarnations[i+1], received)
	}
}

// runSecond does the work of one second of the control loop without sending messages: ten ticks and two rounds of
// heartbeats.
func (f *fleetState) runSecond(from time.Duration) {
	for tick := range 10 {
		now := from + time.Duration(tick)*100*time.Millisecond
		f.lease.ReadTail(lease.Config, now)
		f.lease.ReadTail(lease.Control, now)
		a := f.view.Tick(now)
		if len(a.Heartbeat) > 0 {
			f.view.SilentMembers(now)
			f.view.Peers(now)
			reports := f.shares.Reports(now)
			for _, s := range f.senders {
				f.sequence++
				m := s.Next(now, f.sequence, reports)
				s.Acknowledged(m.Sequence, "peer", false)
			}
		}
		f.shares.Rebalance(now)
		if tick%3 == 0 { // the daemon's resendInterval
			for _, m := range f.members.ActiveMembers() {
				f.shares.Counters().Pending(m.Incarnation)
			}
		}
		f.updateElectorate()
		f.lease.Valid(now)
	}
}

func (f *fleetState) updateElectorate() {
	var e lease.Electorate
	e.Listed, _ = f.view.RequiredPeers()
	for _, m := range f.members.ActiveMembers() {
		e.Members = append(e.Members, m.Incarnation)
	}
	f.lease.SetElectorate(e)
}

// heartbeatResponder responds to heartbeats like an instance.
type heartbeatResponder struct {
	peer.Shares
	state    *fleetState
	receiver *shares.ReportReceiver
	now      time.Duration
}

// Heartbeat implements peer.Shares. It supports one connection with one call at a time.
func (r *heartbeatResponder) Heartbeat(_ context.Context, q *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	r.now++
	positions := peer.Positions(q.GetPositions())
	r.state.view.RecordHeartbeat(r.now, q.GetInstance(), q.GetIncarnation(), positions[lease.Control], q.GetSilent())
	reports, missing := r.receiver.Receive(peer.ReportMessage(q))
	r.state.shares.RecordPeerReports(r.now, q.GetIncarnation(), reports)
	return &peerpb.HeartbeatResponse{
		Instance: instanceName(0), Incarnation: selfIncarnation, Positions: q.GetPositions(), Hlc: q.GetHlc(), ReportsMissing: missing,
	}, nil
}

func heartbeatMessage(sequence uint64, total int, changed []shares.Report) *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		Instance: instanceName(1), Incarnation: incarnation(1), Hlc: 1<<60 + sequence,
		Positions: peer.PositionMessages(lease.Positions{1 << 24, 1<<24 + sequence}),
		Demand:    peer.DemandMessages(changed), ReportSequence: sequence, ReportCount: uint32(total), Ready: true, LeaseValid: true,
	}
}

// Heartbeats measures one heartbeat and its response over gRPC on loopback without TLS, by the number of reports in it:
// bytes in both directions, and the CPU time of both ends together. In a full mesh, an instance spends that time per
// peer and interval, because it sends one heartbeat and answers one.
func Heartbeats(sizes []int) (bytes, cpu Series, err error) {
	bytes, cpu = Series{Name: "heartbeat-bytes", Per: "report", Unit: "B"}, Series{Name: "heartbeat-cpu", Per: "report", Unit: "us"}
	for _, size := range sizes {
		b, c, err := measureHeartbeat(size)
		if err != nil {
			return bytes, cpu, err
		}
		bytes.Points = append(bytes.Points, Point{float64(size), b})
		cpu.Points = append(cpu.Points, Point{float64(size), c})
	}
	return bytes.fit(), cpu.fit(), nil
}

func measureHeartbeat(reports int) (bytes, cpu float64, err error) {
	state, err := newFleetState(7, reports)
	if err != nil {
		return 0, 0, err
	}
	address, stop, err := peerServer(&heartbeatResponder{state: state, receiver: shares.NewReportReceiver(), now: 2 * time.Second})
	if err != nil {
		return 0, 0, err
	}
	defer stop()
	var count byteCounter
	clients := peer.NewClients(nil, count.dial, func(string) {})
	defer clients.Close()
	sequence := uint64(0)
	send := func() {
		sequence++
		message := heartbeatMessage(sequence, reports, demandReports(reports, int(sequence)))
		if _, callErr := clients.Heartbeat(context.Background(), address, message); callErr != nil {
			err = callErr
		}
	}
	for range 20 { // fills the HPACK tables with the constant headers
		send()
	}
	const calls = 200
	before := count.total()
	for range calls {
		send()
	}
	bytes = (count.total() - before) / calls
	return bytes, cpuPerCall(send), err
}

func peerServer(s peer.Shares) (string, func(), error) {
	addresses, stop, err := peerServers(s, 1)
	if err != nil {
		return "", nil, err
	}
	return addresses[0], stop, nil
}

// peerServers serves s at n addresses, so that clients open a connection to each.
func peerServers(s peer.Shares, n int) ([]string, func(), error) {
	server := peer.NewServer(nil, nil)
	peerpb.RegisterPeerServer(server, &peer.Service{Shares: s})
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			server.Stop()
			return nil, nil, err
		}
		addresses = append(addresses, l.Addr().String())
		go func() { _ = server.Serve(l) }() // returns an error when the server is stopped
	}
	return addresses, server.Stop, nil
}

// Transfers measures the bytes of one transfer and its acknowledgement by the length of the workspace name.
func Transfers(sizes []int) (Series, error) {
	return measureSeries("transfer-bytes", "byte-of-name", "B", sizes, func(size int) (float64, error) {
		address, stop, err := peerServer(acceptAll{})
		if err != nil {
			return 0, err
		}
		defer stop()
		var count byteCounter
		clients := peer.NewClients(nil, count.dial, func(string) {})
		defer clients.Close()
		name := fmt.Sprintf("%0*d", size, 1)
		const warm, calls = 20, 200
		before := 0.0
		for i := range warm + calls {
			if i == warm {
				before = count.total()
			}
			t := ledger.Transfer{From: selfIncarnation, To: incarnation(1), Number: uint64(1000 + i), Workspace: name, Parts: 12_345, Microtokens: 1e10}
			if _, err := clients.Transfer(context.Background(), address, peer.TransferMessage(t)); err != nil {
				return 0, err
			}
		}
		return (count.total() - before) / calls, nil
	})
}

type acceptAll struct{ peer.Shares }

// Transfer implements peer.Shares.
func (acceptAll) Transfer(context.Context, *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	return &peerpb.TransferResponse{Accepted: true}, nil
}

// Heartbeat implements peer.Shares.
func (acceptAll) Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{}, nil
}

// ControlLoop measures the CPU time that membership, lease and shares use per second, without messages, by number of
// members.
func ControlLoop(sizes []int, workspaces int) (Series, error) {
	return measureSeries("control-loop-cpu", "member", "us/s", sizes, func(size int) (float64, error) {
		f, err := newFleetState(size, workspaces)
		if err != nil {
			return 0, err
		}
		now := time.Second
		return cpuPerCall(func() {
			now += time.Second
			f.receiveHeartbeats(now, uint64(now), workspaces)
			f.runSecond(now)
		}), nil
	})
}

// FleetMemory measures the memory of an instance's fleet state by number of members, without connections.
func FleetMemory(sizes []int, workspaces int) (Series, error) {
	return measureSeries("fleet-memory", "member", "B", sizes, func(size int) (float64, error) {
		return retainedBytes(func() (*fleetState, error) {
			f, err := newFleetState(size, workspaces)
			if err == nil {
				f.runSecond(time.Second)
			}
			return f, err
		})
	})
}

// WorkspaceMemory measures the memory of an instance's fleet state by number of workspaces, in a fleet of the given
// number of members.
func WorkspaceMemory(sizes []int, fleet int) (Series, error) {
	return measureSeries(fmt.Sprintf("workspace-memory-%d-members", fleet), "workspace", "B", sizes, func(size int) (float64, error) {
		return retainedBytes(func() (*fleetState, error) {
			f, err := newFleetState(fleet, size)
			if err == nil {
				f.runSecond(time.Second)
			}
			return f, err
		})
	})
}

// ConnectionMemory measures the memory of connections by number of peers. Client and server ends are both in this
// process, because an instance has one of each per peer.
func ConnectionMemory(sizes []int) (Series, error) {
	return measureSeries("connection-memory", "peer", "B", sizes, func(size int) (float64, error) {
		clients := peer.NewClients(nil, new(byteCounter).dial, func(string) {})
		defer clients.Close()
		stop := func() {}
		defer func() { stop() }()
		return retainedBytes(func() (*peer.Clients, error) {
			addresses, stopAll, err := peerServers(acceptAll{}, size)
			if err != nil {
				return nil, err
			}
			stop = stopAll
			for _, address := range addresses {
				if _, err := clients.Heartbeat(context.Background(), address, heartbeatMessage(1, 5, demandReports(5, 1))); err != nil {
					return nil, err
				}
			}
			return clients, nil
		})
	})
}
