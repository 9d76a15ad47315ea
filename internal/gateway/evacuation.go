package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/evacuation"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// evacuatedRetryAfter is the shortest Retry-After of requests whose workers are all evacuated. An evacuation lasts longer; a
// caller may still reach a service whose next workers have just started.
const evacuatedRetryAfter = time.Second

// evacuated reports whether a worker gets nothing more because its data centre is evacuated. The lock is held.
func (g *Gateway) evacuated(w *workers.Worker) bool {
	return !g.evacuations.Empty() && g.evacuations.Evacuated(w.DataCentre)
}

// applyEvacuations applies the records on evacuations of one reading of the operators' topic.
func (g *Gateway) applyEvacuations(records []evacuation.Record, c change) {
	before, carriedOver := false, false
	g.locked(func() {
		now := g.now()
		before = g.evacuations.CarriedOver()
		g.evacuationsChanged(g.evacuations.Apply(records, evacuation.Reading{Era: c.era, Next: c.next, Snapshot: c.snapshot}, now), "", now)
		carriedOver = g.evacuations.CarriedOver()
	})
	if carriedOver && (c.snapshot || !before) {
		// The log service may have dropped the record that withdrew the evacuation; other instances may have read it.
		g.requestPeerConfig()
	}
}

// evacuationsChanged puts changes of evacuations into force. The peer is the instance that they were learned from, empty for the
// log service. The lock is held.
func (g *Gateway) evacuationsChanged(changes []evacuation.Change, peer string, now time.Duration) {
	if len(changes) == 0 {
		return
	}
	began := false
	for _, c := range changes {
		message := "evacuation in force"
		began = began || c.Evacuated && !c.Before.Evacuated
		switch {
		case !c.Evacuated:
			message = "evacuation withdrawn"
			delete(g.unknownDataCentres, c.DataCentre)
			// Its workers may have become cold while nothing was sent to them.
			g.assumeCold(c.DataCentre, now, now)
		case c.Before.Evacuated:
			message = "evacuation restated"
		}
		l := g.log.Warn().Str("data_centre", c.DataCentre).Int64("era", c.Era).Int64("offset", c.Offset).
			Time("since", time.Now().Add(c.Since-now)).Int("moved", c.Moved).Int("refused", c.Refused)
		if peer != "" {
			l = l.Str("peer", peer)
		}
		l.Msg(message)
	}
	for _, o := range g.owners {
		o.setPaused(g.evacuated(o.worker))
	}
	g.metrics.setEvacuations(g.evacuations.Entries(), now)
	g.warnUnknownDataCentres()
	if began {
		g.startRelocation()
	}
}

// reportUnknownDataCentres is warnUnknownDataCentres for callers that do not hold the lock.
func (g *Gateway) reportUnknownDataCentres() { g.locked(g.warnUnknownDataCentres) }

// warnUnknownDataCentres logs evacuated data centres in which no worker is registered, each once: the name may be misspelt. The
// lock is held.
func (g *Gateway) warnUnknownDataCentres() {
	all := g.workers.Load().All()
	if g.evacuations.Empty() || len(all) == 0 {
		return
	}
	known := map[string]bool{}
	for _, w := range all {
		known[w.DataCentre] = true
	}
	for _, e := range g.evacuations.Entries() {
		if e.Evacuated && !known[e.DataCentre] && !g.unknownDataCentres[e.DataCentre] {
			g.unknownDataCentres[e.DataCentre] = true
			g.log.Warn().Str("data_centre", e.DataCentre).Int64("era", e.Era).Int64("offset", e.Offset).Msg("evacuated data centre has no workers")
		}
	}
}

// movedByEvacuation reports whether a request that was placed at a worker must go elsewhere because of an evacuation, and counts
// it. The lock is held.
func (g *Gateway) movedByEvacuation(w *workers.Worker) bool {
	if !g.evacuated(w) {
		return false
	}
	g.evacuations.CountMoved(w.DataCentre)
	g.metrics.countEvacuated(w.DataCentre, "moved")
	return true
}

