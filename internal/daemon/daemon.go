// Package daemon assembles one instance: it connects the coordination packages with the platform, the
// backend servers, the other instances and the callers, and runs everything under a supervisor.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/coordination/fairqueue"
	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/keepalive"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/peer"
	"github.com/turmericworks/turmericworks/internal/transport/platformhttp"
	"google.golang.org/grpc"
)

// Options are the parameters of New.
type Options struct {
	Settings Settings
	Network  network.Network
	Log      zerolog.Logger
	// Incarnation identifies this run of the instance. It must never be reused.
	Incarnation string
	// Previous is the earlier incarnation of the same process whose membership has ended, or empty.
	Previous string
	// Gate is shared by all incarnations of a process. If it is nil, New creates one.
	Gate *Gate
}

// Daemon is one incarnation of an instance.
type Daemon struct {
	opts     Options
	settings Settings
	log      zerolog.Logger
	registry *prometheus.Registry

	platformLog  platform.Log
	instanceList platform.InstanceList
	fleet        *fleet.Registry
	replica      *replica
	control      *control
	actions      *actions
	owners       *owners
	gate         *Gate
	events       *events
	tlsConfigs   *tlsConfigs
	peers        *peer.Clients
	peerServer   *grpc.Server
	operators    http.Handler
	scheduler    *dispatch.Scheduler
	runner       *runner
	entry        *entry.Server

	// stop is set while the instance drains.
	stop atomic.Pointer[stopPeriod]
	// refusing is set once a draining instance has reported unready for balancerDelay.
	refusing atomic.Bool
	// connections are those of callers and operators, and listeners accept them.
	connections *keepalive.Connections
	listeners   []*keepalive.Listener
	servers     []*http.Server
	// guardMetrics are those of the listeners' guards.
	guardMetrics *guard.Metrics
}

// New assembles an instance. Run starts it.
func New(o Options) (*Daemon, error) {
	if o.Gate == nil {
		o.Gate = NewGate()
	}
	o.Gate.rejoin(o.Incarnation)
	d := &Daemon{
		gate: o.Gate,
		opts: o, settings: o.Settings, registry: prometheus.NewRegistry(),
		log: o.Log.With().Str("instance", o.Settings.Instance).Logger(),
	}
	created := time.Now()
	d.connections = keepalive.New(func() time.Duration { return time.Since(created) })
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	var err error
	if d.tlsConfigs, err = newTLSConfigs(d.settings.TLS, o.Network); err != nil {
		return nil, trace.Wrap(err, "loading the TLS certificates")
	}
	transport := network.HTTPTransportOver(d.tlsConfigs.dialPlain, d.tlsConfigs.dialTLS)
	d.platformLog = platformhttp.NewLog(d.settings.Platform.LogURL, transport)
	d.instanceList = platformhttp.NewInstanceList(d.settings.Platform.ListURL, transport)
	d.guardMetrics = guard.NewMetrics(d.registry)
	limits := d.settings.Limits.callers()
	d.fleet = fleet.New(d.workerTransport(limits), d.engineReported)
	d.events = newEvents(d.settings)
	d.replica = newReplica(d)
	d.control = newControl(d)
	d.actions = newActions(d)
	toPeers := d.tlsConfigs.over(guard.NewOutbound("to_peers", limits.Peers, d.guardMetrics, d.log).Network(o.Network))
	d.peers = peer.NewClients(d.tlsConfigs.peerClient, toPeers.dialPeer, d.control.recordRefusedConnection)
	d.control.peers = d.peers
	d.owners = newOwners(d)
	d.peerServer = peer.NewServer(d.tlsConfigs.peers, func(call string, value any, stack []byte) {
		d.log.Error().Str("call", call).Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("call of a peer failed")
	})
	operators, err := admin.NewHandler(&adminDaemon{d}, o.Settings.tokens())
	if err != nil {
		return nil, err
	}
	d.operators = operators
	peerpb.RegisterPeerServer(d.peerServer, &peer.Service{Shares: d.control, State: d.control, Slots: d.owners})
	d.scheduler = dispatch.NewScheduler(dispatch.SchedulerOptions{
		Fleet: d.fleet, DataCentre: d.settings.DataCentre, Loader: d.owners, Budget: d.control, Gate: d.control,
		Queue: fairqueue.Settings{MaxTotal: d.settings.Limits.QueuedRequests}, Publish: d.publishBlame, PublishPromptParts: d.publishPromptParts, Seed: seedOf(o.Incarnation),
	})
	d.runner = &runner{Runner: dispatch.New(d.scheduler, d.control, d.events.record), daemon: d}
	responses := guard.NewResponses(limits.ResponseBytes, d.guardMetrics, d.log)
	d.registry.MustRegister(responses.Collectors()...)
	d.entry = entry.New(entry.Options{
		Config: d.replica.view, Runner: d.runner, Admit: d.admit, AdmitRun: d.admitRun, Ready: d.ready, Draining: d.draining, Log: d.log, Record: d.events.record, Registry: d.registry,
		Responses: responses, WriteWindow: d.settings.Limits.writeWindow(),
	})
	d.registry.MustRegister(newCollector(d))
	return d, nil
}

