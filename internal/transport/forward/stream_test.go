package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
)

func newEventBuffer(limit int64) *eventBuffer {
	return &eventBuffer{data: make([]byte, 0, streamBufferBytes), memory: bytebudget.New(limit).NewUsage(freeResponseBytes)}
}

// TestEventBuffer guards against events that are lost, cut, joined or held back when their bytes arrive in any pieces.
func TestEventBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOfN(rapid.StringOfN(rapid.SampledFrom([]rune("a\r\n")), 0, 40, -1), 0, 20).Draw(t, "events"), rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "end"))
		b := newEventBuffer(1 << 20)
		r := strings.NewReader(stream)
		var got []byte
		for {
			piece := io.LimitReader(r, int64(rapid.IntRange(1, 50).Draw(t, "piece")))
			events, err := b.read(piece)
			if len(events) > 0 {
				if !bytes.HasSuffix(events, eventEnd) && !bytes.HasSuffix(events, eventEndCR) {
					t.Fatalf("%q ends within an event", events)
				}
				got = append(got, events...)
				b.consume(events)
			}
			if bytes.Contains(b.data, eventEnd) || bytes.Contains(b.data, eventEndCR) {
				t.Fatalf("%q is held back", b.data)
			}
			if err == io.EOF && r.Len() == 0 {
				break
			}
		}
		if whole := string(got) + string(b.data); whole != stream {
			t.Fatalf("%q came out of %q", whole, stream)
		}
	})
}

// TestLongEventMemory guards against events that take more memory than all responses may.
func TestLongEventMemory(t *testing.T) {
	Convey("a long event fails when the memory is used up, and releases it", t, func() {
		budget := bytebudget.New(256 << 10)
		b := &eventBuffer{data: make([]byte, 0, streamBufferBytes), memory: budget.NewUsage(freeResponseBytes)}
		var err error
		for r := iotest.OneByteReader(strings.NewReader(strings.Repeat("x", maxEventBytes))); err == nil; {
			_, err = b.read(r)
		}
		So(err, ShouldEqual, bytebudget.ErrExhausted)
		So(budget.Used(), ShouldBeLessThanOrEqualTo, 256<<10)
		b.memory.Release()
		So(budget.Used(), ShouldEqual, 0)
	})
}

// BenchmarkLongEvent measures an event of the largest length that arrives in pieces of 256 bytes.
func BenchmarkLongEvent(b *testing.B) {
	event := bytes.Repeat([]byte("x"), maxEventBytes)
	for b.Loop() {
		buf := newEventBuffer(4 << 20)
		for rest := event; len(rest) > 0; rest = rest[min(256, len(rest)):] {
			if _, err := buf.read(bytes.NewReader(rest[:min(256, len(rest))])); err != nil {
				b.Fatal(err)
			}
		}
	}
}
