// Package loadgen sends completion requests at a fixed rate and measures the answers. Arrivals do not
// wait for earlier answers, so that a slow server is not asked more slowly.
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

// Options describe one run.
type Options struct {
	// URLs are the base addresses that take turns.
	URLs []string
	// Key is the bearer key; empty sends none, as engines expect.
	Key string
	// Adapters are asked for by Zipf popularity, the first most often.
	Adapters []string
	// ZipfExponent is the skew, above 1.
	ZipfExponent float64
	// Rate is the number of requests per second.
	Rate float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// MaxTokens is the output of each request.
	MaxTokens int
	// Seed makes arrivals and adapters repeatable.
	Seed uint64
	// Client sends the requests.
	Client *http.Client
}

// Result is what a run measured.
type Result struct {
	Sent       int            `json:"sent"`
	Succeeded  int            `json:"succeeded"`
	Failures   map[string]int `json:"failures,omitempty"`
	FirstToken Quantiles      `json:"first_token_seconds"`
	Total      Quantiles      `json:"total_seconds"`
}

// Quantiles are in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// sample is one request's outcome. failure is empty when it succeeded.
type sample struct {
	firstToken, total time.Duration
	failure           string
}

// Run sends requests until the duration has passed and all were answered.
func Run(ctx context.Context, o Options) Result {
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	zipf := rand.NewZipf(rng, o.ZipfExponent, 1, uint64(len(o.Adapters)-1))
	var (
		mu      sync.Mutex
		samples []sample
		wg      sync.WaitGroup
	)
	start := time.Now()
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if at > o.Duration || ctx.Err() != nil {
			break
		}
		url, adapter := o.URLs[n%len(o.URLs)], o.Adapters[zipf.Uint64()]
		time.Sleep(time.Until(start.Add(at)))
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

// readStream times the events of a streamed answer.
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
	var first, total []float64
	for _, s := range samples {
		if s.failure != "" {
			r.Failures[s.failure]++
			continue
		}
		r.Succeeded++
		first = append(first, s.firstToken.Seconds())
		total = append(total, s.total.Seconds())
	}
	r.FirstToken, r.Total = quantiles(first), quantiles(total)
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

// CheckOptions returns an error for options that cannot be run.
func CheckOptions(o Options) error {
	switch {
	case len(o.URLs) == 0:
		return trace.BadParameter("at least one address is needed")
	case len(o.Adapters) == 0:
		return trace.BadParameter("at least one adapter is needed")
	case o.Rate <= 0 || o.Duration <= 0 || o.MaxTokens <= 0:
		return trace.BadParameter("rate, duration and output must be positive")
	case o.ZipfExponent <= 1:
		return trace.BadParameter("the Zipf exponent must be above 1")
	}
	return nil
}
