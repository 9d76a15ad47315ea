// Package program implements what all commands share: parsing the command line, printing errors and exit codes.
package program

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// The exit codes of a failed run and of an invalid command line.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main parses the command line into a new O and calls run with it. If run fails, it prints the error's user message to
// standard error. It exits the process if the command line is invalid or run fails.
func Main[O any](run func(O) error) {
	var o O
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		// Parse has already printed the error.
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitFailed)
	}
}
