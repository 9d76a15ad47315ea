// Command turmeric-load sends completion requests at a given mean rate and prints the latencies. With --direct it first
// sends the same load directly to engines and also prints the ratio of the latencies.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/turmericworks/turmericworks/internal/loadgen"
)

type options struct {
	URL       []string      `long:"url" description:"base address of an instance; may be repeated" default:"http://127.0.0.1:8080"`
	Direct    []string      `long:"direct" description:"base address of an engine, to compare with; may be repeated"`
	KeyFile   string        `long:"key-file" description:"file with the caller's key"`
	Adapter   []string      `long:"adapter" description:"adapter to ask for, the most popular first; may be repeated" required:"true"`
	Zipf      float64       `long:"zipf" description:"skew of the popularity, above 1" default:"1.1"`
	Rate      float64       `long:"rate" description:"requests per second" default:"100"`
	Duration  time.Duration `long:"duration" description:"how long to send" default:"10s"`
	MaxTokens int           `long:"max-tokens" description:"output tokens of each request" default:"16"`
	Seed      uint64        `long:"seed" description:"seed of arrivals and adapters" default:"1"`
	JSON      bool          `long:"json" description:"print JSON"`
}

// report is the output of a run.
type report struct {
	Instance loadgen.Result  `json:"instance"`
	Direct   *loadgen.Result `json:"direct,omitempty"`
	// CPUMillisPerRequest is the CPU time of the instances per request sent, in milliseconds.
	CPUMillisPerRequest float64 `json:"cpu_ms_per_request"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	var key string
	if o.KeyFile != "" {
		b, err := os.ReadFile(o.KeyFile)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		key = strings.TrimSpace(string(b))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	loadOptions := loadgen.Options{
		URLs: o.URL, Key: key, Adapters: o.Adapter, ZipfExponent: o.Zipf, Rate: o.Rate, Duration: o.Duration,
		MaxTokens: o.MaxTokens, Seed: o.Seed, Client: client,
	}
	if err := loadgen.CheckOptions(loadOptions); err != nil {
		return err
	}
	var r report
	if len(o.Direct) > 0 {
		direct := loadOptions
		direct.URLs, direct.Key = o.Direct, ""
		directResult := loadgen.Run(ctx, direct)
		r.Direct = &directResult
	}
	before := cpuSeconds(ctx, client, o.URL)
	r.Instance = loadgen.Run(ctx, loadOptions)
	if r.Instance.Sent > 0 {
		r.CPUMillisPerRequest = (cpuSeconds(ctx, client, o.URL) - before) * 1000 / float64(r.Instance.Sent)
	}
	return printReport(r, o.JSON)
}

// cpuSeconds returns the total CPU time that the instances report in their metrics. An instance whose metrics cannot be
// read counts as zero.
func cpuSeconds(ctx context.Context, client *http.Client, urls []string) float64 {
	var sum float64
	for _, u := range urls {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u+"/metrics", nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(resp.Body)
		_ = resp.Body.Close()
		if f := families["process_cpu_seconds_total"]; err == nil && f != nil {
			sum += f.Metric[0].GetCounter().GetValue()
		}
	}
	return sum
}

func printReport(r report, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return trace.Wrap(e.Encode(r))
	}
	printResult := func(name string, result loadgen.Result) {
		fmt.Printf("%-9s sent %d, succeeded %d, first token p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, failures %v\n", name,
			result.Sent, result.Succeeded, result.FirstToken.P50*1000, result.FirstToken.P95*1000, result.FirstToken.P99*1000, result.Failures)
	}
	printResult("instance", r.Instance)
	fmt.Printf("CPU of the instances per request: %.3f ms\n", r.CPUMillisPerRequest)
	if r.Direct == nil {
		return nil
	}
	printResult("direct", *r.Direct)
	if r.Direct.FirstToken.P50 > 0 {
		fmt.Printf("ratio instance/direct: first token p50 %.2f, p99 %.2f; added at p99 %.2f ms\n",
			r.Instance.FirstToken.P50/r.Direct.FirstToken.P50, r.Instance.FirstToken.P99/r.Direct.FirstToken.P99,
			(r.Instance.FirstToken.P99-r.Direct.FirstToken.P99)*1000)
	}
	return nil
}
