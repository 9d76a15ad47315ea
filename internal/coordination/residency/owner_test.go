package residency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const testModel = "base"

// Sizes in MB of what a worker of limited memory holds.
const testModelSize, otherModelSize, testAdapterSize = 100, 80, 7

func adapterN(i int) Adapter { return Adapter{Model: testModel, Name: fmt.Sprintf("a%d", i)} }

// syncedOwner returns an owner of a worker with the given number of slots after an empty report.
func syncedOwner(slots int) *Owner {
	o := NewOwner(testModel, slots, 0)
	o.ApplyReport(Report{Models: []string{testModel}}, 0)
	return o
}

// nextUnload returns the next action. If that is to retire an adapter, it reports no running requests and returns the
// action after it.
func nextUnload(o *Owner, now time.Duration) Action {
	a := o.Next(now)
	if a.Step == StepRetire {
		o.ApplyRetired(a.Adapter, 0, now)
		a = o.Next(now)
	}
	return a
}

// TestUnansweredOrder guards against a stalled owner and a wrong order count after an order without an answer. The
// order is repeated with the same number, and the answer to the repeat applies to both.
func TestUnansweredOrder(t *testing.T) {
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
	Convey("after too many repeats the worker's report is read", t, func() {
		o := syncedOwner(2)
		o.Want(adapterN(1), 0, 0)
		now := time.Duration(0)
		for range maxRetries + 1 {
			a := o.Next(now)
			So(a.Step, ShouldEqual, StepLoad)
			o.ApplyResult(a, Unanswered, now)
		}
		So(o.Next(now).Step, ShouldEqual, StepNone)
		So(o.Next(now+maxReportLag).Step, ShouldEqual, StepReport)
	})
}

// TestPollsWithoutAnswer guards against polls that are repeated without a pause at a worker that refuses connections, and against
// answers that are never awaited for long enough by a slow instance.
func TestPollsWithoutAnswer(t *testing.T) {
	Convey("polls without an answer keep their interval, and are awaited for longer", t, func() {
		o := syncedOwner(2)
		o.Want(adapterN(1), 0, 0)
		load := o.Next(0)
		So(o.AnswerTimeout(load), ShouldEqual, firstAnswerTimeout)
		for range shortAnswerTimeouts {
			So(o.AnswerTimeout(load), ShouldEqual, firstAnswerTimeout)
			o.ApplyResult(load, Unanswered, 0)
		}
		So(o.AnswerTimeout(load), ShouldEqual, repeatAnswerTimeout)
		o.ApplyResult(load, Accepted, 0)
		polls := 0
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			a := o.Next(now)
			if a.Step != StepPoll {
				So(a.At, ShouldBeGreaterThan, now)
				continue
			}
			timeout := time.Duration(repeatAnswerTimeout)
			if polls < shortAnswerTimeouts {
				timeout = firstAnswerTimeout
			}
			So(o.AnswerTimeout(a), ShouldEqual, timeout)
			polls++
			o.ApplyResult(a, Unanswered, now)
		}
		So(polls, ShouldEqual, 24)
		a := o.Next(time.Second)
		o.ApplyResult(a, Accepted, time.Second)
		So(o.AnswerTimeout(a), ShouldEqual, firstAnswerTimeout)
	})
}

// TestPollsOfLoad guards against many polls of a load that cannot be complete yet: each takes processor time of a small instance, and
// one without an answer keeps all other orders of the worker waiting.
func TestPollsOfLoad(t *testing.T) {
	Convey("a load from the weight store is polled early, and again when it is expected to be complete", t, func() {
		o := syncedOwner(2)
		o.Want(adapterN(1), 0, 0)
		o.ApplyResult(o.Next(0), Accepted, 0)
		var polls []time.Duration
		for now := time.Duration(0); now <= 300*time.Millisecond; now += time.Millisecond {
			if a := o.Next(now); a.Step == StepPoll {
				polls = append(polls, now)
				o.ApplyResult(a, Accepted, now)
			}
		}
		So(polls, ShouldResemble, []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 225 * time.Millisecond, 265 * time.Millisecond})
	})
	Convey("a load that replaces a version may be complete at any time", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(1), 2, 0)
		o.ApplyResult(o.Next(0), Accepted, 0)
		polls := 0
		for now := time.Duration(0); now <= 300*time.Millisecond; now += time.Millisecond {
			if a := o.Next(now); a.Step == StepPoll {
				polls++
				o.ApplyResult(a, Accepted, now)
			}
		}
		So(polls, ShouldEqual, 7)
	})
}

