package gateway

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// newColdGateway returns an instance with one worker in data centre z1, whose service limits cold workers, and its clock.
func newColdGateway() (g *Gateway, w *workers.Worker, now *time.Duration) {
	now = new(time.Duration)
	*now = time.Hour
	g = New(Settings{Instance: "a", DataCentre: "z1"}, Dependencies{}, noNetwork{}, func() time.Duration { return *now }, zerolog.Nop())
	w = &workers.Worker{ID: "w", Service: "app", Address: "w:80", DataCentre: "z1", StartedMilli: 1}
	g.applyEntries([]workers.Entry{{ID: "w", Worker: w}}, change{snapshot: true}, time.Time{})
	g.applyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "app", ColdStart: time.Minute, ColdRate: 17}}}, *now)
	return g, w, now
}

// exportedColdTimes returns the metric of the remaining cold times by worker.
func exportedColdTimes(t *testing.T, g *Gateway) map[string]float64 {
	t.Helper()
	families, err := g.metricsRegistry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "turmeric_cold_worker_remaining_seconds" {
				out[m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
			}
		}
	}
	return out
}

// TestAssumedCold guards against workers that get requests without limit after their data centre's evacuation was withdrawn,
// before the registry has said that they are warm.
func TestAssumedCold(t *testing.T) {
	Convey("all workers of the data centre count as cold until a later entry", t, func() {
		g, w, now := newColdGateway()
		defer g.cancel()
		g.locked(func() { g.assumeCold("z2", *now, *now) })
		So(g.isCold(w), ShouldBeFalse)
		g.locked(func() { g.assumeCold("z1", *now, *now) })
		*now += time.Hour
		So(g.isCold(w), ShouldBeTrue)
		So(exportedColdTimes(t, g), ShouldResemble, map[string]float64{"w@1": math.Inf(1)})
		g.applyEntries([]workers.Entry{{ID: "w", Worker: w}}, change{snapshot: true}, time.Time{})
		So(g.isCold(w), ShouldBeTrue)
		g.applyEntries([]workers.Entry{{ID: "w", Worker: w}}, change{}, time.Time{})
		So(g.isCold(w), ShouldBeFalse)
		So(exportedColdTimes(t, g), ShouldResemble, map[string]float64{"w@1": 0})
	})
}

// TestColdAfterWithdrawalLearnedFromPeer guards against an instance that starts just after an evacuation was withdrawn and sends to
// workers of that data centre without limit before the registry has said that they are warm.
func TestColdAfterWithdrawalLearnedFromPeer(t *testing.T) {
	Convey("workers count as cold while entries from before the withdrawal may be read", t, func() {
		for _, c := range []struct {
			entry evacuationInForce
			cold  bool
		}{
			{evacuationInForce{DataCentre: "z1", Era: 1, Offset: 5, AgeMS: 100}, true},
			{evacuationInForce{DataCentre: "z1", Era: 1, Offset: 5, AgeMS: 2499}, true},
			{evacuationInForce{DataCentre: "z1", Era: 1, Offset: 5, AgeMS: 2500}, false},
			{evacuationInForce{DataCentre: "z2", Era: 1, Offset: 5, AgeMS: 100}, false},
			{evacuationInForce{DataCentre: "z1", Era: 1, Offset: 5, AgeMS: 100, Evacuated: true}, false},
		} {
			g, w, _ := newColdGateway()
			g.mergeEvacuations([]evacuationInForce{c.entry}, "b")
			So(g.isCold(w), ShouldEqual, c.cold)
			g.cancel()
		}
	})
	Convey("so do workers whose entries are read after the answer, until the next entry", t, func() {
		g, _, now := newColdGateway()
		defer g.cancel()
		later := &workers.Worker{ID: "w2", Service: "app", Address: "w2:80", DataCentre: "z1", StartedMilli: 1}
		g.mergeEvacuations([]evacuationInForce{{DataCentre: "z1", Era: 1, Offset: 5, AgeMS: 100}}, "b")
		g.applyEntries([]workers.Entry{{ID: "w2", Worker: later}}, change{snapshot: true}, time.Time{})
		So(g.isCold(later), ShouldBeTrue)
		*now += quota.MaxEntryDelay - 100*time.Millisecond
		g.applyEntries([]workers.Entry{{ID: "w2", Worker: later}}, change{}, time.Time{})
		So(g.isCold(later), ShouldBeFalse)
	})
}

