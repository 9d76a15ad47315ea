// Package operator builds configurations for turmericworks in Go and prints them as the JSON document
// that turmericctl validates, compares and publishes.
//
//	c := operator.New()
//	c.WeightStore(4, 1, 8)
//	crews := c.Workspace("crews", 20_000, 100_000)
//	crews.Adapter("shift-summary", "kelp-base-8b", "v1").Batch().Deadline(time.Hour)
//	c.Engine("engine-1", "http://10.0.0.1:8000", "nemuro-a", "kelp-base-8b", 8).ChecksFence()
//	if err := c.Print(os.Stdout); err != nil { ... }
package operator

import (
	"encoding/json"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
)

// Config is a configuration under construction. It is not safe for concurrent use.
type Config struct {
	fleet      config.Fleet
	workspaces map[string]*Workspace
	keys       map[string]config.Key
	adapters   map[string]*Adapter
	routes     map[string]*Route
	servers    map[string]*Server
	problems   config.Problems
}

// New returns an empty configuration.
func New() *Config {
	return &Config{
		workspaces: map[string]*Workspace{}, keys: map[string]config.Key{}, adapters: map[string]*Adapter{},
		routes: map[string]*Route{}, servers: map[string]*Server{},
	}
}

// WeightStore sets the limits of the weight store: the largest rate of adapter loads per second, how
// many loads run at full speed at once, and how many may be in flight before each becomes slower.
func (c *Config) WeightStore(loadsPerSecond float64, fullSpeed, maxInFlight int) *Config {
	c.fleet.WeightStore = config.WeightStore{
		LoadsPerSecond: loadsPerSecond, FullSpeed: fullSpeed, MaxInFlight: maxInFlight,
	}
	return c
}

// Policy weighs the service of the worst-served workspace against the worth of requests. The sum need
// not be one.
func (c *Config) Policy(worstServed, worth float64) *Config {
	c.fleet.Policy = config.Policy{WorstServed: worstServed, Worth: worth}
	return c
}

// Workspace is a workspace under construction.
type Workspace struct {
	config *Config
	id     string
	value  config.Workspace
}

// Workspace adds a workspace with its rate in tokens per second and its burst in tokens, both over the
// whole fleet.
func (c *Config) Workspace(id string, tokensPerSecond, burstTokens float64) *Workspace {
	w := &Workspace{config: c, id: id, value: config.Workspace{
		TokensPerSecond: tokensPerSecond, BurstTokens: burstTokens,
	}}
	put(c, "workspaces", c.workspaces, id, w)
	return w
}

// Weight sets the share in fair queueing. The default is 1.
func (w *Workspace) Weight(weight float64) *Workspace {
	w.value.Weight = weight
	return w
}

// Key adds a key by its public id and the SHA-256 hash of its secret in hexadecimal, as printed by
// "turmericctl keygen". The secret itself must not be part of a configuration.
func (w *Workspace) Key(id, hash string) *Workspace {
	put(w.config, "keys", w.config.keys, id, config.Key{Workspace: w.id, Hash: hash})
	return w
}

// GenerateKey adds a new key and returns its secret, which is stored nowhere. It fails if the system
// has no random numbers.
func (w *Workspace) GenerateKey() (secret string, err error) {
	k, err := keys.Generate()
	if err != nil {
		return "", trace.Wrap(err)
	}
	w.Key(k.ID, k.Hash)
	return k.Secret, nil
}

// Adapter is an adapter under construction.
type Adapter struct{ value config.Adapter }

// Adapter adds an adapter with its versions. The last version is the default.
func (w *Workspace) Adapter(name, baseModel string, versions ...string) *Adapter {
	a := &Adapter{config.Adapter{Workspace: w.id, BaseModel: baseModel, Versions: versions}}
	if len(versions) > 0 {
		a.value.Default = versions[len(versions)-1]
	}
	put(w.config, "adapters", w.config.adapters, name, a)
	return a
}

// Default sets the version that a bare name takes.
func (a *Adapter) Default(version string) *Adapter {
	a.value.Default = version
	return a
}

// Open lets callers of every workspace use the adapter, without a key.
func (a *Adapter) Open() *Adapter {
	a.value.Open = true
	return a
}

// Interactive gives requests the most urgent class. The default is the standard class.
func (a *Adapter) Interactive() *Adapter {
	a.value.Class = config.Interactive
	return a
}

