package dispatch

import (
	"context"
	"net/http"

	"github.com/turmericworks/turmericworks/internal/protocol/backend"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/transport/fleet"
)

// CallOne calls the servers of a plain service in turn until one may have run the call. A call that
// reached no server is tried on the next; nothing else is repeated.
func CallOne(ctx context.Context, servers []*fleet.Service, r backend.ServiceRequest) (backend.ServiceAnswer, error) {
	var last error = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_service", "no server of this service takes work").
		WithRetryAfter(retryAfter)
	for _, s := range servers {
		answer, err := s.Client.Call(ctx, r)
		if err == nil {
			return answer, nil
		}
		last = err
		if verdict.FromError(err).Verdict != verdict.NotRun || ctx.Err() != nil {
			break
		}
	}
	return backend.ServiceAnswer{}, last
}
