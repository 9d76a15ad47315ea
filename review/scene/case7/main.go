// Command case7 shows what instances do with an entry of another writer that lacks fields.
package main

import (
	"fmt"
	"time"

	"github.com/turmericworks/turmericworks/review/scene"
)

const (
	instances = 3
	// quiet is the time before the entry is written, and total that in which requests are sent.
	quiet, total = 4 * time.Second, 14 * time.Second
	interval     = 25 * time.Millisecond
)

func main() { scene.Main(play) }

// play returns the exit status and the result.
func play(record *scene.Record, trouble bool) (int, string) {
	config := scene.Config([]string{scene.Service}, scene.Route("r-lots", "/lots/", scene.Service, "non_idempotent"))
	f, err := scene.NewFleet(record, config, []string{scene.Service, scene.Service, scene.Service}, instances)
	if err != nil {
		return scene.NotRun, err.Error()
	}
	defer f.Close()
	// Another system of the same firm, which is no worker, has a server of its own: it does what it is asked.
	stranger, err := scene.NewStranger("127.0.1.9")
	if err != nil {
		return scene.NotRun, err.Error()
	}
	if trouble {
		time.AfterFunc(quiet, func() {
			// Version, slots, coldRemainingMs, seq and born are missing.
			entry := map[string]any{"service": scene.Service, "address": stranger.Address, "zone": scene.Zone, "state": "ready"}
			if _, err := f.Store.Put(scene.WorkerTopic, "tool-5", entry); err == nil {
				record.Line("another writer appended servers/tool-5: %v", entry)
			}
		})
	}
	served, lost := 0, 0
	f.Send(total, interval, scene.Lot, func(_ scene.Request, a scene.Answer) {
		if a.Status == 200 {
			served++
		}
		if a.Lost() {
			lost++
		}
	})
	f.RecordRuns()
	foreign := stranger.Runs()
	for _, r := range foreign {
		record.LineAt(r.At, "request %s run by the server at %s, which is no worker; its tenant was %q", r.Attempt, stranger.Address, r.Tenant)
	}
	result := fmt.Sprintf("ROUTE: %d requests run by a server that no configuration names; %d requests served, %d answered 502, 504 or not at all", len(foreign), served, lost)
	switch {
	case len(foreign) > 0:
		return scene.Broken, result
	case served == 0:
		return scene.NotRun, result
	}
	return scene.Held, result
}
