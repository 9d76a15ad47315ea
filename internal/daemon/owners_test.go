package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/slots"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
	"google.golang.org/protobuf/proto"
)

// trafficSeed seeds the choice of the instances and adapters that the traffic uses.
const trafficSeed = 7

// ignoresFence makes the engines ignore the fence and, if so ordered, evict adapters in use.
func ignoresFence(o *stack.Options) { o.Engine.ChecksFence = false }

// oneSlot leaves a single engine, which has one slot and ignores the fence.
func oneSlot(o *stack.Options) {
	ignoresFence(o)
	o.EngineAddresses, o.Engine.Slots = o.EngineAddresses[:1], 1
}

// addAdapters publishes n adapters and returns their names.
func (f *testFleet) addAdapters(n int) []string {
	var names []string
	for i := range n {
		name := fmt.Sprintf("adapter%02d", i)
		f.doc.Adapters[name] = config.Adapter{Workspace: "racks", BaseModel: "base", Versions: []string{"1"}, Default: "1"}
		names = append(names, name)
	}
	old := f.published()
	ops, err := config.Diff(old, f.doc)
	if err != nil {
		f.t.Fatal(err)
	}
	f.appendChange(ops)
	time.Sleep(testSettleTime)
	return names
}

// completeModel sends a completion of an adapter to an instance.
func (f *testFleet) completeModel(i int, model string, tokens int) (reply, error) {
	return f.call(i, http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d}`, model, tokens), nil)
}

// mustCompleteModel sends a short completion, which must succeed.
func (f *testFleet) mustCompleteModel(i int, model string) {
	r, err := f.completeModel(i, model, 2)
	So(err, ShouldBeNil)
	So(fmt.Sprint(r), ShouldStartWith, "{200")
}

// trafficResult is the outcome of runTraffic.
type trafficResult struct {
	answered atomic.Int64
	mu       sync.Mutex
	failed   []string
}

// runTraffic sends completions of random adapters to random ready instances, in the given number of goroutines, until
// the context ends. The function that it returns waits for the goroutines.
func (f *testFleet) runTraffic(ctx context.Context, workers int, models []string) (*trafficResult, func()) {
	result := &trafficResult{}
	var wg sync.WaitGroup
	for w := range workers {
		rnd := rand.New(rand.NewPCG(trafficSeed, uint64(w)))
		wg.Go(func() {
			for ctx.Err() == nil {
				i := rnd.IntN(f.instanceCount())
				ready, err := f.call(i, http.MethodGet, "/readyz", "", nil)
				if err != nil || ready.status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				r, err := f.completeModel(i, models[rnd.IntN(len(models))], 5+rnd.IntN(40))
				if err == nil && r.status == http.StatusOK {
					result.answered.Add(1)
					continue
				}
				result.mu.Lock()
				result.failed = append(result.failed, fmt.Sprint(i, r, err))
				result.mu.Unlock()
			}
		})
	}
	return result, wg.Wait
}

// evictedBusy returns how many adapters the engines evicted while in use.
func (f *testFleet) evictedBusy() (n int) {
	for _, e := range f.stack.Engines {
		n += e.EvictedBusy()
	}
	return n
}

// engineState returns an engine's ownership state on an instance.
func (f *testFleet) engineState(i int, engine string) ownership.Engine {
	c := f.instance(i).control
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.Engine(engine)
}

// owner returns the index of the instance that owns an engine.
func (f *testFleet) owner(engine string) int {
	for i := range f.instances {
		if f.engineState(i, engine).Owner == f.instance(i).opts.Incarnation {
			return i
		}
	}
	f.t.Fatal("no instance owns " + engine)
	return 0
}

// executedOrders counts the orders of a kind that the timelines of the instances record as done.
func (f *testFleet) executedOrders(kind event.Kind) (n int) {
	for _, i := range f.instances {
		for _, e := range i.events.recorder.Events(event.Filter{}) {
			if e.Kind == kind && e.Code == "done" {
				n++
			}
		}
	}
	return n
}

// chargedLoads returns the number of loads that were charged to the weight store's budget.
func (f *testFleet) chargedLoads() (n float64) {
	for _, i := range f.instances {
		i.control.mu.Lock()
		n += float64(i.control.shares.Audit(loadsAccount).Spent) / 1e6
		i.control.mu.Unlock()
	}
	return n
}

// metric returns the sum of a metric over all instances and labels.
func (f *testFleet) metric(name string) (sum float64) {
	for _, i := range f.instances {
		families, err := i.registry.Gather()
		So(err, ShouldBeNil)
		for _, family := range families {
			for _, m := range family.GetMetric() {
				if family.GetName() == name {
					sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
				}
			}
		}
	}
	return sum
}

// TestMoreAdaptersThanSlots guards against the eviction of an adapter in use, against loads beyond the weight
// store's budget, and against loads that are charged twice or not at all.
func TestMoreAdaptersThanSlots(t *testing.T) {
	for name, change := range map[string]func(*stack.Options){"checks the fence": nil, "ignores the fence": ignoresFence} {
		runFleet(t, 3, change, func(f *testFleet) {
			Convey("With engines of which each "+name+", and 14 adapters for 8 slots", t, func() {
				models := f.addAdapters(14)
				ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
				defer stop()
				loadsBefore, chargedBefore := f.stack.Store.Loads(), f.chargedLoads()
				result, wait := f.runTraffic(ctx, 9, models)
				wait()
				time.Sleep(testSettleTime)
				loads := f.stack.Store.Loads() - loadsBefore
				t.Logf("%s: %d answers, %d loads in 30 s, %d evictions", name, result.answered.Load(), loads, f.executedOrders(event.Evict))
				So(result.failed, ShouldBeEmpty)
				So(f.evictedBusy(), ShouldEqual, 0)
				So(f.executedOrders(event.Evict), ShouldBeGreaterThan, 20)
				So(f.metric("turmeric_adapter_evictions_total"), ShouldEqual, f.executedOrders(event.Evict))
				So(f.metric("turmeric_adapter_loads_total"), ShouldEqual, f.stack.Store.Loads())
				So(f.metric("turmeric_engine_owned"), ShouldEqual, len(f.stack.Engines))
				So(loads, ShouldBeLessThanOrEqualTo, 8+4*31)
				So(f.chargedLoads()-chargedBefore, ShouldEqual, loads)
			})
		})
	}
}

// TestOneLoadServesAllInstances guards against a load and a charge for each instance that requests an adapter,
// where one of each is enough.
func TestOneLoadServesAllInstances(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("All instances request one adapter at once", t, func() {
			model := f.addAdapters(1)[0]
			var wg sync.WaitGroup
			var answered atomic.Int32
			for i := range f.instances {
				wg.Go(func() {
					if r, err := f.completeModel(i, model, 2); err == nil && r.status == http.StatusOK {
						answered.Add(1)
					}
				})
			}
			wg.Wait()
			So(answered.Load(), ShouldEqual, 3)
			So(f.stack.Store.Loads(), ShouldEqual, 1)
			So(f.chargedLoads(), ShouldEqual, 1)
		})
	})
}

// TestOwnerKilled guards against an engine that has no owner after its owner was killed, and against adapters that
// stop serving in the meantime.
func TestOwnerKilled(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("The other instances keep serving, and a new owner loads adapters", t, func() {
			models := f.addAdapters(2)
			f.mustCompleteModel(0, models[0])
			oldOwner := f.owner("engine-1")
			fence := f.engineState(oldOwner, "engine-1").Fence
			f.kill(oldOwner)
			other := (oldOwner + 1) % 3
			start := time.Now()
			f.mustCompleteModel(other, models[0])
			So(time.Since(start), ShouldBeLessThan, time.Second)
			f.mustCompleteModel((oldOwner+2)%3, models[1])
			So(f.engineState(other, "engine-1").Fence, ShouldBeGreaterThan, fence)
			So(time.Since(start), ShouldBeLessThan, 20*time.Second)
			So(f.evictedBusy(), ShouldEqual, 0)
		})
	})
}

// TestOwnerCutOffWithRequestInFlight guards against an eviction while a member that is cut off still has a request
// on the engine, and against a former owner that continues to send orders.
func TestOwnerCutOffWithRequestInFlight(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("Its adapter is not evicted until it is reachable again", t, func() {
			models := f.addAdapters(2)
			f.mustCompleteModel(0, models[0])
			oldOwner := f.owner("engine-1")
			fence := f.engineState(oldOwner, "engine-1").Fence
			cutOff, other := f.instance(oldOwner).name, (oldOwner+1)%3
			long := make(chan reply, 1)
			go func() {
				r, _ := f.completeModel(oldOwner, models[0], 3000) // takes 60 s
				long <- r
			}()
			time.Sleep(time.Second)
			f.net.Partition(func(from, to string) bool {
				return from == cutOff || to == cutOff+":2"
			})
			waiting := make(chan reply, 1)
			go func() {
				r, _ := f.completeModel(other, models[1], 2)
				waiting <- r
			}()
			time.Sleep(40 * time.Second)
			So(f.engineState(other, "engine-1").Fence, ShouldBeGreaterThan, fence)
			So(f.executedOrders(event.Evict), ShouldEqual, 0)
			for _, v := range f.instance(oldOwner).control.slotViews([]*ownedEngine{{id: "engine-1"}}) {
				So(v.LeaseValid, ShouldBeFalse)
			}
			f.mustCompleteModel(other, models[0])
			<-long
			f.net.Partition(nil)
			So((<-waiting).status, ShouldEqual, http.StatusOK)
			So(f.evictedBusy(), ShouldEqual, 0)
			for _, e := range f.instance(oldOwner).events.recorder.Events(event.Filter{Engine: "engine-1"}) {
				if e.Kind == event.Load || e.Kind == event.Evict {
					So(e.Fence, ShouldEqual, fence)
				}
			}
			f.mustCompleteModel(oldOwner, models[1])
		})
	})
}

// TestUnconfirmedRequestCountsAsInFlight guards against an eviction while an engine runs a request whose connection to
// its instance broke.
func TestUnconfirmedRequestCountsAsInFlight(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("Its adapter is evicted only after the engine has confirmed the end of the request", t, func() {
			models := f.addAdapters(2)
			owner := f.owner("engine-1")
			member, name := (owner+1)%3, f.instance((owner+1)%3).name
			f.mustCompleteModel(owner, models[0])
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				body := strings.NewReader(fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":3000}`, models[0]))
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.instance(member).address+"/v1/completions", body)
				req.Header.Set("Authorization", "Bearer "+f.secret)
				_, _ = f.httpClient().Do(req)
			}()
			time.Sleep(time.Second)
			f.net.Partition(func(from, to string) bool { return from == name && to == "engine1:1" })
			stop()
			<-done
			waiting := make(chan reply, 1)
			go func() {
				r, _ := f.completeModel(owner, models[1], 2)
				waiting <- r
			}()
			time.Sleep(4 * time.Second)
			So(f.evictedBusy(), ShouldEqual, 0)
			time.Sleep(10 * time.Second)
			So(f.executedOrders(event.Evict), ShouldEqual, 0)
			f.net.Partition(nil)
			So((<-waiting).status, ShouldEqual, http.StatusOK)
			So(f.evictedBusy(), ShouldEqual, 0)
		})
	})
}

