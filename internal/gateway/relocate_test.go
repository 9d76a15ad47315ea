package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/evacuation"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// relocationGateway returns an instance in a synctest bubble that owns a worker in data centre z3, the only one with the base model.
// Its worker in z1 holds adapters 0 and 1, and that in z2 adapter 2, which is requested more.
func relocationGateway() (g *Gateway, o *owner) {
	begin := time.Now()
	g = New(Settings{Instance: "a"}, Dependencies{}, noNetwork{}, func() time.Duration { return time.Hour + time.Since(begin) }, zerolog.Nop())
	engine := &routing.Engine{Models: []routing.Model{{Name: "m"}}, AdapterSlots: 8}
	g.applyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "app", Engine: engine}}}, g.now())
	var entries []workers.Entry
	for _, z := range []string{"z1", "z2", "z3"} {
		w := &workers.Worker{ID: "w" + z, Service: "app", Address: z + ":80", DataCentre: z, StartedMilli: 1}
		entries = append(entries, workers.Entry{ID: w.ID, Worker: w})
	}
	g.applyEntries(entries, change{snapshot: true}, time.Time{})
	o = &owner{g: g, worker: entries[2].Worker, wake: make(chan struct{}, 1), state: residency.NewOwner("m", 8, g.now()), load: workerload.New(1, 0), changed: make(chan struct{})}
	o.state.ApplyReport(residency.Report{Models: []string{"m"}}, g.now())
	g.locked(func() {
		g.owners[o.worker.Key()] = o
		g.residency.Record(o.worker.Key(), residency.Adapter{Model: "m"}, 1, true, g.now())
		for i, a := range relocationAdapters {
			g.residency.Record(entries[i/2].Worker.Key(), a, 1, true, g.now())
			g.popularity.Add(a, float64(100*(i+1)), g.now())
		}
	})
	return g, o
}

var relocationAdapters = []residency.Adapter{{Model: "m", Name: "a0"}, {Model: "m", Name: "a1"}, {Model: "m", Name: "a2"}}

// evacuate puts the evacuation of a data centre into force.
func evacuate(g *Gateway, dataCentre string, offset int64) {
	g.applyEvacuations([]evacuation.Record{{DataCentre: dataCentre, Offset: offset, Kind: evacuation.Evacuation}}, change{era: 1, next: offset + 1})
}

// begunLoads lets the loads succeed that the owner's state would begin now, and returns their number. The relocation does not learn
// of it.
func begunLoads(o *owner) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := o.state.Next(o.g.now()); a.Step == residency.StepLoad; a = o.state.Next(o.g.now()) {
		o.state.ApplyResult(a, residency.Holds, o.g.now())
		n++
	}
	return n
}

// TestSecondEvacuationDuringRelocation guards against a second relocation beside one that runs, which would double the loads in
// flight and their rate.
func TestSecondEvacuationDuringRelocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("its adapters follow those of the first evacuation, one at a time", t, func() {
			g, o := relocationGateway()
			defer g.cancel()
			evacuate(g, "z1", 5)
			synctest.Wait()
			evacuate(g, "z2", 6)
			synctest.Wait()
			So(begunLoads(o), ShouldEqual, 1)
			// The instance goes on after it has waited for the first load.
			time.Sleep(relocationTimeout * 3 / 2)
			synctest.Wait()
			So(begunLoads(o), ShouldEqual, 1)
			time.Sleep(relocationTimeout)
			synctest.Wait()
			So(begunLoads(o), ShouldEqual, 1)
			held := 0
			for _, a := range relocationAdapters {
				if _, ok := o.state.Holds(a, 0); ok {
					held++
				}
			}
			So(held, ShouldEqual, 3)
		})
	})
}

// TestNoRelocationToLeavingWorker guards against loads at a worker that has said that it leaves, and against one that is left out
// because such a worker holds the adapter.
func TestNoRelocationToLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("its owner loads none", t, func() {
			g, o := relocationGateway()
			defer g.cancel()
			evacuate(g, "z1", 5)
			r := residency.Relocation{Adapter: relocationAdapters[0], Worker: o.worker}
			found, _ := g.relocationOwner(r)
			So(found, ShouldEqual, o)
			g.workerAnswered(o.worker, external.WorkerResponse{Leaving: true})
			found, _ = g.relocationOwner(r)
			So(found, ShouldBeNil)
		})
	})
}
