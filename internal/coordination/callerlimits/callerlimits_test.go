package callerlimits

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	mib      = 1 << 20
	smallest = 136 * mib
	// legalBody and legalHead are the largest legal sizes.
	legalBody, legalHead = 4 * mib, 16 << 10
)

func limits() Limits { return Derive(smallest, 2870) }

// TestDerive guards against limits that the largest legal request reaches on the smallest machine, and against shares that
// leave nothing to the program.
func TestDerive(t *testing.T) {
	Convey("A complete body, its parts and a long head fit, and half of the memory is left", t, func() {
		l := limits()
		a := New(l)
		c := a.Open(0, "1.2.3.4")
		_, ok := a.Head(0, c, legalHead)
		So(ok, ShouldBeTrue)
		_, ok = a.Reserve(0, c, Bodies, 5*legalBody)
		So(ok, ShouldBeTrue)
		So(l.Bytes[Heads]+l.Bytes[Bodies]+l.ResponseBytes, ShouldBeLessThanOrEqualTo, smallest/2)
		So(l.Connections, ShouldBeLessThanOrEqualTo, 2870/2)
	})
}

// TestStalledBodies guards against bodies without progress that keep out others, and against closing a connection that makes
// progress.
func TestStalledBodies(t *testing.T) {
	Convey("A stalled connection is closed for another one, that which has held the most for the longest first", t, func() {
		a := New(limits())
		var conns []*Conn
		hold := func(address string, n int64) bool {
			c := a.Open(0, address)
			a.SetPhase(0, c, Receiving)
			conns = append(conns, c)
			_, ok := a.Reserve(0, c, Bodies, n)
			return ok
		}
		So(hold("a", 8*mib), ShouldBeTrue)
		So(hold("b", 9*mib), ShouldBeTrue)
		So(hold("c", 12*mib), ShouldBeTrue)
		head := a.Open(0, "e")
		a.SetPhase(0, head, Receiving)
		asking := a.Open(0, "d")
		closeFirst, ok := a.Reserve(time.Second, asking, Bodies, 8*mib)
		So(ok, ShouldBeFalse)
		So(closeFirst, ShouldBeEmpty)

		a.Moved(4*time.Second, conns[2], 10_000)
		closeFirst, ok = a.Reserve(4*time.Second, asking, Bodies, 8*mib)
		So(ok, ShouldBeTrue)
		So(closeFirst, ShouldResemble, []*Conn{conns[1]})
		So(a.Used(Bodies), ShouldEqual, 28*mib)
		a.Close(conns[1])
		So(a.Used(Bodies), ShouldEqual, 28*mib)
		for _, c := range append(conns, asking, head) {
			a.Close(c)
		}
		So([]int64{a.Used(Heads), a.Used(Bodies), int64(a.Connections()), int64(len(a.owners))}, ShouldResemble, []int64{0, 0, 0, 0})
	})
}

// TestShares guards against one address or one key that holds all memory for bodies, and against bodies that take the room of
// heads.
func TestShares(t *testing.T) {
	for _, key := range []string{"", "shared"} {
		Convey("A quarter is left to others with the key '"+key+"'", t, func() {
			a := New(limits())
			n := 0
			for {
				address := "same"
				if key != "" {
					address = string(rune('a' + n))
				}
				c := a.Open(0, address)
				a.SetKey(c, key)
				if _, ok := a.Reserve(0, c, Bodies, mib); !ok {
					break
				}
				n++
			}
			So(n, ShouldEqual, 25)
			other := a.Open(0, "other")
			a.SetPhase(0, other, Receiving)
			_, ok := a.Reserve(0, other, Bodies, legalBody)
			So(ok, ShouldBeTrue)
			asking := a.Open(0, "same")
			a.SetKey(asking, key)
			closeFirst, _ := a.Reserve(time.Minute, asking, Bodies, 8*mib)
			So(closeFirst, ShouldNotContain, other)
			_, ok = a.Head(0, other, legalHead)
			So(ok, ShouldBeTrue)
		})
	}
}

// TestRate guards against connections that stay open although their callers hardly send or read, and against closing those that
// do, whose requests are being served, or that pause for less than the window.
func TestRate(t *testing.T) {
	for _, c := range []struct {
		name          string
		phase         Phase
		writing       bool
		bytesPerS     int
		pauseS, closS int
	}{
		{"a caller that sends one byte a second", Receiving, false, 1, 0, 15},
		{"a caller that sends on a slow link", Receiving, false, 1000, 0, 0},
		{"a caller that pauses for 12 s", Receiving, false, 1000, 12, 0},
		{"a caller that does not read", Serving, true, 0, 0, 30},
		{"a caller that waits for a worker", Serving, false, 0, 0, 0},
		{"an idle caller", Idle, false, 0, 0, 0},
	} {
		Convey(c.name, t, func() {
			a := New(limits())
			conn := a.Open(0, "a")
			a.SetPhase(0, conn, c.phase)
			if c.writing {
				a.SetWriting(0, conn, true)
			}
			closed := 0
			for s := 1; s <= 60 && closed == 0; s++ {
				now := time.Duration(s) * time.Second
				if c.bytesPerS > 0 && (s < 20 || s >= 20+c.pauseS) {
					a.Moved(now, conn, c.bytesPerS)
				}
				if len(a.Overdue(now)) > 0 {
					closed = s
				}
			}
			So(closed, ShouldEqual, c.closS)
		})
	}
}

