// Package platformhttp speaks to the platform's log service and instance list over HTTP. It is the
// only package that knows their wire form.
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
	// callTimeout bounds a call past the time that the service was asked to wait. A longer silence
	// means a dead connection.
	callTimeout = 2 * time.Second
	// hedgeDelay is how long past the long poll a read may stay unanswered before it is asked again on
	// a new connection. The freshness lease of 2 s then survives one silent connection: the last
	// evidence is one long poll old when the read begins.
	hedgeDelay = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// Log is a client of the log service.
type Log struct {
	base   string
	client *http.Client
	// fresh opens a new connection for each call.
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
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := call(ctx, l.client, http.MethodPost, url, data, &answer); err != nil {
		return 0, trace.Wrap(err, "appending to stream %s", s)
	}
	return answer.Offset, nil
}

// Read implements platform.Log. A read that stays unanswered is asked again on a new connection, since a
// connection can go silent for good.
func (l *Log) Read(ctx context.Context, s platform.Stream, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	type result struct {
		batch platform.Batch
		err   error
	}
	results := make(chan result, 2)
	ask := func(c *http.Client, wait time.Duration) {
		b, err := l.read(ctx, c, s, from, limit, wait)
		results <- result{b, err}
	}
	go ask(l.client, wait)
	late := time.NewTimer(wait + hedgeDelay)
	defer late.Stop()
	for asked, answered := 1, 0; ; {
		select {
		case <-late.C:
			asked++
			// Other idle connections may have gone silent with this one.
			l.client.CloseIdleConnections()
			go ask(l.fresh, 0)
		case r := <-results:
			answered++
			if r.err == nil || answered == asked {
				return r.batch, r.err
			}
		}
	}
}

func (l *Log) read(ctx context.Context, c *http.Client, s platform.Stream, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	url := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d", l.base, s, from, limit, wait.Milliseconds())
	var answer struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset    uint64 `json:"offset"`
			UnixMilli int64  `json:"unix_ms"`
			Data      []byte `json:"data"`
		} `json:"records"`
	}
	if err := call(ctx, c, http.MethodGet, url, nil, &answer); err != nil {
		return platform.Batch{}, trace.Wrap(err, "reading stream %s", s)
	}
	b := platform.Batch{First: answer.First, Next: answer.Next}
	for _, r := range answer.Records {
		b.Records = append(b.Records, platform.Record{Offset: r.Offset, Time: time.UnixMilli(r.UnixMilli), Data: r.Data})
	}
	return b, checkBatch(b, from)
}

// checkBatch refuses an answer that no log can give: a fold that applied it would differ from the folds of
// other instances for good.
func checkBatch(b platform.Batch, from uint64) error {
	least := max(from, b.First)
	for _, r := range b.Records {
		if r.Offset < least || r.Offset >= b.Next {
			return fmt.Errorf("%w: the log's answer holds offset %d outside %d to %d", platform.ErrUnavailable, r.Offset, least, b.Next)
		}
		least = r.Offset + 1
	}
	if b.Next < max(from, b.First) {
		return fmt.Errorf("%w: the log's next offset %d is below %d", platform.ErrUnavailable, b.Next, max(from, b.First))
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

// call does one HTTP call and decodes its JSON answer. Every failure matches platform.ErrUnavailable.
func call(ctx context.Context, c *http.Client, method, url string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", platform.ErrUnavailable, resp.StatusCode)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return nil
}
