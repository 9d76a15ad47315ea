package fleetlog

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func busyBeat() Record {
	r := beat("frontend-1", "5f4d8a0c", 7)
	for i := range 60 {
		r.Heartbeat.Usage = append(r.Heartbeat.Usage, Usage{Worker: fmt.Sprintf("i-%08x", i/6*2654435761), Adapter: fmt.Sprintf("base/a%d", i*37%997), Count: 1 + i%5, Running: i % 3})
	}
	return r
}

// TestWireForm guards the records against loss on their way, the history that a started instance reads against the
// length of busy heartbeats, and an instance against records of a program that did not compress them.
func TestWireForm(t *testing.T) {
	Convey("a busy heartbeat takes a third of its JSON, and is read as it was", t, func() {
		r := busyBeat()
		wire, err := Encode(r)
		So(err, ShouldBeNil)
		plain, err := inflate(wire[1:])
		So(err, ShouldBeNil)
		So(len(wire), ShouldBeLessThan, len(plain)/3)
		got, err := Decode(wire)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, r)
		got, err = Decode(plain)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, r)
	})
	Convey("short records stay JSON", t, func() {
		wire, err := Encode(beat("a", "a1", 1))
		So(err, ShouldBeNil)
		So(wire[0], ShouldEqual, '{')
	})
	Convey("cut and endless records are refused, and the next one is read", t, func() {
		wire, err := Encode(busyBeat())
		So(err, ShouldBeNil)
		for n := range wire {
			_, err := Decode(wire[:n])
			So(err, ShouldNotBeNil)
		}
		var endless bytes.Buffer
		endless.WriteByte(compressed)
		w, err := flate.NewWriter(&endless, flate.BestSpeed)
		So(err, ShouldBeNil)
		_, err = w.Write(make([]byte, 2*maxRecord))
		So(err, ShouldBeNil)
		So(w.Close(), ShouldBeNil)
		_, err = Decode(endless.Bytes())
		So(err.Error(), ShouldContainSubstring, "longer than")
		_, err = Decode(wire)
		So(err, ShouldBeNil)
	})
}

// BenchmarkDecode measures what reading one busy heartbeat costs, compressed and as JSON: each instance reads those of the
// whole fleet.
func BenchmarkDecode(b *testing.B) {
	wire, err := Encode(busyBeat())
	if err != nil {
		b.Fatal(err)
	}
	plain, err := inflate(wire[1:])
	if err != nil {
		b.Fatal(err)
	}
	for name, form := range map[string][]byte{"compressed": wire, "json": plain} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(form); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(form)), "bytes/record")
		})
	}
}
