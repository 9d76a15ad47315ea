package streams

import "time"

// Position is a position in the records. An offset names a record only within an era of the log.
type Position struct{ Era, Offset int64 }

// Follower reads the records in their order into a history. It answers logs that drop their oldest records, whether their time has come
// or not, and ones that are restored from a copy: what was appended before and is not seen any more counts as missing, unless a later
// record shows that it was older. It is not safe for concurrent use.
type Follower struct {
	History *History
	next    Position
	// started is true once a read was answered.
	started bool
	// gap is true if records before the position were dropped, and the first one after it is still to be read.
	gap bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower() *Follower { return &Follower{History: NewHistory()} }

// Next returns the position from which to read.
func (f *Follower) Next() Position { return f.next }

// Expired records that the records from the position on were dropped up to an offset.
func (f *Follower) Expired(first Position, now time.Duration) {
	if f.enter(first.Era, now) {
		f.gap, f.next = true, first
	}
}

// Read is an answer of the log.
type Read struct {
	// Next is the position after the records.
	Next Position
	// More is true if the log has further ones.
	More    bool
	Records [][]byte
	// WallMilli is the wall clock of the reader in Unix milliseconds.
	WallMilli int64
}

// Add adds the records of an answer. It returns the errors of those that cannot be decoded, and whether the history now has all that were
// appended before the read was sent.
func (f *Follower) Add(r Read, now time.Duration) (invalid []error, all bool) {
	if !f.enter(r.Next.Era, now) {
		return nil, false
	}
	for _, data := range r.Records {
		b, err := DecodeBatch(data)
		if err != nil {
			invalid = append(invalid, err)
			f.History.Missing(now)
			continue
		}
		at := now - time.Duration(max(0, r.WallMilli-b.AtMilli))*time.Millisecond
		f.endGap(at)
		f.History.Add(b.Starts, at)
	}
	f.next = r.Next
	if !r.More {
		f.endGap(now)
	}
	return invalid, !r.More
}

// endGap ends a gap of which the records were appended before a time.
func (f *Follower) endGap(before time.Duration) {
	if f.gap {
		f.History.Missing(before)
		f.gap = false
	}
}

// enter reports whether an answer is of the era of the position. If it is not, the records are read from the first one on, and those
// of the earlier era that have not been read may be missing.
func (f *Follower) enter(era int64, now time.Duration) bool {
	if !f.started || era == f.next.Era {
		f.started, f.next.Era = true, era
		return true
	}
	f.History.Missing(now)
	f.next, f.gap = Position{Era: era}, false
	return false
}
