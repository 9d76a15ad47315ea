package residency

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const testModel = "base"

func adapterN(i int) Adapter { return Adapter{Model: testModel, Name: fmt.Sprintf("a%d", i)} }

// syncedOwner returns an owner of a worker with the number of places that has read an empty report.
func syncedOwner(places int) *Owner {
	o := NewOwner(testModel, places, 0)
	o.ApplyReport(Snapshot{Models: []string{testModel}}, 0)
	return o
}

// nextUnload returns the next step after the victim was retired at all instances with nothing running.
func nextUnload(o *Owner, now time.Duration) Action {
	a := o.Next(now)
	if a.Step == StepRetire {
		o.ApplyRetired(a.Adapter, 0, now)
		a = o.Next(now)
	}
	return a
}

// TestOrderWithoutAnswer guards against a stall and a wrong count after an order without an answer: it is given
// again under the same number, and its answer holds for both.
func TestOrderWithoutAnswer(t *testing.T) {
	Convey("an unanswered load is repeated at once and counted once", t, func() {
		o := syncedOwner(2)
		o.Want(adapterN(1), 0, 0)
		first := o.Next(0)
		o.ApplyResult(first, Unanswered, time.Millisecond)
		again := o.Next(time.Millisecond)
		So(again, ShouldResemble, first)
		o.ApplyResult(again, Accepted, 2*time.Millisecond)
		o.Want(adapterN(2), 0, 3*time.Millisecond)
		next := o.Next(3 * time.Millisecond)
		So(next.Step, ShouldEqual, StepLoad)
		So(next.Seq, ShouldEqual, first.Seq+1)
	})
	Convey("after too many repeats the worker is asked for a report", t, func() {
		o := syncedOwner(2)
		o.Want(adapterN(1), 0, 0)
		now := time.Duration(0)
		for range maxRepeats + 1 {
			a := o.Next(now)
			So(a.Step, ShouldEqual, StepLoad)
			o.ApplyResult(a, Unanswered, now)
		}
		So(o.Next(now).Step, ShouldEqual, StepNone)
		So(o.Next(now+reportLag).Step, ShouldEqual, StepReport)
	})
}

// TestBusyAdaptersStay guards adapters that serve requests against eviction: with all places just used, a load
// waits.
func TestBusyAdaptersStay(t *testing.T) {
	Convey("the adapter that was used least and not lately makes way", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1, adapterN(2): 1}}, 0)
		o.RecordUse(adapterN(1), 5, 0)
		o.RecordUse(adapterN(2), 1, 0)
		o.Want(adapterN(3), 0, 0)
		So(o.Next(busyUse-time.Millisecond).Step, ShouldEqual, StepNone)
		o.Want(adapterN(3), 0, quietUse)
		a := nextUnload(o, quietUse+time.Millisecond)
		So(a.Step, ShouldEqual, StepUnload)
		So(a.Adapter, ShouldResemble, adapterN(2))
	})
	Convey("when all were used lately, the one used longest ago makes way", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1, adapterN(2): 1}}, 0)
		o.RecordUse(adapterN(2), 1, 100*time.Millisecond)
		o.RecordUse(adapterN(1), 5, 200*time.Millisecond)
		o.Want(adapterN(3), 0, busyUse)
		a := nextUnload(o, busyUse+150*time.Millisecond)
		So(a.Step, ShouldEqual, StepUnload)
		So(a.Adapter, ShouldResemble, adapterN(2))
	})
}

// model is a worker as the protocol describes it.
type model struct {
	seq     int64
	held    map[Adapter]int64
	pending map[Adapter]arrival
	// replacing is the adapter whose new version waits for the runs of the old one, with the version; no other
	// order is taken meanwhile.
	replacing *Action
	newest    map[Adapter]int64
	places    int
	over      bool
	late      []Action
}

type arrival struct {
	at      time.Duration
	version int64
}

func newModel(places int) *model {
	return &model{held: map[Adapter]int64{}, pending: map[Adapter]arrival{}, newest: map[Adapter]int64{}, places: places}
}

func (m *model) settle(now time.Duration) {
	for a, p := range m.pending {
		if now >= p.at {
			delete(m.pending, a)
			m.held[a] = p.version
		}
	}
}

// version returns the version that a load of the adapter fetches.
func (m *model) version(a Action) int64 {
	if a.Version > 0 {
		return a.Version
	}
	return max(1, m.newest[a.Adapter])
}

