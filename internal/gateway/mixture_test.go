package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// TestRequestMix guards against an owner that decides by less than the asking instance knows of a request, and against one that trusts
// an expected length beyond the maximum.
func TestRequestMix(t *testing.T) {
	Convey("an owner reads what an instance has sent", t, func() {
		r := workerload.Request{
			Prompt: 9200, Output: 300, Expected: 80, Late: true, Owed: true, Parts: []workerload.Part{{ID: 7, Tokens: 6300}},
			Mixture: workerload.Mixture{ShortTarget: 500 * time.Millisecond, Short: 650, Long: 9200},
		}
		So(requestOfMix(r.Prompt, r.Output, requestMix(r)), ShouldResemble, r)
		hinted := workerload.Request{Prompt: 10, Output: 300, Expected: 80}
		So(requestOfMix(10, 300, requestMix(hinted)), ShouldResemble, hinted)
		So(requestOfMix(10, 40, requestMix(hinted)).Expected, ShouldEqual, 40)
		So(requestMix(workerload.Request{Prompt: 10, Output: 300}), ShouldBeNil)
	})
}

// TestHoldForLoad guards against requests that are held until their deadline because no worker loads their adapter.
func TestHoldForLoad(t *testing.T) {
	Convey("a request whose adapter is not loaded is held for half of its caller's patience, in a mixture only", t, func() {
		g := &Gateway{mixes: map[string]*workerload.Mix{}}
		holds := func(waited time.Duration) bool {
			now := time.Now()
			j := &forward.Job{Service: "llm", Route: &routing.Route{TargetLatency: time.Second / 2}, Arrived: now.Add(-waited), Deadline: now.Add(6*time.Second - waited)}
			return g.holdsForLoad(context.Background(), j)
		}
		g.settings.MixedPrompts = true
		So(holds(0), ShouldBeFalse)
		for range 2 {
			g.mixOf("llm").Arrived("short", 650, time.Second/2)
			g.mixOf("llm").Arrived("long", 9200, 2*time.Second)
		}
		So(holds(0), ShouldBeTrue)
		So(holds(900*time.Millisecond), ShouldBeTrue)
		So(holds(time.Second), ShouldBeFalse)
		g.settings.MixedPrompts = false
		So(holds(0), ShouldBeFalse)
	})
}