// TestMeteringOfColdWorkers guards against an instance that meters the requests to a cold worker although another one may still
// do so, or it has resigned.
func TestMeteringOfColdWorkers(t *testing.T) {
	Convey("it meters once the leases of others have ended, and until its own has", t, func() {
		g, w, now := newColdGateway()
		defer g.cancel()
		g.fleetRead.Store(true)
		metering := func() (ok bool) {
			g.locked(func() { _, _, ok = g.meterCold(incarnationName(w), 17, 0, *now) })
			return ok
		}
		beat := func(number int64) {
			g.locked(func() {
				r := fleetlog.Record{Instance: "a", Incarnation: g.incarnation, Heartbeat: &fleetlog.Heartbeat{Number: number, Address: "a:82", LeaseMS: 2000, MemoryMB: 100}}
				g.members.Apply(number, r, *now)
			})
			g.acknowledge(sentHeartbeat{sent: *now, lease: 2 * time.Second, spend: 4 * time.Second})
			g.renewTenure()
		}
		So(metering(), ShouldBeFalse)
		for i := range int64(5) {
			beat(i + 1)
			So(metering(), ShouldEqual, i == 4)
			*now += time.Second
		}
		*now += time.Second
		So(metering(), ShouldBeTrue)
		*now++
		So(metering(), ShouldBeFalse)
		*now -= time.Second
		So(metering(), ShouldBeTrue)
		g.resigned.Store(true)
		So(metering(), ShouldBeFalse)
	})
}

// TestSuccessorOfResignedHolder guards against an instance that meters the requests to a cold worker as soon as the holder before
// it has resigned, while requests that were reserved there are still to be sent.
func TestSuccessorOfResignedHolder(t *testing.T) {
	Convey("it begins when they have been sent, also if the holder repeats that it resigns", t, func() {
		g, w, now := newColdGateway()
		defer g.cancel()
		g.fleetRead.Store(true)
		number := int64(0)
		beat := func(incarnation string, memory int, resigned bool) {
			number++
			g.locked(func() {
				h := &fleetlog.Heartbeat{Number: number, Address: "x:82", LeaseMS: 2000, MemoryMB: memory, Resigned: resigned}
				instance := "b"
				if incarnation == g.incarnation {
					instance = "a"
				}
				g.members.Apply(number, fleetlog.Record{Instance: instance, Incarnation: incarnation, Heartbeat: h}, *now)
			})
		}
		own := func() {
			beat(g.incarnation, 100, false)
			g.acknowledge(sentHeartbeat{sent: *now, lease: 2 * time.Second, spend: 4 * time.Second})
			g.renewTenure()
		}
		metering := func() (ok bool) {
			g.locked(func() { _, _, ok = g.meterCold(incarnationName(w), 17, 0, *now) })
			return ok
		}
		for range 6 {
			own()
			// The other instance is so much larger that it is the holder.
			beat("b1", 100_000_000, false)
			*now += time.Second
		}
		So(metering(), ShouldBeFalse)
		beat("b1", 100_000_000, true)
		own()
		So(metering(), ShouldBeFalse)
		*now += time.Second
		beat("b1", 100_000_000, true)
		own()
		So(metering(), ShouldBeFalse)
		*now += 500 * time.Millisecond
		So(metering(), ShouldBeFalse)
		*now++
		So(metering(), ShouldBeTrue)
	})
}

