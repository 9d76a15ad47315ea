// Command case10 shows to which service a request goes whose path has an encoded slash.
package main

import (
	"fmt"
	"time"

	"github.com/turmericworks/turmericworks/review/scene"
)

const (
	instances = 2
	total     = 5 * time.Second
	interval  = 50 * time.Millisecond
	archive   = "lot-archive"
)

func main() { scene.Main(play) }

// play returns the exit status and the result.
func play(record *scene.Record, trouble bool) (int, string) {
	config := scene.Config([]string{scene.Service, archive},
		scene.Route("r-lots", "/lots/", scene.Service, "idempotent"), scene.Route("r-archive", "/lots/archive/", archive, "idempotent"))
	f, err := scene.NewFleet(record, config, []string{scene.Service, archive}, instances)
	if err != nil {
		return scene.NotRun, err.Error()
	}
	defer f.Close()
	// The lot has the name archive/N, which a client writes as archive%2FN.
	name := "/lots/lot-%d"
	if trouble {
		name = "/lots/archive%%2F%d"
	}
	served := 0
	f.Send(total, interval, func(n int) scene.Request {
		return scene.Request{Method: "GET", Host: scene.Host, Path: fmt.Sprintf(name, n), Key: scene.Key, Deadline: 600 * time.Millisecond}
	}, func(_ scene.Request, a scene.Answer) {
		if a.Status == 200 {
			served++
		}
	})
	f.RecordRuns()
	foreign := 0
	for _, w := range f.Workers {
		if w.Service == archive {
			foreign += len(w.Runs())
		}
	}
	result := fmt.Sprintf("ROUTE: %d requests for paths that begin with /lots/ and not with /lots/archive/ run by %s; %d requests served", foreign, archive, served)
	switch {
	case foreign > 0:
		return scene.Broken, result
	case served == 0:
		return scene.NotRun, result
	}
	return scene.Held, result
}
