package main

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a settings page that does not say what the program does.
func TestPageIsCurrent(t *testing.T) {
	Convey("docs/settings.md is what the types and comments say", t, func() {
		want, err := page("../../" + sourceFile)
		So(err, ShouldBeNil)
		have, err := os.ReadFile("../../docs/settings.md")
		So(err, ShouldBeNil)
		So(string(have), ShouldEqual, want)
	})
}
