package gateway

import (
	"context"
	"net"
	"net/http"
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
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/fleetlog"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

// Platform are the platform as the gateway needs it.
type Platform struct {
	Config  external.ConfigFeed
	Workers external.WorkerFeed
	// Fleet is the stream of the instances' own records.
	Fleet external.Stream
	// Log reads the topics of the feeds.
	Log     external.Log
	Control external.WorkerControl
	Headers external.Headers
	// ReadyPath is the path of the balancer's question whether the instance takes requests.
	ReadyPath string
}

// useKey is an adapter at a worker.
type useKey struct {
	worker  string
	adapter residency.Adapter
}

// use counts the requests for an adapter at a worker: those since the last heartbeat and those under way.
type use struct {
	count, running int
}

// declared is the version of an adapter that requests must use.
type declared struct {
	version int64
	learned time.Duration
}

// Gateway is one instance. The lock mu guards the state below it; no I/O happens under it. An owner's lock is
// taken after mu, never before.
type Gateway struct {
	settings Settings
	around   Platform
	network  network.Network
	clock    Clock
	log      zerolog.Logger
	pool     *upstream.Pool
	server   *forward.Server
	metrics  *metrics
	registry *prometheus.Registry
	peers    *peers
	callers  *callers

	// lifetime ends with Serve; background counts the goroutines that run in it.
	lifetime   context.Context
	end        context.CancelFunc
	background sync.WaitGroup

	incarnation string
	table       atomic.Pointer[routing.Table]
	workers     atomic.Pointer[workers.Set]
	// configRead is when the last answered read of the configuration was sent, by clock, in nanoseconds, 0 before
	// the first.
	configRead   atomic.Int64
	acknowledged atomic.Pointer[ackedBeat]
	fleetRead    atomic.Bool
	stopping     atomic.Bool
	// wake asks for a heartbeat before its time.
	wake     chan struct{}
	resigned atomic.Bool

	mu         sync.Mutex
	members    *fleetlog.Fold
	known      *workers.Registry
	beliefs    *residency.View
	popularity *residency.Popularity
	versions   map[residency.Adapter]declared
	uses       map[useKey]*use
	inFlight   map[workers.Key]int
	// relays are the instances that read the log service for the others, in the order in which this one asks them, and
	// topics what this one has read.
	relays []holder
	topics map[string]*relayedTopic
	// rateHolders are, by workspace, the instances that hold parts of its rate.
	rateHolders map[string][]holder
	// spent is until when a holder that has spent its part is not asked.
	spent    map[spentKey]time.Duration
	buckets  map[string]*quota.Bucket
	budgets  map[string]*retry.WindowBudget
	ejectors map[string]*retry.Ejector
	owners   map[workers.Key]*owner
	// spreading holds the further copies that are being loaded.
	spreading map[useKey]bool
	// missed is when an instance could last not be reached.
	missed  map[missKey]time.Duration
	crashes *retry.WorkerCrashTracker
	// broken are the broken runs to tell in the next heartbeat.
	broken []fleetlog.BrokenAttempt
	beats  int64
	// unread are the heartbeats that were not read back from the stream yet, by number.
	unread map[int64]ackedBeat
	live   int
}

// New returns a gateway that does nothing before Serve.
func New(s Settings, around Platform, n network.Network, clock Clock, log zerolog.Logger) *Gateway {
	g := &Gateway{
		settings: s, around: around, network: n, clock: clock,
		pool: upstream.NewPool(n), registry: prometheus.NewRegistry(), incarnation: uuid.NewString(),
		members: fleetlog.NewFold(), known: workers.NewRegistry(), beliefs: residency.NewView(),
		popularity: residency.NewPopularity(), versions: map[residency.Adapter]declared{},
		uses: map[useKey]*use{}, inFlight: map[workers.Key]int{}, rateHolders: map[string][]holder{}, spent: map[spentKey]time.Duration{}, topics: map[string]*relayedTopic{},
		buckets: map[string]*quota.Bucket{}, budgets: map[string]*retry.WindowBudget{},
		wake:     make(chan struct{}, 1),
		ejectors: map[string]*retry.Ejector{}, owners: map[workers.Key]*owner{},
		callers: newCallers(clock), spreading: map[useKey]bool{}, missed: map[missKey]time.Duration{}, unread: map[int64]ackedBeat{}, crashes: retry.NewWorkerCrashTracker(), live: 1,
	}
	g.lifetime, g.end = context.WithCancel(context.Background())
	g.log = log.With().Str("instance", s.Instance).Logger()
	g.metrics = newMetrics(g.registry)
	g.workers.Store(workers.NewRegistry().Snapshot())
	g.peers = newPeers(g)
	g.server = &forward.Server{
		Headers: around.Headers, Admission: (*admission)(g), Placement: (*placement)(g), Pool: g.pool,
		Metrics: g.metrics, Log: g.log,
	}
	return g
}

// CountLogServiceCall counts a call to the platform's log service.
func (g *Gateway) CountLogServiceCall(call, outcome string) { g.metrics.storeCall(call, outcome) }

func (g *Gateway) now() time.Duration { return g.clock() }

// fresh reports whether the configuration was read within the duration.
func (g *Gateway) fresh(within time.Duration) bool {
	read := g.configRead.Load()
	return read != 0 && g.now()-time.Duration(read) <= within
}

// start runs f until the gateway ends.
func (g *Gateway) start(f func(ctx context.Context)) {
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		f(g.lifetime)
	}()
}

