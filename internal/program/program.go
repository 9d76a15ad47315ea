// Package program is the frame of a program: command line, error output and exit codes.
package program

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main parses the command line into a new O and runs the program with it. It prints an error in the words meant for
// users. It does not return after a wrong command line or an error of run.
func Main[O any](run func(O) error) {
	var o O
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		// Parse has printed the error.
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitFailed)
	}
}
