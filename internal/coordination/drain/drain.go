// Package drain decides which requests an instance still takes, and sends, while it stops. A refused request has not run, and
// its caller can send it to another instance at once; one that the exit cuts off may have run, and may not be sent again if it
// may not be repeated.
package drain

import "time"

// acceptShare is the part of the time between the stop and the exit in which requests are taken that may last beyond the exit. It
// covers the time until the load balancer has removed the instance, and the headers of requests that have begun to arrive by
// then. For streams it is streamAcceptShare: they cannot end with an error once they have begun.
const (
	acceptShare       = 0.55
	streamAcceptShare = 0.4
)

// Request is what is known of a request on an instance that stops.
type Request struct {
	// Timeout is after what time the request ends in any case.
	Timeout time.Duration
	// Usual is after what time nearly all requests like it have ended, 0 if that is not known.
	Usual time.Duration
	// Stream is true if the answer may last until then although it began early.
	Stream bool
	// Repeatable is true if the caller may send it again even if it has run.
	Repeatable bool
}

// Accepts reports whether a request is taken that arrives some time after the stop, or sent to a backend server that it did not
// reach before, where left is the time until the instance exits and cuts off what it still serves.
func Accepts(r Request, sinceStop, left time.Duration) bool {
	share := acceptShare
	if r.Stream {
		share = streamAcceptShare
	}
	switch late := float64(sinceStop) > share*float64(sinceStop+left); {
	case !r.Stream && r.Timeout <= left:
		return true
	case late:
		return !r.Stream && r.Usual > 0 && r.Usual <= left
	default:
		// The caller of an idempotent request gets an error in time and loses nothing.
		return r.Usual <= left || r.Repeatable && !r.Stream
	}
}
