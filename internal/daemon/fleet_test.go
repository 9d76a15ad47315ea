package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/authority"
	"github.com/turmericworks/turmericworks/internal/standin/engine"
	"github.com/turmericworks/turmericworks/internal/standin/memnet"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/standin/weightstore"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/tlsconf"
)

// testFleet is a group of instances that run in one process on an in-memory network and in virtual time,
// with stand-ins for the platform, the engines and the plain service.
type testFleet struct {
	t         *testing.T
	net       *memnet.Network
	stack     *stack.Stack
	doc       config.Document
	version   config.Version
	secret    string
	retention time.Duration
	instances []*testInstance
	mu        sync.Mutex
	// headers are those of the requests that reached a backend server.
	headers   []http.Header
	authority *authority.Authority
	// prepare modifies an instance before it runs. It may be nil.
	prepare func(*Daemon)
	// settings modifies the settings of an instance. It may be nil.
	settings func(*Settings)
	// log replaces the logger of new instances, which writes to the test's output.
	log *zerolog.Logger
}

// testInstance is an instance of a testFleet. Its embedded Daemon is that of its first incarnation.
type testInstance struct {
	*Daemon
	// current is the daemon of the current incarnation.
	current atomic.Pointer[Daemon]
	name    string
	address string
	drain   chan struct{}
	stop    context.CancelFunc
	done    chan struct{}
}

// testSettleTime is long enough for a configuration to come into force on all instances.
const testSettleTime = 5 * time.Second

// runFleet runs f with a fleet of n instances inside a synctest bubble. change may modify the options of
// the stand-ins.
func runFleet(t *testing.T, n int, change func(*stack.Options), f func(*testFleet)) {
	runPreparedFleet(t, n, change, nil, f)
}

// runPreparedFleet is runFleet with a function that modifies each instance before it runs.
func runPreparedFleet(t *testing.T, n int, change func(*stack.Options), prepare func(*Daemon), f func(*testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, n, change, prepare)
		defer fleet.close()
		f(fleet)
	})
}

// newTestFleet starts n instances and waits until the configuration is in force on all of them.
func newTestFleet(t *testing.T, n int, change func(*stack.Options), prepare func(*Daemon)) *testFleet {
	f := prepareFleet(t, n, change)
	f.prepare = prepare
	f.publishDocument()
	for i := range n {
		f.start(instanceName(i))
	}
	time.Sleep(testSettleTime)
	return f
}

// prepareFleet starts the stand-ins. It neither publishes the configuration nor starts instances.
func prepareFleet(t *testing.T, n int, change func(*stack.Options)) *testFleet {
	f := &testFleet{t: t, net: memnet.New()}
	o := stack.Options{
		LogAddress: "log:1", ListAddress: "list:1", ServiceAddress: "service:1",
		EngineAddresses: []string{"engine1:1", "engine2:1"},
		Engine: engine.Options{
			Slots: 4, MaxBatch: 8, Prefill: 50 * time.Millisecond, TokenTime: 20 * time.Millisecond, ChecksFence: true,
		},
		Store:        weightstore.Limits{LoadTime: 250 * time.Millisecond, MaxInFlight: 8},
		Retention:    24 * time.Hour,
		ListLag:      10 * time.Second,
		ServiceDelay: 50 * time.Millisecond,
		WrapBackend:  f.recordHeaders,
	}
	for i := range n {
		o.Instances = append(o.Instances, platform.Instance{
			ID: instanceName(i), DataCentre: "dc1", PeerAddr: instanceName(i) + ":2", State: platform.Live,
		})
	}
	if change != nil {
		change(&o)
	}
	f.authority = o.Authority
	s, err := stack.Start(f.net.Host("platform"), o)
	if err != nil {
		t.Fatal(err)
	}
	f.stack, f.retention = s, o.Retention
	f.doc, f.secret = testDocument(o)
	return f
}

// recordHeaders records the header of each request that a backend server receives.
func (f *testFleet) recordHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.headers = append(f.headers, r.Header.Clone())
		f.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

