// Package freshness decides as of when an instance knows all of a topic. It answers a backlog that takes several reads, while
// others go on appending: a read that ends before the end of the topic brings newer records, but does not show that those after
// them do not change what they say. And it answers a newest record that the instance has read and cannot decode.
//
// Guarantee: a topic is never confirmed as of a time before which a record was appended that the instance has not read, or that it
// could not decode and that no later one replaces.
package freshness

import "time"

// Content says whether a read brought a record that replaces all earlier ones, such as the operators' configuration, and whether it
// could be decoded.
type Content int

// The kinds of content.
const (
	// Unchanged means that the read brought no such record.
	Unchanged Content = iota
	// Decoded means that the newest such record of the read could be decoded. A snapshot that has none counts as this.
	Decoded
	// Undecodable means that the newest such record of the read could not be decoded.
	Undecodable
)

// Read is a successful read of a topic. A snapshot is a read whose Next is its End.
type Read struct {
	// Era is the era of the log service in which the read was answered. Offsets of different eras cannot be compared.
	Era int64
	// Next is the offset after the records that were read, and End the offset after the last record that the topic had then.
	Next, End int64
	// Sent is when the read was sent to the log service. All records that were appended before lie before End.
	Sent    time.Duration
	Content Content
}

// mark is a position of a topic: all records that were appended before the time at lie before the offset.
type mark struct {
	offset int64
	at     time.Duration
}

// Tracker tracks as of when a topic is known. It is not safe for concurrent use. The zero value has seen no read.
type Tracker struct {
	era int64
	// goal is the mark that confirms the topic next, if behind is true.
	goal   mark
	behind bool
	// lag is the number of records between the position and the end of the topic in the last read, and since is when the first read
	// that did not reach the end was sent.
	lag   int64
	since time.Duration
	// undecodable is true while the newest record that replaces all earlier ones could not be decoded.
	undecodable bool
	// confirmed is the time as of which all records are known, 0 if there is none.
	confirmed time.Duration
}

// Observe records a read whose records were applied. Reads are observed in the order of their positions.
func (t *Tracker) Observe(r Read) {
	if r.Era != t.era {
		t.era, t.behind = r.Era, false
	}
	if r.Content != Unchanged {
		t.undecodable = r.Content == Undecodable
	}
	if t.lag = r.End - r.Next; t.lag < 0 {
		// The topic cannot be shorter than what was read of it: the answer confirms nothing.
		t.lag = 0
		return
	}
	if t.lag == 0 {
		t.behind = false
		t.confirm(r.Sent)
		return
	}
	if !t.behind {
		t.behind, t.since = true, r.Sent
		t.goal = mark{r.End, r.Sent}
		return
	}
	// The end may move away as fast as it is approached. What has been read up to an earlier end is known as of then.
	if r.Next >= t.goal.offset {
		t.confirm(t.goal.at)
		t.goal = mark{r.End, r.Sent}
	}
}

// confirm sets the time as of which the topic is known. A relay may have sent its read before the last one of this instance.
func (t *Tracker) confirm(at time.Duration) {
	if !t.undecodable {
		t.confirmed = max(t.confirmed, at)
	}
}

// Confirmed returns the time as of which all records of the topic are known, 0 if there is none.
func (t *Tracker) Confirmed() time.Duration { return t.confirmed }

// Undecodable reports whether the newest record that replaces all earlier ones could not be decoded.
func (t *Tracker) Undecodable() bool { return t.undecodable }

// Behind returns how many records the topic had after those that were read last, and when the first read that did not reach its
// end was sent. The number is 0 if the last read reached the end.
func (t *Tracker) Behind() (records int64, since time.Duration) { return t.lag, t.since }
