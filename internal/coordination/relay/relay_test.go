package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"pgregory.net/rapid"
)

// TestBufferGivesEveryRecordOnce guards readers against records that are left out or given twice, whatever the relay
// has read, forgotten, or missed.
func TestBufferGivesEveryRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log [][]byte
		var b Buffer
		relayAt, readerAt, seen := int64(0), int64(0), uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "written") {
				log = append(log, make([]byte, rapid.SampledFrom([]int{10, maxBuffer / 3}).Draw(t, "size")))
				log[len(log)-1][0] = byte(len(log))
			}
			if rapid.IntRange(0, 9).Draw(t, "relay lost its place") == 0 {
				relayAt = int64(rapid.IntRange(0, len(log)).Draw(t, "place"))
			}
			end := int64(rapid.IntRange(int(relayAt), len(log)).Draw(t, "read to"))
			b.Add(relayAt, log[relayAt:end], time.Second)
			relayAt = end
			if rapid.Bool().Draw(t, "reader reads") {
				a, ok, behind := b.Read(readerAt, seen)
				if behind {
					readerAt = int64(len(log))
				}
				if !ok {
					continue
				}
				for i, r := range a.Records {
					if r[0] != byte(readerAt+int64(i)+1) {
						t.Fatalf("record %d is %d", readerAt+int64(i), r[0])
					}
				}
				if a.Next != readerAt+int64(len(a.Records)) {
					t.Fatalf("%d records from %d on end at %d", len(a.Records), readerAt, a.Next)
				}
				readerAt, seen = a.Next, a.Reads
			}
		}
	})
}

// TestOnlyNewReadsAnswer guards readers against taking an old read for a confirmation: the age of a configuration
// decides whether keys may be accepted.
func TestOnlyNewReadsAnswer(t *testing.T) {
	Convey("a reader waits for a read after the one that it knows", t, func() {
		var b Buffer
		_, ok, behind := b.Read(0, 0)
		So(ok || behind, ShouldBeFalse)
		b.Add(5, [][]byte{{1}}, time.Second)
		a, ok, _ := b.Read(5, 0)
		So(ok, ShouldBeTrue)
		So(a.Sent, ShouldEqual, time.Second)
		_, ok, _ = b.Read(a.Next, a.Reads)
		So(ok, ShouldBeFalse)
		b.Add(6, nil, 2*time.Second)
		a, ok, _ = b.Read(a.Next, a.Reads)
		So(ok, ShouldBeTrue)
		So(a.Records, ShouldBeEmpty)
		So(a.Sent, ShouldEqual, 2*time.Second)
	})
	Convey("a reader before the oldest record is told to ask for itself, one after the newest waits", t, func() {
		var b Buffer
		b.Add(5, [][]byte{{1}}, time.Second)
		_, _, behind := b.Read(4, 0)
		So(behind, ShouldBeTrue)
		_, ok, behind := b.Read(7, 0)
		So(ok || behind, ShouldBeFalse)
	})
}

// TestRelaysAreFew guards the calls to the log service against the size of the fleet, and the relays against all
// instances asking the same one.
func TestRelaysAreFew(t *testing.T) {
	Convey("a hundred instances share eight relays evenly", t, func() {
		var names []string
		var members []rendezvous.Member
		for i := range 100 {
			names = append(names, fmt.Sprint("instance-", i))
			members = append(members, rendezvous.Member{Name: names[i]})
		}
		relays := Relays(members)
		So(relays, ShouldHaveLength, maxRelays)
		asks := map[string]int{}
		for _, n := range names {
			asks[Preference(n, relays)[0]]++
		}
		So(asks, ShouldHaveLength, maxRelays)
		for _, n := range asks {
			So(n, ShouldBeLessThan, 30)
		}
	})
}
