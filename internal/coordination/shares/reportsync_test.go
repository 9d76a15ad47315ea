package shares

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reportWorld is two processes that exchange heartbeats over a network that loses, repeats and reorders them.
type reportWorld struct {
	current  map[string]Report
	sequence uint64
	sender   *ReportSender
	// receiver's incarnation, and what it holds.
	incarnation string
	receiver    *ReportReceiver
	view        []Report
	messages    []ReportMessage
	answers     []reportAnswer
}

type reportAnswer struct {
	sequence    uint64
	incarnation string
	missing     bool
}

func (w *reportWorld) send() {
	var all []Report
	for _, r := range w.current {
		all = append(all, r)
	}
	w.sequence++
	// Time stands still, so that the periodic full report hides no fault.
	w.messages = append(w.messages, w.sender.Next(0, w.sequence, all))
}

func (w *reportWorld) deliver(i int) {
	view, missing := w.receiver.Receive(w.messages[i])
	if view != nil {
		w.view = view
	}
	w.answers = append(w.answers, reportAnswer{w.messages[i].Sequence, w.incarnation, missing})
}

func (w *reportWorld) answer(i int) {
	w.sender.Acknowledged(w.answers[i].sequence, w.answers[i].incarnation, w.answers[i].missing)
}

// TestReportsConverge guards against a peer that keeps an old report, or none, of a workspace after messages were
// lost, repeated or reordered, workspaces were added or removed, or either side restarted. The oracle is the
// sender's own state.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &reportWorld{current: map[string]Report{}, sender: NewReportSender(), receiver: NewReportReceiver(), incarnation: "a"}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		for range 400 {
			for range rng.IntN(60) {
				w.step(rng)
			}
			for range 3 {
				w.send()
				w.deliver(len(w.messages) - 1)
				w.answer(len(w.answers) - 1)
			}
			w.check(t)
		}
	})
}

func (w *reportWorld) step(rng *rand.Rand) {
	switch k := rng.IntN(100); {
	case k < 30:
		ws := string(rune('a' + rng.IntN(5)))
		w.current[ws] = Report{Workspace: ws, Demand: float64(rng.IntN(1000)) * 100, Free: rng.Int64N(1000) * 1000,
			Parts: rng.Int64N(2), VirtualTime: float64(rng.IntN(600))}
	case k < 34:
		delete(w.current, string(rune('a'+rng.IntN(5))))
	case k < 55:
		w.send()
	case k < 75 && len(w.messages) > 0:
		w.deliver(max(len(w.messages)-1-rng.IntN(4), 0))
	case k < 94 && len(w.answers) > 0:
		w.answer(max(len(w.answers)-1-rng.IntN(4), 0))
	case k == 95: // the receiver restarts
		w.receiver, w.incarnation, w.view = NewReportReceiver(), w.incarnation+"x", nil
	case k == 96: // the receiver forgets the sender; what was sent before does not arrive later
		w.receiver, w.messages, w.view = NewReportReceiver(), nil, nil
	case k == 97: // the sender forgets the receiver
		w.sender = NewReportSender()
	case k == 98: // the sender restarts, under a new incarnation
		w.sender, w.sequence, w.receiver = NewReportSender(), 0, NewReportReceiver()
		w.messages, w.answers, w.view = nil, nil, nil
	}
}

func (w *reportWorld) check(t *rapid.T) {
	if len(w.view) != len(w.current) {
		t.Fatalf("the receiver holds %d workspaces, the sender has %d", len(w.view), len(w.current))
	}
	near := func(a, b float64) bool {
		return math.Abs(a-b) <= 0.1*max(a, b) || max(a, b) <= float64(Microtokens)/100
	}
	for _, r := range w.view {
		want, ok := w.current[r.Workspace]
		if !ok || !near(r.Demand, want.Demand) || !near(float64(r.Free), float64(want.Free)) || r.Parts != want.Parts ||
			math.Abs(r.VirtualTime-want.VirtualTime) > 256 {
			t.Fatalf("the receiver holds %+v, the sender has %+v", r, want)
		}
	}
}

// TestReportsIdle guards against heartbeats that grow with workspaces that nobody uses, and against a full report that
// never comes.
func TestReportsIdle(t *testing.T) {
	m, _ := fleet(7, 50)
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

// TestReportsSameCount guards against a peer that holds another workspace than the sender has and takes its view as
// complete, because the numbers agree. It happened after the peer had forgotten the sender.
func TestReportsSameCount(t *testing.T) {
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
		t.Fatalf("the receiver holds %v, the sender has b only", r.reports)
	}
	if len(s.sent) != 1 {
		t.Fatalf("the sender remembers %d workspaces and has one", len(s.sent))
	}
}

// TestReportsLateFull guards against a restarted peer that got a late full message of before and keeps it, since its
// predecessor acknowledged the changes after it.
func TestReportsLateFull(t *testing.T) {
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
