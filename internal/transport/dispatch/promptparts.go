package dispatch

import (
	"net/http"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/retry"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// promptParts finds parts of prompts that crash engines, among the attempts of the scheduler. Its methods are called with
// the scheduler's lock held.
type promptParts struct {
	tracker *retry.WorkerCrashTracker
	started time.Time
	// unanswered holds the parts of the attempts that have not begun to be answered, by the IDs of their requests.
	unanswered map[string][]retry.Suspect
	publish    func(retry.PromptPartRecord)
}

func newPromptParts(publish func(retry.PromptPartRecord)) *promptParts {
	if publish == nil {
		publish = func(retry.PromptPartRecord) {}
	}
	return &promptParts{
		tracker: retry.NewWorkerCrashTracker(), started: time.Now(), unanswered: map[string][]retry.Suspect{}, publish: publish,
	}
}

func (p *promptParts) now() time.Duration { return time.Since(p.started) }

func partSuspects(ids []string) []retry.Suspect {
	list := make([]retry.Suspect, 0, len(ids))
	for _, id := range ids {
		list = append(list, retry.PromptPartSuspect(id))
	}
	return list
}

// check returns an error with verdict not-run if a part of a prompt crashes engines, or nil.
func (p *promptParts) check(parts []string) error {
	if !p.tracker.Refuses() {
		return nil
	}
	r, refused := p.tracker.Refused(partSuspects(parts), p.now())
	if !refused {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "crashes_engine",
		"a message of this request crashed several engines").WithRetryAfter(r.Remaining)
}

// attemptStarted records an attempt.
func (p *promptParts) attemptStarted(id string, parts []string) {
	if len(parts) > 0 {
		p.unanswered[id] = partSuspects(parts)
	}
}

// answering records that an attempt began to be answered.
func (p *promptParts) answering(id string) {
	if parts, ok := p.unanswered[id]; ok {
		p.tracker.Answered(parts, p.now())
		delete(p.unanswered, id)
	}
}

// attemptEnded records the end of an attempt.
func (p *promptParts) attemptEnded(id string, succeeded bool) {
	if succeeded {
		p.answering(id)
	}
	delete(p.unanswered, id)
}

// crashed records the crash of an engine that was running the attempts, and refuses the parts for which the evidence
// suffices.
func (p *promptParts) crashed(run retry.EngineRun, ids []string) {
	r := retry.PromptPartRecord{Crash: run, UnixMilli: time.Now().UnixMilli()}
	for _, id := range ids {
		var parts []string
		for _, s := range p.tracker.Unanswered(p.unanswered[id], p.now()) {
			part, _ := s.PromptPart()
			parts = append(parts, part)
		}
		if len(parts) > 0 {
			r.Attempts = append(r.Attempts, parts)
		}
	}
	if len(r.Attempts) == 0 {
		return
	}
	p.tracker.AddRecord(r, p.now())
	p.publish(r)
	p.decide()
}

// merge applies a record of another instance.
func (p *promptParts) merge(r retry.PromptPartRecord) {
	p.tracker.ApplyRecord(r, time.Since(time.UnixMilli(r.UnixMilli)), p.now())
	p.decide()
}

func (p *promptParts) decide() {
	for _, refusal := range p.tracker.Decide(p.now()) {
		part, _ := refusal.Suspect.PromptPart()
		p.publish(retry.PromptPartRecord{
			Refused: part, RemainingMS: refusal.Remaining.Milliseconds(), Number: refusal.Number, UnixMilli: time.Now().UnixMilli(),
		})
	}
}
