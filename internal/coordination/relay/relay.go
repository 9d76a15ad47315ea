// Package relay keeps what a few instances read of the log service for the others, so that the calls to it do not grow
// with the fleet. No type here reads a clock, and none is safe for concurrent use.
package relay

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
)

const (
	// maxRelays is how many instances read the log service for the others; in a smaller fleet each reads for itself.
	// With fewer, one that is lost leaves more instances to read for themselves until they know.
	maxRelays = 8
	// maxBuffer bounds the records that are kept of a topic in bytes: some ten seconds of the entries of a hundred
	// workers.
	maxBuffer = 1 << 20
)

// Relays returns the instances that read the log service for the others.
func Relays(instances []rendezvous.Member) []string {
	return rendezvous.Pick("log", instances, maxRelays)
}

// Preference returns the relays in the order in which the instance asks them, so that the instances spread over them.
func Preference(instance string, relays []string) []string {
	members := make([]rendezvous.Member, len(relays))
	for i, r := range relays {
		members[i].Name = r
	}
	return rendezvous.Pick(instance, members, len(relays))
}

// Buffer holds the newest records of a topic.
type Buffer struct {
	// first and next are the offsets of the oldest record kept and after the newest.
	first, next int64
	records     [][]byte
	size        int
	reads       uint64
	sent        time.Duration
}

// Add adds the records from an offset on, as answered to a read that was sent at the time. Records that do not follow
// those kept replace them.
func (b *Buffer) Add(from int64, records [][]byte, sent time.Duration) {
	if from != b.next {
		b.first, b.next, b.records, b.size = from, from, nil, 0
	}
	for _, r := range records {
		b.records = append(b.records, r)
		b.size += len(r)
	}
	b.next += int64(len(records))
	dropped := 0
	for b.size > maxBuffer {
		b.size -= len(b.records[dropped])
		dropped++
	}
	b.records = b.records[dropped:]
	b.first += int64(dropped)
	b.sent = sent
	b.reads++
}

// Answer is what a reader gets.
type Answer struct {
	Records [][]byte
	// Next is the offset after the last record.
	Next int64
	// Reads numbers the read that confirmed the answer, and Sent is when it was sent.
	Reads uint64
	Sent  time.Duration
}

// Read returns the records from an offset on, if a read after the one numbered seen has confirmed them. Behind says
// that the buffer does not reach back to the offset, so that the reader must ask the log service itself; without an
// answer the reader should wait for the next read.
func (b *Buffer) Read(from int64, seen uint64) (a Answer, ok, behind bool) {
	switch {
	case b.reads <= seen || b.next < from:
		return Answer{}, false, false
	case from < b.first:
		return Answer{}, false, true
	}
	return Answer{Records: b.records[from-b.first:], Next: b.next, Reads: b.reads, Sent: b.sent}, true, false
}
