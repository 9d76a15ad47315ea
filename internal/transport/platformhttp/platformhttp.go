// Package platformhttp is the HTTP client of the platform's log service and instance list. It is the only
// package that knows their wire format.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

const (
	// callTimeout is how long a call may take beyond the time that the service was asked to wait. If it
	// takes longer, its connection no longer works.
	callTimeout = 2 * time.Second
	// hedgeDelay is how long a read may stay unanswered after the end of its long poll before it is sent
	// again on a new connection. The freshness lease of 2 s then survives one connection that stops
	// responding: the latest evidence for the lease is one long poll old when the read begins.
	hedgeDelay = 500 * time.Millisecond
	// maxResponseBytes is the largest size of a response body.
	maxResponseBytes = 64 << 20
)

// Log is a client of the log service.
type Log struct {
	base   string
	client *http.Client
	// fresh sends each request on a new connection.
	fresh *http.Client
}

// NewLog returns a client for the service at base, such as "http://10.0.0.1:7000".
func NewLog(base string, rt http.RoundTripper) *Log {
	return &Log{base: base, client: &http.Client{Transport: rt}, fresh: &http.Client{Transport: network.WithoutKeepAlive(rt)}}
}

var _ platform.Log = (*Log)(nil)

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, s platform.Stream, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/streams/%s/records", l.base, s)
	var response struct {
		Offset uint64 `json:"offset"`
	}
	if err := call(ctx, l.client, http.MethodPost, url, data, &response); err != nil {
		return 0, trace.Wrap(err, "appending to stream %s", s)
	}
	return response.Offset, nil
}

// Read implements platform.Log. A read that stays unanswered is sent again on a new connection, because an open
// connection can stop responding for good.
func (l *Log) Read(ctx context.Context, s platform.Stream, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	type result struct {
		batch platform.Batch
		err   error
	}
	results := make(chan result, 2)
	send := func(c *http.Client, wait time.Duration) {
		b, err := l.read(ctx, c, s, from, limit, wait)
		results <- result{b, err}
	}
	go send(l.client, wait)
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	for sent, received := 1, 0; ; {
		select {
		case <-hedge.C:
			sent++
			// Idle connections may have stopped responding for the same reason as this one.
			l.client.CloseIdleConnections()
			go send(l.fresh, 0)
		case r := <-results:
			received++
			if r.err == nil || received == sent {
				return r.batch, r.err
			}
		}
	}
}

func (l *Log) read(ctx context.Context, c *http.Client, s platform.Stream, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	url := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d", l.base, s, from, limit, wait.Milliseconds())
	var response struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset    uint64 `json:"offset"`
			UnixMilli int64  `json:"unix_ms"`
			Data      []byte `json:"data"`
		} `json:"records"`
	}
	if err := call(ctx, c, http.MethodGet, url, nil, &response); err != nil {
		return platform.Batch{}, trace.Wrap(err, "reading stream %s", s)
	}
	b := platform.Batch{First: response.First, Next: response.Next}
	for _, r := range response.Records {
		b.Records = append(b.Records, platform.Record{Offset: r.Offset, Time: time.UnixMilli(r.UnixMilli), Data: r.Data})
	}
	return b, checkBatch(b, from)
}

// checkBatch refuses a response that no correct log can give: a fold that applied it would differ from the folds
// of other instances for good.
func checkBatch(b platform.Batch, from uint64) error {
	minOffset := max(from, b.First)
	for _, r := range b.Records {
		if r.Offset < minOffset || r.Offset >= b.Next {
			return fmt.Errorf("%w: the log service returned offset %d, outside %d to %d", platform.ErrUnavailable, r.Offset, minOffset, b.Next)
		}
		minOffset = r.Offset + 1
	}
	if b.Next < max(from, b.First) {
		return fmt.Errorf("%w: the log service returned next offset %d, below %d", platform.ErrUnavailable, b.Next, max(from, b.First))
	}
	return nil
}

// InstanceList is a client of the platform's list of instances.
type InstanceList struct {
	base   string
	client *http.Client
}

// NewInstanceList returns a client for the list at base.
func NewInstanceList(base string, rt http.RoundTripper) *InstanceList {
	return &InstanceList{base: base, client: &http.Client{Transport: rt}}
}

var _ platform.InstanceList = (*InstanceList)(nil)

// List implements platform.InstanceList.
func (l *InstanceList) List(ctx context.Context) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []platform.Instance
	err := call(ctx, l.client, http.MethodGet, l.base+"/v1/instances", nil, &out)
	return out, trace.Wrap(err, "reading the instance list")
}

// call makes one HTTP call and decodes its JSON response into result. Every error but that of an invalid URL matches
// platform.ErrUnavailable.
func call(ctx context.Context, c *http.Client, method, url string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", platform.ErrUnavailable, resp.StatusCode)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return nil
}
