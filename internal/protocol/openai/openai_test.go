package openai

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPromptParts guards against messages that are told apart although they are equal, against the last message, which no
// other request shares, and against prompts without messages.
func TestPromptParts(t *testing.T) {
	parts := func(body string) []string {
		r, err := Parse([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return r.PromptParts()
	}
	Convey("all messages but the last have identifiers", t, func() {
		one := parts(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`)
		two := parts(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"c"},{"role":"user","content":"d"}]}`)
		So(one, ShouldHaveLength, 1)
		So(two, ShouldHaveLength, 2)
		So(two[0], ShouldEqual, one[0])
		So(two[1], ShouldNotEqual, one[0])
		So(parts(`{"model":"m","messages":[{"role":"user","content":"b"}]}`), ShouldBeEmpty)
		So(parts(`{"model":"m","prompt":"a"}`), ShouldBeEmpty)
	})
}
