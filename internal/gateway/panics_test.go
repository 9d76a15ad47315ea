package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/transport/network"
)

func countedPanics(t *testing.T, g *Gateway) float64 {
	families, err := g.metricsRegistry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() == "turmeric_panics_total" {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// TestPanicInBackground guards against a background task that ends the process, and with it all requests in flight.
func TestPanicInBackground(t *testing.T) {
	Convey("a panic ends the task, is counted, and other tasks go on", t, func() {
		g := New(Settings{}, Dependencies{}, network.TCP{}, BootClock, zerolog.Nop())
		defer g.cancel()
		g.start("test", func(context.Context) { panic("test") })
		done := make(chan struct{})
		g.start("other", func(context.Context) { close(done) })
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Error("the other task did not run")
		}
		g.background.Wait()
		So(countedPanics(t, g), ShouldEqual, 1)
	})
}
