package shares

import (
	"math"
	"time"
)

const (
	// ReportThreshold is the relative change of demand or free tokens above which a new report is sent to a peer. It
	// is half of hysteresis, so that an unreported change alone moves no parts.
	ReportThreshold = 0.1
	// negligibleAmount is the demand (microtokens per second) or free amount (microtokens) that counts as zero. Demand
	// decays exponentially, so an idle workspace would otherwise be reported for minutes.
	negligibleAmount = float64(Microtokens) / 100
	// maxServiceLag is the change of LocalService, in tokens divided by weight, that may stay unreported between full
	// reports. The fair queue itself is only exact to one request, which is of this order.
	maxServiceLag = 256
	// fullReportInterval is how often all reports are sent to a peer, even if it has acknowledged all of them.
	fullReportInterval = 4 * time.Second
)

// ReportMessage is the part of a heartbeat that carries the reports of workspaces.
type ReportMessage struct {
	// Sequence increases with each message of the sender's incarnation and starts at 1.
	Sequence uint64
	// Count is the number of workspaces that the sender has. A message with as many reports is a full message.
	Count   int
	Reports []Report
}

// sentReport is the last report of a workspace that was sent.
type sentReport struct {
	report   Report
	sequence uint64
	// acknowledged is set when the peer has answered the message with this sequence number.
	acknowledged bool
}

// ReportSender decides which reports a heartbeat to one peer carries: those whose last sent version the peer has not
// acknowledged, and those that have changed by more than ReportThreshold since. It is not safe for concurrent use.
//
// The peer discards messages that arrive out of order, so an acknowledgement proves that it holds a report only if no
// later message carried that report. Until then every message repeats the report.
type ReportSender struct {
	peerIncarnation string // incarnation that sent the last answer
	sent            map[string]sentReport
	nextFull        time.Duration
}

// NewReportSender returns the sender for a peer that has acknowledged nothing yet.
func NewReportSender() *ReportSender { return &ReportSender{sent: map[string]sentReport{}} }

// Next returns the next message, given the reports of all workspaces. The sequence must be higher than that of every
// earlier message from this process to the peer, including those of another ReportSender.
func (s *ReportSender) Next(now time.Duration, sequence uint64, current []Report) ReportMessage {
	full := now >= s.nextFull
	if full {
		s.nextFull = now + fullReportInterval
	}
	m := ReportMessage{Sequence: sequence, Count: len(current)}
	for i := range current {
		r := &current[i]
		last, known := s.sent[r.Workspace]
		if known && !full && last.acknowledged && !reportChanged(&last.report, r) {
			continue
		}
		s.sent[r.Workspace] = sentReport{report: *r, sequence: sequence}
		m.Reports = append(m.Reports, *r)
	}
	if len(s.sent) > len(current) {
		s.prune(current)
	}
	return m
}

// prune removes workspaces that are no longer reported.
func (s *ReportSender) prune(current []Report) {
	kept := make(map[string]sentReport, len(current))
	for i := range current {
		kept[current[i].Workspace] = s.sent[current[i].Workspace]
	}
	s.sent = kept
}

// Acknowledged records the answer of an incarnation of the peer to a message. Missing reports that the peer does not
// hold a report of every workspace.
func (s *ReportSender) Acknowledged(sequence uint64, incarnation string, missing bool) {
	if incarnation != s.peerIncarnation || missing {
		// A restarted peer does not hold the reports that its previous incarnation acknowledged.
		s.peerIncarnation = incarnation
		for ws, r := range s.sent {
			r.acknowledged = false
			s.sent[ws] = r
		}
	}
	if missing {
		return
	}
	for ws, r := range s.sent {
		if r.sequence == sequence {
			r.acknowledged = true
			s.sent[ws] = r
		}
	}
}

// reportChanged reports whether a report has changed enough to be sent again. Any change of parts is, because
// Manager.Rebalance of the peer relies on the exact number.
func reportChanged(old, r *Report) bool {
	return old.Parts != r.Parts ||
		amountChanged(old.Demand, r.Demand) ||
		amountChanged(float64(old.Free), float64(r.Free)) ||
		math.Abs(r.LocalService-old.LocalService) > maxServiceLag
}

// amountChanged reports whether an amount has changed by more than ReportThreshold of the larger value.
func amountChanged(old, amount float64) bool {
	largest := math.Max(math.Abs(old), math.Abs(amount))
	return largest > negligibleAmount && math.Abs(amount-old) > ReportThreshold*largest
}

// ReportReceiver holds the reports of one incarnation of a peer. It is not safe for concurrent use.
type ReportReceiver struct {
	lastSequence uint64
	// complete is set once a full message has been received. From then on the reports include all workspaces of the
	// sender.
	complete bool
	reports  map[string]Report
}

// NewReportReceiver returns a receiver without reports.
func NewReportReceiver() *ReportReceiver { return &ReportReceiver{reports: map[string]Report{}} }

// Receive applies a message and returns all reports held, in no particular order: the message also confirms those that
// it does not carry. It returns nil for a duplicate or out-of-order message. Missing reports that the workspaces held
// differ from those of the sender; the answer must then ask for a full message.
func (r *ReportReceiver) Receive(m ReportMessage) (reports []Report, missing bool) {
	if m.Sequence <= r.lastSequence {
		return nil, false
	}
	r.lastSequence = m.Sequence
	if len(m.Reports) == m.Count {
		clear(r.reports)
		r.complete = true
	}
	for _, report := range m.Reports {
		r.reports[report.Workspace] = report
	}
	reports = make([]Report, 0, len(r.reports))
	for _, report := range r.reports {
		reports = append(reports, report)
	}
	return reports, !r.complete || len(r.reports) != m.Count
}
