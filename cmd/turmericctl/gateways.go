package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/gatewaystatus"
)

const (
	// maxMetricsBytes limits the metrics that are read of one instance.
	maxMetricsBytes = 16 << 20
	// concurrentReads limits how many instances are read at the same time.
	concurrentReads = 16
)

// gateways shows the evacuated data centres and the cold workers from the metrics of instances of the gateway.
type gateways struct {
	app *app
	jsonFlag
	Args struct {
		Addresses []string `positional-arg-name:"ADDRESS" required:"1" description:"metrics_address of an instance, or the URL of its metrics"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *gateways) Execute([]string) error {
	urls := make([]string, len(c.Args.Addresses))
	for i, address := range c.Args.Addresses {
		u, err := metricsURL(address)
		if err != nil {
			return err
		}
		if slices.Contains(urls, u) {
			// Its requests would count twice.
			return usageError("%q is named twice", address)
		}
		urls[i] = u
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, c.app.options.Timeout)
	defer cancel()
	status := gatewaystatus.Merge(readMetrics(ctx, c.Args.Addresses, urls))
	if c.JSON {
		if err := c.app.printJSON(status); err != nil {
			return err
		}
	} else if err := c.print(status); err != nil {
		return err
	}
	if n := status.Unread(); n > 0 {
		return trace.ConnectionProblem(nil, "%d of %d instances were not read", n, len(status.Instances))
	}
	return nil
}

// metricsURL returns the URL of the metrics at HOST:PORT or at a URL, which may lack the path.
func metricsURL(address string) (string, error) {
	text := address
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return "", usageError("%q is neither HOST:PORT nor a URL", address)
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = "/metrics"
	}
	return u.String(), nil
}

// readMetrics reads the metrics of all instances.
func readMetrics(ctx context.Context, addresses, urls []string) []gatewaystatus.Instance {
	instances := make([]gatewaystatus.Instance, len(urls))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	slots := make(chan struct{}, concurrentReads)
	var reads sync.WaitGroup
	for i, u := range urls {
		reads.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			instances[i].Address = addresses[i]
			instances[i].Samples, instances[i].Err = readSamples(ctx, client, u)
		})
	}
	reads.Wait()
	return instances
}

// readSamples reads the counters and gauges of one instance.
func readSamples(ctx context.Context, client *http.Client, u string) ([]gatewaystatus.Sample, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("status %d", resp.StatusCode)
	}
	// A longer text is cut off, and its last line may be read wrongly: it is refused.
	body := &io.LimitedReader{R: resp.Body, N: maxMetricsBytes}
	samples, err := gatewaystatus.ParseSamples(body)
	if body.N <= 0 {
		return nil, trace.LimitExceeded("the metrics are longer than %d MiB", maxMetricsBytes>>20)
	}
	return samples, trace.Wrap(err)
}

// printable returns a name as a cell of a table: names from other programs may contain control characters.
func printable(name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(name)
	}
	return name
}

// print prints the status as tables.
func (c *gateways) print(s gatewaystatus.Status) error {
	read := len(s.Instances) - s.Unread()
	t := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		words := make([]string, len(cells))
		for i, cell := range cells {
			words[i] = fmt.Sprint(cell)
		}
		// Errors of the tabwriter are those of Flush.
		_, _ = fmt.Fprintln(t, strings.Join(words, "\t"))
	}
	if len(s.Evacuations) == 0 {
		row("no data centre is evacuated")
	} else {
		row("evacuated data centre", "since", "era", "offset", "instances", "moved", "refused", "missing at")
	}
	for _, e := range s.Evacuations {
		row(printable(e.DataCentre), e.Since.Format(time.RFC3339), e.Era, e.Offset, fmt.Sprintf("%d of %d", e.Instances, read), e.Moved, e.Refused,
			strings.Join(e.Missing, " "))
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if len(s.ColdWorkers) == 0 {
		row("no worker is cold")
	} else {
		row("cold worker", "remaining", "requests/s", "sent", "instances")
	}
	for _, w := range s.ColdWorkers {
		remaining, rate := "unknown", "unknown"
		if w.RemainingSeconds != nil {
			remaining = fmt.Sprintf("%.1f s", *w.RemainingSeconds)
		}
		if w.RequestsPerSecond != nil {
			rate = fmt.Sprint(*w.RequestsPerSecond)
		}
		row(printable(w.Worker), remaining, rate, w.Sent, fmt.Sprintf("%d of %d", w.Instances, read))
	}
	for _, i := range s.Instances {
		if i.Error != "" {
			c.app.printf(c.app.stderr, "%s: %s\n", i.Address, i.Error)
		}
	}
	return trace.Wrap(t.Flush())
}
