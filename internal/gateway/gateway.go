package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/turmericworks/turmericworks/internal/coordination/quota"
	"github.com/turmericworks/turmericworks/internal/coordination/residency"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/evacuation"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/keepalive"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

// Dependencies holds the implementations of the platform's protocols that the gateway uses.
type Dependencies struct {
	Config  external.ConfigFeed
	Workers external.WorkerFeed
	// Fleet is the stream of the instances' own records.
	Fleet external.Stream
	// Streams is the stream of records on which software version callers' streams began, and StreamBases has the base version of each
	// service for them.
	Streams     external.Stream
	StreamBases external.KeyedTopic
	// Log reads the topics of the feeds.
	Log     external.Log
	Control external.WorkerControl
	Headers external.Headers
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// workerAdapter identifies an adapter at a worker.
type workerAdapter struct {
	worker  string
	adapter residency.Adapter
}

// usage counts the requests for an adapter at a worker: those since the last heartbeat and those in flight.
type usage struct {
	count, inFlight int
}

// requiredVersion is the version of an adapter that requests must use, and when this instance learned of it.
type requiredVersion struct {
	version int64
	learned time.Duration
}

const (
	// minMemoryMB is assumed if the settings do not name the instance's memory.
	minMemoryMB = 64
)

// Gateway is one instance. The lock mu guards the fields below it and is not held during I/O. An owner's lock may be
// taken while mu is held, but not the other way round.
type Gateway struct {
	settings        Settings
	platform        Dependencies
	network         network.Network
	clock           Clock
	log             zerolog.Logger
	pool            *upstream.Pool
	server          *forward.Server
	metrics         *metrics
	metricsRegistry *prometheus.Registry
	peers           *peers
	fleetRelay      *fleetRelay
	streams         *streamVersions
	connections     *keepalive.Connections
	guardMetrics    *guard.Metrics

	// lifetime is cancelled at the end of Serve; background counts the goroutines that run until then.
	lifetime   context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// starting is held while a goroutine is added to background, which must not happen once Serve waits for them.
	starting sync.Mutex

	// created is when the instance was started, by clock.
	created     time.Duration
	incarnation string
	table       atomic.Pointer[routing.Table]
	workers     atomic.Pointer[workers.Set]
	// configConfirmed is the time on clock, in nanoseconds, as of which the operators' configuration is known: all that they had
	// published by then is in force. It is 0 before the first snapshot.
	configConfirmed atomic.Int64
	// configUnavailable is true if the last read of the configuration failed, or its newest version cannot be decoded.
	configUnavailable atomic.Bool
	// registryConfirmed is the time on clock, in nanoseconds, as of which the registry of workers is known, 0 before the first snapshot.
	registryConfirmed atomic.Int64
	// liveInstances is the number of live instances, as fleetSize.
	liveInstances atomic.Int64
	// latestEra is the latest era of the log service that a response named, nil before the first response.
	latestEra atomic.Pointer[observedEra]
	// acknowledged is the latest heartbeat that is known to be in the fleet's stream.
	acknowledged atomic.Pointer[sentHeartbeat]
	// orderLease is the acknowledged heartbeat when the fleet's stream was last read to its end. It permits orders.
	orderLease atomic.Pointer[sentHeartbeat]
	// fleetRead is set once the fleet's stream was read to its end, and peersAsked once other instances were asked for the
	// configuration that they have in force. It is unset at a restore that follows a time without the log service.
	fleetRead, peersAsked atomic.Bool
	// configLoaded and fleetKnown are set when the configuration and the fleet's stream were first read, and askPeers
	// requests that other instances are asked again.
	configLoaded, fleetKnown signal
	askPeers                 chan struct{}
	stopping                 atomic.Bool
	// wake requests a heartbeat before the interval ends.
	wake chan struct{}
	// resigned is set when the instance gives up its workers and claims no more.
	resigned atomic.Bool

	mu sync.Mutex
	// restored is when the latest restore of the log service was seen, zero if there was none.
	restored       time.Time
	members        *fleetlog.Follower
	workerRegistry *workers.Registry
	residency      *residency.View
	popularity     *residency.Popularity
	versions       map[residency.Adapter]requiredVersion
	// config is the configuration in force, nil before the first.
	config   *routing.Config
	usage    map[workerAdapter]*usage
	inFlight map[workers.Key]int
	// limits are the limits that workers name on the requests of all instances.
	limits *quota.WorkerLimits
	// tenure says whether this instance may meter requests to cold workers, and coldPermits holds the reservations of the jobs
	// that are placed at cold workers.
	tenure      quota.Tenure
	coldPermits map[*forward.Job]coldPermit
	// keepers is what this instance knows of the keepers of plain workers, and kept the workers of which it is one itself.
	keepers *keepers
	kept    *keptWorkers
	// availability is what workers have said about taking further requests from this instance.
	availability *retry.Availability
	// evacuations are the evacuations of data centres, and unknownDataCentres the evacuated ones that were logged as unknown.
	evacuations *evacuation.State
	// relocations are the relocations that this instance has still to begin. relocationsChanged has a value after each change.
	relocations        residency.RelocationQueue
	relocationsChanged chan struct{}
	unknownDataCentres map[string]bool
	// configCheck has a lock of its own.
	configCheck configCheck
	// relays are the instances that read the log service for the others, in the order in which this instance asks them,
	// and topics the records that this instance has read.
	relays []peerInstance
	// relaysForOthers is true if there are instances that are no relays.
	relaysForOthers bool
	topics          map[string]*relayedTopic
	// rateHolders are the instances that hold shares of a workspace's rate, by workspace.
	rateHolders map[string][]peerInstance
	// spentUntil is the time until which a holder that has spent its share is not asked.
	spentUntil map[holderShare]time.Duration
	buckets    map[string]*quota.Bucket
	budgets    map[string]*retry.WindowBudget
	ejectors   map[string]*retry.Ejector
	owners     map[workers.Key]*owner
	// mixes is what is known of the prompts that the routes of a service bring, by service.
	mixes map[string]*workerload.Mix
	// overShares is which workspaces hold more than their shares of workers.
	overShares workerload.OverShares
	// replicaLoads are the additional replicas of adapters that are being loaded.
	replicaLoads map[workerAdapter]bool
	// unreachable is the time of the last failed call to an instance.
	unreachable map[peerCall]time.Duration
	crashes     *retry.WorkerCrashTracker
	// brokenAttempts are the broken attempts to report in the next heartbeat, and crashReport is the next report to the
	// other instances, nil if none is scheduled.
	brokenAttempts []fleetlog.BrokenAttempt
	crashReport    *crashReport
	// sent holds the attempts that were sent and have not ended, by their jobs.
	sent map[*forward.Job]sentAttempt
	// crashChecks are the checks after a broken attempt that run, by the worker process.
	crashChecks map[string]*crashCheck
	// lastHeartbeatNumber is the number of this instance's last heartbeat.
	lastHeartbeatNumber int64
	// unconfirmed are the heartbeats that were not read back from the stream yet, by number.
	unconfirmed map[int64]sentHeartbeat
	// missingSince is since when workers for which this instance may act are missing from the registry, by worker.
	missingSince map[string]time.Duration
	// fleetSize is the number of live instances, at least 1.
	fleetSize int
}

// New returns a gateway that starts its work in Serve.
func New(s Settings, platform Dependencies, n network.Network, clock Clock, log zerolog.Logger) *Gateway {
	g := &Gateway{
		settings: s, platform: platform, network: n, clock: clock,
		pool: upstream.NewPool(n), metricsRegistry: prometheus.NewRegistry(), incarnation: uuid.NewString(),
		workerRegistry: workers.NewRegistry(), residency: residency.NewView(),
		popularity: residency.NewPopularity(), versions: map[residency.Adapter]requiredVersion{},
		usage: map[workerAdapter]*usage{}, inFlight: map[workers.Key]int{}, limits: quota.NewWorkerLimits(), coldPermits: map[*forward.Job]coldPermit{},
		keepers: newKeepers(), kept: &keptWorkers{loads: map[string]*workerload.Plain{}}, availability: retry.NewAvailability(),
		evacuations: evacuation.New(), unknownDataCentres: map[string]bool{}, rateHolders: map[string][]peerInstance{},
		spentUntil: map[holderShare]time.Duration{}, topics: map[string]*relayedTopic{},
		buckets: map[string]*quota.Bucket{}, budgets: map[string]*retry.WindowBudget{},
		wake: make(chan struct{}, 1), askPeers: make(chan struct{}, 1), relocationsChanged: make(chan struct{}, 1),
		configLoaded: newSignal(), fleetKnown: newSignal(),
		ejectors: map[string]*retry.Ejector{}, owners: map[workers.Key]*owner{}, mixes: map[string]*workerload.Mix{},
		connections: keepalive.New(clock), replicaLoads: map[workerAdapter]bool{}, unreachable: map[peerCall]time.Duration{},
		unconfirmed: map[int64]sentHeartbeat{}, crashes: retry.NewWorkerCrashTracker(), crashChecks: map[string]*crashCheck{}, sent: map[*forward.Job]sentAttempt{}, fleetSize: 1,
		missingSince: map[string]time.Duration{},
	}
	g.created = g.now()
	g.members = fleetlog.NewFollower(g.incarnation, quota.MaxTakeoverDelay)
	g.lifetime, g.cancel = context.WithCancel(context.Background())
	g.log = log.With().Str("instance", s.Instance).Logger()
	g.metrics = newMetrics(g.metricsRegistry)
	g.metricsRegistry.MustRegister(newColdCollector(g))
	g.guardMetrics = guard.NewMetrics(g.metricsRegistry)
	limits := s.callerLimits()
	g.pool.MaxIdle, g.pool.Connections = limits.IdleWorkers, guard.NewOutbound("workers", limits.Workers, g.guardMetrics, g.log)
	g.pool.Connections.CloseIdle = g.pool.CloseOldestIdle
	g.connections.OnClose = g.callerConnectionClosed
	g.workers.Store(workers.NewRegistry().Snapshot())
	g.peers = newPeers(g)
	g.fleetRelay = &fleetRelay{g: g}
	g.streams = newStreamVersions(g)
	g.server = &forward.Server{
		Headers: platform.Headers, Admission: (*admission)(g), Placement: (*placement)(g), Pool: g.pool,
		Metrics: g.metrics, Log: g.log,
		ResponseMemory: bytebudget.New(limits.ResponseBytes), Unread: limits.Unread,
	}
	g.metricsRegistry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmeric_response_bytes_held", Help: "Bytes of responses that are held until they are complete, or until their callers have read them.",
	}, func() float64 { return float64(g.server.ResponseMemory.Used()) }))
	return g
}