func (m *model) carryOut(a Action, now time.Duration, runs bool) Result {
	m.settle(now)
	held := m.held[a.Adapter]
	_, coming := m.pending[a.Adapter]
	load := a.Step == StepLoad || a.Step == StepPoll
	switch {
	case m.replacing != nil && load && m.replacing.Adapter == a.Adapter:
		return Accepted
	case m.replacing != nil:
		return Conflict
	case load && held > 0 && held >= m.version(a):
		return Holds
	case load && coming:
		return Accepted
	case !load && held == 0:
		return Holds
	case a.Seq != m.seq:
		return Conflict
	}
	m.seq++
	if !load {
		delete(m.held, a.Adapter)
		return Holds
	}
	if held > 0 && runs {
		m.replacing = &Action{Adapter: a.Adapter, Version: m.version(a)}
		return Accepted
	}
	m.fetch(a.Adapter, m.version(a), now)
	return Accepted
}

func (m *model) fetch(a Adapter, version int64, now time.Duration) {
	delete(m.held, a)
	m.pending[a] = arrival{now + 250*time.Millisecond, version}
	m.over = m.over || len(m.held)+len(m.pending) > m.places
}

// endRuns ends the runs that a replacement waits for.
func (m *model) endRuns(now time.Duration) {
	if m.replacing != nil {
		m.fetch(m.replacing.Adapter, m.replacing.Version, now)
		m.replacing = nil
	}
}

func (m *model) report() Snapshot {
	s := Snapshot{Seq: m.seq, Models: []string{testModel}, Resident: map[Adapter]int64{}, Pending: map[Adapter]int64{}, Busy: m.replacing != nil}
	for a, v := range m.held {
		s.Resident[a] = v
	}
	for a, p := range m.pending {
		s.Pending[a] = p.version
	}
	return s
}

// TestPlacesNeverExceeded guards the places of a worker against orders that are lost, carried out unanswered, or
// carried out late: a worker that is ordered to hold more than it can crashes. An order must never name a higher
// number of orders than the worker has accepted: carried out late, it would hold after newer ones.
func TestPlacesNeverExceeded(t *testing.T) {
	// One check plays 100 sequences, of which few have a late order and a declared version in the order that matters.
	const rounds = 20
	for range rounds {
		rapid.Check(t, placesHold)
	}
}

func placesHold(t *rapid.T) {
	places := rapid.IntRange(1, 4).Draw(t, "places")
	m := newModel(places)
	o := NewOwner(testModel, places, 0)
	now := time.Duration(0)
	for range rapid.IntRange(10, 200).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond
		m.settle(now)
		if rapid.Bool().Draw(t, "want") {
			a := adapterN(rapid.IntRange(0, 9).Draw(t, "adapter"))
			if rapid.IntRange(0, 3).Draw(t, "declare") == 0 {
				m.newest[a] = max(1, m.newest[a]) + 1
			}
			o.Want(a, int64(rapid.IntRange(0, int(m.newest[a])).Draw(t, "version")), now)
		}
		if rapid.IntRange(0, 9).Draw(t, "runs end") == 0 {
			m.endRuns(now)
		}
		a := o.Next(now)
		switch a.Step {
		case StepNone:
			continue
		case StepReport:
			o.ApplyReport(m.report(), now)
			continue
		case StepRetire:
			o.ApplyRetired(a.Adapter, rapid.IntRange(0, 1).Draw(t, "running"), now)
			continue
		}
		if a.Seq > m.seq {
			t.Fatalf("%+v names more orders than the %d that the worker accepted", a, m.seq)
		}
		runs := rapid.Bool().Draw(t, "runs")
		t.Logf("%v %+v worker %+v", now, a, m)
		switch rapid.IntRange(0, 5).Draw(t, "fate") {
		case 0:
			o.ApplyResult(a, Unanswered, now)
		case 1:
			m.carryOut(a, now, runs)
			o.ApplyResult(a, Unanswered, now)
		case 2:
			m.late = append(m.late, a)
			o.ApplyResult(a, Unanswered, now)
		default:
			o.ApplyResult(a, m.carryOut(a, now, runs), now)
		}
		if len(m.late) > 0 && rapid.Bool().Draw(t, "run late") {
			m.carryOut(m.late[0], now, runs)
			m.late = m.late[1:]
		}
		if m.over {
			t.Fatalf("the worker was ordered to hold more than %d adapters", places)
		}
	}
}

