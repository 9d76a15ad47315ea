package fleetlog

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// largeHeartbeat returns a heartbeat that reports usage of 60 adapters.
func largeHeartbeat() Record {
	r := heartbeat("frontend-1", "5f4d8a0c", 7)
	for i := range 60 {
		r.Heartbeat.Usage = append(r.Heartbeat.Usage, Usage{Worker: fmt.Sprintf("i-%08x", i/6*2654435761), Adapter: fmt.Sprintf("base/a%d", i*37%997), Count: 1 + i%5, InFlight: i % 3})
	}
	return r
}

// TestEncodeDecode guards against records that change on the wire, against large heartbeats that make the history long
// for an instance that starts, and against uncompressed records of another program that cannot be read.
func TestEncodeDecode(t *testing.T) {
	Convey("a large heartbeat takes less than a third of its JSON and is decoded unchanged", t, func() {
		r := largeHeartbeat()
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
	Convey("short records are not compressed", t, func() {
		wire, err := Encode(heartbeat("a", "a1", 1))
		So(err, ShouldBeNil)
		So(wire[0], ShouldEqual, '{')
	})
	Convey("truncated and oversized records are refused, and the next one is decoded", t, func() {
		wire, err := Encode(largeHeartbeat())
		So(err, ShouldBeNil)
		for n := range wire {
			_, err := Decode(wire[:n])
			So(err, ShouldNotBeNil)
		}
		var oversized bytes.Buffer
		oversized.WriteByte(compressedMarker)
		w, err := flate.NewWriter(&oversized, flate.BestSpeed)
		So(err, ShouldBeNil)
		_, err = w.Write(make([]byte, 2*maxRecordBytes))
		So(err, ShouldBeNil)
		So(w.Close(), ShouldBeNil)
		_, err = Decode(oversized.Bytes())
		So(err.Error(), ShouldContainSubstring, "longer than")
		_, err = Decode(wire)
		So(err, ShouldBeNil)
	})
}

// TestInvalidFences guards against records that nobody could replace any more: their eras or fences are out of range.
func TestInvalidFences(t *testing.T) {
	Convey("they are refused, and records without eras and fences are read", t, func() {
		for _, r := range []Record{
			claimFrom("a", "a1", -1, 0), claimFrom("a", "a1", 1<<17, 0), owning("a", "a1", 1, -1), owning("a", "a1", 1, 1<<53),
		} {
			wire, err := Encode(r)
			So(err, ShouldBeNil)
			_, err = Decode(wire)
			So(err, ShouldNotBeNil)
		}
		r, err := Decode([]byte(`{"instance":"a","incarnation":"a1","claim":{"workers":{"w":7}}}`))
		So(err, ShouldBeNil)
		So(r, ShouldResemble, claim("a", "a1", "w", 7))
		r, err = Decode([]byte(`{"instance":"a","incarnation":"a1","beat":{"number":1,"lease_ms":2000}}`))
		So(err, ShouldBeNil)
		So(r, ShouldResemble, heartbeat("a", "a1", 1))
	})
}

// BenchmarkDecode measures the cost of decoding a large heartbeat, compressed and as JSON. Each instance decodes the
// heartbeats of the whole fleet.
func BenchmarkDecode(b *testing.B) {
	wire, err := Encode(largeHeartbeat())
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
