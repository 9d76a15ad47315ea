// Package verdict defines the errors of failed requests, which say whether a request may have run on a
// backend server.
//
// Every error that reaches a caller or a retry decision carries a Verdict. A NotRun verdict is a
// guarantee: the request ran nowhere and will not run later.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Verdict says whether a request may have run.
type Verdict int

const (
	// NotRun means that the request ran nowhere and may be retried anywhere.
	NotRun Verdict = iota + 1
	// MayHaveRun means that a backend server may have run the request; only an idempotent
	// request may be retried.
	MayHaveRun
	// Ran means that a backend server ran the request to completion.
	Ran
)

// Header is the response header that carries the verdict to callers.
const Header = "Turmeric-Verdict"

// String returns the form used in headers and JSON.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return fmt.Sprintf("verdict(%d)", int(v))
	}
}

// Error describes a failed request by its verdict, HTTP status and machine-readable code.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status code of the response to the caller.
	Status int
	// Code is the stable, machine-readable reason, in snake_case.
	Code string
	// Message is human-readable. It never contains a key, a prompt or an address.
	Message string
	// RetryAfter is how long the caller should wait before a retry; zero means that waiting does not help.
	RetryAfter time.Duration
	cause      error
}

// New returns an error without a cause.
func New(v Verdict, status int, code, message string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Message: message}
}

// Wrap returns an error with a cause, and records the stack trace.
func Wrap(cause error, v Verdict, status int, code, message string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Message: message, cause: trace.Wrap(cause)}
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// FromError returns the Error in err's chain. If there is none, it wraps err with MayHaveRun, the
// verdict that permits the fewest retries.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, http.StatusBadGateway, "internal", "the request failed")
}

// IsPromise reports whether a response with a status guarantees that its request has not run and never will.
func IsPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
