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

// replica holds the fold of the configuration stream and the configuration in force. Lock order: mu is
// taken before any lock of the packages that it calls.
type replica struct {
	daemon *Daemon

	mu   sync.Mutex
	fold *config.Fold
	// results holds the decisions on the changes that are being submitted, by change id.
	results map[string]config.Result
	// waiting holds a channel for each change that is not decided on yet, by change id. The channel is closed
	// once results holds the decision.
	waiting map[string]chan struct{}

	// current is the configuration in force.
	current atomic.Pointer[config.View]
	// caughtUp is set once the configuration stream has been read up to its tail or a peer's state was imported.
	caughtUp   atomic.Bool
	configTail *tail.Tail
}

// snapshotInterval is how often an instance checks whether it should append a snapshot.
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

// addTo adds the stream's reader and the appender of snapshots to a supervisor.
func (r *replica) addTo(s *suture.Supervisor) {
	s.Add(r.configTail)
	s.Add(r)
}

// Serve appends snapshots when they are due, so that the state of the streams outlives the log's
// retention. It implements suture.Service.
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

// snapshot appends a configuration snapshot if it is this instance's turn. The state may lack the latest
// records of the log; the fold ignores an outdated snapshot.
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
		r.daemon.log.Error().Err(err).Msg("encoding the configuration snapshot failed")
		return
	}
	for _, chunk := range chunks {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := r.configTail.Append(appendCtx, []record.Envelope{chunk})
		cancel()
		if err != nil {
			// The next attempt appends a complete new snapshot.
			r.daemon.control.recordLogFailure()
			return
		}
	}
}

// view returns the configuration in force.
func (r *replica) view() *config.View { return r.current.Load() }

// ConfigState implements peer.State.
func (c *control) ConfigState() ([]byte, error) {
	capture, err := c.daemon.replica.capture()
	if err != nil {
		return nil, err
	}
	return capture.Export()
}

func (r *replica) capture() (config.Capture, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Capture()
}

// importState replaces the configuration with a peer's if that is newer.
func (r *replica) importState(data []byte) error {
	r.mu.Lock()
	changed, results, err := r.fold.Import(data)
	view, next := r.fold.View(), r.fold.Next()
	r.mu.Unlock()
	defer r.notifyWaiters(results)
	if err != nil {
		return err
	}
	r.configTail.SkipTo(next)
	if changed {
		r.publish(view)
	}
	r.caughtUp.Store(true)
	r.daemon.control.recordConfigPosition(next)
	return nil
}

// ready reports whether the configuration stream has been read up to its tail once, or a peer's configuration
// has been imported.
func (r *replica) ready() bool { return r.caughtUp.Load() }

func (r *replica) configGap(first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold.SkipTo(first)
}

func (r *replica) configRecords(entries []record.Entry, next uint64) {
	r.mu.Lock()
	before := r.fold.View()
	results := make([]config.Result, 0, len(entries))
	for _, e := range entries {
		// A read can return several appends, and the tail skips records that cannot be decoded. Without
		// Advance the fold would treat the missing offsets as a gap.
		r.fold.Advance(e.Offset)
		results = append(results, r.fold.Apply(e))
	}
	r.fold.Advance(next)
	after := r.fold.View()
	r.mu.Unlock()
	if after != before {
		r.publish(after)
	}
	r.notifyWaiters(results)
	r.daemon.control.recordConfigPosition(next)
}

// publish puts a new configuration in force.
func (r *replica) publish(v *config.View) {
	r.current.Store(v)
	r.daemon.configChanged(v)
}

// notifyWaiters passes results to the calls that wait for them. It is called after the changes are in force here, since the answer
// to an operator counts this instance as one that confirms the change.
func (r *replica) notifyWaiters(results []config.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, res := range results {
		r.notifyWaiter(res)
	}
}

// notifyWaiter passes the result of a change to the calls that wait for it. The caller holds the lock.
func (r *replica) notifyWaiter(res config.Result) {
	for _, replayed := range res.Replayed {
		r.notifyWaiter(replayed)
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
		r.caughtUp.Store(true)
		r.daemon.control.recordTailRead(lease.Config, asked)
	}
}

func (r *replica) unavailable(err error) {
	r.daemon.log.Debug().Err(err).Msg("reading the log failed")
	r.daemon.control.recordLogFailure()
}
