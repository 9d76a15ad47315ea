package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// coldPermit is a reservation of a request to a cold worker, which is void after the time until.
type coldPermit struct {
	worker string
	until  time.Duration
}

// coldService returns the service of a worker, and false if the service has no limit for cold workers.
func (g *Gateway) coldService(w *workers.Worker) (*routing.Service, bool) {
	t := g.table.Load()
	if t == nil {
		return nil, false
	}
	s, ok := t.Service(w.Service)
	return s, ok && s.ColdRate > 0
}

// reportCold applies what a worker's registry entry says of its cold time. Old is set if the entry may be older than what was
// read before. The lock is held.
func (g *Gateway) reportCold(w *workers.Worker, old bool, now time.Duration) {
	r := quota.ColdReport{Worker: incarnationName(w), Remaining: w.ColdRemaining, Unreadable: w.ColdUnreadable, Old: old}
	if s, ok := g.coldService(w); ok {
		r.Rate, r.Longest = s.ColdRate, s.ColdStart
	}
	if fault := g.limits.ReportCold(r, now); fault != quota.ColdTimeValid {
		g.log.Warn().Str("worker", w.ID).Int64("born", w.StartedMilli).Stringer("fault", fault).Int64("cold_ms", w.ColdRemaining.Milliseconds()).
			Int64("longest_ms", r.Longest.Milliseconds()).Msg("worker's cold time is not valid")
	}
}

// reportColdEntries applies the cold times of registry entries that are in force in a set of workers. The lock is held.
func (g *Gateway) reportColdEntries(entries []workers.Entry, set *workers.Set, snapshot bool, now time.Duration) {
	for _, e := range entries {
		if e.Worker == nil {
			continue
		}
		if w, ok := set.Get(e.ID); ok && w == e.Worker {
			g.reportCold(w, snapshot, now)
			if since, ok := g.evacuations.WithdrawnSince(w.DataCentre); ok && snapshot {
				g.assumeColdWorker(w, since, now)
			}
		}
	}
	g.logColdChanges(now)
}

// applyColdRates applies the limits for cold workers of a new configuration. A worker whose service had none before counts as
// cold for the whole time that its latest entry names, since that may have been read late. The lock is held.
func (g *Gateway) applyColdRates(now time.Duration) {
	for _, w := range g.workers.Load().All() {
		rate := 0.0
		if s, ok := g.coldService(w); ok {
			rate = s.ColdRate
		}
		if !g.limits.SetColdRate(incarnationName(w), rate) && rate > 0 {
			g.reportCold(w, true, now)
		}
	}
	g.logColdChanges(now)
}

// assumeCold lets the workers of a data centre count as cold, if their services have a limit for cold workers, until the
// registry is read to say otherwise by entries that were written after the time since. The lock is held.
func (g *Gateway) assumeCold(dataCentre string, since, now time.Duration) {
	for _, w := range g.workers.Load().All() {
		if w.DataCentre == dataCentre {
			g.assumeColdWorker(w, since, now)
		}
	}
	g.logColdChanges(now)
}

// assumeColdWorker is assumeCold for one worker. It has no effect if all entries that are read now were written after the time
// since. The lock is held.
func (g *Gateway) assumeColdWorker(w *workers.Worker, since, now time.Duration) {
	if s, ok := g.coldService(w); ok && now-since < quota.MaxEntryDelay {
		g.limits.AssumeCold(incarnationName(w), s.ColdRate, since)
	}
}

// logColdChanges logs which workers have become cold or warm. The lock is held.
func (g *Gateway) logColdChanges(now time.Duration) {
	if g.limits.Empty() {
		return
	}
	for _, c := range g.limits.ColdChanges(now) {
		if c.Cold {
			g.log.Info().Str("worker", c.Worker).Int64("for_ms", c.Remaining.Milliseconds()).Bool("assumed", c.Assumed).Float64("requests_per_s", c.Rate).Msg("worker is cold")
		} else {
			g.log.Info().Str("worker", c.Worker).Int("sent", c.Sent).Msg("worker is warm")
		}
	}
}

