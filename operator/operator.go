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

// Config builds a configuration. It is not safe for concurrent use.
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

// WeightStore sets the limits of the weight store: the maximum rate of adapter loads per second, how many concurrent
// loads run at full speed, and how many may be in flight before each slows down.
func (c *Config) WeightStore(loadsPerSecond float64, fullSpeed, maxInFlight int) *Config {
	c.fleet.WeightStore = config.WeightStore{
		LoadsPerSecond: loadsPerSecond, FullSpeed: fullSpeed, MaxInFlight: maxInFlight,
	}
	return c
}

// Policy weighs the scheduling objectives against each other: serving the workspace that lags most behind its fair share,
// and completing requests of high worth. The values need not add up to one.
func (c *Config) Policy(worstServed, worth float64) *Config {
	c.fleet.Policy = config.Policy{WorstServed: worstServed, Worth: worth}
	return c
}

// Workspace builds a workspace.
type Workspace struct {
	config *Config
	id     string
	value  config.Workspace
}

// Workspace adds a workspace with its rate limit in tokens per second and its burst size in tokens, which both apply to
// the whole fleet.
func (c *Config) Workspace(id string, tokensPerSecond, burstTokens float64) *Workspace {
	w := &Workspace{config: c, id: id, value: config.Workspace{
		TokensPerSecond: tokensPerSecond, BurstTokens: burstTokens,
	}}
	put(c, "workspaces", c.workspaces, id, w)
	return w
}

// Weight sets the weight of the workspace in fair queueing. The default is 1.
func (w *Workspace) Weight(weight float64) *Workspace {
	w.value.Weight = weight
	return w
}

// Key adds an API key given by its public id and the SHA-256 hash of its secret in hexadecimal, as printed by
// "turmericctl keygen". The secret itself must not be part of a configuration.
func (w *Workspace) Key(id, hash string) *Workspace {
	put(w.config, "keys", w.config.keys, id, config.Key{Workspace: w.id, Hash: hash})
	return w
}

// GenerateKey adds a new API key and returns its secret, which is not stored. It fails if the system provides no random
// numbers.
func (w *Workspace) GenerateKey() (secret string, err error) {
	k, err := keys.Generate()
	if err != nil {
		return "", trace.Wrap(err)
	}
	w.Key(k.ID, k.Hash)
	return k.Secret, nil
}

// Adapter builds an adapter.
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

// Default sets the version that is used when a request names none.
func (a *Adapter) Default(version string) *Adapter {
	a.value.Default = version
	return a
}

// Open lets callers of every workspace use the adapter, without a key.
func (a *Adapter) Open() *Adapter {
	a.value.Open = true
	return a
}

// Interactive assigns requests to the most urgent service class. The default is the standard class.
func (a *Adapter) Interactive() *Adapter {
	a.value.Class = config.Interactive
	return a
}

// Batch assigns requests to the least urgent service class.
func (a *Adapter) Batch() *Adapter {
	a.value.Class = config.Batch
	return a
}

// Deadline sets how long a request may take in total. The default is 300 s.
func (a *Adapter) Deadline(d time.Duration) *Adapter {
	a.value.DeadlineSeconds = d.Seconds()
	return a
}

// Worth sets the value of a completed request to the customer. The default is 1.
func (a *Adapter) Worth(worth float64) *Adapter {
	a.value.Worth = worth
	return a
}

// Route builds a route.
type Route struct{ value config.Route }

// Route adds a route to the plain service that backend servers declare under the given name.
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

// Tokens sets how many tokens of the workspace's rate limit one call consumes. The default is 1.
func (r *Route) Tokens(tokens int) *Route {
	r.value.Tokens = tokens
	return r
}

// Deadline sets how long a call may take. The default is 30 s.
func (r *Route) Deadline(d time.Duration) *Route {
	r.value.DeadlineSeconds = d.Seconds()
	return r
}

// Server builds a backend server.
type Server struct{ value config.BackendServer }

// Engine adds a model engine that runs a base model and holds up to slots adapters at once.
func (c *Config) Engine(id, url, dataCentre, baseModel string, slots int) *Server {
	return c.server(id, config.BackendServer{
		Kind: config.KindEngine, URL: url, DataCentre: dataCentre, BaseModel: baseModel, Slots: slots,
	})
}

// Service adds a backend server that offers the plain service called name.
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

// ChecksFence declares that the engine rejects orders with an outdated fencing token.
func (s *Server) ChecksFence() *Server {
	s.value.ChecksFence = true
	return s
}

// EvictsOnlyIdle declares that the engine can evict an adapter only while it is idle.
func (s *Server) EvictsOnlyIdle() *Server {
	s.value.EvictsOnlyIdle = true
	return s
}

// Leaving marks a backend server that gets no new work.
func (s *Server) Leaving() *Server {
	s.value.Leaving = true
	return s
}

// Check validates the configuration. It returns nil or an error that lists all problems with their JSON pointers.
func (c *Config) Check() error {
	err := config.CheckDocument(c.document())
	if len(c.problems) == 0 {
		return err
	}
	if problems := config.ProblemsOf(err); err == nil || problems != nil {
		return append(append(config.Problems{}, c.problems...), problems...)
	}
	return err
}

// Print validates the configuration and writes it to w as an indented JSON document. It fails if Check does or if writing
// to w does.
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

// put adds an object. It records a problem if the id is used already, since the second object would replace the first.
func put[T any](c *Config, field string, objects map[string]T, id string, value T) {
	if _, used := objects[id]; used {
		c.problems = append(c.problems, config.Problem{Path: "/" + field + "/" + id, Message: "is added twice"})
	}
	objects[id] = value
}
