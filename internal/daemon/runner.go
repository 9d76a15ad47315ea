package daemon

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/coordination/shares"
	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
	"github.com/turmericworks/turmericworks/internal/transport/dispatch"
	"github.com/turmericworks/turmericworks/internal/transport/entry"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// configChanged applies a new configuration to every component of the instance.
func (d *Daemon) configChanged(v *config.View) {
	servers := map[string]config.BackendServer{}
	for id, s := range v.BackendServers() {
		servers[id] = *s
	}
	d.fleet.Update(servers)
	d.scheduler.Configure(v)
	d.owners.configure(v)
	d.control.configure(v)
	d.entry.ConfigChanged()
	d.events.record(event.Event{Kind: event.Configuration, Sequence: uint64(v.Version()), Code: "in_force"})
}

func (d *Daemon) engineReported(r fleet.Report) {
	d.scheduler.HandleReport(r)
	d.owners.handleReport(r)
}

// isLoopback reports whether an address is an IP address of the loopback interface, with a port.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// seedOf derives a random seed from an identifier, by its FNV-1a hash.
func seedOf(id string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// runner runs completions and calls of plain services, and charges their tokens to the workspace.
type runner struct {
	*dispatch.Runner
	daemon *Daemon
}

// CallService implements entry.Runner for plain services.
func (r *runner) CallService(ctx context.Context, c entry.ServiceCall) (a backend.ServiceResponse, err error) {
	tokens := max(c.Route.Tokens, 1)
	reservation, err := r.reserve(ctx, c.Workspace, tokens)
	if err != nil {
		return a, err
	}
	defer func() { r.daemon.control.settleTokens(reservation, chargedTokens(tokens, tokens, err)) }()
	if c.Route.NonIdempotent {
		return r.daemon.actions.run(ctx, c)
	}
	return r.sendToService(ctx, c)
}

// sendToService sends a call that may be repeated. The lease is checked again, since the process may have been paused, or the
// call have waited for tokens, after the request was admitted.
func (r *runner) sendToService(ctx context.Context, c entry.ServiceCall) (backend.ServiceResponse, error) {
	if !r.daemon.control.valid() && !r.daemon.control.mayServeUnjoined() {
		return backend.ServiceResponse{}, errNoLease
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return dispatch.CallService(ctx, r.daemon.fleet.Services(c.Route.Service), c.Request)
}

// Complete implements entry.Runner.
func (r *runner) Complete(ctx context.Context, c entry.Call) (backend.Response, error) {
	reservation, err := r.reserve(ctx, c.Workspace, c.Tokens)
	if err != nil {
		return backend.Response{}, err
	}
	answer, err := r.Runner.Complete(ctx, c)
	r.daemon.control.settleTokens(reservation, chargedTokens(c.Tokens, answer.Usage.TotalTokens, err))
	return answer, err
}

// Stream implements entry.Runner.
func (r *runner) Stream(ctx context.Context, c entry.Call) (backend.ChunkReader, error) {
	reservation, err := r.reserve(ctx, c.Workspace, c.Tokens)
	if err != nil {
		return nil, err
	}
	chunks, err := r.Runner.Stream(ctx, c)
	if err != nil {
		r.daemon.control.settleTokens(reservation, chargedTokens(c.Tokens, 0, err))
		return nil, err
	}
	return &chargedStream{ChunkReader: chunks, call: c, settle: func(used int, err error) {
		r.daemon.control.settleTokens(reservation, chargedTokens(c.Tokens, used, err))
	}}, nil
}

// chargedStream settles the reservation of a streamed request when the stream is closed.
type chargedStream struct {
	backend.ChunkReader
	call   entry.Call
	settle func(used int, err error)
	used   int
	err    error
	done   bool
}

// Next implements backend.ChunkReader.
func (s *chargedStream) Next() (backend.Chunk, error) {
	chunk, err := s.ChunkReader.Next()
	if chunk.Usage != nil {
		s.used = chunk.Usage.TotalTokens
	}
	s.err, s.done = err, chunk.Done
	return chunk, err
}

// Close implements backend.ChunkReader. A stream that ended early without a usage report is charged in
// full, since its usage is unknown.
func (s *chargedStream) Close() error {
	used := s.used
	if !s.done && s.used == 0 {
		used = s.call.Tokens
	}
	s.settle(used, s.err)
	return s.ChunkReader.Close()
}

// chargedTokens returns the tokens to charge for a request: none if it certainly did not run, its usage if
// that is known, and otherwise all that were reserved.
func chargedTokens(reserved, used int, err error) int {
	switch {
	case err == nil && used > 0:
		return min(used, reserved)
	case err != nil && verdict.FromError(err).Verdict == verdict.NotRun:
		return 0
	default:
		return reserved
	}
}

// reserve reserves a request's tokens, or returns the error that refuses the request.
func (r *runner) reserve(ctx context.Context, workspace string, tokens int) (shares.Reservation, error) {
	reservation, outcome := r.daemon.control.reserveTokens(ctx, workspace, tokens)
	switch outcome {
	case shares.Granted:
		return reservation, nil
	case shares.TooLarge:
		return reservation, verdict.New(verdict.NotRun, http.StatusBadRequest, "request_too_large",
			"the request can use more tokens than the workspace's burst")
	case shares.Wait:
		return reservation, verdict.Wrap(ctx.Err(), verdict.NotRun, http.StatusGatewayTimeout, "caller_gone",
			"the request ended while it waited for tokens")
	case shares.NoLease:
		return reservation, errNoLease
	case shares.Unknown:
		return reservation, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "workspace_unknown",
			"the workspace has no rate yet").WithRetryAfter(time.Second)
	default:
		return reservation, verdict.New(verdict.NotRun, http.StatusTooManyRequests, "rate_limited",
			"the workspace is over its rate").WithRetryAfter(time.Second)
	}
}

// applyControlRecord passes a record of the control stream to the scheduler if it concerns an engine
// crash.
func (d *Daemon) applyControlRecord(e record.Entry) {
	var err error
	switch e.Kind {
	case retry.KindBlame:
		var rec retry.BlameRecord
		if err = e.Unmarshal(&rec); err == nil {
			d.scheduler.MergeBlame(rec)
		}
	case retry.KindPromptParts:
		var rec retry.PromptPartRecord
		if err = e.Unmarshal(&rec); err == nil {
			d.scheduler.MergePromptParts(rec)
		}
	}
	if err != nil {
		d.log.Warn().Err(err).Str("kind", string(e.Kind)).Msg("record of a crash ignored")
	}
}

// publishBlame appends a record of the requests that ran during an engine crash.
func (d *Daemon) publishBlame(rec retry.BlameRecord) { d.appendCrashRecord(retry.KindBlame, rec) }

// publishPromptParts appends a record about parts of prompts that may crash engines.
func (d *Daemon) publishPromptParts(rec retry.PromptPartRecord) {
	if rec.Refused != "" {
		d.log.Warn().Str("prompt_part", rec.Refused).Int64("for_ms", rec.RemainingMS).Int("number", rec.Number).Msg("requests that crash engines are refused")
	}
	d.appendCrashRecord(retry.KindPromptParts, rec)
}

func (d *Daemon) appendCrashRecord(kind record.Kind, body any) {
	env, err := record.New(kind, uuid.NewString(), d.opts.Incarnation, body)
	if err != nil {
		d.log.Error().Err(err).Str("kind", string(kind)).Msg("record of a crash not written")
		return
	}
	go d.control.appendRecord(context.Background(), env)
}

// adminHandler returns the handler of the operators' API and of the timeline.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/v1/", d.operators)
	mux.Handle("GET /debug/events", admin.RequireToken(d.settings.tokens(), d.events))
	// Callers may hold all connections at their own address.
	mux.HandleFunc("GET /readyz", d.entry.ServeReady)
	mux.HandleFunc("GET /healthz", d.entry.ServeHealth)
	return mux
}
