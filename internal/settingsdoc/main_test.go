package main

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPageIsCurrent guards against a settings page that was not regenerated after a change of the types, comments or defaults.
func TestPageIsCurrent(t *testing.T) {
	Convey("docs/settings.md equals the generated page", t, func() {
		want, err := page("../../" + sourceFile)
		So(err, ShouldBeNil)
		have, err := os.ReadFile("../../docs/settings.md")
		So(err, ShouldBeNil)
		So(string(have), ShouldEqual, want)
	})
}
