package streamversion

import "time"

// MustRecord reports whether a stream that begins on a version needs a record. Base is the base version of its service if known is
// true, and earlier is the version of an earlier record of the same attempt, nil if there is none.
func MustRecord(version, base string, known bool, earlier *string) bool {
	if earlier != nil {
		return *earlier != version
	}
	return !known || version != base
}

// Origin is what is known of the start of a stream that a caller wants to go on.
type Origin struct {
	// Recorded is the version that its record has, nil if no record was found in a read of the log that was sent after the request
	// had arrived.
	Recorded *string
	// Complete says that no record of the life of a stream is missing there.
	Complete bool
	// Named says that the request names the attempt that began the stream.
	Named bool
	// Base is the base version of the service if BaseKnown is true.
	Base      string
	BaseKnown bool
	// Mixed says that several versions were in service within the life of a stream.
	Mixed bool
}

// Resume returns the version on which a stream goes on. ok is false if that cannot be known; the stream must then begin anew.
func Resume(o Origin) (version string, ok bool) {
	switch {
	case o.Recorded != nil:
		return *o.Recorded, true
	case !o.BaseKnown || !o.Complete || !o.Named && o.Mixed:
		return "", false
	default:
		return o.Base, true
	}
}

const (
	// writers is how many instances append records at the most: a larger fleet sends them through relays.
	writers = 8
	// appendTime is how much time of the log's partition one append takes, with what others append beside it.
	appendTime = 15 * time.Millisecond
	// maxBatch is the largest number of records that one append has.
	maxBatch = 1000
)

// BatchDelay returns how long an instance collects records before it appends them, in a fleet of a size. The appends of all instances
// then use no more than the log's partition can take.
func BatchDelay(fleet int) time.Duration {
	return time.Duration(min(max(fleet, 1), writers)) * appendTime
}

// BatchSize returns how many of a number of records that wait go into the next append.
func BatchSize(waiting int) int { return min(waiting, maxBatch) }
