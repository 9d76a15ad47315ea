package residency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

func entryWith(seq int64, adapters ...string) *workers.Worker {
	w := &workers.Worker{ID: "w", StartedMilli: 1, Seq: seq, Models: []workers.LoadedModel{{Name: "m", Version: 1}}}
	for _, a := range adapters {
		w.Models[0].Adapters = append(w.Models[0].Adapters, workers.LoadedAdapter{Name: a, Version: 1})
	}
	return w
}

// TestOlderEntry guards against an entry of a worker from before its latest orders, as a restored registry has: it must not
// replace what is known of the worker's adapters.
func TestOlderEntry(t *testing.T) {
	Convey("an entry with fewer orders than the latest one of the incarnation is not applied", t, func() {
		v := NewView()
		now := time.Minute
		k := entryWith(0).Key()
		holds := func(name string) bool { return v.Holds(k, Adapter{Model: "m", Name: name}, 1) }
		So(v.ApplyEntry(entryWith(7, "new"), now), ShouldBeTrue)
		So(v.ApplyEntry(entryWith(5, "old"), now), ShouldBeFalse)
		So(holds("new"), ShouldBeTrue)
		So(holds("old"), ShouldBeFalse)
		So(v.ApplyEntry(entryWith(7, "new", "loaded"), now), ShouldBeTrue)
		So(holds("loaded"), ShouldBeTrue)
		Convey("also after the outcome of an order was recorded", func() {
			v.Record(k, Adapter{Model: "m", Name: "new"}, 0, false, now)
			So(v.ApplyEntry(entryWith(5, "old"), now+time.Minute), ShouldBeFalse)
			So(holds("old"), ShouldBeFalse)
		})
		Convey("the entry of another incarnation is applied", func() {
			restarted := entryWith(0, "old")
			restarted.StartedMilli = 2
			So(v.ApplyEntry(restarted, now), ShouldBeTrue)
			So(v.Holds(restarted.Key(), Adapter{Model: "m", Name: "old"}, 1), ShouldBeTrue)
		})
	})
}