// TestReserved guards against readiness checks that wait while stalled connections use up their listener.
func TestReserved(t *testing.T) {
	Convey("A stalled connection is closed within half a second", t, func() {
		a := New(limits().Reserved())
		for {
			if _, ok := a.Room(0); !ok {
				break
			}
			a.SetPhase(0, a.Open(0, "a"), Receiving)
		}
		victim, _ := a.Room(500 * time.Millisecond)
		So(victim, ShouldNotBeNil)
		_, ok := a.Room(500 * time.Millisecond)
		So(ok, ShouldBeTrue)
	})
}

// TestRoom guards against a limit on connections that stalled or idle ones use up, and against closing one that is being served.
func TestRoom(t *testing.T) {
	Convey("The stalled one is closed first, then the one idle for the longest, and none that is served", t, func() {
		l := limits()
		l.Connections = 3
		a := New(l)
		idle, stalled, served := a.Open(0, "a"), a.Open(0, "b"), a.Open(0, "c")
		a.SetPhase(0, stalled, Receiving)
		a.SetPhase(0, served, Serving)
		victim, ok := a.Room(time.Second / 2)
		So(victim, ShouldBeNil)
		So(ok, ShouldBeFalse)
		for _, want := range []*Conn{stalled, idle} {
			victim, _ = a.Room(4 * time.Second)
			So(victim, ShouldEqual, want)
			_, ok = a.Room(4 * time.Second)
			So(ok, ShouldBeTrue)
			a.SetPhase(4*time.Second, a.Open(4*time.Second, "d"), Serving)
		}
		victim, _ = a.Room(time.Minute)
		So(victim, ShouldBeNil)
		a.Reopen(time.Minute, idle)
		So(a.Connections(), ShouldEqual, 4)
	})
}

// TestUnread guards against a response for which more is held than its limit allows, and against callers that never read and leave
// no memory to one that falls behind after them, or to buffered responses.
func TestUnread(t *testing.T) {
	Convey("One caller gets its limit, and many leave some to another one", t, func() {
		const chunk, greedy = 8 << 10, 16
		l := limits()
		used, held := int64(0), make([]int64, greedy+1)
		for i := range held {
			for l.Unread.MayHold(held[i], used, chunk) {
				held[i], used = held[i]+chunk, used+chunk
			}
		}
		So(held[0], ShouldEqual, DefaultUnreadBytes)
		So(held[greedy], ShouldBeGreaterThanOrEqualTo, MinUnreadBytes)
		So(used, ShouldBeLessThanOrEqualTo, l.ResponseBytes/2)
		So(l.Unread.MayHold(0, l.ResponseBytes/2, 1), ShouldBeFalse)
	})
}

// TestFrozenProcess guards against closing all callers that were sending when the process itself was stopped for longer than the window.
func TestFrozenProcess(t *testing.T) {
	Convey("The time in which the process did not run counts against nobody, later time does", t, func() {
		a := New(limits())
		sending, stalled := a.Open(0, "a"), a.Open(0, "b")
		for _, c := range []*Conn{sending, stalled} {
			a.SetPhase(0, c, Receiving)
		}
		step := func(now time.Duration) []*Conn {
			a.Moved(now, sending, 1000)
			return a.Overdue(now)
		}
		for now := time.Second; now <= 5*time.Second; now += time.Second {
			So(step(now), ShouldBeEmpty)
		}
		const resumed = 40 * time.Second
		_, ok := a.Reserve(5*time.Second, sending, Bodies, a.limits.OwnerBytes)
		So(ok, ShouldBeTrue)
		closeFirst, ok := a.Reserve(resumed, a.Open(resumed, "c"), Bodies, a.limits.OwnerBytes)
		So(ok, ShouldBeFalse)
		So(closeFirst, ShouldBeEmpty)
		So(a.Overdue(resumed), ShouldBeEmpty)
		for now := resumed + time.Second; now < resumed+DefaultReadWindow; now += time.Second {
			So(step(now), ShouldBeEmpty)
		}
		So(step(resumed+DefaultReadWindow+time.Second), ShouldResemble, []*Conn{stalled})
	})
}

// TestTLSConnections guards against connections with TLS that take more memory than the part for connections, since each holds more than
// a plain one.
func TestTLSConnections(t *testing.T) {
	Convey("The measured bytes of connections with TLS fit into the part for them, and long heads have room", t, func() {
		const measured = 43_519
		l := Derive(smallest, 8192).WithTLS()
		a := New(l)
		var last *Conn
		n := 0
		for ; n < 8192; n++ {
			if _, ok := a.Room(0); !ok {
				break
			}
			last = a.Open(0, "a")
		}
		So(int64(n*measured), ShouldBeLessThanOrEqualTo, l.Bytes[Heads]/4*3)
		_, ok := a.Head(0, last, legalHead)
		So(ok, ShouldBeTrue)
		a.Release(last)
		So(a.Used(Heads), ShouldEqual, int64(n)*l.ConnectionBytes)
	})
}

// TestWriteAfterWait guards against closing a caller whose response has just begun, because its request waited for longer than the window.
func TestWriteAfterWait(t *testing.T) {
	Convey("The time before the write does not count", t, func() {
		a := New(limits())
		c := a.Open(0, "a")
		a.SetPhase(0, c, Serving)
		So(a.Overdue(time.Minute), ShouldBeEmpty)
		a.SetWriting(time.Minute, c, true)
		So(a.Overdue(time.Minute+time.Second), ShouldBeEmpty)
	})
}
