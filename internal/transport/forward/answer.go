package forward

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

// receive classifies a worker's response and forwards it to the caller.
func (c *call) receive(resp *upstream.Response) error {
	info := c.server.Headers.ParseResponse(resp.StatusCode, resp.Header)
	c.reservation.Answered(info)
	if c.awaiting != nil {
		c.awaiting.Store(false)
	}
	success := resp.StatusCode/100 == 2
	switch {
	case info.NotRun:
		c.outcome = Rejected
		if info.Misdirected {
			c.outcome = Misdirected
		}
		// The headers show the rejection; its body does not matter.
		resp.Discard()
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "worker_rejected", "the backend server did not take the request").WithRetryAfter(retryAfter)
	case !info.Signed && (success || verdict.IsPromise(resp.StatusCode)):
		c.outcome = Broken
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "unsigned_answer", "the answer is not the backend server's own")
	case success && c.job.Route.Kind == routing.Stream && isEventStream(resp, !c.headerSent):
		return c.forwardStream(resp)
	default:
		return c.forwardBuffered(resp, success)
	}
}

// forwardBuffered forwards a response after its last byte has been read, so that a truncated response never reaches
// the caller.
func (c *call) forwardBuffered(resp *upstream.Response, success bool) error {
	memory := c.server.ResponseMemory.NewUsage(freeResponseBytes)
	defer memory.Release()
	body, err := resp.ReadAll(maxResponseBytes, memory)
	if errors.Is(err, bytebudget.ErrExhausted) {
		c.outcome = Broken
		return errResponseMemory
	}
	if err != nil {
		c.outcome = Broken
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "cut_answer", "the backend server's answer was cut")
	}
	c.outcome = Succeeded
	if !success {
		c.outcome = Failed
		if resp.StatusCode >= http.StatusInternalServerError && c.canRetryNow() {
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "worker_failed", "the backend server failed")
		}
	}
	if c.headerSent {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "not_resumed", "the stream could not be resumed")
	}
	if c.job.Route.Kind == routing.Stream {
		c.reservation.Answering()
	}
	// The whole answer is there, so that it is sent even if the server has canceled the call.
	c.beginAnswer()
	c.sendHeader(resp, len(body))
	if _, err := c.w.Write(body); err != nil {
		c.verdict = verdict.Ran
		return nil
	}
	return nil
}

// canRetryNow reports whether the request may be sent again instead of forwarding the worker's error.
func (c *call) canRetryNow() bool {
	return c.retryable() && len(c.job.Tried)+1 < c.job.Route.MaxAttempts && time.Until(c.job.Deadline) > 0
}

// sendHeader sends the status and headers to the caller, after beginAnswer. A negative length stands for a stream.
func (c *call) sendHeader(resp *upstream.Response, length int) {
	h := c.w.Header()
	for k, v := range c.server.Headers.CallerHeaders(resp.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		// net/http must not guess a content type that the worker did not send.
		h["Content-Type"] = nil
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	c.announceClose()
	c.status, c.headerSent, c.verdict = resp.StatusCode, true, verdict.Ran
	c.firstByteAfter = time.Since(c.job.Arrived)
	c.w.WriteHeader(resp.StatusCode)
}

// announceClose asks the caller to close its connection if the server is draining. It is called when the response begins:
// the request may have arrived before the server began to drain.
func (c *call) announceClose() {
	if c.server.stop.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}

// errorBody is the body of an error response that the gateway itself gives.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// finish sends an error response if the request failed, and logs the request. If a response has begun but is not
// complete, finish aborts the connection, so that the response cannot look complete.
func (c *call) finish(err error) {
	duration := time.Since(c.job.Arrived)
	if err != nil {
		v := verdict.FromError(err)
		c.verdict = v.Verdict
		if v.Verdict == verdict.NotRun && c.job.ChargedUnits > 0 {
			c.server.Admission.Refund(c.job)
		}
	}
	state := c.answerState(err)
	if err != nil && !c.headerSent {
		c.sendError(verdict.FromError(err))
	}
	c.log(err, state, duration)
	if c.behind > 0 {
		c.server.Metrics.Behind(c.stopped)
	}
	if state == brokenOff || state == noAnswer {
		c.server.Metrics.Unfinished(c.headerSent, verdict.FromError(err).Code)
	}
	if c.job.Route != nil {
		c.server.Metrics.Request(c.job.Route, c.status, c.verdict, duration)
	}
	if success := err == nil && c.status/100 == 2; success || c.outcome == Abandoned && !time.Now().Before(c.job.Deadline) {
		c.server.recordDuration(c.job.Route.Name, duration)
	}
	if err != nil && c.headerSent {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) sendError(v *verdict.Error) {
	c.status = v.Status
	h := c.w.Header()
	h.Set(verdict.Header, v.Verdict.String())
	h.Set("Content-Type", "application/json")
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', 3, 64))
	}
	var body errorBody
	body.Error.Code, body.Error.Message, body.Error.Verdict = v.Code, v.Message, v.Verdict.String()
	// Marshalling a struct of strings cannot fail.
	data, _ := json.Marshal(body)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	c.announceClose()
	c.w.WriteHeader(v.Status)
	if _, err := c.w.Write(data); err != nil {
		c.server.Log.Debug().Err(err).Str("request", c.job.ID).Msg("caller disconnected before it received the error response")
	}
}
