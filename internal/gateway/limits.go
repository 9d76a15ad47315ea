package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// maxLimitWait is how long a request that is late already waits for capacity at a limited worker before another
	// worker is chosen. It is about the time in which another one loads an adapter.
	maxLimitWait = 300 * time.Millisecond
	// limitRetryDelay is the shortest time after which a request that may wait as long as one without success asks again.
	limitRetryDelay = 50 * time.Millisecond
	// maxReservationDelay is how long after its time a reserved request may be sent. After a longer pause of the process, the
	// worker's capacity of that time is over, and what others reserve now would come on top.
	maxReservationDelay = 500 * time.Millisecond
	// maxLimitedWorkers bounds the workers without capacity that are asked for one attempt.
	maxLimitedWorkers = 6
)

// incarnationName identifies a worker incarnation in messages between instances.
func incarnationName(w *workers.Worker) string {
	return w.ID + "@" + strconv.FormatInt(w.StartedMilli, 10)
}

// recordLimit records whether a worker's response named a limit. The lock is held.
func (g *Gateway) recordLimit(w *workers.Worker, limit float64, limited bool) {
	if g.limits.Answered(incarnationName(w), limit, limited, g.now()) {
		g.log.Info().Str("worker", w.ID).Float64("requests_per_s", limit).Bool("limited", limited).Int("in_flight", g.inFlight[w.Key()]).Msg("worker's limit changed")
	}
}

// claimCapacity reserves the job's request to a worker that may be limited, be cold or back off, and waits until it may be sent,
// but not for a cold worker if there is a warm one. It reports false if the worker has no capacity in time, or may not be used any
// more after that.
func (g *Gateway) claimCapacity(ctx context.Context, j *forward.Job, w *workers.Worker, warm bool) bool {
	if !g.awaitBackoff(ctx, j, w) {
		return false
	}
	wait, ok := g.reserveRequest(j, w, warm)
	if !ok {
		return false
	}
	due := g.now() + wait
	if wait > 0 && !sleep(ctx, wait) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now()-due <= maxReservationDelay && g.coldPermitted(j, w, g.now()) && g.stillUsable(j, w) != nil
}

