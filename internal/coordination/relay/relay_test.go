package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/rendezvous"
	"pgregory.net/rapid"
)

// TestRecordsReadExactlyOnce guards readers against records that are skipped or returned twice, whatever the relay has
// read, dropped or missed.
func TestRecordsReadExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log [][]byte
		var b Buffer
		relayOffset, readerOffset, seen := int64(0), int64(0), uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "written") {
				log = append(log, make([]byte, rapid.SampledFrom([]int{10, maxBufferBytes / 3}).Draw(t, "size")))
				log[len(log)-1][0] = byte(len(log))
			}
			if rapid.IntRange(0, 9).Draw(t, "relay offset changes") == 0 {
				relayOffset = int64(rapid.IntRange(0, len(log)).Draw(t, "relay offset"))
			}
			end := int64(rapid.IntRange(int(relayOffset), len(log)).Draw(t, "read to"))
			b.Add(relayOffset, log[relayOffset:end], time.Second)
			relayOffset = end
			if rapid.Bool().Draw(t, "reader reads") {
				a, ok, behind := b.Read(readerOffset, seen)
				if behind {
					readerOffset = int64(len(log))
				}
				if !ok {
					continue
				}
				for i, r := range a.Records {
					if r[0] != byte(readerOffset+int64(i)+1) {
						t.Fatalf("offset %d has record %d", readerOffset+int64(i), r[0])
					}
				}
				if a.Next != readerOffset+int64(len(a.Records)) {
					t.Fatalf("the offset after %d records from %d on is given as %d", len(a.Records), readerOffset, a.Next)
				}
				readerOffset, seen = a.Next, a.Reads
			}
		}
	})
}

// TestOnlyNewReadsConfirm guards readers against taking an old read for a new confirmation: the age of a configuration
// decides whether keys may be accepted.
func TestOnlyNewReadsConfirm(t *testing.T) {
	Convey("a reader waits for a read newer than the last one it has seen", t, func() {
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
	Convey("a reader before the oldest record must read for itself, and one after the newest waits", t, func() {
		var b Buffer
		b.Add(5, [][]byte{{1}}, time.Second)
		_, _, behind := b.Read(4, 0)
		So(behind, ShouldBeTrue)
		_, ok, behind := b.Read(7, 0)
		So(ok || behind, ShouldBeFalse)
	})
}

// TestRelaysSpread guards the number of calls to the log service against the size of the fleet, and each relay against
// being the first choice of all instances.
func TestRelaysSpread(t *testing.T) {
	Convey("a hundred instances spread over eight relays", t, func() {
		var names []string
		var members []rendezvous.Member
		for i := range 100 {
			names = append(names, fmt.Sprint("instance-", i))
			members = append(members, rendezvous.Member{Name: names[i]})
		}
		relays := Relays(members)
		So(relays, ShouldHaveLength, maxRelays)
		firstChoices := map[string]int{}
		for _, n := range names {
			firstChoices[Preference(n, relays)[0]]++
		}
		So(firstChoices, ShouldHaveLength, maxRelays)
		for _, n := range firstChoices {
			So(n, ShouldBeLessThan, 30)
		}
	})
}
