package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"
	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/tail"
)

// replica holds the folds of the log's streams. Lock order: mu is taken before any lock of the
// packages that it calls.
type replica struct {
	daemon *Daemon

	mu      sync.Mutex
	fold    *config.Fold
	results map[string]config.Result
	waiting map[string]chan struct{}

	current    atomic.Pointer[config.View]
	folded     atomic.Bool
	configTail *tail.Tail
}

// snapshotInterval is how often an instance asks whether it should append a snapshot.
const snapshotInterval = 10 * time.Second

func newReplica(d *Daemon) *replica {
	r := &replica{
		daemon: d, fold: config.NewFold(), results: map[string]config.Result{}, waiting: map[string]chan struct{}{},
	}
	r.current.Store(r.fold.View())
	r.configTail = tail.New(d.platformLog, platform.StreamConfig, 0, tail.Handlers{
		Records: r.configRecords, Gap: r.configGap, AtTail: r.configAtTail, Unavailable: r.unavailable,
	})
	return r
}

// addTo starts the tails under a supervisor.
func (r *replica) addTo(s *suture.Supervisor) {
	s.Add(r.configTail)
	s.Add(r)
}

// Serve appends snapshots when they are due, so that the configuration outlives the log's retention. It
// implements suture.Service.
func (r *replica) Serve(ctx context.Context) error {
	t := time.NewTicker(snapshotInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			r.snapshot(ctx, now)
			r.daemon.control.snapshot(ctx, now)
		}
	}
}

// snapshot appends a configuration snapshot if it is this instance's turn. Without the log's last records
// the state may be old; the fold ignores a snapshot that is.
func (r *replica) snapshot(ctx context.Context, now time.Time) {
	s := r.daemon.settings
	r.mu.Lock()
	due, ok := r.fold.SnapshotDue(s.Instance, s.Platform.Retention())
	if !ok || now.Before(due) || !r.daemon.control.valid() {
		r.mu.Unlock()
		return
	}
	capture, err := r.fold.Capture()
	r.mu.Unlock()
	var chunks []record.Envelope
	if err == nil {
		chunks, err = capture.Snapshot(uuid.NewString(), r.daemon.opts.Incarnation)
	}
	if err != nil {
		r.daemon.log.Error().Err(err).Msg("the configuration could not be encoded")
		return
	}
	for _, chunk := range chunks {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := r.configTail.Append(appendCtx, []record.Envelope{chunk})
		cancel()
		if err != nil {
			// The next turn appends a whole new snapshot.
			r.daemon.control.logFailed()
			return
		}
	}
}

// view returns the configuration in force.
func (r *replica) view() *config.View { return r.current.Load() }

// ConfigState implements peer.State.
func (c *control) ConfigState() ([]byte, error) {
	r := c.daemon.replica
	r.mu.Lock()
	capture, err := r.fold.Capture()
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return capture.Export()
}

// restore takes over a peer's configuration if it is newer.
func (r *replica) restore(data []byte) error {
	r.mu.Lock()
	changed, results, err := r.fold.Import(data)
	for _, res := range results {
		r.settle(res)
	}
	view, next := r.fold.View(), r.fold.Next()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	r.configTail.SkipTo(next)
	if changed {
		r.publish(view)
	}
	r.folded.Store(true)
	r.daemon.control.configRead(next)
	return nil
}

// ready reports whether the configuration was read up to the tail once.
func (r *replica) ready() bool { return r.folded.Load() }

func (r *replica) configGap(first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold.SkipTo(first)
}

func (r *replica) configRecords(entries []record.Entry, next uint64) {
	r.mu.Lock()
	before := r.fold.View()
	for _, e := range entries {
		// One read can return several appends, and the tail skips records that nobody can decode:
		// without this the fold would take the next offset for a gap.
		r.fold.Advance(e.Offset)
		r.settle(r.fold.Apply(e))
	}
	r.fold.Advance(next)
	after := r.fold.View()
	r.mu.Unlock()
	if after != before {
		r.publish(after)
	}
	r.daemon.control.configRead(next)
}

// publish puts a new configuration in force.
func (r *replica) publish(v *config.View) {
	r.current.Store(v)
	r.daemon.configChanged(v)
}

// settle wakes whoever waits for the result of a change. The caller holds the lock.
func (r *replica) settle(res config.Result) {
	for _, replayed := range res.Replayed {
		r.settle(replayed)
	}
	done := r.waiting[res.Change.ID]
	if done == nil || res.Outcome == config.Buffered {
		return
	}
	r.results[res.Change.ID] = res
	close(done)
	delete(r.waiting, res.Change.ID)
}

func (r *replica) configAtTail(asked time.Time, _ uint64) {
	r.mu.Lock()
	ready := r.fold.Ready()
	r.mu.Unlock()
	if ready {
		r.folded.Store(true)
		r.daemon.control.readTail(lease.Config, asked)
	}
}

func (r *replica) unavailable(err error) {
	r.daemon.log.Debug().Err(err).Msg("reading the log failed")
	r.daemon.control.logFailed()
}
