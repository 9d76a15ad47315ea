package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/standin/memnet"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

// TestOldTableConfirmedByNewRead guards against an instance that was paused for longer than a key may be accepted after its
// withdrawal, and then decides a request by the table from before the pause, because the read that brings the next one ends
// while it decides.
func TestOldTableConfirmedByNewRead(t *testing.T) {
	config := func(version int64, key string) *routing.Config {
		return &routing.Config{
			Version:    version,
			Routes:     []routing.Route{{Name: "r", Host: "a.example", PathPrefix: "/", Kind: routing.Idempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
			Services:   []routing.Service{{Name: "s"}},
			Workspaces: []routing.Workspace{{Name: "w", Keys: []string{key}}},
		}
	}
	now, pause := time.Second, 10*time.Second
	var onClock func()
	g := New(Settings{Instance: "gate0", Bounds: Bounds{KeyWithdrawalMS: 5000}}, Dependencies{}, memnet.New().Host("gate0"), func() time.Duration {
		if f := onClock; f != nil {
			onClock = nil
			f()
		}
		return now
	}, zerolog.Nop())
	g.applyConfig(config(1, "withdrawn"), now)
	g.peersAsked.Store(true)
	g.configConfirmed.Store(int64(now))
	admit := func() error {
		return (*admission)(g).Admit(&forward.Job{Request: external.Request{Key: "withdrawn"}}, "a.example", "/x")
	}
	before := admit()
	now += pause
	onClock = func() {
		g.applyConfig(config(2, "other"), now)
		g.configConfirmed.Store(int64(now))
	}
	after := admit()
	Convey("the key is accepted before the pause and not after it", t, func() {
		So(before, ShouldBeNil)
		So(after, ShouldNotBeNil)
		So(verdict.FromError(after).Status, ShouldBeIn, []int{http.StatusUnauthorized, http.StatusServiceUnavailable})
	})
}
