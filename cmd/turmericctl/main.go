// Command turmericctl is the command-line tool for operators: it validates, checks, compares and publishes configurations,
// changes single objects, manages keys and shows the state of the instances.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage, 3 change refused because another change was accepted first.
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

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("turmericctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.registerCommands(parser); err != nil {
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
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		a.printf(stdout, "%s\n", usage.Message)
		return exitOK
	case errors.As(err, &usage):
		a.printf(stderr, "turmericctl: %s\n", usage.Message)
		return exitUsage
	case trace.IsCompareFailed(err):
		a.printf(stderr, "turmericctl: %s\n", trace.UserMessage(err))
		return exitConflict
	}
	if problems := config.ProblemsOf(err); problems != nil {
		a.printf(stderr, "%s\n", problems)
		return exitFailed
	}
	a.printf(stderr, "turmericctl: %s\n", trace.UserMessage(err))
	return exitFailed
}

// usageError returns an error that makes the program exit with exitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}
