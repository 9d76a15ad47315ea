// Command turmericctl is the operators' tool: it checks, compares and publishes configurations, changes
// single objects, manages keys and shows the state of the instances.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused because another change was accepted first.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// The exit codes.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run carries out one command and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("turmericctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.register(parser); err != nil {
		a.printf(stderr, "turmericctl: %v\n", err)
		return exitFailed
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		a.printf(stderr, "turmericctl: unexpected argument %q\n", rest[0])
		return exitUsage
	}
	var usage *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		a.printf(stdout, "%s\n", usage.Message)
		return exitDone
	case errors.As(err, &usage):
		a.printf(stderr, "turmericctl: %s\n", usage.Message)
		return exitUsage
	case trace.IsCompareFailed(err):
		a.printf(stderr, "turmericctl: %s\n", trace.UserMessage(err))
		return exitRefused
	}
	if problems := config.ProblemsOf(err); problems != nil {
		a.printf(stderr, "%s\n", problems)
		return exitFailed
	}
	a.printf(stderr, "turmericctl: %s\n", trace.UserMessage(err))
	return exitFailed
}

// usageError returns an error for the exit code of a wrong usage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}
