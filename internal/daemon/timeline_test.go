package daemon

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

// TestTimelineOfSeveralInstances guards against a timeline that lacks a step of a request, puts events of several
// processes in the wrong order, or contains a key or a prompt.
func TestTimelineOfSeveralInstances(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("Admission, dispatch and verdict are recorded in order, without key or prompt", t, func() {
			secretPrompt := "rack seventeen smells of salt"
			r, err := f.call(0, http.MethodPost, "/v1/completions", `{"model":"summary","max_tokens":2,"prompt":"`+secretPrompt+`"}`, nil)
			So(err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusOK)
			_, err = f.logLot(1, newIdempotencyKey(), "lot 1")
			So(err, ShouldBeNil)
			f.kill(2)
			time.Sleep(10 * time.Second)

			var lists [][]event.Event
			for _, i := range f.instances[:2] {
				lists = append(lists, i.events.recorder.Events(event.Filter{}))
			}
			merged := event.Merge(lists...)
			data, err := json.Marshal(merged)
			So(err, ShouldBeNil)
			So(bytes.Contains(data, []byte(f.secret)), ShouldBeFalse)
			So(bytes.Contains(data, []byte(secretPrompt)), ShouldBeFalse)

			kinds := map[event.Kind]int{}
			var steps []event.Kind
			request := ""
			for n, e := range merged {
				kinds[e.Kind]++
				if n > 0 {
					So(e.HLC, ShouldBeGreaterThanOrEqualTo, merged[n-1].HLC)
				}
				if request == "" && e.Kind == event.Admission && e.Adapter == "summary" {
					request = e.RequestID
				}
				if request != "" && e.RequestID == request {
					steps = append(steps, e.Kind)
				}
			}
			So(steps, ShouldResemble, []event.Kind{event.Admission, event.Dispatch, event.Settled})
			So(kinds[event.Configuration], ShouldEqual, 2)
			So(kinds[event.Transfer], ShouldBeGreaterThan, 0)
			So(kinds[event.Lease], ShouldBeGreaterThanOrEqualTo, 2)
			// Each of the two other instances records three joins and the withdrawal of the killed instance.
			So(kinds[event.Membership], ShouldEqual, 8)
		})
	})
}
