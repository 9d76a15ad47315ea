package fleetlog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func maxSilence(lease time.Duration) time.Duration { return lease + time.Second }

func heartbeat(instance, incarnation string, number int64) Record {
	return Record{Instance: instance, Incarnation: incarnation, Heartbeat: &Heartbeat{Number: number, LeaseMS: 2000}}
}

func claim(instance, incarnation, worker string, previous int64) Record {
	return Record{Instance: instance, Incarnation: incarnation, Claim: &Claim{Workers: map[string]int64{worker: previous}}}
}

// TestConcurrentClaims guards against two owners of a worker: of two claims that replace the same owner the first
// wins, and a claim that is appended late changes nothing.
func TestConcurrentClaims(t *testing.T) {
	Convey("the first claim wins", t, func() {
		f := NewFold()
		f.Apply(0, claim("a", "a1", "w", 0), 0)
		f.Apply(1, claim("b", "b1", "w", 0), 0)
		So(f.Owner("w"), ShouldResemble, Owner{Incarnation: "a1", Instance: "a", Fence: 1})
		f.Apply(2, claim("b", "b1", "w", 1), 0)
		So(f.Owner("w").Fence, ShouldEqual, 3)
		f.Apply(3, claim("a", "a1", "w", 1), 0)
		So(f.Owner("w").Incarnation, ShouldEqual, "b1")
	})
}

// TestLateRecords guards the membership against records that are appended late: records of an earlier process on the
// same machine, records of an incarnation that left, and heartbeats out of order.
func TestLateRecords(t *testing.T) {
	Convey("late records do not add an ended incarnation again", t, func() {
		f := NewFold()
		f.Apply(0, heartbeat("a", "a1", 1), 0)
		f.Apply(1, heartbeat("a", "a2", 1), 0)
		f.Apply(2, heartbeat("a", "a1", 2), 0)
		_, ok := f.Member("a1")
		So(ok, ShouldBeFalse)
		left := heartbeat("a", "a2", 2)
		left.Heartbeat.Leaving = true
		f.Apply(3, left, 0)
		f.Apply(4, heartbeat("a", "a2", 3), 0)
		So(f.Live(0, maxSilence), ShouldBeEmpty)
	})
	Convey("an older heartbeat does not replace a newer one", t, func() {
		f := NewFold()
		So(f.Apply(0, heartbeat("a", "a1", 2), 0), ShouldNotBeNil)
		So(f.Apply(1, heartbeat("a", "a1", 1), time.Second), ShouldBeNil)
		m, _ := f.Member("a1")
		So(m.LastHeard, ShouldEqual, 0)
	})
}

// TestResigned guards the handover at a planned stop: the workers of an instance that resigned can be claimed at once.
func TestResigned(t *testing.T) {
	Convey("the workers of a resigned member are assigned to the others", t, func() {
		f := NewFold()
		f.Apply(0, heartbeat("a", "a1", 1), 0)
		f.Apply(1, heartbeat("b", "b1", 1), 0)
		f.Apply(2, claim("a", "a1", "w", 0), 0)
		So(f.Assignments([]string{"w"}, 0, maxSilence), ShouldBeEmpty)
		r := heartbeat("a", "a1", 2)
		r.Heartbeat.Resigned = true
		f.Apply(3, r, 0)
		So(f.Assignments([]string{"w"}, 0, maxSilence), ShouldResemble, map[string]string{"w": "b1"})
	})
}

// TestFoldsAgree guards against instances that disagree on owners: folds that read the same records at different
// times, one of them from the wire form, have the same owners, and fences never decrease.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := NewFold(), NewFold()
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		last := map[string]int64{}
		for offset := range int64(rapid.IntRange(1, 60).Draw(t, "records")) {
			n := names.Draw(t, "instance")
			inc := n + names.Draw(t, "incarnation")
			w := names.Draw(t, "worker")
			r := claim(n, inc, w, x.Owner(w).Fence-int64(rapid.IntRange(0, 1).Draw(t, "stale")))
			if rapid.Bool().Draw(t, "beat") {
				r = heartbeat(n, inc, int64(rapid.IntRange(1, 9).Draw(t, "number")))
			}
			data, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			x.Apply(offset, r, time.Duration(offset))
			y.Apply(offset, decoded, time.Duration(offset)*7)
			for _, w := range []string{"a", "b", "c"} {
				if x.Owner(w) != y.Owner(w) {
					t.Fatalf("two folds have different owners of worker %s", w)
				}
				if x.Owner(w).Fence < last[w] {
					t.Fatalf("the fence of worker %s decreased", w)
				}
				last[w] = x.Owner(w).Fence
			}
		}
	})
}

// FuzzDecode guards against records of other writers that crash the decoder or the fold.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"instance":"a","incarnation":"b","beat":{"number":1}}`))
	long, err := Encode(largeHeartbeat())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(long)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := Decode(data); err == nil {
			NewFold().Apply(1, r, 0)
		}
	})
}