// TestLoadsWithUnansweredOrders replays loads at a worker that leaves a third of its orders unanswered, and carries them out. It guards
// against requests that are late because the owner waits for answers that do not come: of a target latency of half a second,
// 400 ms are for the load, and a load with all answers takes 330 ms.
func TestLoadsWithUnansweredOrders(t *testing.T) {
	const loads, loadTime, answerTime, bound, share = 2000, 290 * time.Millisecond, 5 * time.Millisecond, 400 * time.Millisecond, 0.75
	Convey("most loads are complete in time", t, func() {
		random := rand.New(rand.NewPCG(3, 1))
		inTime, now := 0, time.Duration(0)
		for range loads {
			w, o := newFakeWorker(2), syncedOwner(2)
			a, start := adapterN(1), now
			o.Want(a, 0, now)
			for {
				if _, ok := o.Holds(a, 0); ok {
					break
				}
				action := o.Next(now)
				if action.Step == StepNone {
					now = max(action.At, now+time.Millisecond)
					continue
				}
				result := Holds
				if p, loading := w.pending[a]; !loading {
					w.pending[a] = pendingLoad{now + loadTime, 1}
					result = Accepted
				} else if now < p.ends {
					result = Accepted
				}
				if timeout := o.AnswerTimeout(action); random.IntN(3) == 0 {
					now += timeout
					o.ApplyResult(action, Unanswered, now)
				} else {
					now += answerTime
					o.ApplyResult(action, result, now)
				}
			}
			if now-start <= bound {
				inTime++
			}
		}
		So(float64(inTime)/loads, ShouldBeGreaterThanOrEqualTo, share)
	})
}

// TestRecentlyUsedNotEvicted guards adapters that serve requests against eviction. A load waits while all slots hold
// adapters that were just used.
func TestRecentlyUsedNotEvicted(t *testing.T) {
	Convey("the least used of the idle adapters is evicted", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1, adapterN(2): 1}}, 0)
		o.RecordUse(adapterN(1), 5, 0)
		o.RecordUse(adapterN(2), 1, 0)
		o.Want(adapterN(3), 0, 0)
		So(o.Next(evictionHold-time.Millisecond).Step, ShouldEqual, StepNone)
		o.Want(adapterN(3), 0, idleAfter)
		a := nextUnload(o, idleAfter+time.Millisecond)
		So(a.Step, ShouldEqual, StepUnload)
		So(a.Adapter, ShouldResemble, adapterN(2))
	})
	Convey("if no adapter is idle, the least recently used one is evicted", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1, adapterN(2): 1}}, 0)
		o.RecordUse(adapterN(2), 1, 100*time.Millisecond)
		o.RecordUse(adapterN(1), 5, 200*time.Millisecond)
		o.Want(adapterN(3), 0, evictionHold)
		a := nextUnload(o, evictionHold+150*time.Millisecond)
		So(a.Step, ShouldEqual, StepUnload)
		So(a.Adapter, ShouldResemble, adapterN(2))
	})
}

// fakeWorker is a worker that behaves as the protocol specifies.
type fakeWorker struct {
	seq      int64
	resident map[Adapter]int64
	pending  map[Adapter]pendingLoad
	// replacing is the adapter and its new version that waits for the running requests of the old version to end. No
	// other order is taken until then.
	replacing *Action
	newest    map[Adapter]int64
	slots     int
	// models are the models that the worker holds, with their sizes, and memory is that for models and adapters; 0 means unlimited.
	models   map[string]int
	memory   int
	exceeded bool
	delayed  []Action
}

