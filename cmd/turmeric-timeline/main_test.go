package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

func TestTimeline(t *testing.T) {
	Convey("Given an instance that serves its events and a file with the events of another instance", t, func() {
		start := time.Unix(1_700_000_000, 0)
		a, b := event.NewRecorder("a", "north", 8), event.NewRecorder("b", "south", 8)
		a.Append(event.Event{Kind: event.Admission, RequestID: "r1", Workspace: "w"}, start)
		b.Append(event.Event{Kind: event.Load, Engine: "<script>e</script>"}, start.Add(time.Millisecond))
		a.Append(event.Event{Kind: event.Dispatch, RequestID: "r1", Workspace: "w"}, start.Add(2*time.Millisecond))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != eventsPath {
				http.NotFound(w, r)
				return
			}
			if err := json.NewEncoder(w).Encode(a.Events(event.Filter{})); err != nil {
				t.Error(err)
			}
		}))
		Reset(server.Close)
		file := filepath.Join(t.TempDir(), "b.json")
		data, err := json.Marshal(b.Events(event.Filter{}))
		So(err, ShouldBeNil)
		So(os.WriteFile(file, data, 0o600), ShouldBeNil)
		runTimeline := func(args ...string) (int, string, string) {
			var out, errs bytes.Buffer
			code := run(args, bytes.NewReader(data), &out, &errs)
			return code, out.String(), errs.String()
		}

		Convey("text and JSON list each event once, in causal order", func() {
			code, out, errs := runTimeline(server.URL, file, "-")
			So(errs, ShouldBeEmpty)
			So(code, ShouldEqual, exitOK)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			So(lines, ShouldHaveLength, 3)
			So(lines[0], ShouldContainSubstring, "admission")
			So(lines[1], ShouldContainSubstring, "load")
			So(lines[2], ShouldEqual, "2023-11-14T22:13:20.002Z  north  a  dispatch   request=r1 workspace=w")
			_, out, _ = runTimeline("--format", "json", "--request", "r1", server.URL, file)
			read, err := event.Decode(strings.NewReader(out))
			So(err, ShouldBeNil)
			So(read, ShouldResemble, a.Events(event.Filter{}))
		})
		Convey("the HTML page has a column per instance, escapes identifiers and loads no external resource", func() {
			page := filepath.Join(t.TempDir(), "page.html")
			code, _, _ := runTimeline("--format", "html", "--output", page, server.URL, file)
			So(code, ShouldEqual, exitOK)
			html, err := os.ReadFile(page)
			So(err, ShouldBeNil)
			So(string(html), ShouldContainSubstring, "<th>a<br><small>north</small></th><th>b<br>")
			So(string(html), ShouldContainSubstring, "<td></td><td><b>load</b> engine=&lt;script&gt;e")
			for _, outside := range []string{"<script>e", "http:", "https:", "src=", "href="} {
				So(string(html), ShouldNotContainSubstring, outside)
			}
		})
		Convey("a source that cannot be read is reported by name and the events of the others are printed", func() {
			code, out, errs := runTimeline(file, filepath.Join(t.TempDir(), "none.json"), server.URL+"/other")
			So(code, ShouldEqual, exitFailed)
			So(out, ShouldContainSubstring, "load")
			So(errs, ShouldContainSubstring, "none.json")
			So(errs, ShouldContainSubstring, "404")
		})
		Convey("control characters are escaped and invalid usage is rejected", func() {
			So(quoteIfUnsafe("a\x1b[2J"), ShouldEqual, `"a\x1b[2J"`)
			code, _, _ := runTimeline()
			So(code, ShouldEqual, exitUsage)
			code, out, _ := runTimeline("--help")
			So(code, ShouldEqual, exitOK)
			So(out, ShouldContainSubstring, "SOURCE")
		})
	})
}
