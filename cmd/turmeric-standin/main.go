// Command turmeric-standin runs stand-ins for the platform, model engines and a plain service in one process, so that
// a fleet of turmericd processes can be tested without the real ones.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/embedded"
	"github.com/turmericworks/turmericworks/internal/program"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/authority"
	"github.com/turmericworks/turmericworks/internal/standin/engine"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/standin/weightstore"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

type options struct {
	Log          string        `long:"log" description:"address of the log service" default:"127.0.0.1:8090"`
	List         string        `long:"list" description:"address of the instance list" default:"127.0.0.1:8091"`
	Service      string        `long:"service" description:"address of the plain service" default:"127.0.0.1:8111"`
	Engine       []string      `long:"engine" description:"address of a model engine; may be repeated (default: 127.0.0.1:8101, 127.0.0.1:8102)"`
	Slots        int           `long:"slots" description:"adapter slots of each engine" default:"8"`
	Batch        int           `long:"batch" description:"requests that an engine runs at once" default:"64"`
	Prefill      time.Duration `long:"prefill" description:"time before the first token" default:"40ms"`
	TokenTime    time.Duration `long:"token-time" description:"time between tokens" default:"20ms"`
	IgnoreFence  bool          `long:"ignore-fence" description:"engines accept orders with an old fencing number"`
	CrashMarker  string        `long:"crash-marker" description:"an engine that runs a prompt with this text crashes"`
	LoadTime     time.Duration `long:"load-time" description:"time of an adapter load at full speed" default:"250ms"`
	Loads        int           `long:"loads" description:"adapter loads in flight at full speed" default:"8"`
	Retention    time.Duration `long:"retention" description:"how long the log keeps records" default:"168h"`
	ListLag      time.Duration `long:"list-lag" description:"how late the instance list shows a change" default:"10s"`
	ServiceDelay time.Duration `long:"service-delay" description:"time of a call of the plain service" default:"0s"`
	Instance     []string      `long:"instance" description:"first content of the instance list, as id,data-centre,peer-address; may be repeated"`
	Example      string        `long:"example" description:"publish the example configuration and write the caller's key to caller.key in this directory"`
	TLS          string        `long:"tls" description:"serve TLS with certificates of a new authority, written to this directory"`
}

func main() { program.Main(run) }

func run(o options) error {
	stackOpts, err := stackOptions(o)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	s, err := stack.Start(network.TCP{}, stackOpts)
	if err != nil {
		return err
	}
	defer s.Close()
	if o.Example != "" {
		if err := embedded.PublishExample(network.TCP{}, stackOpts, o.Example); err != nil {
			return err
		}
	}
	fmt.Println("ready")
	<-signals
	return nil
}

func stackOptions(o options) (stack.Options, error) {
	if len(o.Engine) == 0 {
		o.Engine = []string{"127.0.0.1:8101", "127.0.0.1:8102"}
	}
	stackOpts := stack.Options{
		LogAddress: o.Log, ListAddress: o.List, ServiceAddress: o.Service, EngineAddresses: o.Engine,
		Engine: engine.Options{
			Slots: o.Slots, MaxBatch: o.Batch, Prefill: o.Prefill, TokenTime: o.TokenTime,
			ChecksFence: !o.IgnoreFence, CrashMarker: o.CrashMarker,
		},
		Store:     weightstore.Limits{LoadTime: o.LoadTime, MaxInFlight: o.Loads},
		Retention: o.Retention, ListLag: o.ListLag, ServiceDelay: o.ServiceDelay,
	}
	if o.Slots < 1 || o.Batch < 1 || o.Loads < 1 || o.Retention <= 0 {
		return stackOpts, trace.BadParameter("--slots, --batch, --loads and --retention must be positive")
	}
	if o.TLS != "" {
		if o.Example != "" {
			return stackOpts, trace.BadParameter("--example publishes plain-text addresses and cannot be used with --tls")
		}
		var err error
		if stackOpts.Authority, err = authority.New(o.TLS, "standin"); err != nil {
			return stackOpts, err
		}
	}
	for _, value := range o.Instance {
		fields := strings.Split(value, ",")
		if len(fields) != 3 {
			return stackOpts, trace.BadParameter("--instance %s: must have the form id,data-centre,peer-address", value)
		}
		stackOpts.Instances = append(stackOpts.Instances, platform.Instance{
			ID: fields[0], DataCentre: fields[1], PeerAddr: fields[2], State: platform.Live,
		})
	}
	return stackOpts, nil
}