type pendingLoad struct {
	ends    time.Duration
	version int64
}

func newFakeWorker(slots int) *fakeWorker {
	return &fakeWorker{
		resident: map[Adapter]int64{}, pending: map[Adapter]pendingLoad{}, newest: map[Adapter]int64{}, slots: slots,
		models: map[string]int{testModel: 0},
	}
}

// completeLoads makes the adapters resident whose loads have ended.
func (w *fakeWorker) completeLoads(now time.Duration) {
	for a, p := range w.pending {
		if now >= p.ends {
			delete(w.pending, a)
			w.resident[a] = p.version
		}
	}
}

// version returns the version that a load of the adapter fetches.
func (w *fakeWorker) version(a Action) int64 {
	if a.Version > 0 {
		return a.Version
	}
	return max(1, w.newest[a.Adapter])
}

func (w *fakeWorker) execute(a Action, now time.Duration, running bool) Result {
	w.completeLoads(now)
	resident := w.resident[a.Adapter]
	_, loading := w.pending[a.Adapter]
	load := a.Step == StepLoad || a.Step == StepPoll
	_, hasModel := w.models[testModel]
	switch {
	case a.Step == StepLoadModel && hasModel:
		return Holds
	case a.Step == StepLoadModel && a.Seq == w.seq:
		w.seq++
		w.models[testModel] = testModelSize
		w.checkRoom()
		return Accepted
	case !hasModel:
		return Conflict
	case w.replacing != nil && load && w.replacing.Adapter == a.Adapter:
		return Accepted
	case w.replacing != nil:
		return Conflict
	case load && resident > 0 && resident >= w.version(a):
		return Holds
	case load && loading:
		return Accepted
	case !load && resident == 0:
		return Holds
	case a.Seq != w.seq:
		return Conflict
	}
	w.seq++
	if !load {
		delete(w.resident, a.Adapter)
		return Holds
	}
	if resident > 0 && running {
		w.replacing = &Action{Adapter: a.Adapter, Version: w.version(a)}
		return Accepted
	}
	w.startLoad(a.Adapter, w.version(a), now)
	return Accepted
}

func (w *fakeWorker) startLoad(a Adapter, version int64, now time.Duration) {
	delete(w.resident, a)
	w.pending[a] = pendingLoad{now + 250*time.Millisecond, version}
	w.checkRoom()
}

// checkRoom records that the worker was ordered to hold more than it has room for.
func (w *fakeWorker) checkRoom() {
	used := testAdapterSize * (len(w.resident) + len(w.pending))
	for _, size := range w.models {
		used += size
	}
	w.exceeded = w.exceeded || len(w.resident)+len(w.pending) > w.slots || w.memory > 0 && used > w.memory
}

// room returns how many adapters the worker has room for beside the test's model and those that it holds.
func (w *fakeWorker) room(models []string) int {
	free := w.memory - testModelSize
	for _, m := range models {
		if m != testModel {
			free -= otherModelSize
		}
	}
	if free < 0 {
		return -1
	}
	return min(w.slots, free/testAdapterSize)
}

// restart makes the worker empty, or lets it hold another model.
func (w *fakeWorker) restart(other bool) {
	w.seq, w.resident, w.pending, w.replacing, w.delayed = 0, map[Adapter]int64{}, map[Adapter]pendingLoad{}, nil, nil
	w.models = map[string]int{}
	if other {
		w.models["other"] = otherModelSize
	}
}

// endRequests ends the running requests that a replacement waits for.
func (w *fakeWorker) endRequests(now time.Duration) {
	if w.replacing != nil {
		w.startLoad(w.replacing.Adapter, w.replacing.Version, now)
		w.replacing = nil
	}
}

func (w *fakeWorker) report() Report {
	s := Report{Seq: w.seq, Models: slices.Sorted(maps.Keys(w.models)), Resident: map[Adapter]int64{}, Pending: map[Adapter]int64{}, Busy: w.replacing != nil}
	for a, v := range w.resident {
		s.Resident[a] = v
	}
	for a, p := range w.pending {
		s.Pending[a] = p.version
	}
	return s
}

