package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/keepalive"
)

// endCause is what ended a request before its answer was complete.
type endCause string

// The causes, besides keepalive.CallerLost.
const (
	// notEnded: the answer is complete, or an error that the request itself met.
	notEnded endCause = ""
	// byCaller: the caller closed its connection.
	byCaller = endCause(keepalive.CallerClosed)
	// byInstance: this process closed the caller's connection.
	byInstance = endCause(keepalive.ClosedHere)
	// byDeadline: the deadline of the caller or of the route passed.
	byDeadline endCause = "deadline"
	// byStop: the server drains, and ended the request.
	byStop endCause = "stop"
)

// cause returns what has ended the request with the context of its attempts: the first that happened.
func (c *call) cause(ctx context.Context) endCause {
	switch {
	case context.Cause(ctx) == errStopping:
		return byStop
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return byDeadline
	case c.r.Context().Err() != nil:
		return c.connectionEnd()
	case !time.Now().Before(c.job.Deadline):
		return byDeadline
	}
	return notEnded
}

// connectionEnd returns who ended the caller's connection. It is the caller if the connection is not tracked.
func (c *call) connectionEnd() endCause {
	if end := keepalive.EndOf(c.r.Context()); end != keepalive.Open {
		return endCause(end)
	}
	return byCaller
}

// endedEarly returns the error of a request whose caller disconnected, whose deadline passed, or that the server ended.
func (c *call) endedEarly(ctx context.Context, v *verdict.Error, ran bool) error {
	c.endCause = c.cause(ctx)
	switch c.endCause {
	case byInstance:
		return verdict.Wrap(v, c.combineVerdicts(v, ran).Verdict, http.StatusGatewayTimeout, "connection_closed", "the instance closed the caller's connection before its answer")
	case byStop:
		if v.Verdict == verdict.NotRun && !ran {
			return stoppingError()
		}
		return verdict.Wrap(v, verdict.MayHaveRun, http.StatusBadGateway, codeStopping, "the instance stopped before an answer came")
	case byDeadline:
		if v.Verdict == verdict.NotRun && !ran {
			return verdict.Wrap(v, verdict.NotRun, http.StatusServiceUnavailable, "timed_out_unsent", "no backend server took the request in time").WithRetryAfter(retryAfter)
		}
		return verdict.Wrap(v, verdict.MayHaveRun, http.StatusGatewayTimeout, "timed_out", "no complete answer came in time")
	default:
		// No caller receives this response; the log must not report it as a timeout.
		return verdict.Wrap(v, c.combineVerdicts(v, ran).Verdict, http.StatusGatewayTimeout, codeCallerLeft, "the caller left before its answer")
	}
}

// answerState is what the caller got.
type answerState string

const (
	// complete is the whole answer of a worker.
	complete answerState = "complete"
	// errorAnswer is an answer of the instance itself, also a refusal.
	errorAnswer answerState = "error"
	// brokenOff is a part of a worker's answer: the instance closes the connection.
	brokenOff answerState = "broken_off"
	// noAnswer is nothing, since the caller has left.
	noAnswer answerState = "none"
)

// answerState returns what the caller gets if the request ends with an error, or nil.
func (c *call) answerState(err error) answerState {
	switch {
	case err == nil:
		return complete
	case c.headerSent:
		return brokenOff
	case c.r.Context().Err() != nil:
		return noAnswer
	default:
		return errorAnswer
	}
}

// log writes the line of the request.
func (c *call) log(err error, state answerState, duration time.Duration) {
	e := c.server.Log.Info()
	if err != nil {
		e = c.server.Log.Warn().Str("error", err.Error()).Str("code", verdict.FromError(err).Code)
	}
	configVersion := int64(0)
	if c.job.Config != nil {
		configVersion = c.job.Config.Version
	}
	e = e.Str("request", c.job.ID).Str("answer", string(state)).Int64("config", configVersion).Int64("config_age_ms", c.job.ConfigAge.Milliseconds()).Int("status", c.status).
		Stringer("verdict", c.verdict).Int("attempts", c.attempts).Str("worker", c.lastWorker).
		Int64("placed_ms", c.placedAfter.Milliseconds()).Int64("held_ms", c.job.Held.Milliseconds()).Int64("first_ms", c.firstByteAfter.Milliseconds()).Int64("pause_ms", c.maxPause.Milliseconds()).Int64("behind_ms", c.behind.Milliseconds()).
		Int64("ms", duration.Milliseconds()).Int64("deadline_ms", c.job.Request.Deadline.Milliseconds()).
		Str("ended_by", string(c.endCause)).Bool("caller_left", c.r.Context().Err() != nil)
	if c.job.Route != nil {
		e = e.Str("route", c.job.Route.Name)
	}
	if c.job.Workspace != nil {
		e = e.Str("workspace", c.job.Workspace.Name).Float64("units", c.job.Cost).Float64("part_rate", c.job.ShareRate).Float64("part_tokens", c.job.ShareTokens).Str("units_from", c.job.ChargedTo)
	}
	if c.job.Adapter != "" {
		e = e.Str("adapter", c.job.Adapter)
	}
	if p := c.job.Placed; p.How != "" {
		e = e.Str("placed_how", p.How).Int("questions", p.Questions).Int64("expected_wait_ms", p.Wait.Milliseconds())
	}
	if c.job.Route != nil && c.job.Route.Kind == routing.Stream {
		e = e.Str("software", c.lastSoftware).Str("resumes", c.job.Resumes).Str("last_event", c.job.LastEventID)
	}
	if c.behind > 0 {
		e = e.Int64("unread_bytes", c.unread).Bool("reading_stopped", c.stopped)
	}
	if c.job.OverShare > 0 {
		e = e.Int("over_share", c.job.OverShare)
	}
	if c.outcome != 0 {
		e = e.Stringer("outcome", c.outcome)
	}
	e.Int("resumed", c.resumed).Msg("request")
}
