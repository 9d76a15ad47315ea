package relay

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/freshness"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"pgregory.net/rapid"
)

// loggedRecord is a record of the modelled log: the era in which it was written and its number.
type loggedRecord struct{ era, number int64 }

// modelLog is a log that may be restored from an older copy, and the calls of its readers.
type modelLog struct {
	era     int64
	records []loggedRecord
	written int64
}

func (l *modelLog) append(n int) {
	for range n {
		l.written++
		l.records = append(l.records, loggedRecord{l.era, l.written})
	}
}

// restore drops the newest records and starts an era.
func (l *modelLog) restore(keep int) {
	l.era++
	l.records = slices.Clone(l.records[:keep])
}

// encode returns the records of a range as the log service would.
func (l *modelLog) encode(from, to int64, size int) [][]byte {
	var out [][]byte
	for _, r := range l.records[from:to] {
		b := make([]byte, size)
		binary.BigEndian.PutUint64(b, uint64(r.number))
		out = append(out, b)
	}
	return out
}

// TestRecordsReadExactlyOnce guards readers against records that are skipped or returned twice, whatever the relay has
// read, dropped or missed, and against records of an era that is not the reader's: the log service may have been restored
// since the relay or the reader last read it.
func TestRecordsReadExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log modelLog
		var b Buffer
		relayEra, relayOffset := int64(0), int64(0)
		readerEra, readerOffset, seen := int64(0), int64(0), uint64(0)
		// read holds the numbers of the records that the reader knows in its era.
		var read []int64
		loadSnapshot := func() {
			readerEra, readerOffset, read = log.era, int64(len(log.records)), nil
			for _, r := range log.records {
				read = append(read, r.number)
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				log.restore(rapid.IntRange(0, len(log.records)).Draw(t, "kept"))
			}
			log.append(rapid.IntRange(0, 3).Draw(t, "written"))
			if rapid.Bool().Draw(t, "relay reads") {
				end := int64(len(log.records))
				switch {
				case relayEra != log.era:
					// The relay sees the era, and then loads a snapshot.
					b.StartEra(log.era)
					relayEra, relayOffset = log.era, int64(rapid.IntRange(0, int(end)).Draw(t, "end of the snapshot"))
				case rapid.IntRange(0, 9).Draw(t, "relay offset changes") == 0:
					relayOffset = int64(rapid.IntRange(0, int(end)).Draw(t, "relay offset"))
				}
				if rapid.Bool().Draw(t, "added") {
					to := int64(rapid.IntRange(int(relayOffset), int(end)).Draw(t, "read to"))
					size := rapid.SampledFrom([]int{10, maxBufferBytes / 3}).Draw(t, "size")
					b.Add(relayOffset, log.encode(relayOffset, to, size), freshness.Read{Era: relayEra, Next: to, End: end, Sent: time.Second})
					relayOffset = to
				}
			}
			if !rapid.Bool().Draw(t, "reader reads") {
				continue
			}
			a, ok, behind := b.Read(readerEra, readerOffset, seen)
			if behind {
				loadSnapshot()
			}
			if !ok {
				continue
			}
			if readerEra != relayEra {
				t.Fatalf("the relay of era %d answered a reader of era %d", relayEra, readerEra)
			}
			for _, r := range a.Records {
				read = append(read, int64(binary.BigEndian.Uint64(r)))
			}
			if a.Next != readerOffset+int64(len(a.Records)) {
				t.Fatalf("the offset after %d records from %d on is given as %d", len(a.Records), readerOffset, a.Next)
			}
			if a.End < a.Next {
				t.Fatalf("the topic is said to end at %d, before the offset %d of the answer", a.End, a.Next)
			}
			readerOffset, seen = a.Next, a.Reads
			if readerEra != log.era {
				continue
			}
			for i, number := range read {
				if log.records[i].number != number {
					t.Fatalf("the reader has record %d at offset %d, the log has %d", number, i, log.records[i].number)
				}
			}
		}
	})
}

// TestEras guards readers against a relay in another era: an offset names another record there, and an older read
// confirms nothing.
func TestEras(t *testing.T) {
	Convey("a reader and a relay in different eras do not read from each other", t, func() {
		var b Buffer
		b.Add(5, [][]byte{{1}}, freshness.Read{Era: 1, Sent: time.Second})
		for _, era := range []int64{0, 2} {
			_, ok, behind := b.Read(era, 5, 0)
			So(ok, ShouldBeFalse)
			So(behind, ShouldBeTrue)
		}
		Convey("nor does a read of an earlier era count", func() {
			b.Add(5, [][]byte{{9}, {9}}, freshness.Read{Era: 0, Sent: 2 * time.Second})
			a, ok, _ := b.Read(1, 5, 0)
			So(ok, ShouldBeTrue)
			So(a.Records, ShouldResemble, [][]byte{{1}})
			So(a.Sent, ShouldEqual, time.Second)
		})
		Convey("a relay that has seen a new era sends waiting readers away and answers once it has read in that era", func() {
			b.StartEra(2)
			_, ok, behind := b.Read(1, 6, 1)
			So(ok || !behind, ShouldBeFalse)
			_, ok, behind = b.Read(2, 0, 0)
			So(ok || behind, ShouldBeFalse)
			b.Add(6, nil, freshness.Read{Era: 2, Sent: 3 * time.Second})
			a, ok, _ := b.Read(2, 6, 1)
			So(ok, ShouldBeTrue)
			So(a.Sent, ShouldEqual, 3*time.Second)
		})
	})
	Convey("an answer is used in the era of the position only, and not after a later era was seen", t, func() {
		So(Judge(0, 0, 0), ShouldEqual, UseRecords)
		So(Judge(3, 3, 3), ShouldEqual, UseRecords)
		So(Judge(2, 3, 3), ShouldEqual, LoadAgain)
		So(Judge(2, 2, 3), ShouldEqual, LoadAgain)
		So(Judge(3, 2, 3), ShouldEqual, Ignore)
	})
}