// TestSlotsNeverExceeded guards the slots of a worker against orders that are lost, carried out without an answer, or
// carried out late: a worker that is ordered to hold more adapters than it has slots crashes. An order must never name
// a higher number of orders than the worker has accepted, because it could then take effect late, after newer orders.
func TestSlotsNeverExceeded(t *testing.T) {
	// One check runs 100 sequences. Few of them have a late order and a declared version in the order that matters.
	const rounds = 20
	for range rounds {
		rapid.Check(t, checkSlotsNotExceeded)
	}
}

// TestMemoryNeverExceeded guards the memory of a worker in the same way, also against models that it holds besides, restarts, and
// owners that replace each other: with one adapter too many, or a second model that does not fit, the worker crashes.
func TestMemoryNeverExceeded(t *testing.T) {
	const rounds = 20
	for range rounds {
		rapid.Check(t, checkMemoryNotExceeded)
	}
	Convey("a model that does not fit beside another one is not loaded", t, func() {
		w := newFakeWorker(4)
		w.memory = testModelSize + otherModelSize - 1
		w.restart(true)
		o := NewOwner(testModel, 4, 0)
		o.LimitMemory(w.room)
		o.ApplyReport(w.report(), 0)
		o.Want(adapterN(1), 0, 0)
		So(o.Next(0).Step, ShouldEqual, StepNone)
	})
}

func checkMemoryNotExceeded(t *rapid.T) {
	w := newFakeWorker(4)
	w.memory = testModelSize + rapid.IntRange(-1, 5*testAdapterSize).Draw(t, "room")
	w.restart(rapid.Bool().Draw(t, "other model"))
	newOwner := func(now time.Duration) *Owner {
		o := NewOwner(testModel, 4, now)
		o.LimitMemory(w.room)
		return o
	}
	o, now := newOwner(0), time.Duration(0)
	for range rapid.IntRange(1, 4).Draw(t, "owners") {
		now = checkOrders(t, w, o, now)
		if rapid.Bool().Draw(t, "restart") {
			w.restart(rapid.Bool().Draw(t, "other model"))
		}
		o = newOwner(now)
	}
}

func checkSlotsNotExceeded(t *rapid.T) {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	checkOrders(t, newFakeWorker(slots), NewOwner(testModel, slots, 0), 0)
}

// checkOrders carries out the orders of an owner, some of them late or without an answer, and returns the time at the end.
func checkOrders(t *rapid.T, w *fakeWorker, o *Owner, now time.Duration) time.Duration {
	for range rapid.IntRange(10, 200).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond
		w.completeLoads(now)
		if rapid.Bool().Draw(t, "want") {
			a := adapterN(rapid.IntRange(0, 9).Draw(t, "adapter"))
			if rapid.IntRange(0, 3).Draw(t, "declare") == 0 {
				w.newest[a] = max(1, w.newest[a]) + 1
			}
			o.Want(a, int64(rapid.IntRange(0, int(w.newest[a])).Draw(t, "version")), now)
		}
		if rapid.IntRange(0, 9).Draw(t, "requests end") == 0 {
			w.endRequests(now)
		}
		a := o.Next(now)
		switch a.Step {
		case StepNone:
			continue
		case StepReport:
			o.ApplyReport(w.report(), now)
			continue
		case StepRetire:
			o.ApplyRetired(a.Adapter, rapid.IntRange(0, 1).Draw(t, "running"), now)
			continue
		}
		if a.Seq > w.seq {
			t.Fatalf("%+v names more orders than the %d that the worker accepted", a, w.seq)
		}
		running := rapid.Bool().Draw(t, "requests running")
		t.Logf("%v %+v worker %+v", now, a, w)
		switch rapid.IntRange(0, 5).Draw(t, "delivery") {
		case 0:
			o.ApplyResult(a, Unanswered, now)
		case 1:
			w.execute(a, now, running)
			o.ApplyResult(a, Unanswered, now)
		case 2:
			w.delayed = append(w.delayed, a)
			o.ApplyResult(a, Unanswered, now)
		default:
			o.ApplyResult(a, w.execute(a, now, running), now)
		}
		if len(w.delayed) > 0 && rapid.Bool().Draw(t, "execute delayed") {
			w.execute(w.delayed[0], now, running)
			w.delayed = w.delayed[1:]
		}
		if w.exceeded {
			t.Fatalf("the worker was ordered to hold more than %d adapters, or %d MB", w.slots, w.memory)
		}
	}
	return now
}

