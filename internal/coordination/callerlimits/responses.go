package callerlimits

import "slices"

// freeResponseBytes is the part of a response that is not counted, so that short responses do not wait for long ones.
const freeResponseBytes = 64 << 10

// Response is what one response holds that is read whole before it is passed on. It belongs to one Responses.
type Response struct{ held, counted int64 }

// missing returns the bytes that are held and have to be counted.
func (r *Response) missing() int64 { return max(0, r.held-freeResponseBytes) - r.counted }

// Responses counts the bytes of responses until their callers have read them. The load pattern that it handles is many long responses
// at once. Their requests have run, so that none can be refused: a response for which there is no room is not read on. One response at
// a time may exceed the limit, so that it always ends: otherwise, several that are read in part would wait for each other, and one that
// is longer than the limit would wait forever. Its caller locks it.
type Responses struct {
	limit, used int64
	// waiting are the responses that wait for room, the one that has waited for the longest first.
	waiting []*Response
	// beyond is the response that may exceed the limit, nil if there is none.
	beyond *Response
}

// NewResponses returns an account of responses, which hold limit bytes together and those of one more response.
func NewResponses(limit int64) *Responses { return &Responses{limit: limit} }

// Add counts n more bytes that were read of a response, and reports whether it may be read on. If not, it waits until a later call of
// Release returns it.
func (a *Responses) Add(r *Response, n int64) bool {
	r.held += n
	if r.missing() <= 0 {
		return true
	}
	if r == a.beyond {
		a.count(r)
		return true
	}
	a.waiting = append(a.waiting, r)
	return slices.Contains(a.grant(), r)
}

func (a *Responses) count(r *Response) {
	more := r.missing()
	a.used, r.counted = a.used+more, r.counted+more
}

// grant returns those that need not wait any longer, in the order of their waits: responses that need little room do not overtake one
// that needs more.
func (a *Responses) grant() (granted []*Response) {
	for len(a.waiting) > 0 {
		r := a.waiting[0]
		if a.used+r.missing() > a.limit {
			if a.beyond != nil {
				break
			}
			a.beyond = r
		}
		a.count(r)
		granted, a.waiting = append(granted, r), a.waiting[1:]
	}
	return granted
}

// Release removes a response, also one that waits, and returns those that need not wait any longer.
func (a *Responses) Release(r *Response) []*Response {
	if i := slices.Index(a.waiting, r); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
	if a.beyond == r {
		a.beyond = nil
	}
	a.used -= r.counted
	*r = Response{}
	return a.grant()
}

// Used returns the bytes that are counted.
func (a *Responses) Used() int64 { return a.used }

// Waiting returns the number of responses that wait for room.
func (a *Responses) Waiting() int { return len(a.waiting) }
