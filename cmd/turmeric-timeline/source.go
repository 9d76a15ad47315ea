package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

// eventsPath is the path where an instance serves the events of its ring buffer as a JSON list.
const eventsPath = "/debug/events"

type sourceResult struct {
	events []event.Event
	err    error
}

// readSources reads all sources concurrently, so that several unresponsive instances delay the output by only one
// timeout.
func readSources(o options, stdin io.Reader) []sourceResult {
	results := make([]sourceResult, len(o.Args.Sources))
	var wg sync.WaitGroup
	for i, source := range o.Args.Sources {
		wg.Go(func() { results[i] = readSource(source, o, stdin) })
	}
	wg.Wait()
	return results
}

func readSource(source string, o options, stdin io.Reader) sourceResult {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return fetchEvents(source, o)
	}
	if source == "-" {
		return decodeEvents(stdin)
	}
	f, err := os.Open(source)
	if err != nil {
		return sourceResult{err: trace.ConvertSystemError(err)}
	}
	r := decodeEvents(f)
	if err := f.Close(); err != nil && r.err == nil {
		r.err = trace.ConvertSystemError(err)
	}
	return r
}

func decodeEvents(r io.Reader) sourceResult {
	events, err := event.Decode(r)
	return sourceResult{events: events, err: err}
}

func fetchEvents(source string, o options) sourceResult {
	u, err := url.Parse(source)
	if err != nil {
		return sourceResult{err: trace.BadParameter("invalid URL: %v", err)}
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = eventsPath
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Timeout*float64(time.Second)))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return sourceResult{err: trace.Wrap(err)}
	}
	if o.TokenFile != "" {
		token, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return sourceResult{err: trace.ConvertSystemError(err)}
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return sourceResult{err: trace.ConnectionProblem(err, "the instance did not answer")}
	}
	// An error on close is ignored: the list has been read to its end or an error is returned already.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return sourceResult{err: trace.BadParameter("the instance answered with status %s", resp.Status)}
	}
	return decodeEvents(resp.Body)
}
