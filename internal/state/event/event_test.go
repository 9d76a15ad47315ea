package event

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
	"unsafe"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestMain sets the seed of the property tests to 1. -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestTimelineProperties guards against events out of causal order when wall clocks differ or go back, and against a
// merge or ring buffer that loses, duplicates or reorders events. Results are compared with the list of all events in
// the order in which they were recorded.
func TestTimelineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 8
		recorders := []*Recorder{NewRecorder("a", "x", size), NewRecorder("b", "y", size), NewRecorder("c", "y", size)}
		walls := []time.Time{start, start.Add(-time.Second), start.Add(time.Second)}
		all := make([][]Event, len(recorders))
		latest := make([]HLC, len(recorders))
		pickInstance := func(t *rapid.T) int { return rapid.IntRange(0, len(recorders)-1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				i := pickInstance(t)
				for range rapid.IntRange(1, 6).Draw(t, "events") {
					e := Event{Kind: Dispatch, RequestID: fmt.Sprint(len(all[i])), Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace")}
					at := recorders[i].Append(e, walls[i])
					if at <= latest[i] {
						t.Fatalf("timestamp %s is not later than %s", at, latest[i])
					}
					latest[i] = at
					e.HLC, e.Instance, e.DataCentre = at, recorders[i].instance, recorders[i].dataCentre
					all[i] = append(all[i], e)
				}
			},
			"message": func(t *rapid.T) {
				from, to := pickInstance(t), pickInstance(t)
				sent := recorders[from].Now(walls[from])
				latest[from] = sent
				if recorders[to].Observe(sent, walls[to]) == nil {
					latest[to] = max(latest[to], sent)
				} else if !sent.Time().After(walls[to].Add(MaxDrift - time.Millisecond)) {
					t.Fatalf("timestamp %s was refused at wall time %s", sent, walls[to])
				}
			},
			"wall": func(t *rapid.T) {
				i := pickInstance(t)
				walls[i] = walls[i].Add(time.Duration(rapid.IntRange(-2000, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var kept [][]Event
				count := 0
				for i, r := range recorders {
					tail := all[i][max(0, len(all[i])-size):]
					if r.Total() != uint64(len(all[i])) {
						t.Fatalf("Total is %d, want %d", r.Total(), len(all[i]))
					}
					got := r.Events(Filter{})
					if fmt.Sprint(got) != fmt.Sprint(tail) {
						t.Fatalf("Events returned %v, want %v", got, tail)
					}
					for _, e := range r.Events(Filter{Workspace: "v"}) {
						if e.Workspace != "v" {
							t.Fatalf("the filter selected %v", e)
						}
					}
					count += len(tail)
					kept = append(kept, got, got)
				}
				merged := Merge(kept...)
				if len(merged) != count {
					t.Fatalf("Merge returned %d events, want %d", len(merged), count)
				}
				for i := 1; i < len(merged); i++ {
					if merged[i].HLC < merged[i-1].HLC {
						t.Fatalf("merged event %v follows %v", merged[i], merged[i-1])
					}
				}
			},
		})
	})
}

// TestEvents guards against secrets in events, fields lost in JSON, filters that ignore a field, and clocks that a
// peer or a counter overflow puts out of order.
func TestEvents(t *testing.T) {
	Convey("No identifier contains a key or a long text, whether recorded or decoded", t, func() {
		key, err := keys.Generate()
		So(err, ShouldBeNil)
		r := NewRecorder("a", "x", 4)
		r.Append(Event{Code: key.Secret, RequestID: "Bearer " + key.Secret, Engine: strings.Repeat("é", 100)}, start)
		list, err := json.Marshal(r.Events(Filter{}))
		So(err, ShouldBeNil)
		So(string(list), ShouldNotContainSubstring, key.Secret[:20])
		So(len(r.Events(Filter{})[0].Engine), ShouldBeLessThanOrEqualTo, MaxIdentifierBytes)
		read, err := Decode(strings.NewReader(`[{"hlc":"1.2","code":"` + key.Secret + `"}]`))
		So(err, ShouldBeNil)
		So(read[0].Code, ShouldEqual, redacted)
	})
	Convey("JSON preserves every field of an event, and filters select by each field", t, func() {
		r := NewRecorder("a", "x", 4)
		r.Append(Event{Kind: Settled, RequestID: "r", Workspace: "w", Adapter: "n", Version: "1", Engine: "e", Peer: "p",
			Code: "c", Verdict: Verdict(verdict.MayHaveRun), Attempt: 1, Tokens: 2, Parts: 3, Fence: 1 << 63, Sequence: 5, Duration: 6}, start)
		events := r.Events(Filter{RequestID: "r", Workspace: "w", Adapter: "n@1", Engine: "e"})
		var b bytes.Buffer
		So(json.NewEncoder(&b).Encode(events), ShouldBeNil)
		read, err := Decode(&b)
		So(err, ShouldBeNil)
		So(read, ShouldResemble, events)
		for _, f := range []Filter{{RequestID: "x"}, {Workspace: "x"}, {Adapter: "x"}, {Adapter: "n@2"}, {Engine: "x"}, {After: events[0].HLC}} {
			So(Select(events, f), ShouldBeEmpty)
		}
	})
	Convey("A peer's timestamp beyond MaxDrift is refused and does not advance the clock", t, func() {
		var c Clock
		So(c.Observe(wallHLC(start.Add(MaxDrift+time.Millisecond)), start), ShouldNotBeNil)
		So(c.Now(start), ShouldEqual, wallHLC(start))
		So(c.Observe(wallHLC(start.Add(MaxDrift)), start), ShouldBeNil)
		So(c.Now(start), ShouldEqual, wallHLC(start.Add(MaxDrift))+1)
	})
	Convey("A counter that overflows carries into the milliseconds", t, func() {
		var c Clock
		last := c.Now(start)
		for range 1 << logicalBits {
			next := c.Now(start)
			if next <= last {
				t.Fatal("the clock did not advance")
			}
			last = next
		}
		So(last.Time(), ShouldEqual, start.Add(time.Millisecond))
	})
}

// FuzzTraceParent guards against a header that is accepted in a form that the standard forbids, or that changes when
// it is parsed and formatted.
func FuzzTraceParent(f *testing.F) {
	const valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	for _, s := range []string{valid, valid + "-x", "cc" + valid[2:] + "-x", "ff" + valid[2:], strings.ToUpper(valid),
		"00-00000000000000000000000000000000-b7ad6b7169203331-01", "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := ParseTraceParent(s)
		if err != nil {
			if s == valid {
				t.Fatal(err)
			}
			return
		}
		if s[:2] == "ff" || s[:2] == "00" && len(s) != traceParentLength {
			t.Fatalf("%q was accepted", s)
		}
		if got := p.String(); got[3:52] != s[3:52] || strings.ToLower(s[:55]) != s[:55] {
			t.Fatalf("%q became %q", s, got)
		}
		if again, err := ParseTraceParent(p.String()); err != nil || again != p {
			t.Fatalf("%q was parsed as %v, %v", p, again, err)
		}
	})
}

// BenchmarkAppend measures the time and allocations of recording one event, and its size.
func BenchmarkAppend(b *testing.B) {
	r := NewRecorder("instance-1", "dc-1", 16384)
	e := Event{Kind: Dispatch, RequestID: "0190b0f0-0000-7000-8000-000000000000", Workspace: "rausu",
		Adapter: "rack-summary", Version: "3", Engine: "engine-7", Attempt: 1, Duration: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		r.Append(e, start)
	}
	b.ReportMetric(float64(unsafe.Sizeof(e)), "bytes/event")
}