// TestSlotsWhileLogIsDown guards against resident adapters that cannot serve without the log or an owner, and
// against an engine that checks the fence but loads nothing while the log is down.
func TestSlotsWhileLogIsDown(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("Adapters serve with and without owners, and owners continue to load", t, func() {
			models := f.addAdapters(12)
			f.mustCompleteModel(0, models[0])
			f.stack.Log.SetDown(true)
			time.Sleep(time.Minute)
			for i := range f.instances {
				f.mustCompleteModel(i, models[0])
			}
			for n, model := range models {
				f.mustCompleteModel(n%3, model)
			}
			So(f.executedOrders(event.Evict), ShouldBeGreaterThanOrEqualTo, 4)
			last := models[len(models)-1]
			f.kill(f.owner("engine-1"))
			time.Sleep(time.Minute)
			for i := range f.instances {
				if f.instance(i).control.valid() {
					f.mustCompleteModel(i, last)
				}
			}
			So(f.evictedBusy(), ShouldEqual, 0)
		})
	})
}

// TestRollingReplacementOfOwners guards against a planned replacement that loses engines, cuts off requests or
// leaves orders open.
func TestRollingReplacementOfOwners(t *testing.T) {
	runFleet(t, 3, ignoresFence, func(f *testFleet) {
		Convey("No request fails while all instances are replaced in turn under traffic that needs evictions", t, func() {
			models := f.addAdapters(12)
			ctx, stop := context.WithCancel(context.Background())
			result, wait := f.runTraffic(ctx, 6, models)
			for i := range 3 {
				f.instance(i).drainAndWait()
				f.start(fmt.Sprintf("replacement%d", i+1))
				time.Sleep(2 * testSettleTime)
			}
			evictions := f.executedOrders(event.Evict)
			time.Sleep(4 * testSettleTime)
			stop()
			wait()
			So(result.failed, ShouldBeEmpty)
			So(f.evictedBusy(), ShouldEqual, 0)
			So(f.executedOrders(event.Evict), ShouldBeGreaterThan, evictions)
			for _, e := range []string{"engine-1", "engine-2"} {
				So(f.engineState(3, e).Owner, ShouldStartWith, "replacement")
			}
		})
	})
}