// TestOrdersNameTheirVersion guards adapters against late orders: an order without a version that takes effect after a
// newer version was declared would replace the adapter, and use up the number of another order.
func TestOrdersNameTheirVersion(t *testing.T) {
	Convey("a load and its poll name the first version if none was declared", t, func() {
		o := syncedOwner(1)
		o.Want(adapterN(1), 0, 0)
		load := o.Next(0)
		So(load.Version, ShouldEqual, 1)
		o.ApplyResult(load, Accepted, 0)
		poll := o.Next(pollInterval)
		So(poll.Step, ShouldEqual, StepPoll)
		So(poll.Version, ShouldEqual, 1)
	})
}

// TestReplacementInProgress guards the order count while a worker waits for the running requests of an adapter to end
// before it replaces the adapter: a repeated load is answered like an accepted one but not counted, and all other
// orders are rejected.
func TestReplacementInProgress(t *testing.T) {
	Convey("a busy worker gets no orders, and the adapter counts as loading", t, func() {
		o := syncedOwner(2)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(1), 2, 0)
		load := o.Next(0)
		So(load.Step, ShouldEqual, StepLoad)
		o.ApplyResult(load, Accepted, 0)
		o.Want(adapterN(2), 0, 0)
		other := o.Next(time.Millisecond)
		So(other.Adapter, ShouldResemble, adapterN(2))
		o.ApplyResult(other, Conflict, time.Millisecond)
		now := time.Millisecond + maxReportLag
		So(o.Next(now).Step, ShouldEqual, StepReport)
		o.ApplyReport(Report{Seq: 1, Busy: true, Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, now)
		So(o.Next(now).Step, ShouldEqual, StepNone)
		_, holds := o.Holds(adapterN(1), 0)
		So(holds, ShouldBeFalse)
		now += maxReportLag
		So(o.Next(now).Step, ShouldEqual, StepReport)
		o.ApplyReport(Report{Seq: 1, Models: []string{testModel}, Pending: map[Adapter]int64{adapterN(1): 2}}, now)
		a := o.Next(now)
		So(a.Step, ShouldEqual, StepLoad)
		So(a.Seq, ShouldEqual, 1)
	})
}

// TestAdaptersWithRequestsNotEvicted guards running requests of any instance: their adapter is not evicted, since the
// unload would wait for them and block all other orders.
func TestAdaptersWithRequestsNotEvicted(t *testing.T) {
	Convey("an adapter with running requests is not evicted, however long ago they started", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.SetRunning("other", map[Adapter]int{adapterN(1): 1}, 0)
		o.Want(adapterN(3), 0, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
		o.SetRunning("other", nil, 3*time.Second)
		So(nextUnload(o, 3*time.Second).Step, ShouldEqual, StepUnload)
	})
	Convey("while an unload waits for running requests, no other order is sent", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(3), 0, 3*time.Second)
		unload := nextUnload(o, 3*time.Second)
		o.ApplyResult(unload, Accepted, 3*time.Second)
		o.Want(adapterN(4), 0, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
		So(o.Next(3*time.Second+pollInterval).Step, ShouldEqual, StepUnload)
	})
}

