// Package stack runs the simulated dependencies of an instance: log service, instance list, weight store,
// engines and a plain service.
package stack

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/authority"
	"github.com/turmericworks/turmericworks/internal/standin/engine"
	"github.com/turmericworks/turmericworks/internal/standin/instancelist"
	"github.com/turmericworks/turmericworks/internal/standin/logservice"
	"github.com/turmericworks/turmericworks/internal/standin/service"
	"github.com/turmericworks/turmericworks/internal/standin/weightstore"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/tlsconf"
)

// Options configure a stack.
type Options struct {
	// LogAddress, ListAddress and ServiceAddress are the listen addresses of the log service, the instance
	// list and the plain service. A server whose address is empty is not started.
	LogAddress     string
	ListAddress    string
	ServiceAddress string
	// EngineAddresses are the listen addresses of the engines, one engine for each.
	EngineAddresses []string
	// Engine configures each engine. Start replaces its Store.
	Engine engine.Options
	// Store limits the weight store, which all engines share.
	Store weightstore.Limits
	// Retention is how long the log service keeps records.
	Retention time.Duration
	// ListLag is how long the instance list takes to show a change.
	ListLag time.Duration
	// ServiceDelay is how long a call of the plain service takes.
	ServiceDelay time.Duration
	// Instances is the initial content of the instance list.
	Instances []platform.Instance
	// Authority issues the certificates of all listeners; if nil, they do not use TLS.
	Authority *authority.Authority
	// WrapBackend, if not nil, wraps the handler of each backend server, so that tests can inspect the
	// requests that reach it.
	WrapBackend func(http.Handler) http.Handler
	// OnEngineStart, if not nil, is called when a request begins to run on the engine at an address.
	OnEngineStart func(address string, r engine.StartedRequest)
}

// Stack is a running set of simulated dependencies.
type Stack struct {
	Log     *logservice.Service
	List    *instancelist.List
	Store   *weightstore.Store
	Engines []*engine.Engine
	Service *service.Service

	servers []*http.Server
}

// Start opens all listeners and serves them until Close is called.
func Start(n network.Network, o Options) (*Stack, error) {
	s := &Stack{
		Log: logservice.New(o.Retention), List: instancelist.New(o.ListLag), Store: weightstore.New(o.Store),
		Service: service.New(o.ServiceDelay),
	}
	s.List.Set(o.Instances)
	o.Engine.Store = s.Store
	wrap := o.WrapBackend
	if wrap == nil {
		wrap = func(h http.Handler) http.Handler { return h }
	}
	handlers := map[string]http.Handler{
		o.LogAddress: s.Log.Handler(), o.ListAddress: s.List.Handler(), o.ServiceAddress: wrap(s.Service.Handler()),
	}
	for _, address := range o.EngineAddresses {
		if o.OnEngineStart != nil {
			o.Engine.OnStart = func(r engine.StartedRequest) { o.OnEngineStart(address, r) }
		}
		e := engine.New(o.Engine)
		s.Engines = append(s.Engines, e)
		handlers[address] = wrap(e.Handler())
	}
	for address, h := range handlers {
		if address == "" {
			continue
		}
		if err := s.serve(n, address, o.Authority, h); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Stack) serve(n network.Network, address string, a *authority.Authority, h http.Handler) error {
	l, err := n.Listen(address)
	if err != nil {
		return trace.Wrap(err, "listening on %s", address)
	}
	if a != nil {
		conf, err := certificate(a, address)
		if err != nil {
			return err
		}
		l = tls.NewListener(l, conf)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() {
		// Serve always returns an error; after Close it is http.ErrServerClosed.
		_ = server.Serve(l)
	}()
	return nil
}

// certificate issues a certificate for the host of a listener and returns the server configuration with it.
func certificate(a *authority.Authority, address string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certFile, keyFile, err := a.Issue(host, host)
	if err != nil {
		return nil, err
	}
	pair, err := tlsconf.LoadKeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return pair.ServerConfig(), nil
}

// Close closes all servers and connections immediately and ends all requests on the engines.
func (s *Stack) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.Engines {
		e.Crash()
	}
}
