// Command turmeric-gateway runs one instance that forwards requests for a platform.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/gateway"
	"github.com/turmericworks/turmericworks/internal/logsink"
	"github.com/turmericworks/turmericworks/internal/machine"
	"github.com/turmericworks/turmericworks/internal/program"
	"github.com/turmericworks/turmericworks/internal/signals"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/platform"
)

type options struct {
	Settings string `long:"settings" description:"file with the settings (JSON)" required:"true"`
	Check    bool   `long:"check" description:"check the settings, print every fault and exit"`
}

func main() { program.Main(run) }

// load reads and checks the settings file.
func load(path string) (gateway.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return gateway.Settings{}, trace.ConvertSystemError(err)
	}
	return gateway.ParseSettings(data)
}

func run(o options) error {
	s, err := load(o.Settings)
	if err != nil || o.Check {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return trace.BadParameter("settings: log_level: %v", err)
	}
	debug.SetMemoryLimit(machine.RuntimeLimit(int64(s.MemoryMB) << 20))
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(sink).Level(level).With().Timestamp().Logger()

	var g *gateway.Gateway
	n := network.TCP{}
	client := platform.NewLogClient(n, s.LogService, func(call, outcome string) { g.CountLogServiceCall(call, outcome) })
	g = gateway.New(s, platform.Dependencies(client, n), n, gateway.BootClock, log)

	stop := make(chan struct{})
	go func() {
		<-signals.Stop()
		close(stop)
	}()
	go checkSettings(signals.Reread(), o.Settings, log)
	return g.Serve(context.Background(), stop)
}

// checkSettings checks the settings file at each signal. Changed settings apply at the next start.
func checkSettings(reread <-chan os.Signal, path string, log zerolog.Logger) {
	for range reread {
		_, err := load(path)
		log.Info().Err(err).Msg("settings file checked; changed settings apply at the next start")
	}
}
