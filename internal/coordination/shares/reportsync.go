package shares

import (
	"math"
	"time"
)

const (
	// ReportFraction is the relative change of demand or free tokens above which a peer is told. It is half of
	// hysteresis, so that an untold change alone moves no parts.
	ReportFraction = 0.1
	// reportNegligible is the demand (microtokens per second) or free amount (microtokens) that counts as none.
	// Demand decays exponentially, so that without it an idle workspace would be reported for minutes.
	reportNegligible = float64(Microtokens) / 100
	// reportService is how much service, in tokens by weight, is reported late at most between full reports. The
	// fair queue is exact to one request only, which is of this order.
	reportService = 256
	// reportRefresh is how often a peer is sent a full report even if it has acknowledged all of it.
	reportRefresh = 4 * time.Second
)

// ReportMessage is the part of a heartbeat that tells a peer about workspaces.
type ReportMessage struct {
	// Sequence rises with each message of the sender's incarnation. The first is 1.
	Sequence uint64
	// Count is how many workspaces the sender has. A message with as many reports is a full one.
	Count   int
	Reports []Report
}

// sentReport is the last report of a workspace that was sent.
type sentReport struct {
	report   Report
	sequence uint64
	// acknowledged is set when the peer answered the message with that sequence.
	acknowledged bool
}

// ReportSender decides which reports a heartbeat to one peer carries: those that the peer has not acknowledged in
// the form sent last, and those that changed beyond ReportFraction since. It is not safe for concurrent use.
//
// The peer drops messages that arrive late, so an acknowledgement proves that it holds a report only if no later
// message carried that report; a report stays in every message until then.
type ReportSender struct {
	peer     string // incarnation that answered last
	sent     map[string]sentReport
	nextFull time.Duration
}

// NewReportSender returns a sender to a peer that has acknowledged nothing.
func NewReportSender() *ReportSender { return &ReportSender{sent: map[string]sentReport{}} }

// Next returns the next message, given the reports of all workspaces. The sequence must be higher than in every
// message that this process sent to the peer, also by another ReportSender.
func (s *ReportSender) Next(now time.Duration, sequence uint64, current []Report) ReportMessage {
	full := now >= s.nextFull
	if full {
		s.nextFull = now + reportRefresh
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
		s.forget(current)
	}
	return m
}

// forget drops workspaces that are no longer reported.
func (s *ReportSender) forget(current []Report) {
	kept := make(map[string]sentReport, len(current))
	for i := range current {
		kept[current[i].Workspace] = s.sent[current[i].Workspace]
	}
	s.sent = kept
}

// Acknowledged records the answer to a message by an incarnation of the peer. Missing says that the peer does not
// hold a report of every workspace.
func (s *ReportSender) Acknowledged(sequence uint64, incarnation string, missing bool) {
	if incarnation != s.peer || missing {
		// A restarted peer holds nothing that its predecessor acknowledged.
		s.peer = incarnation
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

// reportChanged reports whether a peer must be told. Parts are exact: a giver's next push counts on them.
func reportChanged(old, r *Report) bool {
	return old.Parts != r.Parts ||
		amountChanged(old.Demand, r.Demand) ||
		amountChanged(float64(old.Free), float64(r.Free)) ||
		math.Abs(r.VirtualTime-old.VirtualTime) > reportService
}

func amountChanged(old, amount float64) bool {
	largest := math.Max(math.Abs(old), math.Abs(amount))
	return largest > reportNegligible && math.Abs(amount-old) > ReportFraction*largest
}

// ReportReceiver holds what one incarnation of a peer reported. It is not safe for concurrent use.
type ReportReceiver struct {
	newest uint64
	// whole is set once a full message was received. What is held then includes all that the sender has.
	whole bool
	held  map[string]Report
}

// NewReportReceiver returns a receiver that holds nothing.
func NewReportReceiver() *ReportReceiver { return &ReportReceiver{held: map[string]Report{}} }

// Receive applies a message. It returns all reports held, which the message confirms, in no particular order;
// none if it is late or a duplicate. Missing says that the sender has workspaces of which none is held, or none of
// which one is held: the answer must tell it to send all.
func (r *ReportReceiver) Receive(m ReportMessage) (reports []Report, missing bool) {
	if m.Sequence <= r.newest {
		return nil, false
	}
	r.newest = m.Sequence
	if len(m.Reports) == m.Count {
		clear(r.held)
		r.whole = true
	}
	for _, report := range m.Reports {
		r.held[report.Workspace] = report
	}
	reports = make([]Report, 0, len(r.held))
	for _, report := range r.held {
		reports = append(reports, report)
	}
	return reports, !r.whole || len(r.held) != m.Count
}