// TestRetireBeforeUnload guards requests that other instances sent since their last heartbeat: an adapter in use is
// not unloaded, and an adapter that is wanted again while it is being retired stays resident.
func TestRetireBeforeUnload(t *testing.T) {
	full := func() *Owner {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.Want(adapterN(2), 0, 3*time.Second)
		return o
	}
	Convey("a retired adapter with running requests stays resident", t, func() {
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
	Convey("an adapter whose unload was ordered does not count as resident", t, func() {
		o := full()
		So(nextUnload(o, 3*time.Second).Step, ShouldEqual, StepUnload)
		_, holds := o.Holds(adapterN(1), 0)
		So(holds, ShouldBeFalse)
	})
}

// TestDeadInstanceReleasesAdapters guards slots against running requests reported by instances that have ended: they
// must not keep an adapter resident forever.
func TestDeadInstanceReleasesAdapters(t *testing.T) {
	Convey("the running requests of an ended instance are dropped", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.SetRunning("dead", map[Adapter]int{adapterN(1): 2}, 0)
		o.Want(adapterN(3), 0, 3*time.Second)
		So(o.Next(3*time.Second).Step, ShouldEqual, StepNone)
		o.RetainInstances(func(instance string) bool { return instance != "dead" })
		So(nextUnload(o, 3*time.Second).Step, ShouldEqual, StepUnload)
	})
}

// TestLoadsServeRequestsOnTime guards requests that can still be on time against requests that have waited longer:
// when there are more misses than loads, loading in order of age makes all of them late.
func TestLoadsServeRequestsOnTime(t *testing.T) {
	const slack = 600 * time.Millisecond
	Convey("wants on time go before late ones, and those with more requests before those with fewer", t, func() {
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
	Convey("a version that could not be loaded in time is dropped when nobody asks for it", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(2): 1}}, 0)
		o.AddWaiter(adapterN(1), 2, slack, 0)
		o.SetRunning("other", map[Adapter]int{adapterN(2): 1}, 0)
		So(o.Next(time.Second).Step, ShouldEqual, StepNone)
		o.SetRunning("other", nil, time.Second)
		So(o.Next(slack+2*wantExpiry).Step, ShouldEqual, StepNone)
		So(o.Wanted(adapterN(1)), ShouldBeFalse)
	})
	Convey("a request that no longer waits does not count", t, func() {
		o := syncedOwner(4)
		o.AddWaiter(adapterN(1), 0, slack, 0)
		o.AddWaiter(adapterN(2), 0, slack, 0)
		o.RemoveWaiter(adapterN(1), slack)
		So(o.Next(activeWindow+time.Millisecond).Adapter, ShouldResemble, adapterN(2))
	})
}

// TestAdmission guards requests against waiting at a worker that cannot load their adapter in time while another worker
// might, and late requests against an unbounded queue.
func TestAdmission(t *testing.T) {
	const slack = 2 * expectedLoadTime
	Convey("a queue that is too long for the slack admits only late requests", t, func() {
		o := syncedOwner(100)
		n := 0
		for o.Admits(adapterN(n), 0, slack, 0) {
			o.AddWaiter(adapterN(n), 0, slack, 0)
			n++
		}
		// As many as may load in parallel, and as many again that wait for the first ones.
		So(n, ShouldEqual, 2*MaxConcurrentLoads)
		So(o.Admits(adapterN(0), 0, slack, 0), ShouldBeTrue)
		So(o.Admits(adapterN(n), 0, 0, 0), ShouldBeTrue)
		for o.Admits(adapterN(n), 0, 0, 0) {
			o.AddWaiter(adapterN(n), 0, 0, 0)
			n++
			So(n, ShouldBeLessThan, 100)
		}
	})
	Convey("a worker whose adapters are all in use admits no request that must be on time", t, func() {
		o := syncedOwner(1)
		o.ApplyReport(Report{Models: []string{testModel}, Resident: map[Adapter]int64{adapterN(1): 1}}, 0)
		o.SetRunning("other", map[Adapter]int{adapterN(1): 1}, 0)
		now := 3 * time.Second
		So(o.Admits(adapterN(2), 0, now+slack, now), ShouldBeTrue)
		o.AddWaiter(adapterN(2), 0, now+slack, now)
		So(o.Next(now).Step, ShouldEqual, StepNone)
		So(o.Admits(adapterN(3), 0, now+slack, now), ShouldBeFalse)
	})
}