var errStarting = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "starting",
	"the instance has no configuration or no token shares yet").WithRetryAfter(time.Second)

// errNoLease refuses requests while the instance cannot know whether its configuration is current.
var errNoLease = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "not_fresh",
	"the instance has lost touch with the platform's log and its peers").WithRetryAfter(time.Second)

// ErrWithdrawn means that this incarnation's membership has ended. The process must continue with a new
// incarnation.
var ErrWithdrawn = errors.New("the incarnation's membership has ended")

// admit returns the reason why the instance must not admit requests, or nil.
func (d *Daemon) admit() error {
	switch {
	case d.refusing.Load():
		return entry.ErrDraining
	case !d.replica.ready():
		return errStarting
	case !d.control.valid() && !d.control.mayServeUnjoined():
		return errNoLease
	}
	return nil
}

// ready returns the reason why the load balancer must not send requests, or nil.
func (d *Daemon) ready() error {
	if d.draining() {
		return entry.ErrDraining
	}
	if err := d.admit(); err != nil {
		return err
	}
	if !d.control.hasShares() {
		return errStarting
	}
	return nil
}

const (
	// headerTimeout bounds the time in which a caller must send its request header.
	headerTimeout = 5 * time.Second
	// handshakeTimeout bounds a TLS handshake with a backend server or the platform.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long a caller's idle connection is kept open.
	idleTimeout = 60 * time.Second
	// adminConnections is the maximum number of open connections on the admin listener, if the descriptors allow it.
	adminConnections = 256
)

// workerTransport returns the transport to engines and plain services, whose connections are counted.
func (d *Daemon) workerTransport(l callerlimits.Limits) *http.Transport {
	count := guard.NewOutbound("workers", l.Workers, d.guardMetrics, d.log)
	counted := d.tlsConfigs.over(count.RequestNetwork(d.tlsConfigs.network))
	out := network.HTTPTransportOver(counted.dialPlain, counted.dialTLS)
	out.MaxIdleConns = l.IdleWorkers
	count.CloseIdle = func() bool {
		before := count.Total()
		out.CloseIdleConnections()
		return count.Total() < before
	}
	return out
}

// listenPeers opens the listener for other instances.
func (d *Daemon) listenPeers() (suture.Service, error) {
	l, err := d.opts.Network.Listen(d.settings.Listen.Peers)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", d.settings.Listen.Peers)
	}
	l = guard.Limit(l, "from_peers", d.settings.Limits.callers().PeersAccepted, d.guardMetrics, d.log)
	return &listenerService{serve: func() error { return d.peerServer.Serve(l) }, stop: d.peerServer.Stop}, nil
}

// Run serves until the context ends, which stops at once, or until a drain has finished. It returns
// ErrWithdrawn if this incarnation's membership ends.
func (d *Daemon) Run(ctx context.Context, drain <-chan struct{}) error {
	supervisor := suture.New("instance", suture.Spec{EventHook: d.supervisorEvent})
	callers, err := d.listen(d.settings.Listen.Callers, d.tlsConfigs.callers, d.settings.Limits.MaxConnections, d.entry.Handler())
	if err != nil {
		return err
	}
	peers, err := d.listenPeers()
	if err != nil {
		return err
	}
	admin, err := d.listen(d.settings.Listen.Admin, d.tlsConfigs.admin, min(adminConnections, d.settings.Limits.callers().Reserve), d.adminHandler())
	if err != nil {
		return err
	}
	for _, s := range []suture.Service{callers, peers, admin} {
		supervisor.Add(s)
	}
	supervisor.Add(d.fleet)
	supervisor.Add(d.scheduler)
	d.replica.addTo(supervisor)
	d.control.addTo(supervisor)
	d.actions.addTo(supervisor)
	supervisor.Add(d.owners)
	defer d.peers.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := supervisor.ServeBackground(ctx)
	d.log.Info().Str("callers", d.settings.Listen.Callers).Str("incarnation", d.opts.Incarnation).Msg("instance started")
	select {
	case <-drain:
		d.drain(ctx)
		stop()
	case <-d.control.withdrawn:
		d.log.Warn().Int("cut_requests", d.entry.InFlight()).Msg("membership ended; joining as a new incarnation")
		stop()
		<-done
		return ErrWithdrawn
	case <-ctx.Done():
		d.log.Warn().Int("cut_requests", d.entry.InFlight()).Msg("instance stopped without drain")
	}
	<-done
	return nil
}

// supervisorEvent logs the failure of a supervised service, which the supervisor restarts.
func (d *Daemon) supervisorEvent(e suture.Event) {
	if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeServiceTerminate {
		d.log.Error().Str("event", e.String()).Msg("supervised service failed and is restarted")
	}
}
