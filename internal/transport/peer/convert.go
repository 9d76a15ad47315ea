package peer

import (
	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
)

// TransferMessage returns the wire form of a transfer.
func TransferMessage(t ledger.Transfer) *peerpb.TransferRequest {
	return &peerpb.TransferRequest{
		FromIncarnation: t.From,
		ToIncarnation:   t.To,
		Number:          t.Number,
		Workspace:       t.Workspace,
		Parts:           t.Parts,
		Microtokens:     t.Microtokens,
	}
}

// Transfer returns the transfer that a message carries. The ledger checks its values.
func Transfer(m *peerpb.TransferRequest) ledger.Transfer {
	return ledger.Transfer{
		From:        m.GetFromIncarnation(),
		To:          m.GetToIncarnation(),
		Number:      m.GetNumber(),
		Workspace:   m.GetWorkspace(),
		Parts:       m.GetParts(),
		Microtokens: m.GetMicrotokens(),
	}
}

// ShareRequestMessage returns the wire form of a share request from the incarnation.
func ShareRequestMessage(from string, r shares.ShareRequest) *peerpb.ShareRequest {
	return &peerpb.ShareRequest{
		FromIncarnation:       from,
		Workspace:             r.Workspace,
		Microtokens:           r.Microtokens,
		DemandTokensPerSecond: r.Demand / float64(shares.Microtokens),
	}
}

// ShareRequest returns the share request that a message carries.
func ShareRequest(m *peerpb.ShareRequest) shares.ShareRequest {
	return shares.ShareRequest{
		Workspace:   m.GetWorkspace(),
		Microtokens: m.GetMicrotokens(),
		Demand:      m.GetDemandTokensPerSecond() * float64(shares.Microtokens),
	}
}

// DemandMessages returns the wire form of an instance's demand reports.
func DemandMessages(reports []shares.Report) []*peerpb.WorkspaceDemand {
	out := make([]*peerpb.WorkspaceDemand, len(reports))
	for i, r := range reports {
		out[i] = &peerpb.WorkspaceDemand{
			Workspace:             r.Workspace,
			DemandTokensPerSecond: r.Demand / float64(shares.Microtokens),
			FreeTokens:            float64(r.Free) / float64(shares.Microtokens),
			Parts:                 r.Parts,
			VirtualTime:           r.LocalService,
		}
	}
	return out
}

// Reports returns the reports that a heartbeat carries.
func Reports(messages []*peerpb.WorkspaceDemand) []shares.Report {
	out := make([]shares.Report, len(messages))
	for i, m := range messages {
		out[i] = shares.Report{
			Workspace: m.GetWorkspace(),
			Demand:    m.GetDemandTokensPerSecond() * float64(shares.Microtokens),
			Free:      int64(min(m.GetFreeTokens()*float64(shares.Microtokens), float64(shares.MaxMicrotokens))),
			Parts:     m.GetParts(),

			LocalService: m.GetVirtualTime(),
		}
	}
	return out
}

// ReportMessage returns the reports that a heartbeat carries, with their sequence number and the sender's number
// of workspaces.
func ReportMessage(r *peerpb.HeartbeatRequest) shares.ReportMessage {
	return shares.ReportMessage{
		Sequence: r.GetReportSequence(), Count: int(r.GetReportCount()), Reports: Reports(r.GetDemand()),
	}
}

// CounterMessages returns the wire form of frozen counters. A regrant depends only on the difference between
// sent and received parts, so one of the two is always zero.
func CounterMessages(net ledger.NetParts) []*peerpb.Counter {
	out := make([]*peerpb.Counter, 0, len(net))
	for ws, parts := range net {
		out = append(out, &peerpb.Counter{Workspace: ws, OutParts: max(parts, 0), InParts: max(-parts, 0)})
	}
	return out
}

// Counters returns the counters that a message carries.
func Counters(messages []*peerpb.Counter) ledger.NetParts {
	out := make(ledger.NetParts, len(messages))
	for _, m := range messages {
		out[m.GetWorkspace()] += m.GetOutParts() - m.GetInParts()
	}
	return out
}

// PositionMessages returns the wire form of the stream positions on which a lease is based.
func PositionMessages(p lease.Positions) []*peerpb.Position {
	return []*peerpb.Position{
		{Stream: string(platform.StreamConfig), Next: p[lease.Config]},
		{Stream: string(platform.StreamControl), Next: p[lease.Control]},
	}
}

// Positions returns the positions that a message carries. It ignores streams on which no lease is based.
func Positions(messages []*peerpb.Position) lease.Positions {
	var p lease.Positions
	for _, m := range messages {
		switch platform.Stream(m.GetStream()) {
		case platform.StreamConfig:
			p[lease.Config] = m.GetNext()
		case platform.StreamControl:
			p[lease.Control] = m.GetNext()
		}
	}
	return p
}
