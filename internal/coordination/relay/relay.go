// Package relay buffers the records that a few instances read from the log service on behalf of the others, so that
// the calls to the log service do not grow with the fleet. No type here reads a clock, and none is safe for concurrent
// use.
package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/freshness"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
)

const (
	// maxRelays is how many instances call the log service for the others; in a smaller fleet each instance does it for
	// itself. With fewer relays, the loss of one makes more instances do it for themselves until they notice it.
	maxRelays = 8
	// largeReaders is how many instances a relay serves that is larger than most others, and largeRatio how many times as large as the
	// smallest one of its data centre it is then. Each relay costs about eight calls a second, and the records that it passes on
	// fill a small machine's link of 10 Mbit/s at about 20 readers.
	largeReaders, largeRatio = 40, 2
	// maxBufferBytes bounds the size of the records kept of a topic. It holds about ten seconds of the entries of a
	// hundred workers.
	maxBufferBytes = 1 << 20
)

// Candidate is an instance that may be a relay.
type Candidate struct {
	rendezvous.Member
	DataCentre string
}

// Relays returns the instances that call the log service for the others: all if there are few, else some of each data
// centre, since traffic between data centres is billed. Fewer are needed where they are large.
func Relays(instances []Candidate) []Candidate {
	if len(instances) <= maxRelays {
		return instances
	}
	byName := map[string]Candidate{}
	byCentre := map[string][]rendezvous.Member{}
	for _, c := range instances {
		byName[c.Name] = c
		byCentre[c.DataCentre] = append(byCentre[c.DataCentre], c.Member)
	}
	var relays []Candidate
	for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
		for _, name := range rendezvous.Pick("log", byCentre[centre], relaysOf(byCentre[centre], len(byCentre))) {
			relays = append(relays, byName[name])
		}
	}
	return relays
}

// relaysOf returns how many relays a data centre has, one of a number of data centres.
func relaysOf(members []rendezvous.Member, centres int) int {
	n := max(1, maxRelays/centres)
	needed := (len(members) + largeReaders - 1) / largeReaders
	smallest := slices.MinFunc(members, func(x, y rendezvous.Member) int { return cmp.Compare(x.Size, y.Size) }).Size
	large := 0
	for _, m := range members {
		if smallest > 0 && m.Size >= largeRatio*smallest {
			large++
		}
	}
	if large >= needed {
		n = min(n, needed)
	}
	return n
}

// Preference returns the names of the relays in the order in which the instance tries them: those of its data centre first.
// The order differs between instances, so that their load spreads over the relays.
func Preference(instance, dataCentre string, relays []Candidate) []string {
	remote := map[string]bool{}
	members := make([]rendezvous.Member, len(relays))
	for i, r := range relays {
		members[i].Name, remote[r.Name] = r.Name, r.DataCentre != dataCentre
	}
	names := rendezvous.Pick(instance, members, len(relays))
	slices.SortStableFunc(names, func(x, y string) int {
		switch {
		case remote[x] == remote[y]:
			return 0
		case remote[x]:
			return 1
		default:
			return -1
		}
	})
	return names
}

// Use says what a reader does with an answer.
type Use int

const (
	// UseRecords means that the records follow the reader's position.
	UseRecords Use = iota
	// LoadAgain means that the log service was restored since the reader's position was valid: an offset then names another
	// record, so that the reader needs a snapshot.
	LoadAgain
	// Ignore means that the answer was given before a restore that the reader knows of: it confirms nothing.
	Ignore
)

// Judge decides about an answer of one era to a reader whose position is of another, where known is the latest era that
// any answer to the reader's instance named.
func Judge(position, answer, known int64) Use {
	switch {
	case position < max(answer, known):
		return LoadAgain
	case answer < position:
		return Ignore
	default:
		return UseRecords
	}
}

// Buffer holds the newest records of a topic in one era of the log service.
type Buffer struct {
	era int64
	// filled is true once a read of the era was added.
	filled bool
	// first is the offset of the oldest record kept, and next the offset after the newest.
	first, next int64
	records     [][]byte
	size        int
	reads       uint64
	// sent is when the last read was sent, and end the offset after the last record that the topic had then.
	sent time.Duration
	end  int64
}

// StartEra drops the records of earlier eras: their offsets are assigned to other records.
func (b *Buffer) StartEra(era int64) {
	if era > b.era {
		b.era, b.filled = era, false
	}
}

// Add adds the records that a read from an offset on returned. Records that do not follow the buffered ones replace them, and
// those of an earlier era are dropped.
func (b *Buffer) Add(from int64, records [][]byte, r freshness.Read) {
	b.StartEra(r.Era)
	if r.Era < b.era {
		return
	}
	if !b.filled || from != b.next {
		b.filled, b.first, b.next, b.records, b.size = true, from, from, nil, 0
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
	b.sent, b.end = r.Sent, r.End
	b.reads++
}

// Next returns the offset after the newest record of an era, or the given one if there is none.
func (b *Buffer) Next(era, otherwise int64) int64 {
	if !b.filled || b.era != era {
		return otherwise
	}
	return b.next
}

// Answer is the answer of a relay to a reader.
type Answer struct {
	Records [][]byte
	// Next is the offset after the last record.
	Next int64
	// Reads is the number of the relay's last read, Sent is when that read was sent, and End the offset after the last record that
	// the topic had then. The answer does not confirm the topic as of Sent if Next is before End.
	Reads uint64
	Sent  time.Duration
	End   int64
}

// Read returns the records from an offset of an era on, if a read with a number above seen has confirmed them. Behind
// means that the offset is older than the buffer or of another era, so the reader must read from the log service itself.
// If neither ok nor behind is true, the reader should wait for the next read.
func (b *Buffer) Read(era, from int64, seen uint64) (a Answer, ok, behind bool) {
	switch {
	case era != b.era:
		return Answer{}, false, true
	case !b.filled || b.reads <= seen || b.next < from:
		return Answer{}, false, false
	case from < b.first:
		return Answer{}, false, true
	}
	return Answer{Records: b.records[from-b.first:], Next: b.next, Reads: b.reads, Sent: b.sent, End: b.end}, true, false
}
