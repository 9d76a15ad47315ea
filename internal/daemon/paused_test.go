package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/coordination/action"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
)

// TestServiceCallAfterPause guards against a call of a plain service that an instance admitted, or decided to send, with a
// valid lease and sends without one, after a pause of its process.
func TestServiceCallAfterPause(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("The call is not sent", t, func() {
			d := f.instance(0).Daemon
			cutOff := f.instance(0).name
			f.net.Partition(func(from, to string) bool {
				return (strings.HasSuffix(to, ":2") || to == "log:1") && (from == cutOff || to == cutOff+":2")
			})
			time.Sleep(3 * time.Second)
			valid := d.control.valid()
			before := len(f.stack.Service.Headers())
			call := entry.ServiceCall{
				RequestID: "r", Workspace: "racks", RouteName: "status", Route: config.Route{Workspace: "racks", Service: "lots"},
				Request:  backend.ServiceRequest{ID: "r", Method: http.MethodPost, Path: "/x", Header: http.Header{}},
				Deadline: time.Now().Add(time.Minute),
			}
			_, err := d.runner.sendToService(context.Background(), call)
			ac := &actionCall{actions: d.actions, entry: call, events: make(chan action.Event, 1)}
			ac.dispatch()
			sent := len(f.stack.Service.Headers()) - before
			f.net.Partition(nil)
			time.Sleep(30 * time.Second)
			So(valid, ShouldBeFalse)
			So(sent, ShouldEqual, 0)
			So(err, ShouldNotBeNil)
			So(verdict.FromError(err).Verdict, ShouldEqual, verdict.NotRun)
			So(<-ac.events, ShouldResemble, action.DispatchResult{Result: intent.NotRun})
			// The others may have withdrawn the membership of the incarnation that was cut off.
			call.Deadline = time.Now().Add(time.Minute)
			a, err := f.instance(0).current.Load().runner.sendToService(context.Background(), call)
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, http.StatusCreated)
		})
	})
}
