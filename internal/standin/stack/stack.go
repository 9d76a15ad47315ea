// Package stack runs stand-ins for everything that an instance needs around it: log service, instance
// list, weight store, engines and a plain service.
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

// Options are the addresses and properties of a stack.
type Options struct {
	// LogAddress, ListAddress and ServiceAddress are listen addresses.
	LogAddress     string
	ListAddress    string
	ServiceAddress string
	// EngineAddresses are the listen addresses of the engines.
	EngineAddresses []string
	// Engine describes each engine.
	Engine engine.Options
	// Store is the weight store's limits.
	Store weightstore.Limits
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ListLag is how late the list is.
	ListLag time.Duration
	// ServiceDelay is how long the plain service takes for a call.
	ServiceDelay time.Duration
	// Instances is the first content of the list.
	Instances []platform.Instance
	// Authority issues the certificates of all listeners; nil means plain text.
	Authority *authority.Authority
	// WrapBackend wraps the interface of each backend server, for checks of what reaches it; it may
	// be nil.
	WrapBackend func(http.Handler) http.Handler
	// EngineStarted is called when a request begins to run on the engine of an address; it may be nil.
	EngineStarted func(address string, r engine.Run)
}

// Stack is a running set of stand-ins.
type Stack struct {
	Log     *logservice.Service
	List    *instancelist.List
	Store   *weightstore.Store
	Engines []*engine.Engine
	Service *service.Service

	servers []*http.Server
}

// Start opens all listeners and serves them until Close.
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
		if o.EngineStarted != nil {
			o.Engine.Started = func(r engine.Run) { o.EngineStarted(address, r) }
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
		// Serve returns when the server is closed.
		_ = server.Serve(l)
	}()
	return nil
}

// certificate issues the certificate of a listener.
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

// Close stops all stand-ins at once.
func (s *Stack) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.Engines {
		e.Crash()
	}
}
