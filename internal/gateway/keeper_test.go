package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/standin/bubble"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// newKeeperGateway returns an instance that is the keeper of the workers of the plain service app, each with one place, and a job
// for the service. The instance's clock advances by a step with each reading.
func newKeeperGateway(step time.Duration, names ...string) (*Gateway, *forward.Job) {
	now := time.Hour
	g := New(Settings{Instance: "a", DataCentre: "z1"}, Dependencies{}, noNetwork{}, func() time.Duration { now += step; return now }, zerolog.Nop())
	g.applyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "app"}}}, now)
	var entries []workers.Entry
	for _, name := range names {
		entries = append(entries, workers.Entry{ID: name, Worker: &workers.Worker{ID: name, Service: "app", Address: name + ":80", DataCentre: "z1", StartedMilli: 1, Slots: 1}})
	}
	g.applyEntries(entries, change{snapshot: true}, time.Time{})
	g.locked(func() {
		g.members.Apply(1, fleetlog.Record{Instance: "a", Incarnation: g.incarnation, Heartbeat: &fleetlog.Heartbeat{Number: 1, Address: "a:82", LeaseMS: time.Hour.Milliseconds(), MemoryMB: 100}}, now)
	})
	g.fleetRead.Store(true)
	return g, &forward.Job{
		Service: "app", Config: g.table.Load(), Route: &routing.Route{Kind: routing.Idempotent, TargetLatency: 500 * time.Millisecond},
		Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
}

// fill lets each worker run a request and reject a further one, so that it declines others whatever their bounds are.
func fill(g *Gateway) {
	now := g.now()
	for _, w := range g.workers.Load().Ready("app") {
		g.kept.admit(w, workerload.Bounds{MaxWait: time.Hour}, time.Hour, now)
		place, _ := g.kept.admit(w, workerload.Bounds{MaxWait: time.Hour}, time.Hour, now)
		g.kept.end(incarnationName(w), place, workerload.Rejected, now)
	}
}

// TestQuestionsEndAfterTimeout guards against questions that go on after the time for them, since each answer permitted another one.
func TestQuestionsEndAfterTimeout(t *testing.T) {
	Convey("only the worker that waits least is asked again", t, func() {
		g, j := newKeeperGateway(admitTimeout/2, "w1", "w2", "w3", "w4")
		defer g.cancel()
		fill(g)
		r := g.newKeeperRound(j, false)
		g.askKeepers(j, r)
		So(len(r.answers), ShouldBeBetweenOrEqual, 1, 2)
	})
}

// TestKeepersOfRemovedServices guards against records of services and workers that are kept for good after these were removed.
func TestKeepersOfRemovedServices(t *testing.T) {
	Convey("only the services of the configuration and the registered workers are kept", t, func() {
		g, j := newKeeperGateway(time.Millisecond, "w1", "w2")
		defer g.cancel()
		g.locked(func() { g.placedByKeepers(j) })
		g.newKeeperRound(j, false)
		g.applyEntries([]workers.Entry{{ID: "w1"}}, change{}, time.Time{})
		g.removeUnused()
		So(g.keepers.services, ShouldContainKey, "app")
		So(len(g.keepers.known), ShouldEqual, 1)
		g.applyConfig(&routing.Config{Version: 2, Services: []routing.Service{{Name: "other"}}}, g.now())
		g.removeUnused()
		So(g.keepers.services, ShouldBeEmpty)
	})
}

// TestQuestionsToSingleWorker guards against a second question to the only worker for each request that is refused or held. Where
// the only candidate is an ejected worker that is due for a probe, the others must be asked after it.
func TestQuestionsToSingleWorker(t *testing.T) {
	questions := func(eject string, names ...string) int {
		g, j := newKeeperGateway(time.Millisecond, names...)
		defer g.cancel()
		for _, w := range g.workers.Load().Ready("app") {
			for range 1000 {
				g.kept.admit(w, workerload.Bounds{MaxWait: time.Hour}, time.Hour, g.created)
			}
		}
		for range 5 {
			g.ejectors["app"].RecordResult(eject, false, time.Now().Add(-time.Hour))
		}
		_, err := g.placeByKeepers(t.Context(), j)
		So(err, ShouldNotBeNil)
		So(j.Placed.How, ShouldEqual, placedRefused)
		return j.Placed.Questions
	}
	Convey("the only worker is asked once", t, func() { So(questions("", "w1"), ShouldEqual, 1) })
	Convey("a probe is followed by a question to the other worker", t, func() { So(questions("w1", "w1", "w2"), ShouldEqual, 2) })
}

// TestPlacedOfEarlierAttempt guards against a log line that states for a request how keepers placed an earlier attempt, although the
// last one was placed by the instance's own requests.
func TestPlacedOfEarlierAttempt(t *testing.T) {
	Convey("a placement by own requests removes the earlier one by keepers", t, func() {
		g, j := newKeeperGateway(time.Millisecond, "w1")
		defer g.cancel()
		j.Placed = forward.Placed{How: placedHeld, Questions: 3}
		_, err := g.placeByLoad(t.Context(), j)
		So(err, ShouldBeNil)
		So(j.Placed, ShouldResemble, forward.Placed{})
	})
}

// TestUnreachedKeeperIsLogged guards against failed calls to keepers that nothing shows, because little time was left for them. Such a
// call says too little of the keeper to stop asking it.
func TestUnreachedKeeperIsLogged(t *testing.T) {
	for left, marked := range map[time.Duration]bool{admitTimeout / 2: false, time.Minute: true} {
		bubble.Run(t, func(t *testing.T) {
			g, j := newKeeperGateway(time.Microsecond, "w1")
			defer g.peers.clients.Close()
			defer g.cancel()
			var log bytes.Buffer
			g.log = zerolog.New(&log)
			w, _ := g.workers.Load().Get("w1")
			g.locked(func() {
				g.keeperOf(incarnationName(w), g.now())
				g.keepers.known[incarnationName(w)] = peerInstance{"b", "other", "b:82"}
			})
			j.Deadline = time.Now().Add(left)
			answer, _ := g.askKeeper(j, w, workerload.Bounds{})
			g.mu.Lock()
			defer g.mu.Unlock()
			Convey("a failed call with "+left.String()+" left is logged", t, func() {
				So(answer.Known, ShouldBeFalse)
				So(log.String(), ShouldContainSubstring, "keeper of a worker not reached")
				So(g.recentlyUnreachable(roleKeeper, "other", g.now()), ShouldEqual, marked)
			})
		})
	}
}

// TestKeepersInOutage guards against an instance that forgets the others in an outage of the log service, since their heartbeats were read
// earlier than itself and count as silent first.
func TestKeepersInOutage(t *testing.T) {
	Convey("the last live instances known are kept", t, func() {
		g, _, now := newColdGateway()
		defer g.cancel()
		g.fleetRead.Store(true)
		beat := func(instance, incarnation string) {
			g.members.Apply(1, fleetlog.Record{Instance: instance, Incarnation: incarnation, Heartbeat: &fleetlog.Heartbeat{Number: 1, Address: instance + ":82", LeaseMS: 2000, MemoryMB: 100}}, *now)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		beat("b", "other")
		*now += 999 * time.Millisecond
		beat("a", g.incarnation)
		for range 40 {
			g.readKeepers(*now)
			So(len(g.keepers.live), ShouldEqual, 2)
			*now += keeperRefresh
		}
	})
}
