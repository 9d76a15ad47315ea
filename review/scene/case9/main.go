// Command case9 shows what instances know of workers while another writer appends long entries that cannot be read.
package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/turmericworks/turmericworks/review/scene"
)

const (
	instances = 3
	// An entry of another writer has entryBytes and comes each entryInterval, from quiet on.
	quiet         = 2 * time.Second
	entryBytes    = 100 << 10
	entryInterval = 500 * time.Millisecond
	// A worker reports at drainAt that it drains, and exits linger after that.
	drainAt, linger = 16 * time.Second, 5 * time.Second
	total           = 32 * time.Second
	interval        = 25 * time.Millisecond
	// The worker that leaves takes long for a request, so that some are at work when it exits.
	work = 250 * time.Millisecond
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
	if trouble {
		go writeEntries(f)
	}
	leaving := f.Workers[0]
	leaving.Work = work
	acknowledged := make(chan time.Time, 1)
	time.AfterFunc(drainAt, func() { leave(f, leaving, acknowledged) })
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
	bound := (<-acknowledged).Add(scene.DrainBound)
	late := 0
	var last time.Duration
	for _, r := range leaving.Runs() {
		if r.At.After(bound) {
			late++
			last = max(last, r.At.Sub(bound))
		}
	}
	result := fmt.Sprintf("DRAIN: %d requests reached the draining worker after drainMs, the last one %.1f s after it; %d requests served, %d answered 502, 504 or not at all",
		late, last.Seconds(), served, lost)
	switch {
	case late > 0:
		return scene.Broken, result
	case served == 0:
		return scene.NotRun, result
	}
	return scene.Held, result
}

// writeEntries appends an entry that cannot be read at intervals.
func writeEntries(f *scene.Fleet) {
	time.Sleep(quiet)
	for {
		f.Store.PutBytes(scene.WorkerTopic, "tool-5", bytes.Repeat([]byte{0xfe}, entryBytes))
		f.Record.Line("another writer appended servers/tool-5, %d bytes that cannot be read", entryBytes)
		time.Sleep(entryInterval)
	}
}

// leave lets a worker drain and exit.
func leave(f *scene.Fleet, w *scene.Worker, acknowledged chan<- time.Time) {
	at, err := w.Drain()
	if err != nil {
		return
	}
	f.Record.LineAt(at, "the store has accepted that worker %s drains", w.ID)
	acknowledged <- at
	time.Sleep(linger)
	if err := w.Exit(); err == nil {
		f.Record.Line("worker %s has exited", w.ID)
	}
}
