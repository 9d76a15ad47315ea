package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
)

// putAdapter returns the operations that add an adapter.
func putAdapter(name string) []config.Operation {
	op, err := config.NewPut(config.KindAdapter, name, config.Adapter{
		Workspace: "racks", BaseModel: "base", Versions: []string{"1"}, Default: "1",
	})
	if err != nil {
		panic(err)
	}
	return []config.Operation{op}
}

// publish publishes a change through the operators' API of one instance.
func (f *testFleet) publish(i int, base config.Version, ops []config.Operation) (admin.ChangeResponse, error) {
	d := &adminDaemon{f.instance(i).Daemon}
	return d.Publish(context.Background(), uuid.NewString(), config.Change{Base: base, Operations: ops, Author: fmt.Sprintf("operator%d", i)})
}

// TestConflictingChangesAndConfirmation guards against two operators who overwrite each other's changes, and
// against a change that is reported as accepted before it is in force.
func TestConflictingChangesAndConfirmation(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("One change is accepted and confirmed by all instances; the refusal of the other names both versions", t, func() {
			responses := make([]admin.ChangeResponse, 2)
			errs := make([]error, 2)
			start := time.Now()
			var wg sync.WaitGroup
			for i := range responses {
				wg.Go(func() { responses[i], errs[i] = f.publish(i, f.version, putAdapter(fmt.Sprintf("new%d", i))) })
			}
			wg.Wait()
			So(errs, ShouldResemble, []error{nil, nil})
			winner, loser := responses[0], responses[1]
			if !winner.Accepted {
				winner, loser = loser, winner
			}
			So(winner.Accepted, ShouldBeTrue)
			So(len(winner.ConfirmedBy), ShouldEqual, 3)
			So(time.Since(start), ShouldBeLessThan, 5*time.Second)
			So(loser.Accepted, ShouldBeFalse)
			So(loser.Refusal.Base, ShouldEqual, f.version)
			So(loser.Refusal.Current, ShouldEqual, winner.Version)
			for _, i := range f.instances {
				So(i.replica.view().Version(), ShouldEqual, winner.Version)
			}
		})
	})
}

// TestPublishWithLostAppendResponse guards against a change that takes effect twice or not at all because the response
// to its append was an error.
func TestPublishWithLostAppendResponse(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("The change is accepted and in force", t, func() {
			f.stack.Log.LoseResponses(1)
			response, err := f.publish(0, f.version, putAdapter("late"))
			So(err, ShouldBeNil)
			So(response.Accepted, ShouldBeTrue)
			_, ok := f.instance(0).replica.view().Adapter("late")
			So(ok, ShouldBeTrue)
		})
	})
}

// TestStateOutlivesRetention guards against state that is lost or reverts when the log drops old records and every
// instance that had read them is replaced.
func TestStateOutlivesRetention(t *testing.T) {
	shortRetention := func(o *stack.Options) { o.Retention = 10 * time.Minute }
	runFleet(t, 3, shortRetention, func(f *testFleet) {
		Convey("New instances serve the same configuration with the same shares", t, func() {
			response, err := f.publish(0, f.version, putAdapter("kept"))
			So(err, ShouldBeNil)
			So(response.Accepted, ShouldBeTrue)
			time.Sleep(25 * time.Minute)
			for i := range 3 {
				f.start(fmt.Sprintf("replacement%d", i+1))
				time.Sleep(10 * time.Second)
				f.instance(i).drainAndWait()
			}
			// The parts of a transfer in flight are in neither instance's share. Without new demand, transfers end
			// within a second.
			time.Sleep(2 * time.Second)
			var parts int64
			for _, i := range f.instances[3:] {
				So(i.replica.view().Version(), ShouldEqual, response.Version)
				parts += i.control.parts("racks")
			}
			So(parts, ShouldEqual, 1_000_000)
			r, err := f.call(3, http.MethodPost, "/v1/completions", `{"model":"kept","prompt":"x","max_tokens":2}`, nil)
			So(err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusOK)
		})
	})
}