// Batch gives requests the least urgent class.
func (a *Adapter) Batch() *Adapter {
	a.value.Class = config.Batch
	return a
}

// Deadline sets how long a request may take in all. The default is 300 s.
func (a *Adapter) Deadline(d time.Duration) *Adapter {
	a.value.DeadlineSeconds = d.Seconds()
	return a
}

// Worth sets what a completed request is worth to the customer. The default is 1.
func (a *Adapter) Worth(worth float64) *Adapter {
	a.value.Worth = worth
	return a
}

// Route is a route under construction.
type Route struct{ value config.Route }

// Route adds a route to the plain service that backend servers offer under the name service.
func (w *Workspace) Route(id, service string) *Route {
	r := &Route{config.Route{Workspace: w.id, Service: service}}
	put(w.config, "routes", w.config.routes, id, r)
	return r
}

// NonIdempotent marks calls that run at most once and need an Idempotency-Key.
func (r *Route) NonIdempotent() *Route {
	r.value.NonIdempotent = true
	return r
}

// Open lets every caller use the route, without a key.
func (r *Route) Open() *Route {
	r.value.Open = true
	return r
}

// Tokens sets the charge of one call against the workspace's rate. The default is 1.
func (r *Route) Tokens(tokens int) *Route {
	r.value.Tokens = tokens
	return r
}

// Deadline sets how long a call may take. The default is 30 s.
func (r *Route) Deadline(d time.Duration) *Route {
	r.value.DeadlineSeconds = d.Seconds()
	return r
}

// Server is a backend server under construction.
type Server struct{ value config.BackendServer }

// Engine adds an engine that runs a base model with adapters in a number of slots.
func (c *Config) Engine(id, url, dataCentre, baseModel string, slots int) *Server {
	return c.server(id, config.BackendServer{
		Kind: config.KindEngine, URL: url, DataCentre: dataCentre, BaseModel: baseModel, Slots: slots,
	})
}

// Service adds a server of the plain service called name.
func (c *Config) Service(id, url, dataCentre, name string) *Server {
	return c.server(id, config.BackendServer{
		Kind: config.KindService, URL: url, DataCentre: dataCentre, Service: name,
	})
}

func (c *Config) server(id string, value config.BackendServer) *Server {
	s := &Server{value}
	put(c, "backend_servers", c.servers, id, s)
	return s
}

// ChecksFence says that the engine refuses an order with an old fencing number.
func (s *Server) ChecksFence() *Server {
	s.value.ChecksFence = true
	return s
}

// EvictsOnlyIdle says that the engine can evict an adapter only if it is idle.
func (s *Server) EvictsOnlyIdle() *Server {
	s.value.EvictsOnlyIdle = true
	return s
}

// Leaving takes the backend server out of use for new work.
func (s *Server) Leaving() *Server {
	s.value.Leaving = true
	return s
}

// Check returns all faults of the configuration with their JSON pointers, or nil.
func (c *Config) Check() error {
	err := config.CheckDocument(c.document())
	if len(c.problems) == 0 {
		return err
	}
	if found := config.ProblemsOf(err); err == nil || found != nil {
		return append(append(config.Problems{}, c.problems...), found...)
	}
	return err
}

// Print checks the configuration and writes it as an indented JSON document. It fails with all faults
// of the configuration, or if w does.
func (c *Config) Print(w io.Writer) error {
	if err := c.Check(); err != nil {
		return trace.Wrap(err)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(c.document()))
}

func (c *Config) document() config.Document {
	return config.Document{
		Fleet:          c.fleet,
		Workspaces:     values(c.workspaces, func(w *Workspace) config.Workspace { return w.value }),
		Keys:           c.keys,
		Adapters:       values(c.adapters, func(a *Adapter) config.Adapter { return a.value }),
		Routes:         values(c.routes, func(r *Route) config.Route { return r.value }),
		BackendServers: values(c.servers, func(s *Server) config.BackendServer { return s.value }),
	}
}

func values[B, T any](builders map[string]B, value func(B) T) map[string]T {
	m := make(map[string]T, len(builders))
	for id, b := range builders {
		m[id] = value(b)
	}
	return m
}

// put adds an object. An id that is used twice is a fault, since the second object would replace the
// first one.
func put[T any](c *Config, field string, objects map[string]T, id string, value T) {
	if _, used := objects[id]; used {
		c.problems = append(c.problems, config.Problem{Path: "/" + field + "/" + id, Message: "is added twice"})
	}
	objects[id] = value
}
