package shares

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// validLease is a lease that never expires.
type validLease struct{}

func (validLease) Valid(time.Duration) bool { return true }

// newFleet returns the manager of the first of n members that share the given number of workspaces, and the reports that
// each peer sent it.
func newFleet(n, workspaces int) (*Manager, []Report) {
	set := members.New()
	m := New("m0000", set, validLease{})
	apply := func(offset int, kind record.Kind, inc string, body any) {
		env, _ := record.New(kind, fmt.Sprint(offset), inc, body)
		e := record.Entry{Offset: uint64(offset), Envelope: env}
		set.Apply(e)
		m.Apply(time.Second, e)
	}
	for i := range n {
		apply(i, members.KindJoin, fmt.Sprintf("m%04d", i), members.Join{Instance: fmt.Sprint(i)})
	}
	var reports []Report
	for i := range workspaces {
		ws := fmt.Sprintf("workspace-%02d", i)
		m.Configure(time.Second, ws, 10_000*Microtokens, 20_000*Microtokens)
		apply(n+i, ledger.KindGrant, "m0000", ledger.Grant{Workspace: ws})
		reports = append(reports, Report{Workspace: ws, Demand: 1000, Free: 1000, Parts: 10})
	}
	for i := 1; i < n; i++ {
		m.RecordPeerReports(time.Second, fmt.Sprintf("m%04d", i), reports)
	}
	return m, reports
}

// BenchmarkReserveSettle measures one reservation and its settlement.
func BenchmarkReserveSettle(b *testing.B) {
	m, _ := newFleet(860, 50)
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		r, _, out := m.Reserve(now, "workspace-07", 5*Microtokens)
		if out != Granted {
			b.Fatal(out)
		}
		m.Settle(now, r, 4*Microtokens)
	}
}

// BenchmarkFleet measures the work for one heartbeat of a peer and the work of one instance per rebalance interval of
// half a second.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{7, 70, 430, 860} {
		for _, workspaces := range []int{5, 50} {
			m, reports := newFleet(n, workspaces)
			now := time.Second
			b.Run(fmt.Sprintf("heartbeat/members=%d/workspaces=%d", n, workspaces), func(b *testing.B) {
				for b.Loop() {
					now++
					m.RecordPeerReports(now, "m0001", reports)
				}
			})
			b.Run(fmt.Sprintf("rebalance/members=%d/workspaces=%d", n, workspaces), func(b *testing.B) {
				for b.Loop() {
					now++
					m.nextRebalance = 0
					m.Rebalance(now)
					m.Reports(now)
				}
			})
		}
	}
}

// BenchmarkReportSender measures the choice of the reports to one peer when none has changed. It guards against a cost
// per peer that exceeds the budget of 1% of a core with 860 peers.
func BenchmarkReportSender(b *testing.B) {
	for _, workspaces := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			_, reports := newFleet(2, workspaces)
			s := NewReportSender()
			sequence := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				s.Acknowledged(s.Next(time.Second, sequence, reports).Sequence, "peer", false)
			}
		})
	}
}
