package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// maxAttempts is how many times a request is sent while the instance is unavailable. Every attempt of a
// change has the same ID, so that the change takes effect only once.
const maxAttempts = 3

// defaultRetryWait is the pause between attempts; the server asks for the same in Retry-After.
const defaultRetryWait = time.Second

// Client calls the API of one instance.
type Client struct {
	// URL is the base address of the instance.
	URL string
	// Token is the operator token.
	Token string
	// HTTP sends the requests.
	HTTP *http.Client
	// RetryWait is the pause between attempts; zero means 1 s.
	RetryWait time.Duration
}

// Config reads the configuration in force. The trace type of its error follows from the HTTP status.
func (c *Client) Config(ctx context.Context) (ConfigResponse, error) {
	var a ConfigResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/config", nil, &a)
	return a, err
}

// Status reads the state of the instances. The trace type of its error follows from the HTTP status.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var a StatusResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil, &a)
	return a, err
}

// Change submits a change. A refusal is reported in the response and not as an error. After a connection
// problem the change may have taken effect. Invalid operations give an error of type config.Problems.
func (c *Client) Change(ctx context.Context, r ChangeRequest) (ChangeResponse, error) {
	var a ChangeResponse
	body, err := json.Marshal(r)
	if err != nil {
		return a, trace.Wrap(err, "encoding the change")
	}
	err = c.call(ctx, http.MethodPost, "/admin/v1/changes", body, &a)
	return a, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	wait := c.RetryWait
	if wait == 0 {
		wait = defaultRetryWait
	}
	for i := 1; ; i++ {
		err := c.attempt(ctx, method, path, body, result)
		if err == nil || !trace.IsConnectionProblem(err) || i == maxAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
	}
}

func (c *Client) attempt(ctx context.Context, method, path string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "no response from %s: %v", c.URL, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "reading the response from %s: %v", c.URL, err)
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusConflict {
		if err := json.Unmarshal(data, result); err != nil {
			return trace.BadParameter("decoding the response from %s: %v", c.URL, err)
		}
		return nil
	}
	return statusError(response.StatusCode, data)
}

// statusError returns the error for a response that is neither a success nor a refusal.
func statusError(status int, data []byte) error {
	var e ErrorResponse
	_ = json.Unmarshal(data, &e)
	message := e.Error.Message
	if message == "" {
		message = http.StatusText(status)
	}
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		return trace.ConnectionProblem(nil, "%s", message)
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return trace.AccessDenied("%s", message)
	case len(e.Error.Problems) > 0:
		return trace.Wrap(config.Problems(e.Error.Problems))
	}
	return trace.BadParameter("status %d: %s", status, message)
}