// TestOrdersNameTheirVersion guards adapters against late orders: one without a version that is carried out after a newer
// version was declared replaces the adapter, and takes the number of another order.
func TestOrdersNameTheirVersion(t *testing.T) {
	Convey("a load and the question whether it has ended name the first version if none was declared", t, func() {
		o := syncedOwner(1)
		o.Want(adapterN(1), 0, 0)
		load := o.Next(0)
		So(load.Version, ShouldEqual, 1)
		o.ApplyResult(load, Accepted, 0)
		poll := o.Next(pollEvery)
		So(poll.Step, ShouldEqual, StepPoll)
		So(poll.Version, ShouldEqual, 1)
	})
}

// TestReplacementInProgress guards the count of orders while a worker waits for the runs of an adapter to replace it:
// a repeated load is answered like an accepted one and not counted, and all others are refused.
func TestReplacementInProgress(t *testing.T) {
	Convey("a busy worker gets no orders, and the adapter counts as loading", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(1), 2, 0)
		load := o.Next(0)
		So(load.Step, ShouldEqual, StepLoad)
		o.ApplyResult(load, Accepted, 0)
		o.Want(adapterN(2), 0, 0)
		other := o.Next(time.Millisecond)
		So(other.Adapter, ShouldResemble, adapterN(2))
		o.ApplyResult(other, Conflict, time.Millisecond)
		now := time.Millisecond + reportLag
		So(o.Next(now).Step, ShouldEqual, StepReport)
		o.ApplyReport(Snapshot{Seq: 1, Busy: true, Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, now)
		So(o.Next(now).Step, ShouldEqual, StepNone)
		_, holds := o.Holds(adapterN(1), 0)
		So(holds, ShouldBeFalse)
		now += reportLag
		So(o.Next(now).Step, ShouldEqual, StepReport)
		o.ApplyReport(Snapshot{Seq: 1, Models: []string{testModel}, Pending: map[Adapter]int64{adapterN(1): 2}}, now)
		a := o.Next(now)
		So(a.Step, ShouldEqual, StepLoad)
		So(a.Seq, ShouldEqual, 1)
	})
}

// TestRunningAdaptersStay guards requests under way at any instance: their adapter is not evicted, since the unload
// would wait for them and block all other orders.
func TestRunningAdaptersStay(t *testing.T) {
	Convey("an adapter with runs is no victim, however long ago they began", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.SetRunning("other", map[Adapter]int{adapterN(1): 1}, 0)
		o.Want(adapterN(3), 0, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
		o.SetRunning("other", nil, 3*time.Second)
		So(nextUnload(o, 3*time.Second).Step, ShouldEqual, StepUnload)
	})
	Convey("while an unload waits for runs, no other order is given", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(3), 0, 3*time.Second)
		unload := nextUnload(o, 3*time.Second)
		o.ApplyResult(unload, Accepted, 3*time.Second)
		o.Want(adapterN(4), 0, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
		So(o.Next(3*time.Second+pollEvery).Step, ShouldEqual, StepUnload)
	})
}

// TestRetireBeforeUnload guards requests that other instances sent since their last heartbeat: an adapter in use is
// not unloaded, and one that is wanted again while it is retired stays.
func TestRetireBeforeUnload(t *testing.T) {
	full := func() *Owner {
		o := syncedOwner(1)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(2), 0, 3*time.Second)
		return o
	}
	Convey("a retired adapter with requests under way stays", t, func() {
		o := full()
		a := o.Next(3 * time.Second)
		So(a.Step, ShouldEqual, StepRetire)
		o.ApplyRetired(a.Adapter, 1, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
	})
	Convey("a retired adapter that is wanted again is not unloaded", t, func() {
		o := full()
		a := o.Next(3 * time.Second)
		o.ApplyRetired(a.Adapter, 0, 3*time.Second)
		_, holds := o.Holds(adapterN(1), 0)
		So(holds, ShouldBeFalse)
		o.Want(adapterN(1), 0, 3*time.Second)
		_, holds = o.Holds(adapterN(1), 0)
		So(holds, ShouldBeTrue)
		So(o.Next(3*time.Second).Step, ShouldNotEqual, StepUnload)
	})
	Convey("an adapter whose unload was ordered is not held", t, func() {
		o := full()
		So(nextUnload(o, 3*time.Second).Step, ShouldEqual, StepUnload)
		_, holds := o.Holds(adapterN(1), 0)
		So(holds, ShouldBeFalse)
	})
}

