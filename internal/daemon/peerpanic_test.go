package daemon

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/standin/memnet"
)

// TestPanicInPeerCallReleasesLocks guards against an instance that hangs because the call of another instance panicked with
// a lock held.
func TestPanicInPeerCallReleasesLocks(t *testing.T) {
	ctx := context.Background()
	calls := map[string]struct {
		breakIt func(*Daemon)
		call    func(*Daemon) error
	}{
		"Heartbeat": {func(d *Daemon) { d.control.members = nil }, func(d *Daemon) error {
			_, err := d.control.Heartbeat(ctx, &peerpb.HeartbeatRequest{})
			return err
		}},
		"Transfer": {func(d *Daemon) { d.control.shares = nil }, func(d *Daemon) error {
			_, err := d.control.Transfer(ctx, &peerpb.TransferRequest{})
			return err
		}},
		"RequestShare": {func(d *Daemon) { d.control.shares = nil }, func(d *Daemon) error {
			_, err := d.control.RequestShare(ctx, &peerpb.ShareRequest{})
			return err
		}},
		"FrozenCounters": {func(d *Daemon) { d.control.settlement = nil }, func(d *Daemon) error {
			_, err := d.control.FrozenCounters(ctx, &peerpb.FrozenCountersRequest{})
			return err
		}},
		"Spend, its check": {func(d *Daemon) { d.control.lease = nil }, func(d *Daemon) error {
			_, err := d.control.Spend(ctx, &peerpb.SpendRequest{})
			return err
		}},
		"Spend, its reservation": {func(d *Daemon) { d.control.shares = nil }, func(d *Daemon) error {
			_, _ = d.control.reserveMicrotokens(ctx, "racks", 1)
			return nil
		}},
		"FetchState": {func(d *Daemon) { d.replica.fold = nil }, func(d *Daemon) error {
			_, err := d.control.ConfigState()
			return err
		}},
		"Retire": {func(d *Daemon) { d.control.members = nil }, func(d *Daemon) error {
			_, err := d.owners.Retire(ctx, &peerpb.RetireRequest{})
			return err
		}},
		"InFlight": {func(d *Daemon) { d.control.members = nil }, func(d *Daemon) error {
			_, err := d.owners.InFlight(ctx, &peerpb.InFlightRequest{})
			return err
		}},
		"WantAdapter": {func(d *Daemon) { d.owners.engines["e"] = &ownedEngine{configured: true} }, func(d *Daemon) error {
			_, err := d.owners.WantAdapter(ctx, &peerpb.WantAdapterRequest{Engine: "e"})
			return err
		}},
	}
	for name, c := range calls {
		Convey(name, t, func() {
			d, err := New(Options{Settings: DefaultSettings(), Network: memnet.New().Host("a"), Log: zerolog.Nop(), Incarnation: "a"})
			So(err, ShouldBeNil)
			c.breakIt(d)
			So(func() { _ = c.call(d) }, ShouldPanic)
			So(d.control.mu.TryLock(), ShouldBeTrue)
			So(d.owners.mu.TryLock(), ShouldBeTrue)
			So(d.replica.mu.TryLock(), ShouldBeTrue)
		})
	}
}
