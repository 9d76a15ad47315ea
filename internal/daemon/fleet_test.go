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

// testFleet is several instances over stand-ins, in virtual time and in memory.
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
	headers   []http.Header
	authority *authority.Authority
	// prepare changes an instance before it runs.
	prepare func(*Daemon)
	// log replaces the instances' log to the test's output.
	log *zerolog.Logger
}

type testInstance struct {
	*Daemon
	// current is the daemon of the incarnation in force.
	current atomic.Pointer[Daemon]
	name    string
	address string
	drain   chan struct{}
	stop    context.CancelFunc
	done    chan struct{}
}

// testSettleTime is enough for a configuration to be in force everywhere.
const testSettleTime = 5 * time.Second

// runFleet runs f over n instances inside a synctest bubble.
func runFleet(t *testing.T, n int, change func(*stack.Options), f func(*testFleet)) {
	runPreparedFleet(t, n, change, nil, f)
}

// runPreparedFleet is runFleet with a change to each instance before it runs.
func runPreparedFleet(t *testing.T, n int, change func(*stack.Options), prepare func(*Daemon), f func(*testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, n, change, prepare)
		defer fleet.close()
		f(fleet)
	})
}

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

// prepareFleet starts the stand-ins for a fleet whose document is not published yet.
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
		WrapBackend:  f.seeHeaders,
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

func (f *testFleet) seeHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.headers = append(f.headers, r.Header.Clone())
		f.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

func instanceName(i int) string { return fmt.Sprintf("instance%d", i+1) }

// testDocument has two workspaces, adapters of each, an open adapter and two routes.
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

// publishDocument appends the document as a change of the version last published here.
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

func (f *testFleet) published() config.Document { return f.instance(0).replica.view().Document() }

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

// start runs an instance.
func (f *testFleet) start(name string) *testInstance {
	f.t.Helper()
	s := DefaultSettings()
	s.Instance, s.DataCentre = name, "dc1"
	s.Listen = Listen{Callers: name + ":1", Peers: name + ":2", Admin: name + ":3"}
	s.PeerAddress = s.Listen.Peers
	s.Platform = PlatformSettings{LogURL: scheme(f.authority) + "log:1", ListURL: scheme(f.authority) + "list:1", RetentionSeconds: int(f.retention.Seconds())}
	s.TLS = f.tlsSettings(name)
	s.Limits.MaxConnections, s.Limits.MaxBodyMemoryBytes = 64, 16<<20
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
		i.runAll(ctx, f)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i
}

// runAll runs the instance and, after each end of its membership, its next incarnation.
func (i *testInstance) runAll(ctx context.Context, f *testFleet) {
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

// stopPlanned drains the instance and waits for its end.
func (i *testInstance) stopPlanned() {
	close(i.drain)
	<-i.done
}

// kill ends an instance as a kill signal does.
func (f *testFleet) kill(i int) {
	f.net.Kill(f.instance(i).name)
	f.instance(i).stop()
	<-f.instance(i).done
}

// instance returns an instance by the order of starts. Requests run while others are started.
func (f *testFleet) instance(i int) *testInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[i]
}

// count returns the number of instances started so far.
func (f *testFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.instances)
}

func (f *testFleet) close() {
	for _, i := range f.instances {
		i.stop()
		<-i.done
	}
	f.stack.Close()
	f.net.Kill("platform")
	synctest.Wait()
}

// httpClient returns a client on a host of its own.
func (f *testFleet) httpClient() *http.Client {
	return &http.Client{Transport: f.transport("caller")}
}

// transport returns an HTTP transport on the named host that trusts the fleet's authority.
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

func scheme(a *authority.Authority) string {
	if a != nil {
		return "https://"
	}
	return "http://"
}

// tlsSettings issues an instance's certificate, when the fleet has an authority.
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

// openAI returns the official client, pointed at one instance.
func (f *testFleet) openAI(i int, secret string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(scheme(f.authority)+f.instance(i).address+"/v1/"), option.WithAPIKey(secret),
		option.WithHTTPClient(f.httpClient()), option.WithMaxRetries(0),
	)
}
