package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
)

// listen opens a listener and returns a service that serves it. At most limit connections are accepted at
// a time; further ones wait in the operating system's accept queue. If conf is nil, the listener uses
// plain text.
func (d *Daemon) listen(address string, conf *tls.Config, limit int, h http.Handler) (suture.Service, error) {
	inner, err := d.opts.Network.Listen(address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	limits := d.settings.Limits.callers()
	if conf != nil {
		limits = limits.WithTLS()
	}
	limits.Connections = min(limits.Connections, limit)
	g := guard.New(d.listenerName(address), limits, d.guardMetrics, d.log)
	tracked := d.connections.Listener(g.Listener(inner, conf != nil))
	var l net.Listener = tracked
	if conf != nil {
		l = tls.NewListener(tracked, conf)
	}
	s := &http.Server{
		Handler: guard.Handler(d.announceClose(h)), ConnContext: guard.ConnContext, ConnState: d.connectionState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes,
		// "OPTIONS *" goes to the handler, so that it gets an answer with a verdict like every other
		// request.
		DisableGeneralOptionsHandler: true,
		// HTTP/2 stays off: one connection could carry hundreds of requests, which max_connections does
		// not bound.
		Protocols: &http.Protocols{},
	}
	s.Protocols.SetHTTP1(true)
	d.servers, d.listeners = append(d.servers, s), append(d.listeners, tracked)
	// Close returns the errors of closing the listeners, which do not matter after the stop.
	return &listenerService{run: g.Run, serve: func() error { return s.Serve(l) }, stop: func() { _ = s.Close() }}, nil
}

// listenerName returns the name of a listener in metrics and the log.
func (d *Daemon) listenerName(address string) string {
	if address == d.settings.Listen.Admin {
		return "admin"
	}
	return "callers"
}

// connectionState passes the state of a connection to d.connections, which track what is below TLS.
func (d *Daemon) connectionState(c net.Conn, s http.ConnState) {
	guard.ConnState(c, s)
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	d.connections.ConnState(c, s)
}

// announceClose asks the clients of a draining instance to close their connections, so that the load balancer sends
// their next requests to another one.
func (d *Daemon) announceClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// listenerService runs one listener under the supervisor.
type listenerService struct {
	// run is run beside serve, if it is not nil.
	run   func(ctx context.Context)
	serve func() error
	stop  func()
}

// Serve implements suture.Service. The supervisor does not restart a listener that has stopped serving.
func (s *listenerService) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.serve() }()
	if s.run != nil {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		go s.run(ctx)
	}
	select {
	case <-done:
		return suture.ErrDoNotRestart
	case <-ctx.Done():
		s.stop()
		return ctx.Err()
	}
}
