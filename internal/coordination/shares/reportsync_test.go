package shares

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reportSimulation simulates a sender and a receiver of heartbeats. The network may lose, duplicate and reorder messages.
type reportSimulation struct {
	current     map[string]Report
	sequence    uint64
	sender      *ReportSender
	incarnation string // of the receiver
	receiver    *ReportReceiver
	held        []Report
	messages    []ReportMessage
	answers     []reportAnswer
}

type reportAnswer struct {
	sequence    uint64
	incarnation string
	missing     bool
}

func (sim *reportSimulation) send() {
	var all []Report
	for _, r := range sim.current {
		all = append(all, r)
	}
	sim.sequence++
	// Time does not advance, so that periodic full reports do not hide faults.
	sim.messages = append(sim.messages, sim.sender.Next(0, sim.sequence, all))
}

func (sim *reportSimulation) deliver(i int) {
	held, missing := sim.receiver.Receive(sim.messages[i])
	if held != nil {
		sim.held = held
	}
	sim.answers = append(sim.answers, reportAnswer{sim.messages[i].Sequence, sim.incarnation, missing})
}

func (sim *reportSimulation) answer(i int) {
	sim.sender.Acknowledged(sim.answers[i].sequence, sim.answers[i].incarnation, sim.answers[i].missing)
}

// TestReportsConverge guards against a peer that keeps an old report of a workspace, or has none, after messages were
// lost, duplicated or reordered, workspaces were added or removed, or either side restarted. The receiver's reports are
// compared with the sender's state.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &reportSimulation{
			current: map[string]Report{}, sender: NewReportSender(), receiver: NewReportReceiver(), incarnation: "a",
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		for range 400 {
			for range rng.IntN(60) {
				sim.step(rng)
			}
			for range 3 {
				sim.send()
				sim.deliver(len(sim.messages) - 1)
				sim.answer(len(sim.answers) - 1)
			}
			sim.check(t)
		}
	})
}

func (sim *reportSimulation) step(rng *rand.Rand) {
	switch k := rng.IntN(100); {
	case k < 30:
		ws := string(rune('a' + rng.IntN(5)))
		sim.current[ws] = Report{Workspace: ws, Demand: float64(rng.IntN(1000)) * 100, Free: rng.Int64N(1000) * 1000,
			Parts: rng.Int64N(2), LocalService: float64(rng.IntN(600))}
	case k < 34:
		delete(sim.current, string(rune('a'+rng.IntN(5))))
	case k < 55:
		sim.send()
	case k < 75 && len(sim.messages) > 0:
		sim.deliver(max(len(sim.messages)-1-rng.IntN(4), 0))
	case k < 94 && len(sim.answers) > 0:
		sim.answer(max(len(sim.answers)-1-rng.IntN(4), 0))
	case k == 95: // the receiver restarts
		sim.receiver, sim.incarnation, sim.held = NewReportReceiver(), sim.incarnation+"x", nil
	case k == 96: // the receiver discards the sender's reports; messages sent before that do not arrive later
		sim.receiver, sim.messages, sim.held = NewReportReceiver(), nil, nil
	case k == 97: // the sender discards the receiver's acknowledgements
		sim.sender = NewReportSender()
	case k == 98: // the sender restarts with a new incarnation
		sim.sender, sim.sequence, sim.receiver = NewReportSender(), 0, NewReportReceiver()
		sim.messages, sim.answers, sim.held = nil, nil, nil
	}
}

func (sim *reportSimulation) check(t *rapid.T) {
	if len(sim.held) != len(sim.current) {
		t.Fatalf("the receiver holds %d workspaces, the sender has %d", len(sim.held), len(sim.current))
	}
	closeEnough := func(a, b float64) bool {
		return math.Abs(a-b) <= 0.1*max(a, b) || max(a, b) <= float64(Microtokens)/100
	}
	for _, r := range sim.held {
		want, ok := sim.current[r.Workspace]
		if !ok || !closeEnough(r.Demand, want.Demand) || !closeEnough(float64(r.Free), float64(want.Free)) || r.Parts != want.Parts ||
			math.Abs(r.LocalService-want.LocalService) > 256 {
			t.Fatalf("the receiver holds %+v, the sender has %+v", r, want)
		}
	}
}

// TestReportsIdleWorkspaces guards against heartbeats that grow with the number of idle workspaces, and against periodic
// full reports that are never sent.
func TestReportsIdleWorkspaces(t *testing.T) {
	m, _ := newFleet(7, 50)
	s, r := NewReportSender(), NewReportReceiver()
	sent, full := 0, 0
	for i := range 24 { // three refresh intervals
		now := 2*time.Second + time.Duration(i)*500*time.Millisecond
		message := s.Next(now, uint64(i+1), m.Reports(now))
		held, missing := r.Receive(message)
		if len(held) != 50 || missing {
			t.Fatalf("heartbeat %d: %d workspaces held, missing: %t", i, len(held), missing)
		}
		s.Acknowledged(message.Sequence, "peer", missing)
		sent += len(message.Reports)
		if len(message.Reports) == 50 {
			full++
		}
	}
	if sent != 150 || full != 3 {
		t.Fatalf("%d reports in 24 heartbeats, %d of them full; want 150 and 3", sent, full)
	}
}

// TestReportsEqualCount guards against a peer that holds the report of a workspace which the sender no longer has, and
// takes its reports as complete because their number equals the sender's. It happened after the peer had discarded the
// sender's reports.
func TestReportsEqualCount(t *testing.T) {
	s, r := NewReportSender(), NewReportReceiver()
	a, b := Report{Workspace: "a", Parts: 1}, Report{Workspace: "b", Parts: 1}
	exchange := func(sequence uint64, answered bool, current ...Report) ReportMessage {
		m := s.Next(0, sequence, current)
		if _, missing := r.Receive(m); answered {
			s.Acknowledged(sequence, "peer", missing)
		}
		return m
	}
	exchange(1, true, a, b)
	r = NewReportReceiver()
	a.Parts = 2
	exchange(2, false, a, b)
	exchange(3, true, b)
	exchange(4, true, b)
	if _, held := r.reports["b"]; len(r.reports) != 1 || !held {
		t.Fatalf("the receiver holds %v, the sender only has workspace b", r.reports)
	}
	if len(s.sent) != 1 {
		t.Fatalf("the sender keeps sent reports of %d workspaces, but has one workspace", len(s.sent))
	}
}

// TestReportsLateFullMessage guards against a restarted peer that keeps the reports of a late full message because its
// previous incarnation acknowledged later changes to them.
func TestReportsLateFullMessage(t *testing.T) {
	s, r := NewReportSender(), NewReportReceiver()
	old, current := []Report{{Workspace: "a", Parts: 1}}, []Report{{Workspace: "a", Parts: 2}}
	late := s.Next(0, 1, old)
	changed := s.Next(0, 2, current)
	s.Acknowledged(changed.Sequence, "before", false)
	r.Receive(late)
	for n := uint64(3); n < 5; n++ {
		_, missing := r.Receive(s.Next(0, n, current))
		s.Acknowledged(n, "after", missing)
	}
	if r.reports["a"].Parts != 2 {
		t.Fatalf("the receiver holds %+v, the sender has %+v", r.reports["a"], current[0])
	}
}
