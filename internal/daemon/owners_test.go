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

// loadSeed fixes the adapters that the load asks for.
const loadSeed = 7

// ignoresFence makes the engines ignore the fence and evict adapters in use when told to.
func ignoresFence(o *stack.Options) { o.Engine.ChecksFence = false }

// oneSlot leaves one engine with one slot, which ignores the fence.
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

// ask completes a request of an adapter through an instance.
func (f *testFleet) ask(i int, model string, tokens int) (reply, error) {
	return f.call(i, http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d}`, model, tokens), nil)
}

func (f *testFleet) mustAsk(i int, model string) {
	r, err := f.ask(i, model, 2)
	So(err, ShouldBeNil)
	So(fmt.Sprint(r), ShouldStartWith, "{200")
}

// testLoad is what a load of many adapters saw.
type testLoad struct {
	answered atomic.Int64
	mu       sync.Mutex
	failed   []string
}

// load asks for random adapters through every ready instance until the context ends.
func (f *testFleet) load(ctx context.Context, workers int, models []string) (*testLoad, func()) {
	l := &testLoad{}
	var all sync.WaitGroup
	for w := range workers {
		rnd := rand.New(rand.NewPCG(loadSeed, uint64(w)))
		all.Go(func() {
			for ctx.Err() == nil {
				i := rnd.IntN(f.count())
				ready, err := f.call(i, http.MethodGet, "/readyz", "", nil)
				if err != nil || ready.status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				r, err := f.ask(i, models[rnd.IntN(len(models))], 5+rnd.IntN(40))
				if err == nil && r.status == http.StatusOK {
					l.answered.Add(1)
					continue
				}
				l.mu.Lock()
				l.failed = append(l.failed, fmt.Sprint(i, r, err))
				l.mu.Unlock()
			}
		})
	}
	return l, all.Wait
}

func (f *testFleet) evictedBusy() (n int) {
	for _, e := range f.stack.Engines {
		n += e.EvictedBusy()
	}
	return n
}

// engineState returns an engine's ownership as an instance folds it.
func (f *testFleet) engineState(i int, engine string) ownership.Engine {
	c := f.instance(i).control
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership.Engine(engine)
}

// owner returns the number of the instance that owns an engine.
func (f *testFleet) owner(engine string) int {
	for i := range f.instances {
		if f.engineState(i, engine).Owner == f.instance(i).opts.Incarnation {
			return i
		}
	}
	f.t.Fatal("nobody owns " + engine)
	return 0
}

// orders counts the orders of a kind that the instances recorded in their timelines as carried out.
func (f *testFleet) orders(kind event.Kind) (n int) {
	for _, i := range f.instances {
		for _, e := range i.events.recorder.Events(event.Filter{}) {
			if e.Kind == kind && e.Code == "done" {
				n++
			}
		}
	}
	return n
}

// spentLoads returns the loads that were charged to the weight store's budget.
func (f *testFleet) spentLoads() (n float64) {
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

// Guards against the eviction of an adapter in use, against loads beyond the weight store's budget, and
// against loads that are charged twice or not at all.
func TestMoreAdaptersThanSlots(t *testing.T) {
	for name, change := range map[string]func(*stack.Options){"checks the fence": nil, "ignores the fence": ignoresFence} {
		runFleet(t, 3, change, func(f *testFleet) {
			Convey("On an engine that "+name+", with 14 adapters for 8 slots", t, func() {
				models := f.addAdapters(14)
				ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
				defer stop()
				before, spent := f.stack.Store.Loads(), f.spentLoads()
				l, wait := f.load(ctx, 9, models)
				wait()
				time.Sleep(testSettleTime)
				loads := f.stack.Store.Loads() - before
				t.Logf("%s: %d answers, %d loads in 30 s, %d evictions", name, l.answered.Load(), loads, f.orders(event.Evict))
				So(l.failed, ShouldBeEmpty)
				So(f.evictedBusy(), ShouldEqual, 0)
				So(f.orders(event.Evict), ShouldBeGreaterThan, 20)
				So(f.metric("turmeric_adapter_evictions_total"), ShouldEqual, f.orders(event.Evict))
				So(f.metric("turmeric_adapter_loads_total"), ShouldEqual, f.stack.Store.Loads())
				So(f.metric("turmeric_engine_owned"), ShouldEqual, len(f.stack.Engines))
				So(loads, ShouldBeLessThanOrEqualTo, 8+4*31)
				So(f.spentLoads()-spent, ShouldEqual, loads)
			})
		})
	}
}

// Guards against one load per asking instance, and one charge per asking instance, where one is enough.
func TestOneLoadServesAllInstances(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("All instances ask for one adapter at once", t, func() {
			model := f.addAdapters(1)[0]
			var all sync.WaitGroup
			var answered atomic.Int32
			for i := range f.instances {
				all.Go(func() {
					if r, err := f.ask(i, model, 2); err == nil && r.status == http.StatusOK {
						answered.Add(1)
					}
				})
			}
			all.Wait()
			So(answered.Load(), ShouldEqual, 3)
			So(f.stack.Store.Loads(), ShouldEqual, 1)
			So(f.spentLoads(), ShouldEqual, 1)
		})
	})
}

// Guards against an engine without an owner after its owner was killed, and against adapters that stop
// serving meanwhile.
func TestOwnerKilled(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("The others serve on, and a new owner loads", t, func() {
			models := f.addAdapters(2)
			f.mustAsk(0, models[0])
			old := f.owner("engine-1")
			fence := f.engineState(old, "engine-1").Fence
			f.kill(old)
			other := (old + 1) % 3
			asked := time.Now()
			f.mustAsk(other, models[0])
			So(time.Since(asked), ShouldBeLessThan, time.Second)
			f.mustAsk((old+2)%3, models[1])
			So(f.engineState(other, "engine-1").Fence, ShouldBeGreaterThan, fence)
			So(time.Since(asked), ShouldBeLessThan, 20*time.Second)
			So(f.evictedBusy(), ShouldEqual, 0)
		})
	})
}

// Guards against an eviction while a member that is cut off still has a request on the engine, and against
// a former owner that goes on giving orders.
func TestOwnerCutOffWithRequestInFlight(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("Its adapter stays until it is back", t, func() {
			models := f.addAdapters(2)
			f.mustAsk(0, models[0])
			old := f.owner("engine-1")
			fence := f.engineState(old, "engine-1").Fence
			cutOff, other := f.instance(old).name, (old+1)%3
			long := make(chan reply, 1)
			go func() {
				r, _ := f.ask(old, models[0], 3000) // 60 s
				long <- r
			}()
			time.Sleep(time.Second)
			f.net.Partition(func(from, to string) bool {
				return from == cutOff || to == cutOff+":2"
			})
			waiting := make(chan reply, 1)
			go func() {
				r, _ := f.ask(other, models[1], 2)
				waiting <- r
			}()
			time.Sleep(40 * time.Second)
			So(f.engineState(other, "engine-1").Fence, ShouldBeGreaterThan, fence)
			So(f.orders(event.Evict), ShouldEqual, 0)
			for _, v := range f.instance(old).control.slotViews([]*ownedEngine{{id: "engine-1"}}) {
				So(v.LeaseValid, ShouldBeFalse)
			}
			f.mustAsk(other, models[0])
			<-long
			f.net.Partition(nil)
			So((<-waiting).status, ShouldEqual, http.StatusOK)
			So(f.evictedBusy(), ShouldEqual, 0)
			for _, e := range f.instance(old).events.recorder.Events(event.Filter{Engine: "engine-1"}) {
				if e.Kind == event.Load || e.Kind == event.Evict {
					So(e.Fence, ShouldEqual, fence)
				}
			}
			f.mustAsk(old, models[1])
		})
	})
}

// Guards against an eviction while an engine runs a request whose connection to its instance broke.
func TestLostRequestCountsAsInFlight(t *testing.T) {
	runFleet(t, 3, oneSlot, func(f *testFleet) {
		Convey("Its adapter is evicted only after the engine confirmed its end", t, func() {
			models := f.addAdapters(2)
			owner := f.owner("engine-1")
			member, name := (owner+1)%3, f.instance((owner+1)%3).name
			f.mustAsk(owner, models[0])
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
				r, _ := f.ask(owner, models[1], 2)
				waiting <- r
			}()
			time.Sleep(4 * time.Second)
			So(f.evictedBusy(), ShouldEqual, 0)
			time.Sleep(10 * time.Second)
			So(f.orders(event.Evict), ShouldEqual, 0)
			f.net.Partition(nil)
			So((<-waiting).status, ShouldEqual, http.StatusOK)
			So(f.evictedBusy(), ShouldEqual, 0)
		})
	})
}

// Guards against resident adapters that need the log or an owner to serve, and against an engine that
// checks the fence but loads nothing while the log is down.
func TestSlotsWhileLogIsDown(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("Adapters serve with and without owners, and owners go on loading", t, func() {
			models := f.addAdapters(12)
			f.mustAsk(0, models[0])
			f.stack.Log.SetDown(true)
			time.Sleep(time.Minute)
			for i := range f.instances {
				f.mustAsk(i, models[0])
			}
			for n, model := range models {
				f.mustAsk(n%3, model)
			}
			So(f.orders(event.Evict), ShouldBeGreaterThanOrEqualTo, 4)
			last := models[len(models)-1]
			f.kill(f.owner("engine-1"))
			time.Sleep(time.Minute)
			for i := range f.instances {
				if f.instance(i).control.valid() {
					f.mustAsk(i, last)
				}
			}
			So(f.evictedBusy(), ShouldEqual, 0)
		})
	})
}

// Guards against a planned replacement that loses engines, cuts requests off or leaves orders open.
func TestRollingReplacementOfOwners(t *testing.T) {
	runFleet(t, 3, ignoresFence, func(f *testFleet) {
		Convey("All instances are replaced in turn under a load that needs evictions", t, func() {
			models := f.addAdapters(12)
			ctx, stop := context.WithCancel(context.Background())
			l, wait := f.load(ctx, 6, models)
			for i := range 3 {
				f.instance(i).stopPlanned()
				f.start(fmt.Sprintf("replacement%d", i+1))
				time.Sleep(2 * testSettleTime)
			}
			evictions := f.orders(event.Evict)
			time.Sleep(4 * testSettleTime)
			stop()
			wait()
			So(l.failed, ShouldBeEmpty)
			So(f.evictedBusy(), ShouldEqual, 0)
			So(f.orders(event.Evict), ShouldBeGreaterThan, evictions)
			for _, e := range []string{"engine-1", "engine-2"} {
				So(f.engineState(3, e).Owner, ShouldStartWith, "replacement")
			}
		})
	})
}

// Guards against an order that a planned stop cuts off: on an engine that ignores the fence, its slot would
// count as taken until the quarantine ends.
func TestPlannedStopFinishesOrders(t *testing.T) {
	slow := func(o *stack.Options) {
		oneSlot(o)
		o.Store.LoadTime = 4 * time.Second
	}
	runFleet(t, 3, slow, func(f *testFleet) {
		Convey("The owner leaves after the load that it ordered", t, func() {
			models := f.addAdapters(2)
			old := f.owner("engine-1")
			other := (old + 1) % 3
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				f.instance(old).stopPlanned()
			}()
			time.Sleep(time.Second)
			f.mustAsk(other, models[0])
			<-stopped
			So(f.engineState(other, "engine-1").OpenOrders, ShouldBeEmpty)
			f.mustAsk(other, models[1])
		})
	})
}

// Guards against marks that a process takes before it has read its own join: the records before that would
// drop them, after the owner has counted its answer.
func TestRetireBeforeJoin(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("An incarnation that has not joined answers no owner and dispatches nothing", t, func() {
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

// Guards against a control snapshot without the engines' owners.
func TestOwnershipOutlivesRetention(t *testing.T) {
	short := func(o *stack.Options) { o.Retention = 10 * time.Minute }
	runFleet(t, 3, short, func(f *testFleet) {
		Convey("A new instance knows claims that the log has dropped", t, func() {
			f.mustAsk(0, "summary")
			time.Sleep(15 * time.Minute)
			f.start("late")
			time.Sleep(testSettleTime)
			So(f.engineState(0, "engine-1").Fence, ShouldBeGreaterThan, 0)
			So(f.engineState(3, "engine-1"), ShouldResemble, f.engineState(0, "engine-1"))
		})
	})
}

// countingPeers counts the messages about slots between instances, with their protobuf bytes.
type countingPeers struct {
	slotPeers
	messages, bytes *atomic.Int64
}

func counted[Q, A proto.Message](c *countingPeers, q Q, send func() (A, error)) (A, error) {
	a, err := send()
	c.messages.Add(2)
	c.bytes.Add(int64(proto.Size(q) + proto.Size(a)))
	return a, err
}

func (c *countingPeers) Retire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return counted(c, r, func() (*peerpb.RetireResponse, error) { return c.slotPeers.Retire(ctx, addr, r) })
}

func (c *countingPeers) Unretire(ctx context.Context, addr string, r *peerpb.RetireRequest) (*peerpb.RetireResponse, error) {
	return counted(c, r, func() (*peerpb.RetireResponse, error) { return c.slotPeers.Unretire(ctx, addr, r) })
}

func (c *countingPeers) WantAdapter(ctx context.Context, addr string, r *peerpb.WantAdapterRequest) (*peerpb.WantAdapterResponse, error) {
	return counted(c, r, func() (*peerpb.WantAdapterResponse, error) { return c.slotPeers.WantAdapter(ctx, addr, r) })
}

// Guards against messages between instances that grow faster than with the number of members. It prints
// the cost of one load without and with an eviction.
func TestCostOfLoadAndEviction(t *testing.T) {
	for _, n := range []int{3, 7} {
		var messages, bytes atomic.Int64
		// The counting client is there from the start, since owners read it without a lock.
		count := func(d *Daemon) {
			d.owners.peers = &countingPeers{slotPeers: d.owners.peers, messages: &messages, bytes: &bytes}
		}
		runPreparedFleet(t, n, oneSlot, count, func(f *testFleet) {
			Convey(fmt.Sprintf("With %d instances", n), t, func() {
				models := f.addAdapters(2)
				owner := f.owner("engine-1")
				messages.Store(0)
				bytes.Store(0)
				f.mustAsk((owner+1)%n, models[0])
				t.Logf("%d instances: load: %d messages, %d bytes", n, messages.Load(), bytes.Load())
				So(messages.Load(), ShouldEqual, 2)
				messages.Store(0)
				bytes.Store(0)
				time.Sleep(testSettleTime)
				f.mustAsk((owner+1)%n, models[1])
				time.Sleep(testSettleTime)
				t.Logf("%d instances: eviction and load: %d messages, %d bytes", n, messages.Load(), bytes.Load())
				So(f.orders(event.Evict), ShouldEqual, 1)
				So(messages.Load(), ShouldBeLessThanOrEqualTo, 4*(n-1)+2+2*int(slots.DefaultRetireTimeout/wantAnswerTimeout))
			})
		})
	}
}