// evacuationRefusal returns the error of a job without a worker if all workers of its service are in evacuated data centres. The
// lock is held.
func (g *Gateway) evacuationRefusal(j *forward.Job) *verdict.Error {
	if g.evacuations.Empty() {
		return nil
	}
	dataCentre := ""
	for _, w := range g.workers.Load().Ready(j.Service) {
		if g.leaving(w) {
			continue
		}
		if !g.evacuated(w) {
			return nil
		}
		dataCentre = w.DataCentre
	}
	if dataCentre == "" {
		return nil
	}
	g.evacuations.CountRefused(dataCentre)
	g.metrics.countEvacuated(dataCentre, "refused")
	retryAfter := evacuatedRetryAfter + time.Duration(rand.Int64N(int64(evacuatedRetryAfter)))
	return refuse(http.StatusServiceUnavailable, "data_centre_evacuated", "the backend servers are in evacuated data centres", retryAfter)
}

// evacuationInForce is what an instance knows of the evacuation of a data centre, as JSON in GetConfigurationResponse. It is
// sent for withdrawn evacuations too.
type evacuationInForce struct {
	DataCentre  string
	Era, Offset int64
	Evacuated   bool
	// AgeMS is for how long the data centre has been evacuated, or not been any more, in milliseconds.
	AgeMS int64
}

// evacuationsInForce returns what this instance knows of evacuations. The lock is held.
func (g *Gateway) evacuationsInForce() []evacuationInForce {
	var list []evacuationInForce
	now := g.now()
	for _, e := range g.evacuations.Entries() {
		list = append(list, evacuationInForce{e.DataCentre, e.Era, e.Offset, e.Evacuated, (now - e.Since).Milliseconds()})
	}
	return list
}

// mergeEvacuations applies what another instance knows of evacuations.
func (g *Gateway) mergeEvacuations(list []evacuationInForce, peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var entries []evacuation.Entry
	for _, e := range list {
		age := time.Duration(min(max(e.AgeMS, 0), maxEvacuationAge.Milliseconds())) * time.Millisecond
		entries = append(entries, evacuation.Entry{DataCentre: e.DataCentre, Era: e.Era, Offset: e.Offset, Evacuated: e.Evacuated, Since: now - age})
	}
	g.evacuationsChanged(g.evacuations.Merge(entries, now), peer, now)
	for _, e := range entries {
		// An instance that has just started never knew the evacuation, so that its withdrawal is no change.
		if !e.Evacuated && !g.evacuations.Evacuated(e.DataCentre) {
			g.assumeCold(e.DataCentre, e.Since, now)
		}
	}
}

// maxEvacuationAge bounds the age that another instance names, so that it does not overflow.
const maxEvacuationAge = 10 * 365 * 24 * time.Hour

// labelValue returns a name as the value of a metric's label, which must be valid UTF-8.
func labelValue(s string) string { return strings.ToValidUTF8(s, "?") }

// countEvacuated counts a request that an evacuation affected.
func (m *metrics) countEvacuated(dataCentre, outcome string) {
	m.evacuationRequests.WithLabelValues(labelValue(dataCentre), outcome).Inc()
}

// setEvacuations sets the metrics of the evacuated data centres.
func (m *metrics) setEvacuations(entries []evacuation.Entry, now time.Duration) {
	m.evacuated.Reset()
	m.evacuatedSince.Reset()
	for _, e := range entries {
		if !e.Evacuated {
			continue
		}
		m.evacuated.WithLabelValues(labelValue(e.DataCentre), strconv.FormatInt(e.Era, 10), strconv.FormatInt(e.Offset, 10)).Set(1)
		m.evacuatedSince.WithLabelValues(labelValue(e.DataCentre)).Set(float64(time.Now().Add(e.Since-now).UnixMilli()) / 1000)
	}
}
