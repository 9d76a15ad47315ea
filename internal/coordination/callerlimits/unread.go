package callerlimits

import "time"

const (
	// SlowWrite is how long a write to a caller takes before the caller counts as behind, and its worker's response is read
	// ahead. It is far below the seconds after which workers cut off an unread response, and longer than the writes to
	// callers on slow links that read in time.
	SlowWrite = 50 * time.Millisecond
	// DefaultUnreadBytes is more than a complete stream of 4,096 events of 250 bytes, so that only callers that read nothing
	// of a very long stream reach it.
	DefaultUnreadBytes = 1 << 20
	// MinUnreadBytes is the lowest limit that a deployment may set: less would be used up within a worker's usual second.
	MinUnreadBytes = 64 << 10
	// unreadDivisor is the part of the memory for responses that may be held for callers that are behind. The rest is left to
	// responses that are buffered until they are complete, which fail without memory.
	unreadDivisor = 2
	// freeDivisor is the part of the free shared memory that one response may hold: the more memory is taken, the less a
	// response may hold, so that many callers that never read leave some to those that fall behind later.
	freeDivisor = 4
)

// Unread bounds what is held of workers' responses for callers that are behind. The load pattern that it handles is a group
// of callers that read slowly, or not at all, while their workers respond.
type Unread struct {
	// Each is the limit in bytes for one response.
	Each int64
	// Shared is the level in bytes of the account for all responses from which nothing more is held for callers that are
	// behind.
	Shared int64
}

// MayHold reports whether n more bytes of a response may be held for its caller, in addition to those that are held already.
// Used is the level of the account for all responses. If it returns false, the response is not read until its caller has read
// some.
func (u Unread) MayHold(held, used, n int64) bool {
	free := u.Shared - used
	return held+n <= u.Each && n <= free && held+n <= max(MinUnreadBytes, free/freeDivisor)
}
