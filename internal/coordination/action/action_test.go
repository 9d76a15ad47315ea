package action

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// TestAppendResultLost guards against a dispatch whose intent does not own the key, and against a not-run
// verdict after which the call runs because the append took effect late.
func TestAppendResultLost(t *testing.T) {
	Convey("Given a call whose append of the intent has an unknown result", t, func() {
		s := newSim(t, 2)
		c := s.newCall(s.instances[0], "k", "b")
		s.report(s.appends[0], AppendUnknown)

		Convey("it is dispatched once if the intent is read back in time", func() {
			s.commit(s.appends[0])
			s.read(s.instances[0], 1)
			So(s.dispatches, ShouldHaveLength, 1)
		})
		Convey("with the log down it fails with verdict not-run after 2 s and is never dispatched", func() {
			s.logDown = true
			s.advance(DefaultIntentTimeout - time.Millisecond)
			So(c.responses, ShouldEqual, 0)
			s.advance(time.Millisecond)
			So(c.responses, ShouldEqual, 1)
			So(c.notRun, ShouldBeTrue)
			s.logDown = false
			s.commit(s.appends[0])
			s.read(s.instances[0], 1)
			So(s.dispatches, ShouldBeEmpty)
			Convey("and a retry on another instance runs once the intent is closed", func() {
				s.read(s.instances[1], 1)
				s.newCall(s.instances[1], "k", "b")
				s.heal()
				So(s.runsPerKey["k"], ShouldEqual, 1)
			})
		})
	})
}

// TestNoDispatchAfterPauseOrLeaseLoss guards against an instance that dispatches a call after a pause in
// which the call timed out, or without a valid lease.
func TestNoDispatchAfterPauseOrLeaseLoss(t *testing.T) {
	Convey("An instance that was paused past the timeout of an intent does not dispatch the call", t, func() {
		s := newSim(t, 1)
		inst := s.instances[0]
		c := s.newCall(inst, "k", "b")
		s.commit(s.appends[0])
		inst.paused = true
		s.advance(time.Minute)
		inst.paused = false
		s.read(inst, 1)
		So(s.dispatches, ShouldBeEmpty)
		So(c.notRun, ShouldBeTrue)
	})
	Convey("An instance without a valid lease does not dispatch", t, func() {
		s := newSim(t, 1)
		s.newCall(s.instances[0], "k", "b")
		s.commit(s.appends[0])
		s.instances[0].noLease = true
		s.read(s.instances[0], 1)
		So(s.dispatches, ShouldBeEmpty)
	})
}

// TestOutcomeAfterDeadline guards against a call that is answered twice because the outcome for which it waited is recorded
// after its deadline, and against one that is dispatched after its caller was answered.
func TestOutcomeAfterDeadline(t *testing.T) {
	Convey("Given two calls with one key, the first of which is dispatched", t, func() {
		s := newSim(t, 1)
		inst := s.instances[0]
		s.newCall(inst, "k", "b")
		s.commit(s.appends[0])
		s.read(inst, 1)
		second := s.newCall(inst, "k", "b")
		So(second.responses, ShouldEqual, 0)
		s.advance(callDeadline)
		So(second.responses, ShouldEqual, 1)
		So(second.notRun, ShouldBeFalse)
		for _, result := range []intent.Result{intent.Ran, intent.NotRun} {
			Convey("the second has one answer and is not dispatched if the outcome is "+string(result), func() {
				s.endDispatch(s.dispatches[0], result)
				s.heal()
				So(second.responses, ShouldEqual, 1)
				So(second.Finished(), ShouldBeTrue)
				So(s.dispatches, ShouldHaveLength, 1)
			})
		}
	})
}

