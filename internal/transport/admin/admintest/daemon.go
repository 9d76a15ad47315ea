// Package admintest provides an entry daemon in memory for tests of the operators' API and its clients. It
// applies changes with the real fold of the configuration, but has only one instance and no network.
package admintest

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
)

// Daemon implements admin.Daemon. It is safe for concurrent use.
type Daemon struct {
	mu   sync.Mutex
	fold *config.Fold
	// lostResponses is how many of the next publications take effect but return an error.
	lostResponses int
	// beforeNextPublish runs once before the next publication, unless it is nil.
	beforeNextPublish func()
	// appends counts the published changes.
	appends int
}

// New returns a daemon with an empty configuration.
func New() *Daemon { return &Daemon{fold: config.NewFold()} }

// LoseResponses makes the next n publications take effect but return an error.
func (d *Daemon) LoseResponses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostResponses = n
}

// BeforeNextPublish runs f once just before the next publication reaches the log.
func (d *Daemon) BeforeNextPublish(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beforeNextPublish = f
}

// Appends returns the number of changes that were appended to the log.
func (d *Daemon) Appends() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.appends
}

// View implements admin.Daemon.
func (d *Daemon) View() *config.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.View()
}

// Publish implements admin.Daemon.
func (d *Daemon) Publish(_ context.Context, id string, c config.Change) (admin.ChangeResponse, error) {
	d.mu.Lock()
	before := d.beforeNextPublish
	d.beforeNextPublish = nil
	d.mu.Unlock()
	if before != nil {
		before()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e, err := config.NewChange(id, "memory", c)
	if err != nil {
		return admin.ChangeResponse{}, trace.Wrap(err)
	}
	r := d.fold.Apply(record.Entry{Offset: d.fold.Next(), UnixMilli: 1, Envelope: e})
	d.fold.Advance(d.fold.Next() + 1)
	d.appends++
	if d.lostResponses > 0 {
		d.lostResponses--
		return admin.ChangeResponse{}, trace.ConnectionProblem(nil, "the log gave no answer")
	}
	switch {
	case r.Outcome == config.Refused:
		return admin.ChangeResponse{Version: r.Refusal.Current, Refusal: admin.NewRefusal(*r.Refusal)}, nil
	case r.Change.Version > 0:
		return admin.ChangeResponse{Accepted: true, Version: r.Change.Version, ConfirmedBy: []string{"memory"}}, nil
	}
	return admin.ChangeResponse{}, trace.BadParameter("the change was not accepted: %v", r.Err)
}

// Status implements admin.Daemon.
func (d *Daemon) Status(context.Context) (admin.StatusResponse, error) {
	return admin.StatusResponse{Instances: []admin.InstanceStatus{{
		ID: "memory", DataCentre: "here", Incarnation: "1", ConfigVersion: d.View().Version(), Ready: true, LeaseValid: true,
	}}}, nil
}