// CountLogServiceCall counts a call to the platform's log service.
func (g *Gateway) CountLogServiceCall(call, outcome string) {
	g.metrics.countLogServiceCall(call, outcome)
}

func (g *Gateway) now() time.Duration { return g.clock() }

// configFresh reports whether the configuration in force was confirmed within maxAge.
func (g *Gateway) configFresh(maxAge time.Duration) bool { return g.recent(g.lastConfirmed(), maxAge) }

// lastConfirmed returns the time as of which the operators' configuration is known, 0 if there is none. An instance that still has
// to ask others does not know whether they have a newer one that the log service lost.
func (g *Gateway) lastConfirmed() time.Duration {
	if !g.peersAsked.Load() {
		return 0
	}
	return time.Duration(g.configConfirmed.Load())
}

// recent reports whether a time returned by lastConfirmed is not 0 and not older than maxAge.
func (g *Gateway) recent(confirmed, maxAge time.Duration) bool {
	return confirmed != 0 && g.now()-confirmed <= maxAge
}

// start runs a task in the background. Its context is cancelled at the end of Serve, which waits for it. After that, it is not
// run: calls of other instances may still arrive. A panic ends only the task.
func (g *Gateway) start(task string, f func(ctx context.Context)) {
	g.starting.Lock()
	defer g.starting.Unlock()
	if g.lifetime.Err() != nil {
		return
	}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		g.guard(task, func() { f(g.lifetime) })
	}()
}

