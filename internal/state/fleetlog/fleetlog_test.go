package fleetlog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func silence(lease time.Duration) time.Duration { return lease + time.Second }

func beat(instance, incarnation string, number int64) Record {
	return Record{Instance: instance, Incarnation: incarnation, Heartbeat: &Heartbeat{Number: number, LeaseMS: 2000}}
}

func claim(instance, incarnation, worker string, previous int64) Record {
	return Record{Instance: instance, Incarnation: incarnation, Claim: &Claim{Workers: map[string]int64{worker: previous}}}
}

// TestRacingClaims guards a worker against two owners: of two claims that saw the same owner the first wins, and a
// claim that is appended late changes nothing.
func TestRacingClaims(t *testing.T) {
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

// TestLateRecords guards the membership against records that are appended late: of an earlier process on the same
// machine, of an incarnation that left, and beats out of order.
func TestLateRecords(t *testing.T) {
	Convey("late records do not bring an incarnation back", t, func() {
		f := NewFold()
		f.Apply(0, beat("a", "a1", 1), 0)
		f.Apply(1, beat("a", "a2", 1), 0)
		f.Apply(2, beat("a", "a1", 2), 0)
		_, ok := f.Member("a1")
		So(ok, ShouldBeFalse)
		left := beat("a", "a2", 2)
		left.Heartbeat.Leaving = true
		f.Apply(3, left, 0)
		f.Apply(4, beat("a", "a2", 3), 0)
		So(f.Live(0, silence), ShouldBeEmpty)
	})
	Convey("an old beat does not replace a newer one", t, func() {
		f := NewFold()
		So(f.Apply(0, beat("a", "a1", 2), 0), ShouldNotBeNil)
		So(f.Apply(1, beat("a", "a1", 1), time.Second), ShouldBeNil)
		m, _ := f.Member("a1")
		So(m.LastHeard, ShouldEqual, 0)
	})
}

// TestResigned guards the hand-over at a planned stop: the workers of an instance that resigned are free at once.
func TestResigned(t *testing.T) {
	Convey("a resigned member's workers go to the others", t, func() {
		f := NewFold()
		f.Apply(0, beat("a", "a1", 1), 0)
		f.Apply(1, beat("b", "b1", 1), 0)
		f.Apply(2, claim("a", "a1", "w", 0), 0)
		So(f.Assignments([]string{"w"}, 0, silence), ShouldBeEmpty)
		r := beat("a", "a1", 2)
		r.Heartbeat.Resigned = true
		f.Apply(3, r, 0)
		So(f.Assignments([]string{"w"}, 0, silence), ShouldResemble, map[string]string{"w": "b1"})
	})
}

// TestFoldsAgree guards the agreement of instances: folds that read the same records in pieces of any size have the
// same owners, and fences rise.
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
				r = beat(n, inc, int64(rapid.IntRange(1, 9).Draw(t, "number")))
			}
			data, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			x.Apply(offset, r, time.Duration(offset))
			y.Apply(offset, again, time.Duration(offset)*7)
			for _, w := range []string{"a", "b", "c"} {
				if x.Owner(w) != y.Owner(w) {
					t.Fatalf("two folds differ about %s", w)
				}
				if x.Owner(w).Fence < last[w] {
					t.Fatalf("the fence of %s fell", w)
				}
				last[w] = x.Owner(w).Fence
			}
		}
	})
}

// FuzzDecode guards against records of other writers.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"instance":"a","incarnation":"b","beat":{"number":1}}`))
	long, err := Encode(busyBeat())
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
