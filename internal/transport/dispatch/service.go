package dispatch

import (
	"context"
	"net/http"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// CallService calls the servers of a plain service in order until one may have run the call. Only a call that has
// certainly not run is tried on the next server.
func CallService(ctx context.Context, servers []*fleet.Service, r backend.ServiceRequest) (backend.ServiceResponse, error) {
	var lastErr error = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_service", "no server of this service takes work").
		WithRetryAfter(retryAfter)
	for _, s := range servers {
		response, err := s.Client.Call(ctx, r)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if verdict.FromError(err).Verdict != verdict.NotRun || ctx.Err() != nil {
			break
		}
	}
	return backend.ServiceResponse{}, lastErr
}
