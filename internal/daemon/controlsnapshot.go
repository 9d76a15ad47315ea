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

// kindControlSnapshot is the kind of records that hold the control stream's state, so that it outlives the
// log's retention.
const kindControlSnapshot record.Kind = "control_snapshot"

// controlSnapshot is the state of the folds of the control stream at one offset.
type controlSnapshot struct {
	// Next is the offset after the last record that the snapshot covers.
	Next    uint64           `json:"next"`
	Members members.Snapshot `json:"members"`
	Ledger  ledger.Snapshot  `json:"ledger"`
	// Ownership is the exported fold of engine claims and orders.
	Ownership json.RawMessage `json:"ownership"`
}

// The log's retention divided by controlSnapshotAgeDivisor is the age of the newest snapshot at which the next
// one is due. The retention divided by controlSnapshotSpreadDivisor is the range of the instances' delays.
// Configuration snapshots have the same schedule.
const (
	controlSnapshotAgeDivisor    = 4
	controlSnapshotSpreadDivisor = 16
)

// snapshotDue reports whether this instance should append a snapshot now. Once the newest snapshot is old
// enough, each instance waits for a delay of its own, so that it usually reads another instance's snapshot
// before its own is due. The caller holds the lock.
func (c *control) snapshotDue(now time.Time) bool {
	retention := c.daemon.settings.Platform.Retention()
	spread := retention / controlSnapshotSpreadDivisor
	delay := time.Duration(seedOf(c.daemon.settings.Instance) % uint64(spread))
	return now.Sub(c.snapshotAt) >= retention/controlSnapshotAgeDivisor+delay
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
	ownership, err := c.ownership.Export()
	if err != nil {
		c.mu.Unlock()
		c.daemon.log.Error().Err(err).Msg("encoding the ownership state of the control snapshot failed")
		return
	}
	s := controlSnapshot{Ownership: ownership, Next: c.positions[lease.Control], Members: c.members.Export(), Ledger: c.shares.Fold().Export()}
	c.mu.Unlock()
	env, err := record.New(kindControlSnapshot, uuid.NewString(), c.daemon.opts.Incarnation, s)
	if err != nil {
		c.daemon.log.Error().Err(err).Msg("encoding the control snapshot failed")
		return
	}
	c.appendRecord(ctx, env)
}

// restore imports a snapshot while the records before it are missing. It returns the buffered records that
// the snapshot does not cover, which are to be folded next. The caller holds the lock.
func (c *control) restore(e record.Entry) []record.Entry {
	var s controlSnapshot
	if err := e.Unmarshal(&s); err != nil {
		c.daemon.log.Error().Err(err).Uint64("offset", e.Offset).Msg("decoding a control snapshot failed")
		return nil
	}
	if !c.buffering || s.Next < c.bufferedFrom {
		return nil
	}
	if err := c.ownership.Import(s.Ownership); err != nil {
		c.daemon.log.Error().Err(err).Uint64("offset", e.Offset).Msg("importing the ownership state of a control snapshot failed")
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

// entriesToFold returns the entries to apply to the folds: the ones read, or none while the state waits
// for a snapshot. The caller holds the lock.
func (c *control) entriesToFold(entries []record.Entry) []record.Entry {
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
