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
	"github.com/turmericworks/turmericworks/internal/program"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/platform"
)

type options struct {
	Settings string `long:"settings" description:"file with the settings (JSON)" required:"true"`
	Check    bool   `long:"check" description:"check the settings, print every fault and exit"`
}

// memoryLimitShare is the share of Settings.MemoryMB that is set as the Go runtime's soft memory limit. Near the limit,
// the garbage collector runs more often to stay below it.
const memoryLimitShare = 0.6

func main() {
	signals := program.NotifySignals()
	reread := signals.Reread()
	program.Main(func(o options) error { return run(o, signals.Stop(), reread) })
}

// load reads and checks the settings file.
func load(path string) (gateway.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return gateway.Settings{}, trace.ConvertSystemError(err)
	}
	return gateway.ParseSettings(data)
}

func run(o options, stopSignals, reread <-chan os.Signal) error {
	s, err := load(o.Settings)
	if err != nil || o.Check {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return trace.BadParameter("settings: log_level: %v", err)
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitShare * (1 << 20)))
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
		<-stopSignals
		close(stop)
	}()
	go checkSettings(reread, o.Settings, log)
	return g.Serve(context.Background(), stop)
}

// checkSettings checks the settings file at each signal. Changed settings apply at the next start.
func checkSettings(reread <-chan os.Signal, path string, log zerolog.Logger) {
	for range reread {
		_, err := load(path)
		log.Info().Err(err).Msg("settings file checked; changed settings apply at the next start")
	}
}
