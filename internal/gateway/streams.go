package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/streamversion"
	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/state/streams"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/forward"
)

const (
	// defaultStreamLife is the life of streams of routes without a timeout.
	defaultStreamLife = 30 * time.Second
	// recordRetryDelay is how long after a failed append no stream begins that needs a record.
	recordRetryDelay = time.Second
)

// streamVersions keeps the streams of callers on the software version of the workers that began them: it records on which version
// streams begin, and finds that out for those that go on. Its lock may be taken while the gateway's is held, but not the other way
// round.
type streamVersions struct {
	g *Gateway

	mu    sync.Mutex
	bases *streamversion.Bases
	// basesAt is the position of the last read of the bases.
	basesAt external.Position
	// life is the longest life of a stream by the configurations so far, 0 before the first.
	life time.Duration
	// records are the records that were read.
	records *streams.Follower
	// lastRead is when the last read of the records began.
	lastRead time.Duration
	// waiting are the records to append, and scheduled is true while a task is to append them.
	waiting   []waitingStart
	scheduled bool
	// appendFailed is when the last append failed, 0 after one that succeeded.
	appendFailed time.Duration
	// readsBegun and readsDone number the reads of the records that began and ended, and readErr is the error of the last one.
	readsBegun, readsDone uint64
	readErr               error

	// relayed is true if this instance uses a relay.
	relayed atomic.Bool

	// appending is held during an append, so that records are appended in their order, and reading during a read.
	appending, reading sync.Mutex
}

// waitingStart is a start that waits for its append.
type waitingStart struct {
	start     streams.Start
	recording *forward.Recording
}

func newStreamVersions(g *Gateway) *streamVersions {
	return &streamVersions{g: g, bases: streamversion.NewBases(), records: streams.NewFollower()}
}

// beginsStream reports whether a job begins a stream that may be resumed, and its first event has not arrived yet.
func beginsStream(j *forward.Job) bool {
	return j.Route.Kind == routing.Stream && j.Route.Resumable && j.LastEventID == "" && j.StreamVersion == nil
}

// resumesStream reports whether a job goes on with a stream of an earlier request of which the version is not known yet.
func resumesStream(j *forward.Job) bool {
	return j.Route.Kind == routing.Stream && j.Route.Resumable && j.LastEventID != "" && j.StreamVersion == nil
}

// keepFitting removes the workers to which a job may not go: those of other software versions than the one on which its stream began,
// or, before it has begun, those whose version would have to be recorded while that cannot be done.
func (s *streamVersions) keepFitting(j *forward.Job, list []*workers.Worker) []*workers.Worker {
	if j.StreamVersion != nil {
		return slices.DeleteFunc(list, func(w *workers.Worker) bool { return w.Software != *j.StreamVersion })
	}
	if !beginsStream(j) {
		return list
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordable() {
		return list
	}
	return slices.DeleteFunc(list, func(w *workers.Worker) bool { return s.mustRecord(j, w) })
}

// recordable reports whether records can be appended, as far as known. The lock is held.
func (s *streamVersions) recordable() bool {
	return !s.g.configUnavailable.Load() && (s.appendFailed == 0 || s.g.now()-s.appendFailed >= recordRetryDelay)
}

// mustRecord reports whether the job's stream needs a record if it begins at a worker. The lock is held.
func (s *streamVersions) mustRecord(j *forward.Job, w *workers.Worker) bool {
	base, known := s.bases.Base(w.Service)
	var earlier *string
	if j.Recording != nil {
		if j.Recording.Failed() {
			return true
		}
		earlier = &j.Recording.Version
	}
	return streamversion.MustRecord(w.Software, base, known, earlier)
}

// prepare is called right before a job is sent to a worker. It begins to record the version if that is needed. After an error, which
// carries the verdict NotRun, the job must not be sent.
func (s *streamVersions) prepare(j *forward.Job, w *workers.Worker) error {
	if !beginsStream(j) {
		return nil
	}
	s.mu.Lock()
	must, recordable := s.mustRecord(j, w), s.recordable()
	s.mu.Unlock()
	if !must {
		return nil
	}
	if !recordable {
		return refuse(http.StatusServiceUnavailable, "stream_not_recorded", "the log service takes no record of the stream's version", notReadyRetryAfter)
	}
	start := streams.Start{Attempt: j.ID, Service: w.Service, Version: w.Software}
	if j.Recording != nil {
		start.Number = j.Recording.Number + 1
	}
	j.Recording = s.record(start)
	return nil
}

// begin is called when the first event of a stream has arrived, before anything is passed on. It waits for the record of the version,
// on which the stream stays from then on.
func (s *streamVersions) begin(ctx context.Context, j *forward.Job, w *workers.Worker) error {
	if !beginsStream(j) {
		return nil
	}
	if j.Recording != nil {
		if err := j.Recording.Wait(ctx); err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "stream_not_recorded", "the version of the stream could not be recorded")
		}
	}
	version := w.Software
	j.StreamVersion = &version
	return nil
}

// resume finds out on which version the stream of a job began. The error carries the verdict NotRun: what cannot be known is not
// joined.
func (s *streamVersions) resume(ctx context.Context, j *forward.Job) error {
	if s.g.configUnavailable.Load() {
		return s.refuseResume(j, "unavailable", nil)
	}
	f, err := s.find(ctx, j.Resumes)
	if err != nil {
		return s.refuseResume(j, "unavailable", err)
	}
	now := s.g.now()
	s.mu.Lock()
	life := cmp.Or(s.life, defaultStreamLife)
	o := streamversion.Origin{Named: j.Resumes != "", Complete: f.completeSince <= now-life, Mixed: s.bases.Mixed(j.Service, now, life)}
	o.Base, o.BaseKnown = s.bases.Base(j.Service)
	s.mu.Unlock()
	origin := "base"
	if f.start != nil {
		origin, o.Recorded = "record", &f.start.Version
		if slices.ContainsFunc(j.Route.Targets, func(t routing.Target) bool { return t.Service == f.start.Service }) {
			j.Service = f.start.Service
		}
	}
	version, ok := streamversion.Resume(o)
	if !ok {
		return s.refuseResume(j, "unknown", nil)
	}
	j.StreamVersion = &version
	s.g.metrics.streamResumes.WithLabelValues(origin).Inc()
	return nil
}

// refuseResume counts a stream that cannot go on and returns the error for its caller.
func (s *streamVersions) refuseResume(j *forward.Job, why string, err error) error {
	s.g.metrics.streamResumes.WithLabelValues(why).Inc()
	s.g.log.Info().Err(err).Str("request", j.ID).Str("resumes", j.Resumes).Str("cause", why).Msg("version of a stream is not known")
	return refuse(http.StatusServiceUnavailable, "stream_unknown", "the instance cannot tell which software version began the stream", notReadyRetryAfter)
}
