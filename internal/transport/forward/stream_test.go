package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func newEventBuffer() *eventBuffer { return &eventBuffer{data: make([]byte, 0, streamBufferBytes)} }

// TestEventBuffer guards against events that are lost, cut, joined or held back when their bytes arrive in any pieces.
func TestEventBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOfN(rapid.StringOfN(rapid.SampledFrom([]rune("a\n")), 0, 40, -1), 0, 20).Draw(t, "events"), "\n\n")
		b := newEventBuffer()
		r := strings.NewReader(stream)
		var got []byte
		for {
			piece := io.LimitReader(r, int64(rapid.IntRange(1, 50).Draw(t, "piece")))
			events, err := b.read(piece)
			if len(events) > 0 {
				if !bytes.HasSuffix(events, eventEnd) {
					t.Fatalf("%q ends within an event", events)
				}
				got = append(got, events...)
				b.consume(events)
			}
			if bytes.Contains(b.data, eventEnd) {
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

// BenchmarkLongEvent measures an event of the largest length that arrives in pieces of 256 bytes.
func BenchmarkLongEvent(b *testing.B) {
	event := bytes.Repeat([]byte("x"), maxEventBytes)
	for b.Loop() {
		buf := newEventBuffer()
		for rest := event; len(rest) > 0; rest = rest[min(256, len(rest)):] {
			if _, err := buf.read(bytes.NewReader(rest[:min(256, len(rest))])); err != nil {
				b.Fatal(err)
			}
		}
	}
}
