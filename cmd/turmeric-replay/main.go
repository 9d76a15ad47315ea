// Command turmeric-replay simulates the placement decisions on a synthetic workload in virtual time and
// prints the results of each policy.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/turmericworks/turmericworks/internal/replay"
)

type options struct {
	Deployment string  `long:"deployment" default:"all" choice:"all" choice:"rausu" choice:"glenbrae" description:"deployment whose sizes are used"`
	Mode       string  `long:"mode" default:"all" choice:"all" choice:"steady" choice:"shift" choice:"overload" description:"steady skew, a shift of popularity, or one workspace at five times its rate"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the workload, faults and decisions"`
	Skew       float64 `long:"skew" default:"1.1" description:"exponent of the Zipf popularity"`
	Batched    float64 `long:"batched" default:"0" description:"part of the adapters whose requests are of class batch"`
	Plot       string  `long:"plot" description:"also write the table as a plot to this PNG file"`
}

func (o options) cases() []replay.Case {
	var out []replay.Case
	for _, c := range []replay.Case{replay.Rausu(o.Seed), replay.Glenbrae(o.Seed)} {
		if o.Deployment != "all" && o.Deployment != c.Name {
			continue
		}
		c.Skew = o.Skew
		if o.Batched > 0 {
			c = c.Mixed()
			c.BatchFraction = o.Batched
		}
		if o.Mode == "all" || o.Mode == "steady" {
			out = append(out, c)
		}
		if o.Mode == "all" || o.Mode == "shift" {
			out = append(out, c.Shifting())
		}
		if o.Mode == "all" || o.Mode == "overload" {
			out = append(out, c.Overloaded())
		}
	}
	return out
}

func run() error {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		return err
	}
	var all []replay.Table
	for _, c := range o.cases() {
		t := replay.Table{Case: c, Results: replay.Run(c)}
		if err := replay.Fprint(os.Stdout, t); err != nil {
			return err
		}
		all = append(all, t)
	}
	if o.Plot != "" {
		return replay.Plot(o.Plot, all)
	}
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "turmeric-replay:", err)
		os.Exit(1)
	}
}