// service is a loop of the gateway that the supervisor restarts when it fails.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name that the supervisor's events contain.
func (s service) String() string { return s.name }

// Serve runs the gateway until stop is closed, then drains and returns.
func (g *Gateway) Serve(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := g.listen()
	if err != nil {
		g.cancel()
		return err
	}
	g.log.Info().Str("incarnation", g.incarnation).Str("callers", g.settings.CallersAddress).
		Str("log_service", g.settings.LogService).Bool("first_start", g.settings.FirstStart).Msg("started")
	supervisor := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		g.log.Warn().Str("event", e.String()).Msg("supervisor")
	}})
	for name, run := range map[string]func(context.Context) error{
		"config": g.followConfig, "workers": g.followWorkers, "fleet": g.followFleet, "peer configuration": g.followPeerConfig, "upkeep": g.cleanUp, "stream versions": g.streams.follow,
	} {
		supervisor.Add(service{name, run})
	}
	done := supervisor.ServeBackground(ctx)
	select {
	case <-stop:
	case <-ctx.Done():
	}
	g.drain(ctx, servers)
	cancel()
	<-done
	g.starting.Lock()
	g.cancel()
	g.starting.Unlock()
	g.background.Wait()
	g.pool.Retain(func(workers.Key) bool { return false })
	servers.close()
	g.log.Info().Msg("stopped")
	return nil
}