// cold reports whether a worker is cold and limited for that. The lock is held.
func (g *Gateway) cold(w *workers.Worker, now time.Duration) bool {
	return !g.limits.Empty() && g.limits.Cold(incarnationName(w), now)
}

// isCold is cold for callers that do not hold the lock.
func (g *Gateway) isCold(w *workers.Worker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold(w, g.now())
}

// preferWarm removes from a list of workers the cold ones that have no capacity now, or all cold ones if none is set, but not if
// there are only cold ones. Warm reports whether there is another one. The lock is held.
func (g *Gateway) preferWarm(list []*workers.Worker, none bool) (preferred []*workers.Worker, warm bool) {
	if g.limits.Empty() {
		return list, len(list) > 0
	}
	now := g.now()
	for _, w := range list {
		if !g.cold(w, now) {
			warm = true
			preferred = append(preferred, w)
		} else if !none && g.knownWait(w, now) == 0 {
			preferred = append(preferred, w)
		}
	}
	if !warm {
		return list, false
	}
	return preferred, true
}

// renewTenure records that a heartbeat of this instance is in the fleet's stream, which was then read to its end.
func (g *Gateway) renewTenure() {
	h := g.acknowledged.Load()
	g.orderLease.Store(h)
	if h == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r := quota.Renewal{Sent: h.sent, Lease: h.lease, Era: g.members.Era()}
	live := g.members.Live(now, quota.ReassignDelay)
	for i := range live {
		if live[i].Incarnation == g.incarnation {
			r.Place = quota.Place{Rank: i, Count: len(live)}
		}
	}
	g.tenure.Renew(r, now)
}

// mayMeterCold reports whether this instance may meter the requests to a cold worker for all. The lock is held.
func (g *Gateway) mayMeterCold(worker string, now time.Duration) bool {
	if g.resigned.Load() {
		return false
	}
	shortest, longest := quota.MaxTakeoverDelay, time.Duration(0)
	for _, m := range g.rateMembers(now) {
		if lease := m.Lease(); lease > 0 {
			shortest, longest = min(shortest, lease), max(longest, lease)
		}
	}
	holder, ok := g.limitHolder(worker, true, now)
	return ok && holder.incarnation == g.incarnation && g.tenure.MayMeter(shortest, longest, now)
}

// meterCold reserves a request to a cold worker at this instance. Metering is false if it may not do so. The lock is held.
func (g *Gateway) meterCold(worker string, rate float64, maxWait, now time.Duration) (wait time.Duration, ok, metering bool) {
	if !g.mayMeterCold(worker, now) {
		return 0, false, false
	}
	wait, ok = g.limits.ReserveCold(worker, rate, maxWait, now)
	return wait, ok, true
}

// reserveColdUnmetered reserves a request to a cold worker that no other instance meters for this one. The lock is held.
func (g *Gateway) reserveColdUnmetered(worker string, rate float64, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	p, known := g.tenure.Place(now)
	if !known {
		return maxWait, false
	}
	return g.limits.ReserveColdWithoutHolder(worker, rate, p, maxWait, time.Duration(time.Now().UnixNano()), now)
}

// coldWait returns how long a request that may wait for maxWait waits for capacity at a cold worker.
func coldWait(maxWait time.Duration, warm bool) time.Duration {
	if warm {
		return 0
	}
	return min(maxWait, quota.MaxColdWait)
}

// coldReserved records the outcome of a reservation at a cold worker that was begun at the time start. The lock is held.
func (g *Gateway) coldReserved(j *forward.Job, worker string, rate float64, r reservation, start time.Duration) {
	now := g.now()
	if r.ok {
		g.coldPermits[j] = coldPermit{worker, start + r.wait + quota.ColdDelay(rate)}
		return
	}
	g.limits.SetWait(worker, quota.ColdRetry(rate, g.fleetSize, max(r.wait, r.maxWait)), now)
}

