// Package relay buffers the records that a few instances read from the log service on behalf of the others, so that
// the calls to the log service do not grow with the fleet. No type here reads a clock, and none is safe for concurrent
// use.
package relay

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
)

const (
	// maxRelays is how many instances read the log service for the others; in a smaller fleet each instance reads for
	// itself. With fewer relays, the loss of one makes more instances read for themselves until they notice it.
	maxRelays = 8
	// maxBufferBytes bounds the size of the records kept of a topic. It holds about ten seconds of the entries of a
	// hundred workers.
	maxBufferBytes = 1 << 20
)

// Relays returns the instances that read the log service for the others.
func Relays(instances []rendezvous.Member) []string {
	return rendezvous.Pick("log", instances, maxRelays)
}

// Preference returns the relays in the order in which the instance tries them. The order differs between instances, so
// that their load spreads over the relays.
func Preference(instance string, relays []string) []string {
	members := make([]rendezvous.Member, len(relays))
	for i, r := range relays {
		members[i].Name = r
	}
	return rendezvous.Pick(instance, members, len(relays))
}

// Buffer holds the newest records of a topic.
type Buffer struct {
	// first is the offset of the oldest record kept, and next the offset after the newest.
	first, next int64
	records     [][]byte
	size        int
	reads       uint64
	sent        time.Duration
}

// Add adds the records that start at an offset, as returned by a read that was sent at the given time. Records that do
// not follow the buffered ones replace them.
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
	for b.size > maxBufferBytes {
		b.size -= len(b.records[dropped])
		dropped++
	}
	b.records = b.records[dropped:]
	b.first += int64(dropped)
	b.sent = sent
	b.reads++
}

// Answer is the answer of a relay to a reader.
type Answer struct {
	Records [][]byte
	// Next is the offset after the last record.
	Next int64
	// Reads is the number of the read that confirmed the answer, and Sent is when that read was sent.
	Reads uint64
	Sent  time.Duration
}

// Read returns the records from an offset on, if a read with a number above seen has confirmed them. Behind means that
// the offset is older than the buffer, so the reader must read from the log service itself. If neither ok nor behind
// is true, the reader should wait for the next read.
func (b *Buffer) Read(from int64, seen uint64) (a Answer, ok, behind bool) {
	switch {
	case b.reads <= seen || b.next < from:
		return Answer{}, false, false
	case from < b.first:
		return Answer{}, false, true
	}
	return Answer{Records: b.records[from-b.first:], Next: b.next, Reads: b.reads, Sent: b.sent}, true, false
}
