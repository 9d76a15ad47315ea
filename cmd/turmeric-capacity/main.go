// Command turmeric-capacity measures costs of the control plane at several sizes within this process and prints, for
// the size planned for two years ahead, which costs exceed the budget of a node. Other load on the machine distorts the
// results.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/turmericworks/turmericworks/internal/capacity"
)

type options struct {
	JSON bool `long:"json" description:"print JSON instead of tables"`
}

func run(w io.Writer) error {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		return err
	}
	series, err := capacity.Run()
	if err != nil {
		return err
	}
	r := capacity.Result{Series: series, Costs: capacity.Plan(series, capacity.TwoYearTarget)}
	if o.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	return capacity.Fprint(w, r)
}

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "turmeric-capacity:", err)
		os.Exit(1)
	}
}
