package slots

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/ownership"
)

// newLoadedSim returns a simulation in which both slots are occupied, and the instance that owns the engine.
func newLoadedSim(t *testing.T, set Settings) (*sim, *instance) {
	s := newSim(t, 3, set)
	s.settle(3)
	s.wantAll(refs[0])
	s.wantAll(refs[1])
	s.settle(5)
	for _, in := range s.instances {
		if in.owner.Owns() {
			return s, in
		}
	}
	t.Fatal("no instance owns the engine")
	return nil, nil
}

// another returns an instance other than in.
func (s *sim) another(in *instance) *instance {
	for _, o := range s.instances {
		if o != in {
			return o
		}
	}
	return nil
}

// TestLateOrderOfStaleOwner guards against the eviction of an adapter in use by a stale owner. The owner is
// paused beyond its lease and replaced, and the engine does not check the fence.
func TestLateOrderOfStaleOwner(t *testing.T) {
	Convey("Given an owner that was paused between deciding on an eviction and sending it", t, func() {
		s, old := newLoadedSim(t, Settings{})
		s.wantAll(refs[2])
		for range 20 {
			if len(s.packets) > 0 {
				break
			}
			for _, e := range s.appends {
				s.appendToLog(e)
			}
			s.appends = nil
			for _, in := range s.instances {
				s.read(in, len(s.log))
			}
			net := s.net
			s.net = nil
			for _, f := range net {
				f()
			}
		}
		So(s.packets, ShouldHaveLength, 1)
		victim := s.packets[0].order.Adapter
		old.paused = true
		s.withdraw(old.self)
		for range 5 {
			late := s.packets
			s.packets = nil
			s.settle(1)
			s.packets = late
		}
		next := s.another(old)
		Convey("no instance dispatches to the victim and the new owner does not treat it as resident", func() {
			for _, in := range s.instances {
				if in.owner.Owns() && in != old {
					next = in
				}
			}
			So(next.owner.Owns(), ShouldBeTrue)
			So(next.owner.Resident(), ShouldNotContain, victim)
			So(s.dispatch(next, victim), ShouldBeFalse)
			Convey("the late order evicts no adapter in use", func() {
				p := s.packets[0]
				s.resume(old)
				s.appends = nil
				s.read(old, len(s.log))
				for _, e := range s.appends { // the order of the resumed owner is still in transit, so it must not be closed
					So(e.Kind, ShouldNotEqual, ownership.KindSlotDone)
				}
				s.send(p)
				s.deliver(p)
				So(s.evictions, ShouldEqual, 1)
			})
		})
	})
}

// TestWithdrawnMember guards against an eviction while a withdrawn member may still resume and dispatch requests.
func TestWithdrawnMember(t *testing.T) {
	Convey("An eviction that the engine does not guard waits for the quarantine of a paused member", t, func() {
		s, owner := newLoadedSim(t, Settings{})
		member := s.another(owner)
		member.paused = true
		s.withdraw(member.self)
		s.settle(3)
		s.wantAll(refs[2])
		s.settle(40)
		So(s.evictions, ShouldEqual, 0)
		s.advance(DefaultQuarantine)
		s.resume(member)
		s.settle(40)
		So(s.evictions, ShouldEqual, 1)
	})
	Convey("For a dead member only a report of the engine is awaited, not the quarantine", t, func() {
		s, owner := newLoadedSim(t, Settings{})
		member := s.another(owner)
		self := member.self
		s.kill(member)
		s.withdraw(self)
		s.settle(3)
		s.wantAll(refs[2])
		s.settle(15)
		So(s.evictions, ShouldEqual, 1)
	})
}

// TestNoOwner guards against resident adapters to which no requests are dispatched after the owner has failed.
func TestNoOwner(t *testing.T) {
	Convey("Requests are dispatched to resident adapters without an owner and with the log down", t, func() {
		s, owner := newLoadedSim(t, Settings{})
		other := s.another(owner)
		_, ok := other.dispatcher.Retire(Retire{Engine: "e", Adapter: refs[0], Fence: owner.owner.Fence(), Round: 99})
		So(ok, ShouldBeTrue)
		So(s.dispatch(other, refs[0]), ShouldBeFalse)
		s.withdraw(owner.self)
		s.kill(owner)
		s.read(other, len(s.log))
		s.logDown = true
		s.advance(time.Hour)
		So(s.dispatch(other, refs[0]), ShouldBeTrue)
	})
}

// TestRestartForgetsFence guards against a restarted engine that accepts orders of stale owners because it has
// forgotten the fence.
func TestRestartForgetsFence(t *testing.T) {
	Convey("The owner sends its fence to a restarted engine again", t, func() {
		s, owner := newLoadedSim(t, Settings{ChecksFence: true})
		s.restart()
		s.settle(3)
		So(s.engine.fence, ShouldEqual, owner.owner.Fence())
	})
}

// TestDelayedMessages guards against a delayed or repeated message that cancels a newer Retire.
func TestDelayedMessages(t *testing.T) {
	Convey("Messages with older rounds or other fences have no effect", t, func() {
		s, owner := newLoadedSim(t, Settings{})
		d, f := s.another(owner).dispatcher, owner.owner.Fence()
		msg := func(fence, round uint64) Retire {
			return Retire{Engine: "e", Adapter: refs[0], Fence: fence, Round: round}
		}
		d.Begin("e", refs[0])
		r, ok := d.Retire(msg(f, 11))
		So(ok, ShouldBeTrue)
		So(r.InFlight, ShouldEqual, 1)
		for _, m := range []Retire{msg(f, 10), msg(f-1, 12), msg(f+1, 12)} {
			_, ok = d.Unretire(m)
			So(ok, ShouldBeFalse)
			So(d.Retired("e", refs[0]), ShouldBeTrue)
		}
		d.End("e", refs[0])
		So(d.InFlight("e", refs[0]), ShouldEqual, 0)
		d.Unretire(msg(f, 12))
		_, ok = d.Retire(msg(f, 11))
		So(ok, ShouldBeFalse)
		So(d.Begin("e", refs[0]), ShouldBeTrue)
	})
}

// BenchmarkRetire measures the time, the allocations and the message bytes of one eviction.
func BenchmarkRetire(b *testing.B) {
	for _, members := range []int{7, 78, 172} {
		b.Run(strconv.Itoa(members)+"-members", func(b *testing.B) {
			dispatchers := make([]*Dispatcher, members)
			for i := range dispatchers {
				dispatchers[i] = NewDispatcher(strconv.Itoa(i))
			}
			m := Retire{Engine: "engine-0123", Adapter: adapter.Ref{Name: "rack-notes-00042", Version: "v17"}}
			// Size of the protobuf message: a tag byte per field, a length byte per string, and fence,
			// round and count as varints.
			request := 2 + len(m.Engine) + 2 + len(m.Adapter.String()) + 1 + 5 + 1 + 3
			bytes := 0
			b.ReportAllocs()
			for i := range b.N {
				bytes = 0
				for round := range 2 { // Retire, then Unretire
					m.Round = uint64(2*i + round + 1)
					for _, d := range dispatchers {
						_, _ = d.applyRetire(m, round == 0)
						bytes += request + 4
					}
				}
			}
			b.ReportMetric(float64(bytes), "bytes/eviction")
		})
	}
}