func instanceName(i int) string { return fmt.Sprintf("instance%d", i+1) }

// testDocument returns a configuration with two workspaces, adapters of each, an open adapter and two
// routes, and the secret of a key of the first workspace.
func testDocument(o stack.Options) (config.Document, string) {
	k, err := keys.Generate()
	if err != nil {
		panic(err)
	}
	d := config.Document{
		Fleet: config.Fleet{WeightStore: config.WeightStore{LoadsPerSecond: 4, FullSpeed: 1, MaxInFlight: 8}},
		Workspaces: map[string]config.Workspace{
			"racks": {TokensPerSecond: 10_000, BurstTokens: 50_000}, "notes": {TokensPerSecond: 10_000, BurstTokens: 50_000},
		},
		Keys: map[string]config.Key{k.ID: {Workspace: "racks", Hash: k.Hash}},
		Adapters: map[string]config.Adapter{
			"summary": {Workspace: "racks", BaseModel: "base", Versions: []string{"1", "2"}, Default: "2"},
			"foreign": {Workspace: "notes", BaseModel: "base", Versions: []string{"1"}, Default: "1"},
			"public":  {Workspace: "notes", BaseModel: "base", Versions: []string{"1"}, Default: "1", Open: true},
		},
		Routes: map[string]config.Route{
			"lots":   {Workspace: "racks", Service: "lots", NonIdempotent: true},
			"status": {Workspace: "racks", Service: "lots"},
		},
		BackendServers: map[string]config.BackendServer{
			"lots-1": {Kind: config.KindService, URL: scheme(o.Authority) + o.ServiceAddress, DataCentre: "dc1", Service: "lots"},
		},
	}
	for i, address := range o.EngineAddresses {
		d.BackendServers[fmt.Sprintf("engine-%d", i+1)] = config.BackendServer{
			Kind: config.KindEngine, URL: scheme(o.Authority) + address, DataCentre: "dc1", BaseModel: "base", Slots: o.Engine.Slots,
			ChecksFence: o.Engine.ChecksFence, EvictsOnlyIdle: o.Engine.ChecksFence,
		}
	}
	return d, k.Secret
}

// publishDocument appends the differences between the configuration in force, if any, and doc to the log.
func (f *testFleet) publishDocument() {
	f.t.Helper()
	old := config.Document{}
	if f.version > 0 {
		old = f.published()
	}
	ops, err := config.Diff(old, f.doc)
	if err != nil {
		f.t.Fatal(err)
	}
	f.appendChange(ops)
}

// published returns the configuration that the first instance has in force.
func (f *testFleet) published() config.Document { return f.instance(0).replica.view().Document() }

// appendChange appends a change to the log. Its base is the version that was last appended here.
func (f *testFleet) appendChange(ops []config.Operation) {
	f.t.Helper()
	env, err := config.NewChange(fmt.Sprintf("change-%d", f.version), "test", config.Change{Base: f.version, Operations: ops, Author: "test"})
	if err != nil {
		f.t.Fatal(err)
	}
	data, err := record.Encode([]record.Envelope{env})
	if err != nil {
		f.t.Fatal(err)
	}
	offset, err := f.platformLog("operator").Append(context.Background(), platform.StreamConfig, data)
	if err != nil {
		f.t.Fatal(err)
	}
	f.version = config.Version(offset + 1)
}