// cleanupInterval is the time between two removals of state that is no longer needed.
const cleanupInterval = 2 * time.Second

// cleanUp closes idle connections and removes the state of workers and instances that are gone, until ctx ends.
func (g *Gateway) cleanUp(ctx context.Context) error {
	for {
		if !sleep(ctx, cleanupInterval) {
			return ctx.Err()
		}
		g.closeIdleCallers()
		g.removeUnused()
	}
}

// removeUnused removes the state of workers and instances that are gone.
func (g *Gateway) removeUnused() {
	set := g.workers.Load()
	exists := func(k workers.Key) bool {
		w, ok := set.Get(k.ID)
		return ok && w.Key() == k
	}
	leaving := g.leavingWorkers(set)
	g.pool.Retain(func(k workers.Key) bool { return exists(k) && !leaving[k] })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.residency.Retain(exists)
	g.popularity.Trim(g.now())
	g.releaseMissing(g.now())
	names := map[string]bool{}
	for _, w := range set.All() {
		names[incarnationName(w)] = true
	}
	listed := func(name string) bool { return names[name] }
	g.limits.Retain(listed)
	g.logColdChanges(g.now())
	g.logSharesEnded()
	g.availability.Retain(listed, g.now())
	if t := g.table.Load(); t != nil {
		g.keepers.retain(listed, func(name string) bool { _, ok := t.Service(name); return ok })
		g.updatePlacements(t)
	}
	g.kept.retain(listed, g.metrics, g.now())
	for k := range g.unreachable {
		if _, ok := g.members.Member(k.incarnation); !ok {
			delete(g.unreachable, k)
		}
	}
	for k, n := range g.inFlight {
		if n == 0 && !exists(k) {
			delete(g.inFlight, k)
		}
	}
}

// closeIdleCallers applies the configuration's idle timeout to the connections of callers. The limit includes the
// header timeout, so that a caller that begins a request at the end of the idle time can still send its headers.
func (g *Gateway) closeIdleCallers() {
	t := g.table.Load()
	if t == nil || t.Limits.IdleTimeout <= 0 {
		return
	}
	limit := t.Limits.IdleTimeout + t.Limits.HeaderTimeout
	if n := g.connections.CloseIdle(limit); n > 0 {
		g.log.Info().Int("connections", n).Dur("limit_ms", limit).Int64("config", t.Version).Msg("idle connections of callers closed")
	}
}

