// Command turmericd is the daemon of one instance: it serves callers and forwards their requests to
// backend servers.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/turmericworks/turmericworks/internal/daemon"
	"github.com/turmericworks/turmericworks/internal/embedded"
	"github.com/turmericworks/turmericworks/internal/program"
	"github.com/turmericworks/turmericworks/internal/signals"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

type options struct {
	Settings      string `long:"settings" description:"file with the settings (JSON)"`
	Check         bool   `long:"check" description:"check the settings, print every fault and exit"`
	PrintDefaults bool   `long:"print-defaults" description:"print the default settings and exit"`
	Embedded      bool   `long:"embedded" description:"run stand-ins for the platform and the backend servers in this process"`
	KeyDir        string `long:"key-dir" description:"with --embedded: directory for the files caller.key and operator.token" default:"."`
}

func main() {
	program.Main(run)
}

func run(o options) error {
	switch {
	case o.PrintDefaults:
		return printDefaults()
	case o.Embedded:
		return serveEmbedded(o)
	case o.Settings == "":
		return trace.BadParameter("--settings or --embedded is needed")
	}
	data, err := os.ReadFile(o.Settings)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := daemon.ParseSettings(data)
	if err != nil || o.Check {
		return err
	}
	return serve(s, network.TCP{}, nil)
}

func printDefaults() error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(daemon.DefaultSettings()))
}

// serveEmbedded runs the daemon for a user at a terminal, whose end stops it.
func serveEmbedded(o options) error {
	e, err := embedded.Start(network.TCP{}, o.KeyDir)
	if err != nil {
		return err
	}
	defer e.Close()
	return serve(e.Settings, network.TCP{}, signals.Reread())
}

// serve runs the daemon. The first signal to stop starts a drain, the second stops the daemon at once, as a signal from hangUps
// does; nil for none.
func serve(s daemon.Settings, n network.Network, hangUps <-chan os.Signal) error {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return trace.Wrap(err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	s.Limits.ApplyMemoryLimit()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	drain := make(chan struct{})
	go func() {
		<-signals.Stop()
		close(drain)
		<-signals.Stop()
		stop()
	}()
	go func() {
		<-hangUps
		stop()
	}()
	o := daemon.Options{Settings: s, Network: n, Log: log, Gate: daemon.NewGate()}
	for {
		o.Incarnation = uuid.NewString()
		d, err := daemon.New(o)
		if err != nil {
			return err
		}
		if err := d.Run(ctx, drain); !errors.Is(err, daemon.ErrWithdrawn) {
			return err
		}
		o.Previous = o.Incarnation
	}
}
