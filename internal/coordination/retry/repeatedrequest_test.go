package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRepeatedRequest guards against one suspect for the requests of several callers, and against several for a request that its
// caller sends again.
func TestRepeatedRequest(t *testing.T) {
	check := RepeatedRequest{Workspace: "w", Key: "k", Host: "h", Method: "GET", URI: "/check/1"}
	entry := RepeatedRequest{Workspace: "w", Key: "k", Host: "h", Method: "POST", URI: "/entry", Body: []byte("lot 1")}
	open := RepeatedRequest{Host: "h", Method: "GET", URI: "/open/1"}
	change := func(r RepeatedRequest, f func(r *RepeatedRequest)) RepeatedRequest { f(&r); return r }
	otherHost := func(r *RepeatedRequest) { r.Host = "other" }
	otherKey := func(r *RepeatedRequest) { r.Key = "other" }
	otherWorkspace := func(r *RepeatedRequest) { r.Workspace, r.Key = "other", "other" }
	for _, c := range []struct {
		name     string
		one, two RepeatedRequest
		same     bool
	}{
		{"without a body, from another host", check, change(check, otherHost), true},
		{"without a body, with another key", check, change(check, otherKey), false},
		{"without a body, of another workspace", check, change(check, otherWorkspace), false},
		{"without a body or a key, from another host", open, change(open, otherHost), false},
		{"with another query", check, change(check, func(r *RepeatedRequest) { r.URI += "?page=2" }), false},
		{"with another method", check, change(check, func(r *RepeatedRequest) { r.Method = "HEAD" }), false},
		{"with a body, from another host", entry, change(entry, otherHost), true},
		{"with a body, with another key of the workspace", entry, change(entry, otherKey), true},
		{"with a body, of another workspace", entry, change(entry, otherWorkspace), false},
		{"with another body", entry, change(entry, func(r *RepeatedRequest) { r.Body = []byte("lot 2") }), false},
		{"a key that is another caller's host", open, change(check, func(r *RepeatedRequest) { r.Key, r.URI = "h", open.URI }), false},
	} {
		Convey(c.name, t, func() { So(c.one.Suspect() == c.two.Suspect(), ShouldEqual, c.same) })
	}
	Convey("only those without a body are common", t, func() {
		So(check.Common(), ShouldBeTrue)
		So(entry.Common(), ShouldBeFalse)
	})
}
