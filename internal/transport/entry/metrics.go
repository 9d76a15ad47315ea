package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests      *prometheus.CounterVec
	failures      *prometheus.CounterVec
	firstToken    prometheus.Histogram
	duration      prometheus.Histogram
	withdrawn     prometheus.Counter
	brokenStreams prometheus.Counter
}

// latencyBuckets have a bound at the target for the time to the first token, 0.43 s, and a close one on either
// side of it.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.43, 0.6, 1, 2, 5, 10, 30, 60, 300}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmeric_requests_total", Help: "Requests of callers by kind, HTTP status and verdict.",
		}, []string{"kind", "status", "verdict"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmeric_failures_total", Help: "Requests that were refused or failed, by error code.",
		}, []string{"code"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
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
		brokenStreams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmeric_broken_streams_total", Help: "Streams that ended in an error event.",
		}),
	}
	r.MustRegister(m.requests, m.failures, m.firstToken, m.duration, m.withdrawn, m.brokenStreams)
	return m
}

func (m *metrics) observe(kind string, status int, verdict string, start time.Time) {
	m.requests.WithLabelValues(kind, strconv.Itoa(status), verdict).Inc()
	m.duration.Observe(time.Since(start).Seconds())
}
