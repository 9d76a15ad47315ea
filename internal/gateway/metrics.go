package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

var kindNames = map[routing.Kind]string{
	routing.Idempotent: "idempotent", routing.NonIdempotent: "non_idempotent", routing.Stream: "stream",
}

// metrics are the metrics of one instance.
type metrics struct {
	requests        *prometheus.CounterVec
	latency         *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	unfinished      *prometheus.CounterVec
	streamsBehind   *prometheus.CounterVec
	callerCloses    *prometheus.CounterVec
	logServiceCalls *prometheus.CounterVec
	orders          *prometheus.CounterVec
	panics          *prometheus.CounterVec
	peerCalls       *prometheus.CounterVec
	logEra          prometheus.Gauge
	// evacuated and evacuatedSince have a series for each evacuated data centre.
	evacuated, evacuatedSince *prometheus.GaugeVec
	evacuationRequests        *prometheus.CounterVec
	// feedBehind, feedConfirmed and feedUndecodable have a series for each feed of the log service.
	feedBehind, feedConfirmed, feedUndecodable *prometheus.GaugeVec
	// plainPlacements counts by how a worker of a plain service was chosen, and keptAnswers what this instance answered as a keeper.
	plainPlacements, keptAnswers *prometheus.CounterVec
	keptPlaces, keptSeconds      *prometheus.GaugeVec
	holds                        prometheus.Counter
	mixedServices                *prometheus.GaugeVec
	// streamRecords and streamResumes count what streamVersions does.
	streamRecords, streamResumes *prometheus.CounterVec
	// overShare counts what happened to requests whose workspaces held more than their shares.
	overShare *prometheus.CounterVec
}

func newMetrics(r *prometheus.Registry) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	m := &metrics{
		requests:           counter("turmeric_requests_total", "Requests of callers, by kind of route, status and verdict.", "kind", "status", "verdict"),
		attempts:           counter("turmeric_attempts_total", "Attempts at backend servers, by outcome.", "outcome"),
		unfinished:         counter("turmeric_unfinished_answers_total", "Requests whose callers got no complete answer, by whether it had begun and by cause.", "begun", "cause"),
		streamsBehind:      counter("turmeric_streams_behind_total", "Streams whose callers read more slowly than workers responded, by whether reading from a worker stopped at a limit for that.", "stopped"),
		callerCloses:       counter("turmeric_caller_connections_closed_total", "Connections of callers that have ended, by cause and whether bytes had arrived that were not read.", "cause", "unread"),
		logServiceCalls:    counter("turmeric_log_service_calls_total", "Calls to the log service, by call and outcome.", "call", "outcome"),
		orders:             counter("turmeric_orders_total", "Orders to workers and reports read, by kind and whether they were answered well.", "order", "ok"),
		evacuationRequests: counter("turmeric_evacuation_requests_total", "Requests that an evacuation affected, by data centre and outcome: moved after they were placed there, or refused since no other worker is left.", "data_centre", "outcome"),
		peerCalls:          counter("turmeric_peer_calls_total", "Calls to other instances, by method.", "method"),
		panics:             counter("turmeric_panics_total", "Panics that ended only the call or background task in which they came, by its name.", "in"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "turmeric_request_seconds", Help: "Time from a request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
	}
	m.streamRecords = counter("turmeric_stream_records_total", "Streams whose software version was to be recorded, since it is not the base version of their service.", "outcome")
	m.streamResumes = counter("turmeric_stream_resumes_total", "Streams that callers took up again, by how their software version was found: the base version, a record, or the reason for a refusal.", "found")
	m.logEra = prometheus.NewGauge(prometheus.GaugeOpts{Name: "turmeric_log_service_era", Help: "Latest era of the log service that was observed; it rises by one with each restore from a copy."})
	m.evacuated = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_evacuated_data_centres", Help: "1 for each evacuated data centre, with the position of the record that decides."}, []string{"data_centre", "era", "offset"})
	m.evacuatedSince = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_evacuation_start_seconds", Help: "Unix time since which a data centre is evacuated, as far as this instance knows."}, []string{"data_centre"})
	m.feedBehind = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_feed_behind_records", Help: "Records of a feed of the log service that this instance had still to read after its last read."}, []string{"feed"})
	m.feedConfirmed = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_feed_confirmed_seconds", Help: "Unix time as of which this instance knows all records of a feed."}, []string{"feed"})
	m.feedUndecodable = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_feed_undecodable", Help: "1 while the newest record of a feed, such as the configuration, could not be decoded, so that reads confirm nothing, else 0."}, []string{"feed"})
	m.plainPlacements = counter("turmeric_plain_placements_total", "Requests to plain services that keepers place, by how the worker was found.", "how")
	m.keptAnswers = counter("turmeric_kept_answers_total", "Answers of this instance as the keeper of a plain worker, by whether they gave a place.", "admitted")
	m.keptPlaces = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_kept_places", Help: "Requests of all instances at a plain worker of which this instance is the keeper."}, []string{"worker"})
	m.keptSeconds = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_kept_request_seconds", Help: "Learned time of one request at a plain worker of which this instance is the keeper."}, []string{"worker"})
	m.overShare = counter("turmeric_workspace_share_total", "Requests whose workspaces held more than their shares of short capacity: declined by an owner or keeper that this instance asked, and refused by this instance.", "outcome")
	m.holds = prometheus.NewCounter(prometheus.CounterOpts{Name: "turmeric_holds_total", Help: "Waits of requests for room at workers that take a mixture of long and short prompts."})
	m.mixedServices = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "turmeric_mixed_prompt_tokens", Help: "Usual tokens of a long prompt at services whose routes bring prompts of very different sizes, else 0."}, []string{"service"})
	r.MustRegister(m.latency, m.logEra, m.evacuated, m.evacuatedSince, m.keptPlaces, m.keptSeconds, m.holds, m.mixedServices,
		m.feedBehind, m.feedConfirmed, m.feedUndecodable)
	return m
}

func (m *metrics) handler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// Request implements forward.Metrics.
func (m *metrics) Request(route *routing.Route, status int, v verdict.Verdict, duration time.Duration) {
	kind := kindNames[route.Kind]
	m.requests.WithLabelValues(kind, strconv.Itoa(status), v.String()).Inc()
	m.latency.WithLabelValues(kind).Observe(duration.Seconds())
}

// Attempt implements forward.Metrics.
func (m *metrics) Attempt(o forward.Outcome) { m.attempts.WithLabelValues(o.String()).Inc() }

// Unfinished implements forward.Metrics.
func (m *metrics) Unfinished(begun bool, cause string) {
	m.unfinished.WithLabelValues(strconv.FormatBool(begun), cause).Inc()
}

// Behind implements forward.Metrics.
func (m *metrics) Behind(stopped bool) {
	m.streamsBehind.WithLabelValues(strconv.FormatBool(stopped)).Inc()
}

func (m *metrics) countLogServiceCall(call, outcome string) {
	m.logServiceCalls.WithLabelValues(call, outcome).Inc()
}

// countKept counts an answer as the keeper of a plain worker.
func (m *metrics) countKept(admitted bool) {
	m.keptAnswers.WithLabelValues(strconv.FormatBool(admitted)).Inc()
}

// countOrder counts an order to a worker or a read of its report.
func (m *metrics) countOrder(order string, ok bool) {
	m.orders.WithLabelValues(order, strconv.FormatBool(ok)).Inc()
}
