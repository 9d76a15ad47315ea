package intent

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"pgregory.net/rapid"
)

// TestMain sets the seed of the property tests to 1 unless -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// t0 is the log time at which the tests begin, in Unix milliseconds.
const t0 = 1_800_000_000_000

func newEntry(offset int, ms int64, kind record.Kind, id, author string, body any) record.Entry {
	e, _ := record.New(kind, id, author, body)
	return record.Entry{Offset: uint64(offset), UnixMilli: ms, Envelope: e}
}

// TestOwnershipOfKeys guards against a second owner of a key after a later intent, a repeated append, an outcome by
// another incarnation or expiry.
func TestOwnershipOfKeys(t *testing.T) {
	k := Key{Workspace: "w", Route: "r", Hash: "k"}
	in := Intent{Key: k, BodyHash: "b", CreatedMilli: t0}
	Convey("Given a pending intent and a later one", t, func() {
		f := NewFold(KeyRule{Retention: time.Hour, FutureSkew: time.Minute})
		f.Apply(newEntry(0, t0, KindIntent, "a", "A", in))
		f.Apply(newEntry(1, t0, KindIntent, "b", "B", in))
		So(f.Lookup(k).IntentID, ShouldEqual, "a")
		So(f.Ineligible(k, "b"), ShouldBeTrue)

		Convey("only an outcome of the dispatcher has an effect", func() {
			f.Apply(newEntry(2, t0, KindOutcome, "x", "B", Outcome{Key: k, IntentID: "a", Result: NotRun}))
			So(f.Lookup(k).Pending(), ShouldBeTrue)
		})
		Convey("after a not-run outcome, repeated copies of both intents have no effect and a new one owns the key", func() {
			f.Apply(newEntry(2, t0, KindOutcome, "x", "A", Outcome{Key: k, IntentID: "a", Result: NotRun}))
			f.Apply(newEntry(3, t0, KindIntent, "a", "A", in))
			f.Apply(newEntry(4, t0, KindIntent, "b", "B", in))
			So(f.Lookup(k).IntentID, ShouldBeEmpty)
			other := in
			other.BodyHash = "other"
			f.Apply(newEntry(5, t0, KindIntent, "c", "C", other))
			So(f.Ineligible(k, "c"), ShouldBeTrue)
			f.Apply(newEntry(6, t0, KindIntent, "d", "D", in))
			So(f.Lookup(k).Dispatcher, ShouldEqual, "D")
		})
		Convey("entries expire after the retention, and keys of that age are refused", func() {
			f.Apply(newEntry(2, t0+3600_001, KindIntent, "e", "E", in))
			So(f.Len(), ShouldEqual, 0)
			So(f.Expired(t0), ShouldBeTrue)
		})
	})
}

// TestKeyRule guards against accepted keys whose age is not bounded.
func TestKeyRule(t *testing.T) {
	rule := KeyRule{Retention: time.Hour, FutureSkew: time.Minute}
	v7 := "01890a5d-ac96-774b-bcce-b302099a8057"
	created := time.UnixMilli(0x01890a5dac96)
	Convey("The creation time is that of the header or of the UUIDv7", t, func() {
		So(rule.Valid(), ShouldBeTrue)
		So(KeyRule{Retention: time.Hour, FutureSkew: 6 * time.Minute}.Valid(), ShouldBeFalse)
		c, err := CreationTime(v7, "")
		So(err, ShouldBeNil)
		So(c.Equal(created), ShouldBeTrue)
		c, err = CreationTime(strings.Repeat("x", MaxKeyBytes), "2026-12-04T07:00:00Z")
		So(err, ShouldBeNil)
		So(c.Unix(), ShouldEqual, 1796367600)
		for _, bad := range [][2]string{{"", ""}, {"order-1", ""}, {"x y", "2026-12-04T07:00:00Z"},
			{strings.Repeat("x", MaxKeyBytes+1), "2026-12-04T07:00:00Z"}, {"x", "yesterday"},
			{"f47ac10b-58cc-4372-a567-0e02b2c3d479", ""}} {
			_, err := CreationTime(bad[0], bad[1])
			So(err, ShouldNotBeNil)
		}
	})
	Convey("Keys older than nine tenths of the retention or further ahead than the skew are refused", t, func() {
		So(rule.Check(created, created.Add(54*time.Minute)), ShouldBeNil)
		So(rule.Check(created, created.Add(54*time.Minute+1)), ShouldNotBeNil)
		So(rule.Check(created, created.Add(-time.Minute)), ShouldBeNil)
		So(rule.Check(created, created.Add(-time.Minute-1)), ShouldNotBeNil)
	})
}

// TestAtMostOneDispatch guards against a second dispatch of a key when its records expire, also by an instance that
// started after the log removed them.
func TestAtMostOneDispatch(t *testing.T) {
	rule := KeyRule{Retention: 100 * time.Second, FutureSkew: 9 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		old, young := NewFold(rule), NewFold(rule)
		var log []record.Entry
		now, started := int64(t0), -1
		ran := map[Key]string{}
		for i := range rapid.IntRange(5, 60).Draw(t, "records") {
			now += int64(rapid.IntRange(0, 20_000).Draw(t, "ms"))
			if started < 0 && i > 10 {
				started = i
				for _, e := range log { // entries that the log still keeps
					if e.UnixMilli >= now-rule.Retention.Milliseconds() {
						young.Apply(e)
					}
				}
			}
			k := Key{Hash: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key")}
			created := t0 + int64(k.Hash[0]-'1')*60_000
			id, author, f := fmt.Sprint("i", i), "old", old
			if started >= 0 && rapid.Bool().Draw(t, "young") {
				author, f = "young", young
			}
			e := newEntry(i, now, KindIntent, id, author, Intent{Key: k, BodyHash: "b", CreatedMilli: created})
			log = append(log, e)
			old.Apply(e)
			young.Apply(e)
			if f.Lookup(k).IntentID != id {
				continue
			}
			if ran[k] != "" {
				t.Fatalf("intents %s and %s both own key %s", ran[k], id, k.Hash)
			}
			if rapid.IntRange(0, 2).Draw(t, "not run") > 0 {
				ran[k] = id
				continue
			}
			e = newEntry(i, now, KindOutcome, id+"o", author, Outcome{Key: k, IntentID: id, Result: NotRun})
			log = append(log, e)
			old.Apply(e)
			young.Apply(e)
		}
	})
}

// BenchmarkOpenIntents measures the memory of one pending intent.
func BenchmarkOpenIntents(b *testing.B) {
	const n = 100_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := NewFold(KeyRule{Retention: time.Hour, FutureSkew: time.Minute})
		for i := range n {
			f.Apply(newEntry(i, t0, KindIntent, fmt.Sprintf("0123456789abcdef0123456789abcdef/%036d/1", i),
				"0123456789abcdef0123456789abcdef", Intent{Key: Key{Workspace: "glenbrae-counter",
					Route: "print-orders", Hash: Hash(fmt.Append(nil, i))}, BodyHash: Hash(fmt.Append(nil, "b", i)),
					CreatedMilli: t0, RequestID: "x"}))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-bytes/intent")
		runtime.KeepAlive(f)
	}
}
