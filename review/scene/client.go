package scene

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request of a client.
type Request struct {
	Method, Host, Path, Key string
	Body                    string
	Deadline                time.Duration
}

// Answer is what a client got. Status is 0 if there was no answer.
type Answer struct {
	Attempt    string
	Status     int
	Stamp      string
	Body       string
	Sent, Took time.Duration
	Err        error
}

// Clients send requests, each attempt with an id of its own. They keep connections open.
type Clients struct {
	Start  time.Time
	client http.Client
	number atomic.Int64
}

// NewClients returns clients without connections.
func NewClients(start time.Time) *Clients {
	return &Clients{Start: start, client: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// Send sends a request to an instance once.
func (c *Clients) Send(g *Gateway, r Request) Answer {
	sent := time.Now()
	a := Answer{Attempt: fmt.Sprintf("%016x", 0x51ce<<32|c.number.Add(1)), Sent: sent.Sub(c.Start)}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+g.Callers+r.Path, strings.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	// The standard client must not send a request twice.
	req.GetBody = nil
	req.Host = r.Host
	req.Header.Set("X-Attempt-Id", a.Attempt)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set("X-Key", r.Key)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Status, a.Stamp, a.Body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(body)
	}
	a.Took, a.Err = time.Since(sent), err
	return a
}
