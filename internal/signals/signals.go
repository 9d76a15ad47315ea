// Package signals receives the signals of a daemon. It begins when the packages of the program are initialized: until then the
// runtime ends the process at a signal, and a daemon's packages take longer to initialize than this one, which imports few others.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

const (
	// stopSignals is the number of stop signals that are kept until they are received. The first may start a drain and
	// the second end it; further ones mean nothing.
	stopSignals = 2
	// rereadSignals is the number of signals to read the settings again that are kept: one read answers all of them.
	rereadSignals = 1
)

// The two kinds have channels of their own, so that signals of one kind do not take the place of the other: the runtime drops
// a signal whose channel is full.
var (
	stop   = notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	reread = notify(rereadSignals, syscall.SIGHUP)
)

func init() {
	// The runtime raises SIGPIPE if the reader of standard output or standard error has ended.
	signal.Ignore(syscall.SIGPIPE)
}

func notify(kept int, sigs ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, kept)
	signal.Notify(c, sigs...)
	return c
}

// Stop receives the first two requests to stop.
func Stop() <-chan os.Signal { return stop }

// Reread receives SIGHUP, which asks a daemon to read its settings again. Several signals may be received as one.
func Reread() <-chan os.Signal { return reread }
