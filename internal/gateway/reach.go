package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/reach"
)

// reachability is what this instance knows of the calls between it and the others. It is safe for concurrent use.
type reachability struct {
	mu    sync.Mutex
	calls *reach.Calls
	// called is when another instance last called this one, and cutOff whether it counts as cut off from the others.
	called time.Duration
	cutOff bool
}

func newReachability() *reachability { return &reachability{calls: reach.NewCalls()} }

func (r *reachability) failed(address string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.Failed(address, now)
}

// report returns the addresses that the next heartbeat reports as unreachable.
func (r *reachability) report(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls.Unreachable(now)
}

// order moves the instances whose latest call failed behind the others.
func (r *reachability) order(list []peerInstance, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reach.Order(r.calls, list, func(p peerInstance) string { return p.address }, now)
}

func (r *reachability) isCutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff
}

// update decides whether this instance is cut off, given how many of the others report it, and reports whether that changed.
func (r *reachability) update(reporters, others int, now time.Duration) (cutOff, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.cutOff
	r.cutOff = reach.CutOff(reporters, others, now-r.called)
	return r.cutOff, r.cutOff != before
}

// peerReached records that an instance has answered a call.
func (g *Gateway) peerReached(address string) {
	g.reach.mu.Lock()
	defer g.reach.mu.Unlock()
	g.reach.calls.Reached(address)
}

// recordPeerCall records that another instance has called this one.
func (g *Gateway) recordPeerCall(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	now := g.now()
	g.reach.mu.Lock()
	g.reach.called = now
	g.reach.mu.Unlock()
	return handle(ctx, request)
}

// releaseIfCutOff gives up this instance's workers if the others cannot reach it, and reports whether that is so. They could not
// ask it for adapters, while its heartbeats, which reach the log service, keep others from claiming its workers.
func (g *Gateway) releaseIfCutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	reporters, others := 0, 0
	for _, m := range g.members.Live(now, quota.TakeoverDelay) {
		if m.Incarnation == g.incarnation {
			continue
		}
		others++
		if slices.Contains(m.Heartbeat.Unreachable, g.settings.PeerAddress) {
			reporters++
		}
	}
	cutOff, changed := g.reach.update(reporters, others, now)
	if changed {
		g.log.Warn().Bool("cut_off", cutOff).Int("reporters", reporters).Int("others", others).Msg("reachability by the other instances changed")
	}
	if cutOff {
		g.releaseAll("the other instances cannot reach this one")
	}
	return cutOff
}
