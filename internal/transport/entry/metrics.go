package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests   *prometheus.CounterVec
	failures   *prometheus.CounterVec
	firstByte  prometheus.Histogram
	duration   prometheus.Histogram
	withdrawn  prometheus.Counter
	brokenSent prometheus.Counter
}

// latencyBuckets cover the target for the first token, 0.43 s, with a bound on each side of it.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.43, 0.6, 1, 2, 5, 10, 30, 60, 300}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmeric_requests_total", Help: "Requests of callers by kind, HTTP status and verdict.",
		}, []string{"kind", "status", "verdict"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmeric_failures_total", Help: "Requests that were refused or failed, by error code.",
		}, []string{"code"}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "turmeric_first_token_seconds", Help: "Time from a request's arrival to the first event of its stream.",
			Buckets: latencyBuckets,
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "turmeric_request_seconds", Help: "Time from a request's arrival to the end of its answer.",
			Buckets: latencyBuckets,
		}),
		withdrawn: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmeric_withdrawn_requests_total", Help: "Requests stopped because their key was withdrawn or the lease was lost.",
		}),
		brokenSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmeric_broken_streams_total", Help: "Streams that ended in an error event.",
		}),
	}
	r.MustRegister(m.requests, m.failures, m.firstByte, m.duration, m.withdrawn, m.brokenSent)
	return m
}

func (m *metrics) done(kind string, status int, verdict string, start time.Time) {
	m.requests.WithLabelValues(kind, strconv.Itoa(status), verdict).Inc()
	m.duration.Observe(time.Since(start).Seconds())
}
