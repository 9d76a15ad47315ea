package ownership

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

func entry(offset uint64, kind record.Kind, author string, body any) record.Entry {
	e, _ := record.New(kind, "", author, body)
	return record.Entry{Offset: offset, Envelope: e}
}

// TestFold guards against two owners of an engine, an order that is accepted after a newer claim, a repeated order that
// is opened again, and a snapshot that loses or reverts state.
func TestFold(t *testing.T) {
	Convey("Given two claims that replace the same fence", t, func() {
		f := NewFold()
		f.Apply(entry(0, KindClaim, "early", Claim{Engine: "e"}))
		f.Apply(entry(5, KindClaim, "A", Claim{Engine: "e"}))
		f.Apply(entry(6, KindClaim, "B", Claim{Engine: "e"}))
		So(f.Engine("e").Owner, ShouldEqual, "A")
		So(f.Engine("e").Fence, ShouldEqual, 5)
		o := SlotOrder{Engine: "e", Fence: 5, Seq: 1, Op: Evict, Adapter: "a@1"}
		f.Apply(entry(7, KindSlotOrder, "A", o))
		So(f.Engine("e").OpenOrders, ShouldHaveLength, 1)

		Convey("an order after a newer claim is ignored and the earlier order stays open", func() {
			f.Apply(entry(8, KindClaim, "B", Claim{Engine: "e", Previous: 5}))
			o.Seq = 2
			f.Apply(entry(9, KindSlotOrder, "A", o))
			So(f.Engine("e").OpenOrders, ShouldHaveLength, 1)
			f.Apply(entry(10, KindSlotDone, "C", SlotDone{Engine: "e", Fence: 5, Seq: 1}))
			So(f.Engine("e").OpenOrders, ShouldHaveLength, 1)
			f.Apply(entry(11, KindSlotDone, "B", SlotDone{Engine: "e", Fence: 5, Seq: 1}))
			So(f.Engine("e").OpenOrders, ShouldBeEmpty)
		})
		Convey("a repeated order is not opened again", func() {
			f.Apply(entry(8, KindSlotDone, "A", SlotDone{Engine: "e", Fence: 5, Seq: 1}))
			f.Apply(entry(9, KindSlotOrder, "A", o))
			So(f.Engine("e").OpenOrders, ShouldBeEmpty)
		})
		Convey("a snapshot restores the state, and an older one changes nothing", func() {
			snapshot, err := f.Export()
			So(err, ShouldBeNil)
			imported := NewFold()
			So(imported.Import(snapshot), ShouldBeNil)
			So(imported.Engine("e"), ShouldResemble, f.Engine("e"))
			imported.Apply(entry(7, KindSlotOrder, "A", o))
			So(imported.Engine("e").OpenOrders, ShouldHaveLength, 1)
			imported.Apply(entry(8, KindClaim, "B", Claim{Engine: "e", Previous: 5}))
			So(imported.Import(snapshot), ShouldBeNil)
			So(imported.Engine("e").Owner, ShouldEqual, "B")
		})
	})
}
