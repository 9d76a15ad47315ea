// Package loadgen is an open-loop load generator: it sends completion requests at a given mean rate and
// measures the responses. Requests do not wait for earlier responses, so that a slow server does not lower
// the rate.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"
)

// Options configure one run.
type Options struct {
	// URLs are the base URLs, used in round-robin order.
	URLs []string
	// Key is the bearer key. If it is empty, none is sent, as engines expect.
	Key string
	// Adapters are chosen with a Zipf distribution, the first most often.
	Adapters []string
	// ZipfExponent is the exponent of the distribution; it must be greater than 1.
	ZipfExponent float64
	// Rate is the mean number of requests per second; the intervals are exponentially distributed.
	Rate float64
	// Duration is the time during which requests are sent. Run also waits for their responses.
	Duration time.Duration
	// MaxTokens is the output limit of each request.
	MaxTokens int
	// Seed makes the send times and the choice of adapters reproducible.
	Seed uint64
	// Client sends the requests.
	Client *http.Client
}

// Result is the summary of a run.
type Result struct {
	Sent       int            `json:"sent"`
	Succeeded  int            `json:"succeeded"`
	Failures   map[string]int `json:"failures,omitempty"`
	FirstToken Quantiles      `json:"first_token_seconds"`
	Total      Quantiles      `json:"total_seconds"`
}

// Quantiles describe a distribution of durations, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// sample is the outcome of one request. failure is empty if it succeeded.
type sample struct {
	firstToken, total time.Duration
	failure           string
}

// Run sends requests for the duration, or until the context ends, and returns when all of them have ended.
func Run(ctx context.Context, o Options) Result {
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	zipf := rand.NewZipf(rng, o.ZipfExponent, 1, uint64(len(o.Adapters)-1))
	var (
		mu      sync.Mutex
		samples []sample
		wg      sync.WaitGroup
	)
	start := time.Now()
	var offset time.Duration
	for n := 0; ; n++ {
		offset += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if offset > o.Duration || ctx.Err() != nil {
			break
		}
		url, adapter := o.URLs[n%len(o.URLs)], o.Adapters[zipf.Uint64()]
		time.Sleep(time.Until(start.Add(offset)))
		wg.Go(func() {
			s := send(ctx, o, url, adapter, n)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, s)
		})
	}
	wg.Wait()
	return summarise(samples)
}

func send(ctx context.Context, o Options, url, adapter string, n int) sample {
	body, _ := json.Marshal(map[string]any{
		"model": adapter, "stream": true, "max_tokens": o.MaxTokens, "prompt": fmt.Sprintf("request %d", n),
	})
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return sample{failure: "bad address"}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", fmt.Sprintf("load-%d-%d", o.Seed, n))
	if o.Key != "" {
		req.Header.Set("Authorization", "Bearer "+o.Key)
	}
	resp, err := o.Client.Do(req)
	if err != nil {
		return sample{failure: "connection"}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return sample{failure: fmt.Sprintf("status %d %s", resp.StatusCode, resp.Header.Get("Turmeric-Verdict"))}
	}
	return readStream(resp, start)
}

// readStream reads a streamed response and measures the times to its first event and to its end.
func readStream(resp *http.Response, start time.Time) sample {
	var s sample
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return sample{failure: "stream broken"}
		}
		if s.firstToken == 0 {
			s.firstToken = time.Since(start)
		}
		if event.Data == "[DONE]" {
			s.total = time.Since(start)
			return s
		}
		if bytes.Contains([]byte(event.Data), []byte(`"error"`)) {
			return sample{failure: "error event"}
		}
	}
	return sample{failure: "stream ended early"}
}

func summarise(samples []sample) Result {
	r := Result{Sent: len(samples), Failures: map[string]int{}}
	var firstTokens, totals []float64
	for _, s := range samples {
		if s.failure != "" {
			r.Failures[s.failure]++
			continue
		}
		r.Succeeded++
		firstTokens = append(firstTokens, s.firstToken.Seconds())
		totals = append(totals, s.total.Seconds())
	}
	r.FirstToken, r.Total = quantiles(firstTokens), quantiles(totals)
	return r
}

func quantiles(v []float64) Quantiles {
	if len(v) == 0 {
		return Quantiles{}
	}
	sort.Float64s(v)
	at := func(q float64) float64 { return v[min(int(q*float64(len(v))), len(v)-1)] }
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: v[len(v)-1]}
}

// CheckOptions returns an error if Run cannot use the options.
func CheckOptions(o Options) error {
	switch {
	case len(o.URLs) == 0:
		return trace.BadParameter("at least one server address is required")
	case len(o.Adapters) == 0:
		return trace.BadParameter("at least one adapter is required")
	case o.Rate <= 0 || o.Duration <= 0 || o.MaxTokens <= 0:
		return trace.BadParameter("rate, duration and output limit must be positive")
	case o.ZipfExponent <= 1:
		return trace.BadParameter("the Zipf exponent must be greater than 1")
	}
	return nil
}
