package logsink

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/standin/bubble"
)

// TestDropsAreCounted guards against a full sink that blocks the code that logs, and against dropped lines that are not counted.
func TestDropsAreCounted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range MaxPendingBytes/len(line) + 3 {
			if n, err := s.Write(line); n != len(line) || err != nil {
				t.Fatal(n, err)
			}
		}
		s.Close()
		Convey("three lines are dropped, and their number is logged", t, func() {
			So(bytes.Count(out.Bytes(), line), ShouldEqual, MaxPendingBytes/len(line))
			So(out.String(), ShouldContainSubstring, `"dropped":3`)
		})
	})
}