// coldPermitted reports whether the job may be sent to a worker now: if the worker is cold, only under a reservation that is not
// void. The worker may have become cold since the job was placed. The lock is held.
func (g *Gateway) coldPermitted(j *forward.Job, w *workers.Worker, now time.Duration) bool {
	if !g.cold(w, now) {
		return true
	}
	p, ok := g.coldPermits[j]
	return ok && p.worker == incarnationName(w) && now <= p.until
}

// confirmCold returns an error if the worker is cold and the job may not be sent to it. The lock is held.
func (g *Gateway) confirmCold(j *forward.Job, w *workers.Worker) error {
	if g.limits.Empty() {
		return nil
	}
	now := g.now()
	if !g.coldPermitted(j, w, now) {
		return refuse(http.StatusServiceUnavailable, "worker_cold", "the backend server has just started and takes few requests", notReadyRetryAfter)
	}
	g.limits.ColdSent(incarnationName(w), now)
	return nil
}

// dropColdPermit removes the reservation of a job that is not placed.
func (g *Gateway) dropColdPermit(j *forward.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.coldPermits, j)
}

// loadReservation is what a request has reserved at a worker that is to load its adapter.
type loadReservation struct {
	// reserved is false if nothing was reserved, since the worker was not limited or cold.
	reserved bool
	// sendAt is from when on the request may be sent.
	sendAt time.Time
}

// reserveBeforeLoad is reserveRequest for a worker that is to load the job's adapter: a limited one loads it only if it also takes
// the request. The request to a cold one is reserved after the load.
func (g *Gateway) reserveBeforeLoad(j *forward.Job, w *workers.Worker) (r loadReservation, ok bool) {
	g.locked(func() {
		now := g.now()
		_, limited := g.limits.Rate(incarnationName(w), now)
		r.reserved = limited && !g.cold(w, now)
	})
	if !r.reserved {
		return r, true
	}
	wait, ok := g.reserveRequest(j, w, false)
	r.sendAt = time.Now().Add(wait)
	return r, ok
}

// claimAfterLoad is claimCapacity for a worker that has just loaded the job's adapter, if nothing was reserved before the load, or
// the worker is cold now: a reservation from before the load would be void then. It waits until the request may be sent.
func (g *Gateway) claimAfterLoad(ctx context.Context, j *forward.Job, w *workers.Worker, r loadReservation, warm bool) bool {
	if !sleep(ctx, time.Until(r.sendAt)) || !g.awaitBackoff(ctx, j, w) {
		return false
	}
	return r.reserved && !g.isCold(w) || g.claimCapacity(ctx, j, w, warm)
}

// coldCollector exports the state of cold workers. A worker without a cold time has none.
type coldCollector struct {
	g                      *Gateway
	remaining, rate, count *prometheus.Desc
}

func newColdCollector(g *Gateway) *coldCollector {
	return &coldCollector{
		g:         g,
		remaining: prometheus.NewDesc("turmeric_cold_worker_remaining_seconds", "Seconds that a worker stays cold; 0 for one that was cold, +Inf until the registry says more.", []string{"worker"}, nil),
		rate:      prometheus.NewDesc("turmeric_cold_worker_requests_per_second", "Requests per second that a worker gets from all instances together while it is cold.", []string{"worker"}, nil),
		count:     prometheus.NewDesc("turmeric_cold_worker_requests_total", "Requests that this instance sent to a worker while it was cold.", []string{"worker"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *coldCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.remaining
	ch <- c.rate
	ch <- c.count
}

// Collect implements prometheus.Collector.
func (c *coldCollector) Collect(ch chan<- prometheus.Metric) {
	var list []quota.ColdWorker
	c.g.locked(func() { list = c.g.limits.ColdWorkers(c.g.now()) })
	for _, w := range list {
		ch <- prometheus.MustNewConstMetric(c.remaining, prometheus.GaugeValue, w.RemainingSeconds(), w.Worker)
		ch <- prometheus.MustNewConstMetric(c.rate, prometheus.GaugeValue, w.Rate, w.Worker)
		ch <- prometheus.MustNewConstMetric(c.count, prometheus.CounterValue, float64(w.Sent), w.Worker)
	}
}