// TestPlannedStopFinishesOrders guards against an order that a planned stop cuts off: on an engine that ignores
// the fence, its slot would count as taken until the quarantine ends.
func TestPlannedStopFinishesOrders(t *testing.T) {
	slowLoads := func(o *stack.Options) {
		oneSlot(o)
		o.Store.LoadTime = 4 * time.Second
	}
	runFleet(t, 3, slowLoads, func(f *testFleet) {
		Convey("The owner exits only after the load that it ordered has ended", t, func() {
			models := f.addAdapters(2)
			oldOwner := f.owner("engine-1")
			other := (oldOwner + 1) % 3
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				f.instance(oldOwner).drainAndWait()
			}()
			time.Sleep(time.Second)
			f.mustCompleteModel(other, models[0])
			<-stopped
			So(f.engineState(other, "engine-1").OpenOrders, ShouldBeEmpty)
			f.mustCompleteModel(other, models[1])
		})
	})
}

// TestRetireBeforeJoin guards against an incarnation that accepts Retire messages before it has read its own join
// record: the records before the join would drop the retired marks after the owner has counted the answer.
func TestRetireBeforeJoin(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("An incarnation that has not joined does not answer owners and dispatches nothing", t, func() {
			o := f.instance(0).opts
			o.Incarnation, o.Gate = "next", NewGate()
			d, err := New(o)
			So(err, ShouldBeNil)
			m := slots.Retire{Engine: "engine-1", Fence: 5, Round: 1}
			d.gate.updateOwnership(m.Engine, ownership.Engine{Fence: m.Fence, Owner: "x"}, false)
			_, ok := d.control.handleRetire(m, true)
			So(ok, ShouldBeFalse)
			_, ok = d.control.handleInFlightQuery(slots.InFlightQuery{Engine: m.Engine, Fence: m.Fence})
			So(ok, ShouldBeFalse)
			So(d.control.Begin(m.Engine, m.Adapter), ShouldEqual, errNoLease)
		})
	})
}