// callerConnectionClosed counts the end of a caller's connection.
func (g *Gateway) callerConnectionClosed(c keepalive.CloseInfo) {
	g.metrics.callerCloses.WithLabelValues(string(c.Cause), strconv.FormatBool(c.Unread)).Inc()
	if c.Unread {
		g.log.Warn().Str("cause", string(c.Cause)).Bool("stopping", g.stopping.Load()).Msg("caller's connection closed with bytes unread")
	}
}

// sleep waits for the duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// signal is an event that happens once.
type signal struct {
	once *sync.Once
	done chan struct{}
}

func newSignal() signal { return signal{once: &sync.Once{}, done: make(chan struct{})} }

func (s signal) set() { s.once.Do(func() { close(s.done) }) }

// servers are the listeners of a gateway.
type servers struct {
	callers, readiness, metrics *http.Server
	// callersListener accepts the connections of callers.
	callersListener *keepalive.Listener
	stopPeers       func()
}

// peerStopTimeout bounds the end of the server for other instances.
const peerStopTimeout = 100 * time.Millisecond

func (s *servers) close() {
	for _, h := range []*http.Server{s.callers, s.readiness, s.metrics} {
		// The process exits; remaining connections are cut off intentionally.
		_ = h.Close()
	}
	// The connections of other instances end with the process, also one whose handshake gRPC would wait for.
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stopPeers()
	}()
	select {
	case <-stopped:
	case <-time.After(peerStopTimeout):
	}
}

const (
	// headerTimeout, idleTimeout and maxHeaderBytes apply to all listeners, even without a configuration. The
	// operators' limits for callers are shorter and apply in addition.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
)

// listen starts the listeners for callers, readiness checks, metrics and peers.
func (g *Gateway) listen() (*servers, error) {
	s := &servers{}
	callers, err := g.network.Listen(g.settings.CallersAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callersGuard := g.newGuard("callers", g.settings.callerLimits())
	s.callersListener = g.connections.Listener(callersGuard.Listener(callers, false))
	s.callers = g.serveHTTP(s.callersListener, &http.Server{
		Handler: guard.Handler(g.server),
		ConnState: func(nc net.Conn, state http.ConnState) {
			guard.ConnState(nc, state)
			g.connections.ConnState(nc, state)
		},
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return guard.ConnContext(g.connections.ConnContext(ctx, nc), nc)
		},
	})
	if s.readiness, err = g.listenHTTP("readiness", g.settings.ReadinessAddress, http.HandlerFunc(g.serveReady)); err != nil {
		return nil, trace.Wrap(err)
	}
	if s.metrics, err = g.listenHTTP("metrics", g.settings.MetricsAddress, g.metrics.handler(g.metricsRegistry)); err != nil {
		return nil, trace.Wrap(err)
	}
	s.stopPeers, err = g.peers.serve(g.settings.PeerAddress)
	return s, trace.Wrap(err)
}

// listenHTTP starts a server for h at an address, with limits of its own that callers do not use up.
func (g *Gateway) listenHTTP(name, address string, h http.Handler) (*http.Server, error) {
	l, err := g.network.Listen(address)
	if err != nil {
		return nil, err
	}
	own := g.newGuard(name, g.settings.callerLimits().Reserved())
	return g.serveHTTP(own.Listener(l, false), &http.Server{Handler: guard.Handler(h), ConnState: guard.ConnState, ConnContext: guard.ConnContext}), nil
}

// serveHTTP starts a server with the limits of this instance on a listener. It goes on with the open connections if the
// listener is closed.
func (g *Gateway) serveHTTP(l net.Listener, srv *http.Server) *http.Server {
	srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	go func() {
		if err := srv.Serve(l); err != nil && err != http.ErrServerClosed && !errors.Is(err, net.ErrClosed) {
			g.log.Error().Err(err).Str("address", l.Addr().String()).Msg("listener failed")
		}
	}()
	return srv
}

// ready reports whether the load balancer should send new connections to the instance. One that cannot reach the log service soon
// has to refuse all requests with a key.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.fleetRead.Load() && g.configFresh(g.configRule().MaxAge())
}

// serveReady responds to the load balancer's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != g.platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case g.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