// service is one part of the gateway under the supervisor.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's events.
func (s service) String() string { return s.name }

// Serve runs the gateway until stop is closed, then drains and returns.
func (g *Gateway) Serve(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := g.listen()
	if err != nil {
		g.end()
		return err
	}
	defer servers.close()
	g.log.Info().Str("incarnation", g.incarnation).Str("callers", g.settings.CallersAddress).
		Str("log_service", g.settings.LogService).Bool("first_start", g.settings.FirstStart).Msg("started")
	supervisor := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		g.log.Warn().Str("event", e.String()).Msg("supervisor")
	}})
	for name, run := range map[string]func(context.Context) error{
		"config": g.followConfig, "workers": g.followWorkers, "fleet": g.followFleet, "upkeep": g.upkeep,
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
	g.end()
	g.background.Wait()
	g.pool.Retain(func(workers.Key) bool { return false })
	g.log.Info().Msg("stopped")
	return nil
}

// upkeepEvery is the time between rounds that drop what is no longer needed.
const upkeepEvery = 2 * time.Second

func (g *Gateway) upkeep(ctx context.Context) error {
	for {
		if !sleep(ctx, upkeepEvery) {
			return ctx.Err()
		}
		g.closeIdleCallers()
		set := g.workers.Load()
		exists := func(k workers.Key) bool {
			w, ok := set.Get(k.ID)
			return ok && w.Key() == k
		}
		g.pool.Retain(exists)
		g.mu.Lock()
		g.beliefs.Retain(exists)
		g.popularity.Trim(g.now())
		for k := range g.missed {
			if _, ok := g.members.Member(k.incarnation); !ok {
				delete(g.missed, k)
			}
		}
		for k, n := range g.inFlight {
			if n == 0 && !exists(k) {
				delete(g.inFlight, k)
			}
		}
		g.mu.Unlock()
	}
}

// closeIdleCallers applies the configuration's limits on time. A caller that begins a request at the end of the idle
// time still has the time for its headers.
func (g *Gateway) closeIdleCallers() {
	t := g.table.Load()
	if t == nil || t.Limits.IdleTimeout <= 0 {
		return
	}
	limit := t.Limits.IdleTimeout + t.Limits.HeaderTimeout
	if n := g.callers.closeIdle(limit); n > 0 {
		g.log.Info().Int("connections", n).Dur("limit_ms", limit).Int64("config", t.Version).Msg("idle connections of callers closed")
	}
}

// sleep waits and reports whether ctx is still in force.
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

type servers struct {
	callers, readiness, metrics *http.Server
	stopPeers                   func()
}

func (s *servers) close() {
	for _, h := range []*http.Server{s.callers, s.readiness, s.metrics} {
		// The process ends; connections that are left are cut on purpose.
		_ = h.Close()
	}
	s.stopPeers()
}

const (
	// headerTimeout, idleTimeout and maxHeaderBytes apply to all listeners, also without a configuration. Operators'
	// limits for callers are shorter and apply as well.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
)

func (g *Gateway) listen() (*servers, error) {
	s := &servers{}
	var err error
	serve := func(address string, h http.Handler, state func(net.Conn, http.ConnState)) *http.Server {
		hs := &http.Server{Handler: h, ConnState: state, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil}
		var l net.Listener
		if l, err = g.network.Listen(address); err != nil {
			return hs
		}
		go func() {
			if err := hs.Serve(l); err != nil && err != http.ErrServerClosed {
				g.log.Error().Err(err).Str("address", address).Msg("a listener ended")
			}
		}()
		return hs
	}
	if s.callers = serve(g.settings.CallersAddress, g.server, g.callers.state); err != nil {
		return nil, trace.Wrap(err)
	}
	if s.readiness = serve(g.settings.ReadinessAddress, http.HandlerFunc(g.serveReady), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	if s.metrics = serve(g.settings.MetricsAddress, g.metrics.handler(g.registry), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	s.stopPeers, err = g.peers.serve(g.settings.PeerAddress)
	return s, trace.Wrap(err)
}

// readyFreshness is how old the configuration may be at an instance that says it is ready: an instance that
// cannot reach the log service serves no caller with a key soon after.
const readyFreshness = configAge

// ready reports whether the instance should get new connections.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.fleetRead.Load() && g.fresh(readyFreshness)
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != g.around.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case g.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