// TestStop guards against a caller that is cut off, or is told that its call may have run although it was not and will not be
// dispatched, because its instance stops.
func TestStop(t *testing.T) {
	Convey("Given a call on an instance that stops", t, func() {
		s := newSim(t, 1)
		inst := s.instances[0]
		c := s.newCall(inst, "k", "b")
		Convey("before the call's intent is in force, it has not run and is never dispatched", func() {
			s.stop(inst)
			So(c.responses, ShouldEqual, 1)
			So(c.notRun, ShouldBeTrue)
			s.commit(s.appends[0])
			s.read(inst, 1)
			s.heal()
			So(s.dispatches, ShouldBeEmpty)
		})
		Convey("after the dispatch, it may have run, and its outcome is still recorded", func() {
			s.commit(s.appends[0])
			s.read(inst, 1)
			So(s.dispatches, ShouldHaveLength, 1)
			s.stop(inst)
			So(c.responses, ShouldEqual, 1)
			So(c.notRun, ShouldBeFalse)
			So(c.code, ShouldEqual, "stopped")
			s.heal()
			So(c.responses, ShouldEqual, 1)
			So(s.runsPerKey["k"], ShouldEqual, 1)
		})
	})
}

// TestKilledDispatcher guards against a second run when the dispatcher was killed and the caller retries,
// and against a retry that hangs until its deadline.
func TestKilledDispatcher(t *testing.T) {
	Convey("Given a dispatcher that was killed after its dispatch", t, func() {
		s := newSim(t, 2)
		s.newCall(s.instances[0], "k", "b")
		s.commit(s.appends[0])
		s.read(s.instances[0], 1)
		So(s.dispatches, ShouldHaveLength, 1)
		s.execute(s.dispatches[0])
		s.read(s.instances[1], 1)

		Convey("a retry waits while the dispatcher may be alive", func() {
			c := s.newCall(s.instances[1], "k", "b")
			So(c.responses, ShouldEqual, 0)
			Convey("and fails with verdict may-have-run once the dispatcher is withdrawn", func() {
				s.kill(s.instances[0])
				s.read(s.instances[1], 0)
				So(c.responses, ShouldEqual, 1)
				So(c.notRun, ShouldBeFalse)
				So(s.runsPerKey["k"], ShouldEqual, 1)
			})
		})
		Convey("a request with the same key and a different body fails with verdict not-run", func() {
			So(s.newCall(s.instances[1], "k", "other").notRun, ShouldBeTrue)
		})
	})
}

// TestOversizedAnswer guards against a retry that gets a truncated answer because the answer was too large
// to record.
func TestOversizedAnswer(t *testing.T) {
	Convey("A retry of a call whose answer was not recorded fails with verdict ran", t, func() {
		s := newSim(t, 1)
		inst := s.instances[0]
		s.newCall(inst, "k", "b")
		s.commit(s.appends[0])
		s.read(inst, 1)
		s.execute(s.dispatches[0])
		s.serviceAnswers["k"].Body = make([]byte, intent.MaxAnswerBytes+1)
		s.dispatches[0].done = true
		s.step(inst, s.dispatches[0].call, DispatchResult{Result: intent.Ran, Answer: s.serviceAnswers["k"]})
		s.heal()
		_, actions := New(Request{Key: s.dispatches[0].call.key, BodyHash: "b", Created: s.created(), ID: "r2",
			Incarnation: inst.incarnation, Deadline: s.now.Add(callDeadline)}, Timing{}, s.now,
			View{State: inst.fold.Lookup(s.dispatches[0].call.key)})
		So(actions[0].(Fail).Err.Verdict, ShouldEqual, verdict.Ran)
	})
}

