// Command glenbrae prints the example configuration of a seed packet printer: 3,000 adapters, eighteen engines and four
// servers of the order counter service in four data centres of central Scotland.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/turmericworks/turmericworks/operator"
)

const baseModel = "seed-base-8b"

var dataCentres = []string{"central-a", "central-b", "central-c", "central-d"}

// offices lists the workspaces. The first three, the print works, own most of the adapters.
var offices = []struct {
	id       string
	adapters int
	rate     float64 // tokens per second
	worth    float64
}{
	{"perth", 1200, 60_000, 2},
	{"forfar", 900, 40_000, 2},
	{"dumfries", 700, 40_000, 2},
	{"merchants", 150, 10_000, 5},
	{"counter", 50, 5_000, 10},
}

// burstSeconds is the burst size of each workspace as a multiple of its rate in tokens per second.
const burstSeconds = 30

func main() {
	if err := build().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func build() *operator.Config {
	c := operator.New()
	c.WeightStore(7, 3, 24).Policy(0.3, 1)
	var workspace *operator.Workspace
	for _, o := range offices {
		workspace = c.Workspace(o.id, o.rate, burstSeconds*o.rate).Weight(o.worth)
		for i := range o.adapters {
			addAdapter(workspace, o.id, i, o.worth)
		}
	}
	// The last workspace is "counter", which owns the routes.
	workspace.Route("print-order", "order-counter").NonIdempotent().Tokens(10).Deadline(20 * time.Second)
	workspace.Route("order-status", "order-counter").Deadline(5 * time.Second)
	workspace.Route("opening-hours", "order-counter").Open().Deadline(5 * time.Second)
	for i := range 18 {
		e := c.Engine(fmt.Sprintf("engine-%02d", i), fmt.Sprintf("http://10.30.%d.%d:8000", i%4, 10+i), dataCentres[i%4], baseModel, 8)
		// The last two engines run an older release that ignores the fencing token.
		if i < 16 {
			e.ChecksFence().EvictsOnlyIdle()
		}
	}
	for i, dc := range dataCentres {
		c.Service(fmt.Sprintf("counter-%d", i), fmt.Sprintf("http://10.30.%d.50:8080", i), dc, "order-counter")
	}
	return c
}

// addAdapter adds adapter i of a workspace. The settings cycle through three uses: artwork queries, variety blurbs and
// sowing instructions.
func addAdapter(w *operator.Workspace, office string, i int, worth float64) {
	name := fmt.Sprintf("%s-%04d", office, i)
	switch i % 3 {
	case 0:
		w.Adapter(name, baseModel, "v1", "v2").Interactive().Deadline(time.Minute).Worth(worth)
	case 1:
		w.Adapter(name, baseModel, "v1").Deadline(10 * time.Minute).Worth(2 * worth)
	default:
		w.Adapter(name, baseModel, "v1", "v2", "v3").Batch().Deadline(time.Hour).Worth(worth)
	}
}
