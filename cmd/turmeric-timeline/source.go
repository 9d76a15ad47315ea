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

// eventsPath is where an instance serves its ring buffer as a JSON list.
const eventsPath = "/debug/events"

type result struct {
	events []event.Event
	err    error
}

// readAll reads all sources at once, so that several silent instances cost one timeout together.
func readAll(o options, stdin io.Reader) []result {
	results := make([]result, len(o.Args.Sources))
	var wg sync.WaitGroup
	for i, source := range o.Args.Sources {
		wg.Go(func() { results[i] = read(source, o, stdin) })
	}
	wg.Wait()
	return results
}

func read(source string, o options, stdin io.Reader) result {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return fetch(source, o)
	}
	if source == "-" {
		return decode(stdin)
	}
	f, err := os.Open(source)
	if err != nil {
		return result{err: trace.ConvertSystemError(err)}
	}
	r := decode(f)
	if err := f.Close(); err != nil && r.err == nil {
		r.err = trace.ConvertSystemError(err)
	}
	return r
}

func decode(r io.Reader) result {
	events, err := event.Decode(r)
	return result{events: events, err: err}
}

func fetch(source string, o options) result {
	u, err := url.Parse(source)
	if err != nil {
		return result{err: trace.BadParameter("not a URL: %v", err)}
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = eventsPath
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Timeout*float64(time.Second)))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return result{err: trace.Wrap(err)}
	}
	if o.TokenFile != "" {
		token, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return result{err: trace.ConvertSystemError(err)}
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: trace.ConnectionProblem(err, "no answer")}
	}
	// The body was read to the end of the list or is of no use.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return result{err: trace.BadParameter("the instance answered %s", resp.Status)}
	}
	return decode(resp.Body)
}