// TestOnlyNewReadsConfirm guards readers against taking an old read for a new confirmation: the age of a configuration
// decides whether keys may be accepted.
func TestOnlyNewReadsConfirm(t *testing.T) {
	Convey("a reader waits for a read newer than the last one it has seen", t, func() {
		var b Buffer
		_, ok, behind := b.Read(0, 0, 0)
		So(ok || behind, ShouldBeFalse)
		b.Add(5, [][]byte{{1}}, freshness.Read{Era: 0, Sent: time.Second})
		a, ok, _ := b.Read(0, 5, 0)
		So(ok, ShouldBeTrue)
		So(a.Sent, ShouldEqual, time.Second)
		_, ok, _ = b.Read(0, a.Next, a.Reads)
		So(ok, ShouldBeFalse)
		b.Add(6, nil, freshness.Read{Era: 0, Sent: 2 * time.Second})
		a, ok, _ = b.Read(0, a.Next, a.Reads)
		So(ok, ShouldBeTrue)
		So(a.Records, ShouldBeEmpty)
		So(a.Sent, ShouldEqual, 2*time.Second)
	})
	Convey("a reader before the oldest record must read for itself, and one after the newest waits", t, func() {
		var b Buffer
		b.Add(5, [][]byte{{1}}, freshness.Read{Era: 0, Sent: time.Second})
		_, _, behind := b.Read(0, 4, 0)
		So(behind, ShouldBeTrue)
		_, ok, behind := b.Read(0, 7, 0)
		So(ok || behind, ShouldBeFalse)
	})
}

// TestRelaysSpread guards the number of calls to the log service against the size of the fleet, and each relay against
// being the first choice of all instances.
func TestRelaysSpread(t *testing.T) {
	Convey("a hundred instances spread over eight relays", t, func() {
		var names []string
		var members []Candidate
		for i := range 100 {
			names = append(names, fmt.Sprint("instance-", i))
			members = append(members, Candidate{Member: rendezvous.Member{Name: names[i]}, DataCentre: "z"})
		}
		relays := Relays(members)
		So(relays, ShouldHaveLength, maxRelays)
		firstChoices := map[string]int{}
		for _, n := range names {
			firstChoices[Preference(n, "z", relays)[0]]++
		}
		So(firstChoices, ShouldHaveLength, maxRelays)
		for _, n := range firstChoices {
			So(n, ShouldBeLessThan, 30)
		}
	})
	Convey("in five data centres there are no more relays, and each instance prefers those of its own", t, func() {
		centre := map[string]string{}
		var members []Candidate
		for i := range 195 {
			name := fmt.Sprint("instance-", i)
			centre[name] = fmt.Sprint("z", i%5)
			members = append(members, Candidate{Member: rendezvous.Member{Name: name}, DataCentre: centre[name]})
		}
		relays := Relays(members)
		So(len(relays), ShouldBeBetweenOrEqual, 5, maxRelays)
		for name, z := range centre {
			preferred := Preference(name, z, relays)
			So(preferred, ShouldHaveLength, len(relays))
			So(centre[preferred[0]], ShouldEqual, z)
		}
	})
	Convey("large instances serve a data centre each, as long as they can", t, func() {
		for perCentre, relays := range map[int]int{25: 4, 40: 4, 41: 8, 75: 8} {
			var members []Candidate
			for i := range 4 * perCentre {
				size := 184
				if i < 8 {
					size = 536
				}
				members = append(members, Candidate{Member: rendezvous.Member{Name: fmt.Sprint("instance-", i), Size: size}, DataCentre: fmt.Sprint("z", i%4)})
			}
			chosen := Relays(members)
			So(chosen, ShouldHaveLength, relays)
			for _, c := range chosen {
				So(c.Size, ShouldEqual, 536)
			}
		}
	})
	Convey("in a small fleet all are relays", t, func() {
		So(Relays(make([]Candidate, maxRelays)), ShouldHaveLength, maxRelays)
	})
}

// TestBatch guards the delay of records that a relay appends for others: none waits longer than the window, and one that is
// urgent or completes a large batch does not wait for it.
func TestBatch(t *testing.T) {
	const start = time.Hour
	Convey("a batch is due a window after its first record", t, func() {
		var b Batch
		So(b.Take(start), ShouldBeFalse)
		So(b.Add(10, false, start), ShouldEqual, start+batchWindow)
		So(b.Add(10, false, start+batchWindow/2), ShouldEqual, start+batchWindow)
		So(b.Take(start+batchWindow-1), ShouldBeFalse)
		So(b.Take(start+batchWindow), ShouldBeTrue)
		So(b.Take(start+batchWindow), ShouldBeFalse)
	})
	Convey("an urgent record brings it forward, a later one does not delay it", t, func() {
		var b Batch
		b.Add(10, false, start)
		So(b.Add(10, true, start), ShouldEqual, start+urgentWindow)
		So(b.Add(10, false, start), ShouldEqual, start+urgentWindow)
	})
	Convey("a large batch is due at once", t, func() {
		var b Batch
		b.Add(10, false, start)
		So(b.Add(maxBatchBytes, false, start), ShouldEqual, start)
	})
}
