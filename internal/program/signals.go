package program

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

// Signals are the signals that a daemon has received. The two kinds have channels of their own, so that signals of one
// kind do not take the place of the other: the runtime drops a signal whose channel is full.
type Signals struct {
	stop, reread chan os.Signal
}

// NotifySignals begins to receive signals. A daemon must call it first in main: until then, signals end the process. It
// ignores SIGPIPE, which the runtime otherwise raises if the reader of standard output or standard error has ended.
func NotifySignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, stopSignals), reread: make(chan os.Signal, rereadSignals)}
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	return s
}

// Stop receives the first two requests to stop.
func (s *Signals) Stop() <-chan os.Signal { return s.stop }

// Reread returns a channel that receives SIGHUP. Several signals may be received as one. Without a call, SIGHUP ends the
// process.
func (s *Signals) Reread() <-chan os.Signal {
	signal.Notify(s.reread, syscall.SIGHUP)
	return s.reread
}
