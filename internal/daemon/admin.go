package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/coordination/membership"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
)

const (
	// changeRetryInterval is how long to wait for an appended change to be read back before it is appended
	// again.
	changeRetryInterval = time.Second
	// confirmTimeout is how long a publication waits for the live instances to put it in force: the time
	// within which a configuration must be in force everywhere.
	confirmTimeout = 5 * time.Second
)

// adminDaemon implements admin.Daemon.
type adminDaemon struct{ *Daemon }

// View implements admin.Daemon.
func (d *adminDaemon) View() *config.View { return d.replica.view() }

// Publish implements admin.Daemon. If the response is lost, a repeated call with the same id returns the
// first call's result.
func (d *adminDaemon) Publish(ctx context.Context, id string, c config.Change) (admin.ChangeResponse, error) {
	result, err := d.replica.submitChange(ctx, id, c)
	if err != nil {
		return admin.ChangeResponse{}, err
	}
	switch {
	case result.Refusal != nil:
		return admin.ChangeResponse{Version: result.Refusal.Current, Refusal: admin.NewRefusal(*result.Refusal)}, nil
	case result.Change.Version == 0:
		return admin.ChangeResponse{}, trace.BadParameter("the change was not accepted: %v", result.Err)
	}
	response := admin.ChangeResponse{Accepted: true, Version: result.Change.Version}
	confirm, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	waitUntil(confirm, func() bool {
		response.ConfirmedBy, response.Unconfirmed = d.control.confirmations(uint64(response.Version))
		return len(response.Unconfirmed) == 0
	})
	return response, nil
}

// Status implements admin.Daemon.
func (d *adminDaemon) Status(context.Context) (admin.StatusResponse, error) {
	ready := d.ready() == nil
	return admin.StatusResponse{Instances: d.control.status(ready, d.replica.view().Version())}, nil
}

// submitChange appends a change, repeatedly if necessary, until the fold has decided on it.
func (r *replica) submitChange(ctx context.Context, id string, c config.Change) (config.Result, error) {
	env, err := config.NewChange(id, r.daemon.opts.Incarnation, c)
	if err != nil {
		return config.Result{}, trace.Wrap(err)
	}
	done, earlier := r.awaitDecision(id)
	if earlier != nil {
		return *earlier, nil
	}
	defer r.forgetChange(id)
	for {
		appendCtx, cancel := context.WithTimeout(ctx, changeRetryInterval)
		// After an error the record may be in the log all the same; the fold decides.
		_, appendErr := r.configTail.Append(appendCtx, []record.Envelope{env})
		cancel()
		t := time.NewTimer(changeRetryInterval)
		select {
		case <-done:
			t.Stop()
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.results[id], nil
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return config.Result{}, trace.ConnectionProblem(appendErr, "the change may have taken effect; send it again with the same id")
		}
	}
}

// awaitDecision returns a channel that is closed when the fold has decided on the change. If an earlier
// record with the id was accepted and is in force, it returns that result instead.
func (r *replica) awaitDecision(id string) (<-chan struct{}, *config.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A change that the fold has accepted but that is not in force yet is still to be awaited.
	if ref, ok := r.view().RecentChange(id); ok && ref.Version > 0 {
		return nil, &config.Result{Outcome: config.Accepted, Change: ref}
	}
	done := r.waiting[id]
	if done == nil {
		done = make(chan struct{})
		r.waiting[id] = done
	}
	return done, nil
}

func (r *replica) forgetChange(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
	delete(r.results, id)
}

// confirmations splits the live instances by whether they have a configuration version in force.
func (c *control) confirmations(version uint64) (confirmed, unconfirmed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmed = append(confirmed, c.daemon.settings.Instance)
	for _, p := range c.view.Peers(c.now()) {
		switch {
		case p.Status == membership.Dead || p.Incarnation == "":
		case c.peerStates[p.Instance].config >= version:
			confirmed = append(confirmed, p.Instance)
		default:
			unconfirmed = append(unconfirmed, p.Instance)
		}
	}
	return confirmed, unconfirmed
}

// status returns the known state of every instance.
func (c *control) status(ready bool, version config.Version) []admin.InstanceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out := []admin.InstanceStatus{{
		ID: c.daemon.settings.Instance, DataCentre: c.daemon.settings.DataCentre, Incarnation: c.daemon.opts.Incarnation,
		ConfigVersion: version, Ready: ready, LeaseValid: c.lease.Valid(now),
	}}
	for _, p := range c.view.Peers(now) {
		state := c.peerStates[p.Instance]
		live := p.Status == membership.Live
		out = append(out, admin.InstanceStatus{
			ID: p.Instance, DataCentre: p.DataCentre, Incarnation: p.Incarnation, ConfigVersion: config.Version(state.config),
			Ready: live && state.ready, LeaseValid: live && state.leaseValid,
		})
	}
	return out
}
