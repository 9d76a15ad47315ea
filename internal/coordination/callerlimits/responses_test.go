package callerlimits

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestResponses guards against responses that together exceed the memory for them, against several that are read in part and wait for
// each other, and against one that is longer than the limit and waits forever.
func TestResponses(t *testing.T) {
	const limit, length, chunk, number = 4 * mib, 8 * mib, 32 << 10, 20
	Convey("Responses beyond the limit end one after the other", t, func() {
		a := NewResponses(limit)
		type state struct {
			Response
			left           int64
			waiting, ended bool
		}
		all := map[*Response]*state{}
		var order []*state
		for range number {
			s := &state{left: length}
			all[&s.Response], order = s, append(order, s)
		}
		ended, peak := 0, int64(0)
		for progress := true; progress; {
			progress = false
			for _, s := range order {
				if s.waiting || s.ended {
					continue
				}
				progress = true
				if s.left > 0 {
					s.left -= chunk
					s.waiting = !a.Add(&s.Response, chunk)
					peak = max(peak, a.Used())
					continue
				}
				s.ended = true
				ended++
				for _, next := range a.Release(&s.Response) {
					all[next].waiting = false
				}
			}
		}
		So(ended, ShouldEqual, number)
		So(a.Used(), ShouldEqual, 0)
		So(peak, ShouldBeLessThanOrEqualTo, limit+length)
	})
	Convey("A short response does not wait, and one that stops waiting leaves nothing", t, func() {
		a := NewResponses(0)
		beyond, waits, short := &Response{}, &Response{}, &Response{}
		So(a.Add(beyond, length), ShouldBeTrue)
		So(a.Add(waits, length), ShouldBeFalse)
		So(a.Add(short, freeResponseBytes), ShouldBeTrue)
		So(a.Release(waits), ShouldBeEmpty)
		So(a.Release(beyond), ShouldBeEmpty)
		So(a.Used()+int64(a.Waiting()), ShouldEqual, 0)
	})
}
