package residency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRelocationQueue guards against loads of two evacuations beside each other, loads that begin too early, and relocations that
// no instance begins, since the instance has just ended with the earlier ones.
func TestRelocationQueue(t *testing.T) {
	Convey("a later list replaces what is left, and is begun once", t, func() {
		q := RelocationQueue{}
		list := []Relocation{{Adapter: adapterN(1)}, {Adapter: adapterN(2), Wait: time.Second}}
		So(q.Replace(nil, 0), ShouldBeFalse)
		So(q.Replace(list, time.Minute), ShouldBeTrue)
		r, _, _ := q.Next(time.Minute)
		So(r.Adapter, ShouldResemble, adapterN(1))
		_, wait, ok := q.Next(time.Minute + 400*time.Millisecond)
		So(wait, ShouldEqual, 600*time.Millisecond)
		So(ok, ShouldBeTrue)
		So(q.Replace([]Relocation{{Adapter: adapterN(3)}}, time.Minute), ShouldBeFalse)
		r, wait, _ = q.Next(time.Minute)
		So(wait, ShouldEqual, time.Duration(0))
		So(r.Adapter, ShouldResemble, adapterN(3))
		_, _, ok = q.Next(time.Minute)
		So(ok, ShouldBeFalse)
		So(q.Replace(list, time.Minute), ShouldBeTrue)
		q.Stop()
		So(q.Replace(list, time.Minute), ShouldBeTrue)
	})
}