// TestDeadInstanceFreesAdapters guards places against requests of instances that ended: what they told as running must
// not keep an adapter for good.
func TestDeadInstanceFreesAdapters(t *testing.T) {
	Convey("the counts of an ended instance are dropped", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.SetRunning("dead", map[Adapter]int{adapterN(1): 2}, 0)
		o.Want(adapterN(3), 0, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
		o.RetainInstances(func(instance string) bool { return instance != "dead" })
		So(nextUnload(o, 3*time.Second).Step, ShouldEqual, StepUnload)
	})
}

// TestLoadsServeRequestsOnTime guards requests that can still be on time against those that waited longer: with more
// misses than loads, an order by age makes all of them late.
func TestLoadsServeRequestsOnTime(t *testing.T) {
	const slack = 600 * time.Millisecond
	Convey("a late want makes way for one that is on time, and more requests go before fewer", t, func() {
		o := syncedOwner(4)
		o.AddWaiter(adapterN(1), 0, slack, 0)
		now := slack
		o.AddWaiter(adapterN(2), 0, now+slack, now)
		o.AddWaiter(adapterN(3), 0, now+slack, now)
		o.AddWaiter(adapterN(3), 0, now+slack, now)
		var order []Adapter
		for range 3 {
			a := o.Next(now)
			So(a.Step, ShouldEqual, StepLoad)
			order = append(order, a.Adapter)
			o.ApplyResult(a, Accepted, now)
		}
		So(order, ShouldResemble, []Adapter{adapterN(3), adapterN(2), adapterN(1)})
	})
	Convey("a version that could not be loaded in time is forgotten when nobody asks for it", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(2): 1}}, 0)
		o.AddWaiter(adapterN(1), 2, slack, 0)
		o.SetRunning("other", map[Adapter]int{adapterN(2): 1}, 0)
		So(o.Next(time.Second).Step, ShouldEqual, StepNone)
		o.SetRunning("other", nil, time.Second)
		So(o.Next(slack+2*wantLife).Step, ShouldEqual, StepNone)
		So(o.Wanted(adapterN(1)), ShouldBeFalse)
	})
	Convey("a request that left counts no more", t, func() {
		o := syncedOwner(4)
		o.AddWaiter(adapterN(1), 0, slack, 0)
		o.AddWaiter(adapterN(2), 0, slack, 0)
		o.RemoveWaiter(adapterN(1), slack)
		So(o.Next(activeWant+time.Millisecond).Adapter, ShouldResemble, adapterN(2))
	})
}

// TestAdmission guards requests against waiting at a worker that cannot load their adapter in time while another might,
// and late ones against a queue without an end.
func TestAdmission(t *testing.T) {
	const slack = 2 * expectedLoad
	Convey("a queue that is too long for the slack admits only late requests", t, func() {
		o := syncedOwner(100)
		n := 0
		for o.Admits(adapterN(n), 0, slack, 0) {
			o.AddWaiter(adapterN(n), 0, slack, 0)
			n++
		}
		// As many as fit beside each other, and as many again while the first ones load.
		So(n, ShouldEqual, 2*MaxTransit)
		So(o.Admits(adapterN(0), 0, slack, 0), ShouldBeTrue)
		So(o.Admits(adapterN(n), 0, 0, 0), ShouldBeTrue)
		for o.Admits(adapterN(n), 0, 0, 0) {
			o.AddWaiter(adapterN(n), 0, 0, 0)
			n++
			So(n, ShouldBeLessThan, 100)
		}
	})
	Convey("a worker whose adapters are all in use admits nothing that must be on time", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Snapshot{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.SetRunning("other", map[Adapter]int{adapterN(1): 1}, 0)
		now := 3 * time.Second
		So(o.Admits(adapterN(2), 0, now+slack, now), ShouldBeTrue)
		o.AddWaiter(adapterN(2), 0, now+slack, now)
		So(o.Next(now).Step, ShouldEqual, StepNone)
		So(o.Admits(adapterN(3), 0, now+slack, now), ShouldBeFalse)
	})
}