// start starts an instance in the background.
func (f *testFleet) start(name string) *testInstance {
	f.t.Helper()
	s := DefaultSettings()
	s.Instance, s.DataCentre = name, "dc1"
	s.Listen = Listen{Callers: name + ":1", Peers: name + ":2", Admin: name + ":3"}
	s.PeerAddress = s.Listen.Peers
	s.Platform = PlatformSettings{LogURL: scheme(f.authority) + "log:1", ListURL: scheme(f.authority) + "list:1", RetentionSeconds: int(f.retention.Seconds())}
	s.TLS = f.tlsSettings(name)
	s.Limits.MaxConnections, s.Limits.MaxBodyMemoryBytes = 64, 16<<20
	if f.settings != nil {
		f.settings(&s)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &testInstance{name: name, address: s.Listen.Callers, drain: make(chan struct{}), stop: stop, done: make(chan struct{})}
	log := zerolog.New(zerolog.NewTestWriter(f.t)).Level(zerolog.WarnLevel)
	if f.log != nil {
		log = *f.log
	}
	var err error
	i.Daemon, err = New(Options{
		Settings: s, Network: f.net.Host(name), Log: log,
		Incarnation: fmt.Sprintf("%s-%d", name, len(f.instances)),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if f.prepare != nil {
		f.prepare(i.Daemon)
	}
	i.current.Store(i.Daemon)
	go func() {
		defer close(i.done)
		i.runIncarnations(ctx, f)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i
}

// runIncarnations runs the instance and, each time its membership ends, its next incarnation.
func (i *testInstance) runIncarnations(ctx context.Context, f *testFleet) {
	d := i.Daemon
	for n := 1; ; n++ {
		err := d.Run(ctx, i.drain)
		if !errors.Is(err, ErrWithdrawn) {
			return
		}
		o := d.opts
		o.Previous, o.Incarnation = o.Incarnation, fmt.Sprintf("%s-again-%d", i.name, n)
		if d, err = New(o); err != nil {
			f.t.Error(err)
			return
		}
		i.current.Store(d)
	}
}

// drainAndWait drains the instance and waits until it has exited.
func (i *testInstance) drainAndWait() {
	close(i.drain)
	<-i.done
}

// kill ends an instance without draining it, as SIGKILL does.
func (f *testFleet) kill(i int) {
	f.net.Kill(f.instance(i).name)
	f.instance(i).stop()
	<-f.instance(i).done
}

// instance returns the instance that was started as number i, from 0. It takes the lock because instances
// are started while requests are being sent.
func (f *testFleet) instance(i int) *testInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[i]
}

// instanceCount returns the number of instances started so far.
func (f *testFleet) instanceCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.instances)
}

// close stops the instances and the stand-ins and waits for their goroutines.
func (f *testFleet) close() {
	for _, i := range f.instances {
		i.stop()
		<-i.done
	}
	f.stack.Close()
	f.net.Kill("platform")
	synctest.Wait()
}

// httpClient returns a client on the host "caller".
func (f *testFleet) httpClient() *http.Client {
	return &http.Client{Transport: f.transport("caller")}
}

// transport returns an HTTP transport on the named host that trusts the fleet's certificate authority, if it
// has one.
func (f *testFleet) transport(host string) *http.Transport {
	transport := network.HTTPTransport(f.net.Host(host))
	if f.authority != nil {
		pool, err := tlsconf.LoadCAPool(f.authority.CAFile())
		if err != nil {
			f.t.Fatal(err)
		}
		transport.TLSClientConfig, _ = pool.ClientConfig()
	}
	f.t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// scheme returns the URL scheme of a fleet with or without a certificate authority.
func scheme(a *authority.Authority) string {
	if a != nil {
		return "https://"
	}
	return "http://"
}

// tlsSettings issues a certificate for an instance if the fleet has a certificate authority, and permits
// plain text otherwise.
func (f *testFleet) tlsSettings(name string) TLSSettings {
	if f.authority == nil {
		return TLSSettings{PlainText: true}
	}
	certFile, keyFile, err := f.authority.Issue(name, name)
	if err != nil {
		f.t.Fatal(err)
	}
	pair, ca := KeyPair{CertFile: certFile, KeyFile: keyFile}, f.authority.CAFile()
	return TLSSettings{Callers: pair, Admin: pair, Peers: pair, PeerCAFile: ca, BackendCAFile: ca}
}

// openAIClient returns OpenAI's official client for one instance. It does not retry.
func (f *testFleet) openAIClient(i int, secret string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(scheme(f.authority)+f.instance(i).address+"/v1/"), option.WithAPIKey(secret),
		option.WithHTTPClient(f.httpClient()), option.WithMaxRetries(0),
	)
}