// TestNamedLimitAfterLoad guards against requests beyond a worker's named limit that waited for a load while it was cold, or that
// waited for one when it had not named the limit yet.
func TestNamedLimitAfterLoad(t *testing.T) {
	Convey("what was not reserved before the load is reserved after it", t, func() {
		for _, cold := range []bool{true, false} {
			g, w, now := newColdGateway()
			name := incarnationName(w)
			g.fleetRead.Store(true)
			g.locked(func() {
				r := fleetlog.Record{Instance: "a", Incarnation: g.incarnation, Heartbeat: &fleetlog.Heartbeat{Number: 1, Address: "a:82", LeaseMS: 2000, MemoryMB: 100}}
				g.members.Apply(1, r, *now)
			})
			if cold {
				g.locked(func() { g.limits.AssumeCold(name, 17, *now) })
			}
			j := &forward.Job{Route: &routing.Route{TargetLatency: time.Second}, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Service: "app"}
			var reserved []loadReservation
			for range 100 {
				r, ok := g.reserveBeforeLoad(j, w)
				So(ok, ShouldBeTrue)
				reserved = append(reserved, r)
			}
			g.locked(func() {
				g.limits.Answered(name, 5, true, *now)
				g.limits.SetColdRate(name, 0)
				g.limits.Reserve(name, 5, 0, *now)
			})
			// The holder has capacity for two requests at once.
			*now += time.Second
			sent := 0
			for _, r := range reserved {
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				if g.claimAfterLoad(ctx, j, w, r, false) {
					sent++
				}
				cancel()
			}
			So(sent, ShouldBeBetweenOrEqual, 1, 10)
			g.cancel()
		}
	})
}

// TestColdLoadTargets guards against an adapter that is loaded at a cold worker although a warm one could load it, and against a
// further load at a cold worker that holds the adapter already.
func TestColdLoadTargets(t *testing.T) {
	Convey("a cold worker loads an adapter only if no warm one can, and none that holds it", t, func() {
		a := residency.Adapter{Model: "m", Name: "a"}
		for _, c := range []struct {
			cold, holding   []string
			failed          bool
			target, further string
		}{
			{cold: []string{"w"}, target: "w2", further: "w2"},
			{cold: []string{"w2"}, target: "w", further: "w"},
			{cold: []string{"w"}, failed: true, target: "w", further: "w"},
			{cold: []string{"w"}, holding: []string{"w2"}, further: "w"},
			{cold: []string{"w"}, holding: []string{"w", "w2"}},
			{cold: []string{"w2"}, holding: []string{"w", "w2"}},
		} {
			g, w, now := newColdGateway()
			other := *w
			other.ID = "w2"
			g.applyEntries([]workers.Entry{{ID: "w", Worker: w}, {ID: "w2", Worker: &other}}, change{}, time.Time{})
			byID := map[string]*workers.Worker{"w": w, "w2": &other}
			owner := fleetlog.Heartbeat{Number: 1, Address: "b:82", LeaseMS: 2000, Owned: map[string]int64{"w": 1, "w2": 1}}
			g.locked(func() {
				g.members.Apply(1, fleetlog.Record{Instance: "b", Incarnation: "b1", Heartbeat: &owner}, *now)
				for _, w := range byID {
					g.residency.Record(w.Key(), residency.Adapter{Model: "m"}, 1, true, *now)
				}
				for _, id := range c.holding {
					g.residency.Record(byID[id].Key(), a, 1, true, *now)
				}
				for _, id := range c.cold {
					g.limits.AssumeCold(incarnationName(byID[id]), 17, *now)
				}
			})
			var failed []*workers.Worker
			if c.failed {
				failed = append(failed, &other)
			}
			j := &forward.Job{Route: &routing.Route{TargetLatency: time.Second}, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Service: "app"}
			id := func(w *workers.Worker) string {
				if w == nil {
					return ""
				}
				return w.ID
			}
			o := g.engineOptions(j, a, failed, false, true)
			So([]string{id(o.target), id(o.further)}, ShouldResemble, []string{c.target, c.further})
			g.cancel()
		}
	})
}
