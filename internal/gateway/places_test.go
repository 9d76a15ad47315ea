package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/routing"
)

// TestLoadIsNotAdmittedBeyondTarget guards against a request that is placed as one on time at a worker where its first event is
// expected after its target latency.
func TestLoadIsNotAdmittedBeyondTarget(t *testing.T) {
	const target = 500 * time.Millisecond
	g, w, now := newColdGateway()
	defer g.cancel()
	g.orderLease.Store(&sentHeartbeat{sent: *now, lease: time.Hour})
	o := &owner{g: g, worker: w, wake: make(chan struct{}, 1), state: residency.NewOwner("m", 8, *now), load: workerload.New(1, 0), changed: make(chan struct{})}
	o.state.ApplyReport(residency.Report{Models: []string{"m"}}, *now)
	o.load.Add(workerload.Request{Output: 58}, *now, time.Minute, *now)
	slack := target - residency.ResponseReserve(target)
	wait := o.load.Wait(workerload.Request{}, *now, *now)
	out := o.beginWait(wantedAdapter{adapter: residency.Adapter{Model: "m", Name: "a"}, version: 1, slack: slack, reserve: residency.ResponseReserve(target), left: 6 * time.Second}, *now+slack)
	if out.admitted {
		t.Fatalf("admitted with an expected wait of %v and a target of %v", wait, target)
	}
}

// TestNoPlaceForCallerThatLeft guards against a place, and an adapter that cannot be evicted until the request's deadline, for a
// question whose asker no longer waits for the answer.
func TestNoPlaceForCallerThatLeft(t *testing.T) {
	g, w, now := newColdGateway()
	defer g.cancel()
	o := &owner{g: g, worker: w, wake: make(chan struct{}, 1), state: residency.NewOwner("m", 8, *now), load: workerload.New(1, 0), changed: make(chan struct{})}
	o.state.ApplyReport(residency.Report{Models: []string{"m"}, Resident: map[residency.Adapter]int64{{Model: "m", Name: "a"}: 1}}, *now)
	g.owners[w.Key()] = o
	g.applyConfig(&routing.Config{Version: 2, Services: []routing.Service{{Name: "app", Engine: &routing.Engine{Models: []routing.Model{{Name: "m"}}}}}}, *now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := g.peers.AdmitRequest(ctx, &peerpb.AdmitRequestRequest{Engine: incarnationName(w), MaxWaitMs: 1000, DeadlineMs: 20000, Adapter: "m/a@1"})
	if err == nil && r.Place != 0 {
		t.Fatalf("place %d given", r.Place)
	}
}
