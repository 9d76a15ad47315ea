// Command turmeric-timeline merges the timeline events of several instances in causal order and prints
// them as text, JSON or one self-contained HTML page.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that at least one source could not be read or nothing could be written.
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Request   string  `long:"request" description:"only events of this request id"`
	Workspace string  `long:"workspace" description:"only events of this workspace"`
	Adapter   string  `long:"adapter" description:"only events of this adapter, as name or name@version"`
	Engine    string  `long:"engine" description:"only events of this backend server"`
	Format    string  `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"form of the output"`
	Output    string  `long:"output" description:"file to write, instead of standard output"`
	TokenFile string  `long:"token-file" env:"TURMERIC_TOKEN_FILE" description:"file with an operator token, for instances given by URL"`
	Timeout   float64 `long:"timeout" default:"10" description:"longest time for one instance, in seconds"`
	Args      struct {
		Sources []string `positional-arg-name:"SOURCE" required:"1" description:"file with a JSON list of events, - for standard input, or URL of an instance"`
	} `positional-args:"yes"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run prints the events that it can read even if a source fails, since an instance that does not answer is often the
// reason to look at the timeline. It returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return printError(stdout, err, exitOK)
		}
		return printError(stderr, err, exitUsage)
	}
	code := exitOK
	filter := event.Filter{RequestID: o.Request, Workspace: o.Workspace, Adapter: o.Adapter, Engine: o.Engine}
	var lists [][]event.Event
	for i, r := range readSources(o, stdin) {
		if r.err != nil {
			code = printError(stderr, trace.Wrap(r.err, "reading %s", o.Args.Sources[i]), exitFailed)
			continue
		}
		lists = append(lists, event.Select(r.events, filter))
	}
	if err := writeOutput(o, event.Merge(lists...), stdout); err != nil {
		return printError(stderr, err, exitFailed)
	}
	return code
}

func printError(w io.Writer, err error, code int) int {
	// A failed write of the message cannot be reported anywhere.
	_, _ = fmt.Fprintln(w, trace.UserMessage(err))
	return code
}

func writeOutput(o options, events []event.Event, stdout io.Writer) (err error) {
	w := stdout
	if o.Output != "" {
		f, err := os.Create(o.Output)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := render(f, o.Format, events); err != nil {
			return trace.NewAggregate(err, f.Close())
		}
		return trace.ConvertSystemError(f.Close())
	}
	return render(w, o.Format, events)
}
