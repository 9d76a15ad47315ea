package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/event"
)

// eventCapacity is how many events an instance keeps: about three minutes at 43 requests a second with two
// events each.
const eventCapacity = 16_384

// events records the events of this instance for the timeline.
type events struct{ recorder *event.Recorder }

func newEvents(s Settings) *events {
	return &events{recorder: event.NewRecorder(s.Instance, s.DataCentre, eventCapacity)}
}

func (e *events) record(ev event.Event) { e.recorder.Append(ev, time.Now()) }

// hlcNow returns the hybrid logical clock's time for an outgoing message.
func (e *events) hlcNow() uint64 { return uint64(e.recorder.Now(time.Now())) }

// observeHLC advances the clock to the time of a received message. A time too far in the future is
// ignored.
func (e *events) observeHLC(remote uint64) { _ = e.recorder.Observe(event.HLC(remote), time.Now()) }

// ServeHTTP returns the events that the query parameters request_id, workspace, adapter and engine select.
func (e *events) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	list := e.recorder.Events(event.Filter{
		RequestID: q.Get("request_id"), Workspace: q.Get("workspace"), Adapter: q.Get("adapter"), Engine: q.Get("engine"),
	})
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}

// recordLeaseChange records and logs a change of the freshness lease.
func (d *Daemon) recordLeaseChange(valid bool) {
	code := "lost"
	if valid {
		code = "obtained"
	}
	d.events.record(event.Event{Kind: event.Lease, Code: code})
	d.log.Info().Bool("valid", valid).Msg("freshness lease changed")
}
