package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// kindControlSnapshot is the kind of the records that carry the control stream's state past the log's
// retention.
const kindControlSnapshot record.Kind = "control_snapshot"

// controlSnapshot is the state of the control stream's folds at one offset.
type controlSnapshot struct {
	// Next is the offset after the last record covered.
	Next    uint64           `json:"next"`
	Members members.Snapshot `json:"members"`
	Ledger  ledger.Snapshot  `json:"ledger"`
	// Ownership is the exported fold of claims and slot orders.
	Ownership json.RawMessage `json:"ownership"`
}

// The schedule of control snapshots in fractions of the retention time, as for the configuration.
const (
	controlSnapshotAge    = 4
	controlSnapshotSpread = 16
)

// snapshotDue decides whether this instance appends a snapshot now. Each instance waits a delay of its own after the newest
// snapshot is old enough, and sees another's snapshot before its own is due.
func (c *control) snapshotDue(now time.Time) bool {
	retention := c.daemon.settings.Platform.Retention()
	spread := retention / controlSnapshotSpread
	delay := time.Duration(seedOf(c.daemon.settings.Instance) % uint64(spread))
	return now.Sub(c.snapshotAt) >= retention/controlSnapshotAge+delay
}

// snapshot appends a snapshot of the control stream's state if it is this instance's turn.
func (c *control) snapshot(ctx context.Context, now time.Time) {
	c.mu.Lock()
	if c.snapshotAt.IsZero() {
		c.snapshotAt = now
	}
	if !c.lease.Valid(c.now()) || c.buffering || !c.snapshotDue(now) {
		c.mu.Unlock()
		return
	}
	slots, err := c.ownership.Export()
	if err != nil {
		c.mu.Unlock()
		c.daemon.log.Error().Err(err).Msg("the ownership state could not be encoded")
		return
	}
	s := controlSnapshot{Ownership: slots, Next: c.positions[lease.Control], Members: c.members.Export(), Ledger: c.shares.Fold().Export()}
	c.mu.Unlock()
	env, err := record.New(kindControlSnapshot, uuid.NewString(), c.daemon.opts.Incarnation, s)
	if err != nil {
		c.daemon.log.Error().Err(err).Msg("the control state could not be encoded")
		return
	}
	c.appendRecord(ctx, env)
}

// restore takes over a snapshot while records before it are missing, and then the records that were
// read since. It returns the records to fold. The caller holds the lock.
func (c *control) restore(e record.Entry) []record.Entry {
	var s controlSnapshot
	if err := e.Unmarshal(&s); err != nil {
		c.daemon.log.Error().Err(err).Uint64("offset", e.Offset).Msg("a control snapshot could not be read")
		return nil
	}
	if !c.buffering || s.Next < c.bufferedFrom {
		return nil
	}
	if err := c.ownership.Import(s.Ownership); err != nil {
		c.daemon.log.Error().Err(err).Uint64("offset", e.Offset).Msg("a control snapshot could not be read")
		return nil
	}
	c.members.Import(s.Members)
	c.shares.Fold().Import(s.Ledger)
	c.shares.SnapshotImported(c.now())
	c.buffering = false
	kept := c.buffered
	c.buffered = nil
	for len(kept) > 0 && kept[0].Offset < s.Next {
		kept = kept[1:]
	}
	return kept
}

// receive returns the entries to fold: those read, or none while a snapshot is awaited. The caller holds
// the lock.
func (c *control) receive(entries []record.Entry) []record.Entry {
	var out []record.Entry
	for _, e := range entries {
		switch {
		case e.Kind == kindControlSnapshot:
			c.snapshotAt = time.UnixMilli(e.UnixMilli)
			out = append(out, c.restore(e)...)
		case c.buffering:
			c.buffered = append(c.buffered, e)
		default:
			out = append(out, e)
		}
	}
	return out
}