// TestBatcher guards against batches above the limits, lost or reordered records, and a record that waits
// longer than Linger.
func TestBatcher(t *testing.T) {
	now := time.UnixMilli(0)
	rec := func(id string, n int) record.Envelope {
		return record.Envelope{Kind: "intent", ID: id, Body: make([]byte, n)}
	}
	Convey("Records wait until the Linger of the first one has elapsed", t, func() {
		b := NewBatcher(BatchLimits{Records: 3, Bytes: 1000, Linger: 20 * time.Millisecond})
		So(b.Add(now, []record.Envelope{rec("1", 10)}), ShouldBeEmpty)
		So(b.Add(now.Add(5*time.Millisecond), []record.Envelope{rec("2", 10)}), ShouldBeEmpty)
		So(b.Tick(now.Add(19*time.Millisecond)), ShouldBeNil)
		batch := b.Tick(now.Add(20 * time.Millisecond))
		So(batch, ShouldHaveLength, 2)
		So(batch[0].ID+batch[1].ID, ShouldEqual, "12")
		_, waiting := b.Due()
		So(waiting, ShouldBeFalse)
	})
	Convey("A full batch is returned at once, and a record above the size limit is appended on its own", t, func() {
		b := NewBatcher(BatchLimits{Records: 3, Bytes: 1000, Linger: time.Second})
		So(b.Add(now, []record.Envelope{rec("1", 10), rec("2", 10)}), ShouldBeEmpty)
		out := b.Add(now, []record.Envelope{rec("3", 2000)})
		So(out, ShouldHaveLength, 2)
		So(out[0], ShouldHaveLength, 2)
		So(out[1], ShouldHaveLength, 1)
	})
}

// BenchmarkAppends reports appends and bytes per call for 7 instances whose Linger limits them to 300
// appends per second in total. The service answers with 1 KiB after 50 ms.
func BenchmarkAppends(b *testing.B) {
	const instances, perSecond, serviceTime = 7, 300, 50 * time.Millisecond
	for _, rate := range []int{10, 100, 1000, 10_000, 100_000} {
		b.Run(strconv.Itoa(rate)+"-calls-per-s", func(b *testing.B) {
			batchers := make([]*Batcher, instances)
			for i := range batchers {
				batchers[i] = NewBatcher(BatchLimits{Records: 512, Bytes: 512 << 10, Linger: LingerFor(instances, perSecond)})
			}
			appends, bytes, records := 0, 0, 0
			count := func(batch []record.Envelope) {
				if batch != nil {
					data, _ := record.Encode(batch)
					appends, bytes, records = appends+1, bytes+len(data), records+len(batch)
				}
			}
			add := func(now time.Time, i int, actions []Action) {
				for _, a := range actions {
					if ap, ok := a.(Append); ok {
						for _, batch := range batchers[i%instances].Add(now, ap.Records) {
							count(batch)
						}
					}
				}
			}
			start := time.UnixMilli(1_800_000_000_000)
			at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second / time.Duration(rate)) }
			calls, answered := make([]*Call, b.N), 0
			for i := range b.N {
				now := at(i)
				for _, bt := range batchers {
					count(bt.Tick(now))
				}
				c, actions := New(Request{Key: intent.Key{Workspace: "glenbrae-counter", Route: "print-orders",
					Hash: intent.Hash([]byte{byte(i)})}, BodyHash: intent.Hash([]byte("b")), Created: now,
					ID: "01890a5d-ac96-774b-bcce-b302099a8057", Deadline: now.Add(callDeadline),
					Incarnation: "0123456789abcdef0123456789abcdef"}, Timing{}, now, View{})
				calls[i] = c
				add(now, i, actions)
				for ; !at(answered).Add(serviceTime).After(now) && answered < i; answered++ {
					c := calls[answered]
					c.Step(now, ViewUpdate{View{State: intent.State{BodyHash: "b", IntentID: c.IntentID()}, LeaseValid: true}})
					add(now, answered, c.Step(now, DispatchResult{Result: intent.Ran,
						Answer: &intent.Answer{Status: 201, Body: make([]byte, 1024)}}))
				}
			}
			n := float64(answered)
			b.ReportMetric(float64(appends)/n, "appends/call")
			b.ReportMetric(float64(bytes)/n, "log-bytes/call")
			b.ReportMetric(float64(records)/float64(appends), "records/append")
			b.ReportMetric(float64(appends)/at(b.N).Sub(start).Seconds(), "appends/s")
		})
	}
}
