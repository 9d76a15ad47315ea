package residency

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/workers"
)

// relocationView returns a view of workers that hold the base model and the adapters of the given numbers, and a popularity in
// which an adapter is requested the more, the higher its number is. Adapters from 90 on are not requested.
func relocationView(holdings ...[]int) (*View, *Popularity, []*workers.Worker) {
	v, p := NewView(), NewPopularity()
	var list []*workers.Worker
	for i, adapters := range holdings {
		w := &workers.Worker{ID: fmt.Sprint("w", i)}
		list = append(list, w)
		v.Record(w.Key(), Adapter{Model: "m"}, 0, true, 0)
		for _, n := range adapters {
			v.Record(w.Key(), relocated(n), 1, true, 0)
		}
	}
	for n := range 90 {
		p.Add(relocated(n), float64(10+n), 0)
	}
	return v, p, list
}

func relocated(n int) Adapter { return Adapter{Model: "m", Name: fmt.Sprintf("a%02d", n)} }

func relocatedAdapters(list []Relocation) []Adapter {
	var out []Adapter
	for _, r := range list {
		out = append(out, r.Adapter)
	}
	return out
}

// TestRelocations covers the evacuation of a data centre whose workers alone hold requested adapters. It guards against loads of
// adapters that are resident elsewhere or not requested, in another order than by requests, at workers without room or without
// the base model, and faster than the weight store permits.
func TestRelocations(t *testing.T) {
	Convey("what is requested and resident only there is loaded elsewhere, the most requested first", t, func() {
		v, p, w := relocationView([]int{7, 3, 95, 1}, []int{3, 5}, []int{1}, nil)
		list := v.Relocations(RelocationInput{Evacuated: w[:2], Remaining: w[2:], Slots: 4, LoadsPerSecond: 4}, p, 0)
		So(relocatedAdapters(list), ShouldResemble, []Adapter{relocated(7), relocated(5), relocated(3)})
		for i, r := range list {
			So(r.Wait, ShouldEqual, time.Duration(i)*500*time.Millisecond)
			So(r.Worker, ShouldEqual, RankWorkers(r.Adapter, w[2:])[0])
		}
		So(v.Relocations(RelocationInput{Evacuated: w[:2], Remaining: w[2:], Slots: 4}, p, 0)[2].Wait, ShouldEqual, time.Duration(0))
	})
	Convey("loads that would begin too late are left out", t, func() {
		v, p, w := relocationView([]int{1, 2, 3, 4}, nil)
		So(v.Relocations(RelocationInput{Evacuated: w[:1], Remaining: w[1:], Slots: 8, LoadsPerSecond: 0.1}, p, 0), ShouldHaveLength, 2)
		So(v.Relocations(RelocationInput{Evacuated: w[:1], Remaining: w[1:], Slots: 8, LoadsPerSecond: 1e-300}, p, 0), ShouldHaveLength, 1)
	})
	Convey("a full worker takes only adapters that are requested more than one that it holds", t, func() {
		v, p, w := relocationView([]int{89, 88, 87, 30}, []int{70, 60})
		in := RelocationInput{Evacuated: w[:1], Remaining: w[1:], Slots: 2}
		So(relocatedAdapters(v.Relocations(in, p, 0)), ShouldResemble, []Adapter{relocated(89), relocated(88)})
		in.Slots = 3
		So(relocatedAdapters(v.Relocations(in, p, 0)), ShouldResemble, []Adapter{relocated(89), relocated(88), relocated(87)})
		in.Slots = 0
		So(v.Relocations(RelocationInput{Evacuated: w[1:], Remaining: w[2:]}, p, 0), ShouldBeEmpty)
	})
	Convey("a worker without the base model loads none", t, func() {
		v, p, w := relocationView([]int{0, 1}, nil, nil)
		v.Record(w[1].Key(), Adapter{Model: "m"}, 0, false, 0)
		for _, r := range v.Relocations(RelocationInput{Evacuated: w[:1], Remaining: w[1:], Slots: 8}, p, 0) {
			So(r.Worker, ShouldEqual, w[2])
		}
	})
}