// TestOwnershipOutlivesRetention guards against a control snapshot without the engines' owners.
func TestOwnershipOutlivesRetention(t *testing.T) {
	shortRetention := func(o *stack.Options) { o.Retention = 10 * time.Minute }
	runFleet(t, 3, shortRetention, func(f *testFleet) {
		Convey("A new instance knows owners whose claims the log has dropped", t, func() {
			f.mustCompleteModel(0, "summary")
			time.Sleep(15 * time.Minute)
			f.start("late")
			time.Sleep(testSettleTime)
			So(f.engineState(0, "engine-1").Fence, ShouldBeGreaterThan, 0)
			So(f.engineState(3, "engine-1"), ShouldResemble, f.engineState(0, "engine-1"))
		})
	})
}

// countingPeers counts the messages about slots that instances exchange, and the bytes of their protobuf encoding.
type countingPeers struct {
	slotPeers
	messages, bytes *atomic.Int64
}

// countMessages counts a request and its answer.
func countMessages[Q, A proto.Message](c *countingPeers, q Q, send func() (A, error)) (A, error) {
	a, err := send()
	c.messages.Add(2)
	c.bytes.Add(int64(proto.Size(q) + proto.Size(a)))
	return a, err
}

func (c *countingPeers) Retire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return countMessages(c, r, func() (*peerpb.RetireResponse, error) { return c.slotPeers.Retire(ctx, addr, r) })
}

func (c *countingPeers) Unretire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return countMessages(c, r, func() (*peerpb.RetireResponse, error) { return c.slotPeers.Unretire(ctx, addr, r) })
}

func (c *countingPeers) WantAdapter(ctx context.Context, addr string, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return countMessages(c, r, func() (*peerpb.WantAdapterResponse, error) { return c.slotPeers.WantAdapter(ctx, addr, r) })
}

// TestCostOfLoadAndEviction guards against a number of messages between instances that grows faster than the
// number of members. It logs the cost of one load without and with an eviction.
func TestCostOfLoadAndEviction(t *testing.T) {
	for _, n := range []int{3, 7} {
		var messages, bytes atomic.Int64
		// The counter must be installed before the instance runs, because owners reads the field without a lock.
		count := func(d *Daemon) {
			d.owners.peers = &countingPeers{slotPeers: d.owners.peers, messages: &messages, bytes: &bytes}
		}
		runPreparedFleet(t, n, oneSlot, count, func(f *testFleet) {
			Convey(fmt.Sprintf("With %d instances", n), t, func() {
				models := f.addAdapters(2)
				owner := f.owner("engine-1")
				messages.Store(0)
				bytes.Store(0)
				f.mustCompleteModel((owner+1)%n, models[0])
				t.Logf("%d instances: load: %d messages, %d bytes", n, messages.Load(), bytes.Load())
				So(messages.Load(), ShouldEqual, 2)
				messages.Store(0)
				bytes.Store(0)
				time.Sleep(testSettleTime)
				f.mustCompleteModel((owner+1)%n, models[1])
				time.Sleep(testSettleTime)
				t.Logf("%d instances: eviction and load: %d messages, %d bytes", n, messages.Load(), bytes.Load())
				So(f.executedOrders(event.Evict), ShouldEqual, 1)
				So(messages.Load(), ShouldBeLessThanOrEqualTo, 4*(n-1)+2+2*int(slots.DefaultRetireTimeout/wantAnswerTimeout))
			})
		})
	}
}
