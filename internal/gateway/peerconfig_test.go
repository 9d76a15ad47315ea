package gateway

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/state/evacuation"
)

// lineCounter counts the log lines that contain a text.
type lineCounter struct {
	mu   sync.Mutex
	text []byte
	n    int
}

func (c *lineCounter) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.Contains(line, c.text) {
		c.n++
	}
	return len(line), nil
}

func (c *lineCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// TestPeersAskedWhileEvacuationIsCarriedOver guards against an evacuation of an earlier era that stays in force at an instance that
// did not reach one that knows of its withdrawal when it asked.
func TestPeersAskedWhileEvacuationIsCarriedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("other instances are asked every ten seconds until it has ended, whether or not they answer", t, func() {
			asked := &lineCounter{text: []byte("peers asked")}
			begin := time.Now()
			g := New(Settings{Instance: "a"}, Dependencies{}, noNetwork{}, func() time.Duration { return time.Since(begin) }, zerolog.New(asked))
			ctx, cancel := context.WithCancel(context.Background())
			defer g.cancel()
			defer cancel()
			g.configLoaded.set()
			g.fleetKnown.set()
			go func() { _ = g.followPeerConfig(ctx) }() // It returns the error of ctx.
			during := func(d time.Duration) int {
				before := asked.count()
				time.Sleep(d)
				synctest.Wait()
				return asked.count() - before
			}
			during(time.Minute)
			So(during(time.Minute), ShouldEqual, 0)
			record := []evacuation.Record{{DataCentre: "z1", Offset: 5, Kind: evacuation.Evacuation}}
			g.applyEvacuations(record, change{era: 1, next: 6, snapshot: true})
			So(during(time.Minute), ShouldEqual, 0)
			g.applyEvacuations(nil, change{era: 2, next: 3, snapshot: true})
			during(10 * time.Second)
			So(during(time.Minute), ShouldEqual, 6)
			g.mergeEvacuations([]evacuationInForce{{DataCentre: "z1", Era: 2, Offset: 4}}, "b")
			during(20 * time.Second)
			So(during(time.Minute), ShouldEqual, 0)
		})
	})
}
