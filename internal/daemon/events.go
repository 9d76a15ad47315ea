package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/event"
)

// eventRing is how many events an instance keeps: at 43 requests a second, two events each, about three
// minutes.
const eventRing = 16_384

// events is the instance's part of the timeline.
type events struct{ recorder *event.Recorder }

func newEvents(s Settings) *events {
	return &events{recorder: event.NewRecorder(s.Instance, s.DataCentre, eventRing)}
}

func (e *events) record(ev event.Event) { e.recorder.Append(ev, time.Now()) }

// now returns the time for an outgoing message.
func (e *events) now() uint64 { return uint64(e.recorder.Now(time.Now())) }

// observe takes over the time of a received message. A time too far ahead is ignored.
func (e *events) observe(remote uint64) { _ = e.recorder.Observe(event.HLC(remote), time.Now()) }

// ServeHTTP returns the events that the query selects: request_id, workspace, adapter, engine.
func (e *events) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	list := e.recorder.Events(event.Filter{
		RequestID: q.Get("request_id"), Workspace: q.Get("workspace"), Adapter: q.Get("adapter"), Engine: q.Get("engine"),
	})
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(list)
}

// leaseEvent records a change of the freshness lease.
func (d *Daemon) leaseEvent(valid bool) {
	code := "lost"
	if valid {
		code = "obtained"
	}
	d.events.record(event.Event{Kind: event.Lease, Code: code})
	d.log.Info().Bool("valid", valid).Msg("freshness lease changed")
}