// limitError returns the error of a job without a worker: if all are in evacuated data centres, that; if workers would have taken it but for their limits or because they
// back off, when the first of them takes requests again.
func (g *Gateway) limitError(j *forward.Job, err error) error {
	if err == nil {
		return nil
	}
	var e *verdict.Error
	if !errors.As(err, &e) || e.Code != codeNoWorker {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.evacuationRefusal(j); refusal != nil {
		return refusal
	}
	now := g.now()
	shortest, backsOff := time.Duration(0), false
	for _, w := range g.workers.Load().Ready(j.Service) {
		if wait := g.knownWait(w, now); wait > 0 && !g.leaving(w) && !g.evacuated(w) && (shortest == 0 || wait < shortest) {
			shortest, backsOff = wait, g.backoff(w, now) == wait
		}
	}
	switch {
	case shortest == 0:
		return err
	case backsOff:
		return refuse(http.StatusServiceUnavailable, "workers_backing_off", "the backend servers want no requests for some time", shortest)
	default:
		return refuse(http.StatusServiceUnavailable, "workers_limited", "the backend servers limit their requests", shortest)
	}
}

// knownWait returns how long a request to a worker has to wait at least, for capacity and because the worker backs off, as far
// as is known. The lock is held.
func (g *Gateway) knownWait(w *workers.Worker, now time.Duration) time.Duration {
	wait := g.backoff(w, now)
	if g.limits.Empty() {
		return wait
	}
	return max(wait, g.limits.Wait(incarnationName(w), now))
}

// limitWait returns how long the job may wait for capacity at a limited worker, or for one that backs off: until it can no longer meet its target
// latency, or for maxLimitWait.
func limitWait(j *forward.Job) time.Duration {
	slack := j.Route.TargetLatency - time.Since(j.Arrived) - residency.ResponseReserve(j.Route.TargetLatency)
	return max(0, min(max(slack, maxLimitWait), time.Until(j.Deadline)))
}

// reservation is the outcome of an attempt to reserve a request to a limited worker.
type reservation struct {
	// wait is how long the request must wait, or after which another attempt may succeed, and maxWait how long it may wait.
	wait, maxWait time.Duration
	ok            bool
	// reached is false if the instance that meters the limit did not answer, or does not meter.
	reached bool
}

// reserveRequest reserves the job's request at the instance that meters the worker's limit, and returns how long the
// request must wait. ok is false if the worker has no capacity in time; requests that may not wait longer then leave it out.
// A request does not wait for a cold worker if there is a warm one.
func (g *Gateway) reserveRequest(j *forward.Job, w *workers.Worker, warm bool) (wait time.Duration, ok bool) {
	name := incarnationName(w)
	var r reservation
	var rate float64
	var holder peerInstance
	limited, cold, known := false, false, false
	start := g.now()
	g.locked(func() {
		now := g.now()
		if rate, limited = g.limits.Rate(name, now); !limited {
			return
		}
		r.maxWait = limitWait(j)
		if cold = g.limits.Cold(name, now); cold {
			r.maxWait = coldWait(r.maxWait, warm)
		}
		if holder, known = g.limitHolder(name, cold, now); known && holder.incarnation == g.incarnation {
			r.wait, r.ok, r.reached = g.reserveHere(name, rate, cold, r.maxWait, now)
		}
	})
	if !limited {
		return 0, true
	}
	if known && holder.incarnation != g.incarnation {
		r = g.reserveAt(holder, name, rate, cold, r.maxWait)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !r.reached && cold {
		start = now
		r.wait, r.ok = g.reserveColdUnmetered(name, rate, r.maxWait, now)
	} else if !r.reached {
		r.wait, r.ok = g.limits.ReserveWithoutHolder(name, rate, g.fleetSize, r.maxWait, now)
	}
	if cold {
		g.coldReserved(j, name, rate, r, start)
	} else if !r.ok {
		g.limits.SetWait(name, max(r.wait, r.maxWait+limitRetryDelay), now)
		g.log.Info().Str("request", j.ID).Str("worker", w.ID).Float64("requests_per_s", rate).Int64("wait_ms", r.wait.Milliseconds()).
			Str("holder", holder.instance).Bool("reached", r.reached).Msg("worker's limit reached")
	}
	return r.wait, r.ok
}

// reserveHere reserves a request at this instance, which is the holder of the worker's limit. The lock is held.
func (g *Gateway) reserveHere(worker string, rate float64, cold bool, maxWait, now time.Duration) (wait time.Duration, ok, reached bool) {
	if cold {
		return g.meterCold(worker, rate, maxWait, now)
	}
	wait, ok = g.limits.Reserve(worker, rate, maxWait, now)
	return wait, ok, true
}

// limitHolder returns the instance that meters a worker's limit, or false if none is known that is reachable. For a cold worker,
// it may be one that has resigned and does not meter. The lock is held.
func (g *Gateway) limitHolder(worker string, cold bool, now time.Duration) (peerInstance, bool) {
	byName := map[string]peerInstance{}
	var names []rendezvous.Member
	for _, m := range g.rateMembers(now) {
		if !m.Heartbeat.Resigned || cold && quota.CountsAsColdHolder(true, m.ResignedAt, now) {
			byName[m.Instance] = peerInstance{m.Instance, m.Incarnation, m.Heartbeat.Address}
			names = append(names, rendezvous.Member{Name: m.Instance, Size: m.Heartbeat.MemoryMB})
		}
	}
	name, ok := quota.LimitHolder(worker, names)
	h := byName[name]
	return h, ok && !g.recentlyUnreachable(roleHolder, h.incarnation, now)
}

// reserveAt reserves a request at the instance that meters the worker's limit. reached is false if it did not respond. If
// only its response is lost, the worker gets less than its limit, never more.
func (g *Gateway) reserveAt(h peerInstance, worker string, rate float64, cold bool, maxWait time.Duration) reservation {
	ctx, cancel := context.WithTimeout(g.lifetime, spendTimeout)
	defer cancel()
	start := g.now()
	r, err := g.peers.clients.ReserveRequest(ctx, h.address, &peerpb.ReserveRequestRequest{Server: worker, Limit: rate, MaxWaitMs: maxWait.Milliseconds(), Cold: cold})
	if err != nil {
		g.markUnreachable(roleHolder, h.incarnation)
		g.log.Info().Err(err).Str("worker", worker).Str("holder", h.instance).Msg("holder of a worker's limit not reached")
		return reservation{maxWait: maxWait}
	}
	wait := time.Duration(r.WaitMs) * time.Millisecond
	if r.Reserved && !cold {
		wait -= g.now() - start
	}
	return reservation{wait: wait, maxWait: maxWait, ok: r.Reserved, reached: !r.NotMetering}
}

// ReserveRequest implements peerpb.PeerServer.
func (p *peers) ReserveRequest(_ context.Context, r *peerpb.ReserveRequestRequest) (*peerpb.ReserveRequestResponse, error) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	wait, ok, reached := p.g.reserveHere(r.Server, r.Limit, r.Cold, time.Duration(r.MaxWaitMs)*time.Millisecond, p.g.now())
	return &peerpb.ReserveRequestResponse{WaitMs: wait.Milliseconds(), Reserved: ok, NotMetering: !reached}, nil
}

// workerLimitRecords returns the limits that workers have named to this instance, for a heartbeat. The lock is held.
func (g *Gateway) workerLimitRecords() []fleetlog.WorkerLimit {
	var list []fleetlog.WorkerLimit
	for _, n := range g.limits.Own(g.now()) {
		list = append(list, fleetlog.WorkerLimit{Worker: n.Worker, Rate: n.Rate, AgeMS: n.Age.Milliseconds()})
	}
	return list
}

// learnLimits applies the limits that another instance's heartbeat names. The lock is held.
func (g *Gateway) learnLimits(h *fleetlog.Heartbeat) {
	for _, n := range h.WorkerLimits {
		g.limits.Learn(quota.NamedLimit{Worker: n.Worker, Rate: n.Rate, Age: time.Duration(n.AgeMS) * time.Millisecond}, g.now())
	}
}
