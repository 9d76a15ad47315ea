// Command rausu prints the example configuration of a kelp drying firm: 3,000 adapters, nine engines and three servers of
// the rack application in three data centres of Nemuro.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/turmericworks/turmericworks/operator"
)

const baseModel = "kelp-base-8b"

var dataCentres = []string{"nemuro-a", "nemuro-b", "nemuro-c"}

// crews lists the workspaces. The first three own nine tenths of the adapters.
var crews = []struct {
	id       string
	adapters int
	rate     float64 // tokens per second
}{
	{"day-crew", 1100, 30_000},
	{"afternoon-crew", 900, 30_000},
	{"buyer-quality", 700, 20_000},
	{"harvest-office", 200, 5_000},
	{"maintenance", 100, 2_000},
}

// burstSeconds is the burst size of each workspace as a multiple of its rate in tokens per second.
const burstSeconds = 20

func main() {
	if err := build().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func build() *operator.Config {
	c := operator.New()
	c.WeightStore(4, 1, 8).Policy(1, 0.2)
	workspaces := map[string]*operator.Workspace{}
	for _, crew := range crews {
		w := c.Workspace(crew.id, crew.rate, burstSeconds*crew.rate)
		workspaces[crew.id] = w
		for i := range crew.adapters {
			addAdapter(w, crew.id, i)
		}
	}
	office := workspaces["harvest-office"]
	office.Route("log-lot", "rack-app").NonIdempotent().Deadline(15 * time.Second)
	office.Route("lot-status", "rack-app").Deadline(5 * time.Second)
	for i := range 9 {
		e := c.Engine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("http://10.20.%d.%d:8000", i%3, 10+i), dataCentres[i%3], baseModel, 8)
		// The last third of the engines run an older release that ignores the fencing token.
		if i < 6 {
			e.ChecksFence().EvictsOnlyIdle()
		}
	}
	for i, dc := range dataCentres {
		c.Service(fmt.Sprintf("rack-%d", i), fmt.Sprintf("http://10.20.%d.50:8080", i), dc, "rack-app")
	}
	return c
}

// addAdapter adds adapter i of a workspace. The settings cycle through three uses: shift summaries, quality notes and
// rack helpers.
func addAdapter(w *operator.Workspace, crew string, i int) {
	name := fmt.Sprintf("%s-%04d", crew, i)
	switch i % 3 {
	case 0:
		w.Adapter(name, baseModel, "v1").Batch().Deadline(8 * time.Hour).Worth(3)
	case 1:
		w.Adapter(name, baseModel, "v1", "v2").Batch().Deadline(2 * time.Hour).Worth(2)
	default:
		w.Adapter(name, baseModel, "v1", "v2", "v3").Interactive()
	}
}
