package logsink

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/standin/bubble"
)

// TestDropsAreCounted guards the code that logs against a full sink: lines are dropped, not waited for, and counted.
func TestDropsAreCounted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range MaxWaiting/len(line) + 3 {
			if n, err := s.Write(line); n != len(line) || err != nil {
				t.Fatal(n, err)
			}
		}
		s.Close()
		Convey("three lines are missing and told", t, func() {
			So(bytes.Count(out.Bytes(), line), ShouldEqual, MaxWaiting/len(line))
			So(out.String(), ShouldContainSubstring, `"dropped":3`)
		})
	})
}
